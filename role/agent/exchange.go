package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

const (
	readBytes        = 32 << 10
	maxResumptions   = 3
	contentTypeEvent = "text/event-stream"
)

var readBuffers = sync.Pool{New: func() any {
	b := make([]byte, readBytes)
	return &b
}}

// hopHeaders are the header lines that concern one connection only.
var hopHeaders = map[string]bool{
	"Connection": true, "Expect": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// exchange is one call under way at an upstream.
type exchange struct {
	engine  *HTTPEngine
	call    cleat.Call
	sink    cleat.AnswerSink
	ctx     context.Context
	begun   time.Time
	stall   *stallTimer
	events  *events // Set while the answer is a stream of a model.
	tail    tail
	touched atomic.Bool // A connection was had, so bytes may have reached the upstream.
	status  int
}

func (x *exchange) run() cleat.Outcome {
	resp, err := x.send("")
	if err != nil {
		return x.failure()
	}
	defer func() { _ = resp.Body.Close() }()
	if x.retryable(resp.StatusCode) {
		return x.outcome(cleat.OutcomeFailed, cleat.ReasonUpstreamFailed)
	}
	x.status = resp.StatusCode
	if err := x.sink.Start(resp.StatusCode, answerHeader(resp.Header)); err != nil {
		return x.failure()
	}
	if x.isStream(resp) {
		x.events = &events{}
	}
	err = x.copy(resp.Body)
	for n := 0; err != nil && n < maxResumptions && x.canResume(); n++ {
		err = x.resume()
	}
	if err != nil {
		return x.failure()
	}
	return x.outcome(cleat.OutcomeDone, "")
}

// retryable reports whether the answer is a failure that another upstream may make good.
func (x *exchange) retryable(status int) bool {
	return x.call.Repeatable && (status >= http.StatusInternalServerError || status == http.StatusTooManyRequests)
}

func (x *exchange) isStream(resp *http.Response) bool {
	return x.call.Kind == cleat.KindModel && resp.StatusCode < http.StatusMultipleChoices &&
		strings.HasPrefix(resp.Header.Get("Content-Type"), contentTypeEvent)
}

// send hands the call over, to be resumed after lastEvent unless that is empty.
func (x *exchange) send(lastEvent string) (*http.Response, error) {
	req, err := x.request(lastEvent)
	if err != nil {
		return nil, err
	}
	transport := x.engine.once
	if x.call.Repeatable {
		transport = x.engine.repeat
	}
	x.stall.start()
	defer x.stall.pause()
	return transport.RoundTrip(req)
}

func (x *exchange) request(lastEvent string) (*http.Request, error) {
	ctx := httptrace.WithClientTrace(x.ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { x.touched.Store(true) },
	})
	var body io.Reader
	if len(x.call.Body) > 0 {
		body = bytes.NewReader(x.call.Body)
	}
	req, err := http.NewRequestWithContext(ctx, x.call.Method, x.engine.base+x.call.Target, body)
	if err != nil {
		return nil, err
	}
	for _, f := range x.call.Header {
		if x.passes(http.CanonicalHeaderKey(f.Name)) {
			req.Header.Add(f.Name, f.Value)
		}
	}
	req.Header.Set(cleat.HeaderUpstreamRequest, x.call.Attempt.String())
	if lastEvent != "" {
		req.Header.Set(cleat.HeaderLastEvent, lastEvent)
	}
	return req, nil
}

// passes reports whether a request's header line goes to the upstream; a
// model's answer must stay readable, so it is not asked for compressed.
func (x *exchange) passes(name string) bool {
	return !hopHeaders[name] && (name != "Accept-Encoding" || x.call.Kind != cleat.KindModel)
}

// copy feeds the answer's body to the sink until it ends.
func (x *exchange) copy(body io.Reader) error {
	buf := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(buf)
	for {
		x.stall.start()
		n, err := body.Read(*buf)
		x.stall.pause()
		if n > 0 {
			if err := x.pass((*buf)[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return x.ended()
		}
		if err != nil {
			return err
		}
	}
}

func (x *exchange) pass(b []byte) error {
	if x.events == nil {
		x.tail.feed(b)
		return x.sink.Data(b)
	}
	whole := x.events.feed(b)
	if len(whole) == 0 {
		return nil
	}
	x.sink.ReportUsage(x.usage())
	return x.sink.Data(whole)
}

// ended checks that an answer that ended properly is whole.
func (x *exchange) ended() error {
	if x.events != nil && x.events.broken() {
		return trace.Wrap(io.ErrUnexpectedEOF, "exchange.ended")
	}
	return nil
}

// canResume reports whether the upstream may be asked for the rest of a cut
// stream; never for a non-repeatable call, which it might run again.
func (x *exchange) canResume() bool {
	return x.engine.canResume && x.call.Repeatable && x.ctx.Err() == nil && x.events != nil && x.events.resumable()
}

func (x *exchange) resume() error {
	x.events.dropPending()
	resp, err := x.send(x.events.lastID)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != x.status || !x.isStream(resp) {
		return trace.BadParameter("exchange.resume: the upstream answered %d", resp.StatusCode)
	}
	return x.copy(resp.Body)
}

// failure tells honestly how an exchange ended that broke off.
func (x *exchange) failure() cleat.Outcome {
	cause := context.Cause(x.ctx)
	reason := cleat.ReasonUpstreamFailed
	if errors.Is(cause, errDeadline) {
		reason = cleat.ReasonDeadline
	}
	switch {
	case !x.touched.Load():
		return x.outcome(cleat.OutcomeNotRun, reason)
	case errors.Is(cause, errCanceled) || errors.Is(cause, errEntryLost):
		return x.outcome(cleat.OutcomeCanceled, cleat.ReasonCallerGone)
	case !x.call.Repeatable && x.status == 0:
		return x.outcome(cleat.OutcomeUnknown, reason)
	}
	return x.outcome(cleat.OutcomeFailed, reason)
}

func (x *exchange) outcome(kind cleat.OutcomeKind, reason cleat.Reason) cleat.Outcome {
	return cleat.Outcome{Kind: kind, Reason: reason, Usage: x.usage()}
}

func (x *exchange) usage() cleat.Usage {
	u := cleat.Usage{Busy: time.Since(x.begun)}
	if !x.touched.Load() {
		u.Busy = 0
	}
	var seen cleat.Usage
	if x.events != nil {
		seen = x.events.used
	} else if x.call.Kind == cleat.KindModel {
		seen, _ = x.tail.usage()
	}
	u.InputTokens, u.CachedTokens, u.OutputTokens = seen.InputTokens, seen.CachedTokens, seen.OutputTokens
	return u
}

// answerHeader returns the header lines that pass on to the caller.
func answerHeader(h http.Header) []cleat.HeaderField {
	fields := make([]cleat.HeaderField, 0, len(h))
	for name, values := range h {
		if hopHeaders[name] {
			continue
		}
		for _, v := range values {
			fields = append(fields, cleat.HeaderField{Name: name, Value: v})
		}
	}
	return fields
}
