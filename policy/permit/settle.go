package permit

import (
	"maps"
	"slices"
	"time"

	"marigoldcleat.example/cleat"
)

// Load pattern of this file: entries start while others are down, and no other upstreams
// are left for their callers than those that have been up for long.

// maxSettling bounds how long an entry that has just started takes all upstreams for cold.
const maxSettling = 1500 * time.Millisecond

// introduction is what an informed entry knew about cold upstreams when the link to it
// came up. It may arrive before control's list of upstreams.
type introduction struct {
	at   time.Time
	list []cleat.ColdUpstream
}

// isSettling reports whether this entry has just started and doesn't know yet which
// upstreams others take for cold: no informed entry has told it, nor have all others
// reported.
func (t *Table) isSettling(now time.Time) bool {
	c := &t.cold
	if c.settled {
		return false
	}
	t.note(now)
	c.settled = now.Sub(c.startedAt) >= maxSettling || len(c.introductions) > 0 || (c.knowsMembers && t.livePeers(now) >= t.members)
	return !c.settled
}

// isNew reports whether this entry started so recently that it learns from others what
// they have heard.
func (t *Table) isNew(now time.Time) bool { return now.Sub(t.cold.startedAt) < startGrace }

// ColdIntroduction returns what this entry knows about cold upstreams, also from others,
// for an entry to which a link has come up. It reports whether this entry is informed: it
// is not new, and has had no stall in which it missed what others reported.
func (t *Table) ColdIntroduction(now time.Time) (list []cleat.ColdUpstream, isInformed bool) {
	t.note(now)
	if c := &t.cold; t.isNew(now) || now.Sub(c.awakeSince) < handoverTime {
		return nil, false
	}
	if !now.Before(t.cold.until) {
		return nil, true
	}
	for _, id := range slices.Sorted(maps.Keys(t.cold.rows)) {
		if r := t.cold.rows[id]; now.Before(r.until) {
			list = append(list, t.knownCold(now, id, r))
		}
	}
	return list, true
}

// knownCold returns all that is known about a cold upstream.
func (t *Table) knownCold(now time.Time, id cleat.UpstreamID, r *coldRow) cleat.ColdUpstream {
	m := cleat.ColdUpstream{Upstream: id, StartedAtMillis: r.born}
	until := latest(latest(r.newsUntil, r.heardUntil), r.domainUntil)
	if !r.startHeardAt.IsZero() {
		until = latest(until, r.startHeardAt.Add(t.cold.services[r.service].Start))
	}
	m.WarmUp = max(0, until.Sub(now))
	if f := r.last(); !f.failedAt.IsZero() && !r.provenAt.After(f.failedAt) {
		m.FailedAge = max(1, now.Sub(f.failedAt))
		if !f.reachedAt.IsZero() {
			m.ReachedAge = max(1, now.Sub(f.reachedAt))
		}
	}
	return m
}

// ApplyColdIntroduction merges what an informed entry knows about cold upstreams, if this
// entry is new. Others don't need it: what is passed on by those that know it already
// would seem to have happened later each time.
func (t *Table) ApplyColdIntroduction(now time.Time, list []cleat.ColdUpstream) {
	if t.note(now); !t.isNew(now) {
		return
	}
	t.cold.introductions = append(t.cold.introductions, introduction{now, list})
	for i := range list {
		t.mergeCold(now, now, &list[i])
	}
}

// applyIntroductions merges what informed entries said about an upstream before it was
// announced here.
func (t *Table) applyIntroductions(now time.Time, id cleat.UpstreamID) {
	for _, in := range t.cold.introductions {
		for i := range in.list {
			if in.list[i].Upstream == id {
				t.mergeCold(now, in.at, &in.list[i])
			}
		}
	}
}
