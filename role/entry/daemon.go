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
	flushTimeout  = 5 * time.Second // For outcomes to be stored during a shutdown.
	flushPoll     = 10 * time.Millisecond
	watchInterval = time.Second // Between checks of links that are wanted no more.
)

// DaemonConfig tells what an entry process connects to: control instances, or
// fixed agents under fixed settings.
type DaemonConfig struct {
	Role     Config
	HTTP     string // For callers, health and metrics, as host:port.
	Wire     wire.Config
	Controls []string
	Agents   []string
	Settings string // File of settings, a JSON list of paths and values.
}

// Daemon is an entry with its links to agents and control.
type Daemon struct {
	*Entry
	cfg     DaemonConfig
	self    cleat.Peer
	control *node.Client // Nil under fixed settings.
	dialer  *wire.Dialer
	metrics *telem.Metrics

	mu     sync.Mutex
	wanted map[cleat.InstanceID]string // Link addresses of the agents to keep links to.
	kept   map[cleat.InstanceID]string
}

// NewDaemon binds the address for callers; Run then connects and serves.
func NewDaemon(cfg DaemonConfig, self cleat.Peer, rnd *rand.Rand, logger *log.Logger) (*Daemon, error) {
	d := &Daemon{
		cfg:     cfg,
		self:    self,
		metrics: telem.NewMetrics(cleat.RoleEntry, logger),
		wanted:  make(map[cleat.InstanceID]string),
		kept:    make(map[cleat.InstanceID]string),
	}
	parts := Parts{Self: self, Clock: cleat.SystemClock{}, Rand: rnd, Log: logger, Metrics: d.metrics}
	if err := d.connect(&parts); err != nil {
		return nil, trace.Wrap(err)
	}
	e, err := New(cfg.Role, cfg.HTTP, parts)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	d.Entry = e
	d.dialer = wire.NewDialer(cfg.Wire, d.peer, e, logger)
	return d, nil
}

// connect sets where settings and claims come from.
func (d *Daemon) connect(p *Parts) error {
	if len(d.cfg.Controls) == 0 {
		f, err := readSettings(d.cfg.Settings)
		p.Fleet = cleat.NewStaticFleet(f)
		return err
	}
	cfg := node.Config{Controls: d.cfg.Controls, Register: d.register}
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return trace.Wrap(err)
	}
	d.control = node.New(cfg, d.cfg.Wire, d.peer, p.Clock, p.Log)
	d.control.OnMembers(d.members)
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

func (d *Daemon) register() cleat.Register {
	_, ready := d.Ready()
	return cleat.Register{Status: d.Status(), Demand: d.Demand(), Leaving: ready == telem.Draining}
}

// Run serves callers until the entry is drained, which returns nil, or closed.
func (d *Daemon) Run() error {
	ctx, stop := context.WithCancel(context.Background())
	var helpers sync.WaitGroup
	if d.control != nil {
		helpers.Go(func() { _ = d.control.Run(ctx) })
	}
	helpers.Go(func() { d.watch(ctx) })
	for _, addr := range d.cfg.Agents {
		d.dialer.Keep(addr)
	}
	err := d.Entry.Run()
	d.flush()
	stop()
	helpers.Wait()
	d.dialer.Close()
	return trace.NewAggregate(err, d.metrics.Close())
}

// flush waits a while for the outcomes of claimed requests to be stored; one
// that is not leaves its key in doubt.
func (d *Daemon) flush() {
	if d.control == nil {
		return
	}
	until := time.NewTimer(flushTimeout)
	defer until.Stop()
	poll := time.NewTicker(flushPoll)
	defer poll.Stop()
	for d.control.Pending() > 0 {
		select {
		case <-poll.C:
		case <-d.closed:
			return
		case <-until.C:
			d.log.Error("outcomes were not stored; their keys are in doubt", "outcomes", d.control.Pending())
			return
		}
	}
}

// Abandoned says what a Close now would cut off.
func (d *Daemon) Abandoned() string {
	if d.control == nil {
		return d.Entry.Abandoned()
	}
	return fmt.Sprintf("%s, %d outcomes not stored", d.Entry.Abandoned(), d.control.Pending())
}

// members links to the agents that this entry should use. A link to an agent
// that control no longer names stays while answers come over it.
func (d *Daemon) members(list []cleat.Member) {
	chosen := make(map[cleat.InstanceID]bool)
	for _, id := range route.Subset(d.self.Instance, list) {
		chosen[id] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.wanted)
	for _, m := range list {
		if p := m.Peer; chosen[p.Instance] && p.Address != "" {
			d.wanted[p.Instance] = p.Address
		}
	}
	for id, addr := range d.wanted {
		if was, ok := d.kept[id]; ok && was != addr {
			d.dialer.Drop(was)
		}
		d.kept[id] = addr
		d.dialer.Keep(addr)
	}
}

// watch shows the links' traffic and drops links that are wanted no more.
func (d *Daemon) watch(ctx context.Context) {
	traffic := telem.NewLinks(d.metrics.Scope(), d.dialer.Counters())
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			traffic.Update()
			d.dropIdle()
		case <-ctx.Done():
			return
		}
	}
}

// dropIdle drops links to unwanted agents over which no answer comes.
func (d *Daemon) dropIdle() {
	busy := d.busyAgents()
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, addr := range d.kept {
		if _, ok := d.wanted[id]; !ok && !busy[id] {
			d.dialer.Drop(addr)
			delete(d.kept, id)
		}
	}
}

func (e *Entry) busyAgents() map[cleat.InstanceID]bool {
	busy := make(map[cleat.InstanceID]bool)
	for _, c := range e.calls.list() {
		if id := c.agent(); id != "" {
			busy[id] = true
		}
	}
	return busy
}
