package quorum

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"math/rand"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/state/store"
)

const (
	idBytes               = 16
	diskRetryDelay        = 200 * time.Millisecond
	transferTimeout       = time.Second
	snapshotCheckInterval = 50 * time.Millisecond
)

// Transport sends messages to other control instances.
type Transport interface {
	// Send queues m for an instance; it fails if there is no link or the queue is full.
	Send(to cleat.InstanceID, m *cleat.PeerMessage) error
}

// Host runs a replica with a disk and a transport; it implements cleat.Replicator.
//
// The state machine's Apply and Restore are called while the host's mutex is
// held, so they must not call the host. Its Snapshot is called without the mutex;
// it never runs concurrently with Apply, but may with Restore.
type Host struct {
	cfg       Config
	clock     cleat.Clock
	transport Transport
	log       *log.Logger
	store     *store.Store // Used only by the disk worker once Run has started.

	mu      sync.Mutex // Protects the fields below; locked before sendMu.
	replica *Replica
	machine cleat.StateMachine
	diskErr error
	stopped bool

	sendMu sync.Mutex // Protects queue.
	queue  []Envelope

	workReady chan struct{}
	sendReady chan struct{}
}

// Open opens the data folder, creates a replica identity if it is empty, and
// restores the state machine. It returns a trace.BadParameter error if the log is
// corrupt.
func Open(cfg Config, disk cleat.Disk, sm cleat.StateMachine, tr Transport, clock cleat.Clock, rnd *rand.Rand, logger *log.Logger) (*Host, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, trace.Wrap(err, "Open")
	}
	s, contents, err := store.Open(store.Config{}, disk)
	if err != nil {
		return nil, trace.Wrap(err, "Open")
	}
	h := &Host{
		cfg:       cfg,
		clock:     clock,
		transport: tr,
		machine:   sm,
		log:       logger,
		store:     s,
		workReady: make(chan struct{}, 1),
		sendReady: make(chan struct{}, 1),
	}
	if err := h.restore(contents, sm, rnd); err != nil {
		return nil, trace.NewAggregate(err, s.Close())
	}
	return h, nil
}

func (h *Host) restore(c *store.Contents, sm cleat.StateMachine, rnd *rand.Rand) error {
	restored, snapshot, err := Restore(c)
	if err != nil {
		return trace.Wrap(err, "Host.restore")
	}
	if restored.Identity.Replica == "" {
		if restored.Identity, err = h.createIdentity(); err != nil {
			return trace.Wrap(err, "Host.restore")
		}
	}
	if c.TruncatedBytes > 0 {
		h.log.Warn("truncated the torn tail of the log", "bytes", c.TruncatedBytes)
	}
	nonces := Nonces{Session: randomSession(), Cluster: ClusterID(randomID())}
	h.replica, err = NewReplica(h.cfg, h.clock.Now(), restored, snapshot, sm, nonces, rnd)
	return trace.Wrap(err, "Host.restore")
}

// createIdentity writes a random identity into an empty data folder.
func (h *Host) createIdentity() (Identity, error) {
	id := Identity{Instance: h.cfg.Self, Replica: ReplicaID(randomID())}
	h.store.Append(EncodeIdentity(id.Instance, id.Replica))
	if err := h.store.Sync(); err != nil {
		return id, trace.Wrap(err, "Host.createIdentity")
	}
	h.log.Info("created a replica identity in the empty data folder", "instance", id.Instance, "replica", id.Replica)
	return id, nil
}

// Run runs the workers until ctx is done, then transfers leadership and closes the store.
func (h *Host) Run(ctx context.Context) error {
	workers, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, worker := range []func(context.Context){h.tickWorker, h.snapshotWorker, h.diskWorker, h.sendWorker} {
		wg.Go(func() { worker(workers) })
	}
	<-ctx.Done()
	h.TransferLeadership()
	stop()
	wg.Wait()
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	return trace.Wrap(h.store.Close(), "Host.Run")
}

// Receive handles a message received from another control instance.
func (h *Host) Receive(from cleat.InstanceID, m *cleat.PeerMessage) {
	h.withReplica(func(now time.Time) {
		if err := h.replica.Receive(now, m); err != nil {
			h.log.Warn("dropped a peer message that could not be decoded", "from", from, "err", err)
		}
	})
}

// Propose returns the result of the command once a quorum has synced it and it is
// applied on this replica. A trace.ConnectionProblem error means that the outcome
// is unknown, a trace.LimitExceeded error that it was certainly not accepted.
func (h *Host) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return h.StartPropose(command)(ctx)
}

// StartPropose proposes a command and returns a function that waits for its result, to
// be called once. Commands enter the log in the order in which they are proposed,
// unless one is lost on its way to the leader.
func (h *Host) StartPropose(command []byte) func(ctx context.Context) ([]byte, error) {
	var result []byte
	await := h.begin(func(now time.Time, done func(error)) uint64 {
		return h.replica.Propose(now, command, func(r []byte, err error) {
			result = r
			done(err)
		})
	})
	return func(ctx context.Context) ([]byte, error) {
		if err := await(ctx); err != nil {
			return nil, trace.Wrap(err)
		}
		return result, nil
	}
}

// ReadBarrier returns once the local state includes everything that was committed
// when it was called, as confirmed by a quorum.
func (h *Host) ReadBarrier(ctx context.Context) error {
	return h.wait(ctx, func(now time.Time, done func(error)) uint64 {
		return h.replica.ReadBarrier(now, done)
	})
}

// Leader returns the leader known to this replica, if any.
func (h *Host) Leader() (cleat.InstanceID, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replica.Leader()
}

// OrderLease reports whether this replica may issue orders now: it is the leader,
// holds its lease, and every earlier leader's lease has expired. The term is the
// high part of the orders' fencing numbers.
func (h *Host) OrderLease() (term uint64, held bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	term, held = h.replica.Lease(h.clock.Now())
	return term, held && !h.stopped
}

// Status returns the current status of the replica.
func (h *Host) Status() Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.replica.Status(h.clock.Now())
	if h.diskErr != nil {
		s.DiskError = h.diskErr.Error()
	}
	return s
}

// AddLearner makes the replica that an instance announced a learner. It returns a
// trace.NotFound error if the instance has announced none recently. Only the leader
// accepts the change.
func (h *Host) AddLearner(ctx context.Context, id cleat.InstanceID) error {
	h.mu.Lock()
	c, ok := h.replica.JoinCandidate(h.clock.Now(), id)
	h.mu.Unlock()
	if !ok {
		return trace.NotFound("Host.AddLearner: instance %s has not announced a new replica", id)
	}
	return h.changeMembers(ctx, MemberChange{Kind: ChangeAdd, Member: Member{Instance: id, Replica: c.Replica}})
}

// Promote makes a caught-up learner a voter. Only the leader accepts the change.
func (h *Host) Promote(ctx context.Context, id ReplicaID) error {
	return h.changeMembers(ctx, MemberChange{Kind: ChangePromote, Member: Member{Replica: id}})
}

// Remove removes a replica from the member list. Only the leader accepts the change.
func (h *Host) Remove(ctx context.Context, id ReplicaID) error {
	return h.changeMembers(ctx, MemberChange{Kind: ChangeRemove, Member: Member{Replica: id}})
}

// TakeSnapshot requests a snapshot of the applied state that compacts the log. It
// returns before the snapshot is taken.
func (h *Host) TakeSnapshot() error {
	if err := h.checkAvailable(); err != nil {
		return trace.Wrap(err)
	}
	h.withReplica(func(time.Time) { h.replica.RequestSnapshot() })
	return nil
}

func (h *Host) changeMembers(ctx context.Context, change MemberChange) error {
	return h.wait(ctx, func(now time.Time, done func(error)) uint64 {
		return h.replica.ChangeMembers(now, change, done)
	})
}

// wait calls start and waits until done is called or ctx ends.
func (h *Host) wait(ctx context.Context, start func(time.Time, func(error)) uint64) error {
	return h.begin(start)(ctx)
}

// begin calls start and returns a function that waits until done is called or ctx ends.
func (h *Host) begin(start func(time.Time, func(error)) uint64) func(ctx context.Context) error {
	done := make(chan error, 1)
	var id uint64
	if err := h.checkAvailable(); err != nil {
		return func(context.Context) error { return trace.Wrap(err) }
	}
	h.withReplica(func(now time.Time) {
		id = start(now, func(err error) { done <- err })
	})
	return func(ctx context.Context) error {
		select {
		case err := <-done:
			return trace.Wrap(err)
		case <-ctx.Done():
		}
		h.withReplica(func(time.Time) { h.replica.RemoveWaiter(id) })
		return trace.ConnectionProblem(ctx.Err(), "Host.begin: canceled or timed out before an answer; the outcome is unknown")
	}
}

// checkAvailable returns a trace.LimitExceeded error once the host has stopped or
// while the log can't be written.
func (h *Host) checkAvailable() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return trace.LimitExceeded("Host.checkAvailable: the replica is stopped")
	}
	if h.diskErr != nil {
		return trace.LimitExceeded("Host.checkAvailable: the log can't be written: %v", h.diskErr)
	}
	return nil
}

// withReplica runs f under the mutex, queues the messages that it produced and
// wakes the disk and send workers.
func (h *Host) withReplica(f func(now time.Time)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return
	}
	f(h.clock.Now())
	h.sendMu.Lock()
	h.queue = append(h.queue, h.replica.TakeOutbox()...)
	h.sendMu.Unlock()
	wake(h.sendReady)
	wake(h.workReady)
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func randomSession() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:]) // It never fails.
	return binary.LittleEndian.Uint64(b[:])
}

func randomID() string {
	var b [idBytes]byte
	_, _ = crand.Read(b[:]) // It never fails.
	return hex.EncodeToString(b[:])
}
