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

// errHeadTooLong is the read error of a head that exceeds the limit.
var errHeadTooLong = errors.New("the request's head is too long")

// conn serves a caller's connection. A worker reuses it, with its buffers, for one
// connection after another.
type conn struct {
	server    *Server
	net       net.Conn
	received  []byte // Already received from the connection, and not yet in the buffer.
	br        *bufio.Reader
	bw        *bufio.Writer
	readLimit int64       // Bytes that may still be read from the connection.
	headBytes int64       // Of the head that is being read, charged to the budget.
	idle      atomic.Bool // Between requests.
	resp      Response

	held         atomic.Int64 // Bytes charged to the budget.
	phase        atomic.Int32 // A phase.
	phaseSince   atomic.Int64 // Unix time in nanoseconds.
	writingSince atomic.Int64 // Unix time in nanoseconds; zero while nothing is being written.
}

func newConn(s *Server) *conn {
	c := &conn{server: s}
	c.br = bufio.NewReaderSize(c, bufferBytes)
	c.bw = bufio.NewWriterSize(nil, bufferBytes)
	c.resp = Response{conn: c, header: make(http.Header)}
	return c
}

func (c *conn) reset(n incoming) {
	c.net, c.received = n.Conn, n.received
	c.br.Reset(c)
	c.bw.Reset(connWriter{c})
	c.headBytes = 0
	c.phase.Store(int32(phaseIdle))
	c.phaseSince.Store(time.Now().UnixNano())
	if c.readLimit = bufferBytes; len(c.received) > 0 {
		_, _ = c.br.Peek(1) // Puts into the buffer what was received.
	}
	c.idle.Store(true)
}

// Read reads from the connection; it fails with errHeadTooLong once readLimit is used up.
func (c *conn) Read(b []byte) (int, error) {
	if c.readLimit <= 0 {
		return 0, errHeadTooLong
	}
	if int64(len(b)) > c.readLimit {
		b = b[:c.readLimit]
	}
	if len(c.received) > 0 {
		n := copy(b, c.received)
		c.received = c.received[n:]
		c.readLimit -= int64(n)
		return n, nil
	}
	n, err := c.net.Read(b)
	c.readLimit -= int64(n)
	if phase(c.phase.Load()) == phaseHead || c.idle.Load() {
		if !c.charge(time.Now(), headFactor*int64(n)) {
			return 0, ErrMemory
		}
		c.headBytes += int64(n)
	}
	return n, err
}

// close closes the connection. An error is ignored: there is nothing left to do about it.
func (c *conn) close() { _ = c.net.Close() }

// serve answers requests until the connection ends.
func (c *conn) serve() {
	defer c.close()
	for first := true; ; first = false {
		if !c.awaitRequest() {
			if first {
				c.server.abandonedN.Add(1)
			}
			return
		}
		req, err := c.readHead()
		if err != nil {
			c.rejectRequest(err)
			return
		}
		if first && c.server.isBusy() && c.hasLeft(req) {
			c.server.abandonedN.Add(1)
		}
		if !c.serveRequest(req) {
			return
		}
	}
}

// hasLeft reports whether the caller has closed the connection behind the request. It
// can't tell while a part of the body was not read.
func (c *conn) hasLeft(req *http.Request) bool {
	if req.ContentLength < 0 || int64(c.br.Buffered()) < req.ContentLength {
		return false
	}
	sc, ok := c.net.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	state := callerOpen
	if err := raw.Control(func(fd uintptr) { state = checkCaller(fd) }); err != nil {
		return true
	}
	return state == callerClosed
}

// awaitRequest waits for the first byte of a request; it returns false if the
// connection must be closed.
func (c *conn) awaitRequest() bool {
	c.idle.Store(true)
	c.readLimit = c.server.cfg.MaxHeadBytes + bufferBytes
	if (c.server.closing.Load() && c.br.Buffered() == 0 && !hasUnread(c.net)) || c.net.SetReadDeadline(time.Now().Add(c.server.cfg.IdleTimeout)) != nil {
		return false
	}
	c.headBytes = 0
	_, err := c.br.Peek(1)
	if isTimeout(err) && hasUnread(c.net) && c.net.SetReadDeadline(time.Now().Add(c.server.cfg.HeadTimeout)) == nil {
		// The request arrived before the timeout, but the process was too busy to read it.
		_, err = c.br.Peek(1)
	}
	c.idle.Store(false)
	if errors.Is(err, ErrMemory) {
		c.refuseForMemory(phaseIdle)
		return false
	}
	return err == nil && c.enter(time.Now(), phaseIdle, phaseHead)
}

// hasUnread reports whether bytes have arrived at the socket that were not read yet.
func hasUnread(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	if err := raw.Control(func(fd uintptr) { n, _ = peekByte(fd) }); err != nil {
		return false
	}
	return n > 0
}

// peekByte returns 1 if a byte can be read without blocking; 0 without an error means
// that the peer closed the connection.
func peekByte(fd uintptr) (int, error) {
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
	if err := validateRequest(req); err != nil {
		return nil, err
	}
	c.readLimit = math.MaxInt64
	if !c.enter(time.Now(), phaseHead, phaseServing) {
		return nil, ErrMemory
	}
	// What follows the head belongs to the body, or to the next request.
	c.refund(headFactor * min(c.headBytes, int64(c.br.Buffered())))
	return req, nil
}

// headBuffered reports whether a complete head is in the buffer,
// so that reading it needs no deadline.
func (c *conn) headBuffered() bool {
	b, err := c.br.Peek(c.br.Buffered())
	return err == nil && bytes.Contains(b, headEnd)
}

var headEnd = []byte("\r\n\r\n")

// validateRequest rejects requests that net/http's parser accepts but its server rejects.
func validateRequest(req *http.Request) error {
	if req.ProtoMajor != 1 {
		return trace.BadParameter("unsupported version %q", req.Proto)
	}
	if req.ProtoAtLeast(1, 1) && req.Host == "" {
		return trace.BadParameter("no host")
	}
	if !isPrintable(req.Host, false) {
		return trace.BadParameter("malformed host %q", req.Host)
	}
	for name, values := range req.Header {
		if !isToken(name) {
			return trace.BadParameter("malformed field name %q", name)
		}
		for _, v := range values {
			if !isPrintable(v, true) {
				return trace.BadParameter("malformed value of %s", name)
			}
		}
	}
	return nil
}

// isToken reports whether s is a valid field name.
func isToken(s string) bool {
	for i := range len(s) {
		b := s[i]
		letter := 'a' <= b|0x20 && b|0x20 <= 'z'
		if !letter && (b < '0' || b > '9') && strings.IndexByte("!#$%&'*+-.^_`|~", b) < 0 {
			return false
		}
	}
	return s != ""
}

// isPrintable reports whether s has no control characters, and no spaces or tabs
// unless allowBlanks is set.
func isPrintable(s string, allowBlanks bool) bool {
	for i := range len(s) {
		switch b := s[i]; {
		case b == ' ' || b == '\t':
			if !allowBlanks {
				return false
			}
		case b < ' ' || b == 0x7f:
			return false
		}
	}
	return true
}

// rejectRequest answers a request whose head is malformed or too long.
func (c *conn) rejectRequest(err error) {
	status := http.StatusBadRequest
	var netErr net.Error
	switch {
	case errors.Is(err, ErrMemory):
		c.refuseForMemory(phaseHead)
		return
	case errors.Is(err, errHeadTooLong):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		return // The caller disconnected or timed out.
	}
	c.server.log.Debug("malformed request", "caller", c.net.RemoteAddr(), "err", err)
	text := http.StatusText(status)
	fmt.Fprintf(c.bw, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s\n",
		status, text, len(text)+1, text)
	if c.bw.Flush() == nil {
		c.linger()
	}
}

// refuseForMemory answers a request whose head there is no memory for.
func (c *conn) refuseForMemory(from phase) {
	if !c.enter(time.Now(), from, phaseEvicted) {
		return // Evicted, and closed.
	}
	c.refundRequest()
	if _, err := c.bw.Write(c.server.turnedAwayAnswer()); err == nil && c.bw.Flush() == nil {
		c.linger()
	}
}

// serveRequest calls the handler, completes the answer and reports whether the
// connection can be used for a further request.
func (c *conn) serveRequest(req *http.Request) bool {
	body := req.Body
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") && req.ProtoAtLeast(1, 1) && req.ContentLength != 0 {
		req.Body = &continueReader{ReadCloser: body, conn: c}
	}
	w := &c.resp
	w.reset(req)
	completed := c.callHandler(w, req)
	w.stopWatch()
	c.refundRequest()
	if !completed {
		w.abort()
		return false
	}
	if err := w.finish(); err != nil {
		return false
	}
	if !c.drainBody(body, req.ContentLength) {
		c.linger()
		return false
	}
	return !w.closeAfter && c.enter(time.Now(), phaseServing, phaseIdle)
}

// callHandler reports whether the handler returned normally, without a panic.
func (c *conn) callHandler(w *Response, req *http.Request) (completed bool) {
	defer func() {
		if v := recover(); v != nil && v != http.ErrAbortHandler {
			c.server.log.Error("handler panicked", "err", v, "stack", string(debug.Stack()))
		}
	}()
	c.server.handler(w, req)
	return true
}

// drainBody discards the part of a body that the handler did not read and reports
// whether the connection can be used for the next request. The length is negative if
// the request states none.
func (c *conn) drainBody(body io.ReadCloser, length int64) bool {
	if body == http.NoBody {
		return true
	}
	if length >= 0 {
		// An empty read reports the end of a body that was read completely.
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

// linger gives the caller time to read an answer that was sent before its request was
// read completely: closing a connection with unread bytes resets it, and the answer is lost.
func (c *conn) linger() {
	half, ok := c.net.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	if c.net.SetReadDeadline(time.Now().Add(c.server.cfg.LingerTimeout)) == nil {
		// Ends when the caller closes the connection or the deadline passes.
		_, _ = io.Copy(io.Discard, c.net)
	}
}

// continueReader sends "100 Continue" before the first read of the body.
type continueReader struct {
	io.ReadCloser
	conn         *conn
	sentContinue bool
}

// Read reads from the body; the first call sends "100 Continue" before that.
func (b *continueReader) Read(p []byte) (int, error) {
	if !b.sentContinue {
		b.sentContinue = true
		if _, err := io.WriteString(b.conn.bw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, err
		}
		if err := b.conn.bw.Flush(); err != nil {
			return 0, err
		}
	}
	return b.ReadCloser.Read(p)
}
