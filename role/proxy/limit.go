package proxy

import (
	"marigoldcleat.example/cleat"
)

// recordRateLimit applies what the head of an answer states about the upstream's rate
// limit. A malformed value changes nothing.
func (x *exchange) recordRateLimit(u cleat.UpstreamRecord, info cleat.AnswerInfo) {
	r := x.role
	if info.BadRateLimit != "" {
		x.logDecision("bad_rate_limit", "upstream", u.Upstream, "value", info.BadRateLimit)
		return
	}
	if info.RateLimit == 0 && r.limited.Load() == 0 {
		return // Spares a busy entry the lock.
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planner.RecordRateLimit(r.clock.Now(), x.sentAt, u, info.RateLimit)
	r.logRateLimits()
}

// logRateLimits logs the changes of rate limits. The caller holds r.mu.
func (r *Role) logRateLimits() {
	r.limited.Store(int64(r.planner.RateLimited()))
	for _, c := range r.planner.RateLimitChanges() {
		r.decisions.Log(r.clock.Now(), "rate_limit", "upstream", c.Upstream, "rate", c.Rate, "was", c.Was, "from", c.From)
	}
}
