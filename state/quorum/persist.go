package quorum

import (
	"time"

	"marigoldcleat.example/cleat/stand/assert"
)

// queueForSync installs the snapshot of an output, if any, and adds its state, entries
// and messages to the next batch.
func (r *Replica) queueForSync(out *Output) {
	if out.Install != nil {
		r.installSnapshot(out.Install)
	}
	if out.StateChanged {
		r.statePending = true
	}
	r.pendingEntries = append(r.pendingEntries, out.Entries...)
	r.pendingMessages = append(r.pendingMessages, out.SendAfterSync...)
}

// installSnapshot replaces the state machine with a snapshot from the leader.
func (r *Replica) installSnapshot(in *ReceivedSnapshot) {
	if in.Meta.Index < r.applied {
		assert.Fail("applied_falls", "snapshot of entry %d installed after %d was applied", in.Meta.Index, r.applied)
		return
	}
	if err := r.sm.Restore(in.Data); err != nil {
		r.core.failInvariant("snapshot_restores", "snapshot of entry %d: %v", in.Meta.Index, err)
		return
	}
	r.snapshot = in.Data
	r.applied = in.Meta.Index
	r.appliedTerm = in.Meta.Term
	r.bytesSinceSnapshot = 0
	r.replacePending = true
	r.deferredEntries = nil
	r.snapshotObsolete = r.snapshotting
	r.waiters.finishReads(r.applied)
}

// NextBatch returns the next batch to write. It returns nil while another batch is
// being written or if there is nothing to write.
func (r *Replica) NextBatch() *Batch {
	if r.inFlight != nil || !r.hasUnsynced() {
		return nil
	}
	b := &Batch{messages: r.pendingMessages, lastIndex: r.core.log.lastIndex(), lastTerm: r.core.log.lastTerm(), state: r.core.state}
	if r.replacePending {
		r.fillReplacement(b)
	} else {
		r.fillAppend(b)
	}
	r.replacePending = false
	r.statePending = false
	r.pendingEntries = nil
	r.pendingMessages = nil
	r.inFlight = b
	return b
}

// BatchSynced records that a batch was written and synced, and sends the messages that
// waited for it.
func (r *Replica) BatchSynced(now time.Time, b *Batch) {
	r.inFlight = nil
	r.syncedState = b.state
	r.syncedIndex = b.lastIndex
	r.releaseMessages(now, b.messages)
	r.processOutput(now, r.core.MarkSynced(now, b.lastIndex, b.lastTerm))
}

func (r *Replica) hasUnsynced() bool {
	return r.replacePending || r.statePending || len(r.pendingEntries) > 0
}

func (r *Replica) fillReplacement(b *Batch) {
	l := r.core.log
	b.snapshot = encode(&snapshotFile{Meta: l.snapshot, Data: r.snapshot})
	b.records = append(b.records, encode(&record{Identity: &r.core.id}), encode(&record{State: &b.state}))
	for _, e := range l.entriesBetween(l.snapshot.Index, l.lastIndex()) {
		b.records = append(b.records, encode(&record{Entry: &e}))
	}
}

func (r *Replica) fillAppend(b *Batch) {
	if r.statePending {
		b.records = append(b.records, encode(&record{State: &b.state}))
	}
	for i := range r.pendingEntries {
		b.records = append(b.records, encode(&record{Entry: &r.pendingEntries[i]}))
	}
}

// releaseIfSynced sends the messages that wait for a sync if there is nothing to sync.
func (r *Replica) releaseIfSynced(now time.Time) {
	if r.inFlight != nil || r.hasUnsynced() || len(r.pendingMessages) == 0 {
		return
	}
	messages := r.pendingMessages
	r.pendingMessages = nil
	r.releaseMessages(now, messages)
}

// releaseMessages sends messages that waited for a sync, except stale
// acknowledgements. Messages to this replica are passed to the core.
func (r *Replica) releaseMessages(now time.Time, messages []Message) {
	for i := range messages {
		m := &messages[i]
		if r.isStaleAck(m) {
			continue
		}
		r.checkSynced(m)
		if m.To == r.core.id.Replica {
			r.processOutput(now, r.core.Step(now, m))
			continue
		}
		r.enqueueMessage(m)
	}
}

// isStaleAck reports whether m acknowledges entries in an older term. A newer
// leader may have replaced them before they were synced.
func (r *Replica) isStaleAck(m *Message) bool {
	return m.Kind == MsgAppendReply && !m.Reject && m.Term < r.syncedState.Term
}

// checkSynced asserts that a replica acknowledges only entries and votes that are synced.
func (r *Replica) checkSynced(m *Message) {
	if m.Reject {
		return
	}
	if m.Kind == MsgAppendReply && m.Index > r.syncedIndex {
		assert.Fail("acknowledged_synced", "entry %d acknowledged, %d is synced", m.Index, r.syncedIndex)
	}
	if m.Kind == MsgVoteReply && m.Term > r.syncedState.Term {
		assert.Fail("acknowledged_synced", "vote of term %d, term %d is synced", m.Term, r.syncedState.Term)
	}
}
