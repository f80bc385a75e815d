package place

import (
	"slices"
	"time"

	"marigoldcleat.example/cleat"
)

// Load pattern of this file: an upstream in need, or one that leaves, says so in its
// answers while many requests are on their way to it. Nothing may be sent there from the
// next request on, the others take its load, and it is not flooded when it is back.

const (
	// pauseSpread is the fraction of a pause by which it is extended at random, up to
	// maxPauseSpread: entries that were turned away together don't return together.
	pauseSpread    = 0.25
	maxPauseSpread = time.Second
	// firstRamp is how many jobs of this entry run at an upstream after a pause until
	// the first is answered; each answer doubles the number.
	firstRamp = 1
	// minPauseRetrySpread is the least time over which callers return after a pause.
	minPauseRetrySpread = 200 * time.Millisecond
)

// isUsable reports whether an upstream may run a job at all.
func isUsable(u *upstream, j *Job) bool {
	return !u.evacuated && couldRun(u, j)
}

// couldRun reports the same apart from evacuations.
func couldRun(u *upstream, j *Job) bool {
	return u.record.Phase == cleat.UpstreamReady && (j.Version == "" || j.Version == u.record.Version) &&
		!slices.Contains(j.Tried, u.record.Upstream)
}

func (u *upstream) isPaused(now time.Time) bool { return now.Before(u.pausedUntil) }

// isOpen reports whether the upstream takes a further job of this entry now, apart from
// its load.
func (u *upstream) isOpen(now time.Time) bool {
	return !u.isPaused(now) && !now.Before(u.avoidUntil) && (u.ramp == 0 || len(u.jobs) < u.ramp)
}

// widenRamp lets more jobs run after an answer, and ends the ramp once they could fill
// the upstream.
func (u *upstream) widenRamp() {
	if u.ramp *= 2; u.ramp >= u.record.Slots {
		u.ramp = 0
	}
}

// RecordPause keeps this entry's jobs from an upstream that turned one away and wants
// none for some time. A shorter pause doesn't end a longer one, and a new incarnation
// has none. It reports whether the pause was extended.
func (p *Planner) RecordPause(now time.Time, r cleat.UpstreamRecord, d time.Duration) bool {
	u, ok := p.upstreams[r.Upstream]
	if !ok || u.record.StartedAtMillis != r.StartedAtMillis || d <= 0 {
		return false
	}
	u.ramp = firstRamp
	spread := min(time.Duration(pauseSpread*float64(d)), maxPauseSpread)
	until := now.Add(d + time.Duration(hashToUnit(u.hash^hashName(string(p.cfg.Self)))*float64(spread)))
	if !until.After(u.pausedUntil) {
		return false
	}
	u.pausedUntil = until
	return true
}

// MaySend reports whether a placed job may still be sent: while it was connected, its
// upstream may have left, restarted, asked for a pause, named a rate limit or been evacuated.
// A job that may counts as sent now.
func (p *Planner) MaySend(now time.Time, j *Job) bool {
	u := j.upstream
	if u == nil || p.upstreams[u.record.Upstream] != u || u.record.Phase != cleat.UpstreamReady || u.evacuated || u.isPaused(now) {
		return false
	}
	if !p.maySendCold(now, j, u) {
		return false
	}
	if p.limits.Rate(u.record.Upstream) > 0 && !j.hasPermit {
		if j.hasPermit = p.limits.Use(now, u.record.Upstream); !j.hasPermit {
			return false
		}
	}
	j.sentAt = now
	if j.stalled { // Later ones have begun while it was being connected.
		j.stalled, j.ended = false, false
		u.pendingPrefill += j.prefill
	}
	p.usage.setPending(now, j, true)
	return true
}

// refuseUnplaceable refuses a job that no upstream of its service can run now.
func (p *Planner) refuseUnplaceable(now time.Time, j *Job) (Verdict, bool) {
	v := Verdict{Job: j, Reason: ReasonNoUpstream, RetryAfter: p.cfg.MaxRetryAfter / 4}
	if j.Version != "" {
		v.Reason = ReasonNoVersion
	}
	var opens time.Time
	var cold *upstream
	for _, u := range p.services[j.Service] {
		switch {
		case u.evacuated && couldRun(u, j) && j.Version == "":
			v.Reason = ReasonEvacuated
		case !isUsable(u, j):
		case p.isColdElsewhere(now, u):
			cold = p.warmsFirst(cold, u)
		case !u.isPaused(now):
			return Verdict{}, false
		case opens.IsZero() || u.pausedUntil.Before(opens):
			opens = u.pausedUntil
		}
	}
	if cold != nil {
		v.Reason, v.RetryAfter = ReasonWarmingUp, p.coldRetryAfter(now, j, cold)
	} else if !opens.IsZero() {
		wait := opens.Sub(now)
		spread := max(time.Duration(pauseSpread*float64(wait)), minPauseRetrySpread)
		v.Reason, v.RetryAfter = ReasonPaused, wait+time.Duration(hashToUnit(j.ID)*float64(spread))
	}
	return v, true
}
