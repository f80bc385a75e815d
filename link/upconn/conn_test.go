package upconn

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// stubConn is a connection whose reads find its end, and whose writes end with writeErr: at
// once, or when a write deadline is set.
type stubConn struct {
	net.Conn
	writing  chan struct{} // Closed when a write has begun.
	deadline chan struct{} // Closed when a write deadline is set; nil for writes that end at once.
	writeErr error
}

func (c *stubConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *stubConn) Write([]byte) (int, error) {
	close(c.writing)
	if c.deadline != nil {
		<-c.deadline
	}
	return 0, c.writeErr
}

func (c *stubConn) SetWriteDeadline(time.Time) error {
	if c.deadline != nil {
		close(c.deadline)
	}
	return nil
}

func TestReadReportsWhatAWriteHasMet(t *testing.T) {
	cases := map[string]struct {
		writeErr error
		blocked  bool // The write is under way when the end is read.
		want     error
	}{
		"written":                      {nil, false, io.EOF},
		"reset":                        {syscall.ECONNRESET, false, syscall.ECONNRESET},
		"reset during the read":        {syscall.ECONNRESET, true, syscall.ECONNRESET},
		"timed out":                    {syscall.ETIMEDOUT, false, syscall.ETIMEDOUT},
		"unreachable":                  {syscall.EHOSTUNREACH, true, syscall.EHOSTUNREACH},
		"reset after an orderly close": {syscall.EPIPE, false, io.EOF},
		"ended by the read":            {os.ErrDeadlineExceeded, true, io.EOF},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			stub := &stubConn{writing: make(chan struct{}), writeErr: c.writeErr}
			if c.blocked {
				stub.deadline = make(chan struct{})
			}
			conn := New(stub)
			written := make(chan struct{})
			go func() {
				defer close(written)
				_, _ = conn.WriteBuffers(net.Buffers{[]byte("x")})
			}()
			<-stub.writing
			if !c.blocked {
				<-written
			}
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, c.want) {
				t.Errorf("Read: %v, want %v", err, c.want)
			}
		})
	}
}
