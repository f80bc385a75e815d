package queue

import (
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/fair"
	"marigoldcleat.example/cleat/stand/assert"
)

// phase is where a request stands.
type phase uint8

const (
	phaseWaiting phase = iota
	phaseDelayed       // Waits for its retry to be due.
	phaseRunning
	phaseEnded
)

// request is one caller's request until it ends.
type request struct {
	work        cleat.Work
	stream      *stream
	phase       phase
	deadline    *fair.Item
	attempt     uint32
	agent       *agent
	upstream    cleat.UpstreamID
	incarnation cleat.Incarnation
	started     time.Time
	begun       bool
	canceled    bool
	due         time.Time          // Of a delayed retry.
	avoid       []cleat.UpstreamID // Failed it.
	skipped     int
	earlier     cleat.Ran // What is known of failed attempts; empty when none got through.
}

// Submit takes in a request, or refuses it at once.
func (t *Table) Submit(now time.Time, w cleat.Work) cleat.Effects {
	var e cleat.Effects
	if _, ok := t.requests[w.ID]; ok {
		assert.Fail("request-once", "%s submitted twice", w.ID)
		return e
	}
	w.Estimate = t.costs.Estimate(&w)
	s := t.stream(now, &w)
	if reason := t.admission(now, s, &w); reason != "" {
		t.refuse(now, s, w.ID, reason, cleat.RanNo, &e)
		return e
	}
	r := &request{work: w, stream: s}
	r.deadline = fair.NewItem(string(w.ID), r)
	t.requests[w.ID] = r
	s.workspace.budget.First(t.limits.RetryRatio)
	t.enqueue(now, r)
	e.Add(t.plan(now))
	return e
}

// admission returns why a request can't wait here, or nothing.
func (t *Table) admission(now time.Time, s *stream, w *cleat.Work) cleat.Reason {
	switch {
	case t.draining:
		return cleat.ReasonShutdown
	case !now.Before(w.Deadline):
		return cleat.ReasonDeadline
	case t.waiting >= t.limits.MaxWaiting:
		return cleat.ReasonFleetFull
	case s.workspace.waiting >= s.workspace.maxWaiting:
		return cleat.ReasonQueueFull
	case s.pool.missing(now, t.cfg):
		return cleat.ReasonNoUpstream
	}
	wait := s.foretell(now, t.cfg)
	if wait.Seconds() > t.cfg.LateFactor*w.Deadline.Sub(now).Seconds() {
		return cleat.ReasonUnattainableDeadline
	}
	return ""
}

// Cancel ends a request that nobody waits for. A running request that may not
// repeat is left to finish.
func (t *Table) Cancel(now time.Time, id cleat.RequestID) cleat.Effects {
	var e cleat.Effects
	r, ok := t.requests[id]
	if !ok {
		return e
	}
	if r.phase == phaseRunning && !r.work.Repeatable {
		r.canceled = true
		return e
	}
	if r.phase == phaseRunning {
		e.Stops = append(e.Stops, cleat.Stop{Attempt: r.current(), Agent: r.agent.id})
	}
	t.leave(now, r)
	t.forget(r)
	e.Add(t.plan(now))
	return e
}

func (r *request) current() cleat.Attempt {
	return cleat.Attempt{Request: r.work.ID, Number: r.attempt}
}

// enqueue puts a request into its stream by the time it was received.
func (t *Table) enqueue(now time.Time, r *request) {
	r.phase = phaseWaiting
	t.waiting++
	s := r.stream
	if s.workspace.waiting == 0 {
		s.workspace.busySince = now
	}
	s.workspace.waiting++
	if s.waiting == 0 {
		s.activate(now, t)
	}
	s.insert(r)
	t.deadlines.Set(r.deadline, float64(r.work.Deadline.UnixNano()))
}

// leave takes a request out of the phase that it is in.
func (t *Table) leave(now time.Time, r *request) {
	w := r.stream.workspace
	switch r.phase {
	case phaseWaiting:
		t.deadlines.Remove(r.deadline)
		t.waiting--
		w.waiting--
		r.stream.waiting--
		if r.stream.waiting == 0 {
			r.stream.deactivate(now, t)
		}
	case phaseDelayed:
		t.deadlines.Remove(r.deadline)
		t.waiting--
		for i, other := range t.delayed {
			if other == r {
				t.delayed = append(t.delayed[:i], t.delayed[i+1:]...)
				break
			}
		}
	case phaseRunning:
		if u := r.agent.upstream(r.upstream); u != nil {
			u.started--
		}
		t.running--
		w.running--
		delete(r.agent.attempts, r.work.ID)
		r.agent = nil
	}
	r.phase = phaseEnded
}

func (t *Table) forget(r *request) {
	delete(t.requests, r.work.ID)
}

// end refuses a request that was taken in.
func (t *Table) end(now time.Time, r *request, reason cleat.Reason, ran cleat.Ran, e *cleat.Effects) {
	t.leave(now, r)
	t.forget(r)
	if r.canceled {
		return
	}
	t.refuse(now, r.stream, r.work.ID, reason, ran, e)
}

func (t *Table) refuse(now time.Time, s *stream, id cleat.RequestID, reason cleat.Reason, ran cleat.Ran, e *cleat.Effects) {
	if r, ok := t.requests[id]; ok {
		assert.Fail("refused-is-over", "%s is refused while in phase %d", id, r.phase)
	}
	s.workspace.refused[reason]++
	e.Refusals = append(e.Refusals, cleat.Refusal{
		Request: id, Reason: reason, Ran: ran, RetryAfter: t.retryAfter(now, s, reason),
	})
}

// retryAfter tells when asking again may help, from the pace of dispatches.
func (t *Table) retryAfter(now time.Time, s *stream, reason cleat.Reason) time.Duration {
	switch reason {
	case cleat.ReasonQueueFull, cleat.ReasonFleetFull, cleat.ReasonUnattainableDeadline, cleat.ReasonDeadline:
		wait := s.foretell(now, t.cfg) / 2
		return min(max(wait, time.Second), t.cfg.MaxRetryAfter)
	case cleat.ReasonNoUpstream, cleat.ReasonShutdown, cleat.ReasonRetriesSpent, cleat.ReasonUpstreamFailed:
		return time.Second
	}
	return 0
}

func (t *Table) expireDeadlines(now time.Time, e *cleat.Effects) {
	for {
		it := t.deadlines.Min()
		if it == nil || it.Key() > float64(now.UnixNano()) {
			return
		}
		r := it.Owner().(*request)
		t.end(now, r, cleat.ReasonDeadline, r.ran(), e)
	}
}
