package quorum

import "time"

// isFor reports whether m is meant for this replica and this log. The
// recipient is checked by replica: a message for lost data isn't answered. A
// replica that belongs to no log yet may be asked and may answer.
func (c *Core) isFor(m *Message) bool {
	if m.To != c.id.Replica {
		return false
	}
	return m.Cluster == c.state.Cluster || c.state.Cluster == "" || m.Cluster == ""
}

// checkTerm compares terms and reports whether m is to be handled.
func (c *Core) checkTerm(now time.Time, m *Message) bool {
	switch {
	case m.Kind == MsgPreVote, m.Kind == MsgPreVoteReply && !m.Reject:
		return true
	case m.Term > c.state.Term:
		return c.newerTerm(now, m)
	case m.Term < c.state.Term:
		c.olderTerm(m)
		return false
	}
	return true
}

func (c *Core) newerTerm(now time.Time, m *Message) bool {
	if m.Kind == MsgVote && !m.Transfer && c.hasLeader(now) {
		return false
	}
	if m.Kind == MsgPropose || m.Kind == MsgRead || m.Kind == MsgCampaign {
		return false
	}
	c.becomeFollower(now, m.Term, "")
	return true
}

// olderTerm tells a deposed leader of the newer term, and a proposer that its
// leader has changed.
func (c *Core) olderTerm(m *Message) {
	switch m.Kind {
	case MsgAppend, MsgSnapshot:
		c.after(Message{Kind: MsgAppendReply, To: m.From, Reject: true, Index: m.Index, Round: m.Round})
	case MsgPropose:
		c.refuse(m)
	}
}

func (c *Core) becomeFollower(now time.Time, term uint64, leader ReplicaID) {
	if term != c.state.Term {
		c.state.Term = term
		c.state.Vote = ""
		c.out.State = true
		c.termLeader = ""
	}
	if c.duty == DutyLeader {
		c.refuseReads()
	}
	c.duty = DutyFollower
	c.lead = nil
	c.votes = nil
	c.leader = leader
	c.resetElection(now)
}

// StepDown makes a leader a follower, for a replica that can't write.
func (c *Core) StepDown(now time.Time) Output {
	if c.duty != DutyFollower {
		c.becomeFollower(now, c.state.Term, "")
	}
	c.resetElection(now)
	return c.take()
}
