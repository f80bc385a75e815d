package httpd

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// bufferBytes is the size of a connection's buffer in each direction.
const bufferBytes = 4 << 10

// errHeadTooLong ends the reading of a head that exceeds the bound.
var errHeadTooLong = errors.New("the request's head is too long")

// conn is one connection of a caller. A worker uses one conn for all its connections.
type conn struct {
	server *Server
	net    net.Conn
	br     *bufio.Reader
	bw     *bufio.Writer
	left   int64       // Bytes that may be read from the connection.
	idle   atomic.Bool // Between requests.
	resp   Response
}

func newConn(s *Server) *conn {
	c := &conn{server: s}
	c.br = bufio.NewReaderSize(c, bufferBytes)
	c.bw = bufio.NewWriterSize(nil, bufferBytes)
	c.resp = Response{conn: c, header: make(http.Header)}
	return c
}

func (c *conn) reset(n net.Conn) {
	c.net = n
	c.br.Reset(c)
	c.bw.Reset(n)
	c.idle.Store(true)
}

// Read reads from the connection, within the bound in force.
func (c *conn) Read(b []byte) (int, error) {
	if c.left <= 0 {
		return 0, errHeadTooLong
	}
	if int64(len(b)) > c.left {
		b = b[:c.left]
	}
	n, err := c.net.Read(b)
	c.left -= int64(n)
	return n, err
}

// close ends the connection; nothing is left to be said on it.
func (c *conn) close() { _ = c.net.Close() }

// serve answers requests until the connection ends.
func (c *conn) serve() {
	defer c.close()
	for c.await() {
		req, err := c.readHead()
		if err != nil {
			c.reject(err)
			return
		}
		if !c.answer(req) {
			return
		}
	}
}

// await waits for the first byte of a request.
func (c *conn) await() bool {
	c.idle.Store(true)
	c.left = c.server.cfg.MaxHeadBytes + bufferBytes
	if (c.server.closing.Load() && c.br.Buffered() == 0 && !pending(c.net)) || c.net.SetReadDeadline(time.Now().Add(c.server.cfg.IdleTimeout)) != nil {
		return false
	}
	_, err := c.br.Peek(1)
	if isTimeout(err) && pending(c.net) && c.net.SetReadDeadline(time.Now().Add(c.server.cfg.HeadTimeout)) == nil {
		// The request came before the timeout, and the process was too busy to see it.
		_, err = c.br.Peek(1)
	}
	c.idle.Store(false)
	return err == nil
}

// pending reports whether a connection has bytes that were not read yet.
func pending(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	if err := raw.Control(func(fd uintptr) { n, _ = peek(fd) }); err != nil {
		return false
	}
	return n > 0
}

// peek returns how many of the next bytes, one at most, are there; zero without
// an error means that the other side closed.
func peek(fd uintptr) (int, error) {
	var b [1]byte
	for {
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}

func (c *conn) readHead() (*http.Request, error) {
	if !c.headBuffered() {
		if err := c.net.SetReadDeadline(time.Now().Add(c.server.cfg.HeadTimeout)); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	req, err := http.ReadRequest(c.br)
	if err != nil {
		return nil, err
	}
	if err := check(req); err != nil {
		return nil, err
	}
	c.left = math.MaxInt64
	return req, nil
}

// headBuffered reports whether a whole head has been read from the connection,
// so that reading it needs no deadline.
func (c *conn) headBuffered() bool {
	b, err := c.br.Peek(c.br.Buffered())
	return err == nil && bytes.Contains(b, headEnd)
}

var headEnd = []byte("\r\n\r\n")

// check refuses what net/http's parser lets pass and its server doesn't.
func check(req *http.Request) error {
	if req.ProtoMajor != 1 {
		return trace.BadParameter("unsupported version %q", req.Proto)
	}
	if req.ProtoAtLeast(1, 1) && req.Host == "" {
		return trace.BadParameter("no host")
	}
	if !visible(req.Host, false) {
		return trace.BadParameter("malformed host %q", req.Host)
	}
	for name, values := range req.Header {
		if !token(name) {
			return trace.BadParameter("malformed field name %q", name)
		}
		for _, v := range values {
			if !visible(v, true) {
				return trace.BadParameter("malformed value of %s", name)
			}
		}
	}
	return nil
}

// token reports whether s can be the name of a field.
func token(s string) bool {
	for i := range len(s) {
		b := s[i]
		letter := 'a' <= b|0x20 && b|0x20 <= 'z'
		if !letter && (b < '0' || b > '9') && strings.IndexByte("!#$%&'*+-.^_`|~", b) < 0 {
			return false
		}
	}
	return s != ""
}

// visible reports whether s holds no control characters, nor blanks unless allowed.
func visible(s string, blanks bool) bool {
	for i := range len(s) {
		switch b := s[i]; {
		case b == ' ' || b == '\t':
			if !blanks {
				return false
			}
		case b < ' ' || b == 0x7f:
			return false
		}
	}
	return true
}

// reject answers what is no proper request.
func (c *conn) reject(err error) {
	status := http.StatusBadRequest
	var netErr net.Error
	switch {
	case errors.Is(err, errHeadTooLong):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		return // The caller is gone, or silent.
	}
	c.server.log.Debug("malformed request", "caller", c.net.RemoteAddr(), "err", err)
	text := http.StatusText(status)
	fmt.Fprintf(c.bw, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s\n",
		status, text, len(text)+1, text)
	if c.bw.Flush() == nil {
		c.linger()
	}
}

// answer has the handler answer a request and reports whether the connection
// can take a further one.
func (c *conn) answer(req *http.Request) bool {
	body := req.Body
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") && req.ProtoAtLeast(1, 1) && req.ContentLength != 0 {
		req.Body = &continuing{ReadCloser: body, conn: c}
	}
	w := &c.resp
	w.begin(req)
	ended := c.handle(w, req)
	w.unwatch()
	if !ended {
		w.breakOff()
		return false
	}
	if err := w.end(); err != nil {
		return false
	}
	if !c.drain(body, req.ContentLength) {
		c.linger()
		return false
	}
	return !w.last
}

// handle reports whether the handler ended the answer, rather than broke it off.
func (c *conn) handle(w *Response, req *http.Request) (ended bool) {
	defer func() {
		if v := recover(); v != nil && v != http.ErrAbortHandler {
			c.server.log.Error("handler failed", "err", v, "stack", string(debug.Stack()))
		}
	}()
	c.server.handler(w, req)
	return true
}

// drain reads the rest of a body that the handler left, whose length is negative
// when it isn't stated; it reports whether the next request can follow.
func (c *conn) drain(body io.ReadCloser, length int64) bool {
	if body == http.NoBody {
		return true
	}
	if length >= 0 {
		if _, err := body.Read(nil); errors.Is(err, io.EOF) {
			return true
		}
	}
	if err := c.net.SetReadDeadline(time.Now().Add(c.server.cfg.LingerTimeout)); err != nil {
		return false
	}
	n, err := io.CopyN(io.Discard, body, c.server.cfg.MaxDrainBytes)
	return errors.Is(err, io.EOF) && n < c.server.cfg.MaxDrainBytes
}

// linger lets the caller read an answer that came before it had sent all: closing
// a connection with unread bytes would take the answer from it.
func (c *conn) linger() {
	half, ok := c.net.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	if c.net.SetReadDeadline(time.Now().Add(c.server.cfg.LingerTimeout)) == nil {
		// The caller's end or the deadline ends it.
		_, _ = io.Copy(io.Discard, c.net)
	}
}

// continuing asks for a body when it is first read.
type continuing struct {
	io.ReadCloser
	conn  *conn
	asked bool
}

// Read reads the body.
func (b *continuing) Read(p []byte) (int, error) {
	if !b.asked {
		b.asked = true
		if _, err := io.WriteString(b.conn.bw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, err
		}
		if err := b.conn.bw.Flush(); err != nil {
			return 0, err
		}
	}
	return b.ReadCloser.Read(p)
}
