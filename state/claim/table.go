package claim

import (
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/assert"
)

// Table holds the claims of the fleet. It is deterministic: equal commands in
// equal order give equal tables and results. It is not safe for concurrent use.
type Table struct {
	elapsed         time.Duration
	claims          map[claimKey]*entry
	running         map[cleat.InstanceID]map[claimKey]*entry
	incarnations    map[cleat.InstanceID]cleat.Incarnation // Newest incarnation seen of each holder.
	lastSettleSeq   uint64
	settlements     []settlement // In order of time.
	bodySettlements []settlement // Done claims with a recorded body, in order of time.
	bodyBytes       int
}

// settlement refers to one settlement of a claim; it is stale when the claim has
// been granted or settled again since.
type settlement struct {
	key claimKey
	seq uint64
	at  time.Duration
}

// NewTable returns a table without claims.
func NewTable() *Table {
	return &Table{
		claims:       make(map[claimKey]*entry),
		running:      make(map[cleat.InstanceID]map[claimKey]*entry),
		incarnations: make(map[cleat.InstanceID]cleat.Incarnation),
	}
}

// Len returns how many claims are kept.
func (t *Table) Len() int { return len(t.claims) }

// Running returns how many claims have no outcome yet.
func (t *Table) Running() int {
	n := 0
	for _, held := range t.running {
		n += len(held)
	}
	return n
}

// Holders returns how many running claims each incarnation holds.
func (t *Table) Holders() map[Holder]int {
	holders := make(map[Holder]int)
	for _, held := range t.running {
		for _, e := range held {
			holders[e.holder]++
		}
	}
	return holders
}

// Elapsed returns the time for which control has run.
func (t *Table) Elapsed() time.Duration { return t.elapsed }

// Apply executes a committed command.
func (t *Table) Apply(c Command) cleat.ClaimResult {
	t.elapsed = max(t.elapsed, c.Elapsed)
	t.expire()
	switch {
	case c.Claim != nil:
		r := t.applyClaim(c.Holder, c.Claim)
		r.Call = c.Claim.Call
		return r
	case c.Outcome != nil:
		r := t.recordOutcome(c.Outcome)
		r.Call = c.Outcome.Call
		return r
	case c.Lost:
		t.markLostInDoubt(c.Holder.Instance, c.Holder.Incarnation)
	case c.Tick:
		t.markOverdueInDoubt()
	}
	return cleat.ClaimResult{}
}

func (t *Table) applyClaim(h Holder, c *cleat.Claim) cleat.ClaimResult {
	if !t.registerIncarnation(h) {
		return cleat.ClaimResult{State: cleat.ClaimNoQuorum}
	}
	n := claimKey{c.Workspace, c.Key}
	e, ok := t.claims[n]
	switch {
	case !ok:
		return t.addGranted(n, h, c)
	case e.state == stateFree && e.hasAbandoned(c.Request):
		return cleat.ClaimResult{State: cleat.ClaimInDoubt}
	case e.state == stateFree:
		t.grant(n, e, h, c)
		return cleat.ClaimResult{State: cleat.ClaimGranted}
	case e.digest != string(c.Digest):
		return cleat.ClaimResult{State: e.state.claimState(), Mismatch: true}
	case e.state == stateRunning && e.request == c.Request && e.holder == h:
		return cleat.ClaimResult{State: cleat.ClaimGranted}
	}
	return cleat.ClaimResult{State: e.state.claimState(), Answer: e.answer}
}

// registerIncarnation settles the claims of the holder's earlier incarnations
// and reports whether h is its newest one.
func (t *Table) registerIncarnation(h Holder) bool {
	newest := t.incarnations[h.Instance]
	if h.Incarnation < newest {
		return false
	}
	if h.Incarnation > newest {
		t.incarnations[h.Instance] = h.Incarnation
		t.markLostInDoubt(h.Instance, h.Incarnation-1)
	}
	return true
}

func (t *Table) addGranted(n claimKey, h Holder, c *cleat.Claim) cleat.ClaimResult {
	if len(t.claims) >= MaxClaims {
		return cleat.ClaimResult{State: cleat.ClaimNoQuorum}
	}
	e := new(entry)
	t.claims[n] = e
	t.grant(n, e, h, c)
	return cleat.ClaimResult{State: cleat.ClaimGranted}
}

func (t *Table) grant(n claimKey, e *entry, h Holder, c *cleat.Claim) {
	if e.state == stateRunning || e.state == stateDone || e.state == stateInDoubt {
		assert.Fail("claim.holder", "%s %q is held by request %s and granted to %s", n.workspace, n.key, e.request, c.Request)
	}
	e.state = stateRunning
	e.request, e.holder, e.digest = c.Request, h, string(c.Digest)
	e.since, e.settleSeq = t.elapsed, 0
	e.answer = cleat.RecordedAnswer{}
	t.addRunning(n, e)
}

func (t *Table) recordOutcome(o *cleat.ClaimOutcome) cleat.ClaimResult {
	n := claimKey{o.Workspace, o.Key}
	e, ok := t.claims[n]
	if !ok {
		return t.recordUnclaimed(n, o)
	}
	if e.request != o.Request {
		if o.Outcome == cleat.OutcomeNotRun {
			e.addAbandoned(o.Request)
		}
		return cleat.ClaimResult{State: e.state.claimState()}
	}
	t.recordOwnOutcome(n, e, o)
	return cleat.ClaimResult{State: e.state.claimState()}
}

// recordUnclaimed records a request that was abandoned before its claim arrived,
// so that the claim is not granted when it arrives later.
func (t *Table) recordUnclaimed(n claimKey, o *cleat.ClaimOutcome) cleat.ClaimResult {
	if o.Outcome == cleat.OutcomeNotRun && len(t.claims) < MaxClaims {
		e := new(entry)
		e.addAbandoned(o.Request)
		t.claims[n] = e
		t.settle(n, e, stateFree)
	}
	return cleat.ClaimResult{State: cleat.ClaimInDoubt}
}

func (t *Table) recordOwnOutcome(n claimKey, e *entry, o *cleat.ClaimOutcome) {
	switch {
	case o.Outcome == cleat.OutcomeDone && (e.state == stateRunning || e.state == stateInDoubt):
		e.answer = TrimAnswer(o.Answer)
		t.settle(n, e, stateDone)
		t.retainBody(n, e)
	case e.state != stateRunning:
		return
	case o.Outcome == cleat.OutcomeNotRun:
		e.addAbandoned(o.Request)
		t.settle(n, e, stateFree)
	default:
		t.settle(n, e, stateInDoubt)
	}
}

// settle takes a claim out of the running ones and starts its retention.
func (t *Table) settle(n claimKey, e *entry, s state) {
	t.removeRunning(n, e)
	t.lastSettleSeq++
	e.state, e.since, e.settleSeq = s, t.elapsed, t.lastSettleSeq
	t.settlements = append(t.settlements, settlement{key: n, seq: e.settleSeq, at: t.elapsed})
}

func (t *Table) removeRunning(n claimKey, e *entry) {
	held := t.running[e.holder.Instance]
	delete(held, n)
	if len(held) == 0 {
		delete(t.running, e.holder.Instance)
	}
}

// retainBody adds the body to the recorded ones and omits the oldest bodies while
// they exceed MaxAnswerBytes.
func (t *Table) retainBody(n claimKey, e *entry) {
	if len(e.answer.Body) == 0 {
		return
	}
	t.bodySettlements = append(t.bodySettlements, settlement{key: n, seq: e.settleSeq, at: e.since})
	t.bodyBytes += len(e.answer.Body)
	for t.bodyBytes > MaxAnswerBytes {
		t.omitOldestBody()
	}
}

func (t *Table) omitOldestBody() {
	oldest := t.bodySettlements[0]
	t.bodySettlements = t.bodySettlements[1:]
	e, ok := t.claims[oldest.key]
	if !ok || e.settleSeq != oldest.seq {
		return
	}
	t.bodyBytes -= len(e.answer.Body)
	e.answer.Body, e.answer.BodyOmitted = nil, true
}

// markLostInDoubt puts the claims of a holder's incarnations up to upTo in
// doubt.
func (t *Table) markLostInDoubt(id cleat.InstanceID, upTo cleat.Incarnation) {
	t.settleInDoubt(t.running[id], func(e *entry) bool { return e.holder.Incarnation <= upTo })
}

func (t *Table) markOverdueInDoubt() {
	for _, id := range t.holderIDs() {
		t.settleInDoubt(t.running[id], func(e *entry) bool { return e.since+MaxRunTime <= t.elapsed })
	}
}

// settleInDoubt settles the matching claims in the order of their keys, so that
// replicas agree.
func (t *Table) settleInDoubt(held map[claimKey]*entry, match func(*entry) bool) {
	var keys []claimKey
	for n, e := range held {
		if match(e) {
			keys = append(keys, n)
		}
	}
	sortKeys(keys)
	for _, n := range keys {
		t.settle(n, t.claims[n], stateInDoubt)
	}
}

// currentRetention returns how long outcomes are kept: a full table expires
// outcomes after MinRetention, so that it can accept new claims.
func (t *Table) currentRetention() time.Duration {
	if len(t.claims) >= MaxClaims {
		return MinRetention
	}
	return Retention
}

// expire removes claims whose retention has passed.
func (t *Table) expire() {
	for len(t.bodySettlements) > 0 && t.bodySettlements[0].at+Retention <= t.elapsed {
		t.bodySettlements = t.bodySettlements[1:]
	}
	for len(t.settlements) > 0 && t.settlements[0].at+t.currentRetention() <= t.elapsed {
		oldest := t.settlements[0]
		t.settlements = t.settlements[1:]
		e, ok := t.claims[oldest.key]
		if !ok || e.settleSeq != oldest.seq {
			continue
		}
		t.bodyBytes -= len(e.answer.Body)
		delete(t.claims, oldest.key)
	}
}
