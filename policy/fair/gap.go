package fair

import (
	"time"

	"marigoldcleat.example/cleat"
)

// maxCreditedRank is the highest rank that receives class credit.
const maxCreditedRank = 3

// ClassCredit returns how far, in cost units per share, a class of the given rank may
// run ahead of other workspaces: the full credit at rank zero, halved with each
// further rank, and none above maxCreditedRank.
func ClassCredit(credit cleat.Cost, rank int) float64 {
	if rank > maxCreditedRank {
		return 0
	}
	return float64(credit) / float64(int(1)<<max(0, rank))
}

// GapParams are the parameters of MaxLead and MaxGap; docs/DESIGN.md derives the bound.
type GapParams struct {
	SlotsLimit       int           // Slots that one workspace may occupy at the same time.
	MaxEstimate      cleat.Cost    // Largest estimate of a request.
	MaxUnderestimate cleat.Cost    // Largest amount by which an estimate is too low.
	ServiceRate      cleat.Cost    // Maximum service of one workspace per second.
	ReportInterval   time.Duration // Interval between reports.
	ReportDelay      time.Duration // Time from a report until another agent has the sums.
	Agents           int
	ReportQuantum    float64    // Change per share that an agent may leave unreported.
	SumsQuantum      float64    // Change per share that a relay may leave out of its sums.
	ClassCredit      cleat.Cost // Per share.
	Share            float64    // The smaller share of the two workspaces.
}

// MaxLead returns how far, in cost units per share, a workspace may run ahead of
// another one that waits at the same agents.
func MaxLead(p GapParams) float64 {
	running := float64(p.SlotsLimit) * float64(p.MaxEstimate+p.MaxUnderestimate)
	unreported := float64(p.ServiceRate) * (p.ReportInterval + p.ReportDelay).Seconds()
	withheld := float64(p.Agents)*p.ReportQuantum + p.SumsQuantum
	return float64(p.ClassCredit) + (float64(p.MaxEstimate)+running+unreported)/p.Share + withheld
}

// MaxGap returns the largest gap, in cost units per share, between two workspaces over
// any interval in which both wait at the same agents.
func MaxGap(p GapParams) float64 {
	return 2 * MaxLead(p)
}
