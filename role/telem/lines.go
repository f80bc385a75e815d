package telem

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

// Bounds of the log's volume.
const (
	// MaxPendingLines is how many lines may wait to be written; further ones are dropped.
	MaxPendingLines = 1024
	// LinesPerSecond is how many lines of one kind are written in a second, on average.
	LinesPerSecond = 20
	// LineBurst is how many lines of one kind may be written at once.
	LineBurst = 60
)

// LineWriter writes lines in the background and never blocks: what can't be
// kept is dropped and counted.
type LineWriter struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewLineWriter returns a writer to w, which a goroutine serves until the process ends.
func NewLineWriter(w io.Writer) *LineWriter {
	l := &LineWriter{lines: make(chan []byte, MaxPendingLines)}
	go l.run(w)
	return l
}

// Write queues one line; it never fails.
func (l *LineWriter) Write(b []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), b...):
	default:
		l.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns how many lines were dropped.
func (l *LineWriter) Dropped() int64 { return l.dropped.Load() }

// Flush waits until what was queued is written, for a bounded time.
func (l *LineWriter) Flush(within time.Duration) {
	const poll = 5 * time.Millisecond
	for deadline := time.Now().Add(within); len(l.lines) > 0 && time.Now().Before(deadline); {
		time.Sleep(poll)
	}
}

func (l *LineWriter) run(w io.Writer) {
	for line := range l.lines {
		// A log that can't be written has nowhere to say so.
		_, _ = w.Write(line)
	}
}

// Decisions logs what is decided on requests, each kind of line at a bounded
// rate; the next line of a kind tells how many were left out.
type Decisions struct {
	log  *log.Logger
	mu   sync.Mutex
	rows map[string]*allowance
}

type allowance struct {
	tokens  float64
	filled  time.Time
	skipped int
}

// NewDecisions returns a log of decisions that writes to logger.
func NewDecisions(logger *log.Logger) *Decisions {
	return &Decisions{log: logger, rows: make(map[string]*allowance)}
}

// Log writes a line of a kind, unless too many were written lately.
func (d *Decisions) Log(now time.Time, kind string, keyvals ...any) {
	if skipped, ok := d.Allow(now, kind); ok {
		d.Write(kind, skipped, keyvals)
	}
}

// Write writes a line that Allow let pass.
func (d *Decisions) Write(kind string, skipped int, keyvals []any) {
	if skipped > 0 {
		keyvals = append(keyvals, "left_out", skipped)
	}
	d.log.Info(kind, keyvals...)
}

// Allow reports whether a line of a kind may be written now, and how many were
// left out before it. Callers that ask first needn't gather what isn't written.
func (d *Decisions) Allow(now time.Time, kind string) (skipped int, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, known := d.rows[kind]
	if !known {
		a = &allowance{tokens: LineBurst, filled: now}
		d.rows[kind] = a
	}
	a.tokens = min(LineBurst, a.tokens+LinesPerSecond*max(0, now.Sub(a.filled).Seconds()))
	a.filled = now
	if a.tokens < 1 {
		a.skipped++
		return 0, false
	}
	a.tokens--
	skipped, a.skipped = a.skipped, 0
	return skipped, true
}
