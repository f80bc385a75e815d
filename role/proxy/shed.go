package proxy

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"
)

// An entry that is short of processor time delays all requests. It refuses a fraction of
// the new ones before it spends time on them: callers retry at another entry.
const (
	lagInterval = 20 * time.Millisecond  // Between measurements.
	lagDecay    = 0.85                   // Factor of the high-water mark at each measurement.
	lagShedNone = 100 * time.Millisecond // Lag up to which nothing is refused: a fifth of a usual latency objective.
	lagShedAll  = 300 * time.Millisecond // Lag from which all new requests are refused.
)

// lagMeter measures how long a goroutine that is ready waits for the processor.
type lagMeter struct {
	epoch     time.Time
	highWater atomic.Int64 // Decaying high-water mark of the measurements, in nanoseconds.
	startedAt atomic.Int64 // Start of the running measurement, in nanoseconds since epoch; zero when none runs.
}

// start begins a measurement.
func (m *lagMeter) start(now time.Time) { m.startedAt.Store(max(1, int64(now.Sub(m.epoch)))) }

// finish ends the measurement.
func (m *lagMeter) finish(now time.Time) {
	lag := int64(now.Sub(m.epoch)) - m.startedAt.Swap(0)
	m.highWater.Store(max(lag, int64(lagDecay*float64(m.highWater.Load()))))
}

// value returns the current lag. A measurement that is still running counts with the
// time that it has taken so far.
func (m *lagMeter) value(now time.Time) time.Duration {
	lag := m.highWater.Load()
	if started := m.startedAt.Load(); started > 0 {
		lag = max(lag, int64(now.Sub(m.epoch))-started)
	}
	return time.Duration(lag)
}

// lagLoop measures the lag.
func (r *Role) lagLoop(ctx context.Context) error {
	for sleep(ctx, lagInterval) {
		r.lag.start(r.clock.Now())
		// A goroutine that a timer wakes runs next, but one that yields runs after all
		// that are ready, as a request does.
		runtime.Gosched()
		r.lag.finish(r.clock.Now())
	}
	return nil
}

// shouldShed decides at random whether a new request is refused for lack of processor
// time.
func (r *Role) shouldShed() bool {
	lag := r.lag.value(r.clock.Now())
	if lag <= lagShedNone {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rnd.Float64() < shedFraction(lag)
}

// shedFraction returns the fraction of new requests to refuse at a lag.
func shedFraction(lag time.Duration) float64 {
	return min(max(float64(lag-lagShedNone)/float64(lagShedAll-lagShedNone), 0), 1)
}
