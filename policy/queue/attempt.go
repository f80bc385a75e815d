package queue

import (
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/route"
	"marigoldcleat.example/cleat/stand/assert"
)

// avoidHold is how long an agent is not offered a stream again after it granted
// a slot that all waiting requests avoid.
const avoidHold = 250 * time.Millisecond

// Grants uses slots that an agent lent, or declines them.
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
		t.use(now, a, g, &e)
	}
	e.Add(t.plan(now))
	return e
}

func (t *Table) use(now time.Time, a *agent, g cleat.Grant, e *cleat.Effects) {
	s, ok := t.streams[g.Stream]
	var r *request
	if ok {
		r = t.take(a, s, g.Upstream)
	}
	if r == nil {
		if ok {
			a.advert(s).declined(now)
		}
		e.Sends = append(e.Sends, cleat.Send{To: a.id, Message: &cleat.Decline{Incarnation: a.incarnation, Grant: g.ID}})
		return
	}
	t.start(now, a, g, r, e)
}

func (o *advert) declined(now time.Time) {
	o.left = 0
	o.stream.lacking = 0
	if o.stream.waiting > 0 {
		o.heldUntil = now.Add(avoidHold)
	}
}

// take chooses the request that a slot is used for: of the first few, the one
// whose cached prefix saves most there, unless the first was passed over often.
func (t *Table) take(a *agent, s *stream, id cleat.UpstreamID) *request {
	head := s.head()
	if head == nil {
		return nil
	}
	u := a.upstream(id)
	var best *request
	most, seen := -1.0, 0
	for _, r := range s.list {
		if r.phase != phaseWaiting || (r.avoids(id) && t.elsewhere(s, r)) {
			continue
		}
		saving := 0.0
		if u != nil {
			saving = route.Saving(u.matched(r.work.Prefix))
		}
		if saving > most {
			best, most = r, saving
		}
		if seen++; seen >= t.cfg.ReorderWindow || head.skipped >= t.cfg.MaxSkips {
			break
		}
	}
	if best != nil && best != head {
		head.skipped++
	}
	return best
}

func (r *request) avoids(id cleat.UpstreamID) bool {
	for _, other := range r.avoid {
		if other == id {
			return true
		}
	}
	return false
}

// elsewhere reports whether an upstream that has not failed the request serves it.
func (t *Table) elsewhere(s *stream, r *request) bool {
	for _, a := range t.order {
		if !a.up {
			continue
		}
		for _, u := range a.upstreams {
			if u.serves(s.pool.key) && !r.avoids(u.state.Upstream) {
				return true
			}
		}
	}
	return false
}

func (t *Table) start(now time.Time, a *agent, g cleat.Grant, r *request, e *cleat.Effects) {
	if r.phase != phaseWaiting || r.agent != nil {
		assert.Fail("one-live-attempt", "%s is in phase %d", r.work.ID, r.phase)
		return
	}
	s := r.stream
	t.leave(now, r)
	r.phase, r.agent, r.upstream, r.incarnation = phaseRunning, a, g.Upstream, a.incarnation
	r.attempt++
	r.work.Estimate = t.costs.Estimate(&r.work)
	r.started, r.begun = now, false
	t.running++
	s.workspace.running++
	a.attempts[r.work.ID] = r
	if o, ok := a.adverts[s]; ok {
		o.left = max(0, o.left-1)
		s.lacking = 0
	}
	if u := a.upstream(g.Upstream); u != nil {
		u.started++
	}
	s.pace.dispatched(now, t.cfg.PaceWindow)
	e.Starts = append(e.Starts, cleat.Start{
		Work: r.work, Attempt: r.current(), Agent: a.id,
		Incarnation: a.incarnation, Grant: g, Share: s.workspace.share,
	})
}

// NotSent puts back a request whose dispatch the link refused whole.
func (t *Table) NotSent(now time.Time, a cleat.Attempt) cleat.Effects {
	var e cleat.Effects
	if r := t.live(a); r != nil {
		t.again(now, r, 0, &e)
	}
	e.Add(t.plan(now))
	return e
}

// Refused takes in that an agent did not take a dispatch. RanYes is the answer
// to a second copy and changes nothing.
func (t *Table) Refused(now time.Time, from cleat.InstanceID, m *cleat.Refused) cleat.Effects {
	var e cleat.Effects
	r := t.live(m.Attempt)
	if r == nil || r.agent.id != from || m.Ran == cleat.RanYes {
		return e
	}
	doubtful := r.incarnation != r.agent.incarnation || now.Sub(r.started) > t.cfg.TrustRefusals || r.begun
	if m.Ran == cleat.RanNo && !doubtful {
		t.again(now, r, 0, &e)
	} else {
		t.conclude(now, r, cleat.Outcome{Kind: cleat.OutcomeUnknown, Reason: cleat.ReasonAgentLost, AnswerStarted: r.begun}, &e)
	}
	e.Add(t.plan(now))
	return e
}

// Begun notes that an answer began to reach its caller; it is not retried any more.
func (t *Table) Begun(_ time.Time, a cleat.Attempt) {
	if r := t.live(a); r != nil {
		r.begun = true
	}
}

// Finished takes in how an attempt ended.
func (t *Table) Finished(now time.Time, a cleat.Attempt, o cleat.Outcome) cleat.Effects {
	var e cleat.Effects
	if r := t.live(a); r != nil {
		t.conclude(now, r, o, &e)
	}
	e.Add(t.plan(now))
	return e
}

// live returns the request whose present attempt is a, or nil.
func (t *Table) live(a cleat.Attempt) *request {
	r, ok := t.requests[a.Request]
	if !ok || r.phase != phaseRunning || r.attempt != a.Number {
		return nil
	}
	return r
}

func (t *Table) conclude(now time.Time, r *request, o cleat.Outcome, e *cleat.Effects) {
	switch o.Kind {
	case cleat.OutcomeDone:
		t.costs.Learn(&r.work, o.Usage.Cost(r.work.Kind))
		r.stream.workspace.served++
		t.leave(now, r)
		t.forget(r)
	case cleat.OutcomeNotRun:
		t.failed(r)
		t.again(now, r, t.delay(r), e)
	case cleat.OutcomeCanceled:
		t.end(now, r, cleat.ReasonCallerGone, cleat.RanUnknown, e)
	default:
		t.failed(r)
		t.retry(now, r, o, e)
	}
}

// failed remembers that an upstream failed a request.
func (t *Table) failed(r *request) {
	if !r.avoids(r.upstream) {
		r.avoid = append(r.avoid, r.upstream)
	}
}

// retry tries a failed request again, or refuses it with what is known.
func (t *Table) retry(now time.Time, r *request, o cleat.Outcome, e *cleat.Effects) {
	ran := cleat.RanUnknown
	if r.begun || o.AnswerStarted {
		ran = cleat.RanYes
	}
	reason := cleat.ReasonUpstreamFailed
	if o.Kind == cleat.OutcomeUnknown {
		reason = cleat.ReasonAgentLost
	}
	if o.Reason != "" {
		reason = o.Reason
	}
	if r.earlier != cleat.RanYes {
		r.earlier = ran
	}
	if !r.work.Repeatable || r.begun || o.AnswerStarted || r.canceled || int(r.attempt) >= t.cfg.MaxAttempts {
		t.end(now, r, reason, r.earlier, e)
		return
	}
	if !r.stream.workspace.budget.Take() {
		t.end(now, r, cleat.ReasonRetriesSpent, r.earlier, e)
		return
	}
	t.again(now, r, t.delay(r), e)
}

// delay is how long a request waits before its next attempt: not at all when
// an upstream that has not failed it serves it.
func (t *Table) delay(r *request) time.Duration {
	if r.attempt <= 1 && t.elsewhere(r.stream, r) {
		return 0
	}
	d := t.cfg.RetryDelay << min(r.attempt, 16)
	d = min(d, t.cfg.MaxRetryDelay)
	return d/2 + time.Duration(t.rnd.Int63n(int64(d/2)+1))
}

// again makes a request wait once more, if its deadline allows it.
func (t *Table) again(now time.Time, r *request, delay time.Duration, e *cleat.Effects) {
	if r.canceled {
		t.leave(now, r)
		t.forget(r)
		return
	}
	if !now.Add(delay).Before(r.work.Deadline) {
		t.end(now, r, cleat.ReasonDeadline, r.ran(), e)
		return
	}
	t.leave(now, r)
	if delay == 0 {
		t.enqueue(now, r)
		return
	}
	r.phase, r.due = phaseDelayed, now.Add(delay)
	t.waiting++
	t.delayed = append(t.delayed, r)
	t.deadlines.Set(r.deadline, float64(r.work.Deadline.UnixNano()))
}

// ran tells what is known of the attempts of a request that waits.
func (r *request) ran() cleat.Ran {
	if r.earlier == "" {
		return cleat.RanNo
	}
	return r.earlier
}

// resubmit queues the delayed requests that are due.
func (t *Table) resubmit(now time.Time) {
	for i := 0; i < len(t.delayed); {
		r := t.delayed[i]
		if now.Before(r.due) {
			i++
			continue
		}
		t.leave(now, r)
		t.enqueue(now, r)
	}
}
