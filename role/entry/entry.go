package entry

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
	"github.com/uber-go/tally/v4"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/queue"
	"marigoldcleat.example/cleat/role/telem"
)

const (
	longQueueLength = 256
	serverHeaderMax = 1 << 20 // The settings set the limit in force, below this.
	shutdownTimeout = 5 * time.Second
	drainPoll       = 5 * time.Millisecond
	requestIDBase   = 36
)

// Parts are what an entry works with.
type Parts struct {
	Self    cleat.Peer
	Fleet   cleat.FleetSource
	Claims  cleat.Claims // Nil when there is no control: every claim fails.
	Clock   cleat.Clock
	Rand    *rand.Rand
	Log     *log.Logger
	Metrics *telem.Metrics
}

// Entry is the entry role of one process. It implements cleat.LinkHandler for
// its links to agents.
type Entry struct {
	cfg     Config
	self    cleat.Peer
	fleet   cleat.FleetSource
	claims  cleat.Claims
	clock   cleat.Clock
	log     *log.Logger
	metrics *telem.Metrics
	health  *telem.Health
	ln      net.Listener
	server  *http.Server
	held    *budget
	early   *earlyRefusals
	links   *links
	calls   *calls
	long    chan longSend
	seq     atomic.Uint64
	gate    gate
	drained chan struct{}
	closed  chan struct{}
	once    struct{ drain, close sync.Once }

	waiting tally.Gauge
	running tally.Gauge

	sending sync.Mutex // Keeps effects in the order in which they were decided.

	mu    sync.Mutex
	table *queue.Table
	inUse *cleat.Fleet // Settings that the table has.
}

// New returns an entry that listens for callers at addr, as host:port.
func New(cfg Config, addr string, p Parts) (*Entry, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, trace.Wrap(err, "New: listening for callers")
	}
	e := &Entry{
		cfg:     cfg,
		self:    p.Self,
		fleet:   p.Fleet,
		claims:  p.Claims,
		clock:   p.Clock,
		log:     p.Log,
		metrics: p.Metrics,
		ln:      ln,
		held:    &budget{max: cfg.MaxHeldBytes},
		early:   newEarlyRefusals(),
		links:   newLinks(),
		calls:   &calls{byID: make(map[cleat.RequestID]*call)},
		long:    make(chan longSend, longQueueLength),
		drained: make(chan struct{}),
		closed:  make(chan struct{}),
		table:   queue.New(cfg.Queue, p.Self, p.Rand),
	}
	e.waiting = p.Metrics.Scope().Gauge("waiting")
	e.running = p.Metrics.Scope().Gauge("running")
	e.health = telem.NewHealth(e.ready)
	e.server = e.newServer()
	return e, nil
}

func (e *Entry) newServer() *http.Server {
	router := echo.New()
	router.HTTPErrorHandler = e.routeError
	telem.Mount(router, e.health, e.metrics)
	serve := func(c echo.Context) error {
		e.serve(c.Response(), c.Request())
		return nil
	}
	router.Any("/*", serve)
	router.RouteNotFound("/*", serve)
	return &http.Server{
		Handler:           router,
		ReadHeaderTimeout: e.cfg.ReadHeaderTimeout,
		IdleTimeout:       e.cfg.IdleTimeout,
		MaxHeaderBytes:    serverHeaderMax,
		ErrorLog:          e.log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
}

// routeError answers what the router itself refuses.
func (e *Entry) routeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	r := cleat.Refusal{Request: e.nextID(), Reason: cleat.ReasonNoRule, Ran: cleat.RanNo}
	if werr := writeRefusal(c.Response(), r, err.Error()); werr != nil {
		e.log.Debug("refusal not written", "err", werr)
	}
}

// Addr returns the bound address for callers.
func (e *Entry) Addr() string { return e.ln.Addr().String() }

// Ready reports whether the entry takes new requests and, when not, why.
func (e *Entry) Ready() (bool, string) { return e.health.Ready() }

func (e *Entry) ready() (bool, string) {
	if _, ok := e.fleet.Fleet(); !ok {
		return false, "no confirmed settings yet"
	}
	if e.links.count() == 0 {
		return false, "no link to any agent"
	}
	return true, ""
}

// Demand returns how many requests for each model wait or run here.
func (e *Entry) Demand() []cleat.ModelDemand {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.Demand()
}

// Abandoned says what a Close now would cut off.
func (e *Entry) Abandoned() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("entry: %d waiting and %d running requests", e.table.Waiting(), e.table.Running())
}

// Drain begins the graceful shutdown: no new requests, the others to their end.
func (e *Entry) Drain() {
	e.once.drain.Do(func() {
		e.health.Drain()
		e.gate.close()
		e.mu.Lock()
		e.table.Drain(e.clock.Now())
		e.mu.Unlock()
		close(e.drained)
	})
}

// Close ends Run at once and cuts off every request.
func (e *Entry) Close() {
	e.once.close.Do(func() { close(e.closed) })
}

// Run serves callers until the entry is drained, which returns nil, or closed.
func (e *Entry) Run() error {
	ctx, stop := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	defer workers.Wait()
	defer stop()
	workers.Go(func() { e.tick(ctx) })
	for range e.cfg.Workers {
		workers.Go(func() { e.work(ctx) })
	}
	failed := make(chan error, 1)
	go func() { failed <- e.server.Serve(e.ln) }()
	e.log.Info("serving callers", "http", e.Addr())
	select {
	case err := <-failed:
		return trace.Wrap(err, "Entry.Run: serving callers")
	case <-e.closed:
		return trace.Wrap(e.server.Close())
	case <-e.drained:
		return e.finish()
	}
}

// finish waits until the last request has its answer, and closes the server.
func (e *Entry) finish() error {
	notice := time.NewTimer(e.cfg.DrainNotice)
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-e.closed:
		return trace.Wrap(e.server.Close())
	}
	poll := time.NewTicker(drainPoll)
	defer poll.Stop()
	for e.gate.inside() > 0 {
		select {
		case <-poll.C:
		case <-e.closed:
			return trace.Wrap(e.server.Close())
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := e.server.Shutdown(ctx); err != nil {
		e.log.Debug("closing idle connections", "err", err)
		return trace.Wrap(e.server.Close())
	}
	return nil
}

func (e *Entry) tick(ctx context.Context) {
	ticker := time.NewTicker(e.cfg.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.decide(e.tickTable)
		case <-ctx.Done():
			return
		}
	}
}

// tickTable gives the table new settings and the time; Entry.mu is held.
func (e *Entry) tickTable(now time.Time) cleat.Effects {
	eff := e.configure(now)
	eff.Add(e.table.Tick(now))
	e.waiting.Update(float64(e.table.Waiting()))
	e.running.Update(float64(e.table.Running()))
	return eff
}

// configure gives the table the settings in force when they changed; Entry.mu is held.
func (e *Entry) configure(now time.Time) cleat.Effects {
	f, ok := e.fleet.Fleet()
	if !ok || f == e.inUse {
		return cleat.Effects{}
	}
	e.inUse = f
	return e.table.Configure(now, f)
}

func (e *Entry) nextID() cleat.RequestID {
	n := e.seq.Add(1)
	return cleat.RequestID(string(e.self.Instance) +
		"-" + strconv.FormatUint(uint64(e.self.Incarnation), requestIDBase) +
		"-" + strconv.FormatUint(n, requestIDBase))
}

// gate counts requests inside and lets none in once it is closed.
type gate struct {
	mu     sync.Mutex
	n      int
	closed bool
}

func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.n++
	return true
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n--
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

func (g *gate) inside() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.n
}
