package ctrl

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/httpd"
	"marigoldcleat.example/cleat/link/wire"
	"marigoldcleat.example/cleat/policy/ledger"
	"marigoldcleat.example/cleat/policy/member"
	"marigoldcleat.example/cleat/policy/order"
	"marigoldcleat.example/cleat/policy/roster"
	"marigoldcleat.example/cleat/role/telem"
	"marigoldcleat.example/cleat/state/exits"
	"marigoldcleat.example/cleat/state/quorum"
	"marigoldcleat.example/cleat/state/store"
)

const shutdownTimeout = 5 * time.Second

// apiIdleTimeout is how long operators and upstreams may keep a connection without a call.
const apiIdleTimeout = 2 * time.Minute

// maxAPIBodyBytes bounds the body of a call to the API: the largest is a manifest, whose own
// bound is checked by what reads it.
const maxAPIBodyBytes = 2 * cleat.MaxManifestBytes

// Role is one control instance.
type Role struct {
	cfg           Config
	clock         cleat.Clock
	log           *log.Logger
	self          cleat.Peer
	machine       *Machine
	host          *quorum.Host
	server        *wire.Server
	dialer        *wire.Dialer
	httpListener  net.Listener
	extraListener net.Listener // Of the additional API; nil if there is none.
	echo          *echo.Echo
	callers       *httpd.Budget // What operators and upstreams make the process hold.
	health        *telem.Health
	metrics       *telem.Metrics
	instruments   instruments
	ctx           context.Context // Done when the role ends.
	cancel        context.CancelFunc
	seedState     []byte        // The state of a lost log to restore; nil if there is none.
	claimSlots    chan struct{} // Semaphore: holds one element per claim in flight.
	exitSlots     chan struct{} // As claimSlots, for exits of upstreams.
	proposeExit   func(context.Context, exits.Command) (exits.Result, error)

	exitMu          sync.Mutex // Guards the fields below; never held with mu.
	nextExits       *exitBatch // Committed once the batch under way is done; nil if there is none.
	committingExits bool       // commitBatches runs.

	mu           sync.Mutex
	members      *member.Table
	relay        *ledger.Relay
	orders       *order.Table
	nodes        map[cleat.InstanceID]*nodeLink
	peers        map[cleat.InstanceID]*peerLinks
	pendingCalls map[uint64]chan cleat.Message // To other control instances, by number.
	lastCall     uint64

	roster         *roster.Table                       // Of announced upstreams.
	exitsAhead     map[cleat.Link]*cleat.UpstreamExits // Received, for the update that follows on the link.
	exitsMerged    uint64                              // Revision of the committed exits that the roster has.
	identified     []exits.Exit                        // Incarnations of withdrawals, to be committed.
	manifestBodies []manifestBody                      // Cached bodies of the newest manifests, oldest first.
	renewedAt      time.Time                           // When the other instances were last sent renewals of the roster.
	confirmedAt    time.Time                           // When a quorum last confirmed a read.
	dialed         map[string]bool

	startedAt        time.Time
	newFleet         bool // There was no fleet before this start, and so no streams.
	newFleetRecorded bool
	toldFrom         time.Time // From when nodes were told that all upstreams are known.
	streams          *streamRecords
}

// nodeLink is the newest link of a node and what was sent on it.
type nodeLink struct {
	link            cleat.Link
	registered      bool
	manifestVersion uint64         // Reported by the node or sent on this link.
	sentRevision    cleat.Revision // Of settings, reported by the node or sent on this link.
	receiver        member.Receiver
	sentEvacuations uint64 // Revision of the evacuations sent on this link.
}

// peerLinks are the links to another control instance; there can be two, as both sides
// dial.
type peerLinks struct {
	links  []cleat.Link
	cursor member.Cursor // Of membership changes sent; reset when the links change.
}

var (
	_ cleat.LinkHandler = (*Role)(nil)
	_ quorum.Transport  = (*Role)(nil)
	_ telem.Daemon      = (*Role)(nil)
)

// Open opens the data folder and binds the addresses; Run serves them.
func Open(cfg Config, logger *log.Logger) (*Role, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, trace.Wrap(err, "Open")
	}
	clock := cleat.SystemClock{}
	now := clock.Now()
	self := cleat.Peer{Instance: cfg.ID, Incarnation: cleat.NewIncarnation(now), Role: cleat.RoleControl, Domain: cfg.Domain}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Role{
		cfg: cfg, clock: clock, log: logger, self: self,
		machine: NewMachine(clock),
		metrics: telem.NewMetrics(cleat.RoleControl, logger),
		ctx:     ctx, cancel: cancel,
		claimSlots:   make(chan struct{}, MaxClaimsInFlight),
		exitSlots:    make(chan struct{}, MaxExitsInFlight),
		members:      member.New(cfg.Member, now),
		relay:        ledger.NewRelay(self),
		orders:       order.New(cfg.Order),
		nodes:        make(map[cleat.InstanceID]*nodeLink),
		peers:        make(map[cleat.InstanceID]*peerLinks),
		pendingCalls: make(map[uint64]chan cleat.Message),
		roster:       roster.New(),
		exitsAhead:   make(map[cleat.Link]*cleat.UpstreamExits),
		dialed:       make(map[string]bool),
		startedAt:    now, streams: newStreamRecords(now),
	}
	r.instruments = newInstruments(r.metrics.Scope())
	r.proposeExit = r.commitExitCommand
	var err error
	if r.callers, err = httpd.NewBudget(httpd.BudgetConfig{MaxBytes: cfg.MaxHeldBytes, MaxConns: cfg.MaxConns}); err != nil {
		cancel()
		return nil, trace.Wrap(err, "Open")
	}
	if err := r.open(); err != nil {
		cancel()
		return nil, trace.Wrap(err, "Open")
	}
	return r, nil
}

func (r *Role) open() error {
	disk, err := r.logDisk()
	if err != nil {
		return err
	}
	if r.newFleet, err = r.isNewFleet(disk); err != nil {
		return err
	}
	if r.seedState, err = readSeed(r.cfg.Seed); err != nil {
		return err
	}
	qcfg := quorum.Config{Self: r.cfg.ID, InitialInstances: r.cfg.InitialInstances, Peers: r.cfg.Join, MaxCommandBytes: maxCommandBytes + len(r.seedState)}
	r.host, err = quorum.Open(qcfg, disk, r.machine, r, r.clock, rand.New(rand.NewSource(randomSeed())), r.log)
	if err != nil {
		return err
	}
	if err := r.bind(); err != nil {
		return trace.NewAggregate(err, r.closeHost())
	}
	r.dialer = wire.NewDialer(r.cfg.Wire, r.identity, r, r.log)
	r.health = telem.NewHealth(r.ready)
	r.echo = r.newAPI()
	return nil
}

// logDisk returns the disk of the log: Config.Disk, or a subfolder of the data folder.
func (r *Role) logDisk() (cleat.Disk, error) {
	folder, err := store.NewFolder(r.dataPath(logFolder))
	if err != nil {
		return nil, err
	}
	if r.cfg.Disk != nil {
		return r.cfg.Disk, nil
	}
	return folder, nil
}

// maxCommandBytes leaves room for the largest change with its encoded paths.
const maxCommandBytes = 3 << 20

// closeHost releases the data folder of a host that was never run.
func (r *Role) closeHost() error {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	return r.host.Run(canceled)
}

func randomSeed() int64 {
	var b [8]byte
	_, _ = crand.Read(b[:]) // Never returns an error.
	return int64(binary.LittleEndian.Uint64(b[:]))
}

func (r *Role) identity() cleat.Peer { return r.self }

// Addr returns the bound address for links, as host:port.
func (r *Role) Addr() string { return r.server.Addr() }

// HTTPAddr returns the bound address for operators, as host:port.
func (r *Role) HTTPAddr() string { return r.httpListener.Addr().String() }

// Run serves until Drain or Close is called or a worker fails. At the end it hands over
// leadership of the log.
func (r *Role) Run() error {
	var g run.Group
	r.addWorker(&g, r.host.Run)
	r.addWorker(&g, r.pushLoop)
	r.addWorker(&g, r.memberLoop)
	r.addWorker(&g, r.sumsLoop)
	r.addWorker(&g, r.confirmLoop)
	r.addWorker(&g, r.leaderLoop)
	r.addWorker(&g, r.dialLoop)
	r.addWorker(&g, r.bootstrapLoop)
	r.addWorker(&g, r.gaugeLoop)
	r.addWorker(&g, r.autopilotLoop)
	r.addWorker(&g, r.streamLoop)
	if err := r.addServers(&g); err != nil {
		return trace.Wrap(err, "Role.Run")
	}
	return trace.Wrap(g.Run(), "Role.Run")
}

// addWorker adds a worker that ends with the role's context.
func (r *Role) addWorker(g *run.Group, worker func(ctx context.Context) error) {
	g.Add(func() error { return worker(r.ctx) }, func(error) { r.cancel() })
}

func (r *Role) addServers(g *run.Group) error {
	g.Add(r.server.Serve, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if err := r.server.Shutdown(ctx); err != nil {
			r.log.Warn("links closed before shutdown completed", "err", err)
		}
		r.dialer.Close()
	})
	if err := r.addHTTP(g, r.httpListener, r.echo); err != nil || r.cfg.Extra == nil {
		return err
	}
	return r.addHTTP(g, r.extraListener, r.cfg.Extra(r))
}

// addHTTP serves a handler until the role ends.
func (r *Role) addHTTP(g *run.Group, l net.Listener, h http.Handler) error {
	srv, err := httpd.New(httpd.Config{Budget: r.callers, HeadTimeout: shutdownTimeout, IdleTimeout: apiIdleTimeout}, httpd.Adapt(h, maxAPIBodyBytes), r.log)
	if err != nil {
		return trace.Wrap(err)
	}
	g.Add(func() error { return srv.Serve(l) }, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if err := srv.Shutdown(ctx); err != nil {
			r.log.Warn("operator requests aborted at shutdown", "err", err)
		}
	})
	return nil
}

// Drain makes the health checks report that the role is not ready, leaves the log if the
// other voters are enough, and ends Run. It returns at once.
func (r *Role) Drain() {
	r.health.Drain()
	go func() {
		r.leaveLog()
		r.cancel()
	}()
}

// Close ends Run without changing the health checks.
func (r *Role) Close() { r.cancel() }

// Abandoned describes the work that Close would abandon now.
func (r *Role) Abandoned() string {
	return fmt.Sprintf("%d claims in flight", len(r.claimSlots))
}

// ready reports whether a leader is known; without one no change is accepted.
func (r *Role) ready() (bool, string) {
	if _, ok := r.host.Leader(); !ok {
		return false, "no leader is known"
	}
	return true, ""
}
