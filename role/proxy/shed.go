package proxy

import (
	"context"
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

// lagLoop measures by how much a short sleep overruns, and keeps a decaying
// high-water mark of it.
func (r *Role) lagLoop(ctx context.Context) error {
	for {
		start := r.clock.Now()
		if !sleep(ctx, lagInterval) {
			return nil
		}
		lag := r.clock.Now().Sub(start) - lagInterval
		r.lag.Store(int64(max(lag, time.Duration(lagDecay*float64(r.lag.Load())))))
	}
}

// shouldShed decides at random whether a new request is refused for lack of processor
// time.
func (r *Role) shouldShed() bool {
	lag := time.Duration(r.lag.Load())
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
