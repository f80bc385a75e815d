package order

import "time"

// bucket is a token bucket that limits loads to the weight store's rate.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

func (b *bucket) refill(now time.Time, perMinute float64, burst int) {
	if b.refilledAt.IsZero() {
		b.tokens = 1
		b.refilledAt = now
	}
	b.tokens = min(b.tokens+now.Sub(b.refilledAt).Minutes()*perMinute, float64(burst))
	b.refilledAt = now
}

func (b *bucket) takeToken() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
