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
	tolerance       = 1.1
	queueFactor     = 2.0
	bestFading      = 0.002 // By which the best mean is forgotten in a window.
	metFading       = 0.999
)

// window is what was seen since the last decision.
type window struct {
	opened  time.Time
	samples int
	missed  int // Busy times of a plain service far over their mean.
	tokens  uint64
	elapsed time.Duration // Over which the tokens came, summed over requests.
	firsts  int
	first   time.Duration // Sum of the times to first token.
	full    bool          // The limit was reached.
}

// Limiter holds one upstream's concurrency limit; it is not safe for concurrent use.
type Limiter struct {
	cfg       Config
	kind      cleat.UpstreamKind
	start     float64
	limit     float64
	met       float64 // Largest limit at which the targets were met.
	win       window
	first     float64   // Mean time to first token, in seconds.
	bestFirst float64   // Least mean of a window, fading upwards.
	gap       float64   // Mean time between tokens, in seconds.
	heldTill  time.Time // No shrinking before, since it did not help.
	busy      float64
	longBusy  float64
	failures  int
	pause     time.Duration
	retryAt   time.Time // Zero while the upstream is healthy.
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
	l.win.full = l.win.full || running >= int(l.limit)
}

// FirstToken notes the time from dispatch to the first token.
func (l *Limiter) FirstToken(now time.Time, d time.Duration) {
	l.first = mean(l.first, d.Seconds(), meanWeight)
	l.win.firsts++
	l.win.first += d
	l.sample(now, false)
}

// Tokens notes that n tokens took d.
func (l *Limiter) Tokens(now time.Time, n uint64, d time.Duration) {
	if n == 0 {
		return
	}
	l.gap = mean(l.gap, d.Seconds()/float64(n), meanWeight)
	l.win.tokens += n
	l.win.elapsed += d
	l.sample(now, false)
}

// Done notes that a request ended well after busy.
func (l *Limiter) Done(now time.Time, busy time.Duration) {
	l.failures, l.pause, l.retryAt = 0, 0, time.Time{}
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
	w := &l.win
	w.samples++
	if missed {
		w.missed++
	}
	if w.opened.IsZero() {
		w.opened = now
	}
	if now.Sub(w.opened) < l.cfg.Window || w.samples < l.cfg.MinSamples {
		return
	}
	l.decide(now)
	l.win = window{opened: now}
}

// decide moves the limit at the end of a window.
func (l *Limiter) decide(now time.Time) {
	switch {
	case !l.late():
		l.met = max(l.met, min(l.limit, l.start))
		if l.win.full {
			l.limit = min(l.start, l.limit+1)
		}
	case now.Before(l.heldTill):
	case l.limit <= l.met:
		// The targets were met at this limit before, so that the upstream is
		// slow for another reason and fewer requests would only waste it.
		l.heldTill = now.Add(l.cfg.HoldTime)
	case l.limit <= l.floor():
		l.limit = max(l.start, 1)
		l.heldTill = now.Add(l.cfg.HoldTime)
	default:
		l.limit = max(l.floor(), l.limit*shrinkFactor)
	}
	l.met *= metFading
}

// late reports whether the window missed a target in a way that fewer requests
// may mend.
func (l *Limiter) late() bool {
	w := &l.win
	if l.kind == cleat.KindPlain {
		return float64(w.missed) > l.cfg.MissedShare*float64(w.samples)
	}
	if w.tokens > 0 && w.elapsed.Seconds()/float64(w.tokens) > tolerance*l.cfg.TokenGapTarget.Seconds() {
		return true
	}
	return l.queues()
}

// queues reports whether first tokens are late and far later than they were:
// long prompts alone make them late, but not later than before.
func (l *Limiter) queues() bool {
	if l.win.firsts == 0 {
		return false
	}
	m := l.win.first.Seconds() / float64(l.win.firsts)
	if l.bestFirst == 0 || m < l.bestFirst {
		l.bestFirst = m
	}
	l.bestFirst *= 1 + bestFading
	return m > l.cfg.FirstTokenTarget.Seconds() && m > queueFactor*l.bestFirst
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
