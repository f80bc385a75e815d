package entry

import (
	"sync"
	"time"

	"marigoldcleat.example/cleat"
)

// call is one accepted request, until the end of its answer.
type call struct {
	work   cleat.Work
	method string
	target string
	header []cleat.HeaderField
	body   []byte
	wake   chan struct{} // Wakes the goroutine that answers the caller; capacity 1.

	mu              sync.Mutex
	answer          *answer // Answer of the attempt in flight; nil while the request waits.
	refusal         *cleat.Refusal
	deliveryStarted bool             // Part of the answer may have reached the caller.
	complete        bool             // The complete answer arrived from the agent.
	dispatched      time.Time        // When the last attempt started.
	upstream        cleat.UpstreamID // Upstream of the last attempt.
	attempt         cleat.Attempt    // The last attempt.
}

func (c *call) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// startAttempt records that the table started an attempt.
func (c *call) startAttempt(now time.Time, s *cleat.Start, maxPendingBytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempt = s.Attempt
	c.upstream = s.Grant.Upstream
	c.dispatched = now
	c.answer = &answer{
		attempt:         s.Attempt,
		agent:           s.Agent,
		incarnation:     s.Incarnation,
		upstream:        s.Grant.Upstream,
		maxPendingBytes: maxPendingBytes,
	}
}

// setRefusal records the final refusal. If part of the answer may have reached the
// caller, the bytes that arrived are still delivered.
func (c *call) setRefusal(r cleat.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusal = &r
	if !c.deliveryStarted {
		c.answer = nil
	}
}

// partResult is the effect of a part on its answer.
type partResult struct {
	resume     bool // The agent must resend from nextOffset.
	ended      bool // The part ended the attempt.
	nextOffset uint64
	outcome    cleat.Outcome
}

// addPart adds a part to the answer; it returns false when the part does not
// belong to the attempt in flight.
func (c *call) addPart(from cleat.Peer, p *cleat.Part) (partResult, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.answer
	if a == nil || a.ended || a.attempt != p.Attempt || a.agent != from.Instance || a.incarnation != from.Incarnation {
		return partResult{}, false
	}
	resume := a.addPart(p)
	return partResult{resume: resume, ended: a.ended, nextOffset: a.nextOffset, outcome: a.outcome}, true
}

// discardAttempt removes a failed attempt's answer if none of it reached the
// caller.
func (c *call) discardAttempt(a cleat.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.deliveryStarted && c.answer != nil && c.answer.attempt == a {
		c.answer = nil
	}
}

func (c *call) markComplete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.complete = true
}

func (c *call) isComplete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.complete
}

// startDelivery marks the attempt's answer as being delivered, so that it is kept
// if the attempt fails. ok is false when the answer was discarded before;
// notifyTable is false when the answer is already complete.
func (c *call) startDelivery(a cleat.Attempt) (ok, notifyTable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answer == nil || c.answer.attempt != a {
		return false, false
	}
	c.deliveryStarted = true
	return true, !c.complete
}

// state reports whether the request is over, by a complete answer or a refusal,
// and whether it has an attempt in flight.
func (c *call) state() (over, running bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.complete || c.refusal != nil, c.answer != nil
}

// isWaiting reports whether the request is neither running nor over.
func (c *call) isWaiting() bool {
	over, running := c.state()
	return !over && !running
}

// takePiece returns what arrived since it was last called, and the refusal once
// all bytes before it were taken.
func (c *call) takePiece() (piece, *cleat.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answer == nil {
		return piece{}, c.refusal
	}
	p := c.answer.takePiece()
	if c.refusal == nil {
		return p, nil
	}
	if len(p.chunks) == 0 {
		return piece{}, c.refusal
	}
	c.notify()
	return p, nil
}

// resumePoint returns the attempt in flight at the given incarnation of an agent
// and the offset to resume its answer from; false when there is no such attempt.
func (c *call) resumePoint(p cleat.Peer) (cleat.Attempt, uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.answer
	if a == nil || a.ended || a.agent != p.Instance || a.incarnation != p.Incarnation {
		return cleat.Attempt{}, 0, false
	}
	return a.attempt, a.nextOffset, true
}

// isRunning reports whether a is the attempt in flight.
func (c *call) isRunning(a cleat.Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answer != nil && c.answer.attempt == a
}

// lastAttempt returns the last attempt, its upstream and when the table started it.
func (c *call) lastAttempt() (cleat.Attempt, cleat.UpstreamID, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempt, c.upstream, c.dispatched
}

// calls indexes the submitted requests by id.
type calls struct {
	mu   sync.RWMutex
	byID map[cleat.RequestID]*call
}

func (cs *calls) get(id cleat.RequestID) *call {
	cs.mu.RLock()
	defer cs.mu.RUnlock()
	return cs.byID[id]
}

func (cs *calls) add(c *call) {
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

// agent returns the agent that runs the request; empty when none does.
func (c *call) agent() cleat.InstanceID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answer == nil {
		return ""
	}
	return c.answer.agent
}
