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
// If they waited, all that are accepted later would have given up. It reports whether it
// served a caller of Config.Screen's choice, who takes the place of the next one in the queue.
func (s *Server) awaitTime(l net.Listener, q *queueWatch) bool {
	if !s.isBusy() {
		q.recordEmpty()
		return false
	}
	served := false
	for waited := time.Duration(0); waited < maxBusyPause && !s.closing.Load() && s.isBusy(); waited += busyPause {
		time.Sleep(busyPause)
		served = s.turnAwayWaiting(time.Now(), l, q, served)
	}
	return served
}

func (s *Server) isBusy() bool { return s.cfg.Busy != nil && s.cfg.Busy() }

// turnAwayWaiting turns away the callers in the listener's queue, as far as the budget
// allows. Unless served is set, it serves one of those that Config.Screen lets through. It
// returns whether one was served.
func (s *Server) turnAwayWaiting(now time.Time, l net.Listener, q *queueWatch, served bool) bool {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return served
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return served
	}
	for until := now.Add(q.budget(now, busyPause)); s.isBusy() && time.Now().Before(until); {
		fd, ok := acceptNow(raw)
		if !ok {
			q.recordEmpty()
			return served
		}
		request, open := s.receiveWaiting(fd)
		verdict := s.screenRequest(request)
		if open && verdict == ScreenServe && !served && s.serveScreened(fd, request) {
			served = true
			continue
		}
		if !open {
			s.abandonedN.Add(1)
		}
		s.turnAway(fd, request, verdict)
	}
	q.recordLeft(now)
	return served
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

// turnAway answers 503 or 401 on a connection of whose request a part was received, and
// closes the connection. One without a request is closed.
func (s *Server) turnAway(fd int, request []byte, verdict Screening) {
	defer func() { _ = unix.Close(fd) }() // Nothing can be done about an error.
	s.turnedN.Add(1)
	if len(request) == 0 {
		return
	}
	for got, n := len(request), len(request); n == len(s.received) && got < maxUnread; got += n {
		var err error
		if n, _, err = unix.Recvfrom(fd, s.received, unix.MSG_DONTWAIT); n <= 0 || err != nil {
			break
		}
	}
	answer := s.turnedAwayAnswer()
	if verdict == ScreenDenyKey {
		s.deniedN.Add(1)
		answer = deniedAnswer
	}
	_, _ = unix.Write(fd, answer) // The caller may have left.
}

// deniedAnswer is the answer to a request whose key isn't valid.
var deniedAnswer = fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
	http.StatusUnauthorized, http.StatusText(http.StatusUnauthorized))

// turnedAwayAnswer returns the answer to a request of any method that may be tried again.
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

// Denied returns how many of these were told that their key isn't valid.
func (s *Server) Denied() int64 { return s.deniedN.Load() }
