package slots

import (
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/assert"
)

// run is an attempt on an upstream.
type run struct {
	attempt    cleat.Attempt
	flow       *flow
	upstream   *upstream
	share      float64 // At dispatch; later changes apply to later attempts.
	estimate   cleat.Cost
	used       cleat.Cost
	rest       cleat.Cost // Expected beyond used.
	started    time.Time
	lastTokens uint64
	lastAt     time.Time // Of the last progress with tokens.
	repeatable bool
}

// Dispatch takes the request that a grant was used for: it returns the upstream
// to run it on, or what to answer. RanYes in the answer means a second copy of
// an attempt that is known, which changes nothing.
func (t *Table) Dispatch(now time.Time, from cleat.InstanceID, m *cleat.Dispatch) (cleat.UpstreamID, *cleat.Refused) {
	if _, ok := t.runs[m.Attempt]; ok {
		return "", refused(m.Attempt, cleat.RanYes)
	}
	if ran, ok := t.past.recall(m.Attempt); ok {
		return "", refused(m.Attempt, ran)
	}
	g, ok := t.grants[m.Grant]
	if !ok || !t.usable(g, from, m) {
		t.past.add(now, m.Attempt, cleat.RanNo)
		return "", refused(m.Attempt, cleat.RanNo)
	}
	f := g.offer.lane.flow
	if g.counted {
		g.offer.waiting = max(0, g.offer.waiting-1)
	}
	t.release(g)
	t.begin(now, f, g.upstream, m)
	return g.upstream.id, nil
}

func (t *Table) usable(g *grant, from cleat.InstanceID, m *cleat.Dispatch) bool {
	return m.Incarnation == t.self.Incarnation && g.offer.entry.id == from &&
		g.offer.stream == m.Stream && !g.upstream.leaving && !g.upstream.gone
}

func (t *Table) begin(now time.Time, f *flow, u *upstream, m *cleat.Dispatch) {
	r := &run{
		attempt: m.Attempt, flow: f, upstream: u, share: m.Share, estimate: max(m.Estimate, 1),
		started: now, lastAt: now, repeatable: m.Repeatable,
	}
	if r.share <= 0 {
		r.share = f.share
	}
	t.runs[m.Attempt] = r
	u.running++
	f.running++
	u.limiter.Started(now, u.running)
	u.learnPrefix(m.Prefix, t.cfg.MaxPrefixes)
	t.account(r, 0, r.estimate)
}

// account books what a running attempt used so far and is expected to use yet.
func (t *Table) account(r *run, used, rest cleat.Cost) {
	used = max(used, r.used)
	f := r.flow
	more, change := float64(used-r.used)/r.share, float64(rest-r.rest)/r.share
	r.used, r.rest = used, rest
	f.used += more
	f.rest += change
	t.book.Charge(f.account, more)
	t.book.Expect(f.account, change)
	t.audit(f)
	t.place(f)
}

// Void makes sure that an attempt which this agent does not run never starts
// here, and tells whether it ran.
func (t *Table) Void(now time.Time, a cleat.Attempt) cleat.Ran {
	if _, ok := t.runs[a]; ok {
		return cleat.RanYes
	}
	if ran, ok := t.past.recall(a); ok {
		return ran
	}
	if t.past.lossy(now) {
		return cleat.RanUnknown
	}
	t.past.add(now, a, cleat.RanNo)
	return cleat.RanNo
}

// FirstToken notes that an attempt's answer began.
func (t *Table) FirstToken(now time.Time, a cleat.Attempt) {
	r, ok := t.runs[a]
	if !ok {
		return
	}
	r.upstream.limiter.FirstToken(now, now.Sub(r.started))
	r.lastAt = now
}

// Progress accounts what a running attempt used so far, and expects a part of
// that beyond it once it outran its estimate.
func (t *Table) Progress(now time.Time, a cleat.Attempt, u cleat.Usage) {
	r, ok := t.runs[a]
	if !ok {
		return
	}
	if u.OutputTokens > r.lastTokens {
		if r.lastTokens > 0 {
			r.upstream.limiter.Tokens(now, u.OutputTokens-r.lastTokens, now.Sub(r.lastAt))
		}
		r.lastTokens, r.lastAt = u.OutputTokens, now
	}
	used := u.Cost(r.upstream.kind)
	t.account(r, used, max(r.estimate-used, used*cleat.Cost(t.cfg.ChargeAhead)))
}

// Finish accounts an ended attempt, frees its slot and grants it anew.
func (t *Table) Finish(now time.Time, a cleat.Attempt, o cleat.Outcome) cleat.Effects {
	r, ok := t.runs[a]
	if !ok {
		return cleat.Effects{}
	}
	used := o.Usage.Cost(r.upstream.kind)
	if o.Kind == cleat.OutcomeNotRun {
		used = 0
	}
	t.account(r, used, 0)
	t.end(now, r, o)
	return t.grant(now)
}

func (t *Table) end(now time.Time, r *run, o cleat.Outcome) {
	delete(t.runs, r.attempt)
	ran := cleat.RanYes
	if o.Kind == cleat.OutcomeNotRun {
		ran = cleat.RanNo
	}
	t.past.add(now, r.attempt, ran)
	u := r.upstream
	u.running--
	r.flow.running--
	if u.running < 0 || r.flow.running < 0 {
		assert.Fail("slot-granted-once", "%s runs %d, %s runs %d", u.id, u.running, r.flow.id, r.flow.running)
	}
	switch {
	case o.Kind == cleat.OutcomeDone:
		r.flow.served++
		u.limiter.Done(now, now.Sub(r.started))
	case blamed(o):
		u.limiter.Failed(now)
	}
	if u.gone && u.running == 0 {
		t.removeUpstream(u)
	}
}

func refused(a cleat.Attempt, ran cleat.Ran) *cleat.Refused {
	return &cleat.Refused{Attempt: a, Reason: cleat.ReasonStaleGrant, Ran: ran}
}

// blamed reports whether an outcome is the upstream's failure: it also is one
// when no connection to it was had, but not when the caller's time ran out.
func blamed(o cleat.Outcome) bool {
	if o.Kind == cleat.OutcomeFailed {
		return o.Reason != cleat.ReasonDeadline
	}
	return o.Reason == cleat.ReasonUpstreamFailed
}
