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
	"marigoldcleat.example/cleat/link/upconn"
)

const (
	readBufferBytes        = 32 << 10
	maxResumptions         = 3
	contentTypeEventStream = "text/event-stream"
)

var readBuffers = sync.Pool{New: func() any {
	b := make([]byte, readBufferBytes)
	return &b
}}

// hopByHopHeaders are the header fields that apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Expect": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// exchange is one call in progress at an upstream.
type exchange struct {
	engine    *HTTPEngine
	call      cleat.Call
	sink      cleat.AnswerSink
	ctx       context.Context
	startedAt time.Time
	stall     *stallTimer
	events    *sseParser // Nil unless the answer is an event stream of a model.
	tail      usageTail
	received  int64       // Bytes of the body, over all resumptions.
	gotConn   atomic.Bool // A connection was obtained, so the request may have reached the upstream.
	status    int
}

func (x *exchange) run() cleat.Outcome {
	resp, err := x.send("")
	if err != nil {
		return x.failureOutcome()
	}
	defer func() { _ = resp.Body.Close() }()
	if x.isRetryable(resp.StatusCode) {
		return x.outcome(cleat.OutcomeFailed, cleat.ReasonUpstreamFailed)
	}
	x.status = resp.StatusCode
	if err := x.sink.Start(resp.StatusCode, answerHeader(resp.Header)); err != nil {
		return x.failureOutcome()
	}
	if x.isStream(resp) {
		x.events = &sseParser{}
	}
	err = x.copyBody(resp.Body)
	for n := 0; err != nil && n < maxResumptions && x.canResume(); n++ {
		err = x.resume()
	}
	if err != nil {
		return x.failureOutcome()
	}
	return x.outcome(cleat.OutcomeDone, "")
}

// isRetryable reports whether the status is a failure that a retry at another upstream may avoid.
func (x *exchange) isRetryable(status int) bool {
	return x.call.Repeatable && (status >= http.StatusInternalServerError || status == http.StatusTooManyRequests)
}

func (x *exchange) isStream(resp *http.Response) bool {
	return x.call.Kind == cleat.KindModel && resp.StatusCode < http.StatusMultipleChoices &&
		strings.HasPrefix(resp.Header.Get("Content-Type"), contentTypeEventStream)
}

// send sends the request and returns the response. A non-empty lastEvent asks the
// upstream to resume its stream after that event.
func (x *exchange) send(lastEvent string) (*http.Response, error) {
	req, err := x.newRequest(lastEvent)
	if err != nil {
		return nil, err
	}
	transport := x.engine.singleUse
	if x.call.Repeatable {
		transport = x.engine.keepAlive
	}
	defer x.stall.pause()
	return transport.RoundTrip(req) // Starts the stall timer once it has a connection.
}

func (x *exchange) newRequest(lastEvent string) (*http.Request, error) {
	ctx := httptrace.WithClientTrace(x.ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*upconn.Conn); ok {
				_ = c.BeginAnswer(nil) // Nothing has been read, so nothing is malformed.
			}
			x.gotConn.Store(true)
			x.stall.start()
		},
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
		if x.forwardsHeader(http.CanonicalHeaderKey(f.Name)) {
			req.Header.Add(f.Name, f.Value)
		}
	}
	req.Header.Set(cleat.HeaderUpstreamRequest, x.call.Attempt.String())
	if lastEvent != "" {
		req.Header.Set(cleat.HeaderLastEvent, lastEvent)
	}
	return req, nil
}

// forwardsHeader reports whether a request's header field is sent to the upstream.
// Accept-Encoding is not sent to models, because the agent must be able to parse
// their answers.
func (x *exchange) forwardsHeader(name string) bool {
	return !hopByHopHeaders[name] && (name != "Accept-Encoding" || x.call.Kind != cleat.KindModel)
}

// copyBody writes the answer's body to the sink until the body ends.
func (x *exchange) copyBody(body io.Reader) error {
	buf := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(buf)
	for {
		x.stall.start()
		n, err := body.Read(*buf)
		x.stall.pause()
		if x.received += int64(n); x.received > x.engine.maxAnswerBytes {
			return trace.LimitExceeded("exchange.copyBody: the answer has more than %d bytes", x.engine.maxAnswerBytes)
		}
		if n > 0 {
			if err := x.forward((*buf)[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return x.checkEnd()
		}
		if err != nil {
			return err
		}
	}
}

func (x *exchange) forward(b []byte) error {
	if x.events == nil {
		x.tail.feed(b)
		return x.sink.Data(b)
	}
	complete := x.events.feed(b)
	if len(complete) == 0 {
		return nil
	}
	x.sink.ReportUsage(x.usage())
	return x.sink.Data(complete)
}

// checkEnd returns io.ErrUnexpectedEOF if the body was an event stream that ended early.
func (x *exchange) checkEnd() error {
	if x.events != nil && x.events.isTruncated() {
		return trace.Wrap(io.ErrUnexpectedEOF, "exchange.checkEnd")
	}
	return nil
}

// canResume reports whether the upstream may be asked for the rest of a truncated
// stream. A non-repeatable call is never resumed, because the upstream might run it
// again.
func (x *exchange) canResume() bool {
	return x.engine.canResume && x.call.Repeatable && x.ctx.Err() == nil && x.events != nil && x.events.canResume()
}

func (x *exchange) resume() error {
	x.events.discardPending()
	resp, err := x.send(x.events.lastID)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != x.status || !x.isStream(resp) {
		return trace.BadParameter("exchange.resume: the upstream answered %d", resp.StatusCode)
	}
	return x.copyBody(resp.Body)
}

// failureOutcome returns the outcome of an exchange that did not complete. Without a
// connection the call was not run. With one, errCanceled and errEntryLost give a canceled
// outcome; otherwise a non-repeatable call that got no status has an unknown outcome.
func (x *exchange) failureOutcome() cleat.Outcome {
	cause := context.Cause(x.ctx)
	reason := cleat.ReasonUpstreamFailed
	if errors.Is(cause, errDeadline) {
		reason = cleat.ReasonDeadline
	}
	switch {
	case !x.gotConn.Load():
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
	u := cleat.Usage{Busy: time.Since(x.startedAt)}
	if !x.gotConn.Load() {
		u.Busy = 0
	}
	var reported cleat.Usage
	if x.events != nil {
		reported = x.events.usage
	} else if x.call.Kind == cleat.KindModel {
		reported, _ = x.tail.usage()
	}
	u.InputTokens, u.CachedTokens, u.OutputTokens = reported.InputTokens, reported.CachedTokens, reported.OutputTokens
	return u
}

// answerHeader returns the header fields that are forwarded to the caller.
func answerHeader(h http.Header) []cleat.HeaderField {
	fields := make([]cleat.HeaderField, 0, len(h))
	for name, values := range h {
		if hopByHopHeaders[name] {
			continue
		}
		for _, v := range values {
			fields = append(fields, cleat.HeaderField{Name: name, Value: v})
		}
	}
	return fields
}
