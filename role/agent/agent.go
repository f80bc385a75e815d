package agent

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
	"marigoldcleat.example/cleat/policy/slots"
	"marigoldcleat.example/cleat/role/node"
	"marigoldcleat.example/cleat/role/telem"
)

const (
	closeTimeout    = 3 * time.Second
	headerTimeout   = 10 * time.Second
	maxNamedInAbort = 20
)

// Agent is the agent role; it implements telem.Daemon and cleat.LinkHandler.
type Agent struct {
	cfg     Config
	clock   cleat.Clock
	log     *log.Logger
	metrics *telem.Metrics
	health  *telem.Health
	server  *wire.Server
	web     *http.Server
	webAddr net.Listener
	links   *telem.Links
	gates   *orderGates
	control *node.Client // Nil without control.
	workers sync.WaitGroup
	done    chan struct{} // Closed when drained or closed.
	ended   sync.Once

	sending sync.Mutex // Keeps effects in the order in which they were decided.

	mu       sync.Mutex
	table    *slots.Table
	entries  map[cleat.InstanceID]cleat.Link
	engines  map[cleat.UpstreamID]*upstream
	runs     map[cleat.Attempt]*run
	draining bool
}

// upstream is the client of an announced upstream.
type upstream struct {
	announced cleat.Announcement
	engine    *HTTPEngine
}

// New binds the agent's addresses; Run then serves.
func New(cfg Config, clock cleat.Clock, logger *log.Logger) (*Agent, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, trace.Wrap(err, "New")
	}
	a := &Agent{
		cfg: cfg, clock: clock, log: logger,
		metrics: telem.NewMetrics(cleat.RoleAgent, logger),
		gates:   newOrderGates(),
		done:    make(chan struct{}),
		entries: make(map[cleat.InstanceID]cleat.Link),
		engines: make(map[cleat.UpstreamID]*upstream),
		runs:    make(map[cleat.Attempt]*run),
	}
	a.health = telem.NewHealth(a.ready)
	if err := a.bind(); err != nil {
		return nil, trace.Wrap(err, "New")
	}
	rnd := rand.New(rand.NewSource(int64(cfg.Peer.Incarnation)))
	a.links = telem.NewLinks(a.metrics.Scope(), a.Counters())
	a.table = slots.New(cfg.Slots, a.cfg.Peer, rnd)
	a.connect()
	return a, nil
}

// connect makes the client to control instances, if there are any.
func (a *Agent) connect() {
	if len(a.cfg.Control.Controls) == 0 {
		return
	}
	cfg := a.cfg.Control
	cfg.Register = a.Registration
	a.control = node.New(cfg, a.cfg.Wire, a.Peer, a.clock, a.log)
	a.control.OnSums(a.Sums)
	a.control.OnOrder(a.Order)
}

func (a *Agent) bind() error {
	server, err := wire.Listen(a.cfg.Wire, a.cfg.Listen, a.Peer, a, a.log)
	if err != nil {
		return trace.Wrap(err)
	}
	a.server = server
	a.cfg.Peer.Address = server.Addr()
	listener, err := net.Listen("tcp", a.cfg.HTTP)
	if err != nil {
		return trace.NewAggregate(err, server.Shutdown(context.Background()))
	}
	a.webAddr = listener
	a.web = &http.Server{Handler: a.routes(echo.New()), ReadHeaderTimeout: headerTimeout}
	return nil
}

// Peer returns how the agent names itself to others.
func (a *Agent) Peer() cleat.Peer { return a.cfg.Peer }

// Addr returns where the agent accepts links, as host:port.
func (a *Agent) Addr() string { return a.server.Addr() }

// HTTPAddr returns where the agent serves HTTP, as host:port.
func (a *Agent) HTTPAddr() string { return a.webAddr.Addr().String() }

// Run serves until the agent is drained, which returns nil, or closed, or fails.
func (a *Agent) Run() error {
	errs := make(chan error, 2)
	go func() { errs <- a.server.Serve() }()
	go func() { errs <- a.serveWeb() }()
	ctx, stop := context.WithCancel(context.Background())
	var helpers sync.WaitGroup
	helpers.Go(func() { a.tick(ctx.Done()) })
	if a.control != nil {
		helpers.Go(func() { _ = a.control.Run(ctx) })
	}
	var err error
	select {
	case err = <-errs:
	case <-a.done:
	}
	a.sendReport(a.clock.Now())
	stop()
	helpers.Wait()
	return trace.NewAggregate(err, a.shutdown())
}

// Drain stops taking work; Run returns once all running answers are with their entries.
func (a *Agent) Drain() {
	a.health.Drain()
	a.mu.Lock()
	a.draining = true
	a.commit(a.table.Drain(a.clock.Now()))
}

// Close ends Run at once and cuts running requests.
func (a *Agent) Close() {
	a.finish()
}

// Abandoned says which requests a Close now would cut.
func (a *Agent) Abandoned() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	names := make([]string, 0, len(a.runs))
	for attempt, r := range a.runs {
		names = append(names, fmt.Sprintf("%s of %s on %s", attempt, r.dispatch.Stream.Workspace, r.upstream))
	}
	sort.Strings(names)
	shown := names[:min(len(names), maxNamedInAbort)]
	return fmt.Sprintf("%d running requests: %s", len(names), strings.Join(shown, ", "))
}

// Running returns how many requests run or have answers that their entries still lack.
func (a *Agent) Running() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.runs)
}

// Counters returns the traffic counters of the agent's links.
func (a *Agent) Counters() *wire.Counters { return a.server.Counters() }

func (a *Agent) finish() {
	a.ended.Do(func() { close(a.done) })
}

func (a *Agent) serveWeb() error {
	if err := a.web.Serve(a.webAddr); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err, "Agent.serveWeb")
	}
	return nil
}

// shutdown breaks the links before it cuts what still runs, so that entries
// take the agent for lost and not the requests for canceled.
func (a *Agent) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := a.server.Shutdown(ctx)
	webErr := a.web.Shutdown(ctx)
	a.mu.Lock()
	for _, r := range a.runs {
		r.cancel(errCanceled)
	}
	a.mu.Unlock()
	a.workers.Wait()
	a.closeEngines()
	return trace.NewAggregate(err, webErr, a.metrics.Close())
}

func (a *Agent) closeEngines() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, u := range a.engines {
		u.engine.Close()
	}
}

func (a *Agent) ready() (bool, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.table.Upstreams()) == 0 {
		return false, "no upstream announced itself"
	}
	return true, ""
}

// commit releases a.mu, which is held, and sends what the slots table wants
// sent, in the order in which it was decided: an entry drops grants that later
// ones overtook. A message that can't be sent is made good when the link comes
// up again.
func (a *Agent) commit(e cleat.Effects) {
	if len(e.Sends) == 0 {
		a.mu.Unlock()
		return
	}
	links := make([]cleat.Link, len(e.Sends))
	for i, s := range e.Sends {
		links[i] = a.entries[s.To]
	}
	a.sending.Lock()
	defer a.sending.Unlock()
	a.mu.Unlock()
	for i, s := range e.Sends {
		if links[i] == nil {
			continue
		}
		if err := links[i].Send(s.Message); err != nil {
			a.log.Debug("message not sent", "entry", s.To, "kind", s.Message.Kind(), "err", err)
		}
	}
}
