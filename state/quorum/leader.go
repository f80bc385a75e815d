package quorum

import (
	"slices"
	"time"
)

// flow tells how a leader sends entries to a follower.
type flow uint8

const (
	flowProbe     flow = iota // One message at a time until the logs are known to match.
	flowStream                // Entries go out as they come.
	flowSnapshot              // The entries wanted are no longer held.
	snapshotRetry = 5         // Heartbeats without an answer before a snapshot's chunk is sent again.
)

// progress is what a leader knows of one follower.
type progress struct {
	replica  ReplicaID
	match    uint64 // Known to be synced there.
	next     uint64 // Sent next.
	flow     flow
	waiting  bool // A probe was sent and not answered.
	round    uint64
	heard    time.Time
	snapshot SnapshotMeta // Being sent.
	offset   uint64
	silent   int // Heartbeats since the last chunk was sent.
}

// sentRound is a round of heartbeats that no quorum has answered yet.
type sentRound struct {
	round uint64
	at    time.Time
}

// leadership is the state of a leader in its term.
type leadership struct {
	progress  map[ReplicaID]*progress // Looked up only; order comes from the member list.
	first     uint64                  // The empty entry that begins the term.
	round     uint64
	sent      []sentRound
	confirmed uint64    // The last round that a quorum answered.
	leaseFrom time.Time // When that round was sent; zero while none was.
	quietTill time.Time // Earlier leaders may hold leases until then.
	beatDue   time.Time
	reads     []pendingRead
	readRound uint64 // The round that the newest reads wait for.
}

func (c *Core) becomeLeader(now time.Time) {
	if c.termLeader != "" && c.termLeader != c.id.Replica {
		c.violate("one_leader_a_term", "%s and %s lead term %d", c.termLeader, c.id.Replica, c.state.Term)
		return
	}
	c.duty = DutyLeader
	c.leader = c.id.Replica
	c.termLeader = c.id.Replica
	c.votes = nil
	c.lead = &leadership{
		progress:  map[ReplicaID]*progress{},
		first:     c.log.last() + 1,
		quietTill: now.Add(c.cfg.leaseWait()),
	}
	c.trackMembers(now)
	c.appendOwn(Entry{Index: c.log.last() + 1, Term: c.state.Term, Kind: EntryEmpty})
	c.beat(now)
}

// trackMembers keeps progress for exactly the other members.
func (c *Core) trackMembers(now time.Time) {
	kept := map[ReplicaID]*progress{}
	for _, m := range c.otherMembers() {
		p, ok := c.lead.progress[m.Replica]
		if !ok {
			p = &progress{replica: m.Replica, next: c.log.last() + 1, heard: now}
		}
		kept[m.Replica] = p
	}
	c.lead.progress = kept
}

func (c *Core) tickLeader(now time.Time) {
	if !c.reachesQuorum(now) {
		c.becomeFollower(now, c.state.Term, "")
		return
	}
	if !now.Before(c.lead.beatDue) {
		c.beat(now)
	}
}

func (c *Core) reachesQuorum(now time.Time) bool {
	n := 0
	members, _ := c.log.members()
	for _, m := range members {
		if !m.Learner && c.isHeard(now, m.Replica) {
			n++
		}
	}
	return n >= c.majority()
}

// isHeard reports whether a replica, or this one, was heard within the election timeout.
func (c *Core) isHeard(now time.Time, id ReplicaID) bool {
	if id == c.id.Replica {
		return true
	}
	p, ok := c.lead.progress[id]
	return ok && now.Sub(p.heard) < c.cfg.ElectionTimeout
}

// beat sends a new round of heartbeats.
func (c *Core) beat(now time.Time) {
	c.lead.round++
	c.lead.beatDue = now.Add(c.cfg.Heartbeat)
	c.lead.sent = append(c.lead.sent, sentRound{round: c.lead.round, at: now})
	for _, m := range c.otherMembers() {
		p := c.lead.progress[m.Replica]
		p.waiting = false
		p.silent++
		c.sendAppend(p, true)
	}
	c.confirmRounds()
}

// sendAll sends new entries to the followers that take them as they come.
func (c *Core) sendAll() {
	for _, m := range c.otherMembers() {
		c.sendAppend(c.lead.progress[m.Replica], false)
	}
}

// sendAppend sends what the follower lacks; with beat set, a message goes out in any case.
func (c *Core) sendAppend(p *progress, beat bool) {
	if p.flow == flowSnapshot || p.next <= c.log.base {
		c.sendSnapshot(p)
		if beat {
			c.send(c.appendMessage(p, 0, nil))
		}
		return
	}
	if p.waiting && !beat {
		return
	}
	var entries []Entry
	if p.flow == flowProbe || p.next-p.match <= uint64(c.cfg.MaxInflightEntries) {
		entries = c.log.from(p.next, c.cfg.MaxAppendBytes)
	}
	if len(entries) == 0 && !beat {
		return
	}
	c.send(c.appendMessage(p, p.next-1, entries))
	if p.flow == flowProbe {
		p.waiting = true
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
		Round:   c.lead.round,
		Entries: slices.Clip(entries),
	}
}

func (c *Core) handleFromFollower(now time.Time, m *Message) {
	if c.duty != DutyLeader {
		return
	}
	p, ok := c.lead.progress[m.From]
	if !ok {
		return
	}
	p.heard = now
	p.round = max(p.round, m.Round)
	c.confirmRounds()
	c.startReads(now)
	switch {
	case m.Kind == MsgSnapshotReply:
		c.snapshotAnswered(p, m)
	case m.Reject:
		c.appendRejected(p, m)
	default:
		c.appendAccepted(now, p, m)
	}
}

func (c *Core) appendRejected(p *progress, m *Message) {
	if m.Index <= p.match || p.flow == flowSnapshot {
		return
	}
	if p.flow == flowProbe && m.Index != p.next-1 {
		return
	}
	p.flow = flowProbe
	p.waiting = false
	p.next = max(p.match+1, min(m.Index, m.Hint+1))
	c.sendAppend(p, false)
}

func (c *Core) appendAccepted(now time.Time, p *progress, m *Message) {
	if m.Index > c.log.last() {
		c.violate("acknowledged_unsent", "%s acknowledged %d, the leader's log ends at %d", p.replica, m.Index, c.log.last())
		return
	}
	if m.Index < p.match {
		return
	}
	advanced := m.Index > p.match
	p.match = m.Index
	p.next = max(p.next, p.match+1)
	if p.flow == flowProbe || p.flow == flowSnapshot && p.match >= c.log.base {
		p.flow = flowStream
		p.waiting = false
		p.next = p.match + 1
	}
	if advanced {
		c.advanceCommit(now)
	}
	if c.lead != nil && p.next <= c.log.last() {
		c.sendAppend(p, false)
	}
}

// advanceCommit commits what a quorum of voters has synced, if it is of this term.
func (c *Core) advanceCommit(now time.Time) {
	index := c.quorumOf(c.log.stable, func(p *progress) uint64 { return p.match })
	if index <= c.commit || !c.log.matches(index, c.state.Term) {
		return
	}
	c.commitTo(index)
	c.sendCommit()
	if !c.isVoter() && c.configCommitted() {
		c.becomeFollower(now, c.state.Term, "")
		return
	}
	c.startReads(now)
}

// sendCommit tells the followers of the commit index, with entries if there are any.
func (c *Core) sendCommit() {
	for _, m := range c.otherMembers() {
		if p := c.lead.progress[m.Replica]; p.flow == flowStream {
			c.sendAppend(p, true)
		}
	}
}

// quorumOf returns the highest value that a quorum of voters has reached.
func (c *Core) quorumOf(own uint64, of func(*progress) uint64) uint64 {
	members, _ := c.log.members()
	values := make([]uint64, 0, len(members))
	for _, m := range members {
		switch {
		case m.Learner:
		case m.Replica == c.id.Replica:
			values = append(values, own)
		default:
			values = append(values, of(c.lead.progress[m.Replica]))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-c.majority()]
}

// isReady reports whether the leader has committed an entry of its term, and so
// knows all that was committed before.
func (c *Core) isReady() bool {
	return c.duty == DutyLeader && c.commit >= c.lead.first
}
