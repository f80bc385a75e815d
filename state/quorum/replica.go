package quorum

import (
	"math/rand"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/assert"
)

// Replica combines a Core with its state machine, the waiting callers and the
// batches for the log store. It is deterministic and not safe for concurrent use.
type Replica struct {
	cfg  Config
	core *Core
	sm   cleat.StateMachine

	applied            uint64
	appliedTerm        uint64
	bytesSinceSnapshot int // Bytes of commands applied since the last snapshot.
	snapshot           []byte

	snapshotRequested bool    // RequestSnapshot was called.
	snapshotting      bool    // Between BeginSnapshot and EndSnapshot.
	snapshotObsolete  bool    // The snapshot being taken was superseded by one from the leader.
	deferredEntries   []Entry // Committed entries to apply once the snapshot is taken.

	inFlight        *Batch
	replacePending  bool // The next batch replaces the whole stored log.
	pendingEntries  []Entry
	statePending    bool
	pendingMessages []Message
	syncedState     HardState
	syncedIndex     uint64 // Index of the last synced entry.

	waiters     waiters
	outbox      []Envelope
	addresses   map[ReplicaID]cleat.InstanceID // Instances of message senders; never iterated, since map order is random.
	nonces      Nonces
	lastTime    time.Time // Time of the last tick.
	announceDue time.Time
	candidates  []JoinCandidate // Sorted by instance.
}

// Nonces holds random values that no earlier incarnation of a replica has used.
type Nonces struct {
	Session uint64    // Distinguishes proposals from those made before a restart.
	Cluster ClusterID // ID of the log, if this replica creates one.
}

// maxAddresses is the maximum number of senders whose instances are kept.
const maxAddresses = 64

// NewReplica returns a replica with the restored state.
func NewReplica(cfg Config, now time.Time, restored Restored, snapshot []byte, sm cleat.StateMachine, nonces Nonces, rnd *rand.Rand) (*Replica, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	if id := restored.Identity.Instance; id != cfg.Self {
		return nil, trace.BadParameter("NewReplica: the data belongs to instance %q, not to %q", id, cfg.Self)
	}
	if restored.Snapshot.Index > 0 {
		if err := sm.Restore(snapshot); err != nil {
			return nil, trace.Wrap(err, "NewReplica: restore the snapshot of entry %d", restored.Snapshot.Index)
		}
	}
	r := &Replica{
		cfg:         cfg,
		core:        NewCore(cfg, now, restored, nonces.Session, rnd),
		sm:          sm,
		nonces:      nonces,
		applied:     restored.Snapshot.Index,
		appliedTerm: restored.Snapshot.Term,
		snapshot:    snapshot,
		syncedState: restored.State,
		addresses:   map[ReplicaID]cleat.InstanceID{},
	}
	r.syncedIndex = r.core.log.lastIndex()
	r.waiters.init()
	return r, nil
}

// EncodeIdentity returns the record that binds a new replica to its data.
func EncodeIdentity(self cleat.InstanceID, id ReplicaID) []byte {
	return encode(&record{Identity: &Identity{Instance: self, Replica: id}})
}

// Tick advances the replica to now: it runs elections and heartbeats, times out
// waiting callers, retries reads, and forms or joins a log.
func (r *Replica) Tick(now time.Time) {
	r.observeClock(now)
	r.processOutput(now, r.core.Tick(now))
	r.waiters.expire(now)
	r.retryReads(now)
	r.formCluster(now)
	r.announce(now)
}

// observeClock shifts deadlines and discards the candidates if the clock was set back.
func (r *Replica) observeClock(now time.Time) {
	back := r.lastTime.Sub(now)
	r.lastTime = now
	if back <= 0 {
		return
	}
	r.announceDue = now
	r.candidates = nil
	r.waiters.shiftBack(back)
}

// Receive handles a message from another instance. It returns a
// trace.BadParameter error if the message can't be decoded.
func (r *Replica) Receive(now time.Time, p *cleat.PeerMessage) error {
	m, err := decodeMessage(p)
	if err != nil {
		return trace.Wrap(err)
	}
	if m.Kind == MsgJoin {
		r.recordCandidate(now, m)
		r.relayJoin(m)
		return nil
	}
	r.recordAddress(m)
	r.processOutput(now, r.core.Step(now, m))
	return nil
}

// Propose proposes a command. It calls done once, with the result or with an error
// of the kinds documented for cleat.Replicator.Propose, and returns the ID to pass
// to RemoveWaiter.
func (r *Replica) Propose(now time.Time, command []byte, done func([]byte, error)) uint64 {
	id := r.waiters.add(now.Add(r.cfg.ProposeTimeout), done)
	out, err := r.core.Propose(now, id, command)
	if err != nil {
		r.waiters.finish(id, nil, err)
		return id
	}
	r.recordProposal(id, out.Entries)
	r.processOutput(now, out)
	return id
}

// ChangeMembers proposes a membership change. It calls done once the change is
// committed, or with an error, and returns the ID to pass to RemoveWaiter.
func (r *Replica) ChangeMembers(now time.Time, change MemberChange, done func(error)) uint64 {
	id := r.waiters.add(now.Add(r.cfg.ProposeTimeout), func(_ []byte, err error) { done(err) })
	out, err := r.core.ChangeMembers(now, id, change)
	if err != nil {
		r.waiters.finish(id, nil, err)
		return id
	}
	r.recordProposal(id, out.Entries)
	r.processOutput(now, out)
	return id
}

// RemoveWaiter removes a caller that no longer waits; its done is not called.
func (r *Replica) RemoveWaiter(id uint64) {
	r.waiters.remove(id)
}

// HandleSendFailure handles a message that could not be sent. If it carries a
// proposal, that proposal was certainly not accepted.
func (r *Replica) HandleSendFailure(e Envelope) {
	if e.Message.Kind == MsgPropose {
		r.finishRefused(e.Message.ID)
	}
}

// TakeOutbox returns the messages to send and empties the outbox.
func (r *Replica) TakeOutbox() []Envelope {
	out := r.outbox
	r.outbox = nil
	return out
}

// TransferLeader asks the most advanced follower to take over if this replica is the leader.
func (r *Replica) TransferLeader(now time.Time) {
	r.processOutput(now, r.core.TransferLeader())
}

// HandleDiskFailure makes the replica step down, because it can't write its log.
func (r *Replica) HandleDiskFailure(now time.Time) {
	r.processOutput(now, r.core.StepDown(now))
}

// processOutput carries out an output of the core.
func (r *Replica) processOutput(now time.Time, out Output) {
	r.queueForSync(&out)
	r.apply(out.Apply)
	for _, id := range out.Refused {
		r.finishRefused(id)
	}
	for _, read := range out.Reads {
		r.waiters.setReadIndex(read, r.applied)
	}
	for i := range out.Send {
		r.enqueueMessage(&out.Send[i])
	}
	r.releaseIfSynced(now)
}

func (r *Replica) finishRefused(id uint64) {
	r.waiters.finish(id, nil, trace.LimitExceeded("Replica.Propose: the leader did not accept the command"))
}

// recordProposal records the index of an entry that this replica appended as leader.
func (r *Replica) recordProposal(id uint64, entries []Entry) {
	if len(entries) == 1 {
		r.waiters.proposalsByIndex[entries[0].Index] = id
	}
}

func (r *Replica) apply(entries []Entry) {
	if r.snapshotting {
		r.deferredEntries = append(r.deferredEntries, entries...)
		return
	}
	for i := range entries {
		r.applyEntry(&entries[i])
	}
	if len(entries) > 0 {
		r.waiters.finishReads(r.applied)
	}
}

func (r *Replica) applyEntry(e *Entry) {
	if e.Index != r.applied+1 || e.Term < r.appliedTerm {
		assert.Fail("applied_in_order", "entry %d of term %d applied after %d of term %d", e.Index, e.Term, r.applied, r.appliedTerm)
	}
	var result []byte
	if e.Kind == EntryCommand {
		result = r.sm.Apply(e.Index, e.Data)
		r.bytesSinceSnapshot += e.size()
	}
	r.applied = e.Index
	r.appliedTerm = e.Term
	r.waiters.finishCommitted(e, e.Session == r.core.session, result)
}

// enqueueMessage adds a message to the outbox. It fills in the data of snapshot chunks.
func (r *Replica) enqueueMessage(m *Message) {
	to, ok := r.instanceOf(m.To)
	if !ok {
		return
	}
	if m.Kind == MsgSnapshot {
		from := min(m.Offset, uint64(len(r.snapshot)))
		to := min(from+uint64(r.cfg.SnapshotChunkBytes), uint64(len(r.snapshot)))
		m.Data = r.snapshot[from:to]
	}
	r.outbox = append(r.outbox, Envelope{To: to, Message: m})
}

// instanceOf returns the instance of a replica, from the member lists or from the
// messages that it sent.
func (r *Replica) instanceOf(id ReplicaID) (cleat.InstanceID, bool) {
	for _, c := range slices.Backward(r.core.log.configs) {
		if m, ok := findMember(c.members, id); ok {
			return m.Instance, true
		}
	}
	instance, ok := r.addresses[id]
	return instance, ok
}

func (r *Replica) recordAddress(m *Message) {
	if len(r.addresses) >= maxAddresses {
		clear(r.addresses)
	}
	r.addresses[m.From] = m.Instance
}
