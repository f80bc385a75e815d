package roster

import (
	"slices"
	"time"

	"marigoldcleat.example/cleat"
)

const (
	// SettleTime is how long after the first contact all upstreams that serve have
	// announced themselves: announcements come every 1.2 s, possibly seconds late.
	SettleTime = 5 * time.Second
	// maxContactGap is the longest interval without contact in which no upstream comes
	// and leaves unnoticed: what is announced meanwhile is in the records sent next.
	maxContactGap = 5 * time.Second
)

// coverage is the interval in which all upstreams that came and left are known.
type coverage struct {
	from  time.Time // Zero when nothing is known yet.
	until time.Time
}

// RecordContact records that news of upstreams reach this process now. After a longer
// interval without them, or at first, what served before is not known.
func (t *Table) RecordContact(now time.Time) {
	c := &t.coverage
	if !c.from.IsZero() && !now.After(c.until) {
		return
	}
	if c.from.IsZero() || now.Sub(c.until) > maxContactGap {
		c.from = now.Add(SettleTime)
	}
	c.until = now
}

// ExtendKnowledge records that all records were received of a process that has known
// all upstreams for a time. It reports whether more of the past is known than before.
func (t *Table) ExtendKnowledge(now time.Time, knownFor time.Duration) bool {
	if knownFor <= 0 {
		return false
	}
	c := &t.coverage
	from := now.Add(-knownFor)
	earlier := c.from.IsZero() || from.Before(c.from)
	switch {
	case c.from.IsZero() || (now.Sub(c.until) > maxContactGap && from.After(c.until)):
		c.from = from
	case earlier:
		c.from = from
	}
	c.until = now
	return earlier
}

// KnownFor returns for how long all upstreams that came and left are known, at most
// WithdrawnRetention; zero without contact.
func (t *Table) KnownFor(now time.Time) time.Duration {
	c := &t.coverage
	if c.from.IsZero() || now.Sub(c.until) > maxContactGap {
		return 0
	}
	return min(max(0, now.Sub(c.from)), WithdrawnRetention)
}

// endedVersion is a version that an upstream had and no longer has.
type endedVersion struct {
	service cleat.ServiceName
	version string
	at      time.Time
}

// recordEnded records the version of the earlier of two incarnations of an upstream, of which r
// is one. A record that arrives late, when a later incarnation is known, counts too.
func (t *Table) recordEnded(now time.Time, r *cleat.UpstreamRecord) {
	row, known := t.rows[r.Upstream]
	if !known || row.record.StartedAtMillis == 0 || row.record.StartedAtMillis == r.StartedAtMillis {
		return
	}
	earlier, later := row.record, *r
	if earlier.StartedAtMillis > later.StartedAtMillis {
		earlier, later = later, earlier
	}
	if earlier.Version != later.Version || earlier.Service != later.Service {
		t.addEnded(now, earlier.Service, earlier.Version)
	}
}

func (t *Table) addEnded(at time.Time, s cleat.ServiceName, version string) {
	t.tickEnded(at)
	i := slices.IndexFunc(t.ended, func(e endedVersion) bool { return e.service == s && e.version == version })
	if i < 0 {
		t.ended = append(t.ended, endedVersion{service: s, version: version, at: at})
		return
	}
	if at.After(t.ended[i].at) {
		t.ended[i].at = at
	}
}

func (t *Table) tickEnded(now time.Time) {
	t.ended = slices.DeleteFunc(t.ended, func(e endedVersion) bool { return now.Sub(e.at) > WithdrawnRetention })
}

// Complete returns all that is known, for a process that is sent all later changes.
func (t *Table) Complete(now time.Time) *cleat.UpstreamUpdate {
	m := t.Update(now, t.ListAt(now))
	m.KnownFor = t.KnownFor(now)
	t.tickEnded(now)
	for _, e := range t.ended {
		m.Ended = append(m.Ended, cleat.EndedVersion{Service: e.service, Version: e.version, Age: max(0, now.Sub(e.at))})
	}
	return m
}

// Update returns a message with records of the table.
func (t *Table) Update(now time.Time, records []cleat.UpstreamRecord) *cleat.UpstreamUpdate {
	m := &cleat.UpstreamUpdate{Records: records, GoneFor: make([]time.Duration, len(records))}
	for i, r := range records {
		if r.Phase == cleat.UpstreamGone {
			m.GoneFor[i] = max(0, now.Sub(t.rows[r.Upstream].updatedAt))
		}
	}
	return m
}

// ApplyTimes returns for each record of an update when it was withdrawn, or now, and
// merges the versions that ended. Records are then added at these times.
func (t *Table) ApplyTimes(now time.Time, m *cleat.UpstreamUpdate) []time.Time {
	times := make([]time.Time, len(m.Records))
	for i, r := range m.Records {
		times[i] = now
		if len(m.GoneFor) == len(m.Records) && r.Phase == cleat.UpstreamGone {
			times[i] = now.Add(-min(max(0, m.GoneFor[i]), WithdrawnRetention))
		}
	}
	for _, e := range m.Ended {
		t.addEnded(now.Add(-max(0, e.Age)), e.Service, e.Version)
	}
	return times
}

// Doubt is why the version of a stream that isn't named can't be told.
type Doubt string

// The doubts about a version.
const (
	DoubtNone     Doubt = ""
	DoubtKnown    Doubt = "known_too_briefly" // Not all upstreams of the window are known.
	DoubtVersions Doubt = "several_versions"  // Upstreams of the window had several versions, or none is known.
)

// SoleVersion returns the software version that all upstreams of a service had within a
// window that ends now, or why it can't be told. Upstreams that have left, or whose
// address another one has taken, count until the window has passed.
func (t *Table) SoleVersion(now time.Time, s cleat.ServiceName, window time.Duration) (string, Doubt) {
	if t.KnownFor(now) < window {
		return "", DoubtKnown
	}
	versions := make(map[string]bool)
	for id, r := range t.rows {
		if r.record.Service == s && !t.endedBefore(id, r, now.Add(-window)) {
			versions[r.record.Version] = true
		}
	}
	for _, e := range t.ended {
		if e.service == s && now.Sub(e.at) <= window {
			versions[e.version] = true
		}
	}
	if len(versions) != 1 || versions[""] {
		return "", DoubtVersions
	}
	for v := range versions {
		return v, DoubtNone
	}
	return "", DoubtVersions
}
