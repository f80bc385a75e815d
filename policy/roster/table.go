package roster

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

const (
	// ForgetGone is how long a withdrawn upstream is remembered, so that announcements
	// still under way don't bring it back.
	ForgetGone = 2 * time.Minute
	// ForgetSilent is how long an upstream stays known that announces nothing; it may be
	// cut off from control alone, and entries notice for themselves when it fails.
	ForgetSilent = time.Minute
)

type row struct {
	record cleat.UpstreamRecord
	heard  time.Time
}

// Table holds the newest record of each upstream.
type Table struct {
	rows   map[cleat.UpstreamID]*row
	holder map[string]cleat.UpstreamID // By address, the upstream born last.
}

// New returns an empty table.
func New() *Table {
	return &Table{rows: make(map[cleat.UpstreamID]*row), holder: make(map[string]cleat.UpstreamID)}
}

// Check returns a trace.BadParameter error when a record names no upstream to use.
func Check(r *cleat.UpstreamRecord) error {
	if r.Upstream == "" || r.Service == "" {
		return trace.BadParameter("Check: an announcement needs an upstream and a service")
	}
	if host, _, err := net.SplitHostPort(r.Address); err != nil || net.ParseIP(host) == nil {
		return trace.BadParameter("Check: the address %q of %s is not an IP address and a port", r.Address, r.Upstream)
	}
	if r.Phase != cleat.UpstreamReady && r.Phase != cleat.UpstreamLeaving {
		return trace.BadParameter("Check: %s announces the unknown phase %q", r.Upstream, r.Phase)
	}
	if r.Slots < 1 {
		return trace.BadParameter("Check: %s announces %d slots", r.Upstream, r.Slots)
	}
	return nil
}

// Add takes a record and reports whether it tells anything that others must know.
func (t *Table) Add(now time.Time, r cleat.UpstreamRecord) bool {
	old, known := t.rows[r.Upstream]
	if known && !newer(&r, &old.record) {
		return false
	}
	if known && old.record.Phase == cleat.UpstreamGone && old.record.StartedAtMillis == 0 && r.Phase != cleat.UpstreamGone {
		return t.adopt(now, old, r)
	}
	changed := !known || differs(&old.record, &r)
	t.rows[r.Upstream] = &row{record: r, heard: now}
	t.hold(&r)
	return changed
}

// adopt gives a withdrawal of an unknown life the life first heard of after it:
// the announcement was under way when the upstream ended.
func (t *Table) adopt(now time.Time, old *row, r cleat.UpstreamRecord) bool {
	if now.Sub(old.heard) >= ForgetGone {
		t.rows[r.Upstream] = &row{record: r, heard: now}
		t.hold(&r)
		return true
	}
	old.record.StartedAtMillis, old.record.Sequence = r.StartedAtMillis, r.Sequence
	return false
}

// hold gives the address to the upstream that was born last.
func (t *Table) hold(r *cleat.UpstreamRecord) {
	if r.Phase == cleat.UpstreamGone {
		return
	}
	if other, ok := t.rows[t.holder[r.Address]]; ok && other.record.Upstream != r.Upstream &&
		other.record.Address == r.Address && other.record.Phase != cleat.UpstreamGone && other.record.StartedAtMillis > r.StartedAtMillis {
		return
	}
	t.holder[r.Address] = r.Upstream
}

// newer reports whether a replaces b: a later life, or a later word of the same
// life; nothing follows the end of a life.
func newer(a, b *cleat.UpstreamRecord) bool {
	if a.StartedAtMillis != b.StartedAtMillis {
		return a.StartedAtMillis > b.StartedAtMillis
	}
	if b.Phase == cleat.UpstreamGone && b.StartedAtMillis != 0 {
		return false
	}
	return a.Phase == cleat.UpstreamGone || a.Sequence > b.Sequence
}

func differs(a, b *cleat.UpstreamRecord) bool {
	return a.Service != b.Service || a.Address != b.Address || a.Domain != b.Domain || a.Slots != b.Slots ||
		a.Phase != b.Phase || a.StartedAtMillis != b.StartedAtMillis
}

// Withdraw notes that an upstream ends and returns the record to pass on, or
// false when that was known.
func (t *Table) Withdraw(now time.Time, id cleat.UpstreamID) (cleat.UpstreamRecord, bool) {
	r, known := t.rows[id]
	if !known {
		r = &row{record: cleat.UpstreamRecord{Upstream: id}}
		t.rows[id] = r
	}
	if known && r.record.Phase == cleat.UpstreamGone {
		return r.record, false
	}
	r.record.Phase, r.heard = cleat.UpstreamGone, now
	return r.record, true
}

// Tick forgets upstreams that ended or fell silent long ago.
func (t *Table) Tick(now time.Time) {
	for id, r := range t.rows {
		limit := ForgetSilent
		if r.record.Phase == cleat.UpstreamGone {
			limit = ForgetGone
		}
		if now.Sub(r.heard) < limit {
			continue
		}
		delete(t.rows, id)
		if t.holder[r.record.Address] == id {
			delete(t.holder, r.record.Address)
		}
	}
}

// List returns all records, sorted by upstream.
func (t *Table) List() []cleat.UpstreamRecord {
	list := make([]cleat.UpstreamRecord, 0, len(t.rows))
	for _, r := range t.rows {
		list = append(list, r.record)
	}
	slices.SortFunc(list, func(a, b cleat.UpstreamRecord) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) })
	return list
}

// Usable returns the upstreams that hold their addresses and did not end, sorted.
func (t *Table) Usable() []cleat.UpstreamRecord {
	return slices.DeleteFunc(t.List(), func(r cleat.UpstreamRecord) bool {
		return r.Phase == cleat.UpstreamGone || t.holder[r.Address] != r.Upstream
	})
}
