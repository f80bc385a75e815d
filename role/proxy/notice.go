package proxy

import (
	"net/http"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/place"
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

// recordNotice applies what the head of an answer states about further requests: that the
// upstream leaves, or how long it wants none from this entry.
func (x *exchange) recordNotice(u cleat.UpstreamRecord, status int, info cleat.AnswerInfo) {
	turnedAway := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	if info.BadNotice != "" {
		x.logDecision("bad_notice", "upstream", u.Upstream, "status", status, "value", info.BadNotice)
	}
	if info.BadLoad != "" {
		x.role.requestMetrics.badLoads.Inc(1)
		x.logDecision("bad_load", "upstream", u.Upstream, "value", info.BadLoad)
	}
	if info.Leaving {
		x.role.markLeaving(u)
	}
	if !turnedAway || info.RetryAfter == 0 {
		return
	}
	r := x.role
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if r.planner.RecordPause(now, u, info.RetryAfter) {
		r.decisions.Log(now, "upstream_paused", "upstream", u.Upstream, "address", u.Address, "retry_after", info.RetryAfter)
		r.wakeIfWaiting()
	}
}

// markLeaving keeps further requests from an upstream that has said that it leaves.
func (r *Role) markLeaving(u cleat.UpstreamRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.roster.MarkLeaving(u.Upstream, u.StartedAtMillis) {
		r.log.Info("upstream leaves, by its answer", "upstream", u.Upstream, "service", u.Service, "address", u.Address, "born", u.StartedAtMillis)
		r.applyRoster()
	}
}

// maySend reports whether a placed job may still be sent to its upstream. If watched is not
// nil, it is closed when the upstream passes the job over.
func (r *Role) maySend(j *place.Job, watched *upstreamConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.planner.MaySend(r.clock.Now(), j) {
		return false
	}
	if watched != nil {
		r.sent[j.ID] = &sentJob{conn: watched}
	}
	return true
}
