package quorum

import (
	"math/rand"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/assert"
)

// RaftRole is the role of a replica in the current term.
type RaftRole string

// The roles of a replica.
const (
	RoleFollower     RaftRole = "follower"
	RolePreCandidate RaftRole = "pre_vote" // Asks the voters whether an election would succeed.
	RoleCandidate    RaftRole = "candidate"
	RoleLeader       RaftRole = "leader"
)

// Identity binds a replica to its data.
type Identity struct {
	Instance cleat.InstanceID `msgpack:"i"`
	Replica  ReplicaID        `msgpack:"r"`
}

// Restored is the persistent state that a replica loads from its data at startup.
type Restored struct {
	Identity Identity
	State    HardState
	Snapshot SnapshotMeta
	Entries  []Entry
}

// ReadIndex is a confirmed read: the state machine is current enough for the read
// once the entry at Index is applied.
type ReadIndex struct {
	ID    uint64
	Index uint64
}

// ReceivedSnapshot is a complete snapshot received from the leader.
type ReceivedSnapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// Output is the result of one step of the core. The caller processes it in this
// order: install the snapshot, queue the hard state and Entries to be persisted,
// then apply. Send goes out at once, SendAfterSync once everything queued to be
// persisted so far is synced.
type Output struct {
	StateChanged  bool // The hard state changed.
	Entries       []Entry
	Install       *ReceivedSnapshot
	Apply         []Entry
	Send          []Message
	SendAfterSync []Message
	Reads         []ReadIndex
	Refused       []uint64 // IDs of proposals that were certainly not accepted.
}

// Core is the consensus algorithm of one replica. It is deterministic and not safe
// for concurrent use.
type Core struct {
	cfg           Config
	rnd           *rand.Rand
	id            Identity
	session       uint64 // Distinguishes proposals of this incarnation of the replica.
	state         HardState
	log           *entryLog
	commit        uint64
	startTerm     uint64            // The term in which this incarnation of the replica started.
	lastProposals map[uint64]uint64 // Last proposal ID by session; never iterated, since map order is random.
	halted        bool              // An invariant was violated; the replica no longer participates.

	lastTime    time.Time // Time of the last call, for detecting clock jumps.
	role        RaftRole
	leader      ReplicaID
	termLeader  ReplicaID // The only leader seen in this term.
	electionDue time.Time
	lastContact time.Time // When the last message from the leader arrived.
	votes       map[ReplicaID]bool
	incoming    *incomingSnapshot

	leaderState *leaderState // Nil unless this replica is the leader.
	out         Output
}

// NewCore returns a follower with the restored state.
func NewCore(cfg Config, now time.Time, r Restored, session uint64, rnd *rand.Rand) *Core {
	c := &Core{cfg: cfg, rnd: rnd, id: r.Identity, session: session, state: r.State, role: RoleFollower}
	c.startTerm = r.State.Term
	c.lastProposals = map[uint64]uint64{}
	c.log = newEntryLog(r.Snapshot, r.Entries)
	c.commit = r.Snapshot.Index
	c.lastTime = now
	c.resetElectionTimer(now)
	return c
}

// Bootstrap creates a new log with members as its voters. It returns a
// trace.AlreadyExists error if the replica already belongs to a log and a
// trace.BadParameter error if members is empty or has more than MaxVoters voters.
func (c *Core) Bootstrap(now time.Time, cluster ClusterID, members []Member) (Output, error) {
	if c.state != (HardState{}) || c.log.lastIndex() > 0 {
		return Output{}, trace.AlreadyExists("Core.Bootstrap: the replica already belongs to a log")
	}
	if len(members) == 0 || countVoters(members) > MaxVoters {
		return Output{}, trace.BadParameter("Core.Bootstrap: there must be 1 to %d members", MaxVoters)
	}
	sortMembers(members)
	c.state = HardState{Cluster: cluster, Term: 1}
	c.out.StateChanged = true
	c.appendLocal(Entry{Index: 1, Term: 1, Kind: EntryMembers, Members: members})
	c.electionDue = now
	return c.takeOutput(), nil
}

// Tick starts elections and sends heartbeats that are due at now.
func (c *Core) Tick(now time.Time) Output {
	c.observeClock(now)
	if c.halted {
		return Output{}
	}
	if c.role == RoleLeader {
		c.tickLeader(now)
		return c.takeOutput()
	}
	if !now.Before(c.electionDue) && c.mayCampaign() {
		c.startPreVote(now)
	}
	return c.takeOutput()
}

// Step handles a message from another replica or one that the core sent to itself.
func (c *Core) Step(now time.Time, m *Message) Output {
	c.observeClock(now)
	if c.halted || !c.isRecipient(m) {
		return Output{}
	}
	if c.checkTerm(now, m) {
		c.handleMessage(now, m)
	}
	return c.takeOutput()
}

// MarkSynced records that the hard state and the entries up to index are synced. It
// ignores index unless the log's entry there has the given term.
func (c *Core) MarkSynced(now time.Time, index, term uint64) Output {
	c.observeClock(now)
	if c.log.matches(index, term) {
		c.log.stable = max(c.log.stable, index)
	}
	if c.role == RoleLeader {
		c.advanceCommit(now)
	}
	return c.takeOutput()
}

// CompactLog drops entries covered by a snapshot of the applied state up to meta.
func (c *Core) CompactLog(meta SnapshotMeta) {
	c.log.compact(meta, c.cfg.TrailingEntries, c.cfg.TrailingBytes)
}

func (c *Core) handleMessage(now time.Time, m *Message) {
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

// mayCampaign reports whether the replica may stand for election. A replica whose
// removal is not known to be committed may still do so, because it may be the only
// one with a log long enough to win; its own vote doesn't count in that case.
func (c *Core) mayCampaign() bool {
	if c.isVoter() || c.configCommitted() {
		return c.isVoter()
	}
	previous := c.log.configs[max(len(c.log.configs)-2, 0)]
	m, ok := findMember(previous.members, c.id.Replica)
	return ok && !m.Learner
}

// majority returns the number of voters that form a quorum.
func (c *Core) majority() int {
	members, _ := c.log.members()
	return countVoters(members)/2 + 1
}

// peers returns all members except this replica.
func (c *Core) peers() []Member {
	members, _ := c.log.members()
	others := make([]Member, 0, len(members))
	for _, m := range members {
		if m.Replica != c.id.Replica {
			others = append(others, m)
		}
	}
	return others
}

// appendLocal appends an entry that this replica created.
func (c *Core) appendLocal(e Entry) {
	c.log.append([]Entry{e})
	c.out.Entries = append(c.out.Entries, e)
}

// commitTo raises the commit index and adds the newly committed entries to the output.
func (c *Core) commitTo(index uint64) {
	if index <= c.commit {
		return
	}
	c.out.Apply = append(c.out.Apply, c.log.entriesBetween(c.commit, index)...)
	c.commit = index
}

// failInvariant reports a violated invariant and halts the replica.
func (c *Core) failInvariant(name, format string, args ...any) {
	c.halted = true
	assert.Fail(name, format, args...)
}

func (c *Core) send(m Message) {
	c.out.Send = append(c.out.Send, c.fillHeader(m))
}

func (c *Core) sendAfterSync(m Message) {
	c.out.SendAfterSync = append(c.out.SendAfterSync, c.fillHeader(m))
}

func (c *Core) fillHeader(m Message) Message {
	m.Cluster = c.state.Cluster
	m.From = c.id.Replica
	m.Instance = c.id.Instance
	if m.Term == 0 {
		m.Term = c.state.Term
	}
	return m
}

func (c *Core) takeOutput() Output {
	out := c.out
	c.out = Output{}
	return out
}
