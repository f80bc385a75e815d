package place

import (
	"math"
	"slices"
	"time"

	"marigoldcleat.example/cleat"
)

// Each entry admits requests for a workspace at a rate of its own: the part of the
// workspace's share that corresponds to the entry's part of the workspace's demand.
// The rates of all entries add up to the share even while reports are late. If each
// entry compared the share with the sum of what all entries admitted, all of them
// would send at once what they may send together.

const (
	// creditLimit is the time whose rate a credit may accumulate. It bounds bursts to a
	// fraction of the accounting window.
	creditLimit = time.Second
	// initialCredit is the time whose rate a credit starts with. It is short because
	// the rate isn't known well until other entries have reported.
	initialCredit = 100 * time.Millisecond
)

// credit is a token bucket of cost units. The job that uses it up is still admitted
// and leaves a debt: otherwise large jobs would never fit beside small ones.
type credit struct {
	units, limit float64
	refilled     time.Time // Zero before the first refill.
}

// refill adds what has accrued since the last refill, at a rate in units per second.
func (c *credit) refill(now time.Time, rate float64) {
	since := initialCredit
	if !c.refilled.IsZero() {
		since = now.Sub(c.refilled)
	}
	c.limit = rate * creditLimit.Seconds()
	c.units = min(c.units+rate*since.Seconds(), c.limit)
	c.refilled = now
}

// charge takes the cost of a job. The debt is bounded, since jobs of a workspace below
// its share are admitted without credit.
func (c *credit) charge(cost float64) {
	c.units = max(c.units-cost, -max(cost, c.limit))
}

const (
	// spareShares is what may be admitted for a workspace beyond its share while engines
	// have spare time, as a multiple of the share.
	spareShares = 0.5
	// minRatePart bounds the part of its rate that a workspace keeps while others are served
	// worse: at times they can't be served for a reason of their own.
	minRatePart = 0.35
	// spareSlope is the fraction of that which a workspace loses for each unit by which its
	// lead lowers leadFactor.
	spareSlope = 4
)

// withinShare reports whether a job of a workspace is within the workspace's share at
// this entry. It returns the credit that the job is charged to; nil if the capacity is
// not known.
func (u *usageTable) withinShare(now time.Time, j *Job) (*credit, bool) {
	if u.capacity == 0 {
		return nil, true
	}
	r := u.row(now, j.Workspace)
	u.open(now, &r.credit, j)
	r.credit.refill(now, max(minRatePart, u.headroom(now, j.Workspace))*u.localRate(now, r))
	return &r.credit, u.isBelowShare(now, r) || r.credit.units > 0
}

// isBelowShare reports whether all entries together requested less for a workspace than its
// share, in the window and in the newest part of it: a workspace whose crowd has just begun
// would otherwise use the share of a whole window at once.
func (u *usageTable) isBelowShare(now time.Time, r *workspaceUsage) bool {
	share := u.share(now)
	return u.totalDemand(now, r) <= share && float64(r.recent()+r.peers.recent) <= share*recentBuckets/windowBuckets
}

// withinSpare does the same beyond the share.
func (u *usageTable) withinSpare(now time.Time, j *Job) (*credit, bool) {
	r := u.row(now, j.Workspace)
	u.open(now, &r.spareCredit, j)
	r.spareCredit.refill(now, u.spareFraction(now, j.Workspace)*u.localRate(now, r))
	return &r.spareCredit, r.spareCredit.units > 0
}

// open gives a credit that is used for the first time, soon after the entry's start, a
// debt of a part of the job's cost: the workspace may have had one before. The part
// differs between entries: if many that start together admitted a job at once, their
// workspace would get what it should get in seconds.
func (u *usageTable) open(now time.Time, c *credit, j *Job) {
	if c.refilled.IsZero() && u.joining.members > 0 && now.Sub(u.joining.startedAt) < u.window {
		c.units = -hashToUnit(hashName(string(u.self)+" "+string(j.Workspace))) * float64(j.costUnits())
	}
}

// spareFraction returns what may be admitted beyond a share, as a fraction of it: the less,
// the further the workspace is ahead of any that is denied something.
func (u *usageTable) spareFraction(now time.Time, w cleat.WorkspaceID) float64 {
	if u.joining.active {
		return 0
	}
	standing := u.standing(now, w)
	return spareShares * max(0, 1-spareSlope*(1-leadFactor(standing-u.lowestStanding)))
}

// IsWithinShare counts the request of a job that may be submitted later, and reports
// whether it is within the workspace's share at this entry.
func (p *Planner) IsWithinShare(now time.Time, j *Job) bool {
	p.updateJoining(now)
	p.countRequest(now, j)
	if p.engines[j.Service] == nil {
		return true
	}
	_, ok := p.usage.withinShare(now, j)
	return ok
}

// IsBelowShare reports whether all entries together requested less than its share for a
// workspace.
func (p *Planner) IsBelowShare(now time.Time, w cleat.WorkspaceID) bool {
	p.updateJoining(now)
	return p.usage.capacity == 0 || p.usage.isBelowShare(now, p.usage.row(now, w))
}

// RecordShed counts a job that is refused without being submitted, for lack of processor
// time at this entry.
func (p *Planner) RecordShed(now time.Time, j *Job) {
	if p.engines[j.Service] != nil {
		p.usage.addDenied(now, j, false)
	}
}

// countRequest adds a job to its workspace's demand, once.
func (p *Planner) countRequest(now time.Time, j *Job) {
	if !j.counted {
		j.counted = true
		p.usage.addRequested(now, j.Workspace, j.costUnits())
	}
}

// localRate returns the rate at which this entry may admit jobs for a workspace, in
// cost units per second.
func (u *usageTable) localRate(now time.Time, r *workspaceUsage) float64 {
	recent := float64(r.recent())
	if recent == 0 {
		return 0
	}
	if u.joining.active {
		return min(u.share(now), u.ownCapacity()) / u.window.Seconds()
	}
	part := recent / (recent + float64(r.peers.recent))
	if now.Sub(r.activeSince) < u.reportDelay {
		part = min(part, 1/float64(1+u.peers)) // Other entries may have new requests of the workspace too.
	}
	return min(u.share(now), u.capacity) / u.window.Seconds() * part
}

// shareInterval is how long the max-min share is reused, unless as much is requested here
// as all engines can serve in that time.
const shareInterval = 50 * time.Millisecond

// share returns the max-min share of a workspace in a window, in cost units.
func (u *usageTable) share(now time.Time) float64 {
	if now.Sub(u.fairShareAt) >= shareInterval || float64(u.newDemand) > u.ownCapacity()*float64(shareInterval)/float64(u.window) {
		u.fairShareAt, u.fairShare, u.newDemand = now, u.maxMinShare(now), 0
		u.updateStandings(now)
	}
	return u.fairShare
}

// oversubscribedShares is the demand, as a multiple of the share, above which the
// callers of a workspace are assumed to compete with each other.
const oversubscribedShares = 1.25

// isOversubscribed reports whether a workspace recently requested much more than its
// share.
func (u *usageTable) isOversubscribed(now time.Time, w cleat.WorkspaceID) bool {
	r := u.row(now, w)
	return u.capacity > 0 && u.totalDemand(now, r) > oversubscribedShares*u.share(now)
}

// maxMinShare returns the share of a workspace in a window, in cost units: what
// workspaces with a lower demand leave unused is divided evenly among the others. It
// is infinite when the capacity covers all demand.
func (u *usageTable) maxMinShare(now time.Time) float64 {
	requested := make([]float64, 0, len(u.rows))
	for w := range u.rows {
		r := u.row(now, w)
		if n := u.totalDemand(now, r); n > 0 {
			requested = append(requested, n)
		}
	}
	slices.Sort(requested)
	remaining := u.ownCapacity()
	for i, n := range requested {
		equalShare := remaining / float64(len(requested)-i)
		if n > equalShare {
			return equalShare
		}
		remaining -= n
	}
	return math.Inf(1)
}
