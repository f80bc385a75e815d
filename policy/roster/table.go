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
	// WithdrawnRetention is how long the tombstone of a withdrawn upstream is kept, so
	// that announcements still in transit don't restore it.
	WithdrawnRetention = 2 * time.Minute
	// AnnouncementTimeout is how long an upstream is kept without announcements. It may
	// be partitioned from the control instances but still usable; entries detect a
	// failed upstream themselves.
	AnnouncementTimeout = time.Minute
	// RenewInterval is the time between lists by which control instances tell each other of
	// the upstreams that went on announcing themselves to one of them.
	RenewInterval = AnnouncementTimeout / 4
)

// row holds the record of one upstream.
type row struct {
	record      cleat.UpstreamRecord
	since       time.Time // When its incarnation became known.
	updatedAt   time.Time // When the record was last accepted or withdrawn.
	coldUntil   time.Time // Until when it is cold, of the latest that was forwarded.
	unshared    bool      // It announced itself to this process, and nothing was forwarded.
	saidLeaving bool      // An answer of this incarnation said that it leaves, whatever it announces.
	claim       claim     // Of another incarnation that announces an earlier start.
	ended       []int64   // As announced, the starts of incarnations that later ones have superseded.
}

// Table holds the latest record of each upstream. It is not safe for concurrent use.
type Table struct {
	rows         map[cleat.UpstreamID]*row
	addressOwner map[string]cleat.UpstreamID // By address, the upstream that started last.
	coverage     coverage
	ended        []endedVersion // Versions that upstreams had before they restarted under their ids.
}

// New returns an empty table.
func New() *Table {
	return &Table{rows: make(map[cleat.UpstreamID]*row), addressOwner: make(map[string]cleat.UpstreamID)}
}

// Check returns a trace.BadParameter error if a record doesn't describe a usable upstream.
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

// Add stores a record unless it is stale, and reports whether it must be forwarded.
func (t *Table) Add(now time.Time, r cleat.UpstreamRecord) bool {
	old, known := t.rows[r.Upstream]
	if known && r.Phase == cleat.UpstreamGone && old.isOlderWithdrawal(&r) {
		return old.endBy(now, &r)
	}
	if known && AnnouncedStart(&r) == AnnouncedStart(&old.record) && r.StartedAtMillis < old.record.StartedAtMillis {
		r.StartedAtMillis, r.AnnouncedStart = old.record.StartedAtMillis, old.record.AnnouncedStart
	}
	t.recordEnded(now, &r)
	if known && !supersedes(&r, &old.record) {
		return false
	}
	if known && r.Version == "" && r.StartedAtMillis == old.record.StartedAtMillis {
		r.Version = old.record.Version // Forwarded by an instance that doesn't know versions.
	}
	if known && r.Phase != cleat.UpstreamGone && old.mayHaveEnded(&r) {
		return t.adoptIncarnation(now, old, r)
	}
	saidLeaving := known && old.saidLeaving && r.StartedAtMillis == old.record.StartedAtMillis
	if saidLeaving && r.Phase == cleat.UpstreamReady {
		r.Phase = cleat.UpstreamLeaving // Announced before, and delayed.
	}
	changed := !known || differs(&old.record, &r) || staysCold(now, old, &r)
	next := &row{record: r, since: now, updatedAt: now, saidLeaving: saidLeaving}
	if known {
		next.takeHistory(old)
	}
	next.setColdUntil(now, old, changed)
	t.rows[r.Upstream] = next
	t.assignAddress(&r)
	return changed
}

// AddAnnounced stores the record of an upstream that announced itself to this process, and
// reports whether it must be forwarded at once. Otherwise Renewals returns it later.
func (t *Table) AddAnnounced(now time.Time, r cleat.UpstreamRecord) bool {
	changed := t.Add(now, r)
	stored := t.rows[r.Upstream]
	stored.unshared = !changed && stored.record.Phase != cleat.UpstreamGone &&
		stored.record.StartedAtMillis == r.StartedAtMillis && stored.record.Sequence == r.Sequence
	return changed
}

// Renewals returns the records of the upstreams that have announced themselves to this
// process since the last call and that were not forwarded. Others that receive none remove
// an upstream after AnnouncementTimeout.
func (t *Table) Renewals(now time.Time) []cleat.UpstreamRecord {
	list := t.ListAt(now)
	return slices.DeleteFunc(list, func(r cleat.UpstreamRecord) bool {
		row := t.rows[r.Upstream]
		unshared := row.unshared
		row.unshared = false
		return !unshared
	})
}

// overdueAfter is the time without announcements and renewals after which an upstream is
// overdue. It leaves two RenewIntervals to ask others.
const overdueAfter = 2 * RenewInterval

// Overdue returns the latest that is known of the upstreams that are neither withdrawn nor were
// heard of for long, because they ended or because the process that they call can't tell.
func (t *Table) Overdue(now time.Time) []cleat.UpstreamPoint {
	var list []cleat.UpstreamPoint
	for id, r := range t.rows {
		if r.record.Phase != cleat.UpstreamGone && now.Sub(r.updatedAt) >= overdueAfter {
			list = append(list, cleat.UpstreamPoint{Upstream: id, StartedAtMillis: r.record.StartedAtMillis, Sequence: r.record.Sequence})
		}
	}
	return list
}

// LaterThan returns the records of the listed upstreams that are later than what is listed,
// sorted by upstream ID.
func (t *Table) LaterThan(now time.Time, points []cleat.UpstreamPoint) []cleat.UpstreamRecord {
	listed := make(map[cleat.UpstreamID]cleat.UpstreamPoint, len(points))
	for _, p := range points {
		listed[p.Upstream] = p
	}
	return slices.DeleteFunc(t.ListAt(now), func(r cleat.UpstreamRecord) bool {
		p, ok := listed[r.Upstream]
		return !ok || !supersedes(&r, &cleat.UpstreamRecord{StartedAtMillis: p.StartedAtMillis, Sequence: p.Sequence})
	})
}

// assignAddress assigns the record's address to the upstream that started last.
func (t *Table) assignAddress(r *cleat.UpstreamRecord) {
	if r.Phase == cleat.UpstreamGone {
		return
	}
	if other, ok := t.rows[t.addressOwner[r.Address]]; ok && other.record.Upstream != r.Upstream &&
		other.record.Address == r.Address && other.record.Phase != cleat.UpstreamGone && other.record.StartedAtMillis > r.StartedAtMillis {
		return
	}
	t.addressOwner[r.Address] = r.Upstream
}

// supersedes reports whether a replaces b: a later incarnation, or a later record of
// the same incarnation. Nothing follows the withdrawal of an incarnation. Of equal records
// the one that takes the upstream out of use replaces the other; see Identify.
func supersedes(a, b *cleat.UpstreamRecord) bool {
	if a.StartedAtMillis != b.StartedAtMillis {
		return a.StartedAtMillis > b.StartedAtMillis
	}
	if b.Phase == cleat.UpstreamGone && b.StartedAtMillis != 0 {
		return false
	}
	return a.Phase == cleat.UpstreamGone || a.Sequence > b.Sequence ||
		(a.Sequence == b.Sequence && a.Phase == cleat.UpstreamLeaving && b.Phase == cleat.UpstreamReady)
}

// differs reports whether the records differ in a field that must be forwarded.
func differs(a, b *cleat.UpstreamRecord) bool {
	return a.Service != b.Service || a.Address != b.Address || a.Domain != b.Domain || a.Slots != b.Slots ||
		a.Phase != b.Phase || a.StartedAtMillis != b.StartedAtMillis || a.Version != b.Version
}

// MarkLeaving records that an answer of an upstream's incarnation said that it leaves. It
// reports whether the record changed. A later incarnation is not concerned.
func (t *Table) MarkLeaving(id cleat.UpstreamID, startedAtMillis int64) bool {
	r, known := t.rows[id]
	if !known || r.record.StartedAtMillis != startedAtMillis || r.record.Phase == cleat.UpstreamGone {
		return false
	}
	r.saidLeaving = true
	changed := r.record.Phase != cleat.UpstreamLeaving
	r.record.Phase = cleat.UpstreamLeaving
	return changed
}

// Tick removes withdrawn and unresponsive upstreams whose retention has passed.
func (t *Table) Tick(now time.Time) {
	t.tickEnded(now)
	for id, r := range t.rows {
		limit := AnnouncementTimeout
		if r.record.Phase == cleat.UpstreamGone {
			limit = WithdrawnRetention
		}
		if now.Sub(r.updatedAt) < limit {
			continue
		}
		if r.record.Phase != cleat.UpstreamGone {
			t.addEnded(now, r.record.Service, r.record.Version) // It may still serve.
		}
		delete(t.rows, id)
		if t.addressOwner[r.record.Address] == id {
			delete(t.addressOwner, r.record.Address)
		}
	}
}

// List returns all records, sorted by upstream ID.
func (t *Table) List() []cleat.UpstreamRecord {
	list := make([]cleat.UpstreamRecord, 0, len(t.rows))
	for _, r := range t.rows {
		list = append(list, r.record)
	}
	slices.SortFunc(list, func(a, b cleat.UpstreamRecord) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) })
	return list
}

// ByID returns the record of an upstream, or false when it is not known.
func (t *Table) ByID(id cleat.UpstreamID) (cleat.UpstreamRecord, bool) {
	r, ok := t.rows[id]
	if !ok {
		return cleat.UpstreamRecord{}, false
	}
	return r.record, true
}

// AddressOwner returns the upstream to which an address belongs, or an empty id.
func (t *Table) AddressOwner(addr string) cleat.UpstreamID { return t.addressOwner[addr] }

// endedBefore reports whether an upstream is known to have ended before a time.
func (t *Table) endedBefore(id cleat.UpstreamID, r *row, at time.Time) bool {
	if r.record.Phase == cleat.UpstreamGone {
		return r.updatedAt.Before(at)
	}
	owner, ok := t.rows[t.addressOwner[r.record.Address]]
	return ok && owner.record.Upstream != id && owner.updatedAt.Before(at)
}

// Usable returns the upstreams that own their addresses and are not gone, sorted by ID.
func (t *Table) Usable() []cleat.UpstreamRecord {
	return slices.DeleteFunc(t.List(), func(r cleat.UpstreamRecord) bool {
		return r.Phase == cleat.UpstreamGone || t.addressOwner[r.Address] != r.Upstream
	})
}
