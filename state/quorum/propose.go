package quorum

import (
	"time"

	"github.com/gravitational/trace"
)

// Propose appends a command, or sends it to the leader. A trace.LimitExceeded
// error says that it was certainly not accepted.
func (c *Core) Propose(now time.Time, id uint64, data []byte) (Output, error) {
	c.observe(now)
	switch {
	case c.halted || c.leader == "":
		return Output{}, trace.LimitExceeded("Core.Propose: no leader is known")
	case len(data) > c.cfg.MaxCommandBytes:
		return Output{}, trace.LimitExceeded("Core.Propose: the command has %d bytes, more than %d", len(data), c.cfg.MaxCommandBytes)
	case c.duty != DutyLeader:
		c.send(Message{Kind: MsgPropose, To: c.leader, Origin: c.session, ID: id, Data: data})
		return c.take(), nil
	case !c.hasRoom():
		return Output{}, trace.LimitExceeded("Core.Propose: %d entries wait for a quorum", c.cfg.MaxUncommitted)
	}
	c.appendCommand(now, c.session, id, data)
	return c.take(), nil
}

func (c *Core) hasRoom() bool {
	return c.log.last()-c.commit < uint64(c.cfg.MaxUncommitted)
}

func (c *Core) appendCommand(now time.Time, origin, id uint64, data []byte) {
	c.appendNext(now, Entry{Kind: EntryCommand, Origin: origin, ID: id, Data: data})
}

// appendNext gives e the next place in the leader's log and sends it.
func (c *Core) appendNext(now time.Time, e Entry) {
	e.Index = c.log.last() + 1
	e.Term = c.state.Term
	c.appendOwn(e)
	if e.Kind == EntryMembers {
		c.trackMembers(now)
	}
	c.sendAll()
}

// handlePropose appends a follower's command. Numbers rise within a session
// and the term must be the leader's own, so a second copy is never appended.
func (c *Core) handlePropose(now time.Time, m *Message) {
	if c.duty != DutyLeader || !c.hasRoom() || len(m.Data) > c.cfg.MaxCommandBytes {
		c.refuse(m)
		return
	}
	if c.isNew(m) {
		c.appendCommand(now, m.Origin, m.ID, m.Data)
	}
}

// refuse tells the proposer that its command was certainly not accepted. That
// is known only of a command never seen before, sent to this replica as the
// leader of a term that no earlier life of it can have led; about any other
// nothing is said, because an earlier copy may be in the log.
func (c *Core) refuse(m *Message) {
	if m.Term > c.since && c.isNew(m) {
		c.send(Message{Kind: MsgProposeReply, To: m.From, Origin: m.Origin, ID: m.ID})
	}
}

// isNew reports whether a proposal is seen for the first time, and notes it.
func (c *Core) isNew(m *Message) bool {
	if m.ID <= c.seen[m.Origin] {
		return false
	}
	c.seen[m.Origin] = m.ID
	return true
}

func (c *Core) handleProposeReply(m *Message) {
	if m.Origin == c.session {
		c.out.Refused = append(c.out.Refused, m.ID)
	}
}
