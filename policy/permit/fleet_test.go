package permit_test

import (
	"fmt"
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/permit"
)

const (
	modelStep    = 10 * time.Millisecond
	modelAnswer  = 60 * time.Millisecond // From a request's arrival to the head of its answer.
	modelLink    = 5 * time.Millisecond  // One way between entries.
	limitWindow  = 4 * time.Second       // In which at most limitFactor times what the limit allows may arrive, and limitSlack.
	limitFactor  = 1.5
	limitSlack   = 5
	limitNoticed = 3 * time.Second // After an upstream first names its limit.
	upstreamID   = cleat.UpstreamID("m0")
)

var start = time.Unix(1e9, 0)

// fleetModel is entries that send requests to one upstream, which names a limit.
type fleetModel struct {
	rnd      *rand.Rand
	now      time.Time
	entries  []*permit.Table
	demand   func(t time.Duration, entry int) float64      // Requests/s.
	rate     func(t time.Duration) float64                 // The limit; zero for none.
	linked   func(t time.Duration, a, b int) bool          // Whether entries reach each other; nil for always.
	lag      func(t time.Duration, from int) time.Duration // By which reports are late besides; nil for none.
	record   cleat.UpstreamRecord
	arrivals []arrival
	timeline map[int64][]func()
}

type arrival struct {
	at    time.Duration
	entry int
}

func newFleetModel(entries int, seed int64) *fleetModel {
	m := &fleetModel{
		rnd: rand.New(rand.NewSource(seed)), now: start, timeline: make(map[int64][]func()),
		record: cleat.UpstreamRecord{Upstream: upstreamID, StartedAtMillis: 1},
	}
	for i := range entries {
		m.entries = append(m.entries, nil)
		m.restart(i)
	}
	return m
}

func (m *fleetModel) restart(i int) {
	m.entries[i] = permit.New(cleat.InstanceID(fmt.Sprintf("entry-%d", i)))
	m.entries[i].SetMembers(len(m.entries) - 1)
	if len(m.entries) > 1 {
		for k := range m.entries {
			if m.entries[k] != nil {
				m.entries[k].SetMembers(len(m.entries) - 1)
			}
		}
	}
}

func (m *fleetModel) elapsed() time.Duration { return m.now.Sub(start) }

func (m *fleetModel) after(d time.Duration, f func()) {
	step := max(int64(m.elapsed()/modelStep)+1, int64((m.elapsed()+d)/modelStep))
	m.timeline[step] = append(m.timeline[step], f)
}

func (m *fleetModel) interval() time.Duration {
	return 50 * time.Millisecond * time.Duration(max(1, (len(m.entries)-1)/4))
}

func (m *fleetModel) run(d time.Duration) {
	for m.elapsed() < d {
		m.now = m.now.Add(modelStep)
		step := int64(m.elapsed() / modelStep)
		for _, f := range m.timeline[step] {
			f()
		}
		delete(m.timeline, step)
		for i := range m.entries {
			for n := m.demand(m.elapsed(), i) * modelStep.Seconds(); n > 0; n-- {
				if m.rnd.Float64() < n {
					m.request(i)
				}
			}
			phase := m.interval() * time.Duration(i) / time.Duration(len(m.entries))
			if (m.elapsed()+phase)%m.interval() < modelStep {
				m.report(i)
			}
		}
	}
}

func (m *fleetModel) request(i int) {
	t := m.entries[i]
	if !t.Allows(m.now, upstreamID) {
		t.Want(m.now, upstreamID)
		return
	}
	t.Use(m.now, upstreamID)
	sentAt := m.now
	m.arrivals = append(m.arrivals, arrival{m.elapsed(), i})
	rate := m.rate(m.elapsed())
	m.after(modelAnswer, func() { m.entries[i].Observe(m.now, sentAt, m.record, rate) })
}

func (m *fleetModel) report(i int) {
	list := m.entries[i].Report(m.now)
	late := modelLink
	if m.lag != nil {
		late += m.lag(m.elapsed(), i)
	}
	for k := range m.entries {
		if k == i || (m.linked != nil && !m.linked(m.elapsed(), i, k)) {
			continue
		}
		m.after(late, func() { m.entries[k].Apply(m.now, cleat.InstanceID(fmt.Sprintf("entry-%d", i)), list) })
	}
}

// worst returns the most arrivals in any window that begins in an interval, apart from
// those that the entry excuses.
func (m *fleetModel) worst(from, to time.Duration, excused func(a arrival) bool) int {
	most := 0
	for i, a := range m.arrivals {
		if a.at < from || a.at+limitWindow > to {
			continue
		}
		n := 0
		for _, b := range m.arrivals[i:] {
			if b.at < a.at+limitWindow && !(excused != nil && excused(b)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func (m *fleetModel) between(from, to time.Duration) int {
	n := 0
	for _, a := range m.arrivals {
		if a.at >= from && a.at < to {
			n++
		}
	}
	return n
}

func allowed(rate float64) int { return int(limitFactor*rate*limitWindow.Seconds() + limitSlack) }

const (
	limitedFrom = 2 * time.Second
	limitedTo   = 32 * time.Second
)

func always(rate float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t < limitedFrom || t >= limitedTo {
			return 0
		}
		return rate
	}
}

func each(rate float64) func(time.Duration, int) float64 {
	return func(time.Duration, int) float64 { return rate }
}

var _ = Describe("Entries that share a rate limit", func() {
	// LIMIT on lade-auctions: a server got far more requests than the limit that it had named.
	for name, c := range map[string]struct {
		entries int
		rate    float64
		demand  func(t time.Duration, entry int) float64
		use     float64 // Fraction of a limit below the steady demand that is used at least; zero where the demand changes or is sparse.
	}{
		"five entries":                        {5, 3, each(5), 0.8},
		"five entries, a high limit":          {5, 40, each(20), 0.8},
		"29 entries":                          {29, 8, each(3), 0.8},
		"29 entries, half a request a second": {29, 0.5, each(2), 0.8},
		"29 entries with little demand each":  {29, 6, each(0.5), 0},
		"demand at one of 29 entries":         {29, 4, func(_ time.Duration, i int) float64 { return map[int]float64{7: 40}[i] }, 0.8},
		"demand that moves each two seconds": {29, 6, func(t time.Duration, i int) float64 {
			return map[bool]float64{true: 60}[i == int(t/(2*time.Second))%29]
		}, 0},
		"demand that comes and goes at all entries": {29, 4, func(t time.Duration, _ int) float64 { return map[bool]float64{true: 5}[int(t/(3*time.Second))%2 == 0] }, 0},
		"a single entry": {1, 3, each(20), 0.8},
	} {
		It("keep to it and use it: "+name, func() {
			for seed := range int64(5) {
				m := newFleetModel(c.entries, seed)
				m.demand, m.rate = c.demand, always(c.rate)
				m.run(limitedTo)
				from := limitedFrom + limitNoticed
				Expect(m.worst(from, limitedTo, nil)).To(BeNumerically("<=", allowed(c.rate)), "seed %d", seed)
				used := float64(m.between(from, limitedTo)) / (limitedTo - from).Seconds() / c.rate
				GinkgoWriter.Printf("%s: worst %d of %d, used %.2f\n", name, m.worst(from, limitedTo, nil), allowed(c.rate), used)
				Expect(used).To(BeNumerically(">=", c.use), "seed %d", seed)
			}
		})
	}

	It("keep to it while entries restart in turn", func() {
		m := newFleetModel(5, 1)
		m.demand, m.rate = each(6), always(3)
		var restarts []arrival
		for i := range 5 {
			m.after(time.Duration(6+4*i)*time.Second, func() {
				m.restart(i)
				restarts = append(restarts, arrival{m.elapsed(), i})
			})
		}
		m.run(limitedTo)
		excused := func(a arrival) bool { // Until the restarted entry has heard of the limit.
			for _, r := range restarts {
				if r.entry == a.entry && a.at >= r.at && a.at < r.at+500*time.Millisecond {
					return true
				}
			}
			return false
		}
		Expect(m.worst(limitedFrom+limitNoticed, limitedTo, excused)).To(BeNumerically("<=", allowed(3)))
	})

	It("keep to it together while they are divided, whatever each half reaches", func() {
		m := newFleetModel(6, 1)
		m.demand, m.rate = each(6), always(4)
		m.linked = func(t time.Duration, a, b int) bool { return t < 10*time.Second || t > 20*time.Second || a%2 == b%2 }
		m.run(limitedTo)
		Expect(m.worst(limitedFrom+limitNoticed, limitedTo, nil)).To(BeNumerically("<=", allowed(4)))
		Expect(m.between(14*time.Second, 20*time.Second)).To(BeNumerically(">=", 0.6*4*6), "both halves together use the limit")
	})

	It("keep to it while some entries' reports are late", func() {
		m := newFleetModel(9, 1)
		m.demand, m.rate = each(6), always(5)
		m.lag = func(_ time.Duration, from int) time.Duration { return time.Duration(from%3) * 600 * time.Millisecond }
		m.run(limitedTo)
		Expect(m.worst(limitedFrom+limitNoticed, limitedTo, nil)).To(BeNumerically("<=", allowed(5)))
	})

	It("follow a limit that changes, and its end", func() {
		m := newFleetModel(5, 1)
		m.demand = each(10)
		m.rate = func(t time.Duration) float64 {
			switch {
			case t < limitedFrom || t >= 20*time.Second:
				return 0
			case t < 11*time.Second:
				return 8
			}
			return 2
		}
		m.run(26 * time.Second)
		Expect(m.worst(limitedFrom+limitNoticed, 11*time.Second, nil)).To(BeNumerically("<=", allowed(8)))
		Expect(m.worst(12*time.Second, 20*time.Second, nil)).To(BeNumerically("<=", allowed(2)))
		Expect(m.between(23*time.Second, 26*time.Second)).To(BeNumerically(">=", 3*40), "the end is noticed")
	})
})
