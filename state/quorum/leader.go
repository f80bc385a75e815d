package quorum

import (
	"slices"
	"time"
)

// replicationMode is the way in which a leader sends entries to a follower.
type replicationMode uint8

const (
	modeProbe               replicationMode = iota // One message at a time until the logs are known to match.
	modePipeline                                   // Entries are sent without waiting for acknowledgements.
	modeSnapshot                                   // The follower needs entries that the leader's log no longer holds.
	snapshotRetryHeartbeats = 5                    // Heartbeats without a reply before a snapshot chunk is resent.
)

// progress is the replication state of one follower as known to the leader.
type progress struct {
	replica              ReplicaID
	match                uint64 // Last index known to be synced on the follower.
	next                 uint64 // Next index to send.
	mode                 replicationMode
	probeInFlight        bool   // A probe was sent and is not answered yet.
	round                uint64 // Last heartbeat round that the follower answered.
	lastContact          time.Time
	snapshot             SnapshotMeta // The snapshot being sent.
	offset               uint64       // Offset of the current chunk in that snapshot, in bytes.
	heartbeatsSinceChunk int          // Heartbeats since the last chunk was sent.
}

// sentRound is a heartbeat round that a quorum has not answered yet.
type sentRound struct {
	round  uint64
	sentAt time.Time
}

// leaderState is the state of a leader during its term.
type leaderState struct {
	progress       map[ReplicaID]*progress // Only looked up; iteration follows the member list.
	firstIndex     uint64                  // Index of the empty entry that starts the term.
	round          uint64                  // Last heartbeat round sent.
	unconfirmed    []sentRound
	confirmed      uint64    // Last round that a quorum answered.
	leaseStart     time.Time // When that round was sent; zero if no round is confirmed.
	leaseWaitUntil time.Time // Until then an earlier leader may hold a lease.
	heartbeatDue   time.Time
	reads          []pendingRead
	readRound      uint64 // Round that the newest reads wait for.
}

func (c *Core) becomeLeader(now time.Time) {
	if c.termLeader != "" && c.termLeader != c.id.Replica {
		c.failInvariant("one_leader_a_term", "%s and %s lead term %d", c.termLeader, c.id.Replica, c.state.Term)
		return
	}
	c.role = RoleLeader
	c.leader = c.id.Replica
	c.termLeader = c.id.Replica
	c.votes = nil
	c.leaderState = &leaderState{
		progress:       map[ReplicaID]*progress{},
		firstIndex:     c.log.lastIndex() + 1,
		leaseWaitUntil: now.Add(c.cfg.leaseWait()),
	}
	c.trackMembers(now)
	c.appendLocal(Entry{Index: c.log.lastIndex() + 1, Term: c.state.Term, Kind: EntryEmpty})
	c.sendHeartbeats(now)
}

// trackMembers adds and removes progress records to match the member list.
func (c *Core) trackMembers(now time.Time) {
	updated := map[ReplicaID]*progress{}
	for _, m := range c.peers() {
		p, ok := c.leaderState.progress[m.Replica]
		if !ok {
			p = &progress{replica: m.Replica, next: c.log.lastIndex() + 1, lastContact: now}
		}
		updated[m.Replica] = p
	}
	c.leaderState.progress = updated
}

func (c *Core) tickLeader(now time.Time) {
	if !c.reachesQuorum(now) {
		c.becomeFollower(now, c.state.Term, "")
		return
	}
	if !now.Before(c.leaderState.heartbeatDue) {
		c.sendHeartbeats(now)
	}
}

func (c *Core) reachesQuorum(now time.Time) bool {
	n := 0
	members, _ := c.log.members()
	for _, m := range members {
		if !m.Learner && c.isResponsive(now, m.Replica) {
			n++
		}
	}
	return n >= c.majority()
}

// isResponsive reports whether a replica answered within the election timeout. It
// is always true of this replica.
func (c *Core) isResponsive(now time.Time, id ReplicaID) bool {
	if id == c.id.Replica {
		return true
	}
	p, ok := c.leaderState.progress[id]
	return ok && now.Sub(p.lastContact) < c.cfg.ElectionTimeout
}

// sendHeartbeats starts a new round of heartbeats.
func (c *Core) sendHeartbeats(now time.Time) {
	c.leaderState.round++
	c.leaderState.heartbeatDue = now.Add(c.cfg.Heartbeat)
	c.leaderState.unconfirmed = append(c.leaderState.unconfirmed, sentRound{round: c.leaderState.round, sentAt: now})
	for _, m := range c.peers() {
		p := c.leaderState.progress[m.Replica]
		p.probeInFlight = false
		p.heartbeatsSinceChunk++
		c.sendAppend(p, true)
	}
	c.confirmRounds()
}

// broadcastAppends sends each follower the new entries or the snapshot chunk that it
// needs next, unless a probe to it is in flight.
func (c *Core) broadcastAppends() {
	for _, m := range c.peers() {
		c.sendAppend(c.leaderState.progress[m.Replica], false)
	}
}

// sendAppend sends the entries or the snapshot chunk that the follower needs next.
// With force set, it sends an append message even if there is nothing new or a probe
// is in flight.
func (c *Core) sendAppend(p *progress, force bool) {
	if p.mode == modeSnapshot || p.next <= c.log.base {
		c.sendSnapshot(p)
		if force {
			c.send(c.appendMessage(p, 0, nil)) // A heartbeat; index 0 matches every log.
		}
		return
	}
	if p.probeInFlight && !force {
		return
	}
	var entries []Entry
	if p.mode == modeProbe || p.next-p.match <= uint64(c.cfg.MaxInflightEntries) {
		entries = c.log.entriesFrom(p.next, c.cfg.MaxAppendBytes)
	}
	if len(entries) == 0 && !force {
		return
	}
	c.send(c.appendMessage(p, p.next-1, entries))
	if p.mode == modeProbe {
		p.probeInFlight = true
		return
	}
	p.next += uint64(len(entries))
}

func (c *Core) appendMessage(p *progress, previous uint64, entries []Entry) Message {
	term, _ := c.log.term(previous)
	return Message{
		Kind:    MsgAppend,
		To:      p.replica,
		Index:   previous,
		LogTerm: term,
		Commit:  c.commit,
		Round:   c.leaderState.round,
		Entries: slices.Clip(entries),
	}
}

func (c *Core) handleFromFollower(now time.Time, m *Message) {
	if c.role != RoleLeader {
		return
	}
	p, ok := c.leaderState.progress[m.From]
	if !ok {
		return
	}
	p.lastContact = now
	p.round = max(p.round, m.Round)
	c.confirmRounds()
	c.startReadRound(now)
	switch {
	case m.Kind == MsgSnapshotReply:
		c.handleSnapshotReply(p, m)
	case m.Reject:
		c.handleAppendRejected(p, m)
	default:
		c.handleAppendAccepted(now, p, m)
	}
}

func (c *Core) handleAppendRejected(p *progress, m *Message) {
	if m.Index <= p.match || p.mode == modeSnapshot {
		return
	}
	if p.mode == modeProbe && m.Index != p.next-1 {
		return
	}
	p.mode = modeProbe
	p.probeInFlight = false
	p.next = max(p.match+1, min(m.Index, m.Hint+1))
	c.sendAppend(p, false)
}

func (c *Core) handleAppendAccepted(now time.Time, p *progress, m *Message) {
	if m.Index > c.log.lastIndex() {
		c.failInvariant("acknowledged_unsent", "%s acknowledged %d, the leader's log ends at %d", p.replica, m.Index, c.log.lastIndex())
		return
	}
	if m.Index < p.match {
		return
	}
	advanced := m.Index > p.match
	p.match = m.Index
	p.next = max(p.next, p.match+1)
	if p.mode == modeProbe || p.mode == modeSnapshot && p.match >= c.log.base {
		p.mode = modePipeline
		p.probeInFlight = false
		p.next = p.match + 1
	}
	if advanced {
		c.advanceCommit(now)
	}
	if c.leaderState != nil && p.next <= c.log.lastIndex() {
		c.sendAppend(p, false)
	}
}

// advanceCommit commits the entries that a quorum of voters has synced, provided
// that the last of them is of the current term.
func (c *Core) advanceCommit(now time.Time) {
	index := c.quorumValue(c.log.stable, func(p *progress) uint64 { return p.match })
	if index <= c.commit || !c.log.matches(index, c.state.Term) {
		return
	}
	c.commitTo(index)
	c.sendCommit()
	if !c.isVoter() && c.configCommitted() {
		c.becomeFollower(now, c.state.Term, "")
		return
	}
	c.startReadRound(now)
}

// sendCommit sends the commit index to the followers in modePipeline, with entries
// if there are any.
func (c *Core) sendCommit() {
	for _, m := range c.peers() {
		if p := c.leaderState.progress[m.Replica]; p.mode == modePipeline {
			c.sendAppend(p, true)
		}
	}
}

// quorumValue returns the highest value that a quorum of voters has reached.
func (c *Core) quorumValue(own uint64, value func(*progress) uint64) uint64 {
	members, _ := c.log.members()
	values := make([]uint64, 0, len(members))
	for _, m := range members {
		switch {
		case m.Learner:
		case m.Replica == c.id.Replica:
			values = append(values, own)
		default:
			values = append(values, value(c.leaderState.progress[m.Replica]))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-c.majority()]
}

// isReady reports whether this replica is the leader and has committed an entry of
// its term. Only then does it know the commit index of earlier terms.
func (c *Core) isReady() bool {
	return c.role == RoleLeader && c.commit >= c.leaderState.firstIndex
}
