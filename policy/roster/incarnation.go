package roster

import (
	"slices"
	"time"

	"marigoldcleat.example/cleat"
)

const (
	// confirmTime is for how long an upstream has to announce an earlier start than the known
	// one before it is taken for a later incarnation, whose clock was set back. What is
	// late of an incarnation that has ended arrives together.
	confirmTime = 2 * time.Second
	// maxEnded bounds the earlier incarnations that are remembered of one upstream.
	maxEnded = 8
)

// claim is an incarnation that announces an earlier start than the known one.
type claim struct {
	started  int64
	sequence uint64 // Of the first announcement.
	since    time.Time
}

// AnnouncedStart returns the start time that the upstream itself announced.
func AnnouncedStart(r *cleat.UpstreamRecord) int64 {
	if r.AnnouncedStart != 0 {
		return r.AnnouncedStart
	}
	return r.StartedAtMillis
}

// Identify returns the record to add for an announcement to this process, or false if there
// is nothing to add. An upstream that restarted after its clock was set back announces an
// earlier start than before. Until it is clear which incarnation serves, the known one is
// returned as leaving; then the later one, with a StartedAtMillis above that of the other.
func (t *Table) Identify(now time.Time, r cleat.UpstreamRecord) (cleat.UpstreamRecord, bool) {
	old, known := t.rows[r.Upstream]
	if !known || old.record.StartedAtMillis == 0 {
		return r, true
	}
	current, started := old.record, r.StartedAtMillis
	switch {
	case started == AnnouncedStart(&current):
		r.StartedAtMillis, r.AnnouncedStart = current.StartedAtMillis, current.AnnouncedStart
		if r.Sequence > current.Sequence {
			old.claim = claim{}
		}
		return r, true
	case started > current.StartedAtMillis:
		return r, true
	case slices.Contains(old.ended, started):
		return r, false
	}
	if old.claim.started != started {
		old.claim = claim{started: started, sequence: r.Sequence, since: now}
	}
	if r.Sequence > old.claim.sequence && now.Sub(old.claim.since) >= confirmTime {
		r.StartedAtMillis, r.AnnouncedStart = current.StartedAtMillis+1, started
		return r, true
	}
	isReady := current.Phase == cleat.UpstreamReady
	current.Phase = cleat.UpstreamLeaving
	return current, isReady
}

// takeHistory takes over what is remembered of the row's upstream from the row that it replaces.
func (n *row) takeHistory(old *row) {
	n.ended = old.ended
	switch {
	case n.record.StartedAtMillis == old.record.StartedAtMillis:
		n.since, n.claim = old.since, old.claim
	case n.record.AnnouncedStart == 0 && old.record.StartedAtMillis != 0:
		n.ended = append(slices.Clone(old.ended), AnnouncedStart(&old.record))
		n.ended = n.ended[max(0, len(n.ended)-maxEnded):]
	}
}

// Contradicts reports whether a kept record shows that an upstream serves on of which another
// process holds that it leaves: the latter heard a late announcement of an earlier incarnation.
func Contradicts(kept, leaving *cleat.UpstreamRecord) bool {
	return kept.Phase == cleat.UpstreamReady && leaving.Phase == cleat.UpstreamLeaving &&
		kept.StartedAtMillis == leaving.StartedAtMillis && kept.Sequence > leaving.Sequence
}

// HasEnded reports whether an incarnation, by the start that it announced, is known to have been
// superseded by a later one.
func (t *Table) HasEnded(id cleat.UpstreamID, started int64) bool {
	r, known := t.rows[id]
	return known && slices.Contains(r.ended, started)
}
