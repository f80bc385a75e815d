package cost

import (
	"math"

	"marigoldcleat.example/cleat"
)

// Limits and defaults of an Estimator.
const (
	MaxKeys           = 16384
	DefaultModelCost  = cleat.Cost(500) // Cost units, before any request has finished.
	DefaultPlainCost  = cleat.Cost(50)  // Cost units, likewise for plain requests.
	movingWindow      = 64.0            // Requests; caps the weight of older observations in the moving averages.
	priorWeight       = 4.0             // Requests after which a key weighs as much as its prior, and hints may be used.
	maxMeanCorrection = 1.5             // Bound on the correction from median to mean, in logarithms.
	minCost           = 1.0             // Cost units.
	maxCost           = 1e7             // Cost units.
	hintVarianceRatio = 0.8             // Hints are used if the variance given the hint is below this fraction of the total.
)

// Key identifies a group of requests with a common estimate. An empty Workspace stands
// for all workspaces.
type Key struct {
	Workspace cleat.WorkspaceID
	Class     cleat.ClassName
	Model     cleat.ModelID
}

// movingStat is an exponentially weighted moving mean and variance.
type movingStat struct {
	n, mean, variance float64
}

type keyStats struct {
	cost  movingStat // Of the logarithm of the cost.
	ratio movingStat // Of the logarithm of cost over hint.
}

// Estimator learns costs from finished requests. It is not safe for concurrent use.
type Estimator struct {
	keys keyTable[Key, keyStats]
}

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator {
	return &Estimator{keys: newKeyTable[Key, keyStats](MaxKeys)}
}

// Estimate returns the expected cost of a request in cost units.
func (e *Estimator) Estimate(w *cleat.Work) cleat.Cost {
	own := e.keys.find(Key{w.Workspace, w.Class, w.Model})
	shared := e.keys.peek(Key{Class: w.Class, Model: w.Model})
	prior := priorEstimate(w)
	if shared != nil {
		prior = blend(shared.estimate(w.CostHint), prior, shared.cost.n)
	}
	if own == nil {
		return clampCost(prior)
	}
	return clampCost(blend(own.estimate(w.CostHint), prior, own.cost.n))
}

// Learn records the cost of a finished request.
func (e *Estimator) Learn(w *cleat.Work, c cleat.Cost) {
	if !(c > 0) {
		return
	}
	e.learnKey(Key{w.Workspace, w.Class, w.Model}, w.CostHint, c)
	e.learnKey(Key{Class: w.Class, Model: w.Model}, w.CostHint, c)
}

// Len returns the number of keys held.
func (e *Estimator) Len() int { return len(e.keys.rows) }

func (e *Estimator) learnKey(k Key, hint, c cleat.Cost) {
	s := e.keys.findOrAdd(k)
	s.cost.add(math.Log(float64(max(c, minCost))))
	if hint > 0 {
		s.ratio.add(math.Log(float64(max(c, minCost)) / float64(hint)))
	}
}

func (s *keyStats) estimate(hint cleat.Cost) float64 {
	if hint > 0 && s.ratio.n >= priorWeight && s.ratio.variance < hintVarianceRatio*s.cost.variance {
		return float64(hint) * math.Exp(s.ratio.mean+s.ratio.meanCorrection())
	}
	return math.Exp(s.cost.mean + s.cost.meanCorrection())
}

func (s *movingStat) add(x float64) {
	s.addWeighted(x, 0, 1, movingWindow)
}

// meanCorrection returns the logarithm of the ratio of the mean of a log-normal
// distribution to its median.
func (s *movingStat) meanCorrection() float64 {
	return min(s.variance/2, maxMeanCorrection)
}

func priorEstimate(w *cleat.Work) float64 {
	if w.Estimate > 0 {
		return float64(w.Estimate)
	}
	if w.Kind == cleat.KindPlain {
		return float64(DefaultPlainCost)
	}
	return float64(DefaultModelCost)
}

// blend returns the geometric mean of the prior and the estimate from n requests,
// weighted by n.
func blend(observed, prior, n float64) float64 {
	weight := n / (n + priorWeight)
	return math.Exp(weight*math.Log(observed) + (1-weight)*math.Log(max(prior, minCost)))
}

func clampCost(c float64) cleat.Cost {
	return cleat.Cost(min(max(c, minCost), maxCost))
}
