package httpd

import (
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of the pauses between accepts while the process is short of processor time.
const (
	busyPause    = 5 * time.Millisecond
	maxBusyPause = 10 * time.Millisecond
	// minTurnAwayShare and maxTurnAwayShare bound the share of a pause in which callers are
	// turned away. Requests that are being served have the rest.
	minTurnAwayShare, maxTurnAwayShare = 0.25, 0.75
	// maxQueueAge is how long callers may be left in the listener's queue by each pass
	// before the share has doubled.
	maxQueueAge = 100 * time.Millisecond
)

// queueWatch decides how much time to spend on the callers in the listener's queue. Its
// length is not known, nor how long a caller has waited; whether a pass emptied it is. If
// none does, callers are turned away as fast as others come, and all have waited for as
// long as the first ones: too long, once a crowd has filled the queue.
type queueWatch struct {
	leftSince time.Time // Since when each pass has left callers in the queue; zero if the last one emptied it.
}

// budget returns how much of a pause the next pass may take.
func (q *queueWatch) budget(now time.Time, pause time.Duration) time.Duration {
	share := minTurnAwayShare
	if !q.leftSince.IsZero() {
		share = min(maxTurnAwayShare, share*(1+float64(now.Sub(q.leftSince))/float64(maxQueueAge)))
	}
	return time.Duration(share * float64(pause))
}

// recordEmpty records that a pass emptied the queue, or that accepts are not delayed.
func (q *queueWatch) recordEmpty() { q.leftSince = time.Time{} }

// recordLeft records that a pass left callers in the queue.
func (q *queueWatch) recordLeft(now time.Time) {
	if q.leftSince.IsZero() {
		q.leftSince = now
	}
}

// awaitTime delays the next accept while Config.Busy says so: connections that are open get
// the processor first. The callers that can't be served meanwhile are turned away at once.
// If they waited, all that are accepted later would have given up.
func (s *Server) awaitTime(l net.Listener, q *queueWatch) {
	if !s.isBusy() {
		q.recordEmpty()
		return
	}
	for waited := time.Duration(0); waited < maxBusyPause && !s.closing.Load() && s.isBusy(); waited += busyPause {
		time.Sleep(busyPause)
		s.turnAwayWaiting(time.Now(), l, q)
	}
}

func (s *Server) isBusy() bool { return s.cfg.Busy != nil && s.cfg.Busy() }

// turnAwayWaiting turns away the callers in the listener's queue, as far as the budget allows.
func (s *Server) turnAwayWaiting(now time.Time, l net.Listener, q *queueWatch) {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	for until := now.Add(q.budget(now, busyPause)); s.isBusy() && time.Now().Before(until); {
		fd, ok := acceptNow(raw)
		if !ok {
			q.recordEmpty()
			return
		}
		s.turnAway(fd)
	}
	q.recordLeft(now)
}

// acceptNow accepts a connection without blocking; false means that there is none, or
// that Accept has to deal with an error.
func acceptNow(raw syscall.RawConn) (int, bool) {
	fd := -1
	if err := raw.Control(func(l uintptr) {
		var err error
		if fd, _, err = unix.Accept4(int(l), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC); err != nil {
			fd = -1
		}
	}); err != nil {
		return -1, false
	}
	return fd, fd >= 0
}

// maxUnread bounds what is read of a request that is turned away. Closing a connection
// with unread bytes resets it, which may lose the answer.
const maxUnread = 64 << 10

// turnAway answers 503 on a connection whose request has arrived, without parsing it, and
// closes the connection. One without a request is closed.
func (s *Server) turnAway(fd int) {
	defer func() { _ = unix.Close(fd) }() // Nothing can be done about an error.
	s.turnedN.Add(1)
	got := 0
	for got < maxUnread {
		n, _, err := unix.Recvfrom(fd, s.discarded, unix.MSG_DONTWAIT)
		if n == 0 && err == nil && got == 0 {
			s.abandonedN.Add(1)
			return
		}
		if n <= 0 || err != nil {
			break
		}
		got += n
		if n < len(s.discarded) {
			break
		}
	}
	if got > 0 {
		_, _ = unix.Write(fd, s.turnedAwayAnswer()) // The caller may have left.
	}
}

// turnedAwayAnswer returns the answer to a request of any method that isn't read.
func (s *Server) turnedAwayAnswer() []byte {
	retryAfter := ""
	if s.cfg.RetryAfter != nil {
		retryAfter = fmt.Sprintf("Retry-After: %.2f\r\n", s.cfg.RetryAfter().Seconds())
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n",
		http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable), retryAfter)
}

// TurnedAway returns how many connections were turned away since the start, without a
// request being served.
func (s *Server) TurnedAway() int64 { return s.turnedN.Load() }
