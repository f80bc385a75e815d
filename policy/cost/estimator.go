package cost

import (
	"math"

	"marigoldcleat.example/cleat"
)

// Bounds of an Estimator.
const (
	MaxKeys       = 16384
	DefaultModel  = cleat.Cost(500) // Cost units, before anything was learnt.
	DefaultPlain  = cleat.Cost(50)
	window        = 64.0 // Requests over which the past fades.
	trustAfter    = 4.0  // Requests before a key is believed alone.
	maxLogSpread  = 1.5  // Bound on the spread that raises an estimate.
	minCost       = 1.0
	maxCost       = 1e7
	hintAdvantage = 0.8 // A hint is used when it leaves less than this of the variance.
)

// Key is what estimates are learnt for.
type Key struct {
	Workspace cleat.WorkspaceID
	Class     cleat.ClassName
	Model     cleat.ModelID
}

// stat is a fading mean and variance of a logarithm.
type stat struct {
	n, mean, variance float64
}

type learnt struct {
	cost  stat // Of log cost.
	ratio stat // Of log cost over hint.
	used  uint64
}

// Estimator learns costs; it is not safe for concurrent use.
type Estimator struct {
	keys  map[Key]*learnt
	clock uint64 // Counts uses, for eviction.
}

// NewEstimator returns an estimator that has learnt nothing.
func NewEstimator() *Estimator {
	return &Estimator{keys: map[Key]*learnt{}}
}

// Estimate returns the expected cost of a request in cost units.
func (e *Estimator) Estimate(w *cleat.Work) cleat.Cost {
	own := e.keys[Key{w.Workspace, w.Class, w.Model}]
	shared := e.keys[Key{Class: w.Class, Model: w.Model}]
	prior := prior(w)
	if shared != nil {
		prior = blend(shared.estimate(w.Hint), prior, shared.cost.n)
	}
	if own == nil {
		return bounded(prior)
	}
	e.touch(own)
	return bounded(blend(own.estimate(w.Hint), prior, own.cost.n))
}

// Learn takes in what a finished request cost.
func (e *Estimator) Learn(w *cleat.Work, c cleat.Cost) {
	if !(c > 0) {
		return
	}
	e.learn(Key{w.Workspace, w.Class, w.Model}, w.Hint, c)
	e.learn(Key{Class: w.Class, Model: w.Model}, w.Hint, c)
}

// Len returns the number of keys held.
func (e *Estimator) Len() int { return len(e.keys) }

func (e *Estimator) learn(k Key, hint, c cleat.Cost) {
	l, ok := e.keys[k]
	if !ok {
		if len(e.keys) >= MaxKeys {
			e.evict()
		}
		l = &learnt{}
		e.keys[k] = l
	}
	e.touch(l)
	l.cost.add(math.Log(float64(max(c, minCost))))
	if hint > 0 {
		l.ratio.add(math.Log(float64(max(c, minCost)) / float64(hint)))
	}
}

func (e *Estimator) touch(l *learnt) {
	e.clock++
	l.used = e.clock
}

// evict drops the older half by last use.
func (e *Estimator) evict() {
	bound := e.clock - min(e.clock, MaxKeys/2)
	for k, l := range e.keys {
		if l.used < bound {
			delete(e.keys, k)
		}
	}
	for len(e.keys) >= MaxKeys {
		e.evictOldest()
	}
}

func (e *Estimator) evictOldest() {
	var oldest Key
	least := uint64(math.MaxUint64)
	for k, l := range e.keys {
		if l.used < least {
			oldest, least = k, l.used
		}
	}
	delete(e.keys, oldest)
}

func (l *learnt) estimate(hint cleat.Cost) float64 {
	if hint > 0 && l.ratio.n >= trustAfter && l.ratio.variance < hintAdvantage*l.cost.variance {
		return float64(hint) * math.Exp(l.ratio.mean+l.ratio.spread())
	}
	return math.Exp(l.cost.mean + l.cost.spread())
}

func (s *stat) add(x float64) {
	s.n = min(s.n+1, window)
	weight := 1 / s.n
	d := x - s.mean
	s.mean += weight * d
	s.variance = (1 - weight) * (s.variance + weight*d*d)
}

// spread is what the mean of a log-normal lies above its median, in logarithms.
func (s *stat) spread() float64 {
	return min(s.variance/2, maxLogSpread)
}

func prior(w *cleat.Work) float64 {
	if w.Estimate > 0 {
		return float64(w.Estimate)
	}
	if w.Kind == cleat.KindPlain {
		return float64(DefaultPlain)
	}
	return float64(DefaultModel)
}

// blend moves from the prior to what n requests taught, in logarithms.
func blend(taught, prior, n float64) float64 {
	weight := n / (n + trustAfter)
	return math.Exp(weight*math.Log(taught) + (1-weight)*math.Log(max(prior, minCost)))
}

func bounded(c float64) cleat.Cost {
	return cleat.Cost(min(max(c, minCost), maxCost))
}
