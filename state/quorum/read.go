package quorum

import (
	"time"

	"github.com/gravitational/trace"
)

// pendingRead is a read that the leader has not confirmed yet.
type pendingRead struct {
	from    ReplicaID // This replica, or the one that sent the request.
	session uint64
	id      uint64
	index   uint64
	round   uint64 // Heartbeat round that confirms the read; zero until one is assigned.
}

// Read requests the index that a read must wait for; a follower requests it from
// its leader. It returns a trace.ConnectionProblem error if no leader is known.
func (c *Core) Read(now time.Time, id uint64) (Output, error) {
	c.observeClock(now)
	switch {
	case c.halted || c.leader == "":
		return Output{}, trace.ConnectionProblem(nil, "Core.Read: no leader is known")
	case c.role == RoleLeader:
		c.addRead(now, pendingRead{from: c.id.Replica, session: c.session, id: id})
	default:
		c.send(Message{Kind: MsgRead, To: c.leader, Session: c.session, ID: id})
	}
	return c.takeOutput(), nil
}

func (c *Core) handleRead(now time.Time, m *Message) {
	if c.role == RoleLeader {
		c.addRead(now, pendingRead{from: m.From, session: m.Session, id: m.ID})
	}
}

func (c *Core) handleReadReply(m *Message) {
	if m.Session == c.session {
		c.out.Reads = append(c.out.Reads, ReadIndex{ID: m.ID, Index: m.Index})
	}
}

func (c *Core) addRead(now time.Time, r pendingRead) {
	c.leaderState.reads = append(c.leaderState.reads, r)
	c.startReadRound(now)
}

// startReadRound starts a heartbeat round for the reads that have none yet. While
// a round for earlier reads is in progress it does nothing; the next one starts
// when that round is confirmed. A leader that has not committed an entry of its
// term starts no round.
func (c *Core) startReadRound(now time.Time) {
	if !c.isReady() || len(c.leaderState.reads) == 0 || c.leaderState.confirmed < c.leaderState.readRound {
		return
	}
	added := false
	for i := range c.leaderState.reads {
		r := &c.leaderState.reads[i]
		if r.round == 0 {
			r.index = c.commit
			r.round = c.leaderState.round + 1
			added = true
		}
	}
	if added {
		c.leaderState.readRound = c.leaderState.round + 1
		c.sendHeartbeats(now)
	}
}

// confirmRounds records the rounds that a quorum has answered. The answers prove
// that no later term had a leader when the rounds were sent.
func (c *Core) confirmRounds() {
	l := c.leaderState
	confirmed := c.quorumValue(l.round, func(p *progress) uint64 { return p.round })
	if confirmed <= l.confirmed {
		return
	}
	l.confirmed = confirmed
	for len(l.unconfirmed) > 0 && l.unconfirmed[0].round <= confirmed {
		l.leaseStart = l.unconfirmed[0].sentAt
		l.unconfirmed = l.unconfirmed[1:]
	}
	c.finishReads()
}

func (c *Core) finishReads() {
	var remaining []pendingRead
	for _, r := range c.leaderState.reads {
		if r.round == 0 || r.round > c.leaderState.confirmed {
			remaining = append(remaining, r)
			continue
		}
		c.finishRead(r)
	}
	c.leaderState.reads = remaining
}

func (c *Core) finishRead(r pendingRead) {
	if r.from == c.id.Replica {
		c.out.Reads = append(c.out.Reads, ReadIndex{ID: r.id, Index: r.index})
		return
	}
	c.send(Message{Kind: MsgReadReply, To: r.from, Session: r.session, ID: r.id, Index: r.index})
}

// Lease returns the current term and whether this replica may issue orders at now.
func (c *Core) Lease(now time.Time) (term uint64, held bool) {
	c.observeClock(now)
	if !c.isReady() || c.leaderState.leaseStart.IsZero() || c.halted {
		return c.state.Term, false
	}
	held = !now.Before(c.leaderState.leaseWaitUntil) && now.Sub(c.leaderState.leaseStart) < c.cfg.Lease
	return c.state.Term, held
}

// dropReads discards the pending reads of a leader that steps down; the waiting
// replicas retry them.
func (c *Core) dropReads() {
	c.leaderState.reads = nil
}
