package wire

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

const closeFlushTimeout = time.Second

// Conn is one link over a network connection.
type Conn struct {
	cfg     Config
	conn    net.Conn
	reader  *frameReader
	peer    cleat.Peer
	handler cleat.LinkHandler

	wake chan struct{} // Wakes the writer when frames are pending or the link is closing.
	done chan struct{} // Closed when the link is down.

	mu            sync.Mutex
	spaceFreed    *sync.Cond // Wakes AwaitQueueSpace when the queue shrinks, the link closes or its context is done.
	pending       *frameWriter
	writingBytes  int   // Size of the write in progress.
	sentSinceTick bool  // A frame was queued since the last tick of PingInterval.
	closing       bool  // Send fails from now on; the writer may still flush.
	closeCause    error // The first cause given; later ones are ignored.
}

func newConn(cfg Config, conn net.Conn, r *frameReader, peer cleat.Peer, h cleat.LinkHandler) *Conn {
	c := &Conn{
		cfg: cfg, conn: conn, reader: r, peer: peer, handler: h,
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		pending: newFrameWriter(),
	}
	c.spaceFreed = sync.NewCond(&c.mu)
	return c
}

// Peer returns the description of the process at the other end.
func (c *Conn) Peer() cleat.Peer { return c.peer }

// QueuedBytes returns the number of unsent bytes, including the write in progress.
func (c *Conn) QueuedBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queuedBytes()
}

// Send enqueues m without blocking. It fails with trace.LimitExceeded when m is larger than
// MaxFrameBytes, and with trace.ConnectionProblem when the link is down or when the peer reads so
// slowly that the queue would exceed SendQueueBytes, which also closes the link.
func (c *Conn) Send(m cleat.Message) error {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return trace.ConnectionProblem(c.closeCause, "Conn.Send: the link to %s is down", c.peer.Instance)
	}
	size, err := c.pending.appendFrame(m, c.cfg.MaxFrameBytes)
	if err != nil {
		c.mu.Unlock()
		return trace.Wrap(err)
	}
	if c.queuedBytes() > c.cfg.SendQueueBytes {
		c.pending.buf = c.pending.buf[:len(c.pending.buf)-size]
		c.mu.Unlock()
		c.cfg.Counters.slowPeerCloses.Add(1)
		c.abort(trace.LimitExceeded("Conn.Send: %s reads too slowly; the send queue would exceed SendQueueBytes", c.peer.Instance))
		return trace.ConnectionProblem(nil, "Conn.Send: %s reads too slowly; the send queue would exceed SendQueueBytes", c.peer.Instance)
	}
	c.sentSinceTick = true
	c.mu.Unlock()
	c.cfg.Counters.countSent(m.Kind(), size)
	c.wakeWriter()
	return nil
}

// AwaitQueueSpace waits until at most BackpressureQueueBytes are queued or the link is down; it
// fails only when ctx is done.
func (c *Conn) AwaitQueueSpace(ctx context.Context) error {
	stop := context.AfterFunc(ctx, c.wakeSpaceWaiters)
	defer stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.queuedBytes() > BackpressureQueueBytes && !c.closing && ctx.Err() == nil {
		c.spaceFreed.Wait()
	}
	return trace.Wrap(ctx.Err(), "Conn.AwaitQueueSpace")
}

// AwaitQueueSpace calls l's own AwaitQueueSpace method if it has one; otherwise it returns at once.
func AwaitQueueSpace(ctx context.Context, l cleat.Link) error {
	if p, ok := l.(interface {
		AwaitQueueSpace(ctx context.Context) error
	}); ok {
		return p.AwaitQueueSpace(ctx)
	}
	return nil
}

// SendWithBackpressure sends m over l after AwaitQueueSpace, so that long bodies don't fill the send queue.
func SendWithBackpressure(ctx context.Context, l cleat.Link, m cleat.Message) error {
	if err := AwaitQueueSpace(ctx, l); err != nil {
		return err
	}
	return l.Send(m)
}

// HasQueueSpace reports whether at most BackpressureQueueBytes are queued on l; it is true for a
// link that doesn't report its queue.
func HasQueueSpace(l cleat.Link) bool {
	q, ok := l.(interface{ QueuedBytes() int })
	return !ok || q.QueuedBytes() <= BackpressureQueueBytes
}

// Close starts closing the link: the writer completes the write in progress, sends the queued
// frames, for at most one second, and then closes the connection.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.markClosing(trace.ConnectionProblem(nil, "Conn.Close: closed by this side"))
	c.mu.Unlock()
	c.wakeWriter()
	return nil
}

// run serves the link until it goes down and returns the cause.
func (c *Conn) run() error {
	c.cfg.Counters.linksUp.Add(1)
	defer c.cfg.Counters.linksUp.Add(-1)
	var writer sync.WaitGroup
	writer.Go(c.write)
	c.handler.LinkUp(c)
	c.abort(c.read())
	writer.Wait()
	c.handler.LinkDown(c, c.recordedCause())
	return c.recordedCause()
}

func (c *Conn) read() error {
	var deadlineSet time.Time
	for {
		if now := time.Now(); now.Sub(deadlineSet) > c.cfg.PingInterval/2 {
			deadlineSet = now
			if err := c.conn.SetReadDeadline(now.Add(c.cfg.PeerTimeout)); err != nil {
				return trace.Wrap(err, "Conn.read")
			}
		}
		m, size, err := c.reader.readFrame(c.cfg.MaxFrameBytes)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.cfg.Counters.peerTimeouts.Add(1)
			return trace.ConnectionProblem(err, "Conn.read: nothing received from %s within the peer timeout", c.peer.Instance)
		}
		if err != nil {
			return trace.Wrap(err, "Conn.read: link to %s", c.peer.Instance)
		}
		if m == nil {
			c.cfg.Counters.unknownKinds.Add(1)
			continue
		}
		c.cfg.Counters.countReceived(m.Kind(), size)
		if m.Kind() != cleat.KindPing {
			c.handler.LinkMessage(c, m)
		}
	}
}

func (c *Conn) write() {
	ticker := time.NewTicker(c.cfg.PingInterval)
	defer ticker.Stop()
	defer c.conn.Close()
	var spare []byte
	for {
		select {
		case <-c.wake:
		case <-ticker.C:
			c.pingIfIdle()
		case <-c.done:
			return
		}
		b, closing := c.takePending(spare)
		if len(b) > 0 {
			if err := c.writeBuffer(b, closing); err != nil {
				c.abort(trace.Wrap(err, "Conn.write: link to %s", c.peer.Instance))
				return
			}
		}
		if spare = b[:0]; cap(b) > maxRetainedBufferBytes {
			spare = nil
		}
		if closing {
			return
		}
	}
}

func (c *Conn) takePending(spare []byte) (b []byte, closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b = c.pending.swapBuffer(spare)
	c.writingBytes = len(b)
	return b, c.closing
}

func (c *Conn) writeBuffer(b []byte, closing bool) error {
	timeout := c.cfg.PeerTimeout
	if closing {
		timeout = closeFlushTimeout
	}
	if err := c.conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := c.conn.Write(b); err != nil {
		return err
	}
	c.mu.Lock()
	c.writingBytes = 0
	c.spaceFreed.Broadcast()
	c.mu.Unlock()
	return nil
}

func (c *Conn) pingIfIdle() {
	c.mu.Lock()
	idle := !c.sentSinceTick
	c.sentSinceTick = false
	c.mu.Unlock()
	if !idle {
		return
	}
	// A ping fails only when the link is down, which the reader reports.
	_ = c.Send(&cleat.Ping{})
}

// abort closes the link without sending queued frames; the first recorded cause is kept.
func (c *Conn) abort(cause error) {
	c.mu.Lock()
	c.markClosing(cause)
	select {
	case <-c.done:
	default:
		close(c.done)
	}
	c.mu.Unlock()
	_ = c.conn.Close()
}

func (c *Conn) markClosing(cause error) {
	c.closing = true
	if c.closeCause == nil {
		c.closeCause = cause
	}
	c.spaceFreed.Broadcast()
}

func (c *Conn) recordedCause() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeCause
}

func (c *Conn) queuedBytes() int { return len(c.pending.buf) + c.writingBytes }

func (c *Conn) wakeSpaceWaiters() {
	c.mu.Lock()
	c.spaceFreed.Broadcast()
	c.mu.Unlock()
}

func (c *Conn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
