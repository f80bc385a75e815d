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
	idBytes         = 16
	diskRetryDelay  = 200 * time.Millisecond
	handoverTimeout = time.Second
	snapshotCheck   = 50 * time.Millisecond
)

// Transport carries messages to other control instances.
type Transport interface {
	// Send queues m for an instance; it fails when there is no link or no room.
	Send(to cleat.InstanceID, m *cleat.PeerMessage) error
}

// Host runs a replica on a disk and links; it implements cleat.Replicator.
//
// The state machine's Apply and Restore are called while the host's mutex is
// held, so they must not call the host. Its Snapshot is called without, and never
// while Apply runs, but may meet Restore.
type Host struct {
	cfg       Config
	clock     cleat.Clock
	transport Transport
	log       *log.Logger
	store     *store.Store // Used by the disk worker only once Run has begun.

	mu      sync.Mutex // Guards the fields below; taken before sendMu.
	replica *Replica
	machine cleat.StateMachine
	diskErr error
	stopped bool

	sendMu sync.Mutex // Guards queue.
	queue  []Envelope

	work chan struct{}
	send chan struct{}
}

// Open opens the data folder, makes a new replica identity when it is empty, and
// restores the state machine. A damaged log is a trace.BadParameter error.
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
		work:      make(chan struct{}, 1),
		send:      make(chan struct{}, 1),
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
		if restored.Identity, err = h.newIdentity(); err != nil {
			return trace.Wrap(err, "Host.restore")
		}
	}
	if c.Cut > 0 {
		h.log.Warn("cut the torn tail of the log", "bytes", c.Cut)
	}
	fresh := Fresh{Session: randomNumber(), Cluster: ClusterID(randomID())}
	h.replica, err = NewReplica(h.cfg, h.clock.Now(), restored, snapshot, sm, fresh, rnd)
	return trace.Wrap(err, "Host.restore")
}

// newIdentity writes a random identity into an empty data folder.
func (h *Host) newIdentity() (Identity, error) {
	id := Identity{Instance: h.cfg.Self, Replica: ReplicaID(randomID())}
	h.store.Append(NewIdentity(id.Instance, id.Replica))
	if err := h.store.Sync(); err != nil {
		return id, trace.Wrap(err, "Host.newIdentity")
	}
	h.log.Info("made a new replica", "instance", id.Instance, "replica", id.Replica)
	return id, nil
}

// Run works until ctx is done, then hands leadership over and closes the store.
func (h *Host) Run(ctx context.Context) error {
	workers, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, worker := range []func(context.Context){h.tickWorker, h.snapshotWorker, h.diskWorker, h.sendWorker} {
		wg.Go(func() { worker(workers) })
	}
	<-ctx.Done()
	h.handOver()
	stop()
	wg.Wait()
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	return trace.Wrap(h.store.Close(), "Host.Run")
}

// Receive handles a message that a link brought from another control instance.
func (h *Host) Receive(from cleat.InstanceID, m *cleat.PeerMessage) {
	h.do(func(now time.Time) {
		if err := h.replica.Receive(now, m); err != nil {
			h.log.Warn("dropped a message", "from", from, "err", err)
		}
	})
}

// Propose returns the result of the command once a quorum has synced it and it is
// applied here; a trace.ConnectionProblem error means that its fate is unknown, a
// trace.LimitExceeded error that it was certainly not accepted.
func (h *Host) Propose(ctx context.Context, command []byte) ([]byte, error) {
	var result []byte
	err := h.wait(ctx, func(now time.Time, done func(error)) uint64 {
		return h.replica.Propose(now, command, func(r []byte, err error) {
			result = r
			done(err)
		})
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return result, nil
}

// Confirm returns once the local state holds all that was committed when it was
// called, confirmed by a quorum.
func (h *Host) Confirm(ctx context.Context) error {
	return h.wait(ctx, func(now time.Time, done func(error)) uint64 {
		return h.replica.Confirm(now, done)
	})
}

// Leader returns the leader this replica knows of, if any.
func (h *Host) Leader() (cleat.InstanceID, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replica.Leader()
}

// OrderLease returns whether this replica may issue orders now: it leads and
// every earlier leader's lease has run out; term fences the orders.
func (h *Host) OrderLease() (term uint64, held bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	term, held = h.replica.Lease(h.clock.Now())
	return term, held && !h.stopped
}

// Status returns where the replica stands.
func (h *Host) Status() Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.replica.Status(h.clock.Now())
	if h.diskErr != nil {
		s.DiskError = h.diskErr.Error()
	}
	return s
}

// AddLearner adds the replica of an instance that has announced itself, as a
// learner; a trace.NotFound error says that none has. Only the leader can.
func (h *Host) AddLearner(ctx context.Context, id cleat.InstanceID) error {
	h.mu.Lock()
	c, ok := h.replica.Candidate(h.clock.Now(), id)
	h.mu.Unlock()
	if !ok {
		return trace.NotFound("Host.AddLearner: instance %s has not announced a new replica", id)
	}
	return h.change(ctx, MemberChange{Kind: ChangeAdd, Member: Member{Instance: id, Replica: c.Replica}})
}

// Promote makes a learner that has caught up a voter. Only the leader can.
func (h *Host) Promote(ctx context.Context, id ReplicaID) error {
	return h.change(ctx, MemberChange{Kind: ChangePromote, Member: Member{Replica: id}})
}

// Remove takes a replica out of the member list. Only the leader can.
func (h *Host) Remove(ctx context.Context, id ReplicaID) error {
	return h.change(ctx, MemberChange{Kind: ChangeRemove, Member: Member{Replica: id}})
}

// TakeSnapshot has the log replaced soon by a snapshot of what is applied here.
func (h *Host) TakeSnapshot() error {
	if err := h.accepts(); err != nil {
		return trace.Wrap(err)
	}
	h.do(func(time.Time) { h.replica.AskSnapshot() })
	return nil
}

func (h *Host) change(ctx context.Context, change MemberChange) error {
	return h.wait(ctx, func(now time.Time, done func(error)) uint64 {
		return h.replica.ChangeMembers(now, change, done)
	})
}

// wait begins something and waits until it is done or ctx ends.
func (h *Host) wait(ctx context.Context, begin func(time.Time, func(error)) uint64) error {
	done := make(chan error, 1)
	var id uint64
	if err := h.accepts(); err != nil {
		return trace.Wrap(err)
	}
	h.do(func(now time.Time) {
		id = begin(now, func(err error) { done <- err })
	})
	select {
	case err := <-done:
		return trace.Wrap(err)
	case <-ctx.Done():
	}
	h.do(func(time.Time) { h.replica.Forget(id) })
	return trace.ConnectionProblem(ctx.Err(), "Host.wait: the fate is unknown")
}

// accepts refuses callers while the disk fails.
func (h *Host) accepts() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return trace.LimitExceeded("Host.accepts: the replica is stopped")
	}
	if h.diskErr != nil {
		return trace.LimitExceeded("Host.accepts: the disk fails: %v", h.diskErr)
	}
	return nil
}

// do runs f on the replica and passes on what came out of it.
func (h *Host) do(f func(now time.Time)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return
	}
	f(h.clock.Now())
	h.sendMu.Lock()
	h.queue = append(h.queue, h.replica.Outbox()...)
	h.sendMu.Unlock()
	wake(h.send)
	wake(h.work)
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func randomNumber() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:]) // It never fails.
	return binary.LittleEndian.Uint64(b[:])
}

func randomID() string {
	var b [idBytes]byte
	_, _ = crand.Read(b[:]) // It never fails.
	return hex.EncodeToString(b[:])
}
