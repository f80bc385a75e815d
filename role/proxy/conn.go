package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/upconn"
)

// inlineBodyBytes is the size of a body up to which a request is written completely
// before its answer is read; a longer one may be answered while it is being written.
const inlineBodyBytes = 16 << 10

// idleMargin is subtracted from the idle timeout that an upstream states, so that no
// request is sent on a connection that the upstream is about to close.
const idleMargin = 500 * time.Millisecond

// upstreamConn is one connection to an upstream.
type upstreamConn struct {
	net      *upconn.Conn
	in       *boundedReader // Below br; see readHead.
	br       *bufio.Reader
	cfg      *Config
	reused   bool
	dialedAt time.Time
	putAt    time.Time // When it was last put into the pool.
	expiry   time.Time // From then on it must not be reused.
}

func newUpstreamConn(c net.Conn, cfg *Config, now time.Time) *upstreamConn {
	conn := upconn.New(c)
	in := &boundedReader{r: conn}
	return &upstreamConn{net: conn, in: in, br: bufio.NewReaderSize(in, 4<<10), cfg: cfg, dialedAt: now}
}

// boundedReader reads at most a number of bytes, whatever they are: http.ReadResponse
// bounds neither heads nor informational answers.
type boundedReader struct {
	r    io.Reader
	left int64
}

// errTooLong is the error of an upstream that sends more than it may.
var errTooLong = errors.New("the upstream sends too many bytes")

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLong
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

// maxHeadBytes bounds an answer's head, with the informational answers before it.
const maxHeadBytes = 64 << 10

// pool keeps idle connections to one upstream.
type pool struct {
	addr string
	cfg  *Config

	mu      sync.Mutex
	idle    []*upstreamConn // Most recently used last.
	maxIdle int
	closed  bool
	lost    bool // The upstream closed a connection that was in use shortly before.
	closing bool // The newest answer closed its connection, as those of an upstream that leaves do.
}

func newPool(addr string, cfg *Config) *pool {
	return &pool{addr: addr, cfg: cfg, maxIdle: cfg.MaxIdleConns}
}

// setMaxIdle sets the limit on idle connections; those above it are not closed at once.
func (p *pool) setMaxIdle(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = n
}

// get returns an idle connection that is still usable, or a new one. If before is set,
// it returns only a connection that was dialed before then.
func (p *pool) get(ctx context.Context, now, before time.Time) (*upstreamConn, error) {
	for {
		c := p.popIdle()
		switch {
		case c == nil && !before.IsZero():
			return nil, trace.NotFound("pool.get: no connection from before %v ago", now.Sub(before))
		case c == nil:
			return p.dial(ctx, now)
		}
		if now.Before(c.expiry) && c.isReusable() && (before.IsZero() || c.dialedAt.Before(before)) {
			c.reused = true
			return c, nil
		}
		if now.Before(c.expiry) && now.Sub(c.putAt) < maxLostIdle && before.IsZero() {
			p.recordLost()
		}
		c.close()
	}
}

// recordClose records whether an answer closes its connection.
func (p *pool) recordClose(closes bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closing = closes
}

func (p *pool) recordLost() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost = true
}

// takeLost reports, once, whether the upstream closed an idle connection that was in use
// shortly before.
func (p *pool) takeLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := p.lost
	p.lost = false
	return lost
}

// hasShutDown reports whether a failure to connect means that the upstream has shut down:
// nothing listens, after an answer that closed its connection.
func (p *pool) hasShutDown(err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closing && errors.Is(err, syscall.ECONNREFUSED)
}

func (p *pool) popIdle() *upstreamConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *pool) dial(ctx context.Context, now time.Time) (*upstreamConn, error) {
	d := net.Dialer{Timeout: p.cfg.DialTimeout, Control: p.setUserTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: p.cfg.TCPUserTimeout, Interval: p.cfg.TCPUserTimeout / 2, Count: 2,
	}}
	c, err := d.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		if ctx.Err() == nil {
			p.takeLost() // This failure tells more; the next connection may be to a later incarnation.
		}
		return nil, trace.Wrap(err, "pool.dial")
	}
	return newUpstreamConn(c, p.cfg, now), nil
}

// setUserTimeout sets how long sent bytes may stay unacknowledged before the kernel
// closes the connection.
func (p *pool) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	if ctlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.cfg.TCPUserTimeout.Milliseconds()))
	}); ctlErr != nil {
		return ctlErr
	}
	return err
}

// put returns a connection to the pool after a complete answer, or closes it; h is
// the answer's header.
func (p *pool) put(c *upstreamConn, now time.Time, h http.Header) {
	idleTimeout := p.cfg.IdleTimeout
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		if s, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if n, err := strconv.Atoi(s); err == nil {
				idleTimeout = min(idleTimeout, time.Duration(n)*time.Second-idleMargin)
			}
		}
	}
	c.putAt, c.expiry = now, now.Add(idleTimeout)
	if idleTimeout <= 0 || c.br.Buffered() > 0 || c.net.SetDeadline(time.Time{}) != nil {
		c.close()
		return
	}
	p.keep(c)
}

// putBack returns a connection on which nothing was sent, or closes it: a new one has no
// answer yet that tells how long it may stay idle.
func (p *pool) putBack(c *upstreamConn) {
	if c.expiry.IsZero() {
		c.close()
		return
	}
	p.keep(c)
}

// keep adds a connection to the idle ones, or closes it if there are enough.
func (p *pool) keep(c *upstreamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= p.maxIdle {
		c.close()
		return
	}
	p.idle = append(p.idle, c)
}

// sweep closes idle connections that have expired.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.expiry) {
			kept = append(kept, c)
			continue
		}
		c.close()
	}
	p.idle = kept
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}

// close closes the connection. An error is ignored: there is nothing left to do about it.
func (c *upstreamConn) close() { _ = c.net.Close() }

// isReusable reports whether the upstream has neither closed the connection nor sent
// unexpected bytes on it.
func (c *upstreamConn) isReusable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.net.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	if err := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = errors.Is(err, unix.EAGAIN)
		return true
	}); err != nil {
		return false
	}
	return reusable
}

// maxStaleAnswers bounds the answers to earlier requests that are skipped per round trip.
const maxStaleAnswers = 2

// maxDiscardBytes bounds the body of an answer that is read and discarded.
const maxDiscardBytes = 64 << 10

// roundTrip sends a request and returns the head of its answer. After an error the
// request may have run.
func (c *upstreamConn) roundTrip(head, body []byte, method string, id cleat.RequestID, dialect cleat.Dialect) (*http.Response, cleat.AnswerInfo, error) {
	if err := c.write(head, body); err != nil {
		return nil, cleat.AnswerInfo{}, err
	}
	for stale := 0; ; stale++ {
		resp, err := c.readHead(method)
		if err != nil {
			return nil, cleat.AnswerInfo{}, trace.Wrap(err, "upstreamConn.roundTrip")
		}
		info := dialect.ReadAnswer(resp.Header)
		if info.ID == id {
			return resp, info, nil
		}
		if stale >= maxStaleAnswers || !c.reused || info.ID == "" {
			return nil, info, trace.BadParameter("upstreamConn.roundTrip: the answer belongs to request %q", info.ID)
		}
		if err := discard(resp.Body); err != nil {
			return nil, info, trace.Wrap(err, "upstreamConn.roundTrip: discarding a late answer to %q", info.ID)
		}
	}
}

// discard reads the rest of a body. It returns errTooLong after maxDiscardBytes; the
// connection can't be used any more then.
func discard(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardBytes+1))
	if err == nil && n > maxDiscardBytes {
		err = errTooLong
	}
	return err
}

func (c *upstreamConn) write(head, body []byte) error {
	if len(body) <= inlineBodyBytes {
		if _, err := c.net.Write(append(head, body...)); err != nil {
			return trace.Wrap(err, "upstreamConn.write")
		}
		return nil
	}
	go func() {
		// Reading the answer fails if this does before the answer has ended.
		_, _ = c.net.WriteBuffers(net.Buffers{head, body})
	}()
	return nil
}

// readHead returns the head of the next final answer, skipping informational (1xx)
// ones. It bounds what is read for them and then for the body.
func (c *upstreamConn) readHead(method string) (*http.Response, error) {
	c.in.left = maxHeadBytes
	buffered, _ := c.br.Peek(c.br.Buffered()) // Reads nothing, so it doesn't fail.
	if err := c.net.BeginAnswer(buffered); err != nil {
		return nil, err
	}
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			if headErr := c.net.HeadErr(); headErr != nil {
				err = headErr
			}
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			c.in.left = c.cfg.MaxAnswerBytes
			return resp, nil
		}
	}
}
