package admit

import (
	"time"

	"marigoldcleat.example/cleat"
)

// Steps of the limit.
const (
	shrinkFactor    = 0.85
	busyGrowthBound = 2.0 // Busy time against its long mean, above which a plain service is overloaded.
	slowFactor      = 3.0 // Mean against target, above which an upstream counts as slow.
	meanWeight      = 0.1
	longMeanWeight  = 0.005
	floorShare      = 4 // The limit stays above the start limit divided by this.
)

// Limiter holds one upstream's concurrency limit; it is not safe for concurrent use.
type Limiter struct {
	cfg      Config
	kind     cleat.UpstreamKind
	start    float64
	limit    float64
	opened   time.Time // When the window began.
	samples  int
	missed   int
	full     bool // The limit was reached in the window.
	first    float64
	gap      float64
	busy     float64
	longBusy float64
	failures int
	pause    time.Duration
	retryAt  time.Time // Zero while the upstream is healthy.
	probing  bool
}

// New returns the limiter of an upstream whose announcement hints at slots.
func New(cfg Config, kind cleat.UpstreamKind, slots uint32) *Limiter {
	start := float64(cfg.StartLimit)
	if slots > 0 {
		start = min(float64(slots), float64(cfg.MaxLimit))
	}
	return &Limiter{cfg: cfg, kind: kind, start: start, limit: start}
}

// Limit returns how many requests the upstream may run now.
func (l *Limiter) Limit(now time.Time) int {
	if l.retryAt.IsZero() {
		return int(l.limit)
	}
	if now.Before(l.retryAt) {
		return 0
	}
	return 1
}

// Healthy reports whether the upstream is not being left alone for its failures.
func (l *Limiter) Healthy() bool { return l.retryAt.IsZero() }

// Slow reports whether the upstream fails or misses its targets by far.
func (l *Limiter) Slow() bool {
	if !l.Healthy() {
		return true
	}
	return l.first > slowFactor*l.cfg.FirstTokenTarget.Seconds() ||
		l.gap > slowFactor*l.cfg.TokenGapTarget.Seconds()
}

// Started notes that a request began while running were running, it included.
func (l *Limiter) Started(_ time.Time, running int) {
	l.full = l.full || running >= int(l.limit)
}

// FirstToken notes the time from dispatch to the first token.
func (l *Limiter) FirstToken(now time.Time, d time.Duration) {
	l.first = mean(l.first, d.Seconds(), meanWeight)
	l.sample(now, d > l.cfg.FirstTokenTarget)
}

// Tokens notes that n tokens took d.
func (l *Limiter) Tokens(now time.Time, n uint64, d time.Duration) {
	if n == 0 {
		return
	}
	each := d / time.Duration(n)
	l.gap = mean(l.gap, each.Seconds(), meanWeight)
	l.sample(now, each > l.cfg.TokenGapTarget)
}

// Done notes that a request ended well after busy.
func (l *Limiter) Done(now time.Time, busy time.Duration) {
	l.failures, l.pause, l.retryAt, l.probing = 0, 0, time.Time{}, false
	if l.kind != cleat.KindPlain {
		return
	}
	l.busy = mean(l.busy, busy.Seconds(), meanWeight)
	l.longBusy = mean(l.longBusy, busy.Seconds(), longMeanWeight)
	l.sample(now, busy.Seconds() > busyGrowthBound*l.longBusy)
}

// Failed notes that the upstream failed a request.
func (l *Limiter) Failed(now time.Time) {
	l.failures++
	if l.failures < l.cfg.FailuresToOpen && l.Healthy() {
		return
	}
	l.pause = min(max(2*l.pause, l.cfg.ProbeMin), l.cfg.ProbeMax)
	l.retryAt = now.Add(l.pause)
}

// sample counts one observation and decides at the end of a window.
func (l *Limiter) sample(now time.Time, missed bool) {
	l.samples++
	if missed {
		l.missed++
	}
	if l.opened.IsZero() {
		l.opened = now
	}
	if now.Sub(l.opened) < l.cfg.Window || l.samples < l.cfg.MinSamples {
		return
	}
	l.decide()
	l.opened, l.samples, l.missed, l.full = now, 0, 0, false
}

func (l *Limiter) decide() {
	share := float64(l.missed) / float64(l.samples)
	switch {
	case share > l.cfg.MissedShare:
		l.limit = max(l.floor(), l.limit*shrinkFactor)
	case l.full:
		l.limit = min(l.start, l.limit+1)
	}
}

func (l *Limiter) floor() float64 {
	return max(1, l.start/floorShare)
}

func mean(old, sample, weight float64) float64 {
	if old == 0 {
		return sample
	}
	return old + weight*(sample-old)
}
