package entry

import (
	"bytes"
	"errors"
	"net/http"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/assert"
)

// deliver writes the answer as it arrives, until its end or a refusal.
func (x *exchange) deliver() {
	gone := x.r.Context().Done()
	for {
		select {
		case <-x.call.wake:
			if x.step() {
				return
			}
		case <-gone:
			gone = nil
			if x.leave() {
				return
			}
		}
	}
}

// step writes what arrived and reports whether the request ended.
func (x *exchange) step() (over bool) {
	p, r := x.call.take()
	if r != nil {
		x.giveUp(*r)
		return true
	}
	if x.gone && x.call.waits() {
		return x.leave()
	}
	if p.resume {
		x.send(&cleat.Resume{Attempt: p.attempt, Offset: p.next})
	}
	if p.status == 0 || (p.ended && p.outcome.Kind != cleat.OutcomeDone && !x.started) {
		return false
	}
	if !x.started && !x.begin(p) {
		return false
	}
	done := p.ended && p.outcome.Kind == cleat.OutcomeDone
	x.follow(p)
	x.keep(p, done)
	if !x.gone && x.write(p) != nil && x.leave() {
		return true
	}
	x.ack(p)
	if done {
		x.finish(p)
	}
	return done
}

// follow checks that a piece continues the answer where the last one ended.
func (x *exchange) follow(p piece) {
	for _, b := range p.data {
		x.taken += uint64(len(b))
	}
	if x.taken != p.next {
		assert.Fail("answer-in-order", "%s has %d bytes of its answer and got up to offset %d", x.id, x.taken, p.next)
	}
}

// begin passes the head on, unless the attempt was superseded meanwhile.
func (x *exchange) begin(p piece) bool {
	if !x.e.begin(x.call, p.attempt) {
		return false
	}
	x.started = true
	if x.recorder != nil {
		x.recorder.head(p.status, p.header)
	}
	if x.gone {
		return true
	}
	h := x.w.Header()
	copyAnswerHeader(h, p.header)
	h.Set(HeaderRan, string(cleat.RanYes))
	h.Set(HeaderRequest, string(x.id))
	x.stream = isEventStream(h)
	x.boundary = true
	x.setWriteDeadline()
	x.w.WriteHeader(p.status)
	return true
}

// begin notes that an attempt's answer reaches the caller now, so that the
// table retries it no more; false when the attempt was superseded.
func (e *Entry) begin(c *call, a cleat.Attempt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	ok, tell := c.begin(a)
	if tell {
		e.table.AnswerStarted(e.clock.Now(), a)
	}
	return ok
}

// keep records a claimed request's answer; its end is recorded before the
// caller has it.
func (x *exchange) keep(p piece, done bool) {
	if x.recorder == nil {
		return
	}
	for _, b := range p.data {
		x.recorder.data(b)
	}
	if done {
		x.e.record(x.call, cleat.OutcomeDone, x.recorder.answer)
	}
}

// write passes a piece of the body on; an error means that the caller is gone
// or takes nothing.
func (x *exchange) write(p piece) error {
	if len(p.data) == 0 && p.ended {
		return nil
	}
	x.setWriteDeadline()
	for _, b := range p.data {
		if _, err := x.w.Write(b); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
			return err
		}
		x.noteBoundary(b)
	}
	if !x.first {
		x.first = true
		x.e.metrics.Series(x.call.work.Workspace, x.call.work.Class).FirstToken(x.e.clock.Now().Sub(x.received))
	}
	if p.ended {
		return nil
	}
	return x.rc.Flush()
}

var eventEnds = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n"), []byte("\r\r")}

const eventEndBytes = 4

// noteBoundary notes whether the stream now stands between two events.
func (x *exchange) noteBoundary(b []byte) {
	if !x.stream || len(b) == 0 {
		return
	}
	x.tail = append(x.tail, b[max(len(b)-eventEndBytes, 0):]...)
	x.tail = x.tail[max(len(x.tail)-eventEndBytes, 0):]
	x.boundary = false
	for _, end := range eventEnds {
		if bytes.HasSuffix(x.tail, end) {
			x.boundary = true
		}
	}
}

func (x *exchange) setWriteDeadline() {
	if err := x.rc.SetWriteDeadline(time.Now().Add(x.e.cfg.WriteTimeout)); err != nil {
		x.e.log.Debug("write deadline not set", "request", x.id, "err", err)
	}
}

// ack tells the agent what the caller has, so that it may send on.
func (x *exchange) ack(p piece) {
	if p.ended || p.next-x.acked < uint64(x.e.cfg.AckBytes) || x.call.isSettled() {
		return
	}
	x.acked = p.next
	x.send(&cleat.PartAck{Attempt: p.attempt, Offset: p.next})
}

// send sends m to the agent that runs the request.
func (x *exchange) send(m cleat.Message) {
	if l, ok := x.e.links.get(x.call.agent()); ok {
		x.e.sendOn(l, m)
	}
}

// leave takes the caller out and reports whether the request ends with that: a
// waiting one is withdrawn, a running one cancelled unless it may not be
// repeated; then it goes on, and only its outcome is recorded.
func (x *exchange) leave() bool {
	x.gone = true
	var over, running bool
	x.e.decide(func(now time.Time) cleat.Effects {
		over, running = x.call.standing()
		if over || (running && !x.call.work.Repeatable) {
			return cleat.Effects{}
		}
		return x.e.table.Cancel(now, x.id)
	})
	if over {
		// The end or the refusal is there already and is taken up as usual, for its record.
		x.call.signal()
		return false
	}
	x.log("caller gone", "running", running)
	x.e.metrics.Refused(x.workspace, cleat.ReasonCallerGone)
	if running {
		return x.call.work.Repeatable
	}
	x.e.record(x.call, cleat.OutcomeNotRun, cleat.RecordedAnswer{})
	return true
}

// finish records what a request that was answered whole took.
func (x *exchange) finish(p piece) {
	_, _, dispatched := x.call.progress()
	w := &x.call.work
	s := x.e.metrics.Series(w.Workspace, w.Class)
	s.Wait(dispatched.Sub(x.received))
	s.Whole(x.e.clock.Now().Sub(x.received))
	s.Cost(p.outcome.Usage.Cost(w.Kind))
	x.log("answered", "status", p.status)
}

// giveUp ends a request that was refused after it was submitted.
func (x *exchange) giveUp(r cleat.Refusal) {
	x.e.record(x.call, outcomeOf(r.Ran), cleat.RecordedAnswer{})
	if !x.started {
		x.refuse(&problem{Refusal: r})
		return
	}
	x.count(r)
	if x.gone {
		return
	}
	x.abort(r)
}

// abort cuts an answer that can't be completed, so that the caller never takes
// it for whole; a stream says why in a last event.
func (x *exchange) abort(r cleat.Refusal) {
	r.Request = x.id
	if x.stream && x.boundary {
		x.writeErrorEvent(r)
	}
	panic(http.ErrAbortHandler)
}

func (x *exchange) writeErrorEvent(r cleat.Refusal) {
	event, err := errorEvent(r)
	if err != nil {
		x.e.log.Error("error event not encoded", "request", x.id, "err", err)
		return
	}
	x.setWriteDeadline()
	if _, err := x.w.Write(event); err != nil {
		return
	}
	if err := x.rc.Flush(); err != nil {
		x.e.log.Debug("error event not written", "request", x.id, "err", err)
	}
}
