package poison

import (
	"slices"
	"time"

	"marigoldcleat.example/cleat"
)

// incarnation identifies one run of an upstream.
type incarnation struct {
	upstream cleat.UpstreamID
	born     int64
}

// crashes returns the upstreams that ended, in order.
func (s *suspect) crashes() []incarnation {
	list := make([]incarnation, 0, len(s.failures))
	for _, f := range s.failures {
		if c := (incarnation{f.upstream, f.born}); !slices.Contains(list, c) {
			list = append(list, c)
		}
	}
	return list
}

// requests returns how many different requests failed.
func (s *suspect) requests() int {
	ids := make([]uint64, 0, len(s.failures))
	for _, f := range s.failures {
		if !slices.Contains(ids, f.request) {
			ids = append(ids, f.request)
		}
	}
	return len(ids)
}

// quarantine sums the evidence up.
func (s *suspect) quarantine(now time.Time, k blockKey) *Quarantine {
	q := &Quarantine{Service: k.service, Block: k.id, Requests: s.requests(), FirstAt: now, seenAt: now}
	for _, c := range s.crashes() {
		q.Crashes++
		q.Upstreams = append(q.Upstreams, c.upstream)
	}
	q.With = slices.DeleteFunc(slices.Clone(s.failures[0].blocks), func(id uint64) bool { return id == k.id })
	for _, f := range s.failures {
		q.With = intersect(q.With, f.blocks)
		if f.at.Before(q.FirstAt) {
			q.FirstAt = f.at
		}
		if f.at.After(q.LastAt) {
			q.LastAt = f.at
		}
	}
	return q
}

// suffices reports whether chance doesn't explain the failures of a block.
func (t *Table) suffices(now time.Time, s *suspect) bool {
	if len(s.failures) < t.cfg.MinCrashes {
		return false
	}
	return len(s.crashes()) >= t.crashesNeeded(now, s) && s.requests() >= t.cfg.MinRequests
}

// Tick quarantines the blocks on which the evidence suffices, and ends quarantines of
// which no request has come for long. It returns the blocks newly quarantined, here or
// by other entries, and those that are no longer.
func (t *Table) Tick(now time.Time) (added, ended []*Quarantine) {
	t.outcomes.turn(now)
	for len(t.failures) > 0 && now.Sub(t.failures[0].at) > t.cfg.FailureRetention {
		t.dropOldest()
	}
	for k, s := range t.suspects {
		switch {
		case !t.suffices(now, s):
			s.since = time.Time{}
		case s.since.IsZero():
			s.since = now
		case now.Sub(s.since) >= t.cfg.SettleTime && t.quarantined[k] == nil:
			t.addQuarantine(k, s.quarantine(now, k))
			t.newBlocks[k] = true
		}
	}
	for k, q := range t.quarantined {
		if now.Sub(q.seenAt) > t.cfg.QuarantineRetention {
			ended = append(ended, q)
			t.clear(k)
		}
	}
	added, t.changed = t.changed, nil
	return added, ended
}

// addQuarantine adds a block; the one whose requests stopped coming first makes room.
func (t *Table) addQuarantine(k blockKey, q *Quarantine) {
	if len(t.quarantined) >= t.cfg.MaxQuarantined {
		var oldest blockKey
		for other, r := range t.quarantined {
			if o := t.quarantined[oldest]; o == nil || r.seenAt.Before(o.seenAt) {
				oldest = other
			}
		}
		t.clear(oldest)
	}
	t.quarantined[k] = q
	t.changed = append(t.changed, q)
}
