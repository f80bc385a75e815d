package upconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection that checks the heads of answers as they are read, and whose failures
// are reported to reads, also when a concurrent write meets them first: the kernel reports a
// reset or a timeout only once, and a read after that finds the end of the connection as if
// the upstream had closed it in order.
type Conn struct {
	net.Conn

	mu       sync.Mutex // Held during a write.
	writeErr error      // Of the first write that failed.

	headMu sync.Mutex // Held while bytes that were read are checked.
	head   headScanner
}

// New returns a connection that reads and writes c, and that begins with the head of an answer.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write writes b to the connection.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.recordWrite(err)
	return n, err
}

// WriteBuffers writes bufs to the connection, with one system call if there is room for them.
func (c *Conn) WriteBuffers(bufs net.Buffers) (int64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := bufs.WriteTo(c.Conn)
	c.recordWrite(err)
	return n, err
}

// recordWrite records how a write ended. The caller holds c.mu.
func (c *Conn) recordWrite(err error) {
	if c.writeErr == nil {
		c.writeErr = err
	}
}

// BeginAnswer makes the connection check the head of the next answer. It checks the bytes
// of it that have been read already, buffered.
func (c *Conn) BeginAnswer(buffered []byte) error {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.head = headScanner{}
	return c.head.scan(buffered)
}

// HeadErr returns the error with which reads of the present head fail, or nil. A parser that
// has a part of the line may report another one.
func (c *Conn) HeadErr() error {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	return c.head.err
}

func (c *Conn) checkHead(b []byte) error {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	return c.head.scan(b)
}

// Read reads from the connection. It returns io.EOF only if the upstream has closed the
// connection, or its sending side, in order; a write that is under way then is ended. It
// returns ErrMalformedHead for the head of an answer that can't be read safely.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if headErr := c.checkHead(b[:n]); headErr != nil {
		return 0, headErr
	}
	if errors.Is(err, io.EOF) {
		if failure := c.failure(); failure != nil {
			err = failure
		}
	}
	return n, err
}

// failure returns the failure of the connection that a write has met, or nil.
func (c *Conn) failure() error {
	// A write that has met the failure may not have returned yet, and one to an upstream
	// that reads no further would never return.
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // Fails on a closed connection, whose writes have ended.
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case errors.Is(c.writeErr, syscall.EPIPE): // A reset after the upstream had closed its side in order.
	case errors.Is(c.writeErr, os.ErrDeadlineExceeded), errors.Is(c.writeErr, net.ErrClosed): // Ended here.
	default:
		return c.writeErr
	}
	return nil
}
