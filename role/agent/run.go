package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
)

// Causes for the cancellation of a run's context.
var (
	errCanceled  = errors.New("canceled by the entry")
	errEntryLost = errors.New("lost the link to the entry, or the entry restarted")
	errDeadline  = errors.New("the deadline passed")
	errStalled   = errors.New("the upstream sent nothing within the stall timeout")
)

// run is one dispatched request with the part of its answer that its entry has not
// acknowledged. That part is limited to maxBufferBytes: writes block until
// acknowledgements free space.
type run struct {
	dispatch       *cleat.Dispatch
	upstream       cleat.UpstreamID
	entry          cleat.Peer
	maxBufferBytes int
	startedAt      time.Time
	ctx            context.Context
	cancel         context.CancelCauseFunc
	bodyDone       chan struct{} // Closed once the request body is complete.
	stopAfterFunc  func() bool   // Unregisters the context.AfterFunc that calls wakeWriters.

	mu            sync.Mutex
	bufferCond    *sync.Cond // Wakes blocked writes when the buffer shrinks or the run is canceled or abandoned.
	link          cleat.Link // Nil while the entry's link is down.
	linkDownSince time.Time  // Zero while the link is up.
	body          []byte
	bodyMore      bool // The request body is not complete yet.
	status        int
	header        []cleat.HeaderField
	buf           []byte // Answer bytes starting at offset base.
	base          uint64 // Offset of the first buffered byte; the entry has acknowledged all bytes before it.
	sent          uint64 // Offset up to which the answer was sent on the current link.
	endSent       bool
	discardAnswer bool // The answer is no longer wanted, but the run itself continues.
	outcome       *cleat.Outcome
	acked         bool // The entry has acknowledged the complete answer.
}

func newRun(m *cleat.Dispatch, u cleat.UpstreamID, l cleat.Link, maxBufferBytes int, now time.Time) *run {
	ctx, cancel := context.WithCancelCause(context.Background())
	r := &run{
		dispatch: m, upstream: u, entry: l.Peer(), maxBufferBytes: maxBufferBytes, startedAt: now,
		ctx: ctx, cancel: cancel, bodyDone: make(chan struct{}),
		link: l, body: m.Body, bodyMore: m.BodyMore,
	}
	r.bufferCond = sync.NewCond(&r.mu)
	r.stopAfterFunc = context.AfterFunc(ctx, r.wakeWriters)
	if !m.BodyMore {
		close(r.bodyDone)
	}
	return r
}

func (r *run) wakeWriters() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bufferCond.Broadcast()
}

// close releases the resources of the run's context.
func (r *run) close() {
	r.stopAfterFunc()
	r.cancel(nil)
}

func (r *run) attempt() cleat.Attempt { return r.dispatch.Attempt }

// addBody appends the next bytes of the request body. Duplicate and out-of-order bytes are ignored.
func (r *run) addBody(m *cleat.Body) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.bodyMore || m.Offset != uint64(len(r.body)) {
		return
	}
	r.body = append(r.body, m.Data...)
	r.bodyMore = m.More
	if !m.More {
		close(r.bodyDone)
	}
}

// awaitBody waits for the complete request body; it reports false if the run is
// canceled first.
func (r *run) awaitBody() ([]byte, bool) {
	select {
	case <-r.bodyDone:
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.body, true
	case <-r.ctx.Done():
		return nil, false
	}
}

// setHead stores the answer's status and header, which are sent in its first part.
func (r *run) setHead(status int, header []cleat.HeaderField) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status, r.header = status, header
}

// write buffers b and sends it; it blocks while the buffer is full. The last bytes of
// an answer of known length (last is set) are held back and sent together with its end.
func (r *run) write(b []byte, last bool) error {
	for len(b) > 0 {
		n := min(len(b), readBufferBytes)
		r.awaitSendQueue()
		if err := r.appendChunk(b[:n], last && n == len(b)); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// awaitSendQueue waits while the link's send queue is long. Otherwise many concurrent
// long answers could fill it, and the link would close as if its peer read too slowly.
func (r *run) awaitSendQueue() {
	r.mu.Lock()
	l := r.link
	r.mu.Unlock()
	if l != nil {
		// The wait ends early only if the run is canceled, which appendChunk detects.
		_ = wire.AwaitQueueSpace(r.ctx, l)
	}
}

func (r *run) appendChunk(b []byte, holdBack bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.buf)+len(b) > r.maxBufferBytes && !r.discardAnswer && r.ctx.Err() == nil {
		r.bufferCond.Wait()
	}
	if r.ctx.Err() != nil {
		return context.Cause(r.ctx)
	}
	if r.discardAnswer {
		return nil
	}
	r.buf = append(r.buf, b...)
	if !holdBack {
		r.flush()
	}
	return nil
}

// finish sets the outcome and sends the end of the answer.
func (r *run) finish(o cleat.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcome = &o
	r.body = nil
	r.flush()
}

// flush sends the bytes that were not yet sent on the current link, as far as the link
// has room. After a failed send, the rest waits for a Resume. r.mu is held.
func (r *run) flush() {
	for r.link != nil && !r.discardAnswer && r.sent < r.endOffset() {
		if !wire.HasQueueSpace(r.link) || !r.sendPart(min(r.endOffset()-r.sent, wire.MaxDataBytes)) {
			return
		}
	}
	if r.link != nil && r.outcome != nil && !r.endSent {
		r.sendPart(0)
	}
}

// flushPending sends data that was left unsent because the link had no room.
func (r *run) flushPending() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sent < r.endOffset() || r.outcome != nil {
		r.flush()
	}
}

func (r *run) sendPart(n uint64) bool {
	p := &cleat.Part{Attempt: r.attempt(), Offset: r.sent, Data: r.buf[r.sent-r.base : r.sent-r.base+n]}
	if r.sent == 0 {
		p.Status, p.Header = r.status, r.header
	}
	if r.outcome != nil && r.sent+n == r.endOffset() {
		p.End, p.Outcome = true, *r.outcome
	}
	if err := r.link.Send(p); err != nil {
		r.link = nil
		return false
	}
	r.sent += n
	r.endSent = p.End
	return true
}

func (r *run) endOffset() uint64 { return r.base + uint64(len(r.buf)) }

// ack drops the acknowledged bytes from the buffer and reports whether the entry has
// the complete answer. Stale and out-of-range acknowledgements drop nothing.
func (r *run) ack(m *cleat.PartAck) (done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Offset > r.base && m.Offset <= r.endOffset() {
		n := copy(r.buf, r.buf[m.Offset-r.base:])
		r.buf = r.buf[:n]
		r.base = m.Offset
		r.sent = max(r.sent, r.base)
		r.bufferCond.Broadcast()
	}
	if m.Done && r.outcome != nil {
		r.acked = true
	}
	return r.acked
}

// resume resends the answer over l from offset. It reports false if the bytes from
// offset on are not available.
func (r *run) resume(l cleat.Link, offset uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if offset < r.base || offset > r.endOffset() || r.discardAnswer {
		return false
	}
	r.link, r.linkDownSince = l, time.Time{}
	r.sent, r.endSent = offset, false
	r.flush()
	return true
}

// detach records that l is down. A run whose request body is incomplete is canceled.
func (r *run) detach(l cleat.Link, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link != nil && r.link != l {
		return
	}
	r.link = nil
	if r.linkDownSince.IsZero() {
		r.linkDownSince = now
	}
	if r.bodyMore {
		r.cancel(errEntryLost)
	}
}

// abandon ends a run whose answer is no longer wanted. A non-repeatable run that may
// have started at the upstream is left to finish, and its answer is discarded.
func (r *run) abandon(cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outcome != nil {
		return
	}
	if r.dispatch.Repeatable || r.bodyMore {
		r.cancel(cause)
	} else {
		r.discardAnswer = true
		r.base, r.buf = r.endOffset(), nil
		r.sent = r.base
	}
	r.bufferCond.Broadcast()
}

// entryLost reports whether the entry has been disconnected for longer than grace.
func (r *run) entryLost(now time.Time, grace time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.linkDownSince.IsZero() && now.Sub(r.linkDownSince) > grace
}

// isRemovable reports whether the run has ended and its answer was acknowledged, is
// discarded, or belongs to a lost entry.
func (r *run) isRemovable(now time.Time, grace time.Duration) bool {
	entryLost := r.entryLost(now, grace)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outcome != nil && (r.acked || entryLost || r.discardAnswer)
}

func (r *run) hasEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outcome != nil
}

// hasAnswerBytes reports whether any bytes of the answer body were buffered for the entry.
func (r *run) hasAnswerBytes() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endOffset() > 0
}

func (r *run) bufferedBytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.buf)
}
