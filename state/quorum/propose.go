package quorum

import (
	"time"

	"github.com/gravitational/trace"
)

// Propose appends a command, or sends it to the leader. A trace.LimitExceeded
// error means that it was certainly not accepted.
func (c *Core) Propose(now time.Time, id uint64, data []byte) (Output, error) {
	c.observeClock(now)
	switch {
	case c.halted || c.leader == "":
		return Output{}, trace.LimitExceeded("Core.Propose: no leader is known")
	case len(data) > c.cfg.MaxCommandBytes:
		return Output{}, trace.LimitExceeded("Core.Propose: the command has %d bytes, more than %d", len(data), c.cfg.MaxCommandBytes)
	case c.role != RoleLeader:
		c.send(Message{Kind: MsgPropose, To: c.leader, Session: c.session, ID: id, Data: data})
		return c.takeOutput(), nil
	case !c.hasRoom():
		return Output{}, trace.LimitExceeded("Core.Propose: %d entries wait for a quorum", c.cfg.MaxUncommittedEntries)
	}
	c.appendCommand(now, c.session, id, data)
	return c.takeOutput(), nil
}

func (c *Core) hasRoom() bool {
	return c.log.lastIndex()-c.commit < uint64(c.cfg.MaxUncommittedEntries)
}

func (c *Core) appendCommand(now time.Time, session, id uint64, data []byte) {
	c.appendNext(now, Entry{Kind: EntryCommand, Session: session, ID: id, Data: data})
}

// appendNext appends e to the leader's log at the next index and replicates it.
func (c *Core) appendNext(now time.Time, e Entry) {
	e.Index = c.log.lastIndex() + 1
	e.Term = c.state.Term
	c.appendLocal(e)
	if e.Kind == EntryMembers {
		c.trackMembers(now)
	}
	c.broadcastAppends()
}

// handlePropose appends a follower's command. IDs increase within a session and
// the term must be the leader's own, so a duplicate is never appended.
func (c *Core) handlePropose(now time.Time, m *Message) {
	if c.role != RoleLeader || !c.hasRoom() || len(m.Data) > c.cfg.MaxCommandBytes {
		c.refuseProposal(m)
		return
	}
	if c.recordIfNew(m) {
		c.appendCommand(now, m.Session, m.ID, m.Data)
	}
}

// refuseProposal notifies the proposer that its command was certainly not
// accepted. This is certain only for a command not seen before that was sent to
// this replica as leader of a term later than the one in which this incarnation
// started, since an earlier incarnation can't have led that term. Otherwise no
// reply is sent, because an earlier copy may be in the log.
func (c *Core) refuseProposal(m *Message) {
	if m.Term > c.startTerm && c.recordIfNew(m) {
		c.send(Message{Kind: MsgProposeReply, To: m.From, Session: m.Session, ID: m.ID})
	}
}

// recordIfNew reports whether a proposal is seen for the first time, and records it.
func (c *Core) recordIfNew(m *Message) bool {
	if m.ID <= c.lastProposals[m.Session] {
		return false
	}
	c.lastProposals[m.Session] = m.ID
	return true
}

func (c *Core) handleProposeReply(m *Message) {
	if m.Session == c.session {
		c.out.Refused = append(c.out.Refused, m.ID)
	}
}
