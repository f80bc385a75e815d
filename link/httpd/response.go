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
	conn    *conn
	req     *http.Request
	header  http.Header
	status  int   // Zero until the head is written.
	length  int64 // Of the body, as its head states; negative when it doesn't.
	written int64
	chunked bool
	bare    bool // The answer has no body, whatever the handler writes.
	last    bool // The connection ends after it.
	bounded bool // Its writing has a deadline.
	err     error
	watched chan struct{} // Closed when the watch for the caller's leaving ends; nil without one.
}

var (
	_ http.ResponseWriter = (*Response)(nil)
	_ http.Flusher        = (*Response)(nil)
)

func (w *Response) begin(req *http.Request) {
	clear(w.header)
	*w = Response{conn: w.conn, header: w.header, req: req, last: req.Close || !req.ProtoAtLeast(1, 1)}
}

// Header returns the fields of the head.
func (w *Response) Header() http.Header { return w.header }

// ReadBody returns the request's whole body, read until a time; one of more than
// limit bytes gives an http.MaxBytesError.
func (w *Response) ReadBody(limit int64, until time.Time) ([]byte, error) {
	n := w.req.ContentLength
	if n < 0 || int64(w.conn.br.Buffered()) < n {
		if err := w.conn.net.SetReadDeadline(until); err != nil {
			return nil, trace.Wrap(err, "Response.ReadBody")
		}
	}
	if n > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if n >= 0 {
		body := make([]byte, n)
		_, err := io.ReadFull(w.req.Body, body)
		return body, err
	}
	return io.ReadAll(http.MaxBytesReader(w, w.req.Body, limit))
}

// SetWriteDeadline bounds the writing of the answer.
func (w *Response) SetWriteDeadline(t time.Time) error {
	w.bounded = true
	return w.conn.net.SetWriteDeadline(t)
}

// WriteHeader writes the head, once.
func (w *Response) WriteHeader(status int) {
	if w.status != 0 {
		w.conn.server.log.Error("a second head was not written", "status", status, "first", w.status)
		return
	}
	w.status = status
	w.frame()
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
	w.note(err)
	w.note(w.header.Write(bw))
	_, err = bw.WriteString("\r\n")
	w.note(err)
}

// frame decides how the end of the body is told.
func (w *Response) frame() {
	h := w.header
	h.Del("Transfer-Encoding")
	w.length = -1
	if n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		w.length = n
	} else {
		h.Del("Content-Length")
	}
	empty := w.status < http.StatusOK || w.status == http.StatusNoContent
	w.bare = empty || w.status == http.StatusNotModified || w.req.Method == http.MethodHead
	switch {
	case empty:
		h.Del("Content-Length")
	case w.bare || w.length >= 0:
	case w.req.ProtoAtLeast(1, 1):
		w.chunked = true
		h["Transfer-Encoding"] = []string{"chunked"}
	default:
		w.last = true
	}
	if h.Get("Connection") == "close" || w.conn.server.closing.Load() {
		w.last = true
	}
	if w.last {
		h["Connection"] = []string{"close"}
	}
}

func (w *Response) note(err error) {
	if w.err == nil {
		w.err = err
	}
}

// Write writes a part of the body; with no head written yet, the status is 200.
func (w *Response) Write(b []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if w.err != nil {
		return 0, w.err
	}
	if w.bare || len(b) == 0 {
		return len(b), nil
	}
	if w.length >= 0 && w.written+int64(len(b)) > w.length {
		return 0, http.ErrContentLength
	}
	w.written += int64(len(b))
	bw := w.conn.bw
	if !w.chunked {
		n, err := bw.Write(b)
		w.note(err)
		return n, err
	}
	var head [20]byte
	_, err := bw.Write(append(strconv.AppendInt(head[:0], int64(len(b)), 16), "\r\n"...))
	w.note(err)
	n, err := bw.Write(b)
	w.note(err)
	_, err = bw.WriteString("\r\n")
	w.note(err)
	return n, w.err
}

// FlushError sends what was written.
func (w *Response) FlushError() error {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if w.err == nil {
		w.err = w.conn.bw.Flush()
	}
	return w.err
}

// Flush sends what was written; FlushError also returns the error.
func (w *Response) Flush() { _ = w.FlushError() }

// end completes the answer.
func (w *Response) end() error {
	if w.status == 0 {
		w.header["Content-Length"] = []string{"0"}
		w.WriteHeader(http.StatusOK)
	}
	if w.chunked && !w.bare {
		_, err := w.conn.bw.WriteString("0\r\n\r\n")
		w.note(err)
	}
	if err := w.FlushError(); err != nil {
		return err
	}
	if w.bounded {
		if err := w.conn.net.SetWriteDeadline(time.Time{}); err != nil {
			return trace.Wrap(err, "Response.end")
		}
	}
	if !w.bare && w.length >= 0 && w.written < w.length {
		return trace.BadParameter("Response.end: the body has %d bytes of %d", w.written, w.length)
	}
	return nil
}

// breakOff ends the connection so that the answer doesn't look complete: one
// whose end is the connection's needs a reset.
func (w *Response) breakOff() {
	if w.status != 0 && !w.chunked && w.length < 0 {
		if c, ok := w.conn.net.(*net.TCPConn); ok {
			// The connection is closed next anyway.
			_ = c.SetLinger(0)
		}
	}
}

// Watch calls gone if the caller closes its connection before the handler
// returns: at once if it has done so already, else from another goroutine. The
// body must have been read. A caller that sends its next request early is not watched.
func (w *Response) Watch(gone func()) {
	c := w.conn
	sc, ok := c.net.(syscall.Conn)
	if !ok || w.watched != nil || c.br.Buffered() > 0 {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		gone()
		return
	}
	there := watched
	if err := raw.Control(func(fd uintptr) { there = look(fd) }); err != nil {
		there = left
	}
	if c.net.SetReadDeadline(time.Time{}) != nil {
		there = left
	}
	switch there {
	case left:
		gone()
	case watched:
		w.watched = make(chan struct{})
		go watch(raw, gone, w.watched)
	}
}

// presence is what a look at a caller's connection shows.
type presence uint8

const (
	watched presence = iota // Open, and nothing to be read.
	early                   // The next request has come.
	left                    // Closed.
)

func look(fd uintptr) presence {
	n, err := peek(fd)
	switch {
	case errors.Is(err, unix.EAGAIN):
		return watched
	case err != nil || n == 0:
		return left
	}
	return early
}

func watch(raw syscall.RawConn, gone func(), done chan<- struct{}) {
	defer close(done)
	there := watched
	err := raw.Read(func(fd uintptr) bool {
		there = look(fd)
		return there != watched
	})
	// The deadline is how unwatch ends it.
	if there == left || (err != nil && !isTimeout(err)) {
		gone()
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// unwatch ends the watch, if there is one.
func (w *Response) unwatch() {
	if w.watched == nil {
		return
	}
	if err := w.conn.net.SetReadDeadline(time.Unix(1, 0)); err != nil {
		w.conn.close()
	}
	<-w.watched
	w.watched = nil
}
