package speed

import (
	"math"
	"time"

	"marigoldcleat.example/cleat"
)

const (
	// memoryTime and memoryWeight bound what the lasting speed is the mean of: by time,
	// so that an upstream that was slow is tried again, and by weight, so that a change
	// is followed within seconds under load.
	memoryTime   = 30 * time.Second
	memoryWeight = 40.0
	// recentTime is the time constant of the momentary speed: what a machine's other
	// tenants take of it changes about as fast.
	recentTime = 600 * time.Millisecond
	// recentPrior and lastingPrior are the weights of "as usual" beside the recent
	// samples, and of the median beside all samples.
	recentPrior, lastingPrior = 0.5, 0.5
	// statedPrior is the weight of the slowness 1 beside those stated.
	statedPrior = 4.0
	// maxDeviation bounds a sample, as a multiple or fraction of the estimate: one whose
	// backlog was reported late is worth no more than that.
	maxDeviation = 3.0
	// minSpeed and maxSpeed bound samples and estimates relative to the reference.
	minSpeed, maxSpeed = 0.02, 50.0
	// maxReportWeight bounds the weight of the samples in one report.
	maxReportWeight = 16.0
	// adoptFactor is how many times more evidence another entry's estimate must have to
	// replace this entry's.
	adoptFactor = 4
	// scale is the number of units for 1 in reports.
	scale = 256
)

// mean is a weighted mean that forgets with time.
type mean struct {
	sum, weight float64
	at          time.Time
}

// decay forgets what is older than a time constant.
func (m *mean) decay(now time.Time, constant time.Duration) {
	if d := now.Sub(m.at); d > 0 && m.weight > 0 {
		f := math.Exp(-float64(d) / float64(constant))
		m.sum, m.weight = m.sum*f, m.weight*f
	}
	m.at = now
}

func (m *mean) add(value, weight float64) {
	m.sum, m.weight = m.sum+value*weight, m.weight+weight
}

// limit forgets what exceeds a weight.
func (m *mean) limit(weight float64) {
	if m.weight > weight {
		m.sum, m.weight = m.sum*weight/m.weight, weight
	}
}

// value returns the mean, which must have some weight.
func (m *mean) value() float64 { return m.sum / m.weight }

// Estimate is what is known of one upstream's speed. Its zero value knows nothing.
type Estimate struct {
	lasting mean // Speeds relative to the reference.
	recent  mean // Speeds of the newest samples relative to the lasting speed.
	stated  mean // Slowness stated.

	newest     float64   // Newest slowness.
	newestAt   time.Time // When that was stated; zero for never.
	newestSent bool      // It was reported, or is another entry's.

	unsent mean // Own samples since the last report.

	factor    float64 // Lasting speed relative to the median; 1 within the accuracy.
	momentary float64 // Factor of the momentary speed; 1 within the accuracy.
}

// addSample adds a speed relative to the reference; weight is the time in seconds in which
// it was seen.
func (e *Estimate) addSample(now time.Time, value, weight float64) {
	if e.lasting.weight > lastingPrior {
		center := e.lasting.value()
		value = min(max(value, center/maxDeviation), center*maxDeviation)
	}
	e.unsent.add(value, weight)
	e.apply(now, value, weight)
}

// currentSlowness returns the slowness that is expected now: the newest one stated, which
// returns to the mean with time.
func (e *Estimate) currentSlowness(now time.Time) float64 {
	if e.newestAt.IsZero() {
		return 1
	}
	usual := e.usualSlowness()
	return usual + (e.newest-usual)*min(1, math.Exp(-float64(now.Sub(e.newestAt))/float64(recentTime)))
}

// usualSlowness returns the mean of the slowness stated.
func (e *Estimate) usualSlowness() float64 {
	return (e.stated.sum + statedPrior) / (e.stated.weight + statedPrior)
}

// RecordSlowness records the slowness that an upstream states; zero means none.
func (e *Estimate) RecordSlowness(now time.Time, slowness float64) {
	if slowness > 0 {
		e.applySlowness(now, slowness)
		e.newestSent = false
	}
}

func (e *Estimate) applySlowness(at time.Time, slowness float64) {
	e.stated.add(slowness, 1)
	e.stated.limit(memoryWeight)
	e.newest, e.newestAt = slowness, at
}

// apply adds samples to the estimate.
func (e *Estimate) apply(now time.Time, value, weight float64) {
	value = min(max(value, minSpeed), maxSpeed)
	e.lasting.decay(now, memoryTime)
	e.recent.decay(now, recentTime)
	if e.lasting.weight > lastingPrior {
		e.recent.add(value/e.lasting.value(), weight)
	}
	e.lasting.add(value, weight)
	e.lasting.limit(memoryWeight)
}

// Pending reports whether there is something to report.
func (e *Estimate) Pending() bool {
	return e.unsent.weight > 0 || (!e.newestSent && !e.newestAt.IsZero())
}

// Report returns what this entry has seen since the last report, and its estimate if
// complete. It returns nil when there is nothing to report.
func (e *Estimate) Report(now time.Time, complete bool) *cleat.UpstreamSpeed {
	complete = complete && e.lasting.weight >= lastingPrior
	if !e.Pending() && !complete {
		return nil
	}
	r := &cleat.UpstreamSpeed{}
	if e.unsent.weight > 0 {
		r.Weight = max(1, uint32(scale*min(e.unsent.weight, maxReportWeight)))
		r.Speed = uint32(math.Round(scale * e.unsent.value()))
		e.unsent = mean{}
	}
	if !e.newestSent && !e.newestAt.IsZero() {
		r.Slowness = uint32(math.Round(scale * e.newest))
		r.SlownessAge = uint32(max(0, now.Sub(e.newestAt).Milliseconds()))
		e.newestSent = true
	}
	if complete {
		r.Estimate = uint32(math.Round(scale * e.lasting.value()))
		r.EstimateWeight = uint32(scale * e.lasting.weight)
	}
	return r
}

// maxSlownessAge is the age in milliseconds from which a reported slowness is ignored.
const maxSlownessAge = 5000

// Apply adds another entry's report.
func (e *Estimate) Apply(now time.Time, r *cleat.UpstreamSpeed) {
	if w := min(float64(r.EstimateWeight)/scale, memoryWeight); w > adoptFactor*e.lasting.weight {
		e.lasting = mean{at: now}
		e.lasting.add(min(max(float64(r.Estimate)/scale, minSpeed), maxSpeed), w)
	} else if r.Weight > 0 {
		e.apply(now, float64(r.Speed)/scale, min(float64(r.Weight)/scale, maxReportWeight))
	}
	if r.Slowness == 0 || r.SlownessAge > maxSlownessAge {
		return
	}
	if at := now.Add(-time.Duration(r.SlownessAge) * time.Millisecond); at.After(e.newestAt) {
		e.applySlowness(at, min(max(float64(r.Slowness)/scale, minSpeed), maxSpeed))
		e.newestSent = true
	}
}

// Factor returns the lasting speed relative to the service's median as of the last
// Group.Update; 1 when it can't be told from it.
func (e *Estimate) Factor() float64 { return e.factor }

// Momentary returns the factor of the momentary speed as of the last Group.Update; 1 for as usual.
func (e *Estimate) Momentary() float64 { return e.momentary }

// Weight returns the weight of the samples behind the lasting speed, in seconds.
func (e *Estimate) Weight() float64 { return e.lasting.weight }
