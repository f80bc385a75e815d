package place

import "time"

// Begin notes the first event or the answer of a sent job.
func (p *Planner) Begin(now time.Time, j *Job) {
	if u := j.upstream; u != nil {
		u.begin(now, j)
		u.reached()
	}
}

// Event notes further events of a sent job.
func (p *Planner) Event(now time.Time, j *Job, events int) {
	u := j.upstream
	if u == nil || u.engine == nil {
		return
	}
	u.event(now, j, events)
	if best := p.bestPace[u.record.Service]; u.streamPace > best {
		p.bestPace[u.record.Service] = u.streamPace
	} else {
		p.bestPace[u.record.Service] = best + bestPaceDecay*(u.streamPace-best)
	}
}

// bestPaceDecay is the weight of one event in the decline of the best pace seen.
const bestPaceDecay = 0.0002

// Outcome tells how an attempt ended, as far as the upstream is concerned.
type Outcome uint8

// The outcomes of an attempt.
const (
	OutcomeServed      Outcome = iota
	OutcomeFailed              // The upstream answered with a failure of its own, or broke off.
	OutcomeFull                // The upstream did not run it for lack of room.
	OutcomeUnreachable         // No connection, or the connection was lost.
	OutcomeLeft                // The caller left or its time was up.
)

// End notes that a sent job ended.
func (p *Planner) End(now time.Time, j *Job, o Outcome) {
	u := j.upstream
	if u == nil {
		return
	}
	u.remove(j)
	delete(p.jobs, j.ID)
	switch o {
	case OutcomeServed:
		u.noteOutcome(now, false)
		u.reached()
	case OutcomeFailed:
		u.noteOutcome(now, true)
	case OutcomeFull:
		u.avoidUntil = now.Add(firstBackoff)
	case OutcomeUnreachable:
		u.unreachable(now)
	}
}
