package resume

import (
	"math"
	"slices"
	"time"

	"marigoldcleat.example/cleat"
)

// Report returns what changed here since the last report, or nil when nothing did.
func (t *Table) Report(now time.Time) *cleat.StreamReport {
	if len(t.news) == 0 {
		return nil
	}
	m := &cleat.StreamReport{}
	for k := range t.news {
		t.appendStream(now, m, k, t.cfg.Relays)
	}
	clear(t.news)
	return m
}

// Answer returns what is known here of the streams that another entry asks for.
func (t *Table) Answer(now time.Time, q *cleat.StreamQuery) *cleat.StreamReport {
	m := &cleat.StreamReport{}
	for _, k := range q.Streams {
		if !t.appendStream(now, m, k, false) {
			m.Unknown = append(m.Unknown, k)
		}
	}
	return m
}

// appendStream adds a stream to a report, in full with the upstream that began it. It
// returns false if the stream is not known.
func (t *Table) appendStream(now time.Time, m *cleat.StreamReport, k uint64, full bool) bool {
	r, ok := t.streams[k]
	left := r.until - now.Sub(t.epoch)
	if !ok || left < 0 {
		return false
	}
	o := t.origins[r.origin]
	i := slices.IndexFunc(m.Groups, func(g cleat.StreamGroup) bool { return g.Service == o.Service && g.Version == o.Version })
	if i < 0 {
		i = len(m.Groups)
		m.Groups = append(m.Groups, cleat.StreamGroup{Service: o.Service, Version: o.Version})
	}
	g := &m.Groups[i]
	g.Streams = append(g.Streams, k)
	g.Seconds = append(g.Seconds, uint32(min(math.Ceil(left.Seconds()), maxReportedSeconds)))
	if full {
		age := min(max(0, now.Sub(t.epoch)-r.sentAt), maxReportedSeconds*time.Second)
		g.Upstreams, g.Ages = append(g.Upstreams, r.upstream), append(g.Ages, uint32(age.Milliseconds()))
	}
	return true
}

// maxReportedSeconds bounds how long another entry's report keeps a stream.
const maxReportedSeconds = 24 * 60 * 60

// Apply merges another entry's report.
func (t *Table) Apply(now time.Time, m *cleat.StreamReport) {
	for _, g := range m.Groups {
		o := Origin{Service: g.Service, Version: g.Version}
		for i, k := range g.Streams {
			if i >= len(g.Seconds) {
				break
			}
			t.add(k, o, now.Add(time.Duration(min(g.Seconds[i], maxReportedSeconds))*time.Second))
		}
	}
}

// Query returns the message that asks other entries for streams.
func Query(ids ...cleat.RequestID) *cleat.StreamQuery {
	m := &cleat.StreamQuery{}
	for _, id := range ids {
		m.Streams = append(m.Streams, key(id))
	}
	return m
}

// Names reports whether a message is about a stream: known is set when it says where
// the stream began.
func Names(m *cleat.StreamReport, id cleat.RequestID) (named, known bool) {
	k := key(id)
	for _, g := range m.Groups {
		if slices.Contains(g.Streams, k) {
			return true, true
		}
	}
	return slices.Contains(m.Unknown, k), false
}
