package quorum

import "time"

// incomingSnapshot is a snapshot of which some chunks have arrived.
type incomingSnapshot struct {
	meta SnapshotMeta
	term uint64 // Of the leader that sends it.
	data []byte
}

// sendSnapshot sends the next chunk of the snapshot unless one is on its way.
// The replica fills in the data.
func (c *Core) sendSnapshot(p *progress) {
	meta := c.log.snapshot
	if p.flow != flowSnapshot || p.snapshot.Index != meta.Index {
		p.flow = flowSnapshot
		p.snapshot = meta
		p.offset = 0
		p.waiting = false
		p.silent = snapshotRetry
	}
	if p.silent < snapshotRetry {
		return
	}
	p.silent = 0
	c.send(Message{Kind: MsgSnapshot, To: p.replica, Snapshot: &meta, Offset: p.offset, Round: c.lead.round})
}

func (c *Core) snapshotAnswered(p *progress, m *Message) {
	if p.flow != flowSnapshot || m.Index != p.snapshot.Index {
		return
	}
	if m.Offset == p.offset && m.Offset > 0 {
		return
	}
	p.offset = m.Offset
	p.silent = snapshotRetry
	c.sendSnapshot(p)
}

// SendsSnapshot reports whether a follower is being sent the present snapshot.
func (c *Core) SendsSnapshot() bool {
	if c.duty != DutyLeader {
		return false
	}
	for _, m := range c.otherMembers() {
		p := c.lead.progress[m.Replica]
		if p.flow == flowSnapshot && p.offset > 0 {
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
		c.after(Message{Kind: MsgSnapshotReply, To: m.From, Index: in.meta.Index, Offset: uint64(len(in.data)), Round: m.Round})
		return
	}
	c.installSnapshot(now, in)
	c.acceptAppend(m, in.meta.Index)
}

func (c *Core) incomingFor(m *Message) *incomingSnapshot {
	in := c.incoming
	if in == nil || in.meta.Index != m.Snapshot.Index || in.term != m.Term {
		c.incoming = &incomingSnapshot{meta: *m.Snapshot, term: m.Term}
	}
	return c.incoming
}

func (c *Core) installSnapshot(now time.Time, in *incomingSnapshot) {
	c.incoming = nil
	c.log.install(in.meta)
	c.commit = in.meta.Index
	c.out.Install = &Install{Meta: in.meta, Data: in.data}
	c.resetElection(now)
}
