package quorum

import (
	"time"

	"github.com/gravitational/trace"
)

// pendingRead is a read that the leader has not confirmed yet.
type pendingRead struct {
	from   ReplicaID // Of this replica or the one that asked.
	origin uint64
	id     uint64
	index  uint64
	round  uint64 // Zero until the leader knows all that was committed.
}

// Read asks for the index that a read must wait for; a follower asks its
// leader. It returns a trace.ConnectionProblem error when no leader is known.
func (c *Core) Read(now time.Time, id uint64) (Output, error) {
	c.observe(now)
	switch {
	case c.halted || c.leader == "":
		return Output{}, trace.ConnectionProblem(nil, "Core.Read: no leader is known")
	case c.duty == DutyLeader:
		c.addRead(now, pendingRead{from: c.id.Replica, origin: c.session, id: id})
	default:
		c.send(Message{Kind: MsgRead, To: c.leader, Origin: c.session, ID: id})
	}
	return c.take(), nil
}

func (c *Core) handleRead(now time.Time, m *Message) {
	if c.duty == DutyLeader {
		c.addRead(now, pendingRead{from: m.From, origin: m.Origin, id: m.ID})
	}
}

func (c *Core) handleReadReply(m *Message) {
	if m.Origin == c.session {
		c.out.Reads = append(c.out.Reads, ReadIndex{ID: m.ID, Index: m.Index})
	}
}

func (c *Core) addRead(now time.Time, r pendingRead) {
	c.lead.reads = append(c.lead.reads, r)
	c.startReads(now)
}

// startReads begins a round for the reads that have none, unless one is under
// way, whose end starts the next.
func (c *Core) startReads(now time.Time) {
	if !c.isReady() || len(c.lead.reads) == 0 || c.lead.confirmed < c.lead.readRound {
		return
	}
	waiting := false
	for i := range c.lead.reads {
		r := &c.lead.reads[i]
		if r.round == 0 {
			r.index = c.commit
			r.round = c.lead.round + 1
			waiting = true
		}
	}
	if waiting {
		c.lead.readRound = c.lead.round + 1
		c.beat(now)
	}
}

// confirmRounds notes the rounds that a quorum has answered: it proves that
// nobody else led when they were sent.
func (c *Core) confirmRounds() {
	l := c.lead
	confirmed := c.quorumOf(l.round, func(p *progress) uint64 { return p.round })
	if confirmed <= l.confirmed {
		return
	}
	l.confirmed = confirmed
	for len(l.sent) > 0 && l.sent[0].round <= confirmed {
		l.leaseFrom = l.sent[0].at
		l.sent = l.sent[1:]
	}
	c.finishReads()
}

func (c *Core) finishReads() {
	var left []pendingRead
	for _, r := range c.lead.reads {
		if r.round == 0 || r.round > c.lead.confirmed {
			left = append(left, r)
			continue
		}
		c.finishRead(r)
	}
	c.lead.reads = left
}

func (c *Core) finishRead(r pendingRead) {
	if r.from == c.id.Replica {
		c.out.Reads = append(c.out.Reads, ReadIndex{ID: r.id, Index: r.index})
		return
	}
	c.send(Message{Kind: MsgReadReply, To: r.from, Origin: r.origin, ID: r.id, Index: r.index})
}

// Lease returns the term and whether this replica may issue orders at now.
func (c *Core) Lease(now time.Time) (term uint64, held bool) {
	c.observe(now)
	if !c.isReady() || c.lead.leaseFrom.IsZero() || c.halted {
		return c.state.Term, false
	}
	held = !now.Before(c.lead.quietTill) && now.Sub(c.lead.leaseFrom) < c.cfg.Lease
	return c.state.Term, held
}

// refuseReads drops the reads of a leader that steps down; those who wait ask again.
func (c *Core) refuseReads() {
	c.lead.reads = nil
}
