package queue

import (
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/fair"
	"marigoldcleat.example/cleat/stand/assert"
)

// phase is the state of a request.
type phase uint8

const (
	phaseWaiting phase = iota
	phaseDelayed       // Backs off before a retry.
	phaseRunning
	phaseEnded
)

// request is one caller's request, kept until it ends.
type request struct {
	work            cleat.Work
	stream          *stream
	phase           phase
	deadline        *fair.Item
	attempt         uint32
	agent           *agent
	upstream        cleat.UpstreamID
	incarnation     cleat.Incarnation
	started         time.Time
	answerStarted   bool
	canceled        bool
	retryAt         time.Time          // When a delayed request is enqueued again.
	failedUpstreams []cleat.UpstreamID // Where an attempt of it failed.
	skips           int                // Times that a request behind it was chosen for a grant.
	earlierRan      cleat.Ran          // Whether failed attempts ran, as far as known; empty if it is certain that none reached an upstream.
}

// Submit admits and enqueues a request, or refuses it at once.
func (t *Table) Submit(now time.Time, w cleat.Work) cleat.Effects {
	var e cleat.Effects
	if _, ok := t.requests[w.ID]; ok {
		assert.Fail("request-once", "%s submitted twice", w.ID)
		return e
	}
	w.Estimate = t.costs.Estimate(&w)
	s := t.stream(now, &w)
	if reason := t.admissionRefusal(now, s, &w); reason != "" {
		t.refuse(now, s, w.ID, reason, cleat.RanNo, &e)
		return e
	}
	r := &request{work: w, stream: s}
	r.deadline = fair.NewItem(string(w.ID), r)
	t.requests[w.ID] = r
	s.workspace.budget.RecordFirstAttempt(t.limits.RetryRatio)
	t.enqueue(now, r)
	e.Add(t.planOffers(now))
	return e
}

// admissionRefusal returns the reason to refuse a new request, or an empty one to admit it.
func (t *Table) admissionRefusal(now time.Time, s *stream, w *cleat.Work) cleat.Reason {
	switch {
	case t.draining:
		return cleat.ReasonShutdown
	case !now.Before(w.Deadline):
		return cleat.ReasonDeadline
	case t.waiting >= t.limits.MaxWaiting:
		return cleat.ReasonFleetFull
	case s.workspace.waiting >= s.workspace.maxWaiting:
		return cleat.ReasonQueueFull
	case s.pool.isUnserved(now, t.cfg):
		return cleat.ReasonNoUpstream
	}
	wait := s.estimateWait(now, t.cfg)
	if wait.Seconds() > t.cfg.LateFactor*w.Deadline.Sub(now).Seconds() {
		return cleat.ReasonUnattainableDeadline
	}
	return ""
}

// Cancel ends a request whose caller is gone. A running request that may not be repeated
// is left to finish.
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
		e.Stops = append(e.Stops, cleat.Stop{Attempt: r.currentAttempt(), Agent: r.agent.id})
	}
	t.leavePhase(now, r)
	t.removeRequest(r)
	e.Add(t.planOffers(now))
	return e
}

func (r *request) currentAttempt() cleat.Attempt {
	return cleat.Attempt{Request: r.work.ID, Number: r.attempt}
}

// enqueue inserts a request into its stream in order of receipt.
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

// leavePhase removes a request from the lists and counts of its phase.
func (t *Table) leavePhase(now time.Time, r *request) {
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
			u.runningDelta--
		}
		t.running--
		w.running--
		delete(r.agent.attempts, r.work.ID)
		r.agent = nil
	}
	r.phase = phaseEnded
}

func (t *Table) removeRequest(r *request) {
	delete(t.requests, r.work.ID)
}

// endWithRefusal ends an admitted request and refuses it, unless it was canceled.
func (t *Table) endWithRefusal(now time.Time, r *request, reason cleat.Reason, ran cleat.Ran, e *cleat.Effects) {
	t.leavePhase(now, r)
	t.removeRequest(r)
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

// retryAfter returns the delay to suggest to a refused caller: half of the estimated wait,
// from 1 s to MaxRetryAfter, if a queue is full or the deadline can't be met.
func (t *Table) retryAfter(now time.Time, s *stream, reason cleat.Reason) time.Duration {
	switch reason {
	case cleat.ReasonQueueFull, cleat.ReasonFleetFull, cleat.ReasonUnattainableDeadline, cleat.ReasonDeadline:
		wait := s.estimateWait(now, t.cfg) / 2
		return min(max(wait, time.Second), t.cfg.MaxRetryAfter)
	case cleat.ReasonNoUpstream, cleat.ReasonShutdown, cleat.ReasonRetriesSpent, cleat.ReasonUpstreamFailed:
		return time.Second
	}
	return 0
}

// refuseExpired refuses the waiting and delayed requests whose deadline has passed.
func (t *Table) refuseExpired(now time.Time, e *cleat.Effects) {
	for {
		it := t.deadlines.Min()
		if it == nil || it.Key() > float64(now.UnixNano()) {
			return
		}
		r := it.Owner().(*request)
		t.endWithRefusal(now, r, cleat.ReasonDeadline, r.ranStatus(), e)
	}
}
