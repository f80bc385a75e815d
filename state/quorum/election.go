package quorum

import "time"

// startPreVote asks the voters whether an election would succeed, without
// disrupting the current term.
func (c *Core) startPreVote(now time.Time) {
	c.role = RolePreCandidate
	c.leader = ""
	c.votes = map[ReplicaID]bool{}
	if c.isVoter() {
		c.votes[c.id.Replica] = true
	}
	c.scheduleElectionRetry(now)
	if len(c.votes) >= c.majority() {
		c.campaign(now, false)
		return
	}
	for _, m := range c.peers() {
		if !m.Learner {
			c.send(c.voteRequest(MsgPreVote, m.Replica, c.state.Term+1, false))
		}
	}
}

// campaign starts an election. The replica's own vote counts once it is synced.
func (c *Core) campaign(now time.Time, transfer bool) {
	c.becomeFollower(now, c.state.Term+1, "")
	c.scheduleElectionRetry(now)
	c.role = RoleCandidate
	c.votes = map[ReplicaID]bool{}
	c.state.Vote = c.id.Replica
	c.sendAfterSync(Message{Kind: MsgVoteReply, To: c.id.Replica})
	for _, m := range c.peers() {
		if !m.Learner {
			c.out.SendAfterSync = append(c.out.SendAfterSync, c.voteRequest(MsgVote, m.Replica, c.state.Term, transfer))
		}
	}
}

func (c *Core) voteRequest(kind MessageKind, to ReplicaID, term uint64, transfer bool) Message {
	return c.fillHeader(Message{
		Kind:     kind,
		To:       to,
		Term:     term,
		Index:    c.log.lastIndex(),
		LogTerm:  c.log.lastTerm(),
		Transfer: transfer,
	})
}

func (c *Core) handlePreVote(now time.Time, m *Message) {
	if m.Term > c.state.Term && !c.hasLeader(now) && c.isUpToDate(m) {
		c.sendAfterSync(Message{Kind: MsgPreVoteReply, To: m.From, Term: m.Term})
		return
	}
	c.sendAfterSync(Message{Kind: MsgPreVoteReply, To: m.From, Reject: true})
}

// handleVote decides only by the candidate's log and the vote already given in
// this term. It does not check membership: a candidate addresses a request to a
// replica identity only if that replica is a voter in its member list.
func (c *Core) handleVote(now time.Time, m *Message) {
	canVote := c.state.Vote == "" || c.state.Vote == m.From
	if !canVote || !c.isUpToDate(m) || c.role == RoleLeader {
		c.sendAfterSync(Message{Kind: MsgVoteReply, To: m.From, Reject: true})
		return
	}
	if c.state.Vote == "" {
		c.state.Vote = m.From
		c.out.StateChanged = true
	}
	c.resetElectionTimer(now)
	c.sendAfterSync(Message{Kind: MsgVoteReply, To: m.From})
}

func (c *Core) isUpToDate(m *Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.lastIndex()
}

func (c *Core) handleVoteReply(now time.Time, m *Message) {
	if m.Reject || !c.isExpectedVote(m) {
		return
	}
	members, _ := c.log.members()
	if voter, ok := findMember(members, m.From); !ok || voter.Learner {
		return
	}
	c.votes[m.From] = true
	if len(c.votes) < c.majority() {
		return
	}
	if c.role == RolePreCandidate {
		c.campaign(now, false)
		return
	}
	c.becomeLeader(now)
}

func (c *Core) isExpectedVote(m *Message) bool {
	if c.role == RolePreCandidate {
		return m.Kind == MsgPreVoteReply && m.Term == c.state.Term+1
	}
	return c.role == RoleCandidate && m.Kind == MsgVoteReply && m.Term == c.state.Term
}

func (c *Core) handleCampaign(now time.Time, m *Message) {
	if c.role == RoleFollower && m.From == c.leader && c.isVoter() {
		c.campaign(now, true)
	}
}

// TransferLeader asks the voting follower with the most advanced log to start an
// election at once.
func (c *Core) TransferLeader() Output {
	if c.role != RoleLeader {
		return Output{}
	}
	var best *progress
	for _, m := range c.peers() {
		p := c.leaderState.progress[m.Replica]
		if !m.Learner && (best == nil || p.match > best.match) {
			best = p
		}
	}
	if best != nil {
		c.send(Message{Kind: MsgCampaign, To: best.replica})
	}
	return c.takeOutput()
}
