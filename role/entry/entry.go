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
	maxQueuedLongDispatches = 256
	serverMaxHeaderBytes    = 1 << 20 // Upper bound; the limit in force comes from the settings.
	shutdownTimeout         = 5 * time.Second
	drainPollInterval       = 5 * time.Millisecond
	requestIDBase           = 36
)

// Dependencies holds what an entry depends on.
type Dependencies struct {
	Self    cleat.Peer
	Fleet   cleat.FleetSource
	Claims  cleat.Claims // Nil without control; every claim then fails.
	Clock   cleat.Clock
	Rand    *rand.Rand
	Log     *log.Logger
	Metrics *telem.Metrics
}

// Entry is the entry role of one process. It implements cleat.LinkHandler for
// its links to agents.
type Entry struct {
	cfg            Config
	self           cleat.Peer
	fleet          cleat.FleetSource
	claims         cleat.Claims
	clock          cleat.Clock
	log            *log.Logger
	metrics        *telem.Metrics
	health         *telem.Health
	ln             net.Listener
	server         *http.Server
	bodyBudget     *byteBudget
	earlyRefusals  *earlyRefusals
	links          *agentLinks
	calls          *calls
	longDispatches chan longDispatch
	seq            atomic.Uint64
	gate           requestGate
	draining       chan struct{}
	closed         chan struct{}
	once           struct{ drain, close sync.Once }

	waiting tally.Gauge
	running tally.Gauge

	effectsMu sync.Mutex // Keeps effects in the order of the table updates; see doc.go.

	mu            sync.Mutex
	table         *queue.Table
	tableSettings *cleat.Fleet // Settings last passed to the table.
}

// New returns an entry that listens for callers at addr, as host:port.
func New(cfg Config, addr string, p Dependencies) (*Entry, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, trace.Wrap(err, "New: listening for callers")
	}
	e := &Entry{
		cfg:            cfg,
		self:           p.Self,
		fleet:          p.Fleet,
		claims:         p.Claims,
		clock:          p.Clock,
		log:            p.Log,
		metrics:        p.Metrics,
		ln:             ln,
		bodyBudget:     &byteBudget{max: cfg.MaxHeldBytes},
		earlyRefusals:  newEarlyRefusals(),
		links:          newAgentLinks(),
		calls:          &calls{byID: make(map[cleat.RequestID]*call)},
		longDispatches: make(chan longDispatch, maxQueuedLongDispatches),
		draining:       make(chan struct{}),
		closed:         make(chan struct{}),
		table:          queue.New(cfg.Queue, p.Self, p.Rand),
	}
	e.waiting = p.Metrics.Scope().Gauge("waiting")
	e.running = p.Metrics.Scope().Gauge("running")
	e.health = telem.NewHealth(e.checkReady)
	e.server = e.newServer()
	return e, nil
}

func (e *Entry) newServer() *http.Server {
	router := echo.New()
	router.HTTPErrorHandler = e.handleRouterError
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
		MaxHeaderBytes:    serverMaxHeaderBytes,
		ErrorLog:          e.log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
}

// handleRouterError answers requests that the router itself rejects.
func (e *Entry) handleRouterError(err error, c echo.Context) {
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

// Ready reports whether the entry accepts new requests and, if not, the reason.
func (e *Entry) Ready() (bool, string) { return e.health.Ready() }

func (e *Entry) checkReady() (bool, string) {
	if _, ok := e.fleet.Fleet(); !ok {
		return false, "no confirmed settings yet"
	}
	if e.links.count() == 0 {
		return false, "no link to any agent"
	}
	return true, ""
}

// Demand returns the number of requests for each model that wait or run here.
func (e *Entry) Demand() []cleat.ModelDemand {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.Demand()
}

// Abandoned describes the requests that Close would abort now.
func (e *Entry) Abandoned() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("entry: %d waiting and %d running requests", e.table.Waiting(), e.table.Running())
}

// Drain starts a graceful shutdown: new requests are refused, accepted ones are
// answered.
func (e *Entry) Drain() {
	e.once.drain.Do(func() {
		e.health.Drain()
		e.gate.close()
		e.mu.Lock()
		e.table.Drain(e.clock.Now())
		e.mu.Unlock()
		close(e.draining)
	})
}

// Close makes Run return at once and aborts all requests.
func (e *Entry) Close() {
	e.once.close.Do(func() { close(e.closed) })
}

// Run serves callers until the entry is drained or closed; it returns nil when the
// entry was drained.
func (e *Entry) Run() error {
	ctx, stop := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	defer workers.Wait()
	defer stop()
	workers.Go(func() { e.tick(ctx) })
	for range e.cfg.Workers {
		workers.Go(func() { e.runWorker(ctx) })
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- e.server.Serve(e.ln) }()
	e.log.Info("serving callers", "http", e.Addr())
	select {
	case err := <-serveErr:
		return trace.Wrap(err, "Entry.Run: serving callers")
	case <-e.closed:
		return trace.Wrap(e.server.Close())
	case <-e.draining:
		return e.shutDown()
	}
}

// shutDown waits for the drain notice and the last answer, and closes the server.
func (e *Entry) shutDown() error {
	drainNotice := time.NewTimer(e.cfg.DrainNotice)
	defer drainNotice.Stop()
	select {
	case <-drainNotice.C:
	case <-e.closed:
		return trace.Wrap(e.server.Close())
	}
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for e.gate.activeCount() > 0 {
		select {
		case <-poll.C:
		case <-e.closed:
			return trace.Wrap(e.server.Close())
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := e.server.Shutdown(ctx); err != nil {
		e.log.Debug("server did not shut down gracefully; closing the remaining connections", "err", err)
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
			e.updateTable(e.tickTable)
		case <-ctx.Done():
			return
		}
	}
}

// tickTable updates the table's settings and clock, and the gauges. Entry.mu must
// be held.
func (e *Entry) tickTable(now time.Time) cleat.Effects {
	eff := e.updateSettings(now)
	eff.Add(e.table.Tick(now))
	e.waiting.Update(float64(e.table.Waiting()))
	e.running.Update(float64(e.table.Running()))
	return eff
}

// updateSettings passes the settings in force to the table if they changed.
// Entry.mu must be held.
func (e *Entry) updateSettings(now time.Time) cleat.Effects {
	f, ok := e.fleet.Fleet()
	if !ok || f == e.tableSettings {
		return cleat.Effects{}
	}
	e.tableSettings = f
	return e.table.Configure(now, f)
}

func (e *Entry) nextID() cleat.RequestID {
	n := e.seq.Add(1)
	return cleat.RequestID(string(e.self.Instance) +
		"-" + strconv.FormatUint(uint64(e.self.Incarnation), requestIDBase) +
		"-" + strconv.FormatUint(n, requestIDBase))
}

// requestGate counts active requests and admits none once it is closed.
type requestGate struct {
	mu     sync.Mutex
	active int
	closed bool
}

func (g *requestGate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.active++
	return true
}

func (g *requestGate) exit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
}

func (g *requestGate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

func (g *requestGate) activeCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.active
}
