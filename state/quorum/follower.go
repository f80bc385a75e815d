package quorum

import "time"

// handleFromLeader handles messages that only the leader of the term sends.
func (c *Core) handleFromLeader(now time.Time, m *Message) {
	if c.termLeader != "" && c.termLeader != m.From {
		c.failInvariant("one_leader_a_term", "%s and %s lead term %d", c.termLeader, m.From, m.Term)
		return
	}
	if c.state.Cluster == "" {
		c.state.Cluster = m.Cluster
		c.out.StateChanged = true
	}
	if c.role != RoleFollower || c.leader != m.From {
		c.becomeFollower(now, m.Term, m.From)
	}
	c.termLeader = m.From
	c.lastContact = now
	c.resetElectionTimer(now)
	if m.Kind == MsgSnapshot {
		c.handleSnapshot(now, m)
		return
	}
	c.handleAppend(m)
}

func (c *Core) handleAppend(m *Message) {
	if m.Index < c.commit {
		c.checkCommitted(m)
		m = c.withoutCommitted(m)
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		c.rejectAppend(m)
		return
	}
	c.appendEntries(m)
	last := m.Index + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, last))
	c.acceptAppend(m, last)
}

// checkCommitted verifies that the entries of the message agree with committed ones.
func (c *Core) checkCommitted(m *Message) {
	for i := range m.Entries {
		e := &m.Entries[i]
		term, inMemory := c.log.term(e.Index)
		if inMemory && e.Index <= c.commit && term != e.Term {
			c.failInvariant("committed_changed", "entry %d of term %d was committed with term %d", e.Index, e.Term, term)
		}
	}
}

// withoutCommitted returns m without the entries up to the commit index.
func (c *Core) withoutCommitted(m *Message) *Message {
	rest := *m
	committed := min(c.commit-m.Index, uint64(len(m.Entries)))
	rest.Entries = m.Entries[committed:]
	rest.Index = c.commit
	rest.LogTerm, _ = c.log.term(c.commit)
	return &rest
}

// appendEntries appends the entries that are new and removes those that conflict with them.
func (c *Core) appendEntries(m *Message) {
	for i := range m.Entries {
		e := &m.Entries[i]
		if c.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.commit {
			c.failInvariant("committed_changed", "entry %d of term %d would replace a committed one", e.Index, e.Term)
			return
		}
		if e.Index <= c.log.lastIndex() {
			c.log.truncate(e.Index)
		}
		c.log.append(m.Entries[i:])
		c.out.Entries = append(c.out.Entries, m.Entries[i:]...)
		return
	}
}

func (c *Core) acceptAppend(m *Message, index uint64) {
	c.sendAfterSync(Message{Kind: MsgAppendReply, To: m.From, Index: index, Round: m.Round})
}

// rejectAppend rejects m. The hint skips entries of later terms than m.LogTerm,
// because the leader can't have these before m.Index.
func (c *Core) rejectAppend(m *Message) {
	hint := min(c.log.lastIndex(), m.Index-1)
	for hint > c.commit {
		term, ok := c.log.term(hint)
		if !ok || term <= m.LogTerm {
			break
		}
		hint--
	}
	c.sendAfterSync(Message{Kind: MsgAppendReply, To: m.From, Reject: true, Index: m.Index, Hint: hint, Round: m.Round})
}
