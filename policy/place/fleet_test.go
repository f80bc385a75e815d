package place_test

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/place"
)

// callers are the callers of one workspace.
type callers struct {
	workspace cleat.WorkspaceID
	entries   []int   // Entries that they reach, chosen at random for each request.
	rate      float64 // First attempts per second.
}

// fleetModel is a fleet of planners that exchange reports and share engines, at a
// simulated time. Callers that are refused return once.
type fleetModel struct {
	entries        []*place.Planner // Nil while an entry is down.
	newPlanner     func(entry int) *place.Planner
	callers        []callers
	reportInterval time.Duration
	moved          func(t time.Duration, entry int) int  // The entry that a request reaches instead; nil for no change.
	silent         func(t time.Duration, entry int) bool // Whether an entry sends no reports; nil for never.
	busy           func(entry int) bool                  // Whether an entry refuses a request for lack of processor time; nil for never.
	hung           float64                               // Part of the requests that engines never begin.
	failing        cleat.WorkspaceID                     // Workspace whose requests engines answer with an error.

	rnd      *rand.Rand
	now      time.Time
	lastID   uint64
	stalled  map[*place.Job]bool            // Whose attempts entries ended.
	idleAt   map[cleat.UpstreamID]time.Time // When each engine has worked off its backlog.
	timeline map[int64][]func()             // Events by step.
	seconds  []map[cleat.WorkspaceID]*serviceCount
}

// serviceCount is what a workspace requested and received in one second, in cost
// units.
type serviceCount struct {
	asked, got int
	refused    int // Requests, and those whose callers left before they began.
}

const (
	modelStep       = 5 * time.Millisecond
	modelPrefill    = 55 // Tokens/ms that an engine prefills.
	modelStream     = 400 * time.Millisecond
	modelObjective  = time.Second
	modelPatience   = 4 * time.Second // After which callers leave whose requests have not begun.
	modelRepeats    = 0.5             // Part of the stalled requests that are repeated.
	restartTime     = 500 * time.Millisecond
	linkTime        = 200 * time.Millisecond // Until an entry that has started is linked to all others.
	modelShared     = 2000
	modelMeanOwn    = 4000
	modelOutput     = 200
	meanCost        = modelShared + modelMeanOwn + 2*modelOutput
	largestRequest  = modelShared + 4*modelMeanOwn + 2*modelOutput
	fairnessSeconds = 6 // The span over which shares are compared.
)

func newFleetModel(entries, engines int, tokensPerSec float64) *fleetModel {
	m := &fleetModel{
		rnd: rand.New(rand.NewSource(1)), now: start, reportInterval: 50 * time.Millisecond * time.Duration(max(1, (entries-1)/4)),
		idleAt: make(map[cleat.UpstreamID]time.Time), timeline: make(map[int64][]func()),
		stalled: make(map[*place.Job]bool),
	}
	m.newPlanner = func(entry int) *place.Planner {
		p := newRigOf(entryName(entry), engines, 0, tokensPerSec).Planner
		p.SetPeers(entries-1, m.reportInterval)
		p.SetMembers(entries - 1)
		return p
	}
	for i := range entries {
		m.entries = append(m.entries, m.newPlanner(i))
	}
	for i := range m.entries {
		m.link(i)
	}
	return m
}

func entryName(i int) cleat.InstanceID { return cleat.InstanceID(fmt.Sprint("entry-", i)) }

func (m *fleetModel) elapsed() time.Duration { return m.now.Sub(start) }

func (m *fleetModel) after(d time.Duration, f func()) {
	step := int64((m.elapsed() + d) / modelStep)
	m.timeline[step] = append(m.timeline[step], f)
}

func (m *fleetModel) count(w cleat.WorkspaceID) *serviceCount {
	s := int(m.elapsed() / time.Second)
	for len(m.seconds) <= s {
		m.seconds = append(m.seconds, make(map[cleat.WorkspaceID]*serviceCount))
	}
	c, ok := m.seconds[s][w]
	if !ok {
		c = &serviceCount{}
		m.seconds[s][w] = c
	}
	return c
}

func (m *fleetModel) run(d time.Duration) {
	for m.elapsed() < d {
		step := int64(m.elapsed() / modelStep)
		for _, f := range m.timeline[step] {
			f()
		}
		delete(m.timeline, step)
		for _, c := range m.callers {
			for n := c.rate * modelStep.Seconds(); n > 0; n-- {
				if m.rnd.Float64() < n {
					m.request(c)
				}
			}
		}
		m.exchangeReports()
		m.endStalled()
		for i, p := range m.entries {
			if p != nil && p.Waiting() > 0 {
				for _, v := range p.Dispatch(m.now) {
					m.deliver(i, v)
				}
			}
		}
		m.now = m.now.Add(modelStep)
	}
}

// restart kills entries and starts them again after restartTime. Their callers reach the
// next entries meanwhile, and requests that have not begun are lost.
func (m *fleetModel) restart(entries ...int) {
	for _, i := range entries {
		m.entries[i] = nil
		m.after(restartTime, func() {
			m.entries[i] = m.newPlanner(i)
			m.link(i)
		})
	}
}

// link connects an entry to the others, one after another.
func (m *fleetModel) link(entry int) {
	for i := range m.entries {
		m.after(linkTime*time.Duration(i)/time.Duration(len(m.entries)), func() {
			if m.entries[i] != nil && m.entries[entry] != nil && i != entry {
				m.introduce(i, entry)
				m.introduce(entry, i)
			}
		})
	}
}

func (m *fleetModel) introduce(from, to int) {
	m.entries[to].RecordLinked(entryName(from))
	m.entries[to].ApplyReport(m.now, entryName(from), m.entries[from].Introduction(m.now))
}

func (m *fleetModel) exchangeReports() {
	for i, p := range m.entries {
		if p == nil {
			continue
		}
		phase := m.reportInterval * time.Duration(i) / time.Duration(len(m.entries))
		if (m.elapsed()+phase)%m.reportInterval >= modelStep || (m.silent != nil && m.silent(m.elapsed(), i)) {
			continue
		}
		r := p.Report(m.now)
		for k, q := range m.entries {
			if k != i && q != nil {
				q.ApplyReport(m.now, entryName(i), r)
			}
		}
	}
}

// endStalled ends the jobs that engines have passed over, and repeats them once.
func (m *fleetModel) endStalled() {
	if m.elapsed()%place.StallCheckInterval >= modelStep {
		return
	}
	for i, p := range m.entries {
		if p == nil {
			continue
		}
		for _, j := range p.Stalled(m.now, 0) {
			again := *j
			p.RecordEnd(m.now, j, place.OutcomeStalled)
			m.stalled[j] = true
			m.count(j.Workspace).refused++
			if len(again.Tried) > 0 || m.rnd.Float64() > modelRepeats {
				continue
			}
			m.lastID++
			again.ID, again.Tried = m.lastID, []cleat.UpstreamID{"x"}
			if v, decided := p.Submit(m.now, &again); decided {
				m.deliver(i, v)
			}
		}
	}
}

func (m *fleetModel) request(c callers) {
	own := min(int(m.rnd.ExpFloat64()*modelMeanOwn), 4*modelMeanOwn)
	m.lastID++
	j := &place.Job{
		Service: modelService, Workspace: c.workspace, PromptTokens: modelShared + own, OutputTokens: modelOutput,
		Blocks: []cleat.PrefixBlock{{Digest: m.lastID % 200, Tokens: modelShared}, {Digest: 1<<32 + m.lastID, Tokens: own}},
	}
	m.attempt(c.entries[m.rnd.Intn(len(c.entries))], j, true)
}

func (m *fleetModel) attempt(entry int, j *place.Job, mayReturn bool) {
	if !slices.ContainsFunc(m.entries, func(p *place.Planner) bool { return p != nil }) {
		m.after(restartTime, func() { m.attempt(entry, j, mayReturn) })
		return
	}
	if m.moved != nil {
		entry = m.moved(m.elapsed(), entry)
	}
	for m.entries[entry] == nil {
		entry = (entry + 1) % len(m.entries)
	}
	again := *j
	m.lastID++
	j.ID, j.Arrived, j.Target, j.Deadline = m.lastID, m.now, m.now.Add(modelObjective), m.now.Add(12*time.Second)
	m.count(j.Workspace).asked += j.PromptTokens + 2*j.OutputTokens
	if m.busy != nil && m.busy(entry) {
		m.entries[entry].IsWithinShare(m.now, j) // Counts as demand.
		m.entries[entry].RecordShed(m.now, j)
		m.count(j.Workspace).refused++
		return
	}
	v, decided := m.entries[entry].Submit(m.now, j)
	if !decided {
		return
	}
	m.deliver(entry, v)
	if !v.Placed() && mayReturn {
		m.after(v.RetryAfter, func() { m.attempt(entry, &again, false) })
	}
}

// deliver carries out a verdict: an engine prefills prompts in order of arrival.
func (m *fleetModel) deliver(entry int, v place.Verdict) {
	if !v.Placed() {
		m.count(v.Job.Workspace).refused++
		return
	}
	id, p := v.Upstream.Upstream, m.entries[entry]
	if m.hung > 0 && m.rnd.Float64() < m.hung {
		m.after(max(modelStep, v.Job.Arrived.Add(modelPatience).Sub(m.now)), func() {
			m.count(v.Job.Workspace).refused++
			if m.entries[entry] == p {
				p.RecordEnd(m.now, v.Job, place.OutcomeCanceled) // Does nothing for one that was stalled.
			}
		})
		return
	}
	if m.failing != "" && v.Job.Workspace == m.failing {
		m.after(modelStep, func() { p.RecordEnd(m.now, v.Job, place.OutcomeFailed) })
		return
	}
	prefill := time.Duration(v.PrefillTokens) * time.Millisecond / modelPrefill
	first := max(0, m.idleAt[id].Sub(m.now)) + prefill
	m.idleAt[id] = m.now.Add(first)
	m.after(first+modelStep, func() {
		if m.entries[entry] != p || m.stalled[v.Job] {
			return
		}
		m.count(v.Job.Workspace).got += v.Job.PromptTokens + 2*v.Job.OutputTokens
		p.RecordFirstOutput(v.Job, 1)
		p.RecordFirstEvent(m.now, v.Job)
		m.after(modelStream, func() { p.RecordEnd(m.now, v.Job, place.OutcomeServed) })
	})
}

// starved returns a line for each span in which a workspace had a request refused in
// every second and received less than half of what another received, or of what it
// asked for when that is less, apart from its three largest requests.
func (m *fleetModel) starved() []string {
	var list []string
	for from := 0; from+fairnessSeconds <= len(m.seconds); from++ {
		span := m.seconds[from : from+fairnessSeconds]
		for w := range span[0] {
			refused := !slices.ContainsFunc(span, func(s map[cleat.WorkspaceID]*serviceCount) bool {
				return s[w] == nil || s[w].refused == 0
			})
			for best := range span[0] {
				least, got, bestGot := 0, 0, 0
				for _, s := range span {
					if s[w] == nil || s[best] == nil {
						continue
					}
					least += min(s[w].asked, s[best].got)
					got, bestGot = got+s[w].got, bestGot+s[best].got
				}
				if refused && got < least/2-3*largestRequest {
					list = append(list, fmt.Sprintf("from %d s: %s got %d, %s got %d", from, w, got, best, bestGot))
				}
			}
		}
	}
	slices.Sort(list)
	return list
}

// begun returns what was begun in each second, in cost units.
func (m *fleetModel) begun() []int {
	list := make([]int, len(m.seconds))
	for i, s := range m.seconds {
		for _, c := range s {
			list[i] += c.got
		}
	}
	return list
}

func total(units []int) int {
	n := 0
	for _, u := range units {
		n += u
	}
	return n
}

func (m *fleetModel) all() []int {
	list := make([]int, len(m.entries))
	for i := range list {
		list[i] = i
	}
	return list
}

// overloadedFleet has 29 entries; two workspaces reach it through one entry each, two
// through all of them, and request many times their share, beside 16 small ones.
func overloadedFleet() *fleetModel { return overloadedFleetOf(29, 40) }

func overloadedFleetOf(entries, engines int) *fleetModel {
	const tokensPerSec = 1_000_000
	m := newFleetModel(entries, engines, tokensPerSec)
	m.callers = []callers{
		{"one-a", []int{3}, 4 * tokensPerSec / meanCost},
		{"one-b", []int{7}, 2 * tokensPerSec / meanCost},
		{"all-a", m.all(), 4 * tokensPerSec / meanCost},
		{"all-b", m.all(), 2 * tokensPerSec / meanCost},
	}
	for i := range 16 {
		m.callers = append(m.callers, callers{cleat.WorkspaceID(fmt.Sprintf("small-%d", i)), m.all(), 0.02 * tokensPerSec / meanCost})
	}
	return m
}

// shortFleet has fewer engines than its capacity states, and eight light workspaces beside
// four heavy ones. Half of the light ones reach two entries each.
func shortFleet(engines int, seed int64) *fleetModel {
	const tokensPerSec, light = 1_000_000, 8
	m := newFleetModel(29, engines, tokensPerSec)
	m.rnd = rand.New(rand.NewSource(seed))
	m.callers = overloadedFleet().callers[:4]
	for i := range light {
		entries := m.all()
		if i%2 == 0 {
			entries = []int{10 + i, 11 + i}
		}
		part := 0.03 + 0.05*float64(i)/(light-1)
		m.callers = append(m.callers, callers{cleat.WorkspaceID(fmt.Sprintf("light-%d", i)), entries, part * tokensPerSec / meanCost})
	}
	return m
}

var _ = Describe("Planners of a fleet", func() {
	// FAIR on pastor-andino-grown: entries that read the same stale sums sent bursts.
	It("give a workspace behind one entry no less than half of what one behind all entries gets", func() {
		m := overloadedFleet()
		m.run(20 * time.Second)
		Expect(m.starved()).To(BeEmpty())
	})

	It("serve a workspace whose entry falls silent at the entry that its callers reach next", func() {
		m := overloadedFleet()
		const silentFrom = 6 * time.Second
		m.silent = func(t time.Duration, entry int) bool { return entry == 3 && t >= silentFrom }
		m.moved = func(t time.Duration, entry int) int {
			if entry == 3 && t >= silentFrom {
				return 4
			}
			return entry
		}
		m.run(20 * time.Second)
		Expect(m.starved()).To(BeEmpty())
	})

	It("serve a workspace whose callers move from entry to entry", func() {
		m := overloadedFleet()
		const stay = 3 * time.Second // The balancer's time to notice that an entry is not ready.
		m.moved = func(t time.Duration, entry int) int {
			if entry == 3 {
				return 10 + int(t/stay)%5
			}
			return entry
		}
		m.run(20 * time.Second)
		Expect(m.starved()).To(BeEmpty())
	})

	It("divide the capacity evenly when all callers come at once", func() {
		m := overloadedFleet()
		m.callers[0].rate *= 4
		m.callers[2].rate *= 4
		m.run(8 * time.Second)
		Expect(m.starved()).To(BeEmpty())
	})

	// FAIR on pastor-andino-grown: one workspace had half a share beyond its share, while
	// another's only entry was too busy to admit its whole share.
	It("give no workspace more than twice what one behind a busy entry gets", func() {
		m := overloadedFleet()
		m.busy = func(entry int) bool { return entry == 3 && m.rnd.Float64() < 0.975 }
		m.run(2 * time.Second) // Until all entries know the demand.
		warmUp := len(m.seconds)
		m.run(20 * time.Second)
		m.seconds = m.seconds[warmUp:]
		Expect(m.starved()).To(BeEmpty())
	})

	// FAIR on pastor-andino-large: a workspace whose crowd began used the share of a whole
	// window in a second, and more until reports told of it, while the others had a second's.
	It("give no workspace whose crowd begins more than twice what the others get", func() {
		m := overloadedFleetOf(68, 120)
		m.run(8 * time.Second)
		m.callers = append(m.callers, callers{"new", m.all(), m.callers[0].rate})
		m.run(20 * time.Second)
		Expect(m.starved()).To(BeEmpty())
	})

	// FAIR on lade-auctions-grown: each start of an entry gave the workspaces behind it the
	// whole capacity until it had heard of the others' usage.
	for name, restarts := range map[string]struct {
		times   int
		every   time.Duration
		entries []int
	}{
		"while another one's entry restarts again and again": {6, 900 * time.Millisecond, []int{3}},
		"while most entries restart at once, twice":          {2, 2 * time.Second, overloadedFleet().all()[:17]},
	} {
		It("give workspaces behind two entries each their part "+name, func() {
			m := overloadedFleet()
			for i := range 4 {
				w := cleat.WorkspaceID(fmt.Sprintf("few-%d", i))
				m.callers = append(m.callers, callers{w, []int{12 + 2*i, 13 + 2*i}, 700_000 / meanCost})
			}
			for i := range restarts.times {
				m.after(6*time.Second+time.Duration(i)*restarts.every, func() { m.restart(restarts.entries...) })
			}
			m.run(16 * time.Second)
			Expect(m.starved()).To(BeEmpty())
		})
	}

	// FAIR on qila-ops-grown: shares were parts of the stated capacity, so that light
	// workspaces were refused as often as heavy ones while engines served less.
	for _, engines := range []int{3, 4, 6, 8, 12} {
		It(fmt.Sprintf("give light workspaces their part of what %d engines serve, which is less than is stated", engines), func() {
			for _, seed := range []int64{21, 22} {
				m := shortFleet(engines, seed)
				m.run(4 * time.Second)
				warmUp := len(m.seconds)
				m.run(20 * time.Second)
				m.seconds = m.seconds[warmUp:]
				Expect(m.starved()).To(BeEmpty(), "seed %d", seed)
			}
		})
	}

	// FAIR on qila-ops-grown: requests that engines never began counted as backlog until
	// their callers left, and the capacity fell for as long as engines hung.
	for _, hung := range []float64{0.25, 0.5} {
		It(fmt.Sprintf("go on using the stated capacity, and starve nobody, while engines hang %.2f of the requests", hung), func() {
			const seconds = 4
			for _, seed := range []int64{21, 22} {
				m := shortFleet(40, seed)
				m.run(4 * time.Second)
				m.hung = hung
				m.run(4*time.Second + modelPatience)
				warmUp := len(m.seconds)
				m.run(28 * time.Second)
				m.seconds = m.seconds[warmUp:]
				begun := m.begun()
				Expect(total(begun[len(begun)-seconds:])).To(BeNumerically(">", 900_000*(1-hung)*seconds), "seed %d, begun in each second: %v", seed, begun)
				Expect(m.starved()).To(BeEmpty(), "seed %d", seed)
			}
		})
	}

	// Workspaces that were refused for lack of room, but less often than for other reasons,
	// slowed nobody.
	It("give light workspaces their part of what 8 engines serve while their entries shed 0.3 of the requests", func() {
		for _, seed := range []int64{21, 22} {
			m := shortFleet(8, seed)
			m.busy = func(entry int) bool { return entry >= 10 && entry < 18 && m.rnd.Float64() < 0.3 }
			m.run(4 * time.Second)
			warmUp := len(m.seconds)
			m.run(20 * time.Second)
			m.seconds = m.seconds[warmUp:]
			Expect(m.starved()).To(BeEmpty(), "seed %d", seed)
		}
	})

	// A workspace that nobody can help slowed all others down.
	It("go on using the stated capacity while engines fail all requests of one workspace, and no others", func() {
		const seconds = 4
		m := overloadedFleet()
		m.failing = "failing"
		m.callers = append(m.callers, callers{workspace: m.failing, entries: m.all(), rate: 8})
		m.run(16 * time.Second)
		begun := m.begun()
		Expect(total(begun[len(begun)-seconds:])).To(BeNumerically(">", 900_000*seconds), "begun in each second: %v", begun)
	})

	// FAIR while entries restart: an entry that starts divides the stated capacity, and what
	// the others have learnt is averaged with it. Jobs within their shares are refused for
	// lack of room then, whatever their workspaces have received.
	for _, engines := range []int{6, 8} {
		It(fmt.Sprintf("give workspaces their part of what %d engines serve while most entries restart at once, twice", engines), func() {
			for _, seed := range []int64{21, 22, 23} {
				m := shortFleet(engines, seed)
				for i := range 2 {
					m.after(time.Duration(6+2*i)*time.Second, func() { m.restart(m.all()[:17]...) })
				}
				m.run(4 * time.Second)
				warmUp := len(m.seconds)
				m.run(16 * time.Second)
				m.seconds = m.seconds[warmUp:]
				Expect(m.starved()).To(BeEmpty(), "seed %d", seed)
			}
		})
	}

	It("use the stated capacity again once engines that were missing are back", func() {
		const seconds = 4
		m := shortFleet(8, 21)
		m.run(10 * time.Second)
		for _, p := range m.entries {
			p.SetUpstreams(newRig(40, 0, 0).records)
		}
		m.run(20 * time.Second)
		begun := m.begun()
		Expect(total(begun[len(begun)-seconds:])).To(BeNumerically(">", 900_000*seconds))
	})

	// RECOVER: requests that engines don't answer count as backlog at all entries until
	// their callers leave, so that others are refused for lack of room.
	It("serve a third of what is requested after all have restarted, while engines don't answer half of it", func() {
		const (
			back      = 8 * time.Second
			settled   = 2 // Seconds after the return.
			span      = 3
			requested = 4*150_000 + 16*20_000 // In a second; less than the capacity.
		)
		for _, seed := range []int64{21, 22, 23} {
			m := overloadedFleet()
			m.rnd = rand.New(rand.NewSource(seed))
			for i := range m.callers {
				m.callers[i].rate = min(m.callers[i].rate, 150_000/meanCost)
			}
			m.after(back-restartTime, func() { m.restart(m.all()...) })
			m.after(back, func() { m.hung = 0.5 })
			m.run(back + 20*time.Second)
			served := m.begun()[int(back/time.Second)+settled:]
			for i := range len(served) - span + 1 {
				Expect(total(served[i:i+span])).To(BeNumerically(">", span*requested/3), "seed %d, from %d s after the return: %v", seed, settled+i, served)
			}
		}
	})

	It("refuse nothing while the capacity covers what is requested", func() {
		m := overloadedFleet()
		for i := range m.callers {
			m.callers[i].rate = min(m.callers[i].rate, 100_000/meanCost)
		}
		m.run(8 * time.Second)
		refused := make(map[cleat.WorkspaceID]int)
		for _, s := range m.seconds {
			for w, c := range s {
				refused[w] += c.refused
			}
		}
		Expect(refused).To(HaveEach(0))
	})
})
