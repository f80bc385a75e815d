package entry

import (
	"bytes"
	"errors"
	"net/http"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/assert"
)

// deliverAnswer writes the answer as it arrives, until its end or a refusal.
func (x *exchange) deliverAnswer() {
	gone := x.r.Context().Done()
	for {
		select {
		case <-x.call.wake:
			if x.deliverNext() {
				return
			}
		case <-gone:
			gone = nil
			if x.handleCallerGone() {
				return
			}
		}
	}
}

// deliverNext writes what arrived and reports whether the request ended.
func (x *exchange) deliverNext() (over bool) {
	p, r := x.call.takePiece()
	if r != nil {
		x.endRefused(*r)
		return true
	}
	if x.callerGone && x.call.isWaiting() {
		// The attempt did not run and the request waits again, so it can be withdrawn.
		return x.handleCallerGone()
	}
	if p.resume {
		x.sendToAgent(&cleat.Resume{Attempt: p.attempt, Offset: p.nextOffset})
	}
	if p.status == 0 || (p.ended && p.outcome.Kind != cleat.OutcomeDone && !x.headWritten) {
		return false
	}
	if !x.headWritten && !x.startAnswer(p) {
		return false
	}
	done := p.ended && p.outcome.Kind == cleat.OutcomeDone
	x.checkContinuity(p)
	x.recordPiece(p, done)
	if !x.callerGone && x.writePiece(p) != nil && x.handleCallerGone() {
		return true
	}
	x.acknowledge(p)
	if done {
		x.recordCompletion(p)
	}
	return done
}

// checkContinuity counts the bytes of a piece and asserts that it continues the
// answer where the last one ended.
func (x *exchange) checkContinuity(p piece) {
	for _, b := range p.chunks {
		x.bodyBytes += uint64(len(b))
	}
	if x.bodyBytes != p.nextOffset {
		assert.Fail("answer-in-order", "%s received %d bytes of its answer, but the next offset is %d", x.id, x.bodyBytes, p.nextOffset)
	}
}

// startAnswer starts the delivery and writes the head, unless the caller is gone.
// It returns false when the attempt's answer was discarded in the meantime.
func (x *exchange) startAnswer(p piece) bool {
	if !x.e.startDelivery(x.call, p.attempt) {
		return false
	}
	x.headWritten = true
	if x.recorder != nil {
		x.recorder.setHead(p.status, p.header)
	}
	if x.callerGone {
		return true
	}
	h := x.w.Header()
	copyAnswerHeader(h, p.header)
	h.Set(HeaderRan, string(cleat.RanYes))
	h.Set(HeaderRequest, string(x.id))
	x.isStream = isEventStream(h)
	x.atEventBoundary = true
	x.setWriteDeadline()
	x.w.WriteHeader(p.status)
	return true
}

// startDelivery records that an attempt's answer reaches the caller from now on,
// so that the table no longer retries the request. It returns false when the
// attempt's answer was discarded in the meantime.
func (e *Entry) startDelivery(c *call, a cleat.Attempt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	ok, notifyTable := c.startDelivery(a)
	if notifyTable {
		e.table.AnswerStarted(e.clock.Now(), a)
	}
	return ok
}

// recordPiece records a claimed request's answer. The outcome is recorded before
// the end of the answer is written to the caller.
func (x *exchange) recordPiece(p piece, done bool) {
	if x.recorder == nil {
		return
	}
	for _, b := range p.chunks {
		x.recorder.appendBody(b)
	}
	if done {
		x.e.recordOutcome(x.call, cleat.OutcomeDone, x.recorder.answer)
	}
}

// writePiece writes a piece of the body to the caller. An error means that the
// caller disconnected or did not read within the write timeout.
func (x *exchange) writePiece(p piece) error {
	if len(p.chunks) == 0 && p.ended {
		return nil
	}
	x.setWriteDeadline()
	for _, b := range p.chunks {
		if _, err := x.w.Write(b); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
			return err
		}
		x.trackEventBoundary(b)
	}
	if !x.firstByteWritten {
		x.firstByteWritten = true
		x.e.metrics.Series(x.call.work.Workspace, x.call.work.Class).FirstToken(x.e.clock.Now().Sub(x.received))
	}
	if p.ended {
		return nil
	}
	return x.rc.Flush()
}

var eventTerminators = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n"), []byte("\r\r")}

const maxTerminatorBytes = 4

// trackEventBoundary records whether the bytes written so far end at the end of
// an event.
func (x *exchange) trackEventBoundary(b []byte) {
	if !x.isStream || len(b) == 0 {
		return
	}
	x.tail = append(x.tail, b[max(len(b)-maxTerminatorBytes, 0):]...)
	x.tail = x.tail[max(len(x.tail)-maxTerminatorBytes, 0):]
	x.atEventBoundary = false
	for _, terminator := range eventTerminators {
		if bytes.HasSuffix(x.tail, terminator) {
			x.atEventBoundary = true
		}
	}
}

func (x *exchange) setWriteDeadline() {
	if err := x.rc.SetWriteDeadline(time.Now().Add(x.e.cfg.WriteTimeout)); err != nil {
		x.e.log.Debug("write deadline not set", "request", x.id, "err", err)
	}
}

// acknowledge reports to the agent how much was delivered to the caller, so that
// the agent may send more.
func (x *exchange) acknowledge(p piece) {
	if p.ended || p.nextOffset-x.ackedOffset < uint64(x.e.cfg.AckBytes) || x.call.isComplete() {
		return
	}
	x.ackedOffset = p.nextOffset
	x.sendToAgent(&cleat.PartAck{Attempt: p.attempt, Offset: p.nextOffset})
}

// sendToAgent sends m to the agent that runs the request.
func (x *exchange) sendToAgent(m cleat.Message) {
	if l, ok := x.e.links.get(x.call.agent()); ok {
		x.e.trySend(l, m)
	}
}

// handleCallerGone handles a caller that disconnected and reports whether its
// request ends here. A waiting request is withdrawn and a running repeatable one
// is cancelled. A running request that may not be repeated continues; its answer
// is recorded under its idempotency key, if it has one.
func (x *exchange) handleCallerGone() bool {
	x.callerGone = true
	var over, running bool
	x.e.updateTable(func(now time.Time) cleat.Effects {
		over, running = x.call.state()
		if over || (running && !x.call.work.Repeatable) {
			return cleat.Effects{}
		}
		return x.e.table.Cancel(now, x.id)
	})
	if over {
		// The answer's end or the refusal arrived already: deliverNext still has to record the outcome.
		x.call.notify()
		return false
	}
	x.log("caller gone", "running", running)
	x.e.metrics.CountRefusal(x.workspace, cleat.ReasonCallerGone)
	if running {
		return x.call.work.Repeatable
	}
	x.e.recordOutcome(x.call, cleat.OutcomeNotRun, cleat.RecordedAnswer{})
	return true
}

// recordCompletion records the times and cost of a completely answered request.
func (x *exchange) recordCompletion(p piece) {
	_, _, dispatched := x.call.lastAttempt()
	w := &x.call.work
	s := x.e.metrics.Series(w.Workspace, w.Class)
	s.Wait(dispatched.Sub(x.received))
	s.TotalTime(x.e.clock.Now().Sub(x.received))
	s.Cost(p.outcome.Usage.Cost(w.Kind))
	x.log("answered", "status", p.status)
}

// endRefused ends a request that was refused after it was submitted.
func (x *exchange) endRefused(r cleat.Refusal) {
	x.e.recordOutcome(x.call, outcomeForRan(r.Ran), cleat.RecordedAnswer{})
	if !x.headWritten {
		x.refuse(&detailedRefusal{Refusal: r})
		return
	}
	x.countRefusal(r)
	if x.callerGone {
		return
	}
	x.abortAnswer(r)
}

// abortAnswer closes the connection on an answer that can't be completed, so that
// the caller can't mistake it for a complete one. On an event stream between two
// events, an error event with the reason is written first.
func (x *exchange) abortAnswer(r cleat.Refusal) {
	r.Request = x.id
	if x.isStream && x.atEventBoundary {
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
