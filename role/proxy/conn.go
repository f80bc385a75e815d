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
)

// inlineBody is the size up to which a request is written before its answer is
// read; a longer one may be answered before it has left.
const inlineBody = 16 << 10

// idleMargin is how long before an upstream closes an idle connection it is used no more.
const idleMargin = 500 * time.Millisecond

// upConn is one connection to an upstream.
type upConn struct {
	net    net.Conn
	br     *bufio.Reader
	reused bool
	expiry time.Time // From which it may not be used again.
}

// errNotSent marks a failure before any byte left.
var errNotSent = errors.New("not sent")

// pool keeps idle connections to one upstream.
type pool struct {
	addr string
	cfg  *Config

	mu      sync.Mutex
	idle    []*upConn // The one used last at the end.
	maxIdle int
	closed  bool
}

func newPool(addr string, cfg *Config) *pool {
	return &pool{addr: addr, cfg: cfg, maxIdle: cfg.MaxIdle}
}

// setMaxIdle bounds the idle connections that are kept from now on.
func (p *pool) setMaxIdle(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = n
}

// get returns an idle connection that still stands, or a new one.
func (p *pool) get(ctx context.Context, now time.Time) (*upConn, error) {
	for {
		c := p.take()
		if c == nil {
			return p.dial(ctx)
		}
		if now.Before(c.expiry) && c.quiet() {
			c.reused = true
			return c, nil
		}
		c.close()
	}
}

func (p *pool) take() *upConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *pool) dial(ctx context.Context) (*upConn, error) {
	d := net.Dialer{Timeout: p.cfg.DialTimeout, Control: p.control, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: p.cfg.Silence, Interval: p.cfg.Silence / 2, Count: 2,
	}}
	c, err := d.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		return nil, trace.Wrap(errNotSent, "pool.dial: %v", err)
	}
	return &upConn{net: c, br: bufio.NewReaderSize(c, 4<<10)}, nil
}

// control sets how long sent bytes may stay unacknowledged.
func (p *pool) control(_, _ string, raw syscall.RawConn) error {
	var err error
	if ctlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.cfg.Silence.Milliseconds()))
	}); ctlErr != nil {
		return ctlErr
	}
	return err
}

// put keeps a connection after a complete answer, or closes it.
func (p *pool) put(c *upConn, now time.Time, h http.Header) {
	keep := p.cfg.Idle
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		if s, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if n, err := strconv.Atoi(s); err == nil {
				keep = min(keep, time.Duration(n)*time.Second-idleMargin)
			}
		}
	}
	c.expiry = now.Add(keep)
	if keep <= 0 || c.br.Buffered() > 0 || c.net.SetDeadline(time.Time{}) != nil {
		c.close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= p.maxIdle {
		c.close()
		return
	}
	p.idle = append(p.idle, c)
}

// sweep closes connections that were idle for too long.
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

// close ends the connection; nothing is left to be said on it.
func (c *upConn) close() { _ = c.net.Close() }

// quiet reports whether the upstream neither closed the connection nor sent
// anything on it.
func (c *upConn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	if err := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	}); err != nil {
		return false
	}
	return quiet
}

// maxStray bounds the answers to earlier requests that are skipped on one connection.
const maxStray = 2

// maxStrayBytes bounds the body of such an answer.
const maxStrayBytes = 64 << 10

// roundTrip sends a request and returns the head of its answer. An error that
// is errNotSent means that nothing was sent.
func (c *upConn) roundTrip(head, body []byte, method string, id cleat.RequestID, dialect cleat.Dialect) (*http.Response, cleat.AnswerInfo, error) {
	if err := c.write(head, body); err != nil {
		return nil, cleat.AnswerInfo{}, err
	}
	for stray := 0; ; stray++ {
		resp, err := c.readHead(method)
		if err != nil {
			return nil, cleat.AnswerInfo{}, trace.Wrap(err, "upConn.roundTrip")
		}
		info := dialect.ReadAnswer(resp.Header)
		if info.ID == id {
			return resp, info, nil
		}
		if stray >= maxStray || !c.reused || info.ID == "" {
			return nil, info, trace.BadParameter("upConn.roundTrip: the answer is to request %q", info.ID)
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes)); err != nil {
			return nil, info, trace.Wrap(err, "upConn.roundTrip: a late answer to %q", info.ID)
		}
	}
}

func (c *upConn) write(head, body []byte) error {
	if len(body) <= inlineBody {
		if _, err := c.net.Write(append(head, body...)); err != nil {
			return trace.Wrap(err, "upConn.write")
		}
		return nil
	}
	go func() {
		buf := net.Buffers{head, body}
		// The reader sees why a connection broke.
		_, _ = buf.WriteTo(c.net)
	}()
	return nil
}

// readHead returns the next answer's head, past interim ones.
func (c *upConn) readHead(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}
