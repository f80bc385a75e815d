package quorum

import "time"

// startPreVote asks the voters whether an election would succeed, without
// disturbing the present term.
func (c *Core) startPreVote(now time.Time) {
	c.duty = DutyPreVote
	c.leader = ""
	c.votes = map[ReplicaID]bool{}
	if c.isVoter() {
		c.votes[c.id.Replica] = true
	}
	c.retryElection(now)
	if len(c.votes) >= c.majority() {
		c.campaign(now, false)
		return
	}
	for _, m := range c.otherMembers() {
		if !m.Learner {
			c.send(c.voteRequest(MsgPreVote, m.Replica, c.state.Term+1, false))
		}
	}
}

// campaign begins an election; the replica's own vote counts once it is synced.
func (c *Core) campaign(now time.Time, transfer bool) {
	c.becomeFollower(now, c.state.Term+1, "")
	c.retryElection(now)
	c.duty = DutyCandidate
	c.votes = map[ReplicaID]bool{}
	c.state.Vote = c.id.Replica
	c.after(Message{Kind: MsgVoteReply, To: c.id.Replica})
	for _, m := range c.otherMembers() {
		if !m.Learner {
			c.out.After = append(c.out.After, c.voteRequest(MsgVote, m.Replica, c.state.Term, transfer))
		}
	}
}

func (c *Core) voteRequest(kind MessageKind, to ReplicaID, term uint64, transfer bool) Message {
	return c.stamp(Message{
		Kind:     kind,
		To:       to,
		Term:     term,
		Index:    c.log.last(),
		LogTerm:  c.log.lastTerm(),
		Transfer: transfer,
	})
}

func (c *Core) handlePreVote(now time.Time, m *Message) {
	if m.Term > c.state.Term && !c.hasLeader(now) && c.isUpToDate(m) {
		c.after(Message{Kind: MsgPreVoteReply, To: m.From, Term: m.Term})
		return
	}
	c.after(Message{Kind: MsgPreVoteReply, To: m.From, Reject: true})
}

// handleVote votes by the candidate's log alone: whoever is asked under its own
// replica identity is a voter of the candidate's member list.
func (c *Core) handleVote(now time.Time, m *Message) {
	free := c.state.Vote == "" || c.state.Vote == m.From
	if !free || !c.isUpToDate(m) || c.duty == DutyLeader {
		c.after(Message{Kind: MsgVoteReply, To: m.From, Reject: true})
		return
	}
	if c.state.Vote == "" {
		c.state.Vote = m.From
		c.out.State = true
	}
	c.resetElection(now)
	c.after(Message{Kind: MsgVoteReply, To: m.From})
}

func (c *Core) isUpToDate(m *Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.last()
}

func (c *Core) handleVoteReply(now time.Time, m *Message) {
	if m.Reject || !c.isVoteFor(m) {
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
	if c.duty == DutyPreVote {
		c.campaign(now, false)
		return
	}
	c.becomeLeader(now)
}

func (c *Core) isVoteFor(m *Message) bool {
	if c.duty == DutyPreVote {
		return m.Kind == MsgPreVoteReply && m.Term == c.state.Term+1
	}
	return c.duty == DutyCandidate && m.Kind == MsgVoteReply && m.Term == c.state.Term
}

func (c *Core) handleCampaign(now time.Time, m *Message) {
	if c.duty == DutyFollower && m.From == c.leader && c.isVoter() {
		c.campaign(now, true)
	}
}

// TransferLeader asks the follower whose log is most advanced to take over.
func (c *Core) TransferLeader() Output {
	if c.duty != DutyLeader {
		return Output{}
	}
	var best *progress
	for _, m := range c.otherMembers() {
		p := c.lead.progress[m.Replica]
		if !m.Learner && (best == nil || p.match > best.match) {
			best = p
		}
	}
	if best != nil {
		c.send(Message{Kind: MsgCampaign, To: best.replica})
	}
	return c.take()
}
