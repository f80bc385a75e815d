package route

import "marigoldcleat.example/cleat"

// BlockTokens is how many input tokens one prefix digest stands for.
const BlockTokens = 64

// Penalties in cost units; what a cached prefix saves is weighed against them.
const (
	slowPenalty   = 1e6
	fullPenalty   = 1000.0
	loadPenalty   = 50.0
	domainPenalty = 5.0
	jitter        = 10.0
)

// Candidate is what an entry knows of one agent for one stream.
type Candidate struct {
	Limit      int // Over its healthy upstreams of the model.
	Running    int
	Matched    int // Leading digests of the prefix that are cached there.
	SameDomain bool
	Slow       bool // All its upstreams of the model are slow.
	Random     float64
}

// Full reports whether the candidate seems to have no free slot.
func (c Candidate) Full() bool { return c.Running >= c.Limit }

// Score returns the candidate's expected extra cost in cost units; the least goes first.
func (c Candidate) Score() float64 {
	score := jitter*c.Random - Saving(c.Matched)
	if c.Limit > 0 {
		score += loadPenalty * float64(c.Running) / float64(c.Limit)
	}
	if c.Full() {
		score += fullPenalty
	}
	if !c.SameDomain {
		score += domainPenalty
	}
	if c.Slow {
		score += slowPenalty
	}
	return score
}

// Saving returns what matched leading digests save, in cost units.
func Saving(matched int) float64 {
	return float64(matched*BlockTokens) * float64(cleat.CostPerInputToken-cleat.CostPerCachedToken)
}
