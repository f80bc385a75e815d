package proxy

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/httpd"
	"marigoldcleat.example/cleat/link/wire"
	"marigoldcleat.example/cleat/policy/budget"
	"marigoldcleat.example/cleat/policy/place"
	"marigoldcleat.example/cleat/policy/roster"
	"marigoldcleat.example/cleat/role/node"
	"marigoldcleat.example/cleat/role/telem"
)

// Parts of the grace period of a shutdown.
const (
	// closingPart is when new connections are no longer taken: balancers have asked twice by then.
	closingPart = 0.32
	// endPart is when what still runs is cut off.
	endPart = 0.95
)

// Role is one entry that forwards.
type Role struct {
	cfg       Config
	clock     cleat.Clock
	log       *log.Logger
	decisions *telem.Decisions
	self      cleat.Peer
	metrics   *telem.Metrics
	measures  *measures
	health    *telem.Health
	control   *node.Client
	links     *wire.Server
	mesh      *wire.Dialer
	callers   net.Listener
	http      net.Listener
	extra     net.Listener // Nil without a further API.
	server    *httpd.Server
	ctx       context.Context // Done when the role ends.
	cancel    context.CancelFunc
	drained   chan struct{} // Closed when a shutdown is asked for.
	drainOnce sync.Once
	draining  atomic.Bool
	table     atomic.Pointer[cleat.RouteTable]
	held      atomic.Int64  // Bytes of bodies in memory.
	active    atomic.Int64  // Requests being served.
	lag       atomic.Int64  // By how much work starts late, in nanoseconds.
	fresh     chan struct{} // Tells of a manifest to put in force.
	wake      chan struct{} // Asks for a look at the waiting jobs.

	mu      sync.Mutex
	planner *place.Planner
	roster  *roster.Table
	budget  *budget.Budget
	waiters map[uint64]chan place.Verdict
	pools   map[cleat.UpstreamID]*pool
	entries map[cleat.InstanceID]*entryLink
	jobs    uint64 // Numbers given to jobs.
	rnd     *rand.Rand
	latest  *manifestBody // Not decoded yet.
}

// manifestBody is a manifest to put in force.
type manifestBody struct {
	version uint64
	body    []byte
}

var _ telem.Daemon = (*Role)(nil)

// Open binds the addresses; Run then connects and serves.
func Open(cfg Config, rnd *rand.Rand, logger *log.Logger) (*Role, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, trace.Wrap(err, "Open")
	}
	clock := cleat.SystemClock{}
	now := clock.Now()
	ctx, cancel := context.WithCancel(context.Background())
	r := &Role{
		cfg: cfg, clock: clock, log: logger, rnd: rnd,
		decisions: telem.NewDecisions(logger),
		self: cleat.Peer{
			Instance: cfg.Self, Incarnation: cleat.NewIncarnation(now), Role: cleat.RoleEntry,
			Domain: cfg.Domain, Address: cfg.Links,
		},
		metrics: telem.NewMetrics(cleat.RoleEntry, logger),
		ctx:     ctx, cancel: cancel,
		drained: make(chan struct{}),
		fresh:   make(chan struct{}, 1),
		wake:    make(chan struct{}, 1),
		planner: place.New(cfg.Place),
		roster:  roster.New(),
		budget:  budget.New(cfg.Retries),
		waiters: make(map[uint64]chan place.Verdict),
		pools:   make(map[cleat.UpstreamID]*pool),
		entries: make(map[cleat.InstanceID]*entryLink),
	}
	r.measures = newMeasures(r.metrics.Scope())
	var err error
	if r.server, err = httpd.New(httpd.Config{}, r.serve, logger); err != nil {
		cancel()
		return nil, trace.Wrap(err, "Open")
	}
	r.health = telem.NewHealth(r.ready)
	if err := r.bind(); err != nil {
		cancel()
		return nil, trace.Wrap(err, "Open")
	}
	r.connect()
	return r, nil
}

func (r *Role) peer() cleat.Peer { return r.self }

func (r *Role) bind() error {
	var err error
	if r.callers, err = httpd.Listen(r.cfg.Callers); err != nil {
		return trace.Wrap(err)
	}
	if r.http, err = net.Listen("tcp", r.cfg.HTTP); err != nil {
		return trace.NewAggregate(err, r.callers.Close())
	}
	if r.cfg.Extra != nil {
		if r.extra, err = net.Listen("tcp", r.cfg.ExtraHTTP); err != nil {
			return trace.NewAggregate(err, r.callers.Close(), r.http.Close())
		}
	}
	if r.links, err = wire.Listen(r.cfg.Wire, r.cfg.Links, r.peer, (*meshHandler)(r), r.log); err != nil {
		return trace.NewAggregate(err, r.callers.Close(), r.http.Close())
	}
	r.self.Address = r.links.Addr()
	return nil
}

// connect prepares the links to control and to other entries.
func (r *Role) connect() {
	cfg := node.Config{Controls: r.cfg.Controls, ConfirmTimeout: r.cfg.ConfirmTimeout, Heartbeat: r.cfg.ConfirmTimeout / 3, Register: r.register}
	r.control = node.New(cfg, r.cfg.Wire, r.peer, r.clock, r.log)
	r.control.OnManifest(r.takeManifest)
	r.control.OnUpstreams(r.takeUpstreams)
	r.control.OnMembers(r.takeMembers)
	r.mesh = wire.NewDialer(r.cfg.Wire, r.peer, (*meshHandler)(r), r.log)
}

func (r *Role) register() cleat.Register {
	return cleat.Register{Leaving: r.draining.Load()}
}

// Addr returns the bound address for callers, as host:port.
func (r *Role) Addr() string { return r.callers.Addr().String() }

// Ready reports whether the entry takes new connections and, when not, why.
func (r *Role) Ready() (bool, string) { return r.health.Ready() }

func (r *Role) ready() (bool, string) {
	if r.table.Load() == nil {
		return false, "no manifest is confirmed"
	}
	return true, ""
}

// Run serves until Drain or Close.
func (r *Role) Run() error {
	r.log.Info("started", "callers", r.Addr(), "links", r.self.Address, "controls", r.cfg.Controls)
	var g run.Group
	for _, worker := range []func(context.Context) error{
		r.control.Run, r.dispatchLoop, r.reportLoop, r.sweepLoop, r.settingsLoop, r.manifestLoop, r.lagLoop,
	} {
		g.Add(func() error { return worker(r.ctx) }, func(error) { r.cancel() })
	}
	g.Add(r.links.Serve, func(error) {
		r.mesh.Close()
		r.stop(r.links.Shutdown)
	})
	g.Add(r.serveCallers, func(error) { r.stop(r.server.Shutdown) })
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	telem.Mount(e, r.health, r.metrics)
	r.addHTTP(&g, r.http, e)
	if r.extra != nil {
		r.addHTTP(&g, r.extra, r.cfg.Extra(r))
	}
	g.Add(r.drainWorker, func(error) { r.cancel() })
	return trace.Wrap(g.Run(), "Role.Run")
}

// serveCallers returns when the role ends, not when a shutdown closes the
// listener: requests may still run then.
func (r *Role) serveCallers() error {
	if err := r.server.Serve(r.callers); err != nil {
		return trace.Wrap(err)
	}
	<-r.ctx.Done()
	return nil
}

func serveHTTP(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

func (r *Role) addHTTP(g *run.Group, l net.Listener, h http.Handler) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: apiHeaderTimeout}
	g.Add(func() error { return serveHTTP(s, l) }, func(error) { r.stop(s.Shutdown) })
}

// apiHeaderTimeout bounds the reading of a request's head on the addresses for
// health, metrics and the further API.
const apiHeaderTimeout = 10 * time.Second

// stopTimeout bounds how long a server's end is waited for once the role ends.
const stopTimeout = 100 * time.Millisecond

func (r *Role) stop(shutdown func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := shutdown(ctx); err != nil {
		r.log.Debug("connections cut off", "err", err)
	}
}

// drainWorker ends the role in steps once a shutdown is asked for: answers tell
// callers to connect elsewhere, then no connection is taken, then what still
// runs is waited for within the grace period.
func (r *Role) drainWorker() error {
	select {
	case <-r.drained:
	case <-r.ctx.Done():
		return nil
	}
	begun := r.clock.Now()
	if !sleep(r.ctx, time.Duration(closingPart*float64(r.cfg.Grace))) {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.ctx, time.Duration((endPart-closingPart)*float64(r.cfg.Grace)))
	defer cancel()
	if err := r.server.Shutdown(ctx); err != nil {
		r.log.Warn("requests cut off by the end of the grace period", "requests", r.active.Load())
	}
	r.log.Info("drained", "took", r.clock.Now().Sub(begun))
	return nil
}

// Drain begins the graceful shutdown and returns at once.
func (r *Role) Drain() {
	r.drainOnce.Do(func() {
		r.log.Info("draining", "requests", r.active.Load())
		r.draining.Store(true)
		r.health.Drain()
		close(r.drained)
	})
}

// Close ends Run at once.
func (r *Role) Close() { r.cancel() }

// Abandoned says what a Close now would cut off.
func (r *Role) Abandoned() string { return fmt.Sprintf("%d requests", r.active.Load()) }

// sleep waits for d and returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
