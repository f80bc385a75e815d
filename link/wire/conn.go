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

	wake chan struct{} // Signals the writer that there is something to do.
	done chan struct{} // Closed when the link is down.

	mu      sync.Mutex
	room    *sync.Cond // Signalled when the queue shrinks or the link goes down.
	out     *frameWriter
	writing int // Bytes of the write under way.
	sent    bool
	closing bool
	cause   error
}

func newConn(cfg Config, conn net.Conn, r *frameReader, peer cleat.Peer, h cleat.LinkHandler) *Conn {
	c := &Conn{
		cfg: cfg, conn: conn, reader: r, peer: peer, handler: h,
		wake: make(chan struct{}, 1),
		done: make(chan struct{}),
		out:  newFrameWriter(),
	}
	c.room = sync.NewCond(&c.mu)
	return c
}

// Peer returns who is at the other end.
func (c *Conn) Peer() cleat.Peer { return c.peer }

// Queued returns how many bytes wait to be sent.
func (c *Conn) Queued() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queued()
}

// Send queues m; it fails with trace.ConnectionProblem when the link is down or
// its peer reads too slowly, and with trace.LimitExceeded when m is too large.
func (c *Conn) Send(m cleat.Message) error {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return trace.ConnectionProblem(c.cause, "Conn.Send: the link to %s is down", c.peer.Instance)
	}
	size, err := c.out.frame(m, c.cfg.MaxFrameBytes)
	if err != nil {
		c.mu.Unlock()
		return trace.Wrap(err)
	}
	if c.queued() > c.cfg.SendQueueBytes {
		c.out.buf = c.out.buf[:len(c.out.buf)-size]
		c.mu.Unlock()
		c.cfg.Counters.stuck.Add(1)
		c.abort(trace.LimitExceeded("Conn.Send: %s reads too slowly", c.peer.Instance))
		return trace.ConnectionProblem(nil, "Conn.Send: %s reads too slowly", c.peer.Instance)
	}
	c.sent = true
	c.mu.Unlock()
	c.cfg.Counters.countSent(m.Kind(), size)
	c.wakeWriter()
	return nil
}

// AwaitRoom waits until little is queued or the link is down; it fails only with ctx.
func (c *Conn) AwaitRoom(ctx context.Context) error {
	stop := context.AfterFunc(ctx, c.signalRoom)
	defer stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.queued() > PacedQueueBytes && !c.closing && ctx.Err() == nil {
		c.room.Wait()
	}
	return trace.Wrap(ctx.Err(), "Conn.AwaitRoom")
}

// AwaitRoom waits until little is queued on l, where the link knows of it.
func AwaitRoom(ctx context.Context, l cleat.Link) error {
	if p, ok := l.(interface {
		AwaitRoom(ctx context.Context) error
	}); ok {
		return p.AwaitRoom(ctx)
	}
	return nil
}

// SendPaced sends m over l after waiting for room, for long bodies.
func SendPaced(ctx context.Context, l cleat.Link, m cleat.Message) error {
	if err := AwaitRoom(ctx, l); err != nil {
		return err
	}
	return l.Send(m)
}

// HasRoom reports whether little is queued on l, as far as the link knows.
func HasRoom(l cleat.Link) bool {
	q, ok := l.(interface{ Queued() int })
	return !ok || q.Queued() <= PacedQueueBytes
}

// Close sends what is queued, bounded by a second, and breaks the link.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.markClosing(trace.ConnectionProblem(nil, "Conn.Close: closed by this side"))
	c.mu.Unlock()
	c.wakeWriter()
	return nil
}

// run serves the link until it breaks and returns why.
func (c *Conn) run() error {
	c.cfg.Counters.up.Add(1)
	defer c.cfg.Counters.up.Add(-1)
	var writer sync.WaitGroup
	writer.Go(c.write)
	c.handler.LinkUp(c)
	c.abort(c.read())
	writer.Wait()
	c.handler.LinkDown(c, c.why())
	return c.why()
}

func (c *Conn) read() error {
	var armed time.Time
	for {
		if now := time.Now(); now.Sub(armed) > c.cfg.PingInterval/2 {
			armed = now
			if err := c.conn.SetReadDeadline(now.Add(c.cfg.PeerTimeout)); err != nil {
				return trace.Wrap(err, "Conn.read")
			}
		}
		m, size, err := c.reader.next(c.cfg.MaxFrameBytes)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.cfg.Counters.silent.Add(1)
			return trace.ConnectionProblem(err, "Conn.read: %s fell silent", c.peer.Instance)
		}
		if err != nil {
			return trace.Wrap(err, "Conn.read: link to %s", c.peer.Instance)
		}
		if m == nil {
			c.cfg.Counters.unknown.Add(1)
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
		b, closing := c.nextWrite(spare)
		if len(b) > 0 {
			if err := c.flush(b, closing); err != nil {
				c.abort(trace.Wrap(err, "Conn.write: link to %s", c.peer.Instance))
				return
			}
		}
		if spare = b[:0]; cap(b) > keptBufferBytes {
			spare = nil
		}
		if closing {
			return
		}
	}
}

func (c *Conn) nextWrite(spare []byte) (b []byte, closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b = c.out.take(spare)
	c.writing = len(b)
	return b, c.closing
}

func (c *Conn) flush(b []byte, closing bool) error {
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
	c.writing = 0
	c.room.Broadcast()
	c.mu.Unlock()
	return nil
}

func (c *Conn) pingIfIdle() {
	c.mu.Lock()
	idle := !c.sent
	c.sent = false
	c.mu.Unlock()
	if !idle {
		return
	}
	// A failed ping means that the link is down, which the reader reports.
	_ = c.Send(&cleat.Ping{})
}

// abort breaks the link at once; the first cause counts.
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
	if c.cause == nil {
		c.cause = cause
	}
	c.room.Broadcast()
}

func (c *Conn) why() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cause
}

func (c *Conn) queued() int { return len(c.out.buf) + c.writing }

func (c *Conn) signalRoom() {
	c.mu.Lock()
	c.room.Broadcast()
	c.mu.Unlock()
}

func (c *Conn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
