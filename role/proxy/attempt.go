package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/place"
)

// maxBuffered is the size up to which an answer is read whole before it is
// passed on, so that one that breaks off can still be repeated or refused.
const maxBuffered = 256 << 10

// buffered is an upstream's answer that was read whole.
type buffered struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to one upstream and passes its answer on.
func (x *exchange) attempt(u cleat.UpstreamRecord) (result, *buffered) {
	p := x.role.pool(u)
	conn, err := p.get(x.ctx, x.role.clock.Now())
	if err != nil {
		outcome := place.OutcomeUnreachable
		if x.ctx.Err() != nil {
			outcome = place.OutcomeCanceled
		}
		x.role.end(x.job, outcome)
		x.decide("not_connected", "upstream", u.Upstream, "address", u.Address, "err", err)
		if x.ctx.Err() != nil {
			x.ended()
			return resultDone, nil
		}
		return resultNotRun, nil
	}
	x.attempts++
	x.begun = false
	stop := context.AfterFunc(x.ctx, conn.close)
	defer stop()
	head := x.encode(u)
	resp, info, err := conn.roundTrip(head, x.body, x.r.Method, x.info.ID, x.role.cfg.Dialect)
	if err != nil {
		conn.close()
		return x.lost(u, err), nil
	}
	return x.take(u, p, conn, resp, info)
}

// encode writes the head of the request for an upstream.
func (x *exchange) encode(u cleat.UpstreamRecord) []byte {
	h := x.r.Header.Clone()
	x.role.cfg.Dialect.WriteRequest(h, cleat.OutgoingInfo{
		Workspace: x.owner, Upstream: u.Upstream, TimeLeft: x.until.Sub(x.role.clock.Now()), LastEvent: x.events.last,
	})
	var b bytes.Buffer
	b.WriteString(x.r.Method + " " + targetOf(x.r) + " HTTP/1.1\r\nHost: " + x.r.Host + "\r\n")
	if len(x.body) > 0 || x.r.Method == http.MethodPost || x.r.Method == http.MethodPut || x.r.Method == http.MethodPatch {
		h.Set("Content-Length", strconv.Itoa(len(x.body)))
	}
	// A bytes.Buffer takes every write.
	_ = h.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// lost judges an attempt whose connection failed before an answer came: the
// request may have run.
func (x *exchange) lost(u cleat.UpstreamRecord, err error) result {
	x.mayRan = true
	if ctxErr := x.ctx.Err(); ctxErr != nil {
		x.role.end(x.job, place.OutcomeCanceled)
		if errors.Is(ctxErr, context.DeadlineExceeded) {
			return resultFailed
		}
		x.ended()
		return resultDone
	}
	x.role.end(x.job, place.OutcomeUnreachable)
	x.decide("connection_lost", "upstream", u.Upstream, "address", u.Address, "err", err)
	return resultFailed
}

// take judges an answer by its head.
func (x *exchange) take(u cleat.UpstreamRecord, p *pool, conn *upConn, resp *http.Response, info cleat.AnswerInfo) (result, *buffered) {
	switch {
	case info.NotRun:
		x.finish(p, conn, resp)
		outcome := place.OutcomeFull
		if resp.StatusCode == http.StatusMisdirectedRequest {
			outcome = place.OutcomeUnreachable // Another upstream has the address.
		}
		x.role.end(x.job, outcome)
		x.decide("not_run", "upstream", u.Upstream, "status", resp.StatusCode, "running", info.Running, "waiting", info.Waiting)
		return resultNotRun, nil
	case info.Encoded || (!info.Stamped && resp.StatusCode < http.StatusMultipleChoices):
		conn.close()
		return x.spoilt(u, "it is not the upstream's answer"), nil
	case x.route.Kind == cleat.RouteStream && resp.StatusCode == http.StatusOK:
		return x.stream(u, p, conn, resp), nil
	}
	return x.whole(u, p, conn, resp)
}

// spoilt notes an answer that can't be passed on.
func (x *exchange) spoilt(u cleat.UpstreamRecord, why string) result {
	x.mayRan = true
	x.role.end(x.job, place.OutcomeFailed)
	x.decide("answer_spoilt", "upstream", u.Upstream, "why", why, "attempts", x.attempts)
	return resultFailed
}

// finish reads the rest of an answer that is not passed on and keeps the
// connection, if that is quick.
func (x *exchange) finish(p *pool, conn *upConn, resp *http.Response) {
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes)); err != nil {
		conn.close()
		return
	}
	x.release(p, conn, resp)
}

// release keeps the connection after a complete answer, unless the rest of a
// long request may still be leaving on it.
func (x *exchange) release(p *pool, conn *upConn, resp *http.Response) {
	if resp.Close || len(x.body) > inlineBody {
		conn.close()
		return
	}
	p.put(conn, x.role.clock.Now(), resp.Header)
}

// whole reads an answer and passes it on, unless the request may be repeated.
func (x *exchange) whole(u cleat.UpstreamRecord, p *pool, conn *upConn, resp *http.Response) (result, *buffered) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBuffered))
	if err != nil {
		conn.close()
		if x.ctx.Err() != nil {
			return x.lost(u, err), nil
		}
		return x.spoilt(u, err.Error()), nil
	}
	if len(body) == maxBuffered {
		return x.long(u, p, conn, resp, body), nil
	}
	x.release(p, conn, resp)
	x.begin()
	b := &buffered{status: resp.StatusCode, header: resp.Header, body: body}
	if resp.StatusCode < http.StatusInternalServerError && !promises(resp.StatusCode) {
		x.role.end(x.job, place.OutcomeServed)
		x.deliver(b)
		return resultDone, nil
	}
	x.mayRan = true
	x.role.end(x.job, place.OutcomeFailed)
	x.decide("upstream_failure", "upstream", u.Upstream, "status", resp.StatusCode, "attempts", x.attempts)
	if promises(resp.StatusCode) {
		return resultFailed, nil
	}
	return resultFailed, b
}

// begin notes the first bytes of an answer, once an attempt.
func (x *exchange) begin() {
	if !x.begun {
		x.begun = true
		x.role.begin(x.job)
	}
}

// promises reports whether callers take a status as the word that nothing ran,
// which an upstream gives only in its own way.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// deliver passes an upstream's answer on.
func (x *exchange) deliver(b *buffered) {
	x.writeHead(b.status, b.header, len(b.body))
	if _, err := x.w.Write(b.body); err != nil {
		x.decide("caller_gone", "err", err)
		return
	}
	x.decide("answered", "status", b.status, "attempts", x.attempts)
	x.role.measures.answered(x.service, strconv.Itoa(b.status), x.role.clock.Now().Sub(x.began))
}

// unknownLength is for answers whose length is not known at their head.
const unknownLength = -1

// writeHead writes an upstream's head; length is that of the body, in bytes.
func (x *exchange) writeHead(status int, from http.Header, length int) {
	h := x.w.Header()
	x.role.cfg.Dialect.CleanAnswer(from)
	for name, values := range from {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // Else the server would guess one.
	}
	if length != unknownLength {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	x.w.WriteHeader(status)
}

// long passes on an answer that is too large to be read whole first.
func (x *exchange) long(u cleat.UpstreamRecord, p *pool, conn *upConn, resp *http.Response, start []byte) result {
	x.begin()
	x.writeHead(resp.StatusCode, resp.Header, unknownLength)
	if _, err := x.w.Write(start); err != nil {
		conn.close()
		x.role.end(x.job, place.OutcomeCanceled)
		x.decide("caller_gone", "err", err)
		return resultDone
	}
	if _, err := io.Copy(x.w, resp.Body); err != nil {
		conn.close()
		x.role.end(x.job, place.OutcomeFailed)
		x.cut("upstream_broke_off")
	}
	x.release(p, conn, resp)
	x.role.end(x.job, place.OutcomeServed)
	x.decide("answered", "status", resp.StatusCode, "upstream", u.Upstream, "attempts", x.attempts)
	x.role.measures.answered(x.service, strconv.Itoa(resp.StatusCode), x.role.clock.Now().Sub(x.began))
	return resultDone
}
