package cost

import "math"

// Output is the estimated distribution of a stream's output tokens: log-normal, and
// clipped at the maximum that the request states. The zero value is a stream of no
// tokens.
type Output struct {
	mean  float64 // Of the natural logarithm of the tokens.
	dev   float64 // Standard deviation of the logarithm; zero when the length is known.
	limit float64 // Maximum of tokens.
}

// ExactOutput returns the distribution of a stream whose length is known.
func ExactOutput(tokens int) Output {
	return Output{mean: math.Log(float64(max(tokens, 1))), limit: maxOutput}
}

// upperQuantile and upperDeviations are the quantile that a bound of the output
// holds to, and the standard deviations above the mean at which a normal
// distribution has it.
const (
	upperQuantile   = 0.9
	upperDeviations = 1.2816
)

// Median returns the tokens that half of such streams reach.
func (o Output) Median() float64 { return min(math.Exp(o.mean), o.limit) }

// Upper returns the tokens that one in ten of such streams exceeds.
func (o Output) Upper() float64 { return min(math.Exp(o.mean+upperDeviations*o.dev), o.limit) }

// negligibleTail is the probability below which the rest of a stream is extrapolated
// from the tail of the distribution, since the ratio of two such small figures has lost
// its precision.
const negligibleTail = 1e-6

// Remaining returns the mean and the variance of the tokens still to come of a stream
// that has generated some already. The mean is at least one, and grows for streams that
// outlive their estimate.
func (o Output) Remaining(generated int) (mean, variance float64) {
	from := float64(generated)
	if o.limit == 0 || from >= o.limit {
		return 1, 0
	}
	if o.dev == 0 {
		return max(1, math.Exp(o.mean)-from), 0
	}
	zFrom, zLimit := math.Inf(-1), (math.Log(o.limit)-o.mean)/o.dev
	if from > 0 {
		zFrom = (math.Log(from) - o.mean) / o.dev
	}
	tail := normalTail(zFrom)
	if tail < negligibleTail {
		mean = max(1, min(from*o.dev/zFrom, o.limit-from))
		return mean, mean * mean
	}
	first, second := o.moment(1, zFrom, zLimit), o.moment(2, zFrom, zLimit)
	if clipped := normalTail(zLimit); clipped > 0 {
		first += clipped * o.limit
		second += clipped * o.limit * o.limit
	}
	total := first / tail
	return max(1, total-from), max(0, second/tail-total*total)
}

// moment returns the part of the k-th moment between two bounds of the logarithm, which
// are given in standard deviations from its mean.
func (o Output) moment(k, zFrom, zTo float64) float64 {
	shift := k * o.dev
	return math.Exp(k*o.mean+shift*shift/2) * (normalTail(zFrom-shift) - normalTail(zTo-shift))
}

// Rank returns the probability, from 0 to 1, of a stream that is at most as long. Of
// well estimated streams, a tenth falls into each tenth of it.
func (o Output) Rank(tokens int) float64 {
	z := math.Log(float64(max(tokens, 1))) - o.mean
	switch {
	case o.dev > 0:
		return 1 - normalTail(z/o.dev)
	case z < 0:
		return 0
	}
	return 1
}

// cutLogarithm returns the mean and the variance of the logarithm of a stream that was
// cut after some tokens.
func (o Output) cutLogarithm(tokens int) (mean, variance float64) {
	from := math.Log(float64(max(tokens, 1)))
	z := (from - o.mean) / o.dev
	if tail := normalTail(z); tail > negligibleTail {
		hazard := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi) / tail
		return o.mean + o.dev*hazard, max(0, o.dev*o.dev*(1+z*hazard-hazard*hazard))
	}
	return from + o.dev/z, o.dev * o.dev / (z * z)
}

// normalTail returns the probability that a standard normal variable exceeds z.
func normalTail(z float64) float64 { return math.Erfc(z/math.Sqrt2) / 2 }
