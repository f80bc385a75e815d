package slots

import (
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/assert"
)

// run is an attempt that runs on an upstream.
type run struct {
	attempt        cleat.Attempt
	flow           *flow
	upstream       *upstream
	share          float64 // At dispatch; later changes apply to later attempts.
	estimate       cleat.Cost
	used           cleat.Cost
	expected       cleat.Cost // Expected further cost, beyond used.
	started        time.Time
	lastTokenCount uint64
	lastTokensAt   time.Time // Time of the first token or of the last progress with new tokens.
	repeatable     bool
}

// AcceptDispatch starts an attempt that uses a grant: it returns the upstream to run
// it on, or the refusal to send. A refusal with RanYes means that the message is
// a duplicate for an attempt that runs or ran here; it changes nothing.
func (t *Table) AcceptDispatch(now time.Time, from cleat.InstanceID, m *cleat.Dispatch) (cleat.UpstreamID, *cleat.Refused) {
	if _, ok := t.runs[m.Attempt]; ok {
		return "", staleGrantRefusal(m.Attempt, cleat.RanYes)
	}
	if ran, ok := t.history.lookup(m.Attempt); ok {
		return "", staleGrantRefusal(m.Attempt, ran)
	}
	g, ok := t.grants[m.Grant]
	if !ok || !t.isUsable(g, from, m) {
		t.history.record(now, m.Attempt, cleat.RanNo)
		return "", staleGrantRefusal(m.Attempt, cleat.RanNo)
	}
	f := g.offer.queue.flow
	if g.unseen {
		g.offer.waiting = max(0, g.offer.waiting-1)
	}
	t.releaseGrant(g)
	t.startRun(now, f, g.upstream, m)
	return g.upstream.id, nil
}

func (t *Table) isUsable(g *grant, from cleat.InstanceID, m *cleat.Dispatch) bool {
	return m.Incarnation == t.self.Incarnation && g.offer.entry.id == from &&
		g.offer.stream == m.Stream && !g.upstream.leaving && !g.upstream.timedOut
}

func (t *Table) startRun(now time.Time, f *flow, u *upstream, m *cleat.Dispatch) {
	r := &run{
		attempt: m.Attempt, flow: f, upstream: u, share: m.Share, estimate: max(m.Estimate, 1),
		started: now, lastTokensAt: now, repeatable: m.Repeatable,
	}
	if r.share <= 0 {
		r.share = f.share
	}
	t.runs[m.Attempt] = r
	u.running++
	f.running++
	u.limiter.RecordStart(now, u.running)
	u.addPrefixes(m.Prefix, t.cfg.MaxPrefixes)
	t.accountUsage(r, 0, r.estimate)
}

// accountUsage records what an attempt has used so far and what it is still
// expected to use.
func (t *Table) accountUsage(r *run, used, expected cleat.Cost) {
	used = max(used, r.used)
	f := r.flow
	usedDelta, expectedDelta := float64(used-r.used)/r.share, float64(expected-r.expected)/r.share
	r.used, r.expected = used, expected
	f.usedCost += usedDelta
	f.expectedCost += expectedDelta
	t.ledger.Charge(f.account, usedDelta)
	t.ledger.AddInFlight(f.account, expectedDelta)
	t.checkAccounting(f)
	t.updateKeys(f)
}

// InvalidateAttempt invalidates an attempt that this agent does not run, so that it never
// starts here, and returns whether it ran.
func (t *Table) InvalidateAttempt(now time.Time, a cleat.Attempt) cleat.Ran {
	if _, ok := t.runs[a]; ok {
		return cleat.RanYes
	}
	if ran, ok := t.history.lookup(a); ok {
		return ran
	}
	if t.history.isLossy(now) {
		return cleat.RanUnknown
	}
	t.history.record(now, a, cleat.RanNo)
	return cleat.RanNo
}

// RecordFirstToken records that an attempt's answer began.
func (t *Table) RecordFirstToken(now time.Time, a cleat.Attempt) {
	r, ok := t.runs[a]
	if !ok {
		return
	}
	r.upstream.limiter.RecordFirstToken(now, now.Sub(r.started))
	r.lastTokensAt = now
}

// RecordProgress accounts for what a running attempt has used so far. It is expected to
// use the rest of its estimate, but at least OverrunFraction of its usage so far.
func (t *Table) RecordProgress(now time.Time, a cleat.Attempt, u cleat.Usage) {
	r, ok := t.runs[a]
	if !ok {
		return
	}
	if u.OutputTokens > r.lastTokenCount {
		if r.lastTokenCount > 0 {
			r.upstream.limiter.RecordTokens(now, u.OutputTokens-r.lastTokenCount, now.Sub(r.lastTokensAt))
		}
		r.lastTokenCount, r.lastTokensAt = u.OutputTokens, now
	}
	used := u.Cost(r.upstream.kind)
	t.accountUsage(r, used, max(r.estimate-used, used*cleat.Cost(t.cfg.OverrunFraction)))
}

// FinishAttempt accounts for an ended attempt, frees its slot and grants the slot again.
func (t *Table) FinishAttempt(now time.Time, a cleat.Attempt, o cleat.Outcome) cleat.Effects {
	r, ok := t.runs[a]
	if !ok {
		return cleat.Effects{}
	}
	used := o.Usage.Cost(r.upstream.kind)
	if o.Kind == cleat.OutcomeNotRun {
		used = 0
	}
	t.accountUsage(r, used, 0)
	t.endRun(now, r, o)
	return t.grantFreeSlots(now)
}

func (t *Table) endRun(now time.Time, r *run, o cleat.Outcome) {
	delete(t.runs, r.attempt)
	ran := cleat.RanYes
	if o.Kind == cleat.OutcomeNotRun {
		ran = cleat.RanNo
	}
	t.history.record(now, r.attempt, ran)
	u := r.upstream
	u.running--
	r.flow.running--
	if u.running < 0 || r.flow.running < 0 {
		assert.Fail("slot-granted-once", "negative number of running requests: upstream %s has %d, workspace %s has %d", u.id, u.running, r.flow.id, r.flow.running)
	}
	switch {
	case o.Kind == cleat.OutcomeDone:
		r.flow.served++
		u.limiter.RecordSuccess(now, now.Sub(r.started))
	case isUpstreamFailure(o):
		u.limiter.RecordFailure(now)
	}
	if u.timedOut && u.running == 0 {
		t.removeUpstream(u)
	}
}

func staleGrantRefusal(a cleat.Attempt, ran cleat.Ran) *cleat.Refused {
	return &cleat.Refused{Attempt: a, Reason: cleat.ReasonStaleGrant, Ran: ran}
}

// isUpstreamFailure reports whether an outcome is the upstream's failure. A
// failed connection to it counts as one, an expired caller deadline does not.
func isUpstreamFailure(o cleat.Outcome) bool {
	if o.Kind == cleat.OutcomeFailed {
		return o.Reason != cleat.ReasonDeadline
	}
	return o.Reason == cleat.ReasonUpstreamFailed
}
