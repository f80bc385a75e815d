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
	leastGain       = 0.96 // Of the lateness before, that shrinking must reach to be kept.
	metLife         = 10 * time.Minute
	maxHold         = 10 * time.Minute
)

// window is what was seen since the last decision.
type window struct {
	opened  time.Time
	samples int
	missed  int // Busy times of a plain service far over their mean.
	tokens  uint64
	elapsed time.Duration // Over which the tokens came, summed over requests.
	full    bool          // The limit was reached.
}

// firstTokens gathers times to first token until there are enough to judge.
type firstTokens struct {
	n    int
	sum  time.Duration
	mean float64 // Of the last that were enough, in seconds.
}

// Limiter holds one upstream's concurrency limit; it is not safe for concurrent use.
type Limiter struct {
	cfg      Config
	kind     cleat.UpstreamKind
	start    float64
	limit    float64
	met      float64 // Largest limit at which the targets were met.
	metAt    time.Time
	win      window
	firsts   firstTokens
	before   float64 // How late the window before the last shrinking was.
	from     float64 // The limit before the last shrinking.
	hold     time.Duration
	first    float64   // Mean time to first token, in seconds.
	gap      float64   // Mean time between tokens, in seconds.
	heldTill time.Time // No shrinking before, since it did not help.
	busy     float64
	longBusy float64
	failures int
	pause    time.Duration
	retryAt  time.Time // Zero while the upstream is healthy.
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
	l.firsts.add(d, l.cfg.MinSamples)
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
	late := l.lateness()
	switch {
	case late <= 1:
		l.meet(now)
	case now.Before(l.heldTill):
	case l.limit <= l.met && now.Sub(l.metAt) < metLife:
		// The targets were met at this limit before, so that the upstream is
		// slow for another reason and fewer requests would only waste it.
	case l.from > 0 && late > leastGain*l.before:
		l.restore(now)
	case l.limit <= l.floor():
		l.restore(now)
	default:
		l.before, l.from = late, l.limit
		l.limit = max(l.floor(), l.limit*shrinkFactor)
		l.firsts = firstTokens{}
	}
}

// meet grows the limit after a window that met the targets with no slot free.
func (l *Limiter) meet(now time.Time) {
	if l.limit >= l.met {
		l.met, l.metAt = l.limit, now
	}
	l.before, l.from, l.hold = 0, 0, 0
	if l.win.full {
		l.limit = min(l.start, l.limit+1)
	}
}

// restore takes shrinking back that did not help, and leaves the limit alone
// for twice as long each time.
func (l *Limiter) restore(now time.Time) {
	l.limit = max(l.limit, l.from)
	if l.limit <= l.floor() {
		l.limit = l.start
	}
	l.before, l.from = 0, 0
	l.hold = min(max(2*l.hold, l.cfg.HoldTime), maxHold)
	l.heldTill = now.Add(l.hold)
}

// lateness returns the window's worst mean against its target; above one it
// missed the target.
func (l *Limiter) lateness() float64 {
	w := &l.win
	if l.kind == cleat.KindPlain {
		return float64(w.missed) / (l.cfg.MissedShare * float64(w.samples))
	}
	late := l.firsts.mean / l.cfg.FirstTokenTarget.Seconds()
	if w.tokens > 0 {
		late = max(late, w.elapsed.Seconds()/float64(w.tokens)/(tolerance*l.cfg.TokenGapTarget.Seconds()))
	}
	return late
}

func (f *firstTokens) add(d time.Duration, enough int) {
	f.n++
	f.sum += d
	if f.n >= enough {
		f.mean = f.sum.Seconds() / float64(f.n)
		f.n, f.sum = 0, 0
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
