package entry

import (
	"context"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
)

// decide lets the table decide under Entry.mu and carries its effects out after
// that, in the order in which they were decided: an agent drops offers that
// others overtook.
func (e *Entry) decide(f func(now time.Time) cleat.Effects) {
	e.mu.Lock()
	now := e.clock.Now()
	eff := f(now)
	e.note(now, eff)
	if isNone(eff) {
		e.mu.Unlock()
		return
	}
	e.sending.Lock()
	e.mu.Unlock()
	unsent := e.carryOut(eff)
	e.sending.Unlock()
	for _, a := range unsent {
		e.notSent(a)
	}
}

func isNone(eff cleat.Effects) bool {
	return len(eff.Sends)+len(eff.Starts)+len(eff.Stops)+len(eff.Refusals) == 0
}

// note brings the requests in line with what the table decided; Entry.mu is held.
func (e *Entry) note(now time.Time, eff cleat.Effects) {
	for i := range eff.Starts {
		if c := e.calls.get(eff.Starts[i].Work.ID); c != nil {
			c.start(now, &eff.Starts[i], e.cfg.MaxPendingBytes)
		}
	}
	for _, r := range eff.Refusals {
		if c := e.calls.get(r.Request); c != nil {
			c.refuse(r)
		}
	}
}

// carryOut returns the attempts that could not be sent; Entry.sending is held.
func (e *Entry) carryOut(eff cleat.Effects) (unsent []cleat.Attempt) {
	for _, s := range eff.Sends {
		if l, ok := e.links.get(s.To); ok {
			e.sendOn(l, s.Message)
		}
	}
	for _, s := range eff.Stops {
		e.cancel(s)
	}
	for i := range eff.Starts {
		if !e.dispatch(&eff.Starts[i]) {
			unsent = append(unsent, eff.Starts[i].Attempt)
		}
	}
	for _, r := range eff.Refusals {
		if c := e.calls.get(r.Request); c != nil {
			c.signal()
		}
	}
	return unsent
}

func (e *Entry) cancel(s cleat.Stop) {
	l, ok := e.links.get(s.Agent)
	if !ok || l.Send(&cleat.Cancel{Attempt: s.Attempt}) != nil {
		e.links.owe(s.Agent, s.Attempt)
	}
}

// dispatch sends a request to the agent that granted a slot to it, and reports
// whether it may have left.
func (e *Entry) dispatch(s *cleat.Start) bool {
	c := e.calls.get(s.Work.ID)
	l, ok := e.links.get(s.Agent)
	if c == nil || !ok || l.Peer().Incarnation != s.Incarnation {
		return false
	}
	n := min(len(c.body), wire.MaxDataBytes)
	more := n < len(c.body)
	if l.Send(e.dispatchMessage(c, s, c.body[:n], more)) != nil {
		return false
	}
	if !more {
		return true
	}
	sent := e.sendLong(longSend{call: c, link: l, attempt: s.Attempt, deadline: s.Work.Deadline})
	if !sent {
		e.cancel(cleat.Stop{Attempt: s.Attempt, Agent: s.Agent})
	}
	return sent
}

func (e *Entry) dispatchMessage(c *call, s *cleat.Start, body []byte, more bool) *cleat.Dispatch {
	return &cleat.Dispatch{
		Incarnation: s.Incarnation,
		Grant:       s.Grant.ID,
		Attempt:     s.Attempt,
		Stream:      s.Grant.Stream,
		Estimate:    s.Work.Estimate,
		Share:       s.Share,
		Prefix:      s.Work.Prefix,
		Repeatable:  s.Work.Repeatable,
		Timeout:     max(s.Work.Deadline.Sub(e.clock.Now()), 0),
		Method:      c.method,
		Target:      c.target,
		Header:      c.header,
		Body:        body,
		BodyMore:    more,
	}
}

// notSent tells the table that an attempt never left this process whole.
func (e *Entry) notSent(a cleat.Attempt) {
	e.decide(func(now time.Time) cleat.Effects {
		e.dropAttempt(a)
		return e.table.DispatchNotSent(now, a)
	})
}

// longSend is a dispatch of which the rest of the body is still to be sent.
type longSend struct {
	call     *call
	link     cleat.Link
	attempt  cleat.Attempt
	deadline time.Time
}

// sendLong hands the rest of a body to the workers, and reports whether they take it.
func (e *Entry) sendLong(s longSend) bool {
	select {
	case e.long <- s:
		return true
	default:
		return false
	}
}

// work carries out long dispatches until ctx is done.
func (e *Entry) work(ctx context.Context) {
	for {
		select {
		case s := <-e.long:
			e.sendPieces(ctx, s)
		case <-ctx.Done():
			return
		}
	}
}

// sendPieces sends the rest of a body in pieces. The agent runs nothing before
// the last piece, so an attempt that breaks off here has not run.
func (e *Entry) sendPieces(ctx context.Context, s longSend) {
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	body := s.call.body
	for at := wire.MaxDataBytes; at < len(body); at += wire.MaxDataBytes {
		if !s.call.runs(s.attempt) {
			return
		}
		end := min(at+wire.MaxDataBytes, len(body))
		m := &cleat.Body{Attempt: s.attempt, Offset: uint64(at), Data: body[at:end], More: end < len(body)}
		if wire.SendPaced(ctx, s.link, m) != nil {
			e.cancel(cleat.Stop{Attempt: s.attempt, Agent: s.link.Peer().Instance})
			e.notSent(s.attempt)
			return
		}
	}
}
