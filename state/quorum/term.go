package quorum

import "time"

// isRecipient reports whether m is addressed to this replica and this log. The
// check is by replica identity, so a message to an identity whose data was lost is
// not answered. A replica that belongs to no log yet may exchange messages with any.
func (c *Core) isRecipient(m *Message) bool {
	if m.To != c.id.Replica {
		return false
	}
	return m.Cluster == c.state.Cluster || c.state.Cluster == "" || m.Cluster == ""
}

// checkTerm compares the terms and reports whether m should be handled.
func (c *Core) checkTerm(now time.Time, m *Message) bool {
	switch {
	case m.Kind == MsgPreVote, m.Kind == MsgPreVoteReply && !m.Reject:
		return true
	case m.Term > c.state.Term:
		return c.handleNewerTerm(now, m)
	case m.Term < c.state.Term:
		c.handleOlderTerm(m)
		return false
	}
	return true
}

// handleNewerTerm adopts the newer term and reports whether m should be handled. A
// vote request is ignored while there is a leader, unless the leader requested the
// election, so that a replica that lost contact can't depose it. Proposals, reads and
// campaign requests are ignored too: they assume that this replica leads that term
// or follows its leader.
func (c *Core) handleNewerTerm(now time.Time, m *Message) bool {
	if m.Kind == MsgVote && !m.Transfer && c.hasLeader(now) {
		return false
	}
	if m.Kind == MsgPropose || m.Kind == MsgRead || m.Kind == MsgCampaign {
		return false
	}
	c.becomeFollower(now, m.Term, "")
	return true
}

// handleOlderTerm notifies a deposed leader of the newer term, and a proposer that
// its leader has changed.
func (c *Core) handleOlderTerm(m *Message) {
	switch m.Kind {
	case MsgAppend, MsgSnapshot:
		c.sendAfterSync(Message{Kind: MsgAppendReply, To: m.From, Reject: true, Index: m.Index, Round: m.Round})
	case MsgPropose:
		c.refuseProposal(m)
	}
}

func (c *Core) becomeFollower(now time.Time, term uint64, leader ReplicaID) {
	if term != c.state.Term {
		c.state.Term = term
		c.state.Vote = ""
		c.out.StateChanged = true
		c.termLeader = ""
	}
	if c.role == RoleLeader {
		c.dropReads()
	}
	c.role = RoleFollower
	c.leaderState = nil
	c.votes = nil
	c.leader = leader
	c.resetElectionTimer(now)
}

// StepDown makes the replica a follower and restarts its election timer. It is
// called when the replica can't write its log.
func (c *Core) StepDown(now time.Time) Output {
	if c.role != RoleFollower {
		c.becomeFollower(now, c.state.Term, "")
	}
	c.resetElectionTimer(now)
	return c.takeOutput()
}
