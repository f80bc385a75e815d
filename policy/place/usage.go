package place

import (
	"math"
	"slices"
	"strings"
	"time"

	"marigoldcleat.example/cleat"
)

// window counts tokens over a sliding prefillWindow.
type window struct {
	counts [windowBuckets]int
	newest int64     // Number of the newest bucket.
	epoch  time.Time // When the first bucket began.
}

func (w *window) advance(now time.Time) {
	if w.epoch.IsZero() {
		w.epoch = now
	}
	// The monotonic time difference is not affected by changes of the wall clock.
	bucket := int64(now.Sub(w.epoch) / (prefillWindow / windowBuckets))
	for n := max(w.newest+1, bucket-windowBuckets+1); n <= bucket; n++ {
		w.counts[n%windowBuckets] = 0
	}
	w.newest = max(w.newest, bucket)
}

func (w *window) add(now time.Time, n int) {
	w.advance(now)
	w.counts[w.newest%windowBuckets] += n
}

func (w *window) sum(now time.Time) int {
	w.advance(now)
	return sum(w.counts)
}

// windowBuckets is the number of buckets of a sliding window.
const windowBuckets = 8

// workspaceUsage counts the cost units requested by, admitted for and started for one
// workspace over a sliding window.
type workspaceUsage struct {
	requested, admitted, started [windowBuckets]int
	peers                        peerUsage // At other entries.
	newest                       int64     // Number of the newest bucket.
}

func (u *workspaceUsage) advance(bucket int64) {
	for n := max(u.newest+1, bucket-windowBuckets+1); n <= bucket; n++ {
		u.requested[n%windowBuckets], u.admitted[n%windowBuckets], u.started[n%windowBuckets] = 0, 0, 0
	}
	u.newest = max(u.newest, bucket)
}

func sum(buckets [windowBuckets]int) int {
	n := 0
	for _, b := range buckets {
		n += b
	}
	return n
}

// usageTable accounts for the workspaces' use of capacity.
type usageTable struct {
	window      time.Duration
	epoch       time.Time // When the first bucket began.
	rows        map[cleat.WorkspaceID]*workspaceUsage
	capacity    float64 // Cost units that all engines can serve in a window; zero when not known.
	fairShare   float64 // Max-min share as of fairShareAt.
	fairShareAt time.Time
}

func newUsageTable(window time.Duration) usageTable {
	return usageTable{window: window, rows: make(map[cleat.WorkspaceID]*workspaceUsage)}
}

func (u *usageTable) row(now time.Time, w cleat.WorkspaceID) *workspaceUsage {
	r, ok := u.rows[w]
	if !ok {
		r = &workspaceUsage{}
		u.rows[w] = r
	}
	if u.epoch.IsZero() {
		u.epoch = now
	}
	r.advance(int64(now.Sub(u.epoch) / (u.window / windowBuckets)))
	return r
}

func (u *usageTable) addRequested(now time.Time, w cleat.WorkspaceID, units int) {
	r := u.row(now, w)
	r.requested[r.newest%windowBuckets] += units
}

func (u *usageTable) addAdmitted(now time.Time, w cleat.WorkspaceID, units int) {
	r := u.row(now, w)
	r.admitted[r.newest%windowBuckets] += units
}

func (u *usageTable) addStarted(now time.Time, w cleat.WorkspaceID, units int) {
	r := u.row(now, w)
	r.started[r.newest%windowBuckets] += units
}

// admitted returns the cost units that all entries recently admitted for a workspace.
func (u *usageTable) admitted(now time.Time, w cleat.WorkspaceID) int {
	r := u.row(now, w)
	return sum(r.admitted) + r.peers.admitted
}

// report returns the usage at this entry, without that at other entries.
func (u *usageTable) report(now time.Time) []cleat.WorkspaceUsage {
	var list []cleat.WorkspaceUsage
	for w := range u.rows {
		r := u.row(now, w)
		requested, admitted := sum(r.requested), sum(r.admitted)
		if requested > 0 || admitted > 0 {
			list = append(list, cleat.WorkspaceUsage{Workspace: w, RequestedTokens: uint32(requested), AdmittedTokens: uint32(admitted)})
		}
	}
	return list
}

// fairShareInterval is how long the max-min share is reused.
const fairShareInterval = 50 * time.Millisecond

// exceedsShare reports whether what was admitted for a workspace has reached a
// multiple of its max-min share of the capacity. The job that crosses the share is
// still sent: otherwise large requests would never fit beside small ones.
func (u *usageTable) exceedsShare(now time.Time, w cleat.WorkspaceID, multiple float64) bool {
	if u.capacity == 0 {
		return false
	}
	if now.Sub(u.fairShareAt) >= fairShareInterval {
		u.fairShareAt, u.fairShare = now, u.maxMinShare(now)
	}
	return float64(u.admitted(now, w)) >= multiple*u.fairShare
}

// oversubscribedShares is the demand, as a multiple of the share, above which the
// callers of a workspace are assumed to compete with each other.
const oversubscribedShares = 1.25

// isOversubscribed reports whether a workspace recently requested much more than its
// share. It uses the share that exceedsShare last computed.
func (u *usageTable) isOversubscribed(now time.Time, w cleat.WorkspaceID) bool {
	r := u.row(now, w)
	return u.capacity > 0 && float64(sum(r.requested)+r.peers.requested) > oversubscribedShares*u.fairShare
}

// maxMinShare returns the share of a workspace in a window, in cost units: what
// workspaces with a lower demand leave unused is divided evenly among the others. It
// is infinite when the capacity covers all demand.
func (u *usageTable) maxMinShare(now time.Time) float64 {
	requested := make([]float64, 0, len(u.rows))
	for w := range u.rows {
		r := u.row(now, w)
		if n := sum(r.requested) + r.peers.requested; n > 0 {
			requested = append(requested, float64(n))
		}
	}
	slices.Sort(requested)
	remaining := u.capacity
	for i, n := range requested {
		equalShare := remaining / float64(len(requested)-i)
		if n > equalShare {
			return equalShare
		}
		remaining -= n
	}
	return math.Inf(1)
}

// ShareUsage is what one entry knows about a workspace's use of the capacity, in cost
// units over the accounting window.
type ShareUsage struct {
	Workspace                             cleat.WorkspaceID
	Share                                 float64       // Of the whole fleet's capacity; infinite when it covers all demand.
	Requested, Admitted, Started          int           // At this entry; started requests have a first event.
	RequestedElsewhere, AdmittedElsewhere int           // At other entries, by their last reports.
	ReportAge                             time.Duration // Age of the oldest report that counts.
}

// usage returns the use of a workspace, without ReportAge. It uses the share that
// exceedsShare last computed.
func (u *usageTable) usage(now time.Time, w cleat.WorkspaceID) ShareUsage {
	r := u.row(now, w)
	return ShareUsage{
		Workspace: w, Share: u.fairShare, Requested: sum(r.requested), Admitted: sum(r.admitted), Started: sum(r.started),
		RequestedElsewhere: r.peers.requested, AdmittedElsewhere: r.peers.admitted,
	}
}

// ShareUsage returns what the planner knows about the use of one workspace.
func (p *Planner) ShareUsage(now time.Time, w cleat.WorkspaceID) ShareUsage {
	s := p.usage.usage(now, w)
	s.ReportAge = p.oldestReport(now)
	return s
}

// OversubscribedUsage returns the use of the workspaces that recently requested more
// than their share, some of it at this entry, sorted by name.
func (p *Planner) OversubscribedUsage(now time.Time) []ShareUsage {
	if p.usage.capacity == 0 {
		return nil
	}
	var list []ShareUsage
	for w := range p.usage.rows {
		s := p.ShareUsage(now, w)
		if s.Requested > 0 && float64(s.Requested+s.RequestedElsewhere) > s.Share {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b ShareUsage) int { return strings.Compare(string(a.Workspace), string(b.Workspace)) })
	return list
}

// oldestReport returns the age of the oldest report of another entry.
func (p *Planner) oldestReport(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, q := range p.peers {
		oldest = max(oldest, now.Sub(q.receivedAt))
	}
	return oldest
}
