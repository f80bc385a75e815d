package entry

import (
	"context"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/wire"
)

// decide lets the table decide under Entry.mu and carries its effects out after that.
func (e *Entry) decide(f func(now time.Time) cleat.Effects) {
	e.mu.Lock()
	now := e.clock.Now()
	eff := f(now)
	e.note(now, eff)
	e.mu.Unlock()
	e.carryOut(eff)
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

func (e *Entry) carryOut(eff cleat.Effects) {
	for _, s := range eff.Sends {
		if l, ok := e.links.get(s.To); ok {
			e.sendOn(l, s.Message)
		}
	}
	for _, s := range eff.Stops {
		e.cancel(s)
	}
	for i := range eff.Starts {
		e.dispatch(&eff.Starts[i])
	}
	for _, r := range eff.Refusals {
		if c := e.calls.get(r.Request); c != nil {
			c.signal()
		}
	}
}

func (e *Entry) cancel(s cleat.Stop) {
	l, ok := e.links.get(s.Agent)
	if !ok || l.Send(&cleat.Cancel{Attempt: s.Attempt}) != nil {
		e.links.owe(s.Agent, s.Attempt)
	}
}

// dispatch sends a request to the agent that granted a slot to it.
func (e *Entry) dispatch(s *cleat.Start) {
	c := e.calls.get(s.Work.ID)
	l, ok := e.links.get(s.Agent)
	if c == nil || !ok || l.Peer().Incarnation != s.Incarnation {
		e.notSent(s.Attempt)
		return
	}
	if len(c.body) > wire.MaxDataBytes {
		e.sendLong(longSend{call: c, link: l, start: *s})
		return
	}
	if err := l.Send(e.dispatchMessage(c, s, c.body, false)); err != nil {
		e.notSent(s.Attempt)
	}
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
		return e.table.NotSent(now, a)
	})
}

// longSend is a dispatch whose body takes several messages.
type longSend struct {
	call  *call
	link  cleat.Link
	start cleat.Start
}

// sendLong hands a long dispatch to the workers; a full queue gives it back to the table.
func (e *Entry) sendLong(s longSend) {
	select {
	case e.long <- s:
	default:
		e.notSent(s.start.Attempt)
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

// sendPieces sends a dispatch and its body in pieces. The agent runs nothing
// before the last piece, so an attempt that breaks off here has not run.
func (e *Entry) sendPieces(ctx context.Context, s longSend) {
	ctx, cancel := context.WithDeadline(ctx, s.start.Work.Deadline)
	defer cancel()
	a := s.start.Attempt
	body := s.call.body
	n := wire.MaxDataBytes
	if wire.SendPaced(ctx, s.link, e.dispatchMessage(s.call, &s.start, body[:n], true)) != nil {
		e.notSent(a)
		return
	}
	for at := n; at < len(body); at += n {
		if !s.call.runs(a) {
			return
		}
		end := min(at+n, len(body))
		m := &cleat.Body{Attempt: a, Offset: uint64(at), Data: body[at:end], More: end < len(body)}
		if wire.SendPaced(ctx, s.link, m) != nil {
			e.notSent(a)
			return
		}
	}
}
