package entry

import (
	"context"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
)

// updateTable calls update under Entry.mu and executes the resulting effects
// after Entry.mu is released, in the order of the updates, because an agent drops
// an offer that arrives after a newer one.
func (e *Entry) updateTable(update func(now time.Time) cleat.Effects) {
	e.mu.Lock()
	now := e.clock.Now()
	eff := update(now)
	e.applyToCalls(now, eff)
	if isEmpty(eff) {
		e.mu.Unlock()
		return
	}
	e.effectsMu.Lock()
	e.mu.Unlock()
	unsent := e.execute(eff)
	e.effectsMu.Unlock()
	for _, a := range unsent {
		e.reportNotSent(a)
	}
}

func isEmpty(eff cleat.Effects) bool {
	return len(eff.Sends)+len(eff.Starts)+len(eff.Stops)+len(eff.Refusals) == 0
}

// applyToCalls applies started attempts and refusals to their calls. Entry.mu must
// be held.
func (e *Entry) applyToCalls(now time.Time, eff cleat.Effects) {
	for i := range eff.Starts {
		if c := e.calls.get(eff.Starts[i].Work.ID); c != nil {
			c.startAttempt(now, &eff.Starts[i], e.cfg.MaxPendingBytes)
		}
	}
	for _, r := range eff.Refusals {
		if c := e.calls.get(r.Request); c != nil {
			c.setRefusal(r)
		}
	}
}

// execute sends the messages of the effects and returns the attempts that could
// not be sent. Entry.effectsMu must be held.
func (e *Entry) execute(eff cleat.Effects) (unsent []cleat.Attempt) {
	for _, s := range eff.Sends {
		if l, ok := e.links.get(s.To); ok {
			e.trySend(l, s.Message)
		}
	}
	for _, s := range eff.Stops {
		e.cancelAttempt(s)
	}
	for i := range eff.Starts {
		if !e.dispatch(&eff.Starts[i]) {
			unsent = append(unsent, eff.Starts[i].Attempt)
		}
	}
	for _, r := range eff.Refusals {
		if c := e.calls.get(r.Request); c != nil {
			c.notify()
		}
	}
	return unsent
}

func (e *Entry) cancelAttempt(s cleat.Stop) {
	l, ok := e.links.get(s.Agent)
	if !ok || l.Send(&cleat.Cancel{Attempt: s.Attempt}) != nil {
		e.links.addPendingCancel(s.Agent, s.Attempt)
	}
}

// dispatch sends a request to the agent that granted it a slot; the workers send
// the rest of a long body. It returns false when the request can't be sent
// completely; the agent then does not run it.
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
	queued := e.enqueueLongDispatch(longDispatch{call: c, link: l, attempt: s.Attempt, deadline: s.Work.Deadline})
	if !queued {
		e.cancelAttempt(cleat.Stop{Attempt: s.Attempt, Agent: s.Agent})
	}
	return queued
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

// reportNotSent reports to the table that an attempt was not sent completely.
func (e *Entry) reportNotSent(a cleat.Attempt) {
	e.updateTable(func(now time.Time) cleat.Effects {
		e.discardAttempt(a)
		return e.table.DispatchNotSent(now, a)
	})
}

// longDispatch is a dispatch whose body was sent only in part.
type longDispatch struct {
	call     *call
	link     cleat.Link
	attempt  cleat.Attempt
	deadline time.Time
}

// enqueueLongDispatch queues the rest of a body for the workers; it returns false
// when the queue is full.
func (e *Entry) enqueueLongDispatch(d longDispatch) bool {
	select {
	case e.longDispatches <- d:
		return true
	default:
		return false
	}
}

// runWorker sends queued long dispatches until ctx is done.
func (e *Entry) runWorker(ctx context.Context) {
	for {
		select {
		case d := <-e.longDispatches:
			e.sendRemainingBody(ctx, d)
		case <-ctx.Done():
			return
		}
	}
}

// sendRemainingBody sends the rest of a body in pieces. The agent runs nothing
// before the last piece, so an attempt that fails here has not run.
func (e *Entry) sendRemainingBody(ctx context.Context, d longDispatch) {
	ctx, cancel := context.WithDeadline(ctx, d.deadline)
	defer cancel()
	body := d.call.body
	for offset := wire.MaxDataBytes; offset < len(body); offset += wire.MaxDataBytes {
		if !d.call.isRunning(d.attempt) {
			return
		}
		end := min(offset+wire.MaxDataBytes, len(body))
		m := &cleat.Body{Attempt: d.attempt, Offset: uint64(offset), Data: body[offset:end], More: end < len(body)}
		if wire.SendWithBackpressure(ctx, d.link, m) != nil {
			e.cancelAttempt(cleat.Stop{Attempt: d.attempt, Agent: d.link.Peer().Instance})
			e.reportNotSent(d.attempt)
			return
		}
	}
}
