package roster

import (
	"time"

	"marigoldcleat.example/cleat"
)

// RepeatTime is the time within which two withdrawals are of the same incarnation: an upstream
// goes on serving for longer after its withdrawal.
const RepeatTime = 500 * time.Millisecond

// maxClockSkew bounds the difference between an upstream's clock and this one's.
const maxClockSkew = 5 * time.Second

// Withdrawal returns the record of an upstream's withdrawal at this process, without storing it.
// Unless the incarnation that serves is known, it ends all that started before now.
func (t *Table) Withdrawal(now time.Time, id cleat.UpstreamID) cleat.UpstreamRecord {
	rec := cleat.UpstreamRecord{Upstream: id}
	r, known := t.rows[id]
	if known {
		rec = r.record
	}
	live := known && rec.Phase != cleat.UpstreamGone && !rec.Exit.Tentative
	rec.Phase, rec.Exit = cleat.UpstreamGone, cleat.UpstreamExit{GoneAtMillis: now.UnixMilli(), Unidentified: !live}
	return rec
}

// Withdraw marks an upstream as gone and returns the record to forward. It returns
// false if the upstream was withdrawn already.
func (t *Table) Withdraw(now time.Time, id cleat.UpstreamID) (cleat.UpstreamRecord, bool) {
	r, known := t.rows[id]
	if known && r.record.Phase == cleat.UpstreamGone {
		return r.record, false
	}
	rec := t.Withdrawal(now, id)
	if !known {
		r = &row{since: now}
		t.rows[id] = r
	}
	r.record, r.updatedAt = rec, now
	return rec, true
}

// isOlderWithdrawal reports whether a withdrawal names no later incarnation than the row's, and
// may still end that one or others that haven't announced themselves.
func (r *row) isOlderWithdrawal(w *cleat.UpstreamRecord) bool {
	return w.StartedAtMillis == 0 || (w.StartedAtMillis <= r.record.StartedAtMillis && w.Exit.Unidentified)
}

// endBy merges a withdrawal of that time at an instance that may not have known the row's
// incarnation, and reports whether the row changed.
func (r *row) endBy(withdrawn time.Time, w *cleat.UpstreamRecord) bool {
	gone := r.record.Phase == cleat.UpstreamGone
	switch {
	case gone && IsRepetition(w, &r.record):
		return false
	case gone: // Of a later incarnation.
		r.record.Exit, r.updatedAt = w.Exit, withdrawn
		return true
	case !r.isEndedBy(withdrawn, w):
		return false
	}
	unidentified := w.Exit.Unidentified && (r.record.Exit.Tentative || w.StartedAtMillis == r.record.StartedAtMillis)
	r.record.Exit = cleat.UpstreamExit{GoneAtMillis: w.Exit.GoneAtMillis, Unidentified: unidentified}
	r.record.Phase, r.updatedAt = cleat.UpstreamGone, withdrawn
	return true
}

// IsRepetition reports whether a withdrawal ends nothing that an earlier one of the same upstream
// doesn't: it is of the same incarnation, or of one that started before.
func IsRepetition(w, earlier *cleat.UpstreamRecord) bool {
	if !w.Exit.Unidentified {
		return w.StartedAtMillis <= earlier.StartedAtMillis
	}
	return w.Exit.GoneAtMillis <= max(earlier.StartedAtMillis, earlier.Exit.GoneAtMillis+RepeatTime.Milliseconds())
}

// isEndedBy reports whether the row's incarnation had started when the withdrawal came.
func (r *row) isEndedBy(withdrawn time.Time, w *cleat.UpstreamRecord) bool {
	if !w.Exit.Unidentified { // The incarnation was known, or the sender's build doesn't state the time.
		return w.StartedAtMillis == r.record.StartedAtMillis || !r.since.After(withdrawn) ||
			!time.UnixMilli(r.record.StartedAtMillis).After(withdrawn.Add(-maxClockSkew))
	}
	// The time in which all control instances were down is missing in the age of a withdrawal.
	if stated := time.UnixMilli(w.Exit.GoneAtMillis); stated.Before(withdrawn) {
		withdrawn = stated
	}
	return !r.since.After(withdrawn) || r.record.StartedAtMillis < w.Exit.GoneAtMillis
}

// mayHaveEnded reports whether the row is the withdrawal of an upstream whose incarnation was
// not known, and the announcement is of one that had started by then.
func (r *row) mayHaveEnded(a *cleat.UpstreamRecord) bool {
	switch {
	case r.record.Phase != cleat.UpstreamGone:
		return false
	case r.record.Exit.Unidentified:
		return a.StartedAtMillis < r.record.Exit.GoneAtMillis
	}
	return r.record.StartedAtMillis == 0 // From a build that doesn't state the time.
}

// adoptIncarnation handles an announcement that was in transit when its upstream, whose
// incarnation wasn't known, was withdrawn: the withdrawal adopts the announced incarnation. One
// that is WithdrawnRetention old is replaced by the announcement.
func (t *Table) adoptIncarnation(now time.Time, old *row, r cleat.UpstreamRecord) bool {
	if now.Sub(old.updatedAt) >= WithdrawnRetention {
		t.rows[r.Upstream] = &row{record: r, since: now, updatedAt: now}
		t.assignAddress(&r)
		return true
	}
	old.record.StartedAtMillis, old.record.AnnouncedStart, old.record.Sequence = r.StartedAtMillis, r.AnnouncedStart, r.Sequence
	return false
}
