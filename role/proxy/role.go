package proxy

import (
	"context"
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
	"marigoldcleat.example/cleat/policy/poison"
	"marigoldcleat.example/cleat/policy/resume"
	"marigoldcleat.example/cleat/policy/roster"
	"marigoldcleat.example/cleat/role/node"
	"marigoldcleat.example/cleat/role/telem"
)

// Steps of a shutdown, as fractions of its grace period.
const (
	// closeListenerFraction is the point from which new connections are no longer
	// accepted: load balancers have checked readiness twice by then.
	closeListenerFraction = 0.32
	// cutOffFraction is the point at which requests that still run are cut off.
	cutOffFraction = 0.95
)

// Role is a forwarding entry.
type Role struct {
	cfg            Config
	clock          cleat.Clock
	log            *log.Logger
	decisions      *telem.DecisionLog
	self           cleat.Peer
	metrics        *telem.Metrics
	requestMetrics *requestMetrics
	health         *telem.Health
	control        *node.Client
	links          *wire.Server // Accepts links from other entries.
	mesh           *wire.Dialer // Dials other entries.
	callerListener net.Listener
	httpListener   net.Listener
	extraListener  net.Listener // Nil without an additional API.
	server         *httpd.Server
	shares         shareCache      // Used by the server's screening alone.
	ctx            context.Context // Done when the role ends.
	cancel         context.CancelFunc
	drainRequested chan struct{} // Closed when a shutdown is requested.
	drainOnce      sync.Once
	draining       atomic.Bool
	table          atomic.Pointer[cleat.RouteTable]
	callers        *httpd.Budget // What callers make the process hold, on all of its addresses.
	active         atomic.Int64  // Requests being served.
	lag            lagMeter      // Recent scheduling delay; see lagLoop.
	shed           atomic.Int64  // Requests refused for lack of processor time.
	quarantined    atomic.Int64  // Prompt blocks in quarantine.
	suspects       atomic.Int64  // Requests that are suspected of crashing upstreams, those in quarantine included.
	limited        atomic.Int64  // Upstreams with a rate limit.
	dispatchPause  atomic.Int64  // Last pause between passes over the waiting jobs, in nanoseconds.
	manifestReady  chan struct{} // Signals a pending manifest.
	wake           chan struct{} // Wakes dispatchLoop.

	mu              sync.Mutex
	planner         *place.Planner
	roster          *roster.Table
	budget          *budget.Budget
	streams         *resume.Table
	lookups         map[cleat.RequestID]*streamLookup // By the stream asked for.
	poison          *poison.Table
	requests        *poison.RequestTable
	endChecks       map[endCheckKey]*endCheck
	queryScheduled  bool                          // sendQueries is about to run.
	waiters         map[uint64]chan place.Verdict // By job ID.
	sent            map[uint64]*sentJob           // By job ID.
	stalled         int                           // Jobs that upstreams passed over.
	pools           map[cleat.UpstreamID]*pool
	entries         map[cleat.InstanceID]*entryLink
	lastJobID       uint64 // IDs are assigned in order.
	rnd             *rand.Rand
	pendingManifest *manifestBody // Not decoded yet; nil if there is none.

	startedAt              time.Time
	manifestApplied        chan struct{} // Closed when the first manifest is in force.
	listed                 chan struct{} // Closed when the first list of upstreams has arrived.
	membersKnown           bool          // A list of the fleet's members has arrived.
	controlReportScheduled bool          // reportToControl is about to run.
	routes                 string        // See recordRoutes.
	routesSince            time.Time
	manifestSkipped        bool // A manifest was superseded before it was applied.
}

// manifestBody is an encoded manifest.
type manifestBody struct {
	version uint64
	body    []byte
	age     time.Duration // For how long the control instance has had it.
	at      time.Time     // When it arrived.
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
		decisions: telem.NewDecisionLog(logger),
		self: cleat.Peer{
			Instance: cfg.Self, Incarnation: cleat.NewIncarnation(now), Role: cleat.RoleEntry,
			Domain: cfg.Domain, Address: cfg.Links,
		},
		metrics: telem.NewMetrics(cleat.RoleEntry, logger),
		lag:     lagMeter{epoch: now},
		ctx:     ctx, cancel: cancel,
		drainRequested: make(chan struct{}),
		manifestReady:  make(chan struct{}, 1),
		wake:           make(chan struct{}, 1),
		planner:        place.New(cfg.Place),
		roster:         roster.New(),
		budget:         budget.New(cfg.Retries),
		streams:        resume.New(cfg.Resume, now),
		lookups:        make(map[cleat.RequestID]*streamLookup),
		poison:         poison.New(cfg.Poison),
		requests:       poison.NewRequests(cfg.Requests),
		endChecks:      make(map[endCheckKey]*endCheck),
		waiters:        make(map[uint64]chan place.Verdict),
		sent:           make(map[uint64]*sentJob),
		pools:          make(map[cleat.UpstreamID]*pool),
		entries:        make(map[cleat.InstanceID]*entryLink),
		shares:         make(shareCache),

		startedAt: now, manifestApplied: make(chan struct{}), listed: make(chan struct{}),
	}
	r.requestMetrics = newRequestMetrics(r.metrics.Scope())
	var err error
	if r.callers, err = httpd.NewBudget(httpd.BudgetConfig{MaxBytes: cfg.MaxHeldBytes, MaxConns: cfg.MaxConns}); err != nil {
		cancel()
		return nil, trace.Wrap(err, "Open")
	}
	if r.server, err = httpd.New(httpd.Config{Budget: r.callers, Busy: r.isBusy, RetryAfter: r.turnedAwayRetryAfter, Screen: r.screen}, r.serve, logger); err != nil {
		cancel()
		return nil, trace.Wrap(err, "Open")
	}
	r.health = telem.NewHealth(r.ready)
	if err := r.bind(); err != nil {
		cancel()
		return nil, trace.Wrap(err, "Open")
	}
	r.createClients()
	return r, nil
}

func (r *Role) peer() cleat.Peer { return r.self }

func (r *Role) bind() error {
	var err error
	if r.callerListener, err = httpd.Listen(r.cfg.Callers); err != nil {
		return trace.Wrap(err)
	}
	if r.httpListener, err = net.Listen("tcp", r.cfg.HTTP); err != nil {
		return trace.NewAggregate(err, r.callerListener.Close())
	}
	if r.cfg.Extra != nil {
		if r.extraListener, err = net.Listen("tcp", r.cfg.ExtraHTTP); err != nil {
			return trace.NewAggregate(err, r.callerListener.Close(), r.httpListener.Close())
		}
	}
	if r.links, err = wire.Listen(r.cfg.Wire, r.cfg.Links, r.peer, (*meshHandler)(r), r.log); err != nil {
		return trace.NewAggregate(err, r.callerListener.Close(), r.httpListener.Close())
	}
	r.self.Address = r.links.Addr()
	return nil
}

// createClients creates the clients for control instances and other entries; Run
// connects them.
func (r *Role) createClients() {
	cfg := node.Config{Controls: r.cfg.Controls, ConfirmTimeout: r.cfg.ConfirmTimeout, Heartbeat: r.cfg.ConfirmTimeout / 3, Register: r.registration}
	r.control = node.New(cfg, r.cfg.Wire, r.peer, r.clock, r.log)
	r.control.OnManifest(r.storeManifest)
	r.control.OnUpstreams(r.applyUpstreams)
	r.control.OnEvacuations(r.applyEvacuations)
	r.control.OnMembers(r.applyMembers)
	r.control.OnStreams(r.applyStreams, r.handleControlLink, r.resendStreams)
	r.mesh = wire.NewDialer(r.cfg.Wire, r.peer, (*meshHandler)(r), r.log)
}

func (r *Role) registration() cleat.Register {
	return cleat.Register{Leaving: r.draining.Load()}
}

// Addr returns the bound address for callers, as host:port.
func (r *Role) Addr() string { return r.callerListener.Addr().String() }

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
		r.control.Run, r.dispatchLoop, r.reportLoop, r.sweepLoop, r.settingsLoop, r.manifestLoop, r.lagLoop, r.loadLoop, r.stallLoop,
	} {
		g.Add(func() error { return worker(r.ctx) }, func(error) { r.cancel() })
	}
	g.Add(r.links.Serve, func(error) {
		r.mesh.Close()
		r.stopServer(r.links.Shutdown)
	})
	g.Add(r.serveCallers, func(error) { r.stopServer(r.server.Shutdown) })
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	telem.Mount(e, r.health, r.metrics)
	if err := r.addHTTP(&g, r.httpListener, e); err != nil {
		return trace.Wrap(err, "Role.Run")
	}
	if r.extraListener != nil {
		if err := r.addHTTP(&g, r.extraListener, r.cfg.Extra(r)); err != nil {
			return trace.Wrap(err, "Role.Run")
		}
	}
	g.Add(r.drainWorker, func(error) { r.cancel() })
	return trace.Wrap(g.Run(), "Role.Run")
}

// serveCallers returns when the role ends, not when a shutdown closes the
// listener: requests may still be running at that point.
func (r *Role) serveCallers() error {
	if err := r.server.Serve(r.callerListener); err != nil {
		return trace.Wrap(err)
	}
	<-r.ctx.Done()
	return nil
}

// addHTTP serves a handler for health, metrics or the additional API.
func (r *Role) addHTTP(g *run.Group, l net.Listener, h http.Handler) error {
	s, err := httpd.New(httpd.Config{Budget: r.callers}, httpd.Adapt(h, maxAPIBodyBytes), r.log)
	if err != nil {
		return trace.Wrap(err)
	}
	g.Add(func() error { return s.Serve(l) }, func(error) { r.stopServer(s.Shutdown) })
	return nil
}

// maxAPIBodyBytes bounds the body of a call for health, metrics or the additional API.
const maxAPIBodyBytes = 64 << 10

// stopTimeout bounds the shutdown of each server once the role ends.
const stopTimeout = 100 * time.Millisecond

func (r *Role) stopServer(shutdown func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := shutdown(ctx); err != nil {
		r.log.Debug("server still had connections when its shutdown timed out", "err", err)
	}
}

// drainWorker ends the role in steps once a shutdown is requested. At first answers
// carry "Connection: close", so that callers connect elsewhere; then new connections
// are no longer accepted, and running requests may finish within the grace period.
func (r *Role) drainWorker() error {
	select {
	case <-r.drainRequested:
	case <-r.ctx.Done():
		return nil
	}
	start := r.clock.Now()
	if !sleep(r.ctx, time.Duration(closeListenerFraction*float64(r.cfg.GracePeriod))) {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.ctx, time.Duration((cutOffFraction-closeListenerFraction)*float64(r.cfg.GracePeriod)))
	defer cancel()
	if err := r.server.Shutdown(ctx); err != nil {
		r.log.Warn("requests cut off by the end of the grace period", "requests", r.active.Load())
	}
	r.log.Info("drained", "took", r.clock.Now().Sub(start))
	return nil
}

// Drain starts the graceful shutdown and returns at once.
func (r *Role) Drain() {
	r.drainOnce.Do(func() {
		r.log.Info("draining", "requests", r.active.Load())
		r.draining.Store(true)
		r.health.Drain()
		close(r.drainRequested)
	})
}

// Close makes Run return at once.
func (r *Role) Close() { r.cancel() }

// Abandoned describes the requests that Close would cut off now.
func (r *Role) Abandoned() string { return fmt.Sprintf("%d requests", r.active.Load()) }

// sleep waits for d; it returns false if ctx ends first.
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
