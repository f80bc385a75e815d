package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
)

// Causes for which a run's context ends.
var (
	errCanceled  = errors.New("canceled by the entry")
	errEntryLost = errors.New("the entry did not come back")
	errDeadline  = errors.New("the deadline passed")
	errStalled   = errors.New("the upstream fell silent")
)

// run is one dispatched request with the part of its answer that its entry
// does not have yet. It bounds that part: data waits for acknowledgements.
type run struct {
	dispatch *cleat.Dispatch
	upstream cleat.UpstreamID
	entry    cleat.Peer
	maxBytes int
	begun    time.Time
	ctx      context.Context
	cancel   context.CancelCauseFunc
	bodyDone chan struct{} // Closed when the whole body is here.
	release  func() bool   // Ends the watch on ctx.

	mu       sync.Mutex
	room     *sync.Cond // Signalled when the buffer shrinks or the run is let go.
	link     cleat.Link // Nil while the entry's link is down.
	detached time.Time  // Since when the link is down.
	body     []byte
	bodyMore bool
	status   int
	header   []cleat.HeaderField
	buf      []byte // Answer bytes from base on.
	base     uint64 // Offset of the first byte kept; the entry has all before.
	sent     uint64 // Offset up to which the present link got the answer.
	endSent  bool
	discard  bool // Nobody wants the answer any more; the run itself goes on.
	outcome  *cleat.Outcome
	acked    bool // The entry has the whole answer.
}

func newRun(m *cleat.Dispatch, u cleat.UpstreamID, l cleat.Link, maxBytes int, now time.Time) *run {
	ctx, cancel := context.WithCancelCause(context.Background())
	r := &run{
		dispatch: m, upstream: u, entry: l.Peer(), maxBytes: maxBytes, begun: now,
		ctx: ctx, cancel: cancel, bodyDone: make(chan struct{}),
		link: l, body: m.Body, bodyMore: m.BodyMore,
	}
	r.room = sync.NewCond(&r.mu)
	r.release = context.AfterFunc(ctx, r.signalRoom)
	if !m.BodyMore {
		close(r.bodyDone)
	}
	return r
}

func (r *run) signalRoom() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.room.Broadcast()
}

// close frees what the run's context holds.
func (r *run) close() {
	r.release()
	r.cancel(nil)
}

func (r *run) attempt() cleat.Attempt { return r.dispatch.Attempt }

// addBody appends a further piece of the body; a late or crossed one is dropped.
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

// wholeBody waits for the body and reports whether it came.
func (r *run) wholeBody() ([]byte, bool) {
	select {
	case <-r.bodyDone:
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.body, true
	case <-r.ctx.Done():
		return nil, false
	}
}

// start keeps the answer's status and header for its first part.
func (r *run) start(status int, header []cleat.HeaderField) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status, r.header = status, header
}

// write keeps b and sends it; it blocks while the buffer is full. The last bytes
// of an answer of known length leave together with its end.
func (r *run) write(b []byte, last bool) error {
	for len(b) > 0 {
		n := min(len(b), readBytes)
		r.awaitRoom()
		if err := r.writePiece(b[:n], last && n == len(b)); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// awaitRoom waits while the link has much to send, so that many long answers
// don't look like a peer that reads too slowly.
func (r *run) awaitRoom() {
	r.mu.Lock()
	l := r.link
	r.mu.Unlock()
	if l != nil {
		// Only the end of the run ends the wait early, which the write notices.
		_ = wire.AwaitRoom(r.ctx, l)
	}
}

func (r *run) writePiece(b []byte, hold bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.buf)+len(b) > r.maxBytes && !r.discard && r.ctx.Err() == nil {
		r.room.Wait()
	}
	if r.ctx.Err() != nil {
		return context.Cause(r.ctx)
	}
	if r.discard {
		return nil
	}
	r.buf = append(r.buf, b...)
	if !hold {
		r.flush()
	}
	return nil
}

// finish ends the answer.
func (r *run) finish(o cleat.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcome = &o
	r.body = nil
	r.flush()
}

// flush sends what the present link did not get yet, as far as it has room; a
// failed send waits for a resume.
func (r *run) flush() {
	for r.link != nil && !r.discard && r.sent < r.end() {
		if !wire.HasRoom(r.link) || !r.sendPart(min(r.end()-r.sent, wire.MaxDataBytes)) {
			return
		}
	}
	if r.link != nil && r.outcome != nil && !r.endSent {
		r.sendPart(0)
	}
}

// flushLate sends what found no room on the link before.
func (r *run) flushLate() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sent < r.end() || r.outcome != nil {
		r.flush()
	}
}

func (r *run) sendPart(n uint64) bool {
	p := &cleat.Part{Attempt: r.attempt(), Offset: r.sent, Data: r.buf[r.sent-r.base : r.sent-r.base+n]}
	if r.sent == 0 {
		p.Status, p.Header = r.status, r.header
	}
	if r.outcome != nil && r.sent+n == r.end() {
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

func (r *run) end() uint64 { return r.base + uint64(len(r.buf)) }

// ack drops what the entry has and reports whether it has all; a late or
// crossed one does nothing.
func (r *run) ack(m *cleat.PartAck) (done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Offset > r.base && m.Offset <= r.end() {
		n := copy(r.buf, r.buf[m.Offset-r.base:])
		r.buf = r.buf[:n]
		r.base = m.Offset
		r.sent = max(r.sent, r.base)
		r.room.Broadcast()
	}
	if m.Done && r.outcome != nil {
		r.acked = true
	}
	return r.acked
}

// resume sends the answer over l from offset on, and reports whether it still has that.
func (r *run) resume(l cleat.Link, offset uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if offset < r.base || offset > r.end() || r.discard {
		return false
	}
	r.link, r.detached = l, time.Time{}
	r.sent, r.endSent = offset, false
	r.flush()
	return true
}

// detach notes that l is down.
func (r *run) detach(l cleat.Link, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link != nil && r.link != l {
		return
	}
	r.link = nil
	if r.detached.IsZero() {
		r.detached = now
	}
	if r.bodyMore {
		r.cancel(errEntryLost)
	}
}

// withdraw ends a run that nobody waits for; a non-repeatable one that may have
// begun is left to finish, its answer discarded.
func (r *run) withdraw(cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outcome != nil {
		return
	}
	if r.dispatch.Repeatable || r.bodyMore {
		r.cancel(cause)
	} else {
		r.discard = true
		r.base, r.buf = r.end(), nil
	}
	r.room.Broadcast()
}

// lost reports whether the entry stayed away longer than grace.
func (r *run) lost(now time.Time, grace time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.detached.IsZero() && now.Sub(r.detached) > grace
}

// settled reports whether the run may be forgotten.
func (r *run) settled(now time.Time, grace time.Duration) bool {
	lost := r.lost(now, grace)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outcome != nil && (r.acked || lost || r.discard)
}

func (r *run) hasEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outcome != nil
}

// started reports whether any part of the answer was kept for the entry.
func (r *run) started() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end() > 0
}

func (r *run) kept() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.buf)
}
