package cost

import (
	"math"

	"marigoldcleat.example/cleat"
)

// Limits and defaults of an OutputEstimator.
const (
	MaxOutputKeys       = 4096
	DefaultOutputTokens = 128       // Of a request that states nothing, before any stream has ended.
	outputWindow        = 24.0      // Streams; after 64, what was learnt before weighs 7%.
	routeWindow         = 64.0      // Likewise for a route, which changes more slowly than one workspace.
	routeBias           = 8.0       // Streams of a workspace after which each further one weighs less for its route.
	outputPrior         = 4.0       // Streams after which a key weighs as much as its fallback.
	hintDeviation       = 0.6       // Of the logarithm of output over hint, before any stream has ended.
	hintSpread          = 0.25      // Variance of the hints' logarithms that outputPrior streams are assumed to have had.
	minDeviation        = 0.1       // Of an estimate; the tokens are counted in events of several.
	maxOutput           = 1_000_000 // Tokens; bounds hints and samples.
)

// OutputKey identifies streams with a common distribution of their output. An empty
// Workspace stands for all workspaces.
type OutputKey struct {
	Workspace cleat.WorkspaceID
	Route     string
}

// Hint is what a request states about its output, in tokens; zero when not stated.
type Hint struct {
	Expected int // Estimate of the caller.
	Max      int
}

// outputStats describes the streams of one key.
type outputStats struct {
	seen   float64    // Weight of all streams; unlike movingStat.n not capped, so that a fallback ceases to count.
	tokens movingStat // Of the logarithm of the output.
	hinted pairStat   // Of streams with hints.
}

// pairStat holds weighted moments of the logarithms of hint and output, of which the
// regression predicts an output from a hint: a hint counts as far as it has proved
// right, and its systematic error is corrected.
type pairStat struct {
	seen, n                 float64 // Weight of all streams, and of those in the window.
	hint, tokens            float64 // Means.
	hintVar, tokensVar, cov float64
}

// OutputEstimator learns the output of streams from those that have ended. It is not
// safe for concurrent use.
type OutputEstimator struct {
	keys      keyTable[OutputKey, outputStats]
	hintsOnly bool
}

// NewOutputEstimator returns an estimator without observations.
func NewOutputEstimator() *OutputEstimator {
	return &OutputEstimator{keys: newKeyTable[OutputKey, outputStats](MaxOutputKeys)}
}

// NewExactEstimator returns an estimator that takes hints for the true lengths and learns
// nothing, with which simulations measure what perfect estimates would gain.
func NewExactEstimator() *OutputEstimator {
	e := NewOutputEstimator()
	e.hintsOnly = true
	return e
}

// Len returns the number of keys held.
func (e *OutputEstimator) Len() int { return len(e.keys.rows) }

// Estimate returns the distribution of a stream's output: that of its workspace and
// route, as far as it is known, then that of its route, then the hint, then the maximum.
func (e *OutputEstimator) Estimate(k OutputKey, h Hint) Output {
	if e.hintsOnly {
		return ExactOutput(h.Expected)
	}
	mean, variance := h.prior()
	if s := e.keys.peek(OutputKey{Route: k.Route}); s != nil {
		mean, variance = s.blend(h, mean, variance)
	}
	if s := e.keys.find(k); s != nil && k.Workspace != "" {
		mean, variance = s.blend(h, mean, variance)
	}
	o := Output{mean: min(max(mean, 0), math.Log(maxOutput)), dev: math.Sqrt(max(variance, minDeviation*minDeviation)), limit: maxOutput}
	if h.Max > 0 {
		o.limit = float64(min(h.Max, maxOutput))
	}
	return o
}

// prior returns the mean and the variance of the output's logarithm as far as the
// request states it.
func (h Hint) prior() (mean, variance float64) {
	switch {
	case h.Expected > 0:
		return math.Log(float64(min(h.Expected, maxOutput))), hintDeviation * hintDeviation
	case h.Max > 0:
		return math.Log(float64(min(h.Max, maxOutput))), hintDeviation * hintDeviation
	}
	return math.Log(DefaultOutputTokens), 1
}

// Learn records a stream that ended by itself after the given output.
func (e *OutputEstimator) Learn(k OutputKey, h Hint, tokens int) {
	e.add(k, h, math.Log(float64(min(max(tokens, 1), maxOutput))), 0)
}

// LearnCut records a stream that was cut after the given output, which is a lower bound:
// it counts as the mean of those that are longer.
func (e *OutputEstimator) LearnCut(k OutputKey, h Hint, tokens int) {
	if tokens <= 0 || e.hintsOnly {
		return
	}
	x, variance := e.Estimate(k, h).cutLogarithm(min(tokens, maxOutput))
	e.add(k, h, x, variance)
}

// add records the logarithm of an output, with its variance where it isn't known exactly.
func (e *OutputEstimator) add(k OutputKey, h Hint, x, variance float64) {
	if e.hintsOnly {
		return
	}
	weight := 1.0
	if k.Workspace != "" {
		s := e.keys.findOrAdd(k)
		s.add(h, x, variance, 1, outputWindow)
		weight = min(1, routeBias/s.tokens.n)
	}
	e.keys.findOrAdd(OutputKey{Route: k.Route}).add(h, x, variance, weight, routeWindow)
}

func (s *outputStats) add(h Hint, x, variance, weight, window float64) {
	s.seen += weight
	s.tokens.addWeighted(x, variance, weight, window)
	if h.Expected > 0 {
		s.hinted.add(math.Log(float64(min(h.Expected, maxOutput))), x, variance, weight, window)
	}
}

// blend returns the mixture of what the key's streams predict and a prior, weighted by
// the number of streams.
func (s *outputStats) blend(h Hint, priorMean, priorVariance float64) (mean, variance float64) {
	n := s.seen
	mean, variance = s.tokens.mean, s.tokens.variance
	if h.Expected > 0 && s.hinted.n > 0 {
		n = s.hinted.seen
		mean, variance = s.hinted.predict(math.Log(float64(min(h.Expected, maxOutput))))
	}
	w := n / (n + outputPrior)
	d := mean - priorMean
	return priorMean + w*d, w*variance + (1-w)*priorVariance + w*(1-w)*d*d
}

func (s *pairStat) add(hint, tokens, variance, weight, window float64) {
	s.seen += weight
	s.n = min(s.n+weight, window)
	w := weight / s.n
	dh, dt := hint-s.hint, tokens-s.tokens
	s.hint += w * dh
	s.tokens += w * dt
	s.hintVar = (1 - w) * (s.hintVar + w*dh*dh)
	s.tokensVar = (1-w)*(s.tokensVar+w*dt*dt) + w*variance
	s.cov = (1 - w) * (s.cov + w*dh*dt)
}

// predict returns the mean and the variance of the output's logarithm for a hint. The
// slope is that of a ridge regression towards 1, which is that of hints that are right.
func (s *pairStat) predict(hint float64) (mean, variance float64) {
	ridge := outputPrior * hintSpread
	slope := (s.n*s.cov + ridge) / (s.n*s.hintVar + ridge)
	residual := max(0, s.tokensVar-2*slope*s.cov+slope*slope*s.hintVar)
	return s.tokens + slope*(hint-s.hint), residual * (1 + 1/s.n)
}

// addWeighted adds an observation with a weight, which may be known with a variance only.
func (s *movingStat) addWeighted(x, variance, weight, window float64) {
	s.n = min(s.n+weight, window)
	w := weight / s.n
	d := x - s.mean
	s.mean += w * d
	s.variance = (1-w)*(s.variance+w*d*d) + w*variance
}
