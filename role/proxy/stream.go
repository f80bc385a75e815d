package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/place"
)

const (
	eventBufferBytes = 4 << 10 // Initial size of the read buffer.
	maxEventBytes    = 1 << 20 // Buffer size at which an incomplete event is rejected as too long.
)

// eventState is how far a stream has been relayed.
type eventState struct {
	started bool   // The head and at least one event were relayed.
	lastID  string // ID of the last relayed event that had one; empty if none had.
}

var (
	eventEnd = []byte("\n\n")
	idPrefix = []byte("id:")
)

// relayStream relays events as they arrive. Only complete events are relayed, so that
// another upstream can continue the stream after the last relayed event.
func (x *exchange) relayStream(u cleat.UpstreamRecord, p *pool, conn *upstreamConn, resp *http.Response) result {
	buf := make([]byte, 0, eventBufferBytes)
	for {
		if len(buf) == cap(buf) {
			if cap(buf) >= maxEventBytes {
				conn.close()
				return x.handleStreamBroken(u, errors.New("an event is too long"))
			}
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if end := bytes.LastIndex(buf, eventEnd); end >= 0 {
			end += len(eventEnd)
			if !x.answerStarted {
				if x.endStalled(u) { // Closed after this was read.
					return resultFailed
				}
				if id, ok := x.goesBack(buf[:end]); ok {
					conn.close()
					return x.handleStreamBroken(u, trace.BadParameter("the stream goes on at event %q", id))
				}
				if !x.recordStart(u) {
					conn.close()
					return x.handleStreamBroken(u, errors.New("the upstream has restarted with another version"))
				}
			}
			if writeErr := x.relayEvents(resp, buf[:end]); writeErr != nil {
				conn.close()
				x.role.recordEnd(x.job, place.OutcomeCanceled)
				x.logDecision("caller_gone", "upstream", u.Upstream, "err", writeErr)
				return resultDone
			}
			buf = append(buf[:0], buf[end:]...)
		}
		switch {
		case errors.Is(err, io.EOF):
			return x.finishStream(u, p, conn, resp, buf)
		case err != nil:
			conn.close()
			return x.handleStreamBroken(u, err)
		}
	}
}

func (x *exchange) relayEvents(resp *http.Response, events []byte) error {
	n := bytes.Count(events, eventEnd)
	if x.answerStarted {
		x.role.recordEvents(x.job, n)
	}
	if x.attemptEvents += n; x.attemptEvents >= begunEvents {
		x.recordBegun()
	}
	x.recordFirstBytes()
	if !x.events.started {
		x.events.started = true
		x.role.requestMetrics.recordFirstEvent(x.service, x.role.clock.Now().Sub(x.arrived))
		x.writeHead(resp.StatusCode, resp.Header, unknownLength)
	}
	if id, ok := lastID(events); ok {
		x.events.lastID = id
	}
	if _, err := x.w.Write(events); err != nil {
		return err
	}
	return x.w.FlushError()
}

// lastID returns the last event ID in a sequence of complete events.
func lastID(events []byte) (string, bool) {
	for rest := events; len(rest) > 0; {
		start := bytes.LastIndexByte(rest[:len(rest)-1], '\n') + 1
		if line, ok := bytes.CutPrefix(rest[start:], idPrefix); ok {
			return string(bytes.TrimSpace(line)), true
		}
		rest = rest[:start]
	}
	return "", false
}

// goesBack reports whether the first event of an attempt that resumes a stream doesn't come
// after those that the caller has, and its id. IDs only increase, so a gap can't be told.
func (x *exchange) goesBack(events []byte) (string, bool) {
	last := x.events.lastID
	if last == "" {
		last = x.info.LastEvent
	}
	id, ok := firstID(events)
	if !ok || last == "" {
		return "", false
	}
	n, err := strconv.ParseUint(id, 10, 64)
	after, lastErr := strconv.ParseUint(last, 10, 64)
	if err != nil || lastErr != nil {
		return id, id == last
	}
	return id, n <= after
}

// firstID returns the first event ID in a sequence of complete events.
func firstID(events []byte) (string, bool) {
	for line := range bytes.Lines(events) {
		if id, ok := bytes.CutPrefix(line, idPrefix); ok {
			return string(bytes.TrimSpace(id)), true
		}
	}
	return "", false
}

// finishStream ends the answer at the end of the upstream's stream; a stream with an
// incomplete event, or without any, counts as broken.
func (x *exchange) finishStream(u cleat.UpstreamRecord, p *pool, conn *upstreamConn, resp *http.Response, rest []byte) result {
	if len(rest) > 0 || !x.events.started {
		conn.close()
		return x.handleStreamBroken(u, io.ErrUnexpectedEOF)
	}
	x.releaseConn(p, conn, resp)
	x.recordBegun()
	x.role.recordEnd(x.job, place.OutcomeServed)
	x.logDecision("streamed", "upstream", u.Upstream, "attempts", x.attempts, "last_event", x.events.lastID)
	x.role.requestMetrics.recordAnswer(x.service, "200", x.role.clock.Now().Sub(x.arrived))
	return resultDone
}

// handleStreamBroken ends an attempt whose stream ended early.
func (x *exchange) handleStreamBroken(u cleat.UpstreamRecord, err error) result {
	if x.ctx.Err() != nil {
		if res := x.handleConnLost(u, err); res == resultDone {
			return res
		}
		return resultFailed
	}
	if x.endStalled(u) {
		return resultFailed
	}
	x.mayHaveRun = true
	x.role.recordEnd(x.job, place.OutcomeFailed)
	x.logDecision("stream_broken", "upstream", u.Upstream, "err", err, "after_event", x.events.lastID, "attempts", x.attempts, "blocks", x.blockNames(), "digest", x.digestName())
	x.recordBroken(u)
	if x.events.started {
		return resultBroken
	}
	return resultFailed
}
