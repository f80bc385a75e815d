package entry

import (
	"errors"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/assert"
)

// exchange is one request and its answer; only the goroutine that serves the
// caller uses it.
type exchange struct {
	e         *Entry
	w         http.ResponseWriter
	rc        *http.ResponseController
	r         *http.Request
	id        cleat.RequestID
	received  time.Time
	workspace cleat.WorkspaceID
	call      *call

	headWritten      bool   // Status and header were written.
	isStream         bool   // The answer is a stream of server-sent events.
	atEventBoundary  bool   // The last byte written ended an event.
	firstByteWritten bool   // A piece of the answer was written, perhaps only its head.
	callerGone       bool   // The caller disconnected; the rest of the answer is only recorded.
	bodyBytes        uint64 // Bytes of the answer's body received so far.
	ackedOffset      uint64 // Last offset acknowledged to the agent.
	tail             []byte // Last bytes written, to detect the end of an event.
	recorder         *answerRecorder
}

// serve answers one request. It panics with http.ErrAbortHandler to close the
// connection on an answer that can't be completed.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	x := &exchange{
		e:        e,
		w:        w,
		rc:       http.NewResponseController(w),
		r:        r,
		id:       e.nextID(),
		received: e.clock.Now(),
	}
	if !e.gate.enter() {
		refusal := newRefusal(cleat.ReasonShutdown, "")
		refusal.RetryAfter = time.Second
		x.refuse(refusal)
		return
	}
	defer e.gate.exit()
	if r.ContentLength != 0 {
		// The deadline also applies to the rest of an unread body, which the server discards.
		x.setReadDeadline(time.Now().Add(e.cfg.BodyTimeout))
	}
	x.handle()
}

func (x *exchange) handle() {
	if refusal := x.readRequest(); refusal != nil {
		x.refuseEarly(refusal)
		return
	}
	defer x.e.bodyBudget.release(len(x.call.body))
	if x.call.work.IdempotencyKey != "" {
		if answered := x.claimKey(); answered {
			return
		}
	}
	x.submit()
	defer x.e.calls.remove(x.id)
	x.deliverAnswer()
	if x.callerGone {
		// Closing the connection keeps the answer from looking complete.
		panic(http.ErrAbortHandler)
	}
}

// readRequest reads and checks the complete request, and sets x.call unless the
// request is refused.
func (x *exchange) readRequest() *detailedRefusal {
	f, ok := x.e.fleet.Fleet()
	if !ok {
		refusal := newRefusal(cleat.ReasonNotReady, "")
		refusal.RetryAfter = time.Second
		return refusal
	}
	ws, refusal := authenticate(f, x.r)
	if refusal != nil {
		return refusal
	}
	x.workspace = ws.ID
	if refusal := checkRequest(x.r, f.Limits()); refusal != nil {
		return refusal
	}
	body, refusal := x.readBody(f.Limits().MaxBodyBytes)
	if refusal != nil {
		return refusal
	}
	if refusal := x.newCall(f, ws, body); refusal != nil {
		x.e.bodyBudget.release(len(body))
		return refusal
	}
	return nil
}

// newCall finds the rule that matches the request and sets x.call.
func (x *exchange) newCall(f *cleat.Fleet, ws cleat.Workspace, body []byte) *detailedRefusal {
	chat, refusal := parseChat(x.r, body)
	if refusal != nil {
		return refusal
	}
	var model cleat.ModelID
	if chat != nil {
		model = chat.Model
	}
	rule, ok := f.Rules().Match(ws.ID.Team(), x.r.Method, x.r.URL.Path, string(model))
	if !ok {
		return newRefusal(cleat.ReasonNoRule, "")
	}
	if rule.Kind == cleat.KindModel && chat == nil {
		return newRefusal(cleat.ReasonMalformed, "model calls go to "+cleat.ChatPath+" by POST")
	}
	key, refusal := idempotencyKey(rule, x.r.Header)
	if refusal != nil {
		return refusal
	}
	work := newWork(f, ws, rule, chat, len(body), x.received)
	work.ID = x.id
	work.IdempotencyKey = key
	x.call = &call{
		work:   work,
		method: x.r.Method,
		target: x.r.URL.RequestURI(),
		header: requestHeader(x.r.Header),
		body:   body,
		wake:   make(chan struct{}, 1),
	}
	return nil
}

func (x *exchange) readBody(limit int64) ([]byte, *detailedRefusal) {
	if x.r.ContentLength == 0 {
		return nil, nil
	}
	body, err := readBody(x.r.Body, x.r.ContentLength, limit, x.e.bodyBudget)
	if err == nil {
		x.setReadDeadline(time.Time{})
		return body, nil
	}
	// The rest of the body was not read, so the connection can't be reused.
	x.w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, errBudgetExhausted):
		refusal := newRefusal(cleat.ReasonFleetFull, "")
		refusal.RetryAfter = time.Second
		return nil, refusal
	case trace.IsLimitExceeded(err):
		return nil, newRefusal(cleat.ReasonTooLarge, "body")
	case trace.IsConnectionProblem(err):
		return nil, newRefusal(cleat.ReasonCallerSlow, "")
	default:
		return nil, newRefusal(cleat.ReasonMalformed, "body broke off")
	}
}

// setReadDeadline sets the deadline for reading from the caller. If the connection
// does not support deadlines, the server's own timeouts apply.
func (x *exchange) setReadDeadline(t time.Time) {
	if err := x.rc.SetReadDeadline(t); err != nil {
		x.e.log.Debug("read deadline not set", "request", x.id, "err", err)
	}
}

// claimKey claims the idempotency key and reports whether the request was
// answered, by a refusal or a recorded answer.
func (x *exchange) claimKey() bool {
	answer, refusal := x.e.claimKey(x.call)
	if refusal != nil {
		x.refuseEarly(refusal)
		return true
	}
	if answer == nil {
		x.recorder = &answerRecorder{max: x.e.cfg.MaxRecordBytes}
		return false
	}
	x.setWriteDeadline()
	if err := writeRecordedAnswer(x.w, x.id, answer); err != nil {
		x.e.log.Debug("recorded answer not written", "request", x.id, "err", err)
	}
	return true
}

func (x *exchange) submit() {
	x.e.calls.add(x.call)
	x.e.updateTable(func(now time.Time) cleat.Effects {
		eff := x.e.updateSettings(now)
		eff.Add(x.e.table.Submit(now, x.call.work))
		return eff
	})
}

// refuseEarly refuses a request that was not submitted to the table.
func (x *exchange) refuseEarly(refusal *detailedRefusal) {
	x.e.earlyRefusals.record(x.workspace, refusal.Reason)
	x.refuse(refusal)
}

// refuse answers with a refusal; the head of an answer must not have been written.
func (x *exchange) refuse(refusal *detailedRefusal) {
	if x.headWritten {
		assert.Fail("answered-once", "%s refused as %s after its answer started", x.id, refusal.Reason)
		return
	}
	refusal.Request = x.id
	x.countRefusal(refusal.Refusal)
	if x.callerGone {
		return
	}
	x.setWriteDeadline()
	if err := writeRefusal(x.w, refusal.Refusal, refusal.detail); err != nil {
		x.e.log.Debug("refusal not written", "request", x.id, "err", err)
	}
}

func (x *exchange) countRefusal(r cleat.Refusal) {
	x.e.metrics.CountRefusal(x.workspace, r.Reason)
	x.log("refused", "reason", r.Reason, "ran", r.Ran)
}

// log writes a debug line with the request's fields.
func (x *exchange) log(msg string, fields ...any) {
	all := []any{"request", x.id, "workspace", x.workspace}
	if x.call != nil {
		a, upstream, _ := x.call.lastAttempt()
		all = append(all, "class", x.call.work.Class, "attempt", a.Number, "upstream", upstream)
	}
	x.e.log.Debug(msg, append(all, fields...)...)
}
