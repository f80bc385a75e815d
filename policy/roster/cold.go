package roster

import (
	"time"

	"marigoldcleat.example/cleat"
)

// coldTolerance is by how much an upstream must be cold for longer than known for that to
// be forwarded: announcements take different times, and each counts the time down.
const coldTolerance = 500 * time.Millisecond

// staysCold reports whether an upstream has become cold, or is cold for longer than was
// forwarded.
func staysCold(now time.Time, old *row, r *cleat.UpstreamRecord) bool {
	return r.WarmUp > 0 && now.Add(r.WarmUp-coldTolerance).After(old.coldUntil)
}

// setColdUntil sets until when the upstream is cold by what was forwarded, in the row that
// replaces an old one, if any.
func (n *row) setColdUntil(now time.Time, old *row, forwarded bool) {
	if old != nil && old.record.StartedAtMillis == n.record.StartedAtMillis {
		n.coldUntil = old.coldUntil
	}
	if forwarded {
		n.coldUntil = now.Add(n.record.WarmUp)
	}
}

// ListAt returns all records, sorted by upstream ID, with the time for which each is
// still cold counted down to now.
func (t *Table) ListAt(now time.Time) []cleat.UpstreamRecord {
	list := t.List()
	for i := range list {
		if r := &list[i]; r.WarmUp > 0 {
			r.WarmUp = max(0, r.WarmUp-now.Sub(t.rows[r.Upstream].updatedAt))
		}
	}
	return list
}
