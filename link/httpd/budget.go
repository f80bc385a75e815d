package httpd

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// Defaults of BudgetConfig.
const (
	DefaultMaxHeldBytes = 64 << 20
	DefaultMaxConns     = 16 << 10
)

const (
	// connBytes is what a connection makes the process hold, with its goroutines and buffers.
	connBytes = 20 << 10
	// headFactor is the memory that a byte of a request's head takes once it is parsed: a field of a
	// few bytes takes an entry of a map, two strings and a slice.
	headFactor = 20
	// evictFrom is the share of a limit above which connections are evicted, and evictTo the
	// one down to which. Callers are refused only at the limit.
	evictFrom, evictTo = 0.75, 0.6
	// evictPause is the least time between evictions: one visits all connections.
	evictPause = 50 * time.Millisecond
	// unreadTimeout is how long a caller may leave an answer unread while memory is short.
	unreadTimeout = 5 * time.Second
)

// ErrMemory is the error of reading a request that the process has no memory for, or whose
// connection was evicted to make room for others.
var ErrMemory = errors.New("no memory for the request")

// BudgetConfig holds the settings of a Budget.
type BudgetConfig struct {
	MaxBytes int64 // Memory that all callers together make the process hold, as estimated.
	MaxConns int   // Open connections.
}

// Defaults sets the fields that are zero.
func (c *BudgetConfig) Defaults() {
	cleat.SetDefault(&c.MaxBytes, DefaultMaxHeldBytes)
	cleat.SetDefault(&c.MaxConns, DefaultMaxConns)
}

// Validate returns a trace.BadParameter error if a limit leaves no room for one connection.
func (c *BudgetConfig) Validate() error {
	if c.MaxBytes < connBytes || c.MaxConns < 1 {
		return trace.BadParameter("httpd.BudgetConfig: %d bytes and %d connections leave no room for one", c.MaxBytes, c.MaxConns)
	}
	return nil
}

// Budget bounds what callers make a process hold, over all connections of its servers:
// connections, requests that are being read, bodies, and answers in memory. It is charged before the memory is
// used. When it runs short, connections whose requests were not read completely are evicted,
// those first that have held much for long.
type Budget struct {
	cfg      BudgetConfig
	held     atomic.Int64
	evictedN atomic.Int64
	refusedN atomic.Int64

	mu        sync.Mutex
	conns     map[*conn]struct{}
	evictedAt time.Time
}

// NewBudget returns a budget that is not used yet.
func NewBudget(cfg BudgetConfig) (*Budget, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Budget{cfg: cfg, conns: make(map[*conn]struct{})}, nil
}

// Held returns the bytes that callers make the process hold, as estimated.
func (b *Budget) Held() int64 { return b.held.Load() }

// Evicted returns how many connections were evicted since the start.
func (b *Budget) Evicted() int64 { return b.evictedN.Load() }

// Refused returns how many charges were refused since the start.
func (b *Budget) Refused() int64 { return b.refusedN.Load() }

// phase is what a connection does.
type phase int32

const (
	phaseIdle    phase = iota // It waits for a request.
	phaseHead                 // The head of a request is being read.
	phaseBody                 // The body is being read; no upstream has the request.
	phaseServing              // The request was read, or is refused.
	phaseEvicted              // Its request is not served.
)

// add registers a connection and charges it, or returns false if there is no room.
func (b *Budget) add(now time.Time, c *conn) bool {
	b.mu.Lock()
	b.conns[c] = struct{}{}
	n := len(b.conns)
	b.mu.Unlock()
	if n > b.cfg.MaxConns || !c.charge(now, connBytes) {
		b.evict(now)
		b.remove(c)
		return false
	}
	if float64(n) > evictFrom*float64(b.cfg.MaxConns) {
		b.evict(now)
	}
	return true
}

// remove ends the registration of a connection and gives back what it was charged.
func (b *Budget) remove(c *conn) {
	b.mu.Lock()
	delete(b.conns, c)
	b.mu.Unlock()
	c.refund(c.held.Load())
}

// charge takes bytes from the budget for the connection; it returns false, and takes
// none, if the budget is used up.
func (c *conn) charge(now time.Time, n int64) bool {
	b := c.server.cfg.Budget
	held := b.held.Add(n)
	if float64(held) > evictFrom*float64(b.cfg.MaxBytes) {
		b.evict(now)
	}
	if held > b.cfg.MaxBytes {
		b.held.Add(-n)
		b.refusedN.Add(1)
		return false
	}
	c.held.Add(n)
	return true
}

// refund gives bytes back that the connection was charged.
func (c *conn) refund(n int64) {
	c.held.Add(-n)
	c.server.cfg.Budget.held.Add(-n)
}

// refundRequest gives back all but what the connection itself takes.
func (c *conn) refundRequest() { c.refund(c.held.Load() - connBytes) }

// holder is a connection as seen by an eviction.
type holder struct {
	conn   *conn
	phase  phase
	held   int64
	since  time.Time // Of the phase.
	unread time.Time // Since when the caller has not read its answer; zero if it has.
}

// evict evicts connections if the budget is short.
func (b *Budget) evict(now time.Time) {
	if !b.mu.TryLock() {
		return // Another one is at it, or the next charge comes soon.
	}
	defer b.mu.Unlock()
	if now.Sub(b.evictedAt) < evictPause {
		return
	}
	b.evictedAt = now
	list := make([]holder, 0, len(b.conns))
	for c := range b.conns {
		list = append(list, c.holder())
	}
	bytes, conns := b.held.Load()-int64(evictTo*float64(b.cfg.MaxBytes)), len(list)-int(evictTo*float64(b.cfg.MaxConns))
	if float64(b.held.Load()) <= evictFrom*float64(b.cfg.MaxBytes) {
		bytes = 0
	}
	if float64(len(list)) <= evictFrom*float64(b.cfg.MaxConns) {
		conns = 0
	}
	for _, h := range chooseEvicted(now, list, bytes, conns) {
		if h.conn.evict(h.phase) {
			b.evictedN.Add(1)
		}
	}
}

// chooseEvicted returns the connections to evict so that bytes and conns of them are given
// back, as far as there are any whose requests have not been read, or whose callers don't
// read. Those evicted before count, since they are about to end.
func chooseEvicted(now time.Time, list []holder, bytes int64, conns int) []holder {
	var candidates []holder
	for _, h := range list {
		switch {
		case h.phase == phaseEvicted:
			bytes -= h.held
			conns--
		case h.phase != phaseServing, !h.unread.IsZero() && now.Sub(h.unread) > unreadTimeout:
			candidates = append(candidates, h)
		}
	}
	// A request in progress for a moment weighs little, however large it is.
	weight := func(h holder) float64 { return float64(h.held) * max(0, now.Sub(h.since).Seconds()) }
	slices.SortFunc(candidates, func(a, b holder) int { return cmp.Compare(weight(b), weight(a)) })
	n := 0
	for ; n < len(candidates) && (bytes > 0 || conns > 0); n++ {
		bytes -= candidates[n].held
		conns--
	}
	return candidates[:n]
}

func (c *conn) holder() holder {
	h := holder{conn: c, phase: phase(c.phase.Load()), held: c.held.Load(), since: time.Unix(0, c.phaseSince.Load())}
	if at := c.writingSince.Load(); at != 0 {
		h.unread = time.Unix(0, at)
	}
	return h
}

// connWriter writes to a connection and records since when.
type connWriter struct{ conn *conn }

// Write writes to the connection.
func (w connWriter) Write(b []byte) (int, error) {
	w.conn.writingSince.Store(time.Now().UnixNano())
	defer w.conn.writingSince.Store(0)
	return w.conn.net.Write(b)
}

// evict ends the reading of the connection's request, or closes the connection if nothing
// can be answered. It returns false if the connection has left the phase meanwhile.
func (c *conn) evict(from phase) bool {
	if from == phaseServing {
		c.close()
		return true
	}
	if from == phaseIdle && hasUnread(c.net) {
		return false
	}
	if !c.phase.CompareAndSwap(int32(from), int32(phaseEvicted)) {
		return false
	}
	if from != phaseBody {
		c.close()
		return true
	}
	// The reader answers that the request has not run.
	return c.net.SetReadDeadline(time.Unix(1, 0)) == nil
}

// enter starts a phase of the connection, or returns false if it was evicted.
func (c *conn) enter(now time.Time, from, to phase) bool {
	if !c.phase.CompareAndSwap(int32(from), int32(to)) {
		return false
	}
	c.phaseSince.Store(now.UnixNano())
	return true
}

// isEvicted reports whether the connection was evicted.
func (c *conn) isEvicted() bool { return phase(c.phase.Load()) == phaseEvicted }

// firstBodyBytes is the size of the buffer in which a body is first read. It grows with what
// arrives: a caller may state a length and send nothing.
const firstBodyBytes = 16 << 10

// readAll reads a body, of which the budget is charged before it is in memory. length is the
// stated one, or negative. It returns the first limit+1 bytes of a longer body.
func (c *conn) readAll(read func([]byte) (int, error), length, limit int64) ([]byte, error) {
	size := int64(firstBodyBytes)
	if length >= 0 {
		size = min(size, length)
	}
	if !c.charge(time.Now(), size) {
		return nil, ErrMemory
	}
	buf := make([]byte, 0, size)
	for {
		if len(buf) == cap(buf) {
			if n := int64(len(buf)); n == length || n > limit {
				return buf, nil
			}
			size := 2 * int64(cap(buf))
			if length >= 0 {
				size = min(size, length)
			}
			size = min(size, limit+1)
			if !c.charge(time.Now(), size) {
				return nil, ErrMemory
			}
			grown := append(make([]byte, 0, size), buf...)
			c.refund(int64(cap(buf)))
			buf = grown
		}
		n, err := read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err != nil {
			return buf, err
		}
	}
}
