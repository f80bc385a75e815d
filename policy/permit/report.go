package permit

import (
	"maps"
	"slices"
	"time"

	"marigoldcleat.example/cleat"
)

// Report returns what the other entries need to know about limits, with the permits
// that this entry grants them. It is to be called in the interval between reports.
func (t *Table) Report(now time.Time) []cleat.UpstreamLimit {
	var list []cleat.UpstreamLimit
	for _, id := range slices.Sorted(maps.Keys(t.limits)) {
		l := t.limits[id]
		if l.rate == 0 && now.Sub(l.observedAt) > forgetEnded {
			continue
		}
		m := cleat.UpstreamLimit{Upstream: id, StartedAtMillis: l.born, Rate: l.rate, Age: max(0, now.Sub(l.observedAt)), Heard: l.heard}
		if l.rate > 0 {
			grants := t.grant(now, id, l)
			for _, entry := range slices.Sorted(maps.Keys(grants)) {
				if entry == t.self {
					l.receive(now, grants[entry])
					continue
				}
				m.Grants = append(m.Grants, cleat.PermitGrant{Entry: entry, Count: grants[entry]})
			}
			m.Wanted = l.wanted(now)
			m.Held = uint32(len(l.permits))
			m.Expired, l.expired = l.expired, 0
			if l.bucket.granter == t.self {
				l.bucket.tokens += float64(m.Expired)
			}
		}
		list = append(list, m)
	}
	return list
}

func (l *limit) receive(now time.Time, n uint32) {
	l.counts.Received += uint64(n)
	for range n {
		l.permits = append(l.permits, now.Add(Lifetime))
	}
}

// maxGrants bounds the permits that one report may grant an entry for one upstream.
const maxGrants = 10000

// Apply merges another entry's report.
func (t *Table) Apply(now time.Time, from cleat.InstanceID, list []cleat.UpstreamLimit) {
	p, ok := t.peers[from]
	if !ok {
		p = &peer{}
		t.peers[from] = p
	}
	p.reportedAt, p.limits = now, nil
	for i := range list {
		m := &list[i]
		t.merge(now, from, m)
		l, ok := t.limits[m.Upstream]
		if !ok || l.rate == 0 || l.born != m.StartedAtMillis {
			continue
		}
		if m.Wanted > 0 || m.Held > 0 {
			if p.limits == nil {
				p.limits = make(map[cleat.UpstreamID]peerLimit)
			}
			p.limits[m.Upstream] = peerLimit{wanted: min(m.Wanted, maxDemand), held: min(m.Held, maxGrants)}
		}
		if l.bucket.granter == t.self {
			l.bucket.tokens += float64(min(m.Expired, maxGrants))
		}
		for _, g := range m.Grants {
			if g.Entry == t.self && t.granterOf(now, m.Upstream) == from {
				l.receive(now, min(g.Count, maxGrants))
			}
		}
	}
}

// merge applies a limit that another entry knows, unless what is known here is newer.
func (t *Table) merge(now time.Time, from cleat.InstanceID, m *cleat.UpstreamLimit) {
	at := now.Add(-max(0, m.Age))
	l, ok := t.limits[m.Upstream]
	switch {
	case !ok && m.Rate == 0:
		return
	case ok && l.born > m.StartedAtMillis:
		return
	case ok && l.born == m.StartedAtMillis && (m.Heard || !at.After(l.observedAt)):
		// The time of the answer grows with each entry that passes it on, so that only
		// the first one's counts.
		return
	}
	isNew := !ok || l.born < m.StartedAtMillis
	t.set(at, m.Upstream, m.StartedAtMillis, max(0, m.Rate), from)
	if isNew && m.Rate > 0 {
		// Permits of an earlier granter may be in use; this entry may have restarted.
		t.limits[m.Upstream].bucket = bucket{granter: from}
	}
}

// Expire drops the reports of entries that have been out of touch for long, and notes
// which upstreams are no longer cold.
func (t *Table) Expire(now time.Time) {
	maps.DeleteFunc(t.peers, func(_ cleat.InstanceID, p *peer) bool { return now.Sub(p.reportedAt) >= 2*peerMaxAge })
	t.expireCold(now)
}
