package place

import (
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/permit"
)

// RecordRateLimit applies the rate limit that an upstream names in an answer to a
// request sent at a time, in requests/s; zero means that it names none.
func (p *Planner) RecordRateLimit(now, sentAt time.Time, u cleat.UpstreamRecord, rate float64) {
	if known, ok := p.upstreams[u.Upstream]; ok && known.record.StartedAtMillis == u.StartedAtMillis {
		p.limits.Observe(now, sentAt, u, rate)
	}
}

// RateLimitChanges returns the changes of rate limits since the last call.
func (p *Planner) RateLimitChanges() []permit.Change { return p.limits.Changes() }

// PermitCounts returns what became of this entry's permits.
func (p *Planner) PermitCounts(now time.Time) permit.Counts { return p.limits.Counts(now) }

// RateLimited returns how many upstreams have a rate limit.
func (p *Planner) RateLimited() int { return p.limits.Limited() }

// SetMembers sets how many other entries the fleet has, in touch or not.
func (p *Planner) SetMembers(n int) {
	p.usage.joining.setMembers(n)
	p.limits.SetMembers(n)
}

// candidate is an upstream that could take a job.
type candidate struct {
	upstream *upstream
	cost     time.Duration
}

// wantInterval is how often a waiting job counts again as demand for permits.
const wantInterval = time.Second

// wantPermits counts a job as demand for permits of the limited upstreams that would
// be a better choice than the one without a limit, or whose limit may have ended.
func (p *Planner) wantPermits(now time.Time, j *Job, limited []candidate, best *upstream, bestCost time.Duration) {
	if len(limited) == 0 || now.Sub(j.wantedAt) < wantInterval {
		return
	}
	j.wantedAt = now
	for _, c := range limited {
		if best == nil || c.cost < bestCost || p.limits.IsStale(now, c.upstream.record.Upstream) {
			p.limits.Want(now, c.upstream.record.Upstream)
		}
	}
}

// knownLimits returns the limits of upstreams that are in use here: entries learn at
// different times that one is gone.
func (p *Planner) knownLimits(list []cleat.UpstreamLimit) []cleat.UpstreamLimit {
	var known []cleat.UpstreamLimit
	for i := range list {
		if u, ok := p.upstreams[list[i].Upstream]; ok && u.record.StartedAtMillis == list[i].StartedAtMillis {
			known = append(known, list[i])
		}
	}
	return known
}

// promptTokensSmoothing is the EWMA weight of one request in the average prompt.
const promptTokensSmoothing = 0.02

// countPrompt adds a request to the average prompt of its service.
func (p *Planner) countPrompt(j *Job) {
	mean, ok := p.promptTokens[j.Service]
	if !ok {
		mean = float64(j.PromptTokens)
	}
	p.promptTokens[j.Service] = mean + promptTokensSmoothing*(float64(j.PromptTokens)-mean)
}

// permitCost returns a cost that keeps short prompts away from limited upstreams: each
// permit stands for a part of the upstream's time, of which a short prompt leaves most
// unused. There is none where the limit may have ended, or nothing would ask again.
func (p *Planner) permitCost(now time.Time, u *upstream, prefill int) time.Duration {
	rate := p.limits.Rate(u.record.Upstream)
	if rate == 0 || p.limits.IsStale(now, u.record.Upstream) {
		return 0
	}
	unused := time.Duration(float64(time.Second)/rate) - time.Duration(float64(prefill)/u.prefillRate)*time.Millisecond
	return permitWeight * min(max(0, unused), maxPermitCost)
}

const (
	// permitWeight multiplies the time of an upstream that a request leaves unused.
	permitWeight = 2
	// maxPermitCost bounds the cost at upstreams with a very low limit.
	maxPermitCost = time.Second
)
