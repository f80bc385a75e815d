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

// Params are what the bound on the gap depends on; docs/DESIGN.md derives it.
type Params struct {
	Held        int           // Slots that one workspace may hold at once.
	Largest     cleat.Cost    // Largest estimate of a request.
	Short       cleat.Cost    // Largest amount by which an estimate falls short.
	Pace        cleat.Cost    // Service of one workspace a second, at most.
	Interval    time.Duration // Between reports.
	Delay       time.Duration // From a report to the sums at another agent.
	Agents      int
	Quantum     float64    // Change that an agent may keep to itself, for one share.
	SumsQuantum float64    // Change that a relay may keep to itself, for one share.
	ClassCredit cleat.Cost // For one share.
	Share       float64    // The smaller share of the pair.
}

// Lead returns how far, in cost units for one share, one workspace may run ahead
// of another that waits at the same agents.
func Lead(p Params) float64 {
	running := float64(p.Held) * float64(p.Largest+p.Short)
	unseen := float64(p.Pace) * (p.Interval + p.Delay).Seconds()
	withheld := float64(p.Agents)*p.Quantum + p.SumsQuantum
	return float64(p.ClassCredit) + (float64(p.Largest)+running+unseen)/p.Share + withheld
}

// Bound returns the largest gap, in cost units for one share, over any interval
// in which both of two workspaces wait at the same agents.
func Bound(p Params) float64 {
	return 2 * Lead(p)
}
