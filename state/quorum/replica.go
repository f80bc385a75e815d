package quorum

import (
	"math/rand"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/assert"
)

// Replica is a Core with its state machine, its waiting callers and its
// batches for the log store. It is deterministic and not safe for concurrent use.
type Replica struct {
	cfg  Config
	core *Core
	sm   cleat.StateMachine

	applied     uint64
	appliedTerm uint64
	recent      int // Bytes of commands applied since the last snapshot.
	snapshot    []byte

	asked        bool    // A snapshot is wanted.
	snapshotting bool    // Between BeginSnapshot and EndSnapshot.
	outdated     bool    // The snapshot being taken is no longer of use.
	deferred     []Entry // To apply once the snapshot is taken.

	inFlight *Batch
	replace  bool // The next batch replaces the whole log.
	entries  []Entry
	state    bool
	after    []Message
	durable  HardState
	last     uint64 // The last entry synced.

	waiters    waiters
	outbox     []Envelope
	addresses  map[ReplicaID]cleat.InstanceID // Of senders; looked up only.
	fresh      Fresh
	present    time.Time // Of the last tick.
	joinDue    time.Time
	candidates []Candidate // By instance.
}

// Fresh holds random values that no earlier life of a replica has used.
type Fresh struct {
	Session uint64    // Distinguishes its proposals from those before a restart.
	Cluster ClusterID // Of a log that it forms.
}

// maxAddresses bounds the senders that are remembered.
const maxAddresses = 64

// NewReplica returns a replica that begins with what was restored.
func NewReplica(cfg Config, now time.Time, restored Restored, snapshot []byte, sm cleat.StateMachine, fresh Fresh, rnd *rand.Rand) (*Replica, error) {
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
		core:        NewCore(cfg, now, restored, fresh.Session, rnd),
		sm:          sm,
		fresh:       fresh,
		applied:     restored.Snapshot.Index,
		appliedTerm: restored.Snapshot.Term,
		snapshot:    snapshot,
		durable:     restored.State,
		addresses:   map[ReplicaID]cleat.InstanceID{},
	}
	r.last = r.core.log.last()
	r.waiters.init()
	return r, nil
}

// NewIdentity returns the record that binds a new replica to its data.
func NewIdentity(self cleat.InstanceID, id ReplicaID) []byte {
	return encode(&record{Identity: &Identity{Instance: self, Replica: id}})
}

// Tick lets time pass.
func (r *Replica) Tick(now time.Time) {
	r.observe(now)
	r.process(now, r.core.Tick(now))
	r.waiters.expire(now)
	r.repeatReads(now)
	r.form(now)
	r.announce(now)
}

// observe moves what is timed along when the clock was set back.
func (r *Replica) observe(now time.Time) {
	back := r.present.Sub(now)
	r.present = now
	if back <= 0 {
		return
	}
	r.joinDue = now
	r.candidates = nil
	r.waiters.setBack(back)
}

// Receive handles a message from another instance; one that can't be read is a
// trace.BadParameter error.
func (r *Replica) Receive(now time.Time, p *cleat.PeerMessage) error {
	m, err := decodeMessage(p)
	if err != nil {
		return trace.Wrap(err)
	}
	if m.Kind == MsgJoin {
		r.noteCandidate(now, m)
		r.relayJoin(m)
		return nil
	}
	r.noteAddress(m)
	r.process(now, r.core.Step(now, m))
	return nil
}

// Propose has a command carried out; done is called once, with its result, or
// with an error as cleat.Replicator.Propose gives. It returns a number for Forget.
func (r *Replica) Propose(now time.Time, command []byte, done func([]byte, error)) uint64 {
	id := r.waiters.add(now.Add(r.cfg.ProposeTimeout), done)
	out, err := r.core.Propose(now, id, command)
	if err != nil {
		r.waiters.finish(id, nil, err)
		return id
	}
	r.noteOwn(id, out.Entries)
	r.process(now, out)
	return id
}

// ChangeMembers has a membership change carried out; done is called once it is
// committed, or with an error.
func (r *Replica) ChangeMembers(now time.Time, change MemberChange, done func(error)) uint64 {
	id := r.waiters.add(now.Add(r.cfg.ProposeTimeout), func(_ []byte, err error) { done(err) })
	out, err := r.core.ChangeMembers(now, id, change)
	if err != nil {
		r.waiters.finish(id, nil, err)
		return id
	}
	r.noteOwn(id, out.Entries)
	r.process(now, out)
	return id
}

// Forget drops a caller who no longer waits.
func (r *Replica) Forget(id uint64) {
	r.waiters.forget(id)
}

// SendFailed tells that a message did not leave: a proposal in it was
// certainly not accepted.
func (r *Replica) SendFailed(e Envelope) {
	if e.Message.Kind == MsgPropose {
		r.refuse(e.Message.ID)
	}
}

// Outbox returns the messages to send and empties the outbox.
func (r *Replica) Outbox() []Envelope {
	out := r.outbox
	r.outbox = nil
	return out
}

// TransferLeader asks the most advanced follower to take over, if this replica leads.
func (r *Replica) TransferLeader(now time.Time) {
	r.process(now, r.core.TransferLeader())
}

// DiskFailed makes the replica give up leading while it can't write.
func (r *Replica) DiskFailed(now time.Time) {
	r.process(now, r.core.StepDown(now))
}

// process carries out what the core wants.
func (r *Replica) process(now time.Time, out Output) {
	r.persist(&out)
	r.apply(out.Apply)
	for _, id := range out.Refused {
		r.refuse(id)
	}
	for _, read := range out.Reads {
		r.waiters.confirmed(read, r.applied)
	}
	for i := range out.Send {
		r.post(&out.Send[i])
	}
	r.releaseIfClean(now)
}

func (r *Replica) refuse(id uint64) {
	r.waiters.finish(id, nil, trace.LimitExceeded("Replica.Propose: the leader did not accept the command"))
}

// noteOwn remembers the place of an entry that this replica appended as leader.
func (r *Replica) noteOwn(id uint64, entries []Entry) {
	if len(entries) == 1 {
		r.waiters.placed[entries[0].Index] = id
	}
}

func (r *Replica) apply(entries []Entry) {
	if r.snapshotting {
		r.deferred = append(r.deferred, entries...)
		return
	}
	for i := range entries {
		r.applyEntry(&entries[i])
	}
	if len(entries) > 0 {
		r.waiters.applied(r.applied)
	}
}

func (r *Replica) applyEntry(e *Entry) {
	if e.Index != r.applied+1 || e.Term < r.appliedTerm {
		assert.Fail("applied_in_order", "entry %d of term %d applied after %d of term %d", e.Index, e.Term, r.applied, r.appliedTerm)
	}
	var result []byte
	if e.Kind == EntryCommand {
		result = r.sm.Apply(e.Index, e.Data)
		r.recent += e.size()
	}
	r.applied = e.Index
	r.appliedTerm = e.Term
	r.waiters.committed(e, e.Origin == r.core.session, result)
}

// post puts a message into the outbox, with the data of a snapshot's chunk.
func (r *Replica) post(m *Message) {
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

// instanceOf finds where a replica runs: by the member lists, or by what it sent.
func (r *Replica) instanceOf(id ReplicaID) (cleat.InstanceID, bool) {
	for _, c := range slices.Backward(r.core.log.configs) {
		if m, ok := findMember(c.members, id); ok {
			return m.Instance, true
		}
	}
	instance, ok := r.addresses[id]
	return instance, ok
}

func (r *Replica) noteAddress(m *Message) {
	if len(r.addresses) >= maxAddresses {
		clear(r.addresses)
	}
	r.addresses[m.From] = m.Instance
}
