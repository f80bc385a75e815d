package place

import (
	"time"

	"marigoldcleat.example/cleat"
)

// Load pattern of this file: the engines start less than is requested, for whatever
// reason: they are too few, slow, cold, or fail a part of the requests. Shares divide the
// stated capacity and limit too little then, and a light workspace would be refused for
// lack of room as often as a heavy one. What the engines started for each workspace
// decides instead: the better a workspace is served than the worst served one, the earlier
// its jobs find the engines full. What can't be served is so taken from the best served.

const (
	// headroomSlope is the fraction of the room at engines that a workspace loses for each
	// unit by which its lead exceeds standingTolerance.
	headroomSlope = 2
	// standingTolerance covers reports that are late.
	standingTolerance = 0.12
	// minHeadroom is the least fraction of the room that a workspace finds.
	minHeadroom = 0.1
	// standingSlack is how many requests of mean cost a workspace may lack: a few that wait
	// or are refused tell nothing about one that requests little.
	standingSlack = 3
	// meanCostSmoothing is the EWMA weight of one request in the mean cost.
	meanCostSmoothing = 0.02
)

// served returns the cost units that all entries recently got started for a workspace, and
// those of its jobs that may still start.
func (r *workspaceUsage) served() float64 {
	return float64(sum(r.started) + r.peers.started + max(0, r.pending+r.peers.pending))
}

// updateStandings computes how well each workspace is served: what it got, as a fraction of
// what it got and was denied or what the best served workspace got, whichever is less. One
// that was denied nothing is served well: nobody else can do anything for it. It also computes
// the leads, which are no larger than what room at engines could make good.
func (u *usageTable) updateStandings(now time.Time) {
	best := 1.0
	for w := range u.rows {
		best = max(best, u.row(now, w).served())
	}
	u.lowestStanding, u.highestStanding = 1, 0
	var lacking []*workspaceUsage
	for _, r := range u.rows {
		r.standing = 1
		served, denied := r.served(), float64(sum(r.denied)+r.peers.denied)
		if served+denied == 0 {
			continue
		}
		entitled := min(served+denied, best)
		if denied > 0 {
			r.standing = min(1, (served+standingSlack*u.meanCost)/entitled)
		}
		u.lowestStanding, u.highestStanding = min(u.lowestStanding, r.standing), max(u.highestStanding, r.standing)
		if noRoom := float64(sum(r.noRoom) + r.peers.noRoom); noRoom > 0 {
			r.withRoom = r.standing + noRoom/entitled
			lacking = append(lacking, r)
		}
	}
	for _, r := range u.rows {
		r.lead = 0
		for _, l := range lacking {
			r.lead = max(r.lead, min(r.standing, l.withRoom)-l.standing)
		}
	}
}

// standing returns the standing of a workspace, and updates all if they are old.
func (u *usageTable) standing(now time.Time, w cleat.WorkspaceID) float64 {
	u.share(now)
	return u.row(now, w).standing
}

// headroom returns the fraction of the room at engines that jobs of a workspace may use,
// from minHeadroom to 1.
func (u *usageTable) headroom(now time.Time, w cleat.WorkspaceID) float64 {
	u.share(now)
	return leadFactor(u.row(now, w).lead)
}

// leadFactor returns 1 for a workspace that isn't ahead of another one, and less the larger
// its lead is.
func leadFactor(lead float64) float64 {
	return min(max(1-headroomSlope*(lead-standingTolerance), minHeadroom), 1)
}

// isWorstServed reports whether a workspace gets clearly less than another one, and hardly
// any gets less than it.
func (u *usageTable) isWorstServed(now time.Time, w cleat.WorkspaceID) bool {
	standing := u.standing(now, w)
	return standing < u.highestStanding-2*standingTolerance && standing <= u.lowestStanding+standingTolerance
}

// Headroom returns the fraction of what is scarce that a workspace may use of a service:
// less than 1 while others are served worse by its engines.
func (p *Planner) Headroom(now time.Time, s cleat.ServiceName, w cleat.WorkspaceID) float64 {
	if p.engines[s] == nil {
		return 1
	}
	return p.usage.headroom(now, w)
}
