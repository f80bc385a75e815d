package bench

import (
	"math"
	"sort"
	"time"

	"marigoldcleat.example/cleat"
)

const (
	sampleInterval = 50 * time.Millisecond
	recoveryGrace  = 10 * time.Second // Time allowed for recovery after the last fault; later gaps count as after faults.
)

// meter collects the measurements of one policy's run.
type meter struct {
	sched            *scheduler
	deployment       *Deployment
	workspaceIndexes map[cleat.WorkspaceID]int
	servicePerShare  []float64       // Cost units received per unit of share, by workspace.
	waiting          []int           // Waiting model requests, by workspace.
	backloggedSince  []time.Time     // When the workspace became backlogged.
	models           []cleat.ModelID // The model that the workspace requests.
	pools            map[cleat.ModelID]*pool
	overall          *gapTracker
	afterFaults      *gapTracker
	afterFaultsFrom  time.Time
	lastSample       time.Time

	waits           map[cleat.ClassName][]float64 // Seconds until the request started on an engine.
	firstTokenWaits map[cleat.ClassName][]float64 // Seconds until the first token.
	nonFloodWaits   []float64                     // Seconds, of workspaces other than the flooding one.
	lightWaits      []float64                     // Those of nonFloodWaits whose workspaces request less than their share.
	longestWait     time.Duration
	units           float64 // Cost units served.
	refusals        map[cleat.Reason]int
	retried         int
	served          int
	callersLost     int
	duplicates      int // Second starts of non-repeatable requests, and answers or refusals of ended ones.
	falseNotRun     int // Refusals with "not run" of a request that isn't repeatable and had started on an engine.
	pastDeadline    int
}

// pool records the utilisation of the engines of one model.
type pool struct {
	engines        []*engine
	waiting        int
	usedSeconds    float64 // Slot time in use while requests waited.
	offeredSeconds float64 // Available slot time while requests waited.
	accountedAt    time.Time
}

func newMeter(sched *scheduler, deployment *Deployment, list []*arrival, faults []Fault) *meter {
	m := &meter{
		sched: sched, deployment: deployment, workspaceIndexes: make(map[cleat.WorkspaceID]int), servicePerShare: make([]float64, deployment.workspaces),
		waiting: make([]int, deployment.workspaces), backloggedSince: make([]time.Time, deployment.workspaces), models: make([]cleat.ModelID, deployment.workspaces),
		pools: make(map[cleat.ModelID]*pool), overall: newGapTracker(), afterFaults: newGapTracker(),
		waits: make(map[cleat.ClassName][]float64), firstTokenWaits: make(map[cleat.ClassName][]float64),
		refusals: make(map[cleat.Reason]int), lastSample: sched.start,
	}
	m.afterFaultsFrom = sched.start.Add(lastFaultEnd(faults) + recoveryGrace)
	for n := range deployment.workspaces {
		m.workspaceIndexes[deployment.workspace(n)] = n
	}
	for _, a := range list {
		if a.work.Kind == cleat.KindModel {
			m.models[m.workspaceIndexes[a.work.Workspace]] = a.work.Model
		}
	}
	sched.every(sampleInterval, sampleInterval, m.sample)
	return m
}

func (m *meter) addEngine(e *engine) {
	p := m.pools[e.model]
	if p == nil {
		p = &pool{accountedAt: m.sched.start}
		m.pools[e.model] = p
	}
	p.engines = append(p.engines, e)
}

// accountPool adds the pool's slot time until now. It is called before the number of
// waiting requests changes, and before a fault changes an engine's speed or leaving state.
func (m *meter) accountPool(model cleat.ModelID) {
	p := m.pools[model]
	dt := m.sched.now.Sub(p.accountedAt).Seconds()
	p.accountedAt = m.sched.now
	if p.waiting == 0 || dt <= 0 {
		return
	}
	for _, e := range p.engines {
		if e.leaving {
			continue
		}
		p.usedSeconds += dt * float64(min(e.running(), e.slots))
		p.offeredSeconds += dt * float64(e.slots)
	}
}

func (m *meter) recordService(id cleat.WorkspaceID, units float64) {
	n := m.workspaceIndexes[id]
	m.servicePerShare[n] += units / m.deployment.share(n)
	m.units += units
}

// enqueue records that a request waits.
func (m *meter) enqueue(a *arrival) {
	if a.queued {
		return
	}
	a.queued = true
	m.accountPool(a.work.Model)
	m.pools[a.work.Model].waiting++
	if a.work.Kind == cleat.KindPlain {
		return
	}
	n := m.workspaceIndexes[a.work.Workspace]
	if m.waiting[n] == 0 {
		m.backloggedSince[n] = m.sched.now
	}
	m.waiting[n]++
}

// dequeue records that a request no longer waits.
func (m *meter) dequeue(a *arrival) {
	if !a.queued {
		return
	}
	a.queued = false
	m.accountPool(a.work.Model)
	m.pools[a.work.Model].waiting--
	if a.work.Kind == cleat.KindModel {
		m.waiting[m.workspaceIndexes[a.work.Workspace]]--
	}
}

// recordStart records that the request started on an engine. A second start is a
// retry, and a duplicate if the request isn't repeatable.
func (m *meter) recordStart(a *arrival) {
	m.dequeue(a)
	if !a.startedAt.IsZero() {
		m.retried++
		if !a.work.Repeatable {
			m.duplicates++
		}
		return
	}
	a.startedAt = m.sched.now
	m.recordWait(a, m.sched.now.Sub(a.work.Received))
}

func (m *meter) recordWait(a *arrival, d time.Duration) {
	m.waits[a.work.Class] = append(m.waits[a.work.Class], d.Seconds())
	m.longestWait = max(m.longestWait, d)
	if a.work.Workspace == m.deployment.workspace(m.deployment.flooder()) {
		return
	}
	m.nonFloodWaits = append(m.nonFloodWaits, d.Seconds())
	if !a.backlogged {
		m.lightWaits = append(m.lightWaits, d.Seconds())
	}
}

func (m *meter) recordFirstToken(a *arrival) {
	if a.firstTokenAt.IsZero() {
		a.firstTokenAt = m.sched.now
		m.firstTokenWaits[a.work.Class] = append(m.firstTokenWaits[a.work.Class], m.sched.now.Sub(a.work.Received).Seconds())
	}
}

// recordFinish records that the caller has the complete answer.
func (m *meter) recordFinish(a *arrival) {
	if a.ended {
		m.duplicates++
		return
	}
	a.ended, a.served = true, true
	m.served++
}

// recordRefusal records a refusal and checks that "not run" is true.
func (m *meter) recordRefusal(a *arrival, r cleat.Refusal) {
	m.dequeue(a)
	if a.ended {
		m.duplicates++
		return
	}
	a.ended = true
	m.refusals[r.Reason]++
	if r.Ran == cleat.RanNo && !a.startedAt.IsZero() && !a.work.Repeatable {
		m.falseNotRun++
	}
}

// recordCallerLost records that a restarted entry lost the caller's request.
func (m *meter) recordCallerLost(a *arrival) {
	m.dequeue(a)
	if !a.ended {
		a.ended = true
		m.callersLost++
	}
}

// finalize completes the measurements at the end of the run: it adds the last slot time
// of the pools, includes unended requests that never started in the longest wait, and
// counts those whose deadline has passed.
func (m *meter) finalize(list []*arrival) {
	for model := range m.pools {
		m.accountPool(model)
	}
	for _, a := range list {
		if a.ended || a.work.Received.After(m.sched.now) || !a.startedAt.IsZero() {
			continue
		}
		m.longestWait = max(m.longestWait, m.sched.now.Sub(a.work.Received))
		if m.sched.now.After(a.work.Deadline) {
			m.pastDeadline++
		}
	}
}

// sample updates the gap trackers for every pair of workspaces that have waiting requests
// for the same model.
func (m *meter) sample() {
	for _, model := range sortedModels(m.pools) {
		for _, e := range m.pools[model].engines {
			e.advance()
		}
	}
	if !m.afterFaults.active && !m.sched.now.Before(m.afterFaultsFrom) {
		m.afterFaults.active = true
	}
	byModel := make(map[cleat.ModelID][]int)
	for n := range m.servicePerShare {
		if m.waiting[n] > 0 {
			byModel[m.models[n]] = append(byModel[m.models[n]], n)
		}
	}
	for _, model := range sortedModels(byModel) {
		m.samplePairs(byModel[model])
	}
	m.lastSample = m.sched.now
	m.overall.evictStale(m.sched.now)
	m.afterFaults.evictStale(m.sched.now)
}

func (m *meter) samplePairs(list []int) {
	for i, a := range list {
		for _, b := range list[i+1:] {
			d := m.servicePerShare[a] - m.servicePerShare[b]
			restarted := m.backloggedSince[a].After(m.lastSample) || m.backloggedSince[b].After(m.lastSample)
			m.overall.record(a, b, d, restarted, m.sched.now)
			if m.afterFaults.active {
				m.afterFaults.record(a, b, d, restarted, m.sched.now)
			}
		}
	}
}

// utilisation returns the fraction of slot time in use while requests waited.
func (m *meter) utilisation() float64 {
	used, offered := 0.0, 0.0
	for _, model := range sortedModels(m.pools) {
		used += m.pools[model].usedSeconds
		offered += m.pools[model].offeredSeconds
	}
	if offered == 0 {
		return 1
	}
	return used / offered
}

// idleWaiting returns the fraction of all slot time that was idle while requests
// waited.
func (m *meter) idleWaiting() float64 {
	idle, all := 0.0, 0.0
	for _, model := range sortedModels(m.pools) {
		p := m.pools[model]
		idle += p.offeredSeconds - p.usedSeconds
		for _, e := range p.engines {
			all += float64(e.slots) * m.sched.elapsed().Seconds()
		}
	}
	return idle / all
}

// gapTracker computes, for every pair of workspaces that are both backlogged, the
// largest difference in received service per unit of share over any interval that ends now.
type gapTracker struct {
	active  bool
	pairs   map[[2]int]*pairGap
	values  []float64
	largest float64
}

type pairGap struct {
	low, high float64
	lastSeen  time.Time
}

func newGapTracker() *gapTracker {
	return &gapTracker{pairs: make(map[[2]int]*pairGap)}
}

// record adds a sample of the difference d in received service between workspaces a
// and b. restarted means that one of them became backlogged after the previous sample,
// which starts a new interval.
func (g *gapTracker) record(a, b int, d float64, restarted bool, now time.Time) {
	key := [2]int{a, b}
	p := g.pairs[key]
	if p == nil || restarted {
		p = &pairGap{low: d, high: d}
		g.pairs[key] = p
	}
	p.lastSeen = now
	p.low = math.Min(p.low, d)
	p.high = math.Max(p.high, d)
	gap := math.Max(d-p.low, p.high-d)
	g.largest = math.Max(g.largest, gap)
	g.values = append(g.values, gap)
}

// evictStale removes pairs of which one workspace is no longer backlogged.
func (g *gapTracker) evictStale(now time.Time) {
	for key, p := range g.pairs {
		if p.lastSeen.Before(now) {
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
