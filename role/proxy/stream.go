package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/place"
)

const (
	eventBufferBytes = 4 << 10 // Read from an upstream at once.
	maxEventBytes    = 1 << 20 // Of one event.
)

// eventState is how far a stream has been passed on.
type eventState struct {
	started bool   // The head and at least one event went to the caller.
	last    string // Id of the last event passed on; empty when none had one.
}

var (
	eventEnd = []byte("\n\n")
	idPrefix = []byte("id:")
)

// stream passes events on as they arrive; an event is passed on whole only, so
// that another upstream can go on after it.
func (x *exchange) stream(u cleat.UpstreamRecord, p *pool, conn *upConn, resp *http.Response) result {
	buf := make([]byte, 0, eventBufferBytes)
	for {
		if len(buf) == cap(buf) {
			if cap(buf) >= maxEventBytes {
				conn.close()
				return x.streamBroken(u, errors.New("an event is too long"))
			}
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if end := bytes.LastIndex(buf, eventEnd); end >= 0 {
			end += len(eventEnd)
			if writeErr := x.passEvents(resp, buf[:end]); writeErr != nil {
				conn.close()
				x.role.end(x.job, place.OutcomeCanceled)
				x.decide("caller_gone", "upstream", u.Upstream, "err", writeErr)
				return resultDone
			}
			buf = append(buf[:0], buf[end:]...)
		}
		switch {
		case errors.Is(err, io.EOF):
			return x.streamEnded(u, p, conn, resp, buf)
		case err != nil:
			conn.close()
			return x.streamBroken(u, err)
		}
	}
}

func (x *exchange) passEvents(resp *http.Response, events []byte) error {
	if x.begun {
		x.role.event(x.job, bytes.Count(events, eventEnd))
	}
	x.begin()
	if !x.events.started {
		x.events.started = true
		x.role.measures.firstEvent(x.service, x.role.clock.Now().Sub(x.began))
		x.writeHead(resp.StatusCode, resp.Header, unknownLength)
	}
	if id, ok := lastID(events); ok {
		x.events.last = id
	}
	if _, err := x.w.Write(events); err != nil {
		return err
	}
	return x.w.FlushError()
}

// lastID returns the id of the last event in a run of whole events.
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

// streamEnded passes on what follows the last whole event and ends the answer.
func (x *exchange) streamEnded(u cleat.UpstreamRecord, p *pool, conn *upConn, resp *http.Response, rest []byte) result {
	if len(rest) > 0 || !x.events.started {
		conn.close()
		return x.streamBroken(u, io.ErrUnexpectedEOF)
	}
	x.release(p, conn, resp)
	x.role.end(x.job, place.OutcomeServed)
	x.decide("streamed", "upstream", u.Upstream, "attempts", x.attempts, "last_event", x.events.last)
	x.role.measures.answered(x.service, "200", x.role.clock.Now().Sub(x.began))
	return resultDone
}

// streamBroken judges a stream that ended early.
func (x *exchange) streamBroken(u cleat.UpstreamRecord, err error) result {
	if x.ctx.Err() != nil {
		if res := x.lost(u, err); res == resultDone {
			return res
		}
		return resultFailed
	}
	x.mayRan = true
	x.role.end(x.job, place.OutcomeFailed)
	x.decide("stream_broken", "upstream", u.Upstream, "err", err, "after_event", x.events.last, "attempts", x.attempts)
	if x.events.started {
		return resultBroken
	}
	return resultFailed
}
