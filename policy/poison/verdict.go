package poison

import (
	"slices"
	"time"

	"marigoldcleat.example/cleat"
)

// rounds returns how many crashes came one after the other: each under a request that
// was sent after the crash before. Equal requests that run at several upstreams which
// end together are one round.
func (r *request) rounds() int {
	n := 0
	var last time.Time
	for _, c := range r.crashes {
		if n == 0 || !c.sentAt.Before(last) {
			n++
			last = c.at
		}
	}
	return n
}

// suffices reports whether the crashes of a request have no other explanation. A
// single round has: the upstreams ended together. So have crashes under all of which
// another request was sent as well, as long as they are few or the other one has more.
func (t *RequestTable) suffices(digest uint64, r *request) bool {
	if len(r.crashes) < t.cfg.MinCrashes || r.rounds() < 2 {
		return false
	}
	for other, o := range t.requests {
		if other != digest && len(o.crashes) >= len(r.crashes) && o.covers(r) {
			if len(o.crashes) > len(r.crashes) || len(r.crashes) < t.cfg.MaxSharedCrashes {
				return false
			}
		}
	}
	return true
}

// covers reports whether a request was there at all crashes of another.
func (r *request) covers(other *request) bool {
	for _, c := range other.crashes {
		if !slices.ContainsFunc(r.crashes, func(k requestCrash) bool { return k.incarnation == c.incarnation }) {
			return false
		}
	}
	return true
}

// Tick quarantines the requests on which the evidence suffices, ends quarantines after
// their time, and forgets old evidence. It returns the changes, those by answers
// included.
func (t *RequestTable) Tick(now time.Time) []RequestQuarantine {
	for digest, r := range t.requests {
		last := r.lastAt()
		switch {
		case now.Sub(last) > t.cfg.Retention:
			delete(t.requests, digest)
		case len(r.crashes) == 0:
		case r.quarantined && now.Sub(last) > t.cfg.QuarantineTime:
			r.quarantined, r.pardonedAt = false, now
			t.changed = append(t.changed, quarantineOf(digest, r.crashes, false))
		case !r.quarantined && last.After(r.pardonedAt) && now.Sub(last) <= t.cfg.QuarantineTime &&
			now.Sub(t.sufficedAt(r)) >= t.cfg.SettleTime && t.suffices(digest, r):
			r.quarantined = true
			t.changed = append(t.changed, quarantineOf(digest, r.crashes, true))
		}
	}
	changed := t.changed
	t.changed = nil
	return changed
}

// sufficedAt returns the time of the crash from which a quarantine may follow: the last
// one that is needed, or the first one after the last quarantine.
func (t *RequestTable) sufficedAt(r *request) time.Time {
	at := r.crashes[min(t.cfg.MinCrashes, len(r.crashes))-1].at
	if i := slices.IndexFunc(r.crashes, func(c requestCrash) bool { return c.at.After(r.pardonedAt) }); i >= 0 && r.crashes[i].at.After(at) {
		at = r.crashes[i].at
	}
	return at
}

// Report adds to m what changed here since the last report.
func (t *RequestTable) Report(now time.Time, m *cleat.CrashReport) {
	for _, c := range t.newCrashes {
		m.Requests = append(m.Requests, c.message(now))
	}
	for digest := range t.newServed {
		if r, ok := t.requests[digest]; ok {
			m.ServedRequests = append(m.ServedRequests, cleat.ServedRequest{Digest: digest, Age: max(0, now.Sub(r.servedAt))})
		}
	}
	t.newCrashes = nil
	clear(t.newServed)
}

// Complete adds to m what is known here of requests with several crashes, for an entry
// to which a link has come up. One crash says little, and many requests have one.
func (t *RequestTable) Complete(now time.Time, m *cleat.CrashReport) {
	for digest, r := range t.requests {
		if len(r.crashes) < 2 {
			continue
		}
		for _, c := range r.crashes {
			m.Requests = append(m.Requests, reportedCrash{digest, c}.message(now))
		}
		if !r.servedAt.IsZero() {
			m.ServedRequests = append(m.ServedRequests, cleat.ServedRequest{Digest: digest, Age: max(0, now.Sub(r.servedAt))})
		}
	}
}

func (c reportedCrash) message(now time.Time) cleat.RequestCrash {
	return cleat.RequestCrash{
		Digest: c.digest, Upstream: c.upstream, StartedAtMillis: c.born, Age: max(0, now.Sub(c.at)), RanFor: max(0, c.at.Sub(c.sentAt)),
	}
}

// Apply merges another entry's report.
func (t *RequestTable) Apply(now time.Time, m *cleat.CrashReport) {
	for i := range m.Requests {
		c := &m.Requests[i]
		at := now.Add(-max(0, c.Age))
		if now.Sub(at) <= t.cfg.Retention {
			t.addCrash(c.Digest, requestCrash{incarnation{c.Upstream, c.StartedAtMillis}, at.Add(-max(0, c.RanFor)), at})
		}
	}
	for _, s := range m.ServedRequests {
		if r, ok := t.requests[s.Digest]; ok {
			t.serve(now.Add(-max(0, s.Age)), s.Digest, r)
		}
	}
}
