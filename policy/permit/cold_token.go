package permit

import (
	"math"
	"time"

	"marigoldcleat.example/cleat"
)

// OwnerRate returns the rate at which the owner of a cold upstream sends, in requests/s.
// Two entries that both take themselves for the owner keep to the bound together.
func (t *Table) OwnerRate(s cleat.ServiceName) float64 {
	const (
		share   = 0.75 // Of what the upstream tolerates.
		reserve = 1.5  // Requests for the burst, and for one that was delayed.
	)
	per := t.cold.services[s].PerSecond
	bound := per*math.Max(t.cold.overshoot, 1) + t.cold.slack
	if t.cold.knowsMembers && t.members == 0 {
		return max(min(per, bound-reserve), per/4)
	}
	return max(min(share*per, bound/2-reserve), per/4)
}

// AllowsCold reports whether a request may be sent to an upstream as far as it is cold: it
// is warm, or this entry owns it and has a token.
func (t *Table) AllowsCold(now time.Time, id cleat.UpstreamID) bool {
	r := t.coldRow(now, id)
	return r == nil || (t.owns(now, id, r) && t.fill(now, r) >= 1)
}

func (t *Table) fill(now time.Time, r *coldRow) float64 {
	if r.filledAt.IsZero() {
		r.tokens = 1
	} else if dt := now.Sub(r.filledAt); dt > 0 {
		r.tokens = min(1, r.tokens+dt.Seconds()*t.OwnerRate(r.service))
	}
	r.filledAt = latest(r.filledAt, now)
	return r.tokens
}

// UseCold takes a token for a request that is to be sent to a cold upstream. It reports
// whether the upstream is cold and there was one.
func (t *Table) UseCold(now time.Time, id cleat.UpstreamID) bool {
	r := t.coldRow(now, id)
	if r == nil || !t.owns(now, id, r) || t.fill(now, r) < 1 {
		return false
	}
	r.tokens--
	t.cold.counts.Sent++
	return true
}

// IsTokenFresh reports whether a token that was taken at a time still covers its request.
func IsTokenFresh(now, takenAt time.Time) bool {
	return !takenAt.IsZero() && now.Sub(takenAt) <= maxTokenAge
}

// ReturnCold gives back the token of a request that was not sent or doesn't count, unless
// it was taken long ago.
func (t *Table) ReturnCold(now, takenAt time.Time, id cleat.UpstreamID) {
	if r, ok := t.cold.rows[id]; ok && !takenAt.IsZero() && now.Sub(takenAt) <= maxRefundAge {
		r.tokens = min(1, r.tokens+1)
	}
}
