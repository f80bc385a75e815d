package quorum

import (
	"time"

	"marigoldcleat.example/cleat/stand/assert"
)

// RequestSnapshot requests a snapshot; SnapshotDue then reports true as soon as
// there is anything new to include.
func (r *Replica) RequestSnapshot() {
	r.snapshotRequested = true
}

// SnapshotDue reports whether BeginSnapshot should be called: a snapshot was
// requested, or enough was applied since the last one. The bytes applied must
// also reach the size of the last snapshot, so that the cost of writing
// snapshots stays proportional to the commands. Unless a snapshot was requested,
// one that is being sent to a follower is not replaced until 4 times SnapshotEntries
// entries have been applied since it was taken.
func (r *Replica) SnapshotDue() bool {
	entriesSince := r.applied - r.core.log.snapshot.Index
	if r.snapshotting || entriesSince == 0 {
		return false
	}
	if r.snapshotRequested {
		return true
	}
	if entriesSince < r.cfg.SnapshotEntries && r.bytesSinceSnapshot < r.cfg.SnapshotBytes || r.bytesSinceSnapshot < len(r.snapshot) {
		return false
	}
	return !r.core.IsSendingSnapshot() || entriesSince >= 4*r.cfg.SnapshotEntries
}

// BeginSnapshot defers applying entries until EndSnapshot is called with the
// result of the state machine's Snapshot. Everything else continues concurrently.
func (r *Replica) BeginSnapshot() {
	r.snapshotting = true
	r.snapshotObsolete = false
	r.snapshotRequested = false
}

// EndSnapshot compacts the log up to the snapshot and applies the deferred
// entries. The snapshot is discarded if one from the leader was installed while
// it was being taken.
func (r *Replica) EndSnapshot(now time.Time, data []byte, err error) {
	r.snapshotting = false
	switch {
	case err != nil:
		assert.Fail("snapshot_taken", "%v", err)
	case !r.snapshotObsolete:
		r.compactLog(data)
	}
	entries := r.deferredEntries
	r.deferredEntries = nil
	r.processOutput(now, Output{Apply: entries})
}

func (r *Replica) compactLog(data []byte) {
	r.snapshot = data
	r.bytesSinceSnapshot = 0
	r.replacePending = true
	r.core.CompactLog(SnapshotMeta{
		Index:   r.applied,
		Term:    r.appliedTerm,
		Members: r.core.log.membersAt(r.applied),
		Size:    len(data),
	})
}
