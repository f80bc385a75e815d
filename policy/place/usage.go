package place

import (
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
	denied                       [windowBuckets]int // Refused for lack of room or for the share, shed, or failed by an engine.
	noRoom                       [windowBuckets]int // Those that were refused for lack of room, or failed.
	pending                      int                // Sent and without a first event.
	peers                        peerUsage          // At other entries.
	newest                       int64              // Number of the newest bucket.
	activeSince                  time.Time          // When requests came after none in the newest buckets.
	credit                       credit             // Within the workspace's share.
	spareCredit                  credit             // Beyond the share, at engines with spare time.
	refused                      RefusalCounts
	standing                     float64 // See updateStandings.
	withRoom                     float64 // Standing that it would have if it hadn't lacked room.
	lead                         float64 // Largest lead over a workspace that lacks room.
}

func (u *workspaceUsage) advance(bucket int64) {
	for n := max(u.newest+1, bucket-windowBuckets+1); n <= bucket; n++ {
		u.requested[n%windowBuckets], u.admitted[n%windowBuckets], u.started[n%windowBuckets], u.denied[n%windowBuckets] = 0, 0, 0, 0
		u.noRoom[n%windowBuckets] = 0
	}
	u.newest = max(u.newest, bucket)
}

// sum adds up the buckets. It is not negative: what was taken back may have been
// counted in a bucket that is gone.
func sum(buckets [windowBuckets]int) int {
	n := 0
	for _, b := range buckets {
		n += b
	}
	return max(n, 0)
}

// recentBuckets is the number of buckets from which the demand at each entry is taken:
// callers may move to another entry within seconds.
const recentBuckets = 3

// recent returns the cost units requested at this entry in the newest buckets.
func (u *workspaceUsage) recent() int { return u.sumRecent(&u.requested) }

// sumRecent adds up the newest buckets.
func (u *workspaceUsage) sumRecent(buckets *[windowBuckets]int) int {
	n := 0
	for i := range int64(recentBuckets) {
		n += buckets[(u.newest+windowBuckets-i)%windowBuckets]
	}
	return n
}

// usageTable accounts for the workspaces' use of capacity.
type usageTable struct {
	self                            cleat.InstanceID
	window                          time.Duration
	epoch                           time.Time // When the first bucket began.
	rows                            map[cleat.WorkspaceID]*workspaceUsage
	capacity                        float64 // Cost units that all engines can serve in a window by the manifest; zero when not known.
	fairShare                       float64 // Max-min share as of fairShareAt.
	fairShareAt                     time.Time
	newDemand                       int // Cost units requested here since fairShareAt.
	joining                         joining
	peers                           int           // Other entries from which reports come.
	heardDemand                     int           // Those whose reports tell of new demand, since epoch.
	lowestStanding, highestStanding float64       // Of the workspaces that requested anything.
	meanCost                        float64       // Moving average of the cost of the requests here.
	reportDelay                     time.Duration // Time within which all of them have reported a new demand.
}

func newUsageTable(self cleat.InstanceID, window time.Duration) usageTable {
	return usageTable{self: self, window: window, rows: make(map[cleat.WorkspaceID]*workspaceUsage)}
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
	if r.recent() == 0 {
		r.activeSince = now
	}
	r.requested[r.newest%windowBuckets] += units
	u.newDemand += units
	if u.meanCost == 0 {
		u.meanCost = float64(units)
	}
	u.meanCost += meanCostSmoothing * (float64(units) - u.meanCost)
}

// addAdmitted adds units, or takes back those of a job that was not started.
func (u *usageTable) addAdmitted(now time.Time, w cleat.WorkspaceID, units int) {
	r := u.row(now, w)
	r.admitted[r.newest%windowBuckets] += units
	if u.joining.endedAt.IsZero() {
		u.joining.admitted += units
	}
}

// countRefused counts a refused job by its reason.
func (u *usageTable) countRefused(now time.Time, j *Job, r Reason) {
	switch r {
	case ReasonOverShare:
		u.addDenied(now, j, false)
	case ReasonOverload, ReasonLateRetry:
		u.addDenied(now, j, true)
	}
	c := &u.row(now, j.Workspace).refused
	switch r {
	case ReasonOverShare:
		c.OverShare++
	case ReasonOverload:
		c.Overload++
	case ReasonLateRetry:
		c.LateRetry++
	default:
		c.Other++
	}
}

// setPending counts a job as pending, or no longer.
func (u *usageTable) setPending(now time.Time, j *Job, pending bool) {
	r := u.row(now, j.Workspace)
	switch {
	case pending && !j.pending:
		r.pending += j.costUnits()
	case !pending && j.pending:
		r.pending -= j.costUnits()
	}
	j.pending = pending
}

// addDenied counts a job that is not served, for lack of room at engines or for another
// reason.
func (u *usageTable) addDenied(now time.Time, j *Job, noRoom bool) {
	r := u.row(now, j.Workspace)
	r.denied[r.newest%windowBuckets] += j.costUnits()
	if noRoom {
		r.noRoom[r.newest%windowBuckets] += j.costUnits()
	}
}

func (u *usageTable) addStarted(now time.Time, w cleat.WorkspaceID, units int) {
	r := u.row(now, w)
	r.started[r.newest%windowBuckets] += units
}

// admittedPart returns this entry's part of what all entries recently admitted.
func (u *usageTable) admittedPart(now time.Time) float64 {
	own, all := 0, 0
	for w := range u.rows {
		r := u.row(now, w)
		n := sum(r.admitted)
		own, all = own+n, all+n+r.peers.admitted
	}
	return float64(own) / float64(max(all, 1))
}

// demand returns the cost units requested for a workspace at this entry in a window.
// Until the first window has passed, it is extrapolated: otherwise the capacity would
// seem to cover what is requested when all callers come at once after a start.
func (u *usageTable) demand(now time.Time, r *workspaceUsage) int {
	counted := min(max(now.Sub(u.epoch), u.window/windowBuckets), u.window)
	return int(float64(sum(r.requested)) * float64(u.window) / float64(counted))
}

// totalDemand returns the cost units requested for a workspace at all entries in a
// window; while this entry is joining, those requested here. Of the others that have not
// reported a new demand yet, a third are assumed to have as much as this one: too little
// for a crowd at all entries, too much for one at this entry.
func (u *usageTable) totalDemand(now time.Time, r *workspaceUsage) float64 {
	own := float64(u.demand(now, r))
	if u.joining.active {
		return own
	}
	total := own + float64(r.peers.requested)
	if now.Sub(u.epoch) < u.reportDelay {
		return max(total, own*(1+float64(max(0, u.peers-u.heardDemand))/3))
	}
	return total
}

// countDemandReport counts another entry's report, given the time of its last one.
func (u *usageTable) countDemandReport(now, last time.Time) {
	if u.epoch.IsZero() {
		return
	}
	if from := u.epoch.Add(minHeardDemand); !now.Before(from) && last.Before(from) {
		u.heardDemand++
	}
}

// minHeardDemand is how long another entry must have had a new demand for its report to
// tell how large it is.
const minHeardDemand = 50 * time.Millisecond

// report returns the usage at this entry, without that at other entries.
func (u *usageTable) report(now time.Time) []cleat.WorkspaceUsage {
	var list []cleat.WorkspaceUsage
	for w := range u.rows {
		r := u.row(now, w)
		requested, admitted := u.demand(now, r), sum(r.admitted)
		if requested > 0 || admitted > 0 || r.pending > 0 || sum(r.started) > 0 {
			list = append(list, cleat.WorkspaceUsage{
				Workspace: w, RequestedTokens: uint32(requested), AdmittedTokens: uint32(admitted), RecentTokens: uint32(r.recent()),
				StartedTokens: uint32(sum(r.started)), PendingTokens: uint32(max(0, r.pending)), DeniedTokens: uint32(sum(r.denied)), NoRoomTokens: uint32(sum(r.noRoom)),
			})
		}
	}
	return list
}
