package entry

import (
	"errors"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/assert"
)

// exchange is one request and its answer, as the caller's goroutine sees them.
type exchange struct {
	e         *Entry
	w         http.ResponseWriter
	rc        *http.ResponseController
	r         *http.Request
	id        cleat.RequestID
	received  time.Time
	workspace cleat.WorkspaceID
	call      *call

	started  bool   // The head was written.
	stream   bool   // The answer is a stream of events.
	boundary bool   // The last byte written ended an event.
	first    bool   // The first byte of the body was written.
	gone     bool   // The caller is; the rest of the answer is only recorded.
	taken    uint64 // Bytes of the body so far.
	acked    uint64
	tail     []byte
	recorder *recorder
}

// serve answers one request; it panics with http.ErrAbortHandler to cut an
// answer that can't be completed.
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
		p := refused(cleat.ReasonShutdown, "")
		p.RetryAfter = time.Second
		x.refuse(p)
		return
	}
	defer e.gate.leave()
	if r.ContentLength != 0 {
		// It holds for what the server discards of an unread body, too.
		x.setReadDeadline(time.Now().Add(e.cfg.BodyTimeout))
	}
	x.run()
}

func (x *exchange) run() {
	if p := x.accept(); p != nil {
		x.refuseEarly(p)
		return
	}
	defer x.e.held.give(len(x.call.body))
	if x.call.work.Key != "" {
		if done := x.claim(); done {
			return
		}
	}
	x.submit()
	defer x.e.calls.remove(x.id)
	x.deliver()
	if x.gone {
		// Whatever of the connection is left must not look like a whole answer.
		panic(http.ErrAbortHandler)
	}
}

// accept reads the request whole and decides whether it may wait.
func (x *exchange) accept() *problem {
	f, ok := x.e.fleet.Fleet()
	if !ok {
		p := refused(cleat.ReasonNotReady, "")
		p.RetryAfter = time.Second
		return p
	}
	ws, p := authorise(f, x.r)
	if p != nil {
		return p
	}
	x.workspace = ws.ID
	if p := checkForm(x.r, f.Limits()); p != nil {
		return p
	}
	body, p := x.readBody(f.Limits().MaxBodyBytes)
	if p != nil {
		return p
	}
	if p := x.describe(f, ws, body); p != nil {
		x.e.held.give(len(body))
		return p
	}
	return nil
}

// describe finds the rule that the request falls under and makes its call.
func (x *exchange) describe(f *cleat.Fleet, ws cleat.Workspace, body []byte) *problem {
	chat, p := readChat(x.r, body)
	if p != nil {
		return p
	}
	var model cleat.ModelID
	if chat != nil {
		model = chat.Model
	}
	rule, ok := f.Rules().Match(ws.ID.Team(), x.r.Method, x.r.URL.Path, string(model))
	if !ok {
		return refused(cleat.ReasonNoRule, "")
	}
	if rule.Kind == cleat.KindModel && chat == nil {
		return refused(cleat.ReasonMalformed, "model calls go to "+cleat.ChatPath+" by POST")
	}
	key, p := idempotencyKey(rule, x.r.Header)
	if p != nil {
		return p
	}
	work := newWork(f, ws, rule, chat, len(body), x.received)
	work.ID = x.id
	work.Key = key
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

func (x *exchange) readBody(limit int64) ([]byte, *problem) {
	if x.r.ContentLength == 0 {
		return nil, nil
	}
	body, err := readBody(x.r.Body, x.r.ContentLength, limit, x.e.held)
	if err == nil {
		x.setReadDeadline(time.Time{})
		return body, nil
	}
	// The rest of the body is still to come, so the connection can't be used again.
	x.w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, errNoRoom):
		p := refused(cleat.ReasonFleetFull, "")
		p.RetryAfter = time.Second
		return nil, p
	case trace.IsLimitExceeded(err):
		return nil, refused(cleat.ReasonTooLarge, "body")
	case trace.IsConnectionProblem(err):
		return nil, refused(cleat.ReasonCallerSlow, "")
	default:
		return nil, refused(cleat.ReasonMalformed, "body broke off")
	}
}

// setReadDeadline bounds how long the caller may take to send; without support
// by the connection the server's own timeouts remain.
func (x *exchange) setReadDeadline(t time.Time) {
	if err := x.rc.SetReadDeadline(t); err != nil {
		x.e.log.Debug("read deadline not set", "request", x.id, "err", err)
	}
}

// claim makes the durable claim and reports whether the request ends here.
func (x *exchange) claim() bool {
	answer, p := x.e.claim(x.call)
	if p != nil {
		x.refuseEarly(p)
		return true
	}
	if answer == nil {
		x.recorder = &recorder{max: x.e.cfg.MaxRecordBytes}
		return false
	}
	x.setWriteDeadline()
	if err := replay(x.w, x.id, answer); err != nil {
		x.e.log.Debug("recorded answer not written", "request", x.id, "err", err)
	}
	return true
}

func (x *exchange) submit() {
	x.e.calls.put(x.call)
	x.e.decide(func(now time.Time) cleat.Effects {
		eff := x.e.configure(now)
		eff.Add(x.e.table.Submit(now, x.call.work))
		return eff
	})
}

// refuseEarly refuses a request that the table never saw.
func (x *exchange) refuseEarly(p *problem) {
	x.e.early.add(x.workspace, p.Reason)
	x.refuse(p)
}

// refuse answers with a refusal; nothing was answered yet.
func (x *exchange) refuse(p *problem) {
	if x.started {
		assert.Fail("answered-once", "%s is refused as %s after its answer began", x.id, p.Reason)
		return
	}
	p.Request = x.id
	x.count(p.Refusal)
	if x.gone {
		return
	}
	x.setWriteDeadline()
	if err := writeRefusal(x.w, p.Refusal, p.detail); err != nil {
		x.e.log.Debug("refusal not written", "request", x.id, "err", err)
	}
}

func (x *exchange) count(r cleat.Refusal) {
	x.e.metrics.Refused(x.workspace, r.Reason)
	x.log("refused", "reason", r.Reason, "ran", r.Ran)
}

// log writes a line with the request's fields.
func (x *exchange) log(msg string, fields ...any) {
	all := []any{"request", x.id, "workspace", x.workspace}
	if x.call != nil {
		a, upstream, _ := x.call.progress()
		all = append(all, "class", x.call.work.Class, "attempt", a.Number, "upstream", upstream)
	}
	x.e.log.Debug(msg, append(all, fields...)...)
}
