package proxy

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"marigoldcleat.example/cleat"
)

// endCheckTimeout bounds the connection of a check, and then the wait for its close:
// several round trips inside a region.
const endCheckTimeout = 100 * time.Millisecond

// endCheck is a check whether an upstream has ended.
type endCheck struct {
	done  chan struct{} // Closed when ended is set.
	ended bool
}

// endCheckKey identifies an upstream's incarnation.
type endCheckKey struct {
	upstream cleat.UpstreamID
	born     int64
}

// hasEnded reports whether an upstream whose connection broke off has ended. Concurrent
// calls for one incarnation share a check.
func (r *Role) hasEnded(u cleat.UpstreamRecord) bool {
	k := endCheckKey{u.Upstream, u.StartedAtMillis}
	r.mu.Lock()
	c, running := r.endChecks[k]
	if !running {
		c = &endCheck{done: make(chan struct{})}
		r.endChecks[k] = c
	}
	r.mu.Unlock()
	if running {
		<-c.done
		return c.ended
	}
	var err error
	c.ended, err = checkEnded(u.Address)
	r.decisions.Log(r.clock.Now(), "upstream_checked", "upstream", u.Upstream, "address", u.Address, "ended", c.ended, "err", err)
	r.mu.Lock()
	delete(r.endChecks, k)
	r.mu.Unlock()
	close(c.done)
	return c.ended
}

// checkEnded reports whether nothing serves an address: it refuses a connection or
// closes it at once. One that resets it may have too many connections, and one that
// doesn't answer may be out of reach.
func checkEnded(addr string) (bool, error) {
	conn, err := net.DialTimeout("tcp", addr, endCheckTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED), err
	}
	defer func() { _ = conn.Close() }() // Nothing was sent on it.
	if err := conn.SetReadDeadline(time.Now().Add(endCheckTimeout)); err != nil {
		return false, err
	}
	_, err = conn.Read(make([]byte, 1))
	return errors.Is(err, io.EOF), err
}
