package quorum

import "time"

// incomingSnapshot is a partially received snapshot.
type incomingSnapshot struct {
	meta SnapshotMeta
	term uint64 // Term of the leader that sends it.
	data []byte
}

// sendSnapshot sends the next chunk of the snapshot unless one is in flight.
// Replica fills in the data.
func (c *Core) sendSnapshot(p *progress) {
	meta := c.log.snapshot
	if p.mode != modeSnapshot || p.snapshot.Index != meta.Index {
		p.mode = modeSnapshot
		p.snapshot = meta
		p.offset = 0
		p.probeInFlight = false
		p.heartbeatsSinceChunk = snapshotRetryHeartbeats
	}
	if p.heartbeatsSinceChunk < snapshotRetryHeartbeats {
		return
	}
	p.heartbeatsSinceChunk = 0
	c.send(Message{Kind: MsgSnapshot, To: p.replica, Snapshot: &meta, Offset: p.offset, Round: c.leaderState.round})
}

func (c *Core) handleSnapshotReply(p *progress, m *Message) {
	if p.mode != modeSnapshot || m.Index != p.snapshot.Index {
		return
	}
	// The chunk at this offset was sent already; if it is lost, a later heartbeat
	// resends it.
	if m.Offset == p.offset && m.Offset > 0 {
		return
	}
	p.offset = m.Offset
	p.heartbeatsSinceChunk = snapshotRetryHeartbeats
	c.sendSnapshot(p)
}

// IsSendingSnapshot reports whether this replica is the leader and a follower has
// acknowledged a part of the snapshot that is being sent to it.
func (c *Core) IsSendingSnapshot() bool {
	if c.role != RoleLeader {
		return false
	}
	for _, m := range c.peers() {
		p := c.leaderState.progress[m.Replica]
		if p.mode == modeSnapshot && p.offset > 0 {
			return true
		}
	}
	return false
}

func (c *Core) handleSnapshot(now time.Time, m *Message) {
	if m.Snapshot.Index <= c.commit {
		c.incoming = nil
		c.acceptAppend(m, c.commit)
		return
	}
	in := c.incomingFor(m)
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Data...)
	}
	if len(in.data) < in.meta.Size {
		c.sendAfterSync(Message{Kind: MsgSnapshotReply, To: m.From, Index: in.meta.Index, Offset: uint64(len(in.data)), Round: m.Round})
		return
	}
	c.installSnapshot(now, in)
	c.acceptAppend(m, in.meta.Index)
}

// incomingFor returns the partial snapshot that m continues, or an empty one if m
// belongs to another snapshot.
func (c *Core) incomingFor(m *Message) *incomingSnapshot {
	in := c.incoming
	if in == nil || in.meta.Index != m.Snapshot.Index || in.term != m.Term {
		c.incoming = &incomingSnapshot{meta: *m.Snapshot, term: m.Term}
	}
	return c.incoming
}

func (c *Core) installSnapshot(now time.Time, in *incomingSnapshot) {
	c.incoming = nil
	c.log.installSnapshot(in.meta)
	c.commit = in.meta.Index
	c.out.Install = &ReceivedSnapshot{Meta: in.meta, Data: in.data}
	c.resetElectionTimer(now)
}
