package quorum

import (
	"math/rand"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/assert"
)

// Duty is the part a replica plays in the present term.
type Duty string

// The duties of a replica.
const (
	DutyFollower  Duty = "follower"
	DutyPreVote   Duty = "pre_vote" // Asks whether an election would succeed.
	DutyCandidate Duty = "candidate"
	DutyLeader    Duty = "leader"
)

// Identity binds a replica to its data.
type Identity struct {
	Instance cleat.InstanceID `msgpack:"i"`
	Replica  ReplicaID        `msgpack:"r"`
}

// Restored is what a replica finds in its data at the start.
type Restored struct {
	Identity Identity
	State    HardState
	Snapshot SnapshotMeta
	Entries  []Entry
}

// ReadIndex is a confirmed read: the state holds what the read must see once
// the entry at Index is applied.
type ReadIndex struct {
	ID    uint64
	Index uint64
}

// Install is a snapshot received whole from the leader.
type Install struct {
	Meta SnapshotMeta
	Data []byte
}

// Output is what one step of the core wants done, in this order: Install and
// persist, then apply; Send at once, After once all that was to be persisted
// until now is synced.
type Output struct {
	State   bool // The hard state changed.
	Entries []Entry
	Install *Install
	Apply   []Entry
	Send    []Message
	After   []Message
	Reads   []ReadIndex
	Refused []uint64 // Proposals that were certainly not accepted.
}

// Core decides for one replica; it is deterministic and not safe for
// concurrent use.
type Core struct {
	cfg     Config
	rnd     *rand.Rand
	id      Identity
	session uint64 // Distinguishes proposals of this life of the replica.
	state   HardState
	log     *entryLog
	commit  uint64
	since   uint64            // The term in which this life of the replica began.
	seen    map[uint64]uint64 // Last proposal by session; looked up only.
	halted  bool              // An invariant was violated; the replica takes no further part.

	present     time.Time // The latest time seen.
	duty        Duty
	leader      ReplicaID
	termLeader  ReplicaID // The only leader seen in this term.
	electionDue time.Time
	heard       time.Time // From the leader.
	votes       map[ReplicaID]bool
	incoming    *incomingSnapshot

	lead *leadership // Nil unless leading.
	out  Output
}

// NewCore returns a follower that begins with what was restored.
func NewCore(cfg Config, now time.Time, r Restored, session uint64, rnd *rand.Rand) *Core {
	c := &Core{cfg: cfg, rnd: rnd, id: r.Identity, session: session, state: r.State, duty: DutyFollower}
	c.since = r.State.Term
	c.seen = map[uint64]uint64{}
	c.log = newEntryLog(r.Snapshot, r.Entries)
	c.commit = r.Snapshot.Index
	c.present = now
	c.resetElection(now)
	return c
}

// Bootstrap forms a new log with members as its voters, or returns a
// trace.AlreadyExists error when the replica already belongs to one.
func (c *Core) Bootstrap(now time.Time, cluster ClusterID, members []Member) (Output, error) {
	if c.state != (HardState{}) || c.log.last() > 0 {
		return Output{}, trace.AlreadyExists("Core.Bootstrap: the replica belongs to a log already")
	}
	if len(members) == 0 || countVoters(members) > MaxVoters {
		return Output{}, trace.BadParameter("Core.Bootstrap: there must be 1 to %d members", MaxVoters)
	}
	sortMembers(members)
	c.state = HardState{Cluster: cluster, Term: 1}
	c.out.State = true
	c.appendOwn(Entry{Index: 1, Term: 1, Kind: EntryMembers, Members: members})
	c.electionDue = now
	return c.take(), nil
}

// Tick lets time pass.
func (c *Core) Tick(now time.Time) Output {
	c.observe(now)
	if c.halted {
		return Output{}
	}
	if c.duty == DutyLeader {
		c.tickLeader(now)
		return c.take()
	}
	if !now.Before(c.electionDue) && c.mayCampaign() {
		c.startPreVote(now)
	}
	return c.take()
}

// Step handles a message from another replica, or one that the core sent to itself.
func (c *Core) Step(now time.Time, m *Message) Output {
	c.observe(now)
	if c.halted || !c.isFor(m) {
		return Output{}
	}
	if c.checkTerm(now, m) {
		c.handle(now, m)
	}
	return c.take()
}

// Synced tells the core that its entries up to index, which had term, and its
// hard state are synced.
func (c *Core) Synced(now time.Time, index, term uint64) Output {
	c.observe(now)
	if c.log.matches(index, term) {
		c.log.stable = max(c.log.stable, index)
	}
	if c.duty == DutyLeader {
		c.advanceCommit(now)
	}
	return c.take()
}

// Compacted tells the core that a snapshot of the applied state up to meta is taken.
func (c *Core) Compacted(meta SnapshotMeta) {
	c.log.compact(meta, c.cfg.TrailingEntries, c.cfg.TrailingBytes)
}

func (c *Core) handle(now time.Time, m *Message) {
	switch m.Kind {
	case MsgPreVote:
		c.handlePreVote(now, m)
	case MsgVote:
		c.handleVote(now, m)
	case MsgPreVoteReply, MsgVoteReply:
		c.handleVoteReply(now, m)
	case MsgAppend, MsgSnapshot:
		c.handleFromLeader(now, m)
	case MsgAppendReply, MsgSnapshotReply:
		c.handleFromFollower(now, m)
	case MsgPropose:
		c.handlePropose(now, m)
	case MsgProposeReply:
		c.handleProposeReply(m)
	case MsgRead:
		c.handleRead(now, m)
	case MsgReadReply:
		c.handleReadReply(m)
	case MsgCampaign:
		c.handleCampaign(now, m)
	}
}

func (c *Core) isVoter() bool {
	members, _ := c.log.members()
	m, ok := findMember(members, c.id.Replica)
	return ok && !m.Learner
}

// mayCampaign reports whether the replica may stand for election: also when its
// removal is not known to be committed, because it may be the only one whose log
// is long enough. Its own vote doesn't count then.
func (c *Core) mayCampaign() bool {
	if c.isVoter() || c.configCommitted() {
		return c.isVoter()
	}
	before := c.log.configs[max(len(c.log.configs)-2, 0)]
	m, ok := findMember(before.members, c.id.Replica)
	return ok && !m.Learner
}

// majority returns how many voters make a quorum.
func (c *Core) majority() int {
	members, _ := c.log.members()
	return countVoters(members)/2 + 1
}

// otherMembers returns the members but for this replica.
func (c *Core) otherMembers() []Member {
	members, _ := c.log.members()
	others := make([]Member, 0, len(members))
	for _, m := range members {
		if m.Replica != c.id.Replica {
			others = append(others, m)
		}
	}
	return others
}

// appendOwn appends an entry that this replica made.
func (c *Core) appendOwn(e Entry) {
	c.log.append([]Entry{e})
	c.out.Entries = append(c.out.Entries, e)
}

// commitTo raises the commit index and hands out the entries to apply.
func (c *Core) commitTo(index uint64) {
	if index <= c.commit {
		return
	}
	c.out.Apply = append(c.out.Apply, c.log.between(c.commit, index)...)
	c.commit = index
}

// violate reports a broken invariant and takes the replica out of service.
func (c *Core) violate(name, format string, args ...any) {
	c.halted = true
	assert.Fail(name, format, args...)
}

func (c *Core) send(m Message) {
	c.out.Send = append(c.out.Send, c.stamp(m))
}

func (c *Core) after(m Message) {
	c.out.After = append(c.out.After, c.stamp(m))
}

func (c *Core) stamp(m Message) Message {
	m.Cluster = c.state.Cluster
	m.From = c.id.Replica
	m.Instance = c.id.Instance
	if m.Term == 0 {
		m.Term = c.state.Term
	}
	return m
}

func (c *Core) take() Output {
	out := c.out
	c.out = Output{}
	return out
}
