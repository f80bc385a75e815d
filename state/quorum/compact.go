package quorum

import (
	"time"

	"marigoldcleat.example/cleat/stand/assert"
)

// AskSnapshot has a snapshot taken soon.
func (r *Replica) AskSnapshot() {
	r.asked = true
}

// SnapshotDue reports whether BeginSnapshot is to be called: a snapshot was
// asked for, or enough was applied since the last one, and no less than its
// size, so that writing snapshots costs in proportion to commands. It waits
// while a follower is sent the present one, unless the log has grown a lot.
func (r *Replica) SnapshotDue() bool {
	since := r.applied - r.core.log.snapshot.Index
	if r.snapshotting || since == 0 {
		return false
	}
	if r.asked {
		return true
	}
	if since < r.cfg.SnapshotEntries && r.recent < r.cfg.SnapshotBytes || r.recent < len(r.snapshot) {
		return false
	}
	return !r.core.SendsSnapshot() || since >= 4*r.cfg.SnapshotEntries
}

// BeginSnapshot holds back what is to be applied until EndSnapshot is called
// with what the state machine's Snapshot returns. All else goes on meanwhile.
func (r *Replica) BeginSnapshot() {
	r.snapshotting = true
	r.outdated = false
	r.asked = false
}

// EndSnapshot has the log replaced by the snapshot. One during which another
// was installed from the leader is dropped.
func (r *Replica) EndSnapshot(now time.Time, data []byte, err error) {
	r.snapshotting = false
	switch {
	case err != nil:
		assert.Fail("snapshot_taken", "%v", err)
	case !r.outdated:
		r.replaceLog(data)
	}
	entries := r.deferred
	r.deferred = nil
	r.process(now, Output{Apply: entries})
}

func (r *Replica) replaceLog(data []byte) {
	r.snapshot = data
	r.recent = 0
	r.replace = true
	r.core.Compacted(SnapshotMeta{
		Index:   r.applied,
		Term:    r.appliedTerm,
		Members: r.core.log.membersAt(r.applied),
		Size:    len(data),
	})
}
