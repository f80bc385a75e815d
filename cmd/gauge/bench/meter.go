package bench

import (
	"math"
	"sort"
	"time"

	"marigoldcleat.example/cleat"
)

const (
	sampleEvery   = 50 * time.Millisecond
	recoveryGrace = 10 * time.Second // After the last fault the gap must be small again.
)

// meter measures one policy's run.
type meter struct {
	w        *world
	d        *Deployment
	index    map[cleat.WorkspaceID]int
	service  []float64   // Cost units received for one share.
	waiting  []int       // Model requests that wait, by workspace.
	since    []time.Time // When the workspace became backlogged.
	home     []cleat.ModelID
	pools    map[cleat.ModelID]*pool
	whole    *gaps
	after    *gaps
	afterAt  time.Time
	lastSamp time.Time

	waits   map[cleat.ClassName][]float64
	firsts  map[cleat.ClassName][]float64
	others  []float64 // Waits of the workspaces that don't flood.
	light   []float64 // Those of workspaces that ask for less than their share.
	longest time.Duration
	tokens  float64
	refused map[cleat.Reason]int
	retried int
	served  int
	lost    int
	twice   int
	untrue  int // Refusals that said not run of a request an engine had.
	starved int
}

// pool follows the use of the servers of one model.
type pool struct {
	engines []*engine
	waiting int
	used    float64 // Slot seconds in use while work waited.
	offered float64 // Slot seconds there were while work waited.
	last    time.Time
}

func newMeter(w *world, d *Deployment, list []*arrival, faults []Fault) *meter {
	m := &meter{
		w: w, d: d, index: make(map[cleat.WorkspaceID]int), service: make([]float64, d.workspaces),
		waiting: make([]int, d.workspaces), since: make([]time.Time, d.workspaces), home: make([]cleat.ModelID, d.workspaces),
		pools: make(map[cleat.ModelID]*pool), whole: newGaps(), after: newGaps(),
		waits: make(map[cleat.ClassName][]float64), firsts: make(map[cleat.ClassName][]float64),
		refused: make(map[cleat.Reason]int), lastSamp: w.start,
	}
	m.afterAt = w.start.Add(healed(faults) + recoveryGrace)
	for n := range d.workspaces {
		m.index[d.workspace(n)] = n
	}
	for _, a := range list {
		if a.work.Kind == cleat.KindModel {
			m.home[m.index[a.work.Workspace]] = a.work.Model
		}
	}
	w.every(sampleEvery, sampleEvery, m.sample)
	return m
}

func (m *meter) addEngine(e *engine) {
	p := m.pools[e.model]
	if p == nil {
		p = &pool{last: m.w.start}
		m.pools[e.model] = p
	}
	p.engines = append(p.engines, e)
}

// touch accounts a pool's use until now; it precedes every change of the pool.
func (m *meter) touch(model cleat.ModelID) {
	p := m.pools[model]
	dt := m.w.now.Sub(p.last).Seconds()
	p.last = m.w.now
	if p.waiting == 0 || dt <= 0 {
		return
	}
	for _, e := range p.engines {
		if e.leaving {
			continue
		}
		p.used += dt * float64(min(e.busy(), e.slots))
		p.offered += dt * float64(e.slots)
	}
}

func (m *meter) serve(id cleat.WorkspaceID, units float64) {
	n := m.index[id]
	m.service[n] += units / m.d.share(n)
	m.tokens += units
}

// enqueue notes that a request waits.
func (m *meter) enqueue(a *arrival) {
	if a.queued {
		return
	}
	a.queued = true
	m.touch(a.work.Model)
	m.pools[a.work.Model].waiting++
	if a.work.Kind == cleat.KindPlain {
		return
	}
	n := m.index[a.work.Workspace]
	if m.waiting[n] == 0 {
		m.since[n] = m.w.now
	}
	m.waiting[n]++
}

// dequeue notes that a request no longer waits.
func (m *meter) dequeue(a *arrival) {
	if !a.queued {
		return
	}
	a.queued = false
	m.touch(a.work.Model)
	m.pools[a.work.Model].waiting--
	if a.work.Kind == cleat.KindModel {
		m.waiting[m.index[a.work.Workspace]]--
	}
}

// started notes that an engine has the request.
func (m *meter) started(a *arrival) {
	m.dequeue(a)
	if !a.started.IsZero() {
		m.retried++
		if !a.work.Repeatable {
			m.twice++
		}
		return
	}
	a.started = m.w.now
	m.noteWait(a, m.w.now.Sub(a.work.Received))
}

func (m *meter) noteWait(a *arrival, d time.Duration) {
	m.waits[a.work.Class] = append(m.waits[a.work.Class], d.Seconds())
	m.longest = max(m.longest, d)
	if a.work.Workspace == m.d.workspace(m.d.flooder()) {
		return
	}
	m.others = append(m.others, d.Seconds())
	if !a.heavy {
		m.light = append(m.light, d.Seconds())
	}
}

func (m *meter) firstToken(a *arrival) {
	if a.first.IsZero() {
		a.first = m.w.now
		m.firsts[a.work.Class] = append(m.firsts[a.work.Class], m.w.now.Sub(a.work.Received).Seconds())
	}
}

// finished notes that the caller has its whole answer.
func (m *meter) finished(a *arrival) {
	if a.ended {
		m.twice++
		return
	}
	a.ended, a.served = true, true
	m.served++
}

// refuse notes a refusal and checks that "not run" is true.
func (m *meter) refuse(a *arrival, r cleat.Refusal) {
	m.dequeue(a)
	if a.ended {
		m.twice++
		return
	}
	a.ended = true
	m.refused[r.Reason]++
	if r.Ran == cleat.RanNo && !a.started.IsZero() && !a.work.Repeatable {
		m.untrue++
	}
}

// callerLost notes that a caller's entry went away with its request.
func (m *meter) callerLost(a *arrival) {
	m.dequeue(a)
	if !a.ended {
		a.ended = true
		m.lost++
	}
}

// close accounts the requests that still wait at the end.
func (m *meter) close(list []*arrival) {
	for model := range m.pools {
		m.touch(model)
	}
	for _, a := range list {
		if a.ended || a.work.Received.After(m.w.now) || !a.started.IsZero() {
			continue
		}
		m.longest = max(m.longest, m.w.now.Sub(a.work.Received))
		if m.w.now.After(a.work.Deadline) {
			m.starved++
		}
	}
}

func (m *meter) sample() {
	for _, model := range sortedModels(m.pools) {
		for _, e := range m.pools[model].engines {
			e.advance()
		}
	}
	if !m.after.live && !m.w.now.Before(m.afterAt) {
		m.after.live = true
	}
	byModel := make(map[cleat.ModelID][]int)
	for n := range m.service {
		if m.waiting[n] > 0 {
			byModel[m.home[n]] = append(byModel[m.home[n]], n)
		}
	}
	for _, model := range sortedModels(byModel) {
		m.samplePairs(byModel[model])
	}
	m.lastSamp = m.w.now
	m.whole.sweep(m.w.now)
	m.after.sweep(m.w.now)
}

func (m *meter) samplePairs(list []int) {
	for i, a := range list {
		for _, b := range list[i+1:] {
			d := m.service[a] - m.service[b]
			fresh := m.since[a].After(m.lastSamp) || m.since[b].After(m.lastSamp)
			m.whole.add(a, b, d, fresh, m.w.now)
			if m.after.live {
				m.after.add(a, b, d, fresh, m.w.now)
			}
		}
	}
}

// utilisation returns the part of slots in use while work waited.
func (m *meter) utilisation() float64 {
	used, offered := 0.0, 0.0
	for _, model := range sortedModels(m.pools) {
		used += m.pools[model].used
		offered += m.pools[model].offered
	}
	if offered == 0 {
		return 1
	}
	return used / offered
}

// idleWaiting returns the part of all slot time that stood idle while work waited.
func (m *meter) idleWaiting() float64 {
	idle, all := 0.0, 0.0
	for _, model := range sortedModels(m.pools) {
		p := m.pools[model]
		idle += p.offered - p.used
		for _, e := range p.engines {
			all += float64(e.slots) * m.w.elapsed().Seconds()
		}
	}
	return idle / all
}

// gaps follows, for every pair of workspaces that are both backlogged, the
// largest difference in service over any interval that ends now.
type gaps struct {
	live    bool
	pairs   map[[2]int]*pairGap
	values  []float64
	largest float64
}

type pairGap struct {
	low, high float64
	seen      time.Time
}

func newGaps() *gaps {
	return &gaps{pairs: make(map[[2]int]*pairGap)}
}

func (g *gaps) add(a, b int, d float64, fresh bool, now time.Time) {
	key := [2]int{a, b}
	p := g.pairs[key]
	if p == nil || fresh {
		p = &pairGap{low: d, high: d}
		g.pairs[key] = p
	}
	p.seen = now
	p.low = math.Min(p.low, d)
	p.high = math.Max(p.high, d)
	gap := math.Max(d-p.low, p.high-d)
	g.largest = math.Max(g.largest, gap)
	g.values = append(g.values, gap)
}

// sweep forgets pairs of which one is no longer backlogged.
func (g *gaps) sweep(now time.Time) {
	for key, p := range g.pairs {
		if p.seen.Before(now) {
			delete(g.pairs, key)
		}
	}
}

// quantile returns the q-quantile of the values, which it sorts.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	n := int(math.Ceil(q*float64(len(values)))) - 1
	return values[min(max(n, 0), len(values)-1)]
}
