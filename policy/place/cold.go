package place

import (
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/permit"
)

// Load pattern of this file: an upstream that has just started tolerates few requests a
// second from the whole fleet, and whole failure domains start at once. One entry sends
// to each cold upstream; the others use warm ones or refuse at once.

const (
	// coldSlowStart is how many jobs of this entry run at an upstream that it knows to be
	// cold from the start; each answer doubles the number. It lets the owner use its rate,
	// and the others begin gently once the upstream is warm.
	coldSlowStart = 2
	// minColdRetryAfter is the least Retry-After while upstreams are cold. The longest is a
	// quarter of Config.MaxRetryAfter: a caller that comes back may reach an entry that
	// sends to one of them.
	minColdRetryAfter = 200 * time.Millisecond
)

func (p *Planner) setColdServices(list []cleat.Service) {
	m := make(map[cleat.ServiceName]permit.ColdService)
	for i := range list {
		if s := &list[i]; s.ColdPerSec > 0 {
			m[s.Name] = permit.ColdService{Start: s.ColdStart, PerSecond: s.ColdPerSec}
		}
	}
	p.limits.SetColdServices(m)
}

// RecordAnnouncement applies an upstream's announcement as far as it tells how cold the
// upstream is. It is to be called before SetUpstreams.
func (p *Planner) RecordAnnouncement(now time.Time, r cleat.UpstreamRecord) {
	p.limits.Announce(now, r)
	p.slowStart(now, r.Upstream)
}

// RecordWarmUp applies an answer in which an upstream says how long it is still cold.
func (p *Planner) RecordWarmUp(now time.Time, r cleat.UpstreamRecord, d time.Duration) {
	p.limits.RecordWarmUp(now, r, d)
	p.slowStart(now, r.Upstream)
}

// RecordBroken records that an upstream broke off an answer: it may have restarted.
func (p *Planner) RecordBroken(now time.Time, r cleat.UpstreamRecord) {
	if u := p.incarnation(r); u != nil {
		p.recordBroken(now, u, u.heardAt)
	}
}

// RecordClosed records that an upstream closed an idle connection that was in use recently:
// it may have restarted, and been heard since.
func (p *Planner) RecordClosed(now time.Time, r cleat.UpstreamRecord) {
	if u := p.incarnation(r); u != nil {
		p.recordBroken(now, u, time.Time{})
	}
}

// RecordEnded records that nothing serves an upstream's address.
func (p *Planner) RecordEnded(now time.Time, r cleat.UpstreamRecord) {
	if u := p.incarnation(r); u != nil && p.limits.RecordFailure(now, r.Upstream) {
		p.slowStart(now, r.Upstream)
	}
}

func (p *Planner) recordBroken(now time.Time, u *upstream, heardAt time.Time) {
	if p.limits.RecordBroken(now, heardAt, u.record.Upstream) {
		p.slowStart(now, u.record.Upstream)
	}
}

// incarnation returns the upstream of a record, or nil if it has restarted or is gone.
func (p *Planner) incarnation(r cleat.UpstreamRecord) *upstream {
	if u, ok := p.upstreams[r.Upstream]; ok && u.record.StartedAtMillis == r.StartedAtMillis {
		return u
	}
	return nil
}

// MarkDomainCold takes all upstreams of a failure domain for cold, as after their start.
// It is to be called when the domain's evacuation ends.
func (p *Planner) MarkDomainCold(now time.Time, d cleat.DomainID) {
	p.limits.MarkDomainCold(now, d)
	for id, u := range p.upstreams {
		if u.record.Domain == d {
			p.slowStart(now, id)
		}
	}
}

// SetLeaving sets whether the entry shuts down, so that others send to cold upstreams.
func (p *Planner) SetLeaving(isLeaving bool) {
	p.leaving = isLeaving
	p.limits.SetLeaving(isLeaving)
}

// RecordLost records that the link to another entry was lost.
func (p *Planner) RecordLost(now time.Time, entry cleat.InstanceID) { p.limits.RecordLost(now, entry) }

// ColdChanges returns which upstreams became cold or warm since the last call.
func (p *Planner) ColdChanges() []permit.ColdChange { return p.limits.ColdChanges() }

// ColdCounts sums up the upstreams that are cold.
func (p *Planner) ColdCounts(now time.Time) permit.ColdCounts { return p.limits.ColdCounts(now) }

// slowStart bounds the jobs that run at an upstream that became cold.
func (p *Planner) slowStart(now time.Time, id cleat.UpstreamID) {
	if u, ok := p.upstreams[id]; ok && u.ramp == 0 && p.limits.IsCold(now, id) {
		u.ramp = coldSlowStart
	}
}

// coldRamp returns the bound on the jobs that run at a new upstream.
func (p *Planner) coldRamp(id cleat.UpstreamID) int {
	if p.limits.ColdUntil(id).IsZero() {
		return 0
	}
	return coldSlowStart
}

// takeColdToken takes a token for a job that was placed at a cold upstream.
func (p *Planner) takeColdToken(now time.Time, j *Job, u *upstream) {
	j.coldTokenAt = time.Time{}
	if p.limits.UseCold(now, u.record.Upstream) {
		j.coldTokenAt = now
	}
}

// maySendCold reports whether a placed job may be sent as far as its upstream is cold:
// that may have become known while it was connected, or connecting took so long that the
// job would arrive together with later ones.
func (p *Planner) maySendCold(now time.Time, j *Job, u *upstream) bool {
	if !p.limits.IsCold(now, u.record.Upstream) || permit.IsTokenFresh(now, j.coldTokenAt) {
		return true
	}
	p.takeColdToken(now, j, u)
	return !j.coldTokenAt.IsZero()
}

// endCold applies the outcome of a job to what is known about its upstream.
func (p *Planner) endCold(now time.Time, j *Job, u *upstream, o Outcome) {
	switch o {
	case OutcomeNotSent, OutcomeMisdirected:
		p.limits.ReturnCold(now, j.coldTokenAt, u.record.Upstream)
	case OutcomeLost:
		if p.upstreams[u.record.Upstream] == u {
			p.recordBroken(now, u, u.heardAt)
		}
	case OutcomeUnreachable, OutcomeShutDown:
		if p.upstreams[u.record.Upstream] == u && p.limits.RecordFailure(now, u.record.Upstream) {
			p.slowStart(now, u.record.Upstream)
		}
	case OutcomeServed:
		p.limits.RecordAlive(now, j.sentAt, u.record.Upstream)
	}
	j.coldTokenAt = time.Time{}
}

// isColdElsewhere reports whether an upstream is cold and another entry sends to it.
func (p *Planner) isColdElsewhere(now time.Time, u *upstream) bool {
	return p.limits.IsCold(now, u.record.Upstream) && !p.limits.Owns(now, u.record.Upstream)
}

// warmsFirst returns the one of two upstreams that is warm first; a may be nil.
func (p *Planner) warmsFirst(a, b *upstream) *upstream {
	if a == nil || p.limits.ColdUntil(b.record.Upstream).Before(p.limits.ColdUntil(a.record.Upstream)) {
		return b
	}
	return a
}

// coldRetryAfter returns the Retry-After of a job while the upstream that is warm first
// is cold. It is spread, so that callers don't come back together.
func (p *Planner) coldRetryAfter(now time.Time, j *Job, u *upstream) time.Duration {
	wait := min(max(p.limits.ColdUntil(u.record.Upstream).Sub(now), minColdRetryAfter), p.cfg.MaxRetryAfter/4)
	return wait + time.Duration(hashToUnit(j.ID)*pauseSpread*float64(wait))
}

// addCold adds what this entry may send to a cold upstream to a service's load.
func (p *Planner) addCold(now time.Time, l *serviceLoad, u *upstream) {
	if !p.limits.Owns(now, u.record.Upstream) {
		return
	}
	rate := p.limits.OwnerRate(u.record.Service)
	l.isCold = true
	l.permitRate += rate
	l.prefillRate += min(u.prefillRate, rate*p.promptTokens[u.record.Service]/1000)
	l.backlog += u.backlog()
}
