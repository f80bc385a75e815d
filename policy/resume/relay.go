package resume

import (
	"time"

	"marigoldcleat.example/cleat"
)

// restart is the last restart of an upstream with another version.
type restart struct {
	at     time.Duration // Since Table.epoch.
	origin Origin        // Of the new incarnation.
}

// restartRetention is how long a restart is remembered: longer than any report of a
// stream that was sent before entries knew of it is on its way.
const restartRetention = 2 * time.Minute

// Relay merges a report at a control instance. With forward, Report then tells other
// control instances what changed. A stream that an upstream began after it restarted
// with another version stays unknown, whatever is reported later.
func (t *Table) Relay(now time.Time, m *cleat.StreamReport, forward bool) {
	for _, g := range m.Groups {
		o := Origin{Service: g.Service, Version: g.Version}
		full := len(g.Upstreams) == len(g.Streams) && len(g.Ages) == len(g.Streams)
		for i, k := range g.Streams {
			if i >= len(g.Seconds) {
				break
			}
			known := o
			var upstream uint64
			var sentAt time.Duration
			if full && g.Upstreams[i] != 0 {
				upstream, sentAt = g.Upstreams[i], now.Sub(t.epoch)-time.Duration(g.Ages[i])*time.Millisecond
				if t.precedesNews(upstream, sentAt, o) {
					known.Version = ""
				}
			}
			stored, changed := t.add(k, known, now.Add(time.Duration(min(g.Seconds[i], maxReportedSeconds))*time.Second))
			if !stored {
				continue
			}
			if r := t.streams[k]; upstream != 0 && (changed || r.upstream == 0) {
				r.upstream, r.sentAt = upstream, sentAt
				t.streams[k] = r
			}
			if !changed {
				continue
			}
			if forward || known != o {
				t.news[k] = true
			}
			if t.cfg.Relays && !t.origins[t.streams[k].origin].IsKnown() {
				t.voided = append(t.voided, k)
			}
		}
	}
}

// precedesNews reports whether a request was sent to an upstream after it restarted by
// an entry that recorded another origin than the new one.
func (t *Table) precedesNews(upstream uint64, sentAt time.Duration, o Origin) bool {
	r, ok := t.restarts[upstream]
	return ok && sentAt > r.at && r.origin != o
}

// Voided returns the streams that have become unknown here since the last call, for
// entries that may hold another origin; nil when there are none.
func (t *Table) Voided(now time.Time) *cleat.StreamReport {
	m := &cleat.StreamReport{}
	for _, k := range t.voided {
		t.appendStream(now, m, k, false)
	}
	t.voided = nil
	if len(m.Groups) == 0 {
		return nil
	}
	return m
}

// ReportOwn returns the streams that began here or became unknown here since the last
// call, for a control instance; nil when there are none.
func (t *Table) ReportOwn(now time.Time) *cleat.StreamReport {
	m := &cleat.StreamReport{}
	for _, k := range t.unsent {
		t.appendStream(now, m, k, true)
	}
	t.unsent = t.unsent[:0]
	if len(m.Groups) == 0 {
		return nil
	}
	return m
}

// ResendOwn makes the next ReportOwn return all streams that began here, for a control
// instance that may not have been told of them.
func (t *Table) ResendOwn() {
	t.unsent = t.unsent[:0]
	for k, r := range t.streams {
		if r.upstream != 0 {
			t.unsent = append(t.unsent, k)
		}
	}
}

// completeChunk is the number of streams in each message of Complete, about 100 KB.
const completeChunk = 4096

// Complete returns all that is known here, for another control instance.
func (t *Table) Complete(now time.Time) []*cleat.StreamReport {
	var list []*cleat.StreamReport
	m, n := &cleat.StreamReport{}, 0
	for k := range t.streams {
		if !t.appendStream(now, m, k, true) {
			continue
		}
		if n++; n == completeChunk {
			list = append(list, m)
			m, n = &cleat.StreamReport{}, 0
		}
	}
	if n > 0 {
		list = append(list, m)
	}
	return list
}

func (t *Table) tickRestarts(now time.Time) {
	for k, r := range t.restarts {
		if now.Sub(t.epoch)-r.at > restartRetention {
			delete(t.restarts, k)
		}
	}
}
