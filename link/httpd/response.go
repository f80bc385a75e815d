package httpd

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// Response is the answer to one request.
type Response struct {
	conn             *conn
	req              *http.Request
	header           http.Header
	status           int   // Zero until the head is written.
	length           int64 // Content-Length of the answer; negative when the head states none.
	written          int64
	chunked          bool
	noBody           bool          // The answer has no body; what the handler writes is discarded.
	closeAfter       bool          // The connection is closed after the answer.
	hasWriteDeadline bool          // SetWriteDeadline was called.
	err              error         // First error of writing the answer.
	watchDone        chan struct{} // Closed when the goroutine started by Watch ends; nil without one.
}

var (
	_ http.ResponseWriter = (*Response)(nil)
	_ http.Flusher        = (*Response)(nil)
)

func (w *Response) reset(req *http.Request) {
	clear(w.header)
	*w = Response{conn: w.conn, header: w.header, req: req, closeAfter: req.Close || !req.ProtoAtLeast(1, 1)}
}

// Header returns the header fields of the answer.
func (w *Response) Header() http.Header { return w.header }

// ReadBody returns the request's complete body. It fails with a timeout error after the
// deadline, with an http.MaxBytesError if the body has more than limit bytes, and with
// ErrMemory if there is no room for it.
func (w *Response) ReadBody(limit int64, deadline time.Time) ([]byte, error) {
	n, c := w.req.ContentLength, w.conn
	if n > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if !c.enter(time.Now(), phaseServing, phaseBody) {
		return nil, ErrMemory
	}
	if n < 0 || int64(c.br.Buffered()) < n {
		if err := c.net.SetReadDeadline(deadline); err != nil {
			return nil, trace.Wrap(err, "Response.ReadBody")
		}
	}
	if c.isEvicted() {
		return nil, ErrMemory // The deadline that ends the reading was replaced.
	}
	body, err := w.readBody(n, limit)
	if !c.enter(time.Now(), phaseBody, phaseServing) {
		return nil, ErrMemory
	}
	return body, err
}

func (w *Response) readBody(n, limit int64) ([]byte, error) {
	if n >= 0 {
		body, err := w.conn.readAll(w.req.Body.Read, n, limit)
		if errors.Is(err, io.EOF) && int64(len(body)) == n {
			err = nil
		} else if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return body, err
	}
	body, err := w.conn.readAll(w.req.Body.Read, n, limit)
	switch {
	case int64(len(body)) > limit:
		return nil, &http.MaxBytesError{Limit: limit}
	case errors.Is(err, io.EOF):
		err = nil
	}
	return body, err
}

// Hold charges bytes of the answer that are kept in memory until the handler returns. It
// returns false, and charges none, if there is no room for them.
func (w *Response) Hold(n int64) bool { return w.conn.charge(time.Now(), n) }

// SetWriteDeadline sets the deadline for writing the answer.
func (w *Response) SetWriteDeadline(t time.Time) error {
	w.hasWriteDeadline = true
	return w.conn.net.SetWriteDeadline(t)
}

// WriteHeader writes the status line and header; later calls are logged and ignored.
func (w *Response) WriteHeader(status int) {
	if w.status != 0 {
		w.conn.server.log.Error("second WriteHeader call ignored", "status", status, "first", w.status)
		return
	}
	w.status = status
	w.setFraming()
	bw := w.conn.bw
	var line [128]byte
	b := append(line[:0], "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(append(append(b, ' '), http.StatusText(status)...), "\r\n"...)
	if _, ok := w.header["Date"]; !ok {
		b = append(b, "Date: "...)
		b = append(time.Now().UTC().AppendFormat(b, http.TimeFormat), "\r\n"...)
	}
	_, err := bw.Write(b)
	w.recordError(err)
	w.recordError(w.header.Write(bw))
	_, err = bw.WriteString("\r\n")
	w.recordError(err)
}

// setFraming decides how the end of the body is marked: by Content-Length, by chunks
// or by closing the connection.
func (w *Response) setFraming() {
	h := w.header
	h.Del("Transfer-Encoding")
	w.length = -1
	if n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		w.length = n
	} else {
		h.Del("Content-Length")
	}
	empty := w.status < http.StatusOK || w.status == http.StatusNoContent
	w.noBody = empty || w.status == http.StatusNotModified || w.req.Method == http.MethodHead
	switch {
	case empty:
		h.Del("Content-Length")
	case w.noBody || w.length >= 0:
	case w.req.ProtoAtLeast(1, 1):
		w.chunked = true
		h["Transfer-Encoding"] = []string{"chunked"}
	default:
		w.closeAfter = true
	}
	if h.Get("Connection") == "close" || w.conn.server.closing.Load() || w.conn.isEvicted() {
		w.closeAfter = true
	}
	if w.closeAfter {
		h["Connection"] = []string{"close"}
	}
}

func (w *Response) recordError(err error) {
	if w.err == nil {
		w.err = err
	}
}

// Write writes part of the body; if no head was written yet, the status is 200.
func (w *Response) Write(b []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if w.err != nil {
		return 0, w.err
	}
	if w.noBody || len(b) == 0 {
		return len(b), nil
	}
	if w.length >= 0 && w.written+int64(len(b)) > w.length {
		return 0, http.ErrContentLength
	}
	w.written += int64(len(b))
	bw := w.conn.bw
	if !w.chunked {
		n, err := bw.Write(b)
		w.recordError(err)
		return n, err
	}
	var head [20]byte
	_, err := bw.Write(append(strconv.AppendInt(head[:0], int64(len(b)), 16), "\r\n"...))
	w.recordError(err)
	n, err := bw.Write(b)
	w.recordError(err)
	_, err = bw.WriteString("\r\n")
	w.recordError(err)
	return n, w.err
}

// FlushError sends buffered data to the caller.
func (w *Response) FlushError() error {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if w.err == nil {
		w.err = w.conn.bw.Flush()
	}
	return w.err
}

// Flush sends buffered data to the caller; use FlushError to get the error.
func (w *Response) Flush() { _ = w.FlushError() }

// finish completes the answer; an error means that the connection must be closed.
func (w *Response) finish() error {
	if w.status == 0 {
		w.header["Content-Length"] = []string{"0"}
		w.WriteHeader(http.StatusOK)
	}
	if w.chunked && !w.noBody {
		_, err := w.conn.bw.WriteString("0\r\n\r\n")
		w.recordError(err)
	}
	if err := w.FlushError(); err != nil {
		return err
	}
	if w.hasWriteDeadline {
		if err := w.conn.net.SetWriteDeadline(time.Time{}); err != nil {
			return trace.Wrap(err, "Response.finish")
		}
	}
	if !w.noBody && w.length >= 0 && w.written < w.length {
		return trace.BadParameter("Response.finish: body truncated: %d of %d bytes written", w.written, w.length)
	}
	return nil
}

// abort keeps an answer whose handler panicked from looking complete: if closing the
// connection would mark its end, the connection is reset instead.
func (w *Response) abort() {
	if w.status != 0 && !w.chunked && w.length < 0 {
		if c, ok := w.conn.net.(*net.TCPConn); ok {
			// On an error there is nothing else to do: the connection is closed next.
			_ = c.SetLinger(0)
		}
	}
}

// Watch calls onDisconnect if the caller closes its connection before the handler
// returns: at once if it is closed already, otherwise from another goroutine. The body
// must have been read. A caller that pipelines its next request is not watched.
func (w *Response) Watch(onDisconnect func()) {
	c := w.conn
	sc, ok := c.net.(syscall.Conn)
	if !ok || w.watchDone != nil || c.br.Buffered() > 0 {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		onDisconnect()
		return
	}
	state := callerOpen
	if err := raw.Control(func(fd uintptr) { state = checkCaller(fd) }); err != nil {
		state = callerClosed
	}
	if c.net.SetReadDeadline(time.Time{}) != nil {
		state = callerClosed
	}
	switch state {
	case callerClosed:
		onDisconnect()
	case callerOpen:
		w.watchDone = make(chan struct{})
		go watch(raw, onDisconnect, w.watchDone)
	}
}

// callerState is the state of a caller's connection while its request is served.
type callerState uint8

const (
	callerOpen      callerState = iota // Open, with nothing to read.
	callerPipelined                    // Bytes of the next request have arrived.
	callerClosed                       // Closed by the caller, at least for sending, or broken.
)

// checkCaller returns the state of the connection without blocking.
func checkCaller(fd uintptr) callerState {
	n, err := peekByte(fd)
	switch {
	case errors.Is(err, unix.EAGAIN):
		return callerOpen
	case err != nil || n == 0:
		return callerClosed
	}
	return callerPipelined
}

// watch waits until the caller sends more bytes or closes its connection, and calls
// onDisconnect in the latter case.
func watch(raw syscall.RawConn, onDisconnect func(), done chan<- struct{}) {
	defer close(done)
	state := callerOpen
	err := raw.Read(func(fd uintptr) bool {
		state = checkCaller(fd)
		return state != callerOpen
	})
	// A timeout does not mean that the caller disconnected: stopWatch ends the read by
	// setting a deadline in the past.
	if state == callerClosed || (err != nil && !isTimeout(err)) {
		onDisconnect()
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// stopWatch stops the goroutine started by Watch, if there is one, and waits for its end.
func (w *Response) stopWatch() {
	if w.watchDone == nil {
		return
	}
	if err := w.conn.net.SetReadDeadline(time.Unix(1, 0)); err != nil {
		w.conn.close()
	}
	<-w.watchDone
	w.watchDone = nil
}
