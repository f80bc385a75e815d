package permit_test

import (
	"fmt"
	"math/rand"
	"time"

	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/permit"
	"marigoldcleat.example/cleat/policy/roster"
)

const (
	coldService = cleat.ServiceName("model")
	coldStart   = 3 * time.Second
	coldPer     = 16.0
	coldBound   = 29 // Requests in any second: coldPer times 1.5, and 5.
	heartbeats  = 1200 * time.Millisecond
	memberGrace = 2 * time.Second        // For which an entry that is down stays a member.
	coldAnswer  = 200 * time.Millisecond // From a request's arrival to its answer.
)

// coldModel is entries that send requests to upstreams, control that forwards their
// announcements, and upstreams that end and start.
type coldModel struct {
	rnd       *rand.Rand
	now       time.Time
	entries   []*coldEntry
	upstreams []*coldUpstream
	control   *roster.Table
	demand    float64                              // Requests/s of each entry.
	calls     func(t time.Duration, i int) bool    // Whether an entry gets requests; nil for always.
	linked    func(t time.Duration, a, b int) bool // Whether entries reach each other; nil for always.
	reached   func(t time.Duration, i int) bool    // Whether control reaches an entry; nil for always.
	lag       func(t time.Duration, i int) time.Duration
	linkDelay time.Duration        // Within which links to an entry that starts come up.
	linkUpAt  map[[2]int]time.Time // By the smaller number first.
	timeline  map[int64][]func()
	refusedAt time.Duration // When a request was last refused.
}

type coldEntry struct {
	table       *permit.Table
	generation  int
	dead        bool
	diedAt      time.Time
	leaving     bool // It reports, but gets no requests.
	frozenUntil time.Time
	backlog     []func() // What arrived while it was frozen.
}

type coldUpstream struct {
	record    cleat.UpstreamRecord
	isUp      bool
	coldUntil time.Time
	delay     time.Duration // Of its announcements.
	isMute    bool          // Its announcements are lost.
	arrivals  []coldArrival
}

type coldArrival struct {
	at     time.Duration
	entry  int
	isCold bool
}

func newColdModel(entries, upstreams int, seed int64) *coldModel {
	m := &coldModel{rnd: rand.New(rand.NewSource(seed)), now: start, timeline: make(map[int64][]func()), linkUpAt: make(map[[2]int]time.Time), control: roster.New(), demand: 60}
	for i := range upstreams {
		m.upstreams = append(m.upstreams, &coldUpstream{isUp: true, record: cleat.UpstreamRecord{
			Upstream: cleat.UpstreamID(fmt.Sprintf("m%d", i)), Service: coldService, Domain: "a", Address: fmt.Sprintf("10.0.0.%d:1", i),
			Slots: 8, Phase: cleat.UpstreamReady, StartedAtMillis: start.Add(-time.Hour).UnixMilli(), Version: "v1",
		}})
		m.announceLoop(m.upstreams[i])
	}
	for i := range entries {
		m.entries = append(m.entries, &coldEntry{})
		m.restart(i)
	}
	return m
}

func (m *coldModel) elapsed() time.Duration { return m.now.Sub(start) }

func (m *coldModel) after(d time.Duration, f func()) {
	step := max(int64(m.elapsed()/modelStep)+1, int64((m.elapsed()+d)/modelStep))
	m.timeline[step] = append(m.timeline[step], f)
}

// deliver runs f at an entry now, or when it is no longer frozen, unless it has restarted.
func (m *coldModel) deliver(i int, f func(t *permit.Table)) {
	e := m.entries[i]
	generation := e.generation
	run := func() {
		if e.generation == generation && !e.dead {
			f(e.table)
		}
	}
	if m.now.Before(e.frozenUntil) {
		e.backlog = append(e.backlog, run)
		return
	}
	run()
}

func entryName(i int) cleat.InstanceID { return cleat.InstanceID(fmt.Sprintf("entry-%d", i)) }

func (m *coldModel) kill(i int) {
	e := m.entries[i]
	e.dead, e.diedAt, e.backlog = true, m.now, nil
	e.generation++
	for k := range m.entries { // The links break.
		m.after(modelLink, func() { m.deliver(k, func(t *permit.Table) { t.RecordLost(m.now, entryName(i)) }) })
	}
	m.after(memberGrace, m.updateMembers)
}

// restart starts an entry, which knows what control tells it.
func (m *coldModel) restart(i int) {
	e := m.entries[i]
	e.generation++
	e.dead, e.backlog, e.frozenUntil = false, nil, time.Time{}
	e.table = permit.New(entryName(i))
	e.table.SetColdBounds(1.5, 5)
	e.table.SetColdServices(map[cleat.ServiceName]permit.ColdService{coldService: {Start: coldStart, PerSecond: coldPer}})
	m.after(50*time.Millisecond, func() {
		m.deliver(i, func(t *permit.Table) {
			for _, r := range m.control.ListAt(m.now) {
				t.Announce(m.now, r)
			}
		})
	})
	m.after(100*time.Millisecond, m.updateMembers)
	for k := range m.entries {
		if k != i {
			m.link(i, k)
		}
	}
}

// link connects two entries after some time, and each tells the other what it knows.
func (m *coldModel) link(a, b int) {
	d := time.Duration(m.rnd.Int63n(int64(m.linkDelay) + 1)).Truncate(modelStep)
	m.linkUpAt[[2]int{min(a, b), max(a, b)}] = m.now.Add(d)
	introduce := func(from, to int) {
		e := m.entries[from]
		if e.dead || m.now.Before(e.frozenUntil) || !m.areLinked(a, b) {
			return
		}
		if list, isInformed := e.table.ColdIntroduction(m.now); isInformed {
			m.after(modelLink, func() { m.deliver(to, func(t *permit.Table) { t.ApplyColdIntroduction(m.now, list) }) })
		}
	}
	m.after(d, func() { introduce(a, b); introduce(b, a) })
}

func (m *coldModel) areLinked(a, b int) bool {
	return !m.now.Before(m.linkUpAt[[2]int{min(a, b), max(a, b)}]) && (m.linked == nil || m.linked(m.elapsed(), a, b))
}

func (m *coldModel) updateMembers() {
	n := -1
	for _, e := range m.entries {
		if !e.dead || m.now.Sub(e.diedAt) < memberGrace {
			n++
		}
	}
	for i := range m.entries {
		if m.controlReaches(i) {
			m.deliver(i, func(t *permit.Table) { t.SetMembers(n) })
		}
	}
}

func (m *coldModel) controlReaches(i int) bool { return m.reached == nil || m.reached(m.elapsed(), i) }

// freeze stops an entry; what arrives meanwhile is handled when it goes on.
func (m *coldModel) freeze(i int, d time.Duration) {
	e := m.entries[i]
	e.frozenUntil = m.now.Add(d)
	m.after(d, func() {
		list := e.backlog
		e.backlog = nil
		for _, f := range list {
			f()
		}
	})
}

func (m *coldModel) announceLoop(u *coldUpstream) {
	if u.isUp {
		m.announce(u)
	}
	m.after(heartbeats, func() { m.announceLoop(u) })
}

func (m *coldModel) announce(u *coldUpstream) {
	u.record.Sequence++
	u.record.WarmUp = max(0, u.coldUntil.Sub(m.now))
	r := u.record
	if u.isMute {
		return
	}
	m.after(u.delay, func() {
		if !m.control.Add(m.now, r) {
			return
		}
		for i := range m.entries {
			if m.controlReaches(i) {
				m.deliver(i, func(t *permit.Table) { t.Announce(m.now, r) })
			}
		}
	})
}

// crash ends an upstream; the connections to it break, and it is back after a time.
func (m *coldModel) crash(u *coldUpstream, down time.Duration, restarts bool) {
	u.isUp = false
	broken := make(map[int]bool)
	for _, a := range u.arrivals {
		broken[a.entry] = broken[a.entry] || a.at > m.elapsed()-coldAnswer
	}
	for i := range broken {
		if broken[i] {
			m.after(modelLink, func() { m.deliver(i, func(t *permit.Table) { t.RecordBroken(m.now, m.now, u.record.Upstream) }) })
		}
	}
	m.after(down, func() {
		u.isUp, u.coldUntil = true, m.now.Add(coldStart)
		if restarts {
			u.record.StartedAtMillis, u.record.Sequence = m.now.UnixMilli(), 0
		}
		m.announce(u)
	})
}

func (m *coldModel) run(d time.Duration) {
	for m.elapsed() < d {
		m.now = m.now.Add(modelStep)
		step := int64(m.elapsed() / modelStep)
		for _, f := range m.timeline[step] {
			f()
		}
		delete(m.timeline, step)
		interval := 50 * time.Millisecond * time.Duration(max(1, (len(m.entries)-1)/4))
		for i, e := range m.entries {
			if e.dead || m.now.Before(e.frozenUntil) {
				continue
			}
			for n := m.requestRate(i) * modelStep.Seconds(); n > 0; n-- {
				if m.rnd.Float64() < n {
					m.request(i)
				}
			}
			if phase := interval * time.Duration(i) / time.Duration(len(m.entries)); (m.elapsed()+phase)%interval < modelStep {
				m.report(i)
			}
			if m.elapsed()%(500*time.Millisecond) < modelStep {
				e.table.Expire(m.now)
			}
		}
	}
}

func (m *coldModel) requestRate(i int) float64 {
	if m.entries[i].leaving || (m.calls != nil && !m.calls(m.elapsed(), i)) {
		return 0
	}
	return m.demand
}

// request sends a request to the first upstream that its entry may send to, from one at
// random on.
func (m *coldModel) request(i int) {
	t := m.entries[i].table
	first := m.rnd.Intn(len(m.upstreams))
	for k := range m.upstreams {
		if u := m.upstreams[(first+k)%len(m.upstreams)]; t.AllowsCold(m.now, u.record.Upstream) {
			t.UseCold(m.now, u.record.Upstream)
			m.send(i, u)
			return
		}
	}
	m.refusedAt = m.elapsed()
}

func (m *coldModel) send(i int, u *coldUpstream) {
	id := u.record.Upstream
	sentAt := m.now
	if !u.isUp {
		m.after(modelLink, func() { m.deliver(i, func(t *permit.Table) { t.RecordFailure(m.now, id) }) })
		return
	}
	u.arrivals = append(u.arrivals, coldArrival{m.elapsed(), i, m.now.Before(u.coldUntil)})
	born := u.record.StartedAtMillis
	m.after(coldAnswer, func() {
		if u.isUp && u.record.StartedAtMillis == born {
			m.deliver(i, func(t *permit.Table) { t.RecordAlive(m.now, sentAt, id) })
		}
	})
}

func (m *coldModel) report(i int) {
	t, leaving := m.entries[i].table, m.entries[i].leaving
	limits, cold := t.Report(m.now), t.ColdReport(m.now)
	late := modelLink
	if m.lag != nil {
		late += m.lag(m.elapsed(), i)
	}
	for k := range m.entries {
		if k == i || !m.areLinked(i, k) {
			continue
		}
		m.after(late, func() {
			m.deliver(k, func(t *permit.Table) {
				t.Apply(m.now, entryName(i), limits)
				t.ApplyCold(m.now, entryName(i), leaving, cold)
			})
		})
	}
}

// worstCold returns the most requests that an upstream got in any second while it was
// cold.
func (m *coldModel) worstCold() int {
	most := 0
	for _, u := range m.upstreams {
		first := 0
		var cold []coldArrival
		for _, a := range u.arrivals {
			if a.isCold {
				cold = append(cold, a)
			}
		}
		for k, a := range cold {
			for a.at-cold[first].at >= time.Second {
				first++
			}
			most = max(most, k-first+1)
		}
	}
	return most
}

// coldBetween returns how many requests upstreams got in an interval.
func (m *coldModel) coldBetween(from, to time.Duration, list ...*coldUpstream) int {
	n := 0
	for _, u := range list {
		for _, a := range u.arrivals {
			if a.at >= from && a.at < to {
				n++
			}
		}
	}
	return n
}

// owners returns the entries that take themselves for the owner of an upstream.
func (m *coldModel) owners(u *coldUpstream) []int {
	var list []int
	for i, e := range m.entries {
		if !e.dead && !m.now.Before(e.frozenUntil) && e.table.Owns(m.now, u.record.Upstream) {
			list = append(list, i)
		}
	}
	return list
}

func (m *coldModel) expectBound(seed int64) {
	ExpectWithOffset(1, m.worstCold()).To(BeNumerically("<=", coldBound), "seed %d", seed)
}
