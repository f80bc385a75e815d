package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// lastingBand and recentBand are the deviations, as logarithms, up to which a lasting
	// and a momentary speed count as usual. They count in full from one and a half times as much.
	lastingBand, recentBand = 0.15, 0.4
	// statedBand is the same for a slowness that upstreams state.
	statedBand = 0.05
	// accuracy is twice the deviation of samples of weight 1 from the speed, as a logarithm.
	accuracy = 0.5
	// minFactor and maxFactor bound a speed relative to the service's median.
	minFactor, maxFactor = 0.1, 3.0
)

// Group is the upstreams of one service.
type Group struct {
	members []*Estimate
	sorted  []float64
	median  float64 // Of the lasting speeds.
	uneven  bool
}

// Reset replaces the members.
func (g *Group) Reset() { g.members = g.members[:0] }

// Add adds a member; its speed is as usual until the next Update.
func (g *Group) Add(e *Estimate) {
	e.factor, e.momentary = 1, 1
	g.members = append(g.members, e)
}

// IsUneven reports whether some member's speed differed from the others' at the last Update.
func (g *Group) IsUneven() bool { return g.uneven }

// Update computes the members' speeds relative to their median.
func (g *Group) Update(now time.Time) {
	g.sorted = g.sorted[:0]
	for _, e := range g.members {
		e.lasting.decay(now, memoryTime)
		e.recent.decay(now, recentTime)
		if e.lasting.weight >= lastingPrior {
			g.sorted = append(g.sorted, e.lasting.value())
		}
	}
	slices.Sort(g.sorted)
	g.median = 0
	if n := len(g.sorted); n > 0 {
		g.median = (g.sorted[(n-1)/2] + g.sorted[n/2]) / 2
	}
	g.uneven = false
	for _, e := range g.members {
		e.factor = 1
		if w := e.lasting.weight; w > 0 && len(g.sorted) > 1 {
			d := (e.lasting.sum + g.median*lastingPrior) / (w + lastingPrior) / g.median
			e.factor = beyond(math.Log(d), max(lastingBand, accuracy/math.Sqrt(w)))
		}
		e.factor = min(max(e.factor, minFactor), maxFactor)
		e.momentary = min(max(e.factor*e.momentaryFactor(now), minFactor), maxFactor) / e.factor
		g.uneven = g.uneven || e.factor != 1 || e.momentary != 1
	}
}

// momentaryFactor returns the factor of the momentary speed.
func (e *Estimate) momentaryFactor(now time.Time) float64 {
	deviation := (e.recent.sum + recentPrior) / (e.recent.weight + recentPrior)
	seen := beyond(math.Log(deviation), recentBand)
	if e.newestAt.IsZero() {
		return seen
	}
	stated := beyond(math.Log(e.usualSlowness()/e.currentSlowness(now)), statedBand)
	if math.Abs(math.Log(stated)) > math.Abs(math.Log(seen)) {
		return stated
	}
	return seen
}

// beyond returns the factor of a logarithmic deviation that counts as none up to a band, and
// in full from one and a half bands.
func beyond(d, band float64) float64 {
	part := min(max((math.Abs(d)/band-1)*2, 0), 1)
	if part == 0 {
		return 1
	}
	return math.Exp(d * part)
}
