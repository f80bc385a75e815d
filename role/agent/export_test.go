package agent

import (
	"context"
	"net"
	"net/http"
	"time"

	"marigoldcleat.example/cleat"
)

// SSEParser exports sseParser to tests.
type SSEParser struct{ sseParser }

// NewSSEParser returns a parser that has read nothing yet.
func NewSSEParser() *SSEParser { return &SSEParser{} }

// Feed parses the next bytes and returns the complete events.
func (e *SSEParser) Feed(b []byte) []byte { return e.feed(b) }

// IsTruncated reports whether the stream stopped before its end.
func (e *SSEParser) IsTruncated() bool { return e.isTruncated() }

// Usage returns the usage parsed so far.
func (e *SSEParser) Usage() cleat.Usage { return e.usage }

// Run exports the answer buffer of a run to tests.
type Run struct{ *run }

// NewRun returns the run of an empty repeatable dispatch with a buffer of maxBytes.
func NewRun(l cleat.Link, maxBytes int, now time.Time) Run {
	m := &cleat.Dispatch{Attempt: cleat.Attempt{Request: "r1", Number: 1}, Repeatable: true}
	return Run{newRun(m, "u1", l, maxBytes, now)}
}

// NewUnrepeatableRun returns the run of an empty dispatch that may not be repeated.
func NewUnrepeatableRun(l cleat.Link, maxBytes int, now time.Time) Run {
	return Run{newRun(&cleat.Dispatch{Attempt: cleat.Attempt{Request: "r1", Number: 1}}, "u1", l, maxBytes, now)}
}

// FreeBytes returns how many bytes can be written without blocking.
func (r Run) FreeBytes() int { return r.maxBufferBytes - r.bufferedBytes() }

// Write buffers b and sends it.
func (r Run) Write(b []byte) error { return r.write(b, false) }

// SetStatus sets the answer's status.
func (r Run) SetStatus(status int) { r.setHead(status, nil) }

// WriteLast buffers the last bytes of an answer of known length.
func (r Run) WriteLast(b []byte) error { return r.write(b, true) }

// Abandon ends a run whose answer is no longer wanted.
func (r Run) Abandon(cause error) { r.abandon(cause) }

// Finish ends the answer.
func (r Run) Finish() { r.finish(cleat.Outcome{Kind: cleat.OutcomeDone}) }

// Ack handles an acknowledgement and reports whether the entry has the complete answer.
func (r Run) Ack(offset uint64, done bool) bool {
	return r.ack(&cleat.PartAck{Attempt: r.attempt(), Offset: offset, Done: done})
}

// Resume resends the answer over l from an offset.
func (r Run) Resume(l cleat.Link, offset uint64) bool { return r.resume(l, offset) }

// Detach records that l is down.
func (r Run) Detach(l cleat.Link, now time.Time) { r.detach(l, now) }

// SetMaxAnswerBytes replaces the limit on the size of an answer.
func (e *HTTPEngine) SetMaxAnswerBytes(n int64) { e.maxAnswerBytes = n }

// DelayDials makes each new connection of the engine take longer by d.
func (e *HTTPEngine) DelayDials(d time.Duration) {
	for _, t := range []*http.Transport{e.keepAlive, e.singleUse} {
		dial := t.DialContext
		t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			time.Sleep(d)
			return dial(ctx, network, addr)
		}
	}
}
