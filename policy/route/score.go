package route

import "marigoldcleat.example/cleat"

// BlockTokens is the number of input tokens in one prefix block, which one digest covers.
const BlockTokens = 64

// Penalties in cost units, on the same scale as the saving of a cached prefix.
const (
	slowPenalty   = 1e6
	fullPenalty   = 1000.0
	loadPenalty   = 50.0
	domainPenalty = 5.0
	jitter        = 10.0
)

// Candidate is an entry's view of one agent for one stream.
type Candidate struct {
	Limit         int // Sum of the slot limits of its upstreams that serve the stream.
	Running       int // Attempts that run at these upstreams.
	MatchedBlocks int // Leading prefix blocks that are cached there.
	SameDomain    bool
	Slow          bool    // All its upstreams that serve the stream are slow.
	Random        float64 // In [0, 1); spreads streams over agents of similar score.
}

// Full reports whether the candidate seems to have no free slot.
func (c Candidate) Full() bool { return c.Running >= c.Limit }

// Score returns the candidate's expected extra cost in cost units; the lowest is preferred.
func (c Candidate) Score() float64 {
	score := jitter*c.Random - PrefixSaving(c.MatchedBlocks)
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

// PrefixSaving returns the cost, in cost units, that a number of cached prefix blocks saves.
func PrefixSaving(blocks int) float64 {
	return float64(blocks*BlockTokens) * float64(cleat.CostPerInputToken-cleat.CostPerCachedToken)
}
