package queue

import (
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/route"
	"marigoldcleat.example/cleat/stand/assert"
)

// declineHold is how long a stream is not offered again to an agent after it granted a
// slot at an upstream where all waiting requests have failed.
const declineHold = 250 * time.Millisecond

// Grants starts requests on the slots that an agent granted, and declines the grants
// that no request can use. Grants that are not newer than the last one handled are ignored.
func (t *Table) Grants(now time.Time, from cleat.InstanceID, m *cleat.Grants) cleat.Effects {
	var e cleat.Effects
	a, ok := t.agents[from]
	if !ok || !a.up || m.Incarnation != a.incarnation {
		return e
	}
	for _, g := range m.Grants {
		if g.ID <= a.lastGrant {
			continue
		}
		a.lastGrant = g.ID
		t.useGrant(now, a, g, &e)
	}
	e.Add(t.planOffers(now))
	return e
}

func (t *Table) useGrant(now time.Time, a *agent, g cleat.Grant, e *cleat.Effects) {
	s, ok := t.streams[g.Stream]
	var r *request
	if ok {
		r = t.chooseRequest(a, s, g.Upstream)
	}
	if r == nil {
		if ok {
			a.advertFor(s).recordDecline(now)
		}
		e.Sends = append(e.Sends, cleat.Send{To: a.id, Message: &cleat.Decline{Incarnation: a.incarnation, Grant: g.ID}})
		return
	}
	t.startAttempt(now, a, g, r, e)
}

func (o *advert) recordDecline(now time.Time) {
	o.remaining = 0
	o.stream.exhaustedEpoch = 0
	if o.stream.waiting > 0 {
		o.heldUntil = now.Add(declineHold)
	}
}

// chooseRequest returns the request to run on a granted slot: among the first
// ReorderWindow, the one whose cached prefix saves most there. A request that failed at
// that upstream is left out if another upstream serves it. Once the first request has been
// passed over MaxSkips times, the first that is not left out is chosen, so that it does not
// starve.
func (t *Table) chooseRequest(a *agent, s *stream, id cleat.UpstreamID) *request {
	head := s.head()
	if head == nil {
		return nil
	}
	u := a.upstream(id)
	var best *request
	bestSaving, considered := -1.0, 0
	for _, r := range s.requests {
		if r.phase != phaseWaiting || (r.failedAt(id) && t.hasAlternative(s, r)) {
			continue
		}
		saving := 0.0
		if u != nil {
			saving = route.PrefixSaving(u.matchedBlocks(r.work.Prefix))
		}
		if saving > bestSaving {
			best, bestSaving = r, saving
		}
		if considered++; considered >= t.cfg.ReorderWindow || head.skips >= t.cfg.MaxSkips {
			break
		}
	}
	if best != nil && best != head {
		head.skips++
	}
	return best
}

func (r *request) failedAt(id cleat.UpstreamID) bool {
	for _, other := range r.failedUpstreams {
		if other == id {
			return true
		}
	}
	return false
}

// hasAlternative reports whether the request can be served by an upstream at which it has not failed.
func (t *Table) hasAlternative(s *stream, r *request) bool {
	for _, a := range t.agentOrder {
		if !a.up {
			continue
		}
		for _, u := range a.upstreams {
			if u.serves(s.pool.key) && !r.failedAt(u.state.Upstream) {
				return true
			}
		}
	}
	return false
}

func (t *Table) startAttempt(now time.Time, a *agent, g cleat.Grant, r *request, e *cleat.Effects) {
	if r.phase != phaseWaiting || r.agent != nil {
		assert.Fail("one-live-attempt", "%s is started but has an agent already or is not waiting: phase %d", r.work.ID, r.phase)
		return
	}
	s := r.stream
	t.leavePhase(now, r)
	r.phase, r.agent, r.upstream, r.incarnation = phaseRunning, a, g.Upstream, a.incarnation
	r.attempt++
	r.work.Estimate = t.costs.Estimate(&r.work)
	r.started, r.answerStarted = now, false
	t.running++
	s.workspace.running++
	a.attempts[r.work.ID] = r
	if o, ok := a.adverts[s]; ok {
		o.remaining = max(0, o.remaining-1)
		s.exhaustedEpoch = 0
	}
	if u := a.upstream(g.Upstream); u != nil {
		u.runningDelta++
	}
	s.rate.recordDispatch(now, t.cfg.RateWindow)
	e.Starts = append(e.Starts, cleat.Start{
		Work: r.work, Attempt: r.currentAttempt(), Agent: a.id,
		Incarnation: a.incarnation, Grant: g, Share: s.workspace.share,
	})
}

// DispatchNotSent requeues a request whose dispatch the link refused without sending any of it.
func (t *Table) DispatchNotSent(now time.Time, a cleat.Attempt) cleat.Effects {
	var e cleat.Effects
	if r := t.runningRequest(a); r != nil {
		t.requeue(now, r, 0, &e)
	}
	e.Add(t.planOffers(now))
	return e
}

// Refused handles an agent's refusal of a dispatch. RanYes answers a duplicate dispatch
// and is ignored.
func (t *Table) Refused(now time.Time, from cleat.InstanceID, m *cleat.Refused) cleat.Effects {
	var e cleat.Effects
	r := t.runningRequest(m.Attempt)
	if r == nil || r.agent.id != from || m.Ran == cleat.RanYes {
		return e
	}
	doubtful := r.incarnation != r.agent.incarnation || now.Sub(r.started) > t.cfg.MaxRefusalAge || r.answerStarted
	if m.Ran == cleat.RanNo && !doubtful {
		t.requeue(now, r, 0, &e)
	} else {
		t.concludeAttempt(now, r, cleat.Outcome{Kind: cleat.OutcomeUnknown, Reason: cleat.ReasonAgentLost, AnswerStarted: r.answerStarted}, &e)
	}
	e.Add(t.planOffers(now))
	return e
}

// AnswerStarted records that the answer has started to reach the caller; the request is not
// retried from then on.
func (t *Table) AnswerStarted(_ time.Time, a cleat.Attempt) {
	if r := t.runningRequest(a); r != nil {
		r.answerStarted = true
	}
}

// AttemptFinished applies the outcome of an attempt.
func (t *Table) AttemptFinished(now time.Time, a cleat.Attempt, o cleat.Outcome) cleat.Effects {
	var e cleat.Effects
	if r := t.runningRequest(a); r != nil {
		t.concludeAttempt(now, r, o, &e)
	}
	e.Add(t.planOffers(now))
	return e
}

// runningRequest returns the request whose current attempt is a, or nil.
func (t *Table) runningRequest(a cleat.Attempt) *request {
	r, ok := t.requests[a.Request]
	if !ok || r.phase != phaseRunning || r.attempt != a.Number {
		return nil
	}
	return r
}

func (t *Table) concludeAttempt(now time.Time, r *request, o cleat.Outcome, e *cleat.Effects) {
	switch o.Kind {
	case cleat.OutcomeDone:
		t.costs.Learn(&r.work, o.Usage.Cost(r.work.Kind))
		r.stream.workspace.served++
		t.leavePhase(now, r)
		t.removeRequest(r)
	case cleat.OutcomeNotRun:
		t.recordFailure(r)
		t.requeue(now, r, t.retryDelay(r), e)
	case cleat.OutcomeCanceled:
		t.endWithRefusal(now, r, cleat.ReasonCallerGone, cleat.RanUnknown, e)
	default:
		t.recordFailure(r)
		t.retryOrRefuse(now, r, o, e)
	}
}

// recordFailure records that the request failed at its current upstream.
func (t *Table) recordFailure(r *request) {
	if !r.failedAt(r.upstream) {
		r.failedUpstreams = append(r.failedUpstreams, r.upstream)
	}
}

// retryOrRefuse retries a failed request, or ends it with a refusal when it may not be
// repeated, its answer has started, it was canceled, or its attempts or the retry budget
// are used up. The refusal reports whether any attempt ran, as far as known.
func (t *Table) retryOrRefuse(now time.Time, r *request, o cleat.Outcome, e *cleat.Effects) {
	ran := cleat.RanUnknown
	if r.answerStarted || o.AnswerStarted {
		ran = cleat.RanYes
	}
	reason := cleat.ReasonUpstreamFailed
	if o.Kind == cleat.OutcomeUnknown {
		reason = cleat.ReasonAgentLost
	}
	if o.Reason != "" {
		reason = o.Reason
	}
	if r.earlierRan != cleat.RanYes {
		r.earlierRan = ran
	}
	if !r.work.Repeatable || r.answerStarted || o.AnswerStarted || r.canceled || int(r.attempt) >= t.cfg.MaxAttempts {
		t.endWithRefusal(now, r, reason, r.earlierRan, e)
		return
	}
	if !r.stream.workspace.budget.TrySpend() {
		t.endWithRefusal(now, r, cleat.ReasonRetriesSpent, r.earlierRan, e)
		return
	}
	t.requeue(now, r, t.retryDelay(r), e)
}

// retryDelay returns the delay before a request's next attempt: none for the first retry
// if another upstream serves it, else exponential backoff with jitter.
func (t *Table) retryDelay(r *request) time.Duration {
	if r.attempt <= 1 && t.hasAlternative(r.stream, r) {
		return 0
	}
	d := t.cfg.RetryDelay << min(r.attempt, 16)
	d = min(d, t.cfg.MaxRetryDelay)
	return d/2 + time.Duration(t.rnd.Int63n(int64(d/2)+1))
}

// requeue enqueues a request again after a delay. It refuses the request if its deadline
// passes first, and removes it if it was canceled.
func (t *Table) requeue(now time.Time, r *request, delay time.Duration, e *cleat.Effects) {
	if r.canceled {
		t.leavePhase(now, r)
		t.removeRequest(r)
		return
	}
	if !now.Add(delay).Before(r.work.Deadline) {
		t.endWithRefusal(now, r, cleat.ReasonDeadline, r.ranStatus(), e)
		return
	}
	t.leavePhase(now, r)
	if delay == 0 {
		t.enqueue(now, r)
		return
	}
	r.phase, r.retryAt = phaseDelayed, now.Add(delay)
	t.waiting++
	t.delayed = append(t.delayed, r)
	t.deadlines.Set(r.deadline, float64(r.work.Deadline.UnixNano()))
}

// ranStatus returns whether earlier attempts of a request ran, as far as known.
func (r *request) ranStatus() cleat.Ran {
	if r.earlierRan == "" {
		return cleat.RanNo
	}
	return r.earlierRan
}

// enqueueDueRetries enqueues the delayed requests whose retry is due.
func (t *Table) enqueueDueRetries(now time.Time) {
	for i := 0; i < len(t.delayed); {
		r := t.delayed[i]
		if now.Before(r.retryAt) {
			i++
			continue
		}
		t.leavePhase(now, r)
		t.enqueue(now, r)
	}
}
