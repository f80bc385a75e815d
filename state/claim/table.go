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
	claims          map[claimKey]*tableEntry
	running         map[cleat.InstanceID]map[claimKey]*tableEntry
	incarnations    map[cleat.InstanceID]cleat.Incarnation // Newest incarnation seen of each holder.
	lastSettleSeq   uint64
	settlements     []settlement // In order of time.
	bodySettlements []settlement // Of done claims with a recorded body, in order of time.
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
		claims:       make(map[claimKey]*tableEntry),
		running:      make(map[cleat.InstanceID]map[claimKey]*tableEntry),
		incarnations: make(map[cleat.InstanceID]cleat.Incarnation),
	}
}

// Len returns how many claims are kept.
func (t *Table) Len() int { return len(t.claims) }

// Running returns how many claims are granted and not yet settled.
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
	k := claimKey{c.Workspace, c.Key}
	e, ok := t.claims[k]
	switch {
	case !ok:
		return t.addGranted(k, h, c)
	case e.state == stateFree && e.hasAbandoned(c.Request):
		return cleat.ClaimResult{State: cleat.ClaimInDoubt}
	case e.state == stateFree:
		t.grant(k, e, h, c)
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

func (t *Table) addGranted(k claimKey, h Holder, c *cleat.Claim) cleat.ClaimResult {
	if len(t.claims) >= MaxClaims {
		return cleat.ClaimResult{State: cleat.ClaimNoQuorum}
	}
	e := new(tableEntry)
	t.claims[k] = e
	t.grant(k, e, h, c)
	return cleat.ClaimResult{State: cleat.ClaimGranted}
}

func (t *Table) grant(k claimKey, e *tableEntry, h Holder, c *cleat.Claim) {
	if e.state == stateRunning || e.state == stateDone || e.state == stateInDoubt {
		assert.Fail("claim.holder", "%s %q is held by request %s and granted to %s", k.workspace, k.key, e.request, c.Request)
	}
	e.state = stateRunning
	e.request, e.holder, e.digest = c.Request, h, string(c.Digest)
	e.since, e.settleSeq = t.elapsed, 0
	e.answer = cleat.RecordedAnswer{}
	t.addRunning(k, e)
}

func (t *Table) recordOutcome(o *cleat.ClaimOutcome) cleat.ClaimResult {
	k := claimKey{o.Workspace, o.Key}
	e, ok := t.claims[k]
	if !ok {
		return t.recordUnclaimed(k, o)
	}
	if e.request != o.Request {
		if o.Outcome == cleat.OutcomeNotRun {
			e.addAbandoned(o.Request)
		}
		return cleat.ClaimResult{State: e.state.claimState()}
	}
	t.recordOwnOutcome(k, e, o)
	return cleat.ClaimResult{State: e.state.claimState()}
}

// recordUnclaimed records a request that was abandoned before its claim arrived,
// so that the claim is not granted when it arrives later.
func (t *Table) recordUnclaimed(k claimKey, o *cleat.ClaimOutcome) cleat.ClaimResult {
	if o.Outcome == cleat.OutcomeNotRun && len(t.claims) < MaxClaims {
		e := new(tableEntry)
		e.addAbandoned(o.Request)
		t.claims[k] = e
		t.settle(k, e, stateFree)
	}
	return cleat.ClaimResult{State: cleat.ClaimInDoubt}
}

func (t *Table) recordOwnOutcome(k claimKey, e *tableEntry, o *cleat.ClaimOutcome) {
	switch {
	case o.Outcome == cleat.OutcomeDone && (e.state == stateRunning || e.state == stateInDoubt):
		e.answer = TrimAnswer(o.Answer)
		t.settle(k, e, stateDone)
		t.retainBody(k, e)
	case e.state != stateRunning:
		return
	case o.Outcome == cleat.OutcomeNotRun:
		e.addAbandoned(o.Request)
		t.settle(k, e, stateFree)
	default:
		t.settle(k, e, stateInDoubt)
	}
}

// settle removes a claim from the running ones and starts its retention.
func (t *Table) settle(k claimKey, e *tableEntry, s state) {
	t.removeRunning(k, e)
	t.lastSettleSeq++
	e.state, e.since, e.settleSeq = s, t.elapsed, t.lastSettleSeq
	t.settlements = append(t.settlements, settlement{key: k, seq: e.settleSeq, at: t.elapsed})
}

func (t *Table) removeRunning(k claimKey, e *tableEntry) {
	held := t.running[e.holder.Instance]
	delete(held, k)
	if len(held) == 0 {
		delete(t.running, e.holder.Instance)
	}
}

// retainBody adds the body to the recorded ones and omits the oldest while the total
// exceeds MaxTotalBodyBytes.
func (t *Table) retainBody(k claimKey, e *tableEntry) {
	if len(e.answer.Body) == 0 {
		return
	}
	t.bodySettlements = append(t.bodySettlements, settlement{key: k, seq: e.settleSeq, at: e.since})
	t.bodyBytes += len(e.answer.Body)
	for t.bodyBytes > MaxTotalBodyBytes {
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

// markLostInDoubt puts the running claims of a holder's incarnations up to and
// including lastLost in doubt.
func (t *Table) markLostInDoubt(id cleat.InstanceID, lastLost cleat.Incarnation) {
	t.settleInDoubt(t.running[id], func(e *tableEntry) bool { return e.holder.Incarnation <= lastLost })
}

func (t *Table) markOverdueInDoubt() {
	for _, id := range t.holderIDs() {
		t.settleInDoubt(t.running[id], func(e *tableEntry) bool { return e.since+MaxRunTime <= t.elapsed })
	}
}

// settleInDoubt settles the matching claims in the order of their keys, so that
// replicas agree.
func (t *Table) settleInDoubt(held map[claimKey]*tableEntry, match func(*tableEntry) bool) {
	var keys []claimKey
	for k, e := range held {
		if match(e) {
			keys = append(keys, k)
		}
	}
	sortKeys(keys)
	for _, k := range keys {
		t.settle(k, t.claims[k], stateInDoubt)
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
