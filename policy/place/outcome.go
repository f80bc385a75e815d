package place

import "time"

// RecordFirstEvent records the first event or the answer of a sent job.
func (p *Planner) RecordFirstEvent(now time.Time, j *Job) {
	if u := j.upstream; u != nil {
		u.heardAt = now
		if !j.hasFirstEvent {
			p.usage.setPending(now, j, false)
			p.usage.addStarted(now, j.Workspace, j.costUnits())
		}
		u.speed.RecordSlowness(now, j.Slowness)
		u.recordFirstEvent(now, j)
		p.limits.RecordAlive(now, j.sentAt, u.record.Upstream)
		u.recordReachable()
		if !j.sentAt.Before(u.pausedUntil) {
			u.widenRamp()
		}
	}
}

// RecordEvents records further events of a sent job.
func (p *Planner) RecordEvents(now time.Time, j *Job, events int) {
	u := j.upstream
	if u == nil || u.engine == nil {
		return
	}
	u.heardAt = now
	u.recordEvents(now, j, events)
	p.limits.RecordAlive(now, j.sentAt, u.record.Upstream)
	if best := p.bestStreamRate[u.record.Service]; u.streamRate > best {
		p.bestStreamRate[u.record.Service] = u.streamRate
	} else {
		p.bestStreamRate[u.record.Service] = best + bestStreamRateDecay*(u.streamRate-best)
	}
}

// bestStreamRateDecay is the EWMA weight with which one event of slower streams
// lowers the best observed stream rate.
const bestStreamRateDecay = 0.0002

// Outcome is how an attempt ended, as far as the upstream is concerned.
type Outcome uint8

// The outcomes of an attempt.
const (
	OutcomeServed      Outcome = iota
	OutcomeFailed              // The upstream answered with an error, or truncated the answer.
	OutcomeFull                // The upstream did not run it for lack of capacity.
	OutcomeUnreachable         // No connection.
	OutcomeLost                // The connection was lost before the answer was complete.
	OutcomeShutDown            // It refuses connections after it has closed one in good order.
	OutcomeCanceled            // The caller left or its deadline passed.
	OutcomeNotSent             // As OutcomeCanceled, before the request was sent.
	OutcomeMisdirected         // The address belongs to another upstream, which did not run it.
	OutcomeStalled             // The upstream has passed over it; see Planner.Stalled.
)

// RecordEnd removes a sent job that ended and records its outcome for the upstream. A
// job that was not started doesn't count against its workspace's share; one whose caller
// left counts, as the upstream may have prefilled its prompt, unless that had passed it over.
func (p *Planner) RecordEnd(now time.Time, j *Job, o Outcome) {
	u := j.upstream
	if u == nil {
		return
	}
	p.usage.setPending(now, j, false)
	if o == OutcomeCanceled && j.stalled && !j.hasFirstEvent {
		o = OutcomeStalled
	}
	if !j.hasFirstEvent && (o == OutcomeFailed || o == OutcomeLost || o == OutcomeStalled) {
		p.usage.addDenied(now, j, true)
	}
	if !j.hasFirstEvent && o != OutcomeCanceled {
		j.refund()
		p.usage.addAdmitted(now, j.Workspace, -j.costUnits())
	}
	u.removeJob(j)
	delete(p.jobs, j.ID)
	p.learnOutput(j, u, o)
	if o == OutcomeNotSent && j.hasPermit {
		p.limits.Return(u.record.Upstream)
	}
	p.endCold(now, j, u, o)
	if u.isPaused(now) && (o == OutcomeFailed || o == OutcomeFull) {
		return // The pause answers it; afterwards the upstream is as good as before.
	}
	switch o {
	case OutcomeServed:
		u.recordOutcome(now, false)
		u.recordReachable()
	case OutcomeFailed, OutcomeStalled:
		u.recordOutcome(now, true)
	case OutcomeFull:
		u.avoidUntil = now.Add(initialBackoff)
	case OutcomeUnreachable, OutcomeLost, OutcomeMisdirected:
		u.recordUnreachable(now)
	case OutcomeShutDown:
		u.consecutiveFailures = max(u.consecutiveFailures, maxBackoffFailures)
		u.recordUnreachable(now)
	}
}
