package bench

import (
	"math"
	"time"

	"marigoldcleat.example/cleat"
)

// Timing of a model server.
const (
	tokenTarget     = 30 * time.Millisecond // Between tokens at a full batch.
	tokenLeast      = 15 * time.Millisecond // Between tokens of a request alone.
	prefillPerToken = 100 * time.Microsecond
	progressEvery   = 100 * time.Millisecond
	cacheBlocks     = 256 // Prefix blocks that a server keeps.
	tokensPerBlock  = 64
)

// run is one attempt on an engine.
type run struct {
	a       *arrival
	attempt cleat.Attempt
	prefill float64 // Seconds left.
	left    float64 // Output tokens, or seconds of busy time, left.
	cached  uint64
	begun   bool
	started time.Time
	ctx     any // What the policy keeps with the run.
}

// usage returns what the run consumed until now.
func (r *run) usage() cleat.Usage {
	if r.a.work.Kind == cleat.KindPlain {
		return cleat.Usage{Busy: r.a.busy - time.Duration(r.left*float64(time.Second))}
	}
	u := cleat.Usage{}
	if r.begun {
		u.InputTokens, u.CachedTokens = r.a.input, r.cached
		u.OutputTokens = uint64(math.Max(0, float64(r.a.output)-r.left))
	}
	return u
}

// engineUser hears what an engine does; the policies implement it.
type engineUser interface {
	firstToken(e *engine, r *run)
	progress(e *engine, r *run)
	ended(e *engine, r *run)
	cached(e *engine, added, evicted []uint64)
}

// engine is one upstream that batches continuously and admits whatever arrives.
type engine struct {
	w       *world
	m       *meter
	user    engineUser
	index   int
	id      cleat.UpstreamID
	kind    cleat.UpstreamKind
	model   cleat.ModelID
	slots   int
	slow    float64 // 1 is full speed; 4 takes four times as long.
	leaving bool
	runs    []*run
	last    time.Time
	gen     uint64 // Voids scheduled steps of an earlier batch.
	lru     []uint64
}

func (e *engine) busy() int { return len(e.runs) }

// rate returns the output tokens each run gains in a second.
func (e *engine) rate() float64 {
	if e.kind == cleat.KindPlain {
		over := math.Max(1, float64(len(e.runs))/float64(e.slots))
		return 1 / over / e.slow
	}
	b := float64(len(e.runs)) / float64(e.slots)
	gap := tokenLeast.Seconds() + (tokenTarget-tokenLeast).Seconds()*b
	if b > 1 {
		gap = tokenTarget.Seconds() * b
	}
	return 1 / gap / e.slow
}

// advance brings all runs to the present and accounts the service they received.
func (e *engine) advance() {
	dt := e.w.now.Sub(e.last).Seconds()
	e.last = e.w.now
	if dt <= 0 {
		return
	}
	rate := e.rate()
	for _, r := range e.runs {
		e.advanceRun(r, dt, rate)
	}
}

func (e *engine) advanceRun(r *run, dt, rate float64) {
	if r.prefill > 0 {
		used := math.Min(dt, r.prefill*e.slow)
		r.prefill -= used / e.slow
		if r.prefill < 1e-9 {
			r.prefill = 0
		}
		dt -= used
	}
	if r.prefill > 0 || dt <= 0 {
		return
	}
	gained := math.Min(r.left, dt*rate)
	r.left -= gained
	if r.left < 1e-6 {
		r.left = 0
	}
	if e.kind == cleat.KindPlain {
		gained *= 1000
	}
	e.m.serve(r.a.work.Workspace, gained)
}

// start hands a run to the engine.
func (e *engine) start(r *run) {
	e.advance()
	r.started = e.w.now
	if e.kind == cleat.KindPlain {
		r.left = r.a.busy.Seconds()
	} else {
		r.cached = min(e.lookup(r.a.work.Prefix)*tokensPerBlock, r.a.input)
		r.prefill = float64(r.a.input-r.cached) * prefillPerToken.Seconds()
		r.left = float64(r.a.output)
		e.remember(r.a.work.Prefix)
	}
	e.runs = append(e.runs, r)
	e.schedule()
}

// cancel stops a run without an end; it reports whether the run was there.
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

// cancelAll stops everything, as a crash of the instance does.
func (e *engine) cancelAll() []*run {
	e.advance()
	runs := e.runs
	e.runs = nil
	e.lru = nil
	e.gen++
	return runs
}

func (e *engine) setSlow(f float64) {
	e.advance()
	e.slow = f
	e.schedule()
}

// schedule plans the next instant at which a run begins, ends or reports.
func (e *engine) schedule() {
	e.gen++
	if len(e.runs) == 0 {
		return
	}
	next := progressEvery.Seconds()
	rate := e.rate()
	for _, r := range e.runs {
		if !r.begun {
			next = math.Min(next, r.prefill*e.slow)
		} else {
			next = math.Min(next, r.left/rate)
		}
	}
	gen := e.gen
	e.w.after(time.Duration(math.Ceil(next*1e6))*time.Microsecond, func() {
		if gen == e.gen {
			e.step()
		}
	})
}

func (e *engine) step() {
	e.advance()
	var ended, began []*run
	keep := e.runs[:0]
	for _, r := range e.runs {
		if !r.begun && r.prefill == 0 {
			r.begun = true
			e.accountInput(r)
			began = append(began, r)
		}
		if r.begun && r.left == 0 {
			ended = append(ended, r)
			continue
		}
		keep = append(keep, r)
	}
	e.runs = keep
	e.schedule()
	for _, r := range began {
		e.user.firstToken(e, r)
	}
	for _, r := range append([]*run(nil), e.runs...) {
		e.user.progress(e, r)
	}
	for _, r := range ended {
		e.user.ended(e, r)
	}
}

func (e *engine) accountInput(r *run) {
	if e.kind == cleat.KindPlain {
		return
	}
	u := cleat.Usage{InputTokens: r.a.input, CachedTokens: r.cached}
	e.m.serve(r.a.work.Workspace, float64(u.Cost(cleat.KindModel)))
}

// lookup returns how many leading blocks of the prompt are cached.
func (e *engine) lookup(prefix []uint64) uint64 {
	n := uint64(0)
	for _, p := range prefix {
		if e.find(p) < 0 {
			return n
		}
		n++
	}
	return n
}

func (e *engine) find(p uint64) int {
	for i := len(e.lru) - 1; i >= 0; i-- {
		if e.lru[i] == p {
			return i
		}
	}
	return -1
}

func (e *engine) remember(prefix []uint64) {
	var added, evicted []uint64
	for _, p := range prefix {
		if i := e.find(p); i >= 0 {
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
		e.user.cached(e, added, evicted)
	}
}
