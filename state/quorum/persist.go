package quorum

import (
	"time"

	"marigoldcleat.example/cleat/stand/assert"
)

// persist gathers what must be synced for the next batch.
func (r *Replica) persist(out *Output) {
	if out.Install != nil {
		r.install(out.Install)
	}
	if out.State {
		r.state = true
	}
	r.entries = append(r.entries, out.Entries...)
	r.after = append(r.after, out.After...)
}

// install takes over a snapshot from the leader.
func (r *Replica) install(in *Install) {
	if in.Meta.Index < r.applied {
		assert.Fail("applied_falls", "snapshot of entry %d installed after %d was applied", in.Meta.Index, r.applied)
		return
	}
	if err := r.sm.Restore(in.Data); err != nil {
		r.core.violate("snapshot_restores", "snapshot of entry %d: %v", in.Meta.Index, err)
		return
	}
	r.snapshot = in.Data
	r.applied = in.Meta.Index
	r.appliedTerm = in.Meta.Term
	r.recent = 0
	r.replace = true
	r.deferred = nil
	r.outdated = r.snapshotting
	r.waiters.applied(r.applied)
}

// Work returns the next batch to write, or nil while one is being written or
// nothing is to be.
func (r *Replica) Work() *Batch {
	if r.inFlight != nil || !r.isDirty() {
		return nil
	}
	b := &Batch{after: r.after, index: r.core.log.last(), term: r.core.log.lastTerm(), state: r.core.state}
	if r.replace {
		r.fillWhole(b)
	} else {
		r.fillNew(b)
	}
	r.replace = false
	r.state = false
	r.entries = nil
	r.after = nil
	r.inFlight = b
	return b
}

// Synced tells that a batch was written and synced.
func (r *Replica) Synced(now time.Time, b *Batch) {
	r.inFlight = nil
	r.durable = b.state
	r.last = b.index
	r.release(now, b.after)
	r.process(now, r.core.Synced(now, b.index, b.term))
}

func (r *Replica) isDirty() bool {
	return r.replace || r.state || len(r.entries) > 0
}

func (r *Replica) fillWhole(b *Batch) {
	l := r.core.log
	b.snapshot = encode(&snapshotFile{Meta: l.snapshot, Data: r.snapshot})
	b.records = append(b.records, encode(&record{Identity: &r.core.id}), encode(&record{State: &b.state}))
	for _, e := range l.between(l.snapshot.Index, l.last()) {
		b.records = append(b.records, encode(&record{Entry: &e}))
	}
}

func (r *Replica) fillNew(b *Batch) {
	if r.state {
		b.records = append(b.records, encode(&record{State: &b.state}))
	}
	for i := range r.entries {
		b.records = append(b.records, encode(&record{Entry: &r.entries[i]}))
	}
}

// releaseIfClean sends the messages that wait for a sync when there is nothing to sync.
func (r *Replica) releaseIfClean(now time.Time) {
	if r.inFlight != nil || r.isDirty() || len(r.after) == 0 {
		return
	}
	after := r.after
	r.after = nil
	r.release(now, after)
}

// release sends messages whose promises are synced, and steps those to this replica.
func (r *Replica) release(now time.Time, after []Message) {
	for i := range after {
		m := &after[i]
		if r.isOutdated(m) {
			continue
		}
		r.checkDurable(m)
		if m.To == r.core.id.Replica {
			r.process(now, r.core.Step(now, m))
			continue
		}
		r.post(m)
	}
}

// isOutdated reports whether m acknowledges entries of an older term, which a
// newer leader may have replaced before they were synced.
func (r *Replica) isOutdated(m *Message) bool {
	return m.Kind == MsgAppendReply && !m.Reject && m.Term < r.durable.Term
}

// checkDurable asserts that a replica acknowledges only what is synced.
func (r *Replica) checkDurable(m *Message) {
	if m.Reject {
		return
	}
	if m.Kind == MsgAppendReply && m.Index > r.last {
		assert.Fail("acknowledged_synced", "entry %d acknowledged, %d is synced", m.Index, r.last)
	}
	if m.Kind == MsgVoteReply && m.Term > r.durable.Term {
		assert.Fail("acknowledged_synced", "vote of term %d, term %d is synced", m.Term, r.durable.Term)
	}
}
