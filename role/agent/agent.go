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
	shutdownTimeout   = 3 * time.Second
	readHeaderTimeout = 10 * time.Second
	maxAbandonedShown = 20
)

// Agent is the agent role; it implements telem.Daemon and cleat.LinkHandler.
type Agent struct {
	cfg           Config
	clock         cleat.Clock
	log           *log.Logger
	metrics       *telem.Metrics
	health        *telem.Health
	server        *wire.Server
	httpServer    *http.Server
	httpListener  net.Listener
	linkMetrics   *telem.LinkMetrics
	orderGates    *orderGates
	control       *node.Client   // Nil if no control instances are configured.
	workers       sync.WaitGroup // The goroutines of the running requests.
	done          chan struct{}  // Closed once the agent is drained or Close is called.
	closeDoneOnce sync.Once

	sendMu sync.Mutex // Keeps messages in the order in which the slots table decided them.

	mu         sync.Mutex
	slots      *slots.Table
	entryLinks map[cleat.InstanceID]cleat.Link
	engines    map[cleat.UpstreamID]*upstream
	runs       map[cleat.Attempt]*run
	draining   bool
}

// upstream is an announced upstream and the client for it.
type upstream struct {
	announced cleat.Announcement
	engine    *HTTPEngine
}

// New binds the agent's listening addresses; Run then serves on them.
func New(cfg Config, clock cleat.Clock, logger *log.Logger) (*Agent, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, trace.Wrap(err, "New")
	}
	a := &Agent{
		cfg: cfg, clock: clock, log: logger,
		metrics:    telem.NewMetrics(cleat.RoleAgent, logger),
		orderGates: newOrderGates(),
		done:       make(chan struct{}),
		entryLinks: make(map[cleat.InstanceID]cleat.Link),
		engines:    make(map[cleat.UpstreamID]*upstream),
		runs:       make(map[cleat.Attempt]*run),
	}
	a.health = telem.NewHealth(a.isReady)
	if err := a.bind(); err != nil {
		return nil, trace.Wrap(err, "New")
	}
	rnd := rand.New(rand.NewSource(int64(cfg.Peer.Incarnation)))
	a.linkMetrics = telem.NewLinkMetrics(a.metrics.Scope(), a.Counters())
	a.slots = slots.New(cfg.Slots, a.cfg.Peer, rnd)
	a.newControlClient()
	return a, nil
}

// newControlClient creates the client of the control instances, if any are configured.
func (a *Agent) newControlClient() {
	if len(a.cfg.Control.Controls) == 0 {
		return
	}
	cfg := a.cfg.Control
	cfg.Register = a.Registration
	a.control = node.New(cfg, a.cfg.Wire, a.Peer, a.clock, a.log)
	a.control.OnSums(a.ApplyLedgerSums)
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
	a.httpListener = listener
	a.httpServer = &http.Server{Handler: a.routes(echo.New()), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxResponseHeaderBytes}
	return nil
}

// Peer returns the identity that the agent presents on its links.
func (a *Agent) Peer() cleat.Peer { return a.cfg.Peer }

// Addr returns where the agent accepts links, as host:port.
func (a *Agent) Addr() string { return a.server.Addr() }

// HTTPAddr returns where the agent serves HTTP, as host:port.
func (a *Agent) HTTPAddr() string { return a.httpListener.Addr().String() }

// Run serves until the agent is drained or closed, or until a listener fails. It returns
// the listener's error and any errors of the shutdown.
func (a *Agent) Run() error {
	errs := make(chan error, 2)
	go func() { errs <- a.server.Serve() }()
	go func() { errs <- a.serveHTTP() }()
	ctx, stop := context.WithCancel(context.Background())
	var background sync.WaitGroup
	background.Go(func() { a.runTicker(ctx.Done()) })
	if a.control != nil {
		background.Go(func() { _ = a.control.Run(ctx) })
	}
	var err error
	select {
	case err = <-errs:
	case <-a.done:
	}
	a.sendLedgerReport(a.clock.Now())
	stop()
	background.Wait()
	return trace.NewAggregate(err, a.shutdown())
}

// Drain stops accepting new requests; Run returns once every running
// request has ended and its answer was acknowledged or is no longer wanted.
func (a *Agent) Drain() {
	a.health.Drain()
	a.mu.Lock()
	a.draining = true
	a.unlockAndSend(a.slots.Drain(a.clock.Now()))
}

// Close makes Run return without waiting for running requests to finish; they are canceled.
func (a *Agent) Close() {
	a.closeDone()
}

// Abandoned lists the requests that Running counts, which Close would abandon. It names
// at most maxAbandonedShown of them.
func (a *Agent) Abandoned() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	names := make([]string, 0, len(a.runs))
	for attempt, r := range a.runs {
		names = append(names, fmt.Sprintf("%s of %s on %s", attempt, r.dispatch.Stream.Workspace, r.upstream))
	}
	sort.Strings(names)
	shown := names[:min(len(names), maxAbandonedShown)]
	return fmt.Sprintf("%d running requests: %s", len(names), strings.Join(shown, ", "))
}

// Running returns the number of requests that are running or whose answers are not fully acknowledged.
func (a *Agent) Running() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.runs)
}

// Counters returns the traffic counters of the agent's links.
func (a *Agent) Counters() *wire.Counters { return a.server.Counters() }

func (a *Agent) closeDone() {
	a.closeDoneOnce.Do(func() { close(a.done) })
}

func (a *Agent) serveHTTP() error {
	if err := a.httpServer.Serve(a.httpListener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err, "Agent.serveHTTP")
	}
	return nil
}

// shutdown closes the links before it cancels running requests, so that entries
// treat the agent as lost rather than the requests as canceled.
func (a *Agent) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := a.server.Shutdown(ctx)
	httpErr := a.httpServer.Shutdown(ctx)
	a.mu.Lock()
	for _, r := range a.runs {
		r.cancel(errCanceled)
	}
	a.mu.Unlock()
	a.workers.Wait()
	a.closeEngines()
	return trace.NewAggregate(err, httpErr, a.metrics.Close())
}

func (a *Agent) closeEngines() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, u := range a.engines {
		u.engine.Close()
	}
}

func (a *Agent) isReady() (bool, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.slots.Upstreams()) == 0 {
		return false, "no upstream announced itself"
	}
	return true, ""
}

// unlockAndSend releases a.mu, which the caller holds, and sends the messages that
// the slots table decided on, in the order of the decisions, because an entry
// ignores a grant that arrives after a later one. The state behind a message that
// can't be sent is sent again when the link comes back up.
func (a *Agent) unlockAndSend(e cleat.Effects) {
	if len(e.Sends) == 0 {
		a.mu.Unlock()
		return
	}
	links := make([]cleat.Link, len(e.Sends))
	for i, s := range e.Sends {
		links[i] = a.entryLinks[s.To]
	}
	a.sendMu.Lock()
	defer a.sendMu.Unlock()
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
