package telem

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

// Limits on the volume of the log.
const (
	// MaxPendingLines is the number of lines queued for writing; further ones are dropped.
	MaxPendingLines = 1024
	// LinesPerSecond is the sustained rate of lines of one kind.
	LinesPerSecond = 20
	// LineBurst is the number of lines of one kind that may be written in a burst.
	LineBurst = 60
)

// LineWriter writes lines in the background and never blocks: lines that don't fit
// the queue are dropped and counted.
type LineWriter struct {
	lines   chan []byte
	pending atomic.Int64 // Lines queued or being written.
	dropped atomic.Int64
}

// NewLineWriter returns a LineWriter whose goroutine writes to w until the process ends.
func NewLineWriter(w io.Writer) *LineWriter {
	l := &LineWriter{lines: make(chan []byte, MaxPendingLines)}
	go l.run(w)
	return l
}

// Write queues one line; it never fails.
func (l *LineWriter) Write(b []byte) (int, error) {
	l.pending.Add(1)
	select {
	case l.lines <- append([]byte(nil), b...):
	default:
		l.pending.Add(-1)
		l.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of lines dropped.
func (l *LineWriter) Dropped() int64 { return l.dropped.Load() }

// Flush waits until all queued lines are written or timeout has passed.
func (l *LineWriter) Flush(timeout time.Duration) {
	const pollInterval = 5 * time.Millisecond
	for deadline := time.Now().Add(timeout); l.pending.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(pollInterval)
	}
}

func (l *LineWriter) run(w io.Writer) {
	for line := range l.lines {
		// A failure to write the log can't be logged.
		_, _ = w.Write(line)
		l.pending.Add(-1)
	}
}

// DecisionLog logs the decisions on requests with a rate limit for each kind of line.
// The next line written of that kind carries the number of suppressed ones as left_out.
type DecisionLog struct {
	log     *log.Logger
	mu      sync.Mutex
	buckets map[string]*tokenBucket
}

type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
	suppressed int
}

// NewDecisionLog returns a DecisionLog that writes to logger.
func NewDecisionLog(logger *log.Logger) *DecisionLog {
	return &DecisionLog{log: logger, buckets: make(map[string]*tokenBucket)}
}

// Log writes a line of a kind unless the kind is over its rate limit.
func (d *DecisionLog) Log(now time.Time, kind string, keyvals ...any) {
	if suppressed, ok := d.Allow(now, kind); ok {
		d.Write(kind, suppressed, keyvals)
	}
}

// Write writes a line that Allow has allowed.
func (d *DecisionLog) Write(kind string, suppressed int, keyvals []any) {
	if suppressed > 0 {
		keyvals = append(keyvals, "left_out", suppressed)
	}
	d.log.Info(kind, keyvals...)
}

// Allow reports whether a line of a kind may be written now, and how many were
// suppressed before it. Callers that check it first save building the key-value
// pairs of suppressed lines.
func (d *DecisionLog) Allow(now time.Time, kind string) (suppressed int, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, known := d.buckets[kind]
	if !known {
		b = &tokenBucket{tokens: LineBurst, refilledAt: now}
		d.buckets[kind] = b
	}
	b.tokens = min(LineBurst, b.tokens+LinesPerSecond*max(0, now.Sub(b.refilledAt).Seconds()))
	b.refilledAt = now
	if b.tokens < 1 {
		b.suppressed++
		return 0, false
	}
	b.tokens--
	suppressed, b.suppressed = b.suppressed, 0
	return suppressed, true
}
