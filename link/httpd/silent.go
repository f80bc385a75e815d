package httpd

import (
	"time"

	"golang.org/x/sys/unix"
)

// maxSilent and maxSilentAge bound how many accepted connections a busy server keeps from which
// nothing has arrived, and for how long.
const (
	maxSilent    = 64
	maxSilentAge = 100 * time.Millisecond
)

// acceptedConn is a connection whose caller a busy server has not decided on.
type acceptedConn struct {
	fd    int
	since time.Time // When it was accepted.
}

// acceptQueue is what a server knows of the callers of a listener that are not served yet.
type acceptQueue struct {
	queueWatch
	silent []acceptedConn // Connections from which nothing has arrived, so that they can't be screened yet; oldest first.
}

// keepSilent keeps a connection until something has arrived from it. It returns false if there
// is no room, or the connection was kept for long enough.
func (q *acceptQueue) keepSilent(now time.Time, c acceptedConn) bool {
	if len(q.silent) >= maxSilent || now.Sub(c.since) >= maxSilentAge {
		return false
	}
	q.silent = append(q.silent, c)
	return true
}

// takeSilent returns the connections that were kept, and keeps none of them.
func (q *acceptQueue) takeSilent() []acceptedConn {
	list := q.silent
	q.silent = nil
	return list
}

// serveOldestSilent serves the connection that was kept longest, and reports whether there was
// one. Like an accept, it waits while too many connections wait for a worker.
func (s *Server) serveOldestSilent(q *acceptQueue) bool {
	for len(q.silent) > 0 {
		fd := q.silent[0].fd
		q.silent = q.silent[1:]
		s.pending <- struct{}{}
		if s.takeOver(fd, nil) {
			return true
		}
		s.turnAway(fd, nil, ScreenTurnAway)
	}
	return false
}

// closeSilent closes the connections that were kept.
func (q *acceptQueue) closeSilent() {
	for _, c := range q.takeSilent() {
		_ = unix.Close(c.fd) // Nothing can be done about an error.
	}
}
