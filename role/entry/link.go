package entry

import (
	"sync"
	"time"

	"marigoldcleat.example/cleat"
)

const maxOwedCancels = 1024

// links holds the link that is up to each agent, and the cancellations that
// could not be sent while it was down.
type links struct {
	mu   sync.RWMutex
	up   map[cleat.InstanceID]cleat.Link
	owed map[cleat.InstanceID][]cleat.Attempt
}

func newLinks() *links {
	return &links{
		up:   make(map[cleat.InstanceID]cleat.Link),
		owed: make(map[cleat.InstanceID][]cleat.Attempt),
	}
}

func (ls *links) get(id cleat.InstanceID) (cleat.Link, bool) {
	ls.mu.RLock()
	defer ls.mu.RUnlock()
	l, ok := ls.up[id]
	return l, ok
}

func (ls *links) count() int {
	ls.mu.RLock()
	defer ls.mu.RUnlock()
	return len(ls.up)
}

// set makes l the agent's link and returns the cancellations owed to it.
func (ls *links) set(l cleat.Link) []cleat.Attempt {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	id := l.Peer().Instance
	owed := ls.owed[id]
	delete(ls.owed, id)
	ls.up[id] = l
	return owed
}

// remove reports whether l was the agent's link.
func (ls *links) remove(l cleat.Link) bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	id := l.Peer().Instance
	if ls.up[id] != l {
		return false
	}
	delete(ls.up, id)
	return true
}

func (ls *links) owe(id cleat.InstanceID, a cleat.Attempt) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if len(ls.owed[id]) < maxOwedCancels {
		ls.owed[id] = append(ls.owed[id], a)
	}
}

// LinkUp takes an agent's link into use and asks for the rest of the answers
// that were under way on the last one.
func (e *Entry) LinkUp(l cleat.Link) {
	p := l.Peer()
	if p.Role != cleat.RoleAgent {
		return
	}
	e.log.Info("link to agent is up", "agent", p.Instance, "incarnation", p.Incarnation, "domain", p.Domain)
	for _, a := range e.links.set(l) {
		e.sendOn(l, &cleat.Cancel{Attempt: a})
	}
	for _, c := range e.calls.list() {
		if a, next, ok := c.resumes(p); ok {
			e.log.Info("resuming an answer", "request", a.Request, "attempt", a.Number, "agent", p.Instance, "offset", next)
			e.sendOn(l, &cleat.Resume{Attempt: a, Offset: next})
		}
	}
	e.decide(func(now time.Time) cleat.Effects { return e.table.AgentUp(now, p) })
}

// LinkDown tells the table that an agent can't be reached, unless another link to it is up.
func (e *Entry) LinkDown(l cleat.Link, err error) {
	if !e.links.remove(l) {
		return
	}
	id := l.Peer().Instance
	e.log.Warn("link to agent is down", "agent", id, "err", err)
	e.decide(func(now time.Time) cleat.Effects { return e.table.AgentDown(now, id) })
}

// LinkMessage takes in one message of an agent.
func (e *Entry) LinkMessage(l cleat.Link, m cleat.Message) {
	from := l.Peer().Instance
	switch m := m.(type) {
	case *cleat.Part:
		e.part(l, m)
	case *cleat.Grants:
		e.decide(func(now time.Time) cleat.Effects { return e.table.Grants(now, from, m) })
	case *cleat.AgentState:
		e.decide(func(now time.Time) cleat.Effects { return e.table.AgentState(now, from, m) })
	case *cleat.Ask:
		e.decide(func(now time.Time) cleat.Effects { return e.table.Ask(now, from, m) })
	case *cleat.Refused:
		e.decide(func(now time.Time) cleat.Effects {
			e.dropAttempt(m.Attempt)
			return e.table.Refused(now, from, m)
		})
	default:
		e.log.Warn("unexpected message", "agent", from, "kind", m.Kind())
	}
}

// part feeds a piece of an answer to its request.
func (e *Entry) part(l cleat.Link, p *cleat.Part) {
	c := e.calls.get(p.Attempt.Request)
	if c == nil {
		e.late(l, p)
		return
	}
	did, ok := c.add(l.Peer(), p)
	if !ok {
		e.late(l, p)
		return
	}
	if did.resume {
		e.sendOn(l, &cleat.Resume{Attempt: p.Attempt, Offset: did.next})
	}
	if did.over {
		e.sendOn(l, &cleat.PartAck{Attempt: p.Attempt, Offset: did.next, Done: true})
		e.finished(c, p.Attempt, did.outcome)
	}
	c.signal()
}

// late lets the agent drop an answer that nobody waits for any more; a request
// that may not be repeated runs on there.
func (e *Entry) late(l cleat.Link, p *cleat.Part) {
	if p.End {
		e.sendOn(l, &cleat.PartAck{Attempt: p.Attempt, Offset: p.Offset + uint64(len(p.Data)), Done: true})
		return
	}
	e.sendOn(l, &cleat.Cancel{Attempt: p.Attempt})
}

// finished tells the table how an attempt ended.
func (e *Entry) finished(c *call, a cleat.Attempt, o cleat.Outcome) {
	e.decide(func(now time.Time) cleat.Effects {
		if o.Kind == cleat.OutcomeDone {
			c.settle()
		} else {
			c.fail(a)
		}
		return e.table.AttemptFinished(now, a, o)
	})
}

// dropAttempt forgets a refused attempt of which nothing reached the caller.
func (e *Entry) dropAttempt(a cleat.Attempt) {
	if c := e.calls.get(a.Request); c != nil {
		c.fail(a)
		c.signal()
	}
}

// sendOn sends a message that the link may lose: a link that refuses it is
// down or about to be, and the next one resumes.
func (e *Entry) sendOn(l cleat.Link, m cleat.Message) {
	if err := l.Send(m); err != nil {
		e.log.Debug("message not sent", "peer", l.Peer().Instance, "kind", m.Kind(), "err", err)
	}
}
