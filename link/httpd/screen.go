package httpd

import (
	"bytes"
	"errors"
	"net"
	"net/textproto"
	"os"

	"golang.org/x/sys/unix"
)

// HeadField returns the value of the first field of that name in the head of a request,
// without parsing the rest; empty for none.
func HeadField(head []byte, name string) string {
	_, rest, ok := bytes.Cut(head, lineEnd) // The request line.
	for ok && len(rest) > 0 {
		var line []byte
		if line, rest, ok = bytes.Cut(rest, lineEnd); len(line) == 0 {
			break
		}
		if len(line) > len(name) && line[len(name)] == ':' && bytes.EqualFold(line[:len(name)], []byte(name)) {
			return textproto.TrimString(string(line[len(name)+1:]))
		}
	}
	return ""
}

var lineEnd = []byte("\r\n")

// screenBytes is how much of a request is received at once from a caller that may be turned
// away. The head has to fit for the caller to be told apart.
const screenBytes = 16 << 10

// receiveWaiting receives what has arrived on a connection without blocking, into
// Server.received. It reports false if the caller has closed the connection, or it is broken.
func (s *Server) receiveWaiting(fd int) (request []byte, open bool) {
	n, _, err := unix.Recvfrom(fd, s.received, unix.MSG_DONTWAIT)
	if n <= 0 {
		return nil, errors.Is(err, unix.EAGAIN)
	}
	return s.received[:n], true
}

// screenRequest asks Config.Screen about what has arrived on a connection. Callers whose
// head is incomplete are turned away; those from whom nothing has arrived are served if
// the pace allows it.
func (s *Server) screenRequest(request []byte) Screening {
	if s.cfg.Screen == nil {
		return ScreenTurnAway
	}
	if len(request) == 0 {
		return ScreenServe
	}
	end := bytes.Index(request, headEnd)
	if end < 0 {
		return ScreenTurnAway
	}
	return s.cfg.Screen(request[:end+len(headEnd)])
}

// serveScreened hands an accepted socket, from which a part of a request was received, to
// a worker. If too many connections wait for one, or the socket can't be taken over, it
// returns false and leaves the socket open.
func (s *Server) serveScreened(fd int, request []byte) bool {
	select {
	case s.pending <- struct{}{}:
	default:
		return false
	}
	c, err := connOf(fd)
	if err != nil {
		<-s.pending
		return false
	}
	s.acceptedN.Add(1)
	s.dispatchConn(incoming{Conn: c, received: bytes.Clone(request)})
	return true
}

// connOf returns a connection that takes over an accepted TCP socket.
func connOf(fd int) (net.Conn, error) {
	dup, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(dup), "caller")
	defer func() { _ = f.Close() }() // FileConn has a copy of its own.
	c, err := net.FileConn(f)
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetKeepAlive(false) // Only saves probes; see Listen.
	}
	_ = unix.Close(fd)
	return c, nil
}
