package proxy

import (
	"context"
	"time"
)

// An entry short of processor time serves everybody late. It refuses a part of
// the new requests then, before it spends time on them: callers come back to
// another entry.
const (
	lagInterval = 20 * time.Millisecond  // Between measurements.
	lagKept     = 0.85                   // Of the highest lag seen, at each further measurement.
	lagBorne    = 100 * time.Millisecond // Up to which nothing is refused: a fifth of a usual objective.
	lagWorst    = 300 * time.Millisecond // From which all new requests are refused.
)

// lagLoop measures by how much a short sleep takes longer than asked.
func (r *Role) lagLoop(ctx context.Context) error {
	for {
		began := r.clock.Now()
		if !sleep(ctx, lagInterval) {
			return nil
		}
		seen := r.clock.Now().Sub(began) - lagInterval
		r.lag.Store(int64(max(seen, time.Duration(lagKept*float64(r.lag.Load())))))
	}
}

// shed draws whether a new request is refused for lack of processor time.
func (r *Role) shed() bool {
	lag := time.Duration(r.lag.Load())
	if lag <= lagBorne {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rnd.Float64() < shedPart(lag)
}

// shedPart returns the part of new requests to refuse at a lag.
func shedPart(lag time.Duration) float64 {
	return min(max(float64(lag-lagBorne)/float64(lagWorst-lagBorne), 0), 1)
}
