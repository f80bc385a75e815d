package order

import "time"

// bucket holds the loads that the weight store's rate allows.
type bucket struct {
	tokens float64
	at     time.Time
}

func (b *bucket) refill(now time.Time, perMinute float64, burst int) {
	if b.at.IsZero() {
		b.tokens = 1
		b.at = now
	}
	b.tokens = min(b.tokens+now.Sub(b.at).Minutes()*perMinute, float64(burst))
	b.at = now
}

func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
