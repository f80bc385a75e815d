package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/upconn"
	"marigoldcleat.example/cleat/policy/place"
)

// maxBufferedBytes is the size below which an answer is buffered completely before
// it is relayed, so that a truncated one can still be retried or refused.
const maxBufferedBytes = 256 << 10

// firstAnswerBytes is the size of the buffer into which an answer is read at first.
const firstAnswerBytes = 2 << 10

// bufferedAnswer is an upstream's complete answer.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// tryUpstream sends the request to one upstream and relays its answer. If the attempt
// failed with an answer that may still be relayed, it returns that answer.
func (x *exchange) tryUpstream(u cleat.UpstreamRecord) (result, *bufferedAnswer) {
	p := x.role.pool(u)
	now := x.role.clock.Now()
	conn, err := p.get(x.ctx, now, x.dialedBefore(now))
	if err != nil {
		outcome := place.OutcomeUnreachable
		switch {
		case x.ctx.Err() != nil:
			outcome = place.OutcomeNotSent
		case p.hasShutDown(err):
			outcome = place.OutcomeShutDown
		}
		x.role.recordEnd(x.job, outcome)
		x.logDecision("not_connected", "upstream", u.Upstream, "address", u.Address, "err", err)
		if x.ctx.Err() != nil {
			x.endCanceled()
			return resultDone, nil
		}
		return resultNotRun, nil
	}
	if p.takeLost() {
		x.recordClosed(u)
	}
	if !x.role.maySend(x.job, x.watched(conn)) {
		p.putBack(conn)
		x.role.recordEnd(x.job, place.OutcomeNotSent)
		x.logDecision("not_sent", "upstream", u.Upstream, "why", "it left, restarted, became cold, paused, named a rate limit or was evacuated meanwhile")
		return resultNotSent, nil
	}
	x.attempts++
	x.answerStarted, x.begun, x.attemptEvents = false, false, 0
	x.sentAt = x.role.clock.Now()
	x.keepOpen = context.AfterFunc(x.ctx, conn.close)
	defer x.keepOpen()
	head := x.encodeHead(u)
	resp, info, err := conn.roundTrip(head, x.body, x.r.Method, x.info.ID, x.role.cfg.Dialect)
	if err != nil {
		conn.close()
		return x.handleConnLost(u, err), nil
	}
	if (resp.StatusCode != http.StatusOK || info.NotRun) && x.endStalled(u) {
		conn.close()
		return resultFailed, nil
	}
	x.recordRateLimit(u, info)
	x.recordNotice(u, resp.StatusCode, info)
	x.recordWarmUp(u, info)
	x.job.Slowness = info.Slowness
	p.recordClose(resp.Close)
	return x.handleAnswer(u, p, conn, resp, info)
}

// encodeHead returns the request line and header fields for an upstream.
func (x *exchange) encodeHead(u cleat.UpstreamRecord) []byte {
	h := x.r.Header.Clone()
	x.role.cfg.Dialect.WriteRequest(h, cleat.OutgoingInfo{
		Workspace: x.workspace, Upstream: u.Upstream, TimeLeft: x.deadline.Sub(x.role.clock.Now()), LastEvent: x.events.lastID,
		FetchFrom: x.fetchFrom,
	})
	var b bytes.Buffer
	b.WriteString(x.r.Method + " " + targetOf(x.r) + " HTTP/1.1\r\nHost: " + x.r.Host + "\r\n")
	if len(x.body) > 0 || x.r.Method == http.MethodPost || x.r.Method == http.MethodPut || x.r.Method == http.MethodPatch {
		h.Set("Content-Length", strconv.Itoa(len(x.body)))
	}
	// Writes to a bytes.Buffer do not fail.
	_ = h.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// handleConnLost ends an attempt whose connection failed before the answer was
// complete, or whose answer has a malformed head: the request may have run.
func (x *exchange) handleConnLost(u cleat.UpstreamRecord, err error) result {
	x.mayHaveRun = true
	if ctxErr := x.ctx.Err(); ctxErr != nil {
		x.role.recordEnd(x.job, place.OutcomeCanceled)
		if errors.Is(ctxErr, context.DeadlineExceeded) {
			return resultFailed
		}
		x.endCanceled()
		return resultDone
	}
	if x.endStalled(u) {
		return resultFailed
	}
	if errors.Is(err, upconn.ErrMalformedHead) {
		return x.recordCorrupt(u, err.Error())
	}
	x.role.recordEnd(x.job, place.OutcomeLost)
	x.logDecision("connection_lost", "upstream", u.Upstream, "address", u.Address, "err", err, "blocks", x.blockNames(), "digest", x.digestName())
	x.recordBroken(u)
	return resultFailed
}

// handleAnswer decides by the head of an answer whether it is relayed, or whether the
// attempt failed.
func (x *exchange) handleAnswer(u cleat.UpstreamRecord, p *pool, conn *upstreamConn, resp *http.Response, info cleat.AnswerInfo) (result, *bufferedAnswer) {
	switch {
	case info.NotRun:
		x.discardAnswer(p, conn, resp)
		outcome := place.OutcomeFull
		if resp.StatusCode == http.StatusMisdirectedRequest {
			outcome = place.OutcomeMisdirected // The address belongs to another upstream now.
		}
		x.role.recordEnd(x.job, outcome)
		x.logDecision("not_run", "upstream", u.Upstream, "status", resp.StatusCode, "running", info.Running, "waiting", info.Waiting)
		return resultNotRun, nil
	case info.Encoded || (!info.HasSignature && resp.StatusCode < http.StatusMultipleChoices):
		conn.close()
		return x.recordCorrupt(u, "the answer has a content coding, or lacks the signature field of an upstream"), nil
	case x.route.Kind == cleat.RouteStream && resp.StatusCode == http.StatusOK:
		return x.relayStream(u, p, conn, resp), nil
	case x.events.started:
		conn.close()
		return x.recordCorrupt(u, "status "+strconv.Itoa(resp.StatusCode)+" where the rest of a stream is due"), nil
	}
	return x.relayBuffered(u, p, conn, resp)
}

// recordCorrupt ends an attempt whose answer can't be relayed.
func (x *exchange) recordCorrupt(u cleat.UpstreamRecord, reason string) result {
	x.mayHaveRun = true
	x.role.recordEnd(x.job, place.OutcomeFailed)
	x.logDecision("answer_spoilt", "upstream", u.Upstream, "why", reason, "attempts", x.attempts)
	return resultFailed
}

// discardAnswer reads the rest of an answer that is not relayed, so that releaseConn
// can keep the connection. It closes the connection if that fails.
func (x *exchange) discardAnswer(p *pool, conn *upstreamConn, resp *http.Response) {
	if err := discard(resp.Body); err != nil {
		conn.close()
		return
	}
	x.releaseConn(p, conn, resp)
}

// releaseConn returns the connection to the pool after a complete answer, unless
// the rest of a long request may still be written to it, or the caller's leaving closes it.
func (x *exchange) releaseConn(p *pool, conn *upstreamConn, resp *http.Response) {
	if resp.Close || len(x.body) > inlineBodyBytes || !x.keepOpen() {
		conn.close()
		return
	}
	p.put(conn, x.role.clock.Now(), resp.Header)
}

// relayBuffered buffers an answer and relays it unless it reports a failure, so that the
// request may be retried. An answer of maxBufferedBytes or more, or for which there is no
// memory, is relayed as it arrives.
func (x *exchange) relayBuffered(u cleat.UpstreamRecord, p *pool, conn *upstreamConn, resp *http.Response) (result, *bufferedAnswer) {
	body, complete, err := x.bufferAnswer(resp.Body)
	if err != nil {
		conn.close()
		if x.ctx.Err() != nil {
			return x.handleConnLost(u, err), nil
		}
		res := x.recordCorrupt(u, err.Error())
		x.recordBroken(u)
		return res, nil
	}
	if !complete && impliesNotRun(resp.StatusCode) {
		conn.close()
		return x.recordCorrupt(u, "a long answer with a status that callers take for a refusal"), nil
	}
	if !complete {
		return x.relayUnbuffered(u, p, conn, resp, body), nil
	}
	x.releaseConn(p, conn, resp)
	b := &bufferedAnswer{status: resp.StatusCode, header: resp.Header, body: body}
	if x.recordAnswer(resp.StatusCode) {
		x.deliver(b)
		return resultDone, nil
	}
	x.logDecision("upstream_failure", "upstream", u.Upstream, "status", resp.StatusCode, "attempts", x.attempts)
	if impliesNotRun(resp.StatusCode) {
		return resultFailed, nil
	}
	return resultFailed, b
}

// bufferAnswer reads an answer's body into memory, of which the caller's connection is
// charged. complete is false if it is too large, or if there is no memory for all of it.
func (x *exchange) bufferAnswer(from io.Reader) (body []byte, complete bool, err error) {
	for size := firstAnswerBytes; len(body) < maxBufferedBytes; size = 2 * cap(body) {
		size = min(size, maxBufferedBytes)
		if !x.w.Hold(int64(size - cap(body))) {
			return body, false, nil
		}
		body = append(make([]byte, 0, size), body...)
		for len(body) < cap(body) {
			n, err := from.Read(body[len(body):cap(body)])
			body = body[:len(body)+n]
			if errors.Is(err, io.EOF) {
				return body, true, nil
			}
			if err != nil {
				return body, false, err
			}
		}
	}
	return body, false, nil
}

// recordAnswer ends an attempt with a complete answer; it returns false if the upstream
// failed. An error is no first event: it comes sooner than one, and usually instead of
// the work.
func (x *exchange) recordAnswer(status int) bool {
	if status >= http.StatusInternalServerError || impliesNotRun(status) {
		x.mayHaveRun = true
		x.role.recordEnd(x.job, place.OutcomeFailed)
		return false
	}
	x.recordFirstBytes()
	x.recordBegun()
	x.role.recordEnd(x.job, place.OutcomeServed)
	return true
}

// recordFirstBytes records the first bytes of an answer, once per attempt.
func (x *exchange) recordFirstBytes() {
	if !x.answerStarted {
		x.answerStarted = true
		x.role.recordFirstEvent(x.job, x.attemptEvents)
	}
}

// impliesNotRun reports whether callers understand a status to mean that the request
// has not run. Upstreams signal that by other means (AnswerInfo.NotRun), so such a
// status from them is not relayed.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// deliver relays a buffered answer to the caller.
func (x *exchange) deliver(b *bufferedAnswer) {
	x.writeHead(b.status, b.header, len(b.body))
	if _, err := x.w.Write(b.body); err != nil {
		x.logDecision("caller_gone", "err", err)
		return
	}
	x.logDecision("answered", "status", b.status, "attempts", x.attempts)
	x.role.requestMetrics.recordAnswer(x.service, strconv.Itoa(b.status), x.role.clock.Now().Sub(x.arrived))
}

// unknownLength is the length of answers whose head is written before their length is known.
const unknownLength = -1

// writeHead relays an upstream's status and header; length is that of the body, in bytes.
func (x *exchange) writeHead(status int, from http.Header, length int) {
	h := x.w.Header()
	x.role.cfg.Dialect.CleanAnswer(from)
	for name, values := range from {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // Keeps the server from guessing one.
	}
	if length != unknownLength {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	x.w.WriteHeader(status)
}

// relayUnbuffered relays an answer that is too large to be buffered; start is the
// part of it that has been read.
func (x *exchange) relayUnbuffered(u cleat.UpstreamRecord, p *pool, conn *upstreamConn, resp *http.Response, start []byte) result {
	x.recordFirstBytes()
	x.writeHead(resp.StatusCode, resp.Header, unknownLength)
	if _, err := x.w.Write(start); err != nil {
		conn.close()
		x.role.recordEnd(x.job, place.OutcomeCanceled)
		x.logDecision("caller_gone", "err", err)
		return resultDone
	}
	if _, err := io.Copy(x.w, resp.Body); err != nil {
		conn.close()
		x.role.recordEnd(x.job, place.OutcomeFailed)
		x.abortAnswer("upstream_broke_off")
	}
	x.releaseConn(p, conn, resp)
	x.role.recordEnd(x.job, place.OutcomeServed)
	x.logDecision("answered", "status", resp.StatusCode, "upstream", u.Upstream, "attempts", x.attempts)
	x.role.requestMetrics.recordAnswer(x.service, strconv.Itoa(resp.StatusCode), x.role.clock.Now().Sub(x.arrived))
	return resultDone
}
