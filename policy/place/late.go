package place

import (
	"math"
	"time"
)

// isLate reports whether a job could not be on time even at an idle upstream.
func (p *Planner) isLate(now time.Time, j *Job) bool {
	return now.Add(p.idleWait(now, j) + p.cfg.Margin).After(j.Target)
}

// idleWait returns the prefill time of a job's prompt at the fastest upstream of the
// service when idle. It is cached for idleWaitInterval, since many jobs may wait.
func (p *Planner) idleWait(now time.Time, j *Job) time.Duration {
	if now.Sub(j.idleWaitAt) < idleWaitInterval {
		return j.idleWait
	}
	j.idleWaitAt, j.idleWait = now, 0
	if p.engines[j.Service] == nil {
		return 0
	}
	best := math.MaxFloat64
	s := p.findSource(now, j)
	for _, u := range p.services[j.Service] {
		if u.evacuated {
			continue
		}
		cached, _ := u.withFetch(s, u.cached(j.Blocks))
		best = min(best, float64(j.PromptTokens-cached)/u.prefillRate)
	}
	if best < math.MaxFloat64 {
		j.idleWait = time.Duration(max(0, best)) * time.Millisecond
	}
	return j.idleWait
}

// idleWaitInterval is how long the result of idleWait is reused.
const idleWaitInterval = 250 * time.Millisecond
