package entry

import (
	"sync"
	"time"

	"marigoldcleat.example/cleat"
)

// call is one request between its submission and the end of its answer.
type call struct {
	work   cleat.Work
	method string
	target string
	header []cleat.HeaderField
	body   []byte
	wake   chan struct{} // Signals the caller's goroutine that there is something to take.

	mu         sync.Mutex
	answer     *answer // Of the running attempt; nil while the request waits.
	refusal    *cleat.Refusal
	begun      bool // Part of the answer reached the caller.
	settled    bool // The whole answer arrived.
	dispatched time.Time
	upstream   cleat.UpstreamID // Of the last attempt.
	attempt    cleat.Attempt    // The last one.
}

func (c *call) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// start notes that an attempt was decided.
func (c *call) start(now time.Time, s *cleat.Start, maxPending int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempt = s.Attempt
	c.upstream = s.Grant.Upstream
	c.dispatched = now
	c.answer = &answer{
		attempt:     s.Attempt,
		agent:       s.Agent,
		incarnation: s.Incarnation,
		upstream:    s.Grant.Upstream,
		maxPending:  maxPending,
	}
}

// refuse notes the final refusal; what arrived is still delivered to a caller
// that has part of the answer.
func (c *call) refuse(r cleat.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusal = &r
	if !c.begun {
		c.answer = nil
	}
}

// added is what a part did to the answer that it belongs to.
type added struct {
	resume  bool // The agent must be asked to send again from next.
	over    bool // The attempt ended with it.
	next    uint64
	outcome cleat.Outcome
}

// add feeds a part in; false when it belongs to no answer under way.
func (c *call) add(from cleat.Peer, p *cleat.Part) (added, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.answer
	if a == nil || a.ended || a.attempt != p.Attempt || a.agent != from.Instance || a.incarnation != from.Incarnation {
		return added{}, false
	}
	resume := a.add(p)
	return added{resume: resume, over: a.ended, next: a.next, outcome: a.outcome}, true
}

// fail drops a failed attempt of which nothing reached the caller.
func (c *call) fail(a cleat.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.begun && c.answer != nil && c.answer.attempt == a {
		c.answer = nil
	}
}

// settle notes that the whole answer arrived.
func (c *call) settle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settled = true
}

func (c *call) isSettled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settled
}

// begin reports whether the caller may be given the attempt's answer, and
// whether the table must still be told.
func (c *call) begin(a cleat.Attempt) (ok, tell bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answer == nil || c.answer.attempt != a {
		return false, false
	}
	c.begun = true
	return true, !c.settled
}

// standing reports whether the end or the refusal is there, and whether an
// attempt is under way.
func (c *call) standing() (over, running bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settled || c.refusal != nil, c.answer != nil
}

// waits reports whether the request is neither running nor over.
func (c *call) waits() bool {
	over, running := c.standing()
	return !over && !running
}

// take returns what arrived since the last time; the refusal only once
// everything before it was taken.
func (c *call) take() (piece, *cleat.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answer == nil {
		return piece{}, c.refusal
	}
	p := c.answer.take()
	if c.refusal == nil {
		return p, nil
	}
	if len(p.data) == 0 {
		return piece{}, c.refusal
	}
	c.signal()
	return p, nil
}

// resumes reports whether an attempt runs at an agent's incarnation, and from
// which offset its answer is wanted.
func (c *call) resumes(p cleat.Peer) (cleat.Attempt, uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.answer
	if a == nil || a.ended || a.agent != p.Instance || a.incarnation != p.Incarnation {
		return cleat.Attempt{}, 0, false
	}
	return a.attempt, a.next, true
}

// runs reports whether a is the attempt under way.
func (c *call) runs(a cleat.Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answer != nil && c.answer.attempt == a
}

// progress returns the last attempt, its upstream and when it was decided.
func (c *call) progress() (cleat.Attempt, cleat.UpstreamID, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempt, c.upstream, c.dispatched
}

// calls finds requests by their id.
type calls struct {
	mu   sync.RWMutex
	byID map[cleat.RequestID]*call
}

func (cs *calls) get(id cleat.RequestID) *call {
	cs.mu.RLock()
	defer cs.mu.RUnlock()
	return cs.byID[id]
}

func (cs *calls) put(c *call) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.byID[c.work.ID] = c
}

func (cs *calls) remove(id cleat.RequestID) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.byID, id)
}

func (cs *calls) list() []*call {
	cs.mu.RLock()
	defer cs.mu.RUnlock()
	list := make([]*call, 0, len(cs.byID))
	for _, c := range cs.byID {
		list = append(list, c)
	}
	return list
}

// agent returns the agent that runs the request.
func (c *call) agent() cleat.InstanceID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answer == nil {
		return ""
	}
	return c.answer.agent
}
