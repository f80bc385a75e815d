package fair

import (
	"time"

	"marigoldcleat.example/cleat"
)

// maxCreditedRank is the last rank that draws any class credit.
const maxCreditedRank = 3

// ClassCredit returns how far, for one share, a class of the given rank may run
// ahead of other workspaces: all of credit for rank zero, half for each next.
func ClassCredit(credit cleat.Cost, rank int) float64 {
	if rank > maxCreditedRank {
		return 0
	}
	return float64(credit) / float64(int(1)<<max(0, rank))
}

// Params are what the bound on the gap depends on.
type Params struct {
	Slots         int           // In the fleet, for the model.
	Pace          cleat.Cost    // The fleet's service a second, in cost units.
	Largest       cleat.Cost    // Largest request.
	Underestimate cleat.Cost    // Largest amount by which an estimate falls short at any time.
	Interval      time.Duration // Between reports.
	Delay         time.Duration // From a report to the sums at another agent.
	ClassCredit   cleat.Cost
	ReturnSlack   cleat.Cost
	Share         float64 // The smaller share of the pair.
}

// Bound returns the largest gap, in cost units for one share, between the
// service of two workspaces that stay backlogged at all agents.
func Bound(p Params) float64 {
	unseen := float64(p.Pace) * (p.Interval + p.Delay).Seconds()
	running := float64(p.Slots) * float64(p.Underestimate)
	return (2*float64(p.Largest)+unseen+running)/p.Share + float64(p.ClassCredit) + float64(p.ReturnSlack)/p.Share
}
