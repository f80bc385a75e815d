package bench

import (
	"math"
	"time"

	"marigoldcleat.example/cleat"
)

// Timing and cache size of a model server.
const (
	fullBatchTokenInterval = 30 * time.Millisecond // Between tokens of a run in a full batch.
	minTokenInterval       = 15 * time.Millisecond // Limit for an empty batch; the interval grows linearly to that of a full batch.
	prefillPerToken        = 100 * time.Microsecond
	progressInterval       = 100 * time.Millisecond
	cacheBlocks            = 256 // Prefix blocks in a server's cache.
	tokensPerBlock         = 64
)

// run is one attempt on an engine.
type run struct {
	arrival        *arrival
	attempt        cleat.Attempt
	prefillSeconds float64 // Prefill time left at full speed.
	remaining      float64 // Output tokens, or seconds of busy time of a plain service.
	cachedTokens   uint64  // Input tokens that were in the engine's cache at the start.
	prefilled      bool
	startedAt      time.Time
	policyState    any // Data that the policy attaches to the run.
}

// usage returns the run's usage until now.
func (r *run) usage() cleat.Usage {
	if r.arrival.work.Kind == cleat.KindPlain {
		return cleat.Usage{Busy: r.arrival.busyTime - time.Duration(r.remaining*float64(time.Second))}
	}
	u := cleat.Usage{}
	if r.prefilled {
		u.InputTokens, u.CachedTokens = r.arrival.inputTokens, r.cachedTokens
		u.OutputTokens = uint64(math.Max(0, float64(r.arrival.outputTokens)-r.remaining))
	}
	return u
}

// engineObserver is notified of an engine's events; policies implement it.
type engineObserver interface {
	onFirstToken(e *engine, r *run)
	onProgress(e *engine, r *run)
	onEnd(e *engine, r *run)
	onCacheChange(e *engine, added, evicted []uint64)
}

// engine simulates an upstream with continuous batching. It admits every run, also
// beyond its slots.
type engine struct {
	sched      *scheduler
	meter      *meter
	observer   engineObserver
	index      int
	id         cleat.UpstreamID
	kind       cleat.UpstreamKind
	model      cleat.ModelID
	slots      int
	slowdown   float64 // 1 is full speed; 4 takes four times as long.
	leaving    bool
	runs       []*run
	advancedAt time.Time
	gen        uint64   // Invalidates scheduled steps of an earlier batch.
	lru        []uint64 // Cached prefix blocks, the least recently used first.
}

func (e *engine) running() int { return len(e.runs) }

// rate returns each run's output tokens per second, or busy seconds per second of
// a plain service.
func (e *engine) rate() float64 {
	if e.kind == cleat.KindPlain {
		over := math.Max(1, float64(len(e.runs))/float64(e.slots))
		return 1 / over / e.slowdown
	}
	b := float64(len(e.runs)) / float64(e.slots)
	interval := minTokenInterval.Seconds() + (fullBatchTokenInterval-minTokenInterval).Seconds()*b
	if b > 1 {
		interval = fullBatchTokenInterval.Seconds() * b
	}
	return 1 / interval / e.slowdown
}

// advance updates all runs to the present time and records their received service.
func (e *engine) advance() {
	dt := e.sched.now.Sub(e.advancedAt).Seconds()
	e.advancedAt = e.sched.now
	if dt <= 0 {
		return
	}
	rate := e.rate()
	for _, r := range e.runs {
		e.advanceRun(r, dt, rate)
	}
}

func (e *engine) advanceRun(r *run, dt, rate float64) {
	if r.prefillSeconds > 0 {
		used := math.Min(dt, r.prefillSeconds*e.slowdown)
		r.prefillSeconds -= used / e.slowdown
		if r.prefillSeconds < 1e-9 {
			r.prefillSeconds = 0
		}
		dt -= used
	}
	if r.prefillSeconds > 0 || dt <= 0 {
		return
	}
	gained := math.Min(r.remaining, dt*rate)
	r.remaining -= gained
	if r.remaining < 1e-6 {
		r.remaining = 0
	}
	if e.kind == cleat.KindPlain {
		gained *= 1000 // A plain service's cost unit is a millisecond of busy time.
	}
	e.meter.recordService(r.arrival.work.Workspace, gained)
}

// start adds a run to the batch.
func (e *engine) start(r *run) {
	e.advance()
	r.startedAt = e.sched.now
	if e.kind == cleat.KindPlain {
		r.remaining = r.arrival.busyTime.Seconds()
	} else {
		r.cachedTokens = min(e.cachedBlocks(r.arrival.work.Prefix)*tokensPerBlock, r.arrival.inputTokens)
		r.prefillSeconds = float64(r.arrival.inputTokens-r.cachedTokens) * prefillPerToken.Seconds()
		r.remaining = float64(r.arrival.outputTokens)
		e.cachePrefix(r.arrival.work.Prefix)
	}
	e.runs = append(e.runs, r)
	e.schedule()
}

// cancel removes a run without notifying the observer; it reports whether the run
// was on the engine.
func (e *engine) cancel(r *run) bool {
	e.advance()
	for i, other := range e.runs {
		if other == r {
			e.runs = append(e.runs[:i], e.runs[i+1:]...)
			e.schedule()
			return true
		}
	}
	return false
}

// cancelAll removes all runs and clears the cache, as a crash would; it returns
// the runs.
func (e *engine) cancelAll() []*run {
	e.advance()
	runs := e.runs
	e.runs = nil
	e.lru = nil
	e.gen++
	return runs
}

func (e *engine) setSlowdown(f float64) {
	e.advance()
	e.slowdown = f
	e.schedule()
}

// schedule schedules the next step: when a run finishes its prefill or ends, or to
// report progress.
func (e *engine) schedule() {
	e.gen++
	if len(e.runs) == 0 {
		return
	}
	next := progressInterval.Seconds()
	rate := e.rate()
	for _, r := range e.runs {
		if !r.prefilled {
			next = math.Min(next, r.prefillSeconds*e.slowdown)
		} else {
			next = math.Min(next, r.remaining/rate)
		}
	}
	gen := e.gen
	e.sched.after(time.Duration(math.Ceil(next*1e6))*time.Microsecond, func() {
		if gen == e.gen {
			e.step()
		}
	})
}

func (e *engine) step() {
	e.advance()
	var ended, prefilled []*run
	running := e.runs[:0]
	for _, r := range e.runs {
		if !r.prefilled && r.prefillSeconds == 0 {
			r.prefilled = true
			e.recordPrefill(r)
			prefilled = append(prefilled, r)
		}
		if r.prefilled && r.remaining == 0 {
			ended = append(ended, r)
			continue
		}
		running = append(running, r)
	}
	e.runs = running
	e.schedule()
	for _, r := range prefilled {
		e.observer.onFirstToken(e, r)
	}
	for _, r := range append([]*run(nil), e.runs...) {
		e.observer.onProgress(e, r)
	}
	for _, r := range ended {
		e.observer.onEnd(e, r)
	}
}

// recordPrefill records the service of a run's prefill.
func (e *engine) recordPrefill(r *run) {
	if e.kind == cleat.KindPlain {
		return
	}
	u := cleat.Usage{InputTokens: r.arrival.inputTokens, CachedTokens: r.cachedTokens}
	e.meter.recordService(r.arrival.work.Workspace, float64(u.Cost(cleat.KindModel)))
}

// cachedBlocks returns how many leading blocks of the prompt are cached.
func (e *engine) cachedBlocks(prefix []uint64) uint64 {
	n := uint64(0)
	for _, p := range prefix {
		if e.cacheIndex(p) < 0 {
			return n
		}
		n++
	}
	return n
}

func (e *engine) cacheIndex(p uint64) int {
	for i := len(e.lru) - 1; i >= 0; i-- {
		if e.lru[i] == p {
			return i
		}
	}
	return -1
}

func (e *engine) cachePrefix(prefix []uint64) {
	var added, evicted []uint64
	for _, p := range prefix {
		if i := e.cacheIndex(p); i >= 0 {
			e.lru = append(e.lru[:i], e.lru[i+1:]...)
		} else {
			added = append(added, p)
		}
		e.lru = append(e.lru, p)
	}
	if over := len(e.lru) - cacheBlocks; over > 0 {
		evicted = append(evicted, e.lru[:over]...)
		e.lru = append([]uint64(nil), e.lru[over:]...)
	}
	if len(added)+len(evicted) > 0 {
		e.observer.onCacheChange(e, added, evicted)
	}
}
