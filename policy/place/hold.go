package place

import "time"

// Load pattern of this file: many entries restart at once while the engines serve much less
// than is requested. Each of them has its part of the capacity before it knows what the
// others do, and the first jobs of all fill the engines for longer than an objective.

// heldPart is the divisor of the time from a job's arrival to its objective for which it is
// held at most.
const heldPart = 4

// shouldHold reports whether the decision on a new job has to wait until this entry has
// joined. A job whose share isn't divided, or that was admitted before, is not held.
func (p *Planner) shouldHold(now time.Time, j *Job) bool {
	return p.usage.joining.active && p.usage.capacity > 0 && p.engines[j.Service] != nil && len(j.Tried) == 0 && j.Version == "" &&
		now.Sub(j.Arrived) < j.Target.Sub(j.Arrived)/heldPart
}

// releaseHeld decides on the jobs that needn't be held any longer, and returns the verdicts.
func (p *Planner) releaseHeld(now time.Time) []Verdict {
	if len(p.held) == 0 {
		return nil
	}
	p.updateJoining(now)
	var verdicts []Verdict
	held := p.held
	p.held = nil
	for _, j := range held {
		if p.shouldHold(now, j) {
			p.held = append(p.held, j)
			continue
		}
		if v, decided := p.decideNew(now, j); decided {
			verdicts = append(verdicts, v)
		}
	}
	return verdicts
}
