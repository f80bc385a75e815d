package permit

import (
	"maps"
	"slices"
	"time"

	"marigoldcleat.example/cleat"
)

const (
	// maxDownTime is how long after the last failed connection an upstream may have come
	// back: entries that send to it try again after 3 s at the latest, and a failure takes
	// up to 1 s to be known.
	maxDownTime = 4 * time.Second
	// maxHeardFailures bounds the time for which other entries' failures in a row make an
	// upstream cold: the owner may have lost its way to an upstream that all others reach.
	maxHeardFailures = 30 * time.Second
	// proofDelay is the time after a failure from which on the events of an earlier
	// request prove that the upstream has not ended: until then they may have been
	// received before.
	proofDelay = 500 * time.Millisecond
	// minRestartTime is the least time in which an upstream restarts. One that was heard
	// more recently refuses connections before it is back.
	minRestartTime = 500 * time.Millisecond
	// unreliableTime is how long an upstream that broke off a connection without having
	// ended is expected to do so again.
	unreliableTime = 10 * time.Second
	// proofReportTime is how long an entry tells others of its proof that an upstream has
	// not ended.
	proofReportTime = 2 * time.Second
	// maxConnectTime bounds the time from the decision to send a request until its
	// connection is dialed.
	maxConnectTime = 500 * time.Millisecond
	// maxAnnouncementDelay is how late an announcement may be. One that comes earlier
	// after a failure may have been made before it.
	maxAnnouncementDelay = 3 * time.Second
	// maxHeardWarmUp bounds the time for which another entry says that an upstream is
	// cold.
	maxHeardWarmUp = time.Minute
)

// last returns the last failure and the first answer after it, by all entries.
func (r *coldRow) last() failure {
	f := failure{failedAt: latest(r.own.failedAt, r.heard.failedAt)}
	for _, at := range []time.Time{r.own.reachedAt, r.heard.reachedAt} {
		if at.After(f.failedAt) && (f.reachedAt.IsZero() || at.Before(f.reachedAt)) {
			f.reachedAt = at
		}
	}
	return f
}

// failureUntil returns until when an upstream that is cold for a time after its start may
// be cold since a connection to it failed.
func (r *coldRow) failureUntil(start time.Duration) time.Time {
	f := r.last()
	switch {
	case f.failedAt.IsZero() || r.provenAt.After(f.failedAt):
		return time.Time{}
	case !f.reachedAt.IsZero():
		return f.reachedAt.Add(start)
	}
	return f.failedAt.Add(maxDownTime + start)
}

// clearFailure ends the effect of failures long before an announcement by which the
// upstream is warm.
func (r *coldRow) clearFailure(now time.Time) {
	if f := r.last(); !f.failedAt.IsZero() && now.Sub(f.failedAt) > maxAnnouncementDelay {
		r.own, r.heard = failure{}, failure{}
	}
}

// RecordFailure records that a connection to an upstream was refused or broke off: it may
// have restarted. It reports whether the upstream's service has cold upstreams.
func (t *Table) RecordFailure(now time.Time, id cleat.UpstreamID) bool {
	r, ok := t.cold.rows[id]
	if !ok || t.cold.services[r.service].PerSecond == 0 {
		return false
	}
	r.countFailure(now, t.cold.services[r.service].Start)
	r.own.failedAt = now
	t.refresh(now, id, r, "connection_failed")
	return true
}

// RecordBroken records that a connection to an upstream broke off, given when the upstream
// was last heard on any connection that was in use then; zero if that isn't known. The
// upstream may have restarted unless it was heard just before, or has lately broken off
// connections without having ended. Should it have ended all the same, it refuses the next
// connection. It reports whether the upstream's service has cold upstreams.
func (t *Table) RecordBroken(now, heardAt time.Time, id cleat.UpstreamID) bool {
	r, ok := t.cold.rows[id]
	if !ok || t.cold.services[r.service].PerSecond == 0 {
		return false
	}
	r.brokenAt = now
	t.cold.brokenUntil = now.Add(unreliableTime)
	if now.Sub(heardAt) < minRestartTime || r.isUnreliable(now) {
		return true
	}
	return t.RecordFailure(now, id)
}

// isUnreliable reports whether the upstream has lately broken off connections without
// having ended.
func (r *coldRow) isUnreliable(now time.Time) bool {
	return !r.provenAt.IsZero() && now.Sub(r.provenAt) < unreliableTime
}

// prove records that a request from before a broken connection went on long after it.
func (r *coldRow) prove(now, sentAt time.Time) bool {
	at := latest(r.brokenAt, r.last().failedAt)
	if at.IsZero() || !sentAt.Add(maxConnectTime).Before(at) || now.Sub(at) <= proofDelay {
		return false
	}
	r.provenAt, r.ownProofAt, r.brokenAt = now, now, time.Time{}
	return true
}

// RecordAlive records that an upstream answers, or goes on to answer, a request that was
// sent at a time. A request from before a failure proves that the upstream has not ended;
// a later one shows since when it is up at the latest.
func (t *Table) RecordAlive(now, sentAt time.Time, id cleat.UpstreamID) {
	if len(t.cold.services) == 0 || !t.hasColdNews(now) {
		return // The usual case, for each event.
	}
	r, ok := t.cold.rows[id]
	if !ok {
		return
	}
	f := r.last()
	switch {
	case f.failedAt.IsZero() && r.brokenAt.IsZero():
		return
	case !r.provenAt.After(latest(f.failedAt, r.brokenAt)) && r.prove(now, sentAt):
		t.refresh(now, id, r, "")
	case f.failedAt.IsZero() || r.provenAt.After(f.failedAt) || !now.Before(r.until):
		return
	case sentAt.After(f.failedAt) && !r.own.reachedAt.After(f.failedAt):
		r.own.reachedAt = now
		t.refresh(now, id, r, "")
	}
}

// ColdReport returns what the other entries need to know about cold upstreams: only what
// this entry has not heard from others, or its age would grow with each report.
func (t *Table) ColdReport(now time.Time) []cleat.ColdUpstream {
	t.note(now)
	t.cold.reportedAt = now
	if len(t.cold.services) == 0 {
		return nil
	}
	if !t.hearsEnough(now) {
		t.cold.aloneAt = now
	}
	if !t.hasColdNews(now) {
		return nil
	}
	var list []cleat.ColdUpstream
	for _, id := range slices.Sorted(maps.Keys(t.cold.rows)) {
		r := t.cold.rows[id]
		m := cleat.ColdUpstream{Upstream: id, StartedAtMillis: r.born}
		if age := now.Sub(r.ownProofAt); !r.ownProofAt.IsZero() && age < proofReportTime {
			m.ProofAge = max(1, age)
		}
		if !now.Before(r.until) {
			if m.ProofAge > 0 {
				list = append(list, m)
			}
			continue
		}
		news := r.newsUntil
		if !r.startHeardAt.IsZero() {
			news = latest(news, r.startHeardAt.Add(t.cold.services[r.service].Start))
		}
		m.WarmUp = max(0, news.Sub(now))
		if !r.own.failedAt.IsZero() && !r.provenAt.After(r.own.failedAt) {
			m.FailedAge = max(1, now.Sub(r.own.failedAt))
		}
		if r.own.reachedAt.After(r.last().failedAt) {
			m.ReachedAge = max(1, now.Sub(r.own.reachedAt))
		}
		if m.WarmUp > 0 || m.FailedAge > 0 || m.ReachedAge > 0 || m.ProofAge > 0 {
			list = append(list, m)
		}
	}
	return list
}

// ApplyCold merges what another entry, which may be shutting down, knows about cold
// upstreams. It is to be called for each report, after Apply.
func (t *Table) ApplyCold(now time.Time, from cleat.InstanceID, isLeaving bool, list []cleat.ColdUpstream) {
	if p, ok := t.peers[from]; ok {
		p.setLeaving(now, isLeaving)
	}
	for i := range list {
		t.mergeCold(now, now, &list[i])
	}
}

// mergeCold merges what another entry knew at a time about a cold upstream.
func (t *Table) mergeCold(now, knownAt time.Time, m *cleat.ColdUpstream) {
	r, ok := t.cold.rows[m.Upstream]
	if !ok || r.born > m.StartedAtMillis {
		return
	}
	if m.ProofAge > 0 {
		r.provenAt = latest(r.provenAt, knownAt.Add(-m.ProofAge))
		t.cold.brokenUntil = latest(t.cold.brokenUntil, now.Add(unreliableTime))
	}
	if m.WarmUp > 0 {
		r.heardUntil = latest(r.heardUntil, knownAt.Add(min(m.WarmUp, maxHeardWarmUp)))
	}
	if m.FailedAge > 0 {
		r.hearFailure(knownAt.Add(-m.FailedAge), t.cold.services[r.service].Start)
	}
	if at := knownAt.Add(-m.ReachedAge); m.ReachedAge > 0 && at.After(r.last().failedAt) && !r.heard.reachedAt.After(r.last().failedAt) {
		r.heard.reachedAt = at
	}
	t.refresh(now, m.Upstream, r, "peer")
}

// hearFailure records another entry's failure.
func (r *coldRow) hearFailure(at time.Time, start time.Duration) {
	if !at.After(r.heard.failedAt) {
		return
	}
	r.countFailure(at, start)
	if at.Sub(r.failingSince) <= maxHeardFailures {
		r.heard.failedAt = at
	}
}

// countFailure determines since when the failures come in a row: an answer, or the time
// after which the upstream would count as warm, ends it.
func (r *coldRow) countFailure(at time.Time, start time.Duration) {
	if at.Sub(r.lastFailedAt) > maxDownTime+start || !r.last().reachedAt.IsZero() {
		r.failingSince = at
	}
	r.lastFailedAt = latest(r.lastFailedAt, at)
}

// ColdChanges returns the changes since the last call.
func (t *Table) ColdChanges() []ColdChange {
	list := t.cold.changes
	t.cold.changes = nil
	return list
}

// ColdCounts sums up the upstreams that are cold.
func (t *Table) ColdCounts(now time.Time) ColdCounts {
	c := t.cold.counts
	if len(t.cold.services) == 0 || !now.Before(t.cold.until) {
		return c
	}
	for id, r := range t.cold.rows {
		if now.Before(r.until) {
			c.Cold++
			if t.owns(now, id, r) {
				c.Owned++
			}
		}
	}
	return c
}

// expireCold notes which upstreams became warm.
func (t *Table) expireCold(now time.Time) {
	if !t.isNew(now) {
		t.cold.introductions = nil
	}
	t.cold.until = time.Time{}
	for id, r := range t.cold.rows {
		t.cold.until = latest(t.cold.until, r.until)
		if r.isMarked && !now.Before(r.until) {
			r.isMarked = false
			t.cold.changes = append(t.cold.changes, ColdChange{Upstream: id})
		}
	}
}

// setColdUpstreams forgets the upstreams that are gone.
func (t *Table) setColdUpstreams(list []cleat.UpstreamRecord) {
	present := make(map[cleat.UpstreamID]bool, len(list))
	for i := range list {
		present[list[i].Upstream] = true
	}
	maps.DeleteFunc(t.cold.rows, func(id cleat.UpstreamID, _ *coldRow) bool { return !present[id] })
}
