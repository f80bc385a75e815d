package admit

import (
	"time"

	"marigoldcleat.example/cleat"
)

// Factors and bounds of the adjustment.
const (
	shrinkFactor     = 0.85
	slowRequestRatio = 2.0 // Ratio of a plain service's request duration to its long-term mean above which the sample counts as missed.
	slowFactor       = 3.0 // Ratio of a mean to its target above which an upstream counts as slow.
	ewmaWeight       = 0.1
	longEWMAWeight   = 0.005
	minLimitDivisor  = 4                // The limit is never reduced below the start limit divided by this.
	gapTolerance     = 1.1              // Ratio of the mean time between tokens to its target that still meets the target.
	maxLatenessRatio = 0.96             // A reduction is kept if lateness falls to at most this fraction of its earlier value.
	metLimitLifetime = 10 * time.Minute // How long a limit is not reduced after it met the targets.
	maxHoldTime      = 10 * time.Minute
)

// window holds the samples since the last adjustment.
type window struct {
	openedAt     time.Time
	samples      int
	missed       int // Samples of a plain service above slowRequestRatio.
	tokens       uint64
	elapsed      time.Duration // Time that the tokens took, summed over requests.
	limitReached bool          // As many requests ran as the limit allows.
}

// firstTokenMean averages times to first token over batches of a minimum size.
type firstTokenMean struct {
	n    int
	sum  time.Duration
	mean float64 // Of the last complete batch, in seconds.
}

// Limiter holds one upstream's concurrency limit; it is not safe for concurrent use.
type Limiter struct {
	cfg              Config
	kind             cleat.UpstreamKind
	startLimit       float64
	limit            float64
	metLimit         float64 // Largest limit at which the targets were met.
	metAt            time.Time
	window           window
	firstTokens      firstTokenMean
	latenessBefore   float64 // Lateness of the window before the last reduction.
	limitBefore      float64 // The limit before the last reduction.
	holdTime         time.Duration
	meanFirstToken   float64   // Mean time to first token, in seconds.
	meanTokenGap     float64   // Mean time between tokens, in seconds.
	holdUntil        time.Time // No reduction until then, since the last one did not help.
	meanDuration     float64
	longMeanDuration float64
	failures         int
	probeInterval    time.Duration
	probeAt          time.Time // When a suspended upstream is probed; zero while it is healthy.
}

// New returns the limiter of an upstream that announced this number of
// slots; 0 means that the number is unknown.
func New(cfg Config, kind cleat.UpstreamKind, slots uint32) *Limiter {
	start := float64(cfg.StartLimit)
	if slots > 0 {
		start = min(float64(slots), float64(cfg.MaxLimit))
	}
	return &Limiter{cfg: cfg, kind: kind, startLimit: start, limit: start}
}

// Limit returns how many requests the upstream may run now.
func (l *Limiter) Limit(now time.Time) int {
	if l.probeAt.IsZero() {
		return int(l.limit)
	}
	if now.Before(l.probeAt) {
		return 0
	}
	return 1
}

// Healthy reports whether the upstream is not suspended for its failures.
func (l *Limiter) Healthy() bool { return l.probeAt.IsZero() }

// Slow reports whether the upstream is suspended or a mean is above
// slowFactor times its target.
func (l *Limiter) Slow() bool {
	if !l.Healthy() {
		return true
	}
	return l.meanFirstToken > slowFactor*l.cfg.FirstTokenTarget.Seconds() ||
		l.meanTokenGap > slowFactor*l.cfg.TokenGapTarget.Seconds()
}

// RecordStart records that a request started; running is the number of
// running requests, including this one.
func (l *Limiter) RecordStart(_ time.Time, running int) {
	l.window.limitReached = l.window.limitReached || running >= int(l.limit)
}

// RecordFirstToken records the time from dispatch to the first token.
func (l *Limiter) RecordFirstToken(now time.Time, d time.Duration) {
	l.meanFirstToken = ewma(l.meanFirstToken, d.Seconds(), ewmaWeight)
	l.firstTokens.add(d, l.cfg.MinSamples)
	l.addSample(now, false)
}

// RecordTokens records that n tokens took d.
func (l *Limiter) RecordTokens(now time.Time, n uint64, d time.Duration) {
	if n == 0 {
		return
	}
	l.meanTokenGap = ewma(l.meanTokenGap, d.Seconds()/float64(n), ewmaWeight)
	l.window.tokens += n
	l.window.elapsed += d
	l.addSample(now, false)
}

// RecordSuccess records a request that completed after duration, and ends a
// suspension.
func (l *Limiter) RecordSuccess(now time.Time, duration time.Duration) {
	l.failures, l.probeInterval, l.probeAt = 0, 0, time.Time{}
	if l.kind != cleat.KindPlain {
		return
	}
	l.meanDuration = ewma(l.meanDuration, duration.Seconds(), ewmaWeight)
	l.longMeanDuration = ewma(l.longMeanDuration, duration.Seconds(), longEWMAWeight)
	l.addSample(now, duration.Seconds() > slowRequestRatio*l.longMeanDuration)
}

// RecordFailure records that the upstream failed a request. It suspends the
// upstream after FailuresToSuspend failures in a row, and again after each
// failure of a suspended upstream.
func (l *Limiter) RecordFailure(now time.Time) {
	l.failures++
	if l.failures < l.cfg.FailuresToSuspend && l.Healthy() {
		return
	}
	l.probeInterval = min(max(2*l.probeInterval, l.cfg.MinProbeInterval), l.cfg.MaxProbeInterval)
	l.probeAt = now.Add(l.probeInterval)
}

// addSample counts one sample and adjusts the limit at the end of a window.
func (l *Limiter) addSample(now time.Time, missed bool) {
	w := &l.window
	w.samples++
	if missed {
		w.missed++
	}
	if w.openedAt.IsZero() {
		w.openedAt = now
	}
	if now.Sub(w.openedAt) < l.cfg.Window || w.samples < l.cfg.MinSamples {
		return
	}
	l.adjustLimit(now)
	l.window = window{openedAt: now}
}

// adjustLimit changes the limit at the end of a window.
func (l *Limiter) adjustLimit(now time.Time) {
	late := l.lateness()
	switch {
	case late <= 1:
		l.raiseLimit(now)
	case now.Before(l.holdUntil):
	case l.limit <= l.metLimit && now.Sub(l.metAt) < metLimitLifetime:
		// The targets were met at this limit recently, so the upstream is slow for
		// another reason and fewer requests would only waste capacity.
	case l.limitBefore > 0 && late > maxLatenessRatio*l.latenessBefore:
		l.restoreLimit(now)
	case l.limit <= l.minLimit():
		l.restoreLimit(now)
	default:
		l.latenessBefore, l.limitBefore = late, l.limit
		l.limit = max(l.minLimit(), l.limit*shrinkFactor)
		l.firstTokens = firstTokenMean{}
	}
}

// raiseLimit records a window that met the targets. It raises the limit by one, at
// most to startLimit, if the limit was reached in the window.
func (l *Limiter) raiseLimit(now time.Time) {
	if l.limit >= l.metLimit {
		l.metLimit, l.metAt = l.limit, now
	}
	l.latenessBefore, l.limitBefore, l.holdTime = 0, 0, 0
	if l.window.limitReached {
		l.limit = min(l.startLimit, l.limit+1)
	}
}

// restoreLimit undoes a reduction that did not help, and prevents further
// reductions for a time that doubles with each restoration in a row.
func (l *Limiter) restoreLimit(now time.Time) {
	l.limit = max(l.limit, l.limitBefore)
	if l.limit <= l.minLimit() {
		l.limit = l.startLimit
	}
	l.latenessBefore, l.limitBefore = 0, 0
	l.holdTime = min(max(2*l.holdTime, l.cfg.HoldTime), maxHoldTime)
	l.holdUntil = now.Add(l.holdTime)
}

// lateness returns the window's largest ratio of a mean to its target; above 1 the
// target was missed. For a plain service it is the ratio of missed samples to
// MaxMissRatio.
func (l *Limiter) lateness() float64 {
	w := &l.window
	if l.kind == cleat.KindPlain {
		return float64(w.missed) / (l.cfg.MaxMissRatio * float64(w.samples))
	}
	late := l.firstTokens.mean / l.cfg.FirstTokenTarget.Seconds()
	if w.tokens > 0 {
		late = max(late, w.elapsed.Seconds()/float64(w.tokens)/(gapTolerance*l.cfg.TokenGapTarget.Seconds()))
	}
	return late
}

func (f *firstTokenMean) add(d time.Duration, minSamples int) {
	f.n++
	f.sum += d
	if f.n >= minSamples {
		f.mean = f.sum.Seconds() / float64(f.n)
		f.n, f.sum = 0, 0
	}
}

// minLimit returns the bound below which the limit is not reduced.
func (l *Limiter) minLimit() float64 {
	return max(1, l.startLimit/minLimitDivisor)
}

// ewma returns the exponentially weighted moving average after sample; an old
// average of 0 means that there was none.
func ewma(old, sample, weight float64) float64 {
	if old == 0 {
		return sample
	}
	return old + weight*(sample-old)
}
