package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"os"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
	"marigoldcleat.example/cleat/policy/route"
	"marigoldcleat.example/cleat/role/node"
	"marigoldcleat.example/cleat/role/telem"
	"marigoldcleat.example/cleat/state/config"
)

const (
	flushTimeout      = 5 * time.Second // For outcomes to be stored at control during a shutdown.
	flushPollInterval = 10 * time.Millisecond
	linkCheckInterval = time.Second // Between updates of the link metrics and checks for unwanted links.
)

// DaemonConfig configures an entry process. The entry gets its settings and the
// list of agents from the control instances or, when Controls is empty, from
// Settings and Agents.
type DaemonConfig struct {
	Role     Config
	HTTP     string // For callers, health and metrics, as host:port.
	Wire     wire.Config
	Controls []string // Addresses of control instances.
	Agents   []string // Addresses of agents.
	Settings string   // File with a JSON list of setting paths and values.
}

// Daemon runs an entry with its links to agents and control.
type Daemon struct {
	*Entry
	cfg     DaemonConfig
	self    cleat.Peer
	control *node.Client // Nil when the settings come from a file.
	dialer  *wire.Dialer
	metrics *telem.Metrics

	mu          sync.Mutex
	wantedLinks map[cleat.InstanceID]string // Addresses of the agents that this entry should have links to.
	openLinks   map[cleat.InstanceID]string // Addresses of the agents that this entry has links to.
}

// NewDaemon binds the address for callers; Run then connects and serves.
func NewDaemon(cfg DaemonConfig, self cleat.Peer, rnd *rand.Rand, logger *log.Logger) (*Daemon, error) {
	d := &Daemon{
		cfg:         cfg,
		self:        self,
		metrics:     telem.NewMetrics(cleat.RoleEntry, logger),
		wantedLinks: make(map[cleat.InstanceID]string),
		openLinks:   make(map[cleat.InstanceID]string),
	}
	deps := Dependencies{Self: self, Clock: cleat.SystemClock{}, Rand: rnd, Log: logger, Metrics: d.metrics}
	if err := d.configureSources(&deps); err != nil {
		return nil, trace.Wrap(err)
	}
	e, err := New(cfg.Role, cfg.HTTP, deps)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	d.Entry = e
	d.dialer = wire.NewDialer(cfg.Wire, d.peer, e, logger)
	return d, nil
}

// configureSources sets the sources of settings and claims.
func (d *Daemon) configureSources(p *Dependencies) error {
	if len(d.cfg.Controls) == 0 {
		f, err := readSettings(d.cfg.Settings)
		p.Fleet = cleat.NewStaticFleet(f)
		return err
	}
	cfg := node.Config{Controls: d.cfg.Controls, Register: d.registration}
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return trace.Wrap(err)
	}
	d.control = node.New(cfg, d.cfg.Wire, d.peer, p.Clock, p.Log)
	d.control.OnMembers(d.updateMembers)
	p.Fleet = d.control
	p.Claims = d.control
	return nil
}

func readSettings(file string) (*cleat.Fleet, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	s := cleat.Snapshot{Revision: 1}
	if err := json.Unmarshal(b, &s.Settings); err != nil {
		return nil, trace.BadParameter("readSettings: %s: %v", file, err)
	}
	f, err := config.Decode(s)
	return f, trace.Wrap(err, "readSettings: %s", file)
}

func (d *Daemon) peer() cleat.Peer { return d.self }

func (d *Daemon) registration() cleat.Register {
	_, reason := d.Ready()
	return cleat.Register{Status: d.Status(), Demand: d.Demand(), Leaving: reason == telem.ReasonDraining}
}

// Run serves callers until the entry is drained or closed; it returns nil when the
// entry was drained.
func (d *Daemon) Run() error {
	ctx, stop := context.WithCancel(context.Background())
	var background sync.WaitGroup
	if d.control != nil {
		background.Go(func() { _ = d.control.Run(ctx) })
	}
	background.Go(func() { d.maintainLinks(ctx) })
	for _, addr := range d.cfg.Agents {
		d.dialer.AddAddress(addr)
	}
	err := d.Entry.Run()
	d.flushOutcomes()
	stop()
	background.Wait()
	d.dialer.Close()
	return trace.NewAggregate(err, d.metrics.Close())
}

// flushOutcomes waits up to flushTimeout for the outcomes of claimed requests to
// be stored. An outcome that is not stored leaves its idempotency key in doubt.
func (d *Daemon) flushOutcomes() {
	if d.control == nil {
		return
	}
	timeout := time.NewTimer(flushTimeout)
	defer timeout.Stop()
	poll := time.NewTicker(flushPollInterval)
	defer poll.Stop()
	for d.control.PendingOutcomes() > 0 {
		select {
		case <-poll.C:
		case <-d.closed:
			return
		case <-timeout.C:
			d.log.Error("outcomes not stored before the flush timeout; their idempotency keys are in doubt", "outcomes", d.control.PendingOutcomes())
			return
		}
	}
}

// Abandoned describes the requests and outcomes that Close would abandon now.
func (d *Daemon) Abandoned() string {
	if d.control == nil {
		return d.Entry.Abandoned()
	}
	return fmt.Sprintf("%s, %d outcomes not stored", d.Entry.Abandoned(), d.control.PendingOutcomes())
}

// updateMembers opens links to the agents that this entry should use. A link to
// an agent that is no longer wanted stays open while answers arrive over it.
func (d *Daemon) updateMembers(members []cleat.Member) {
	chosen := make(map[cleat.InstanceID]bool)
	for _, id := range route.Subset(d.self.Instance, members) {
		chosen[id] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.wantedLinks)
	for _, m := range members {
		if p := m.Peer; chosen[p.Instance] && p.Address != "" {
			d.wantedLinks[p.Instance] = p.Address
		}
	}
	for id, addr := range d.wantedLinks {
		if oldAddr, ok := d.openLinks[id]; ok && oldAddr != addr {
			d.dialer.RemoveAddress(oldAddr)
		}
		d.openLinks[id] = addr
		d.dialer.AddAddress(addr)
	}
}

// maintainLinks updates the link metrics and closes links that are no longer wanted.
func (d *Daemon) maintainLinks(ctx context.Context) {
	traffic := telem.NewLinkMetrics(d.metrics.Scope(), d.dialer.Counters())
	ticker := time.NewTicker(linkCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			traffic.Update()
			d.dropUnwantedLinks()
		case <-ctx.Done():
			return
		}
	}
}

// dropUnwantedLinks closes links to unwanted agents that run no request of this entry.
func (d *Daemon) dropUnwantedLinks() {
	busy := d.busyAgents()
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, addr := range d.openLinks {
		if _, ok := d.wantedLinks[id]; !ok && !busy[id] {
			d.dialer.RemoveAddress(addr)
			delete(d.openLinks, id)
		}
	}
}

// busyAgents returns the agents that run requests of this entry.
func (e *Entry) busyAgents() map[cleat.InstanceID]bool {
	busy := make(map[cleat.InstanceID]bool)
	for _, c := range e.calls.list() {
		if id := c.agent(); id != "" {
			busy[id] = true
		}
	}
	return busy
}
