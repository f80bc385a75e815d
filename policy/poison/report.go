package poison

import (
	"slices"
	"time"

	"marigoldcleat.example/cleat"
)

// announceInterval is how often an entry repeats a quarantine while requests with the
// block come, so that no entry ends it.
const announceInterval = 30 * time.Second

// Report returns what changed here since the last report, or nil when nothing did.
func (t *Table) Report(now time.Time) *cleat.CrashReport {
	for k, q := range t.quarantined {
		if q.seenAt.After(q.announcedAt) && now.Sub(q.announcedAt) >= announceInterval {
			t.newBlocks[k] = true
		}
	}
	if len(t.newFailures) == 0 && len(t.newServed) == 0 && len(t.newBlocks) == 0 {
		return nil
	}
	m := &cleat.CrashReport{}
	for _, f := range t.newFailures {
		appendFailure(now, m, f)
	}
	for k := range t.newServed {
		m.Served = append(m.Served, cleat.ServedBlock{Service: k.service, Block: k.id})
	}
	for k := range t.newBlocks {
		t.appendQuarantine(now, m, k)
	}
	t.newFailures = nil
	clear(t.newServed)
	clear(t.newBlocks)
	return m
}

// Complete returns all that is known here, for an entry to which a link has come up,
// or nil when there is nothing.
func (t *Table) Complete(now time.Time) *cleat.CrashReport {
	if len(t.failures) == 0 && len(t.quarantined) == 0 {
		return nil
	}
	m := &cleat.CrashReport{}
	for _, f := range t.failures {
		appendFailure(now, m, f)
	}
	for k := range t.quarantined {
		t.appendQuarantine(now, m, k)
	}
	return m
}

func appendFailure(now time.Time, m *cleat.CrashReport, f *failure) {
	if len(f.blocks) == 0 {
		return
	}
	m.Failures = append(m.Failures, cleat.CrashFailure{
		Service: f.service, Upstream: f.upstream, StartedAtMillis: f.born, Request: f.request, Blocks: slices.Clone(f.blocks), Age: max(0, now.Sub(f.at)),
	})
}

func (t *Table) appendQuarantine(now time.Time, m *cleat.CrashReport, k blockKey) {
	q, ok := t.quarantined[k]
	if !ok {
		return // It made room for another one.
	}
	q.announcedAt = now
	m.Quarantined = append(m.Quarantined, cleat.QuarantinedBlock{
		Service: q.Service, Block: q.Block, With: slices.Clone(q.With), Crashes: q.Crashes, Requests: q.Requests, Upstreams: q.Upstreams,
		FirstAge: max(0, now.Sub(q.FirstAt)), LastAge: max(0, now.Sub(q.LastAt)), SeenAge: max(0, now.Sub(q.seenAt)),
	})
}

// freshlyServed is how recently a block must have been served for another entry's
// quarantine of it to be rejected: the two messages may have crossed.
const freshlyServed = 5 * time.Second

// Apply merges another entry's report.
func (t *Table) Apply(now time.Time, m *cleat.CrashReport) {
	for i := range m.Failures {
		f := &m.Failures[i]
		t.addFailure(&failure{
			service: f.Service, upstream: f.Upstream, born: f.StartedAtMillis, request: f.Request, blocks: slices.Clone(f.Blocks), at: now.Add(-max(0, f.Age)),
		})
	}
	for _, b := range m.Served {
		if k := (blockKey{b.Service, b.Block}); t.isSuspect(k) {
			t.clear(k)
		}
	}
	for i := range m.Quarantined {
		t.applyQuarantine(now, &m.Quarantined[i])
	}
}

func (t *Table) applyQuarantine(now time.Time, b *cleat.QuarantinedBlock) {
	k := blockKey{b.Service, b.Block}
	if t.served.within(now, k, freshlyServed) {
		t.newServed[k] = true
		return
	}
	seenAt := now.Add(-max(0, b.SeenAge))
	if q, ok := t.quarantined[k]; ok {
		q.With = intersect(q.With, b.With)
		if seenAt.After(q.seenAt) {
			q.seenAt, q.announcedAt = seenAt, now
		}
		return
	}
	if now.Sub(seenAt) > t.cfg.QuarantineRetention {
		return
	}
	t.addQuarantine(k, &Quarantine{
		Service: b.Service, Block: b.Block, With: slices.Clone(b.With), Crashes: b.Crashes, Requests: b.Requests, Upstreams: b.Upstreams,
		FirstAt: now.Add(-max(0, b.FirstAge)), LastAt: now.Add(-max(0, b.LastAge)), seenAt: seenAt, announcedAt: now,
	})
}
