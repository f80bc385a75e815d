package entry

import (
	"sync"
	"time"

	"marigoldcleat.example/cleat"
)

const maxPendingCancels = 1024

// agentLinks holds the current link to each agent, and the cancellations that
// could not be sent while the link was down.
type agentLinks struct {
	mu             sync.RWMutex
	byAgent        map[cleat.InstanceID]cleat.Link
	pendingCancels map[cleat.InstanceID][]cleat.Attempt
}

func newAgentLinks() *agentLinks {
	return &agentLinks{
		byAgent:        make(map[cleat.InstanceID]cleat.Link),
		pendingCancels: make(map[cleat.InstanceID][]cleat.Attempt),
	}
}

func (ls *agentLinks) get(id cleat.InstanceID) (cleat.Link, bool) {
	ls.mu.RLock()
	defer ls.mu.RUnlock()
	l, ok := ls.byAgent[id]
	return l, ok
}

func (ls *agentLinks) count() int {
	ls.mu.RLock()
	defer ls.mu.RUnlock()
	return len(ls.byAgent)
}

// set makes l the agent's link and returns the cancellations to send over it.
func (ls *agentLinks) set(l cleat.Link) []cleat.Attempt {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	id := l.Peer().Instance
	cancels := ls.pendingCancels[id]
	delete(ls.pendingCancels, id)
	ls.byAgent[id] = l
	return cancels
}

// remove removes l and reports whether it was the agent's current link.
func (ls *agentLinks) remove(l cleat.Link) bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	id := l.Peer().Instance
	if ls.byAgent[id] != l {
		return false
	}
	delete(ls.byAgent, id)
	return true
}

func (ls *agentLinks) addPendingCancel(id cleat.InstanceID, a cleat.Attempt) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if len(ls.pendingCancels[id]) < maxPendingCancels {
		ls.pendingCancels[id] = append(ls.pendingCancels[id], a)
	}
}

// LinkUp registers an agent's link and resumes the answers that were in flight on
// the previous one.
func (e *Entry) LinkUp(l cleat.Link) {
	p := l.Peer()
	if p.Role != cleat.RoleAgent {
		return
	}
	e.log.Info("link to agent is up", "agent", p.Instance, "incarnation", p.Incarnation, "domain", p.Domain)
	for _, a := range e.links.set(l) {
		e.trySend(l, &cleat.Cancel{Attempt: a})
	}
	for _, c := range e.calls.list() {
		if a, next, ok := c.resumePoint(p); ok {
			e.log.Info("resuming an answer", "request", a.Request, "attempt", a.Number, "agent", p.Instance, "offset", next)
			e.trySend(l, &cleat.Resume{Attempt: a, Offset: next})
		}
	}
	e.updateTable(func(now time.Time) cleat.Effects { return e.table.AgentUp(now, p) })
}

// LinkDown reports to the table that an agent is unreachable, unless another link
// to it is up.
func (e *Entry) LinkDown(l cleat.Link, err error) {
	if !e.links.remove(l) {
		return
	}
	id := l.Peer().Instance
	e.log.Warn("link to agent is down", "agent", id, "err", err)
	e.updateTable(func(now time.Time) cleat.Effects { return e.table.AgentDown(now, id) })
}

// LinkMessage handles one message from an agent.
func (e *Entry) LinkMessage(l cleat.Link, m cleat.Message) {
	from := l.Peer().Instance
	switch m := m.(type) {
	case *cleat.Part:
		e.handlePart(l, m)
	case *cleat.Grants:
		e.updateTable(func(now time.Time) cleat.Effects { return e.table.Grants(now, from, m) })
	case *cleat.AgentState:
		e.updateTable(func(now time.Time) cleat.Effects { return e.table.AgentState(now, from, m) })
	case *cleat.Ask:
		e.updateTable(func(now time.Time) cleat.Effects { return e.table.Ask(now, from, m) })
	case *cleat.Refused:
		e.updateTable(func(now time.Time) cleat.Effects {
			e.discardAttempt(m.Attempt)
			return e.table.Refused(now, from, m)
		})
	default:
		e.log.Warn("unexpected message", "agent", from, "kind", m.Kind())
	}
}

// handlePart adds a part of an answer to its request.
func (e *Entry) handlePart(l cleat.Link, p *cleat.Part) {
	c := e.calls.get(p.Attempt.Request)
	if c == nil {
		e.handleStalePart(l, p)
		return
	}
	res, ok := c.addPart(l.Peer(), p)
	if !ok {
		e.handleStalePart(l, p)
		return
	}
	if res.resume {
		e.trySend(l, &cleat.Resume{Attempt: p.Attempt, Offset: res.nextOffset})
	}
	if res.ended {
		e.trySend(l, &cleat.PartAck{Attempt: p.Attempt, Offset: res.nextOffset, Done: true})
		e.finishAttempt(c, p.Attempt, res.outcome)
	}
	c.notify()
}

// handleStalePart handles a part of an answer that no caller waits for. It
// acknowledges the end of the answer and cancels the attempt on any other part, so
// that the agent can discard the answer. Despite the cancellation, the agent
// completes a request that may not be repeated.
func (e *Entry) handleStalePart(l cleat.Link, p *cleat.Part) {
	if p.End {
		e.trySend(l, &cleat.PartAck{Attempt: p.Attempt, Offset: p.Offset + uint64(len(p.Data)), Done: true})
		return
	}
	e.trySend(l, &cleat.Cancel{Attempt: p.Attempt})
}

// finishAttempt reports the outcome of an attempt to the table.
func (e *Entry) finishAttempt(c *call, a cleat.Attempt, o cleat.Outcome) {
	e.updateTable(func(now time.Time) cleat.Effects {
		if o.Kind == cleat.OutcomeDone {
			c.markComplete()
		} else {
			c.discardAttempt(a)
		}
		return e.table.AttemptFinished(now, a, o)
	})
}

// discardAttempt removes the answer of a refused or unsent attempt if none of it
// reached the caller.
func (e *Entry) discardAttempt(a cleat.Attempt) {
	if c := e.calls.get(a.Request); c != nil {
		c.discardAttempt(a)
		c.notify()
	}
}

// trySend sends a message that may be lost. When Send fails, the link is down or
// about to be, and the answers are resumed over the next one.
func (e *Entry) trySend(l cleat.Link, m cleat.Message) {
	if err := l.Send(m); err != nil {
		e.log.Debug("message not sent", "peer", l.Peer().Instance, "kind", m.Kind(), "err", err)
	}
}
