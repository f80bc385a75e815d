package claim

import (
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/assert"
)

// Table is the claims of the fleet: equal commands in equal order give equal
// tables and results. It is not safe for concurrent use.
type Table struct {
	elapsed      time.Duration
	claims       map[name]*entry
	running      map[cleat.InstanceID]map[name]*entry
	incarnations map[cleat.InstanceID]cleat.Incarnation // Newest seen of each holder.
	settling     uint64
	settled      []settlement // By time.
	bodies       []settlement // Done claims with a recorded body, by time.
	bodyBytes    int
}

// settlement points to a claim as it was settled once; the claim may have moved on.
type settlement struct {
	name    name
	settled uint64
	at      time.Duration
}

// NewTable returns a table without claims.
func NewTable() *Table {
	return &Table{
		claims:       make(map[name]*entry),
		running:      make(map[cleat.InstanceID]map[name]*entry),
		incarnations: make(map[cleat.InstanceID]cleat.Incarnation),
	}
}

// Len returns how many claims are kept.
func (t *Table) Len() int { return len(t.claims) }

// Running returns how many claims wait for their outcome.
func (t *Table) Running() int {
	n := 0
	for _, held := range t.running {
		n += len(held)
	}
	return n
}

// Holders returns the incarnations that hold running claims, in no order.
func (t *Table) Holders() map[Holder]int {
	holders := make(map[Holder]int)
	for _, held := range t.running {
		for _, e := range held {
			holders[e.holder]++
		}
	}
	return holders
}

// Elapsed returns the time up to which control has run.
func (t *Table) Elapsed() time.Duration { return t.elapsed }

// Apply carries out a committed command.
func (t *Table) Apply(c Command) cleat.ClaimResult {
	t.elapsed = max(t.elapsed, c.Elapsed)
	t.expire()
	switch {
	case c.Claim != nil:
		r := t.claim(c.Holder, c.Claim)
		r.Call = c.Claim.Call
		return r
	case c.Outcome != nil:
		r := t.record(c.Outcome)
		r.Call = c.Outcome.Call
		return r
	case c.Lost:
		t.lose(c.Holder.Instance, c.Holder.Incarnation)
	case c.Tick:
		t.doubtOverdue()
	}
	return cleat.ClaimResult{}
}

func (t *Table) claim(h Holder, c *cleat.Claim) cleat.ClaimResult {
	if !t.noteIncarnation(h) {
		return cleat.ClaimResult{State: cleat.ClaimNoQuorum}
	}
	n := name{c.Workspace, c.Key}
	e, ok := t.claims[n]
	switch {
	case !ok:
		return t.grantNew(n, h, c)
	case e.state == stateFree && e.hasAbandoned(c.Request):
		return cleat.ClaimResult{State: cleat.ClaimInDoubt}
	case e.state == stateFree:
		t.grant(n, e, h, c)
		return cleat.ClaimResult{State: cleat.ClaimGranted}
	case e.digest != string(c.Digest):
		return cleat.ClaimResult{State: e.state.public(), Mismatch: true}
	case e.state == stateRunning && e.request == c.Request && e.holder == h:
		return cleat.ClaimResult{State: cleat.ClaimGranted}
	}
	return cleat.ClaimResult{State: e.state.public(), Answer: e.answer}
}

// noteIncarnation settles the claims of the holder's earlier lives and reports
// whether h is its newest one.
func (t *Table) noteIncarnation(h Holder) bool {
	newest := t.incarnations[h.Instance]
	if h.Incarnation < newest {
		return false
	}
	if h.Incarnation > newest {
		t.incarnations[h.Instance] = h.Incarnation
		t.lose(h.Instance, h.Incarnation-1)
	}
	return true
}

func (t *Table) grantNew(n name, h Holder, c *cleat.Claim) cleat.ClaimResult {
	if len(t.claims) >= MaxClaims {
		return cleat.ClaimResult{State: cleat.ClaimNoQuorum}
	}
	e := new(entry)
	t.claims[n] = e
	t.grant(n, e, h, c)
	return cleat.ClaimResult{State: cleat.ClaimGranted}
}

func (t *Table) grant(n name, e *entry, h Holder, c *cleat.Claim) {
	if e.state == stateRunning || e.state == stateDone || e.state == stateInDoubt {
		assert.Fail("claim.holder", "%s %q is held by request %s and granted to %s", n.workspace, n.key, e.request, c.Request)
	}
	e.state = stateRunning
	e.request, e.holder, e.digest = c.Request, h, string(c.Digest)
	e.since, e.settled = t.elapsed, 0
	e.answer = cleat.RecordedAnswer{}
	t.hold(n, e)
}

func (t *Table) record(o *cleat.ClaimOutcome) cleat.ClaimResult {
	n := name{o.Workspace, o.Key}
	e, ok := t.claims[n]
	if !ok {
		return t.recordUnknown(n, o)
	}
	if e.request != o.Request {
		if o.Outcome == cleat.OutcomeNotRun {
			e.abandon(o.Request)
		}
		return cleat.ClaimResult{State: e.state.public()}
	}
	t.recordOwn(n, e, o)
	return cleat.ClaimResult{State: e.state.public()}
}

// recordUnknown keeps a claim that was abandoned before it was granted from
// being granted to the same request later.
func (t *Table) recordUnknown(n name, o *cleat.ClaimOutcome) cleat.ClaimResult {
	if o.Outcome == cleat.OutcomeNotRun && len(t.claims) < MaxClaims {
		e := new(entry)
		e.abandon(o.Request)
		t.claims[n] = e
		t.settle(n, e, stateFree)
	}
	return cleat.ClaimResult{State: cleat.ClaimInDoubt}
}

func (t *Table) recordOwn(n name, e *entry, o *cleat.ClaimOutcome) {
	switch {
	case o.Outcome == cleat.OutcomeDone && (e.state == stateRunning || e.state == stateInDoubt):
		e.answer = Trim(o.Answer)
		t.settle(n, e, stateDone)
		t.keepBody(n, e)
	case e.state != stateRunning:
		return
	case o.Outcome == cleat.OutcomeNotRun:
		e.abandon(o.Request)
		t.settle(n, e, stateFree)
	default:
		t.settle(n, e, stateInDoubt)
	}
}

// settle ends a claim's run and starts its retention.
func (t *Table) settle(n name, e *entry, s state) {
	t.release(n, e)
	t.settling++
	e.state, e.since, e.settled = s, t.elapsed, t.settling
	t.settled = append(t.settled, settlement{name: n, settled: e.settled, at: t.elapsed})
}

func (t *Table) release(n name, e *entry) {
	held := t.running[e.holder.Instance]
	delete(held, n)
	if len(held) == 0 {
		delete(t.running, e.holder.Instance)
	}
}

// keepBody bounds all recorded bodies by cutting the oldest.
func (t *Table) keepBody(n name, e *entry) {
	if len(e.answer.Body) == 0 {
		return
	}
	t.bodies = append(t.bodies, settlement{name: n, settled: e.settled, at: e.since})
	t.bodyBytes += len(e.answer.Body)
	for t.bodyBytes > MaxAnswerBytes {
		t.cutOldestBody()
	}
}

func (t *Table) cutOldestBody() {
	oldest := t.bodies[0]
	t.bodies = t.bodies[1:]
	e, ok := t.claims[oldest.name]
	if !ok || e.settled != oldest.settled {
		return
	}
	t.bodyBytes -= len(e.answer.Body)
	e.answer.Body, e.answer.BodyOmitted = nil, true
}

// lose puts the claims of a holder's lives up to an incarnation in doubt.
func (t *Table) lose(id cleat.InstanceID, upTo cleat.Incarnation) {
	t.doubt(t.running[id], func(e *entry) bool { return e.holder.Incarnation <= upTo })
}

func (t *Table) doubtOverdue() {
	for _, id := range t.holderIDs() {
		t.doubt(t.running[id], func(e *entry) bool { return e.since+MaxRunning <= t.elapsed })
	}
}

// doubt settles the chosen claims in the order of their names, so that replicas agree.
func (t *Table) doubt(held map[name]*entry, choose func(*entry) bool) {
	var names []name
	for n, e := range held {
		if choose(e) {
			names = append(names, n)
		}
	}
	sortNames(names)
	for _, n := range names {
		t.settle(n, t.claims[n], stateInDoubt)
	}
}

// retention is how long outcomes are kept now: a full table gives up old
// outcomes rather than refuse new claims.
func (t *Table) retention() time.Duration {
	if len(t.claims) >= MaxClaims {
		return LeastRetention
	}
	return Retention
}

// expire forgets claims whose retention has passed.
func (t *Table) expire() {
	for len(t.bodies) > 0 && t.bodies[0].at+Retention <= t.elapsed {
		t.bodies = t.bodies[1:]
	}
	for len(t.settled) > 0 && t.settled[0].at+t.retention() <= t.elapsed {
		oldest := t.settled[0]
		t.settled = t.settled[1:]
		e, ok := t.claims[oldest.name]
		if !ok || e.settled != oldest.settled {
			continue
		}
		t.bodyBytes -= len(e.answer.Body)
		delete(t.claims, oldest.name)
	}
}
