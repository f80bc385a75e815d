package poison_test

import (
	"fmt"
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/poison"
)

const (
	modelStep   = 50 * time.Millisecond // Also the interval between reports.
	modelBegins = 700 * time.Millisecond
	modelDown   = 3 * time.Second
	contactTime = 3 * time.Second
)

// fleetModel is entries that send requests to upstreams, some of which crash.
type fleetModel struct {
	rnd       *rand.Rand
	now       time.Time
	entries   []*poison.Table
	links     func(a, b int) bool // Whether entries a and b reach each other.
	downUntil []time.Time
	born      []int64
	running   []*modelRequest
	arrivals  []time.Time // Of requests with the bad block.
	crashes   []time.Time
	refused   int // Sound requests.
	lastID    int
}

type modelRequest struct {
	entry, upstream int
	blocks          []cleat.PrefixBlock
	beginsAt        time.Time
	bad             bool
}

func newFleetModel(seed int64, entries, upstreams int) *fleetModel {
	m := &fleetModel{rnd: rand.New(rand.NewSource(seed)), now: start, links: func(int, int) bool { return true }}
	for range entries {
		m.entries = append(m.entries, poison.New(poison.Config{}))
	}
	m.downUntil, m.born = make([]time.Time, upstreams), make([]int64, upstreams)
	return m
}

func (m *fleetModel) send(ids []uint64, bad bool) {
	entry := m.rnd.Intn(len(m.entries))
	r := &modelRequest{entry: entry, blocks: blocks(ids...), bad: bad, beginsAt: m.now.Add(time.Duration(m.rnd.Int63n(int64(2 * modelBegins))))}
	if m.entries[entry].Check(m.now, service, r.blocks) != nil {
		if !bad {
			m.refused++
		}
		return
	}
	for range 20 {
		r.upstream = m.rnd.Intn(len(m.born))
		if !m.now.Before(m.downUntil[r.upstream]) {
			if bad {
				m.arrivals = append(m.arrivals, m.now)
			}
			m.running = append(m.running, r)
			return
		}
	}
}

func (m *fleetModel) crash(upstream int) {
	if m.now.Before(m.downUntil[upstream]) {
		return
	}
	m.downUntil[upstream] = m.now.Add(modelDown)
	u := cleat.UpstreamRecord{Upstream: cleat.UpstreamID(fmt.Sprintf("u%d", upstream)), Service: service, StartedAtMillis: m.born[upstream]}
	m.born[upstream]++
	kept := m.running[:0]
	for _, r := range m.running {
		if r.upstream != upstream {
			kept = append(kept, r)
			continue
		}
		m.lastID++
		m.entries[r.entry].RecordBreak(m.now, u, cleat.RequestID(fmt.Sprint(m.lastID)), r.blocks, true)
	}
	m.running = kept
}

// step ends what has begun and passes reports on.
func (m *fleetModel) step() {
	m.now = m.now.Add(modelStep)
	for {
		bad := -1
		kept := m.running[:0]
		for _, r := range m.running {
			switch {
			case m.now.Before(r.beginsAt):
				kept = append(kept, r)
			case r.bad && bad < 0:
				bad = r.upstream
				kept = append(kept, r)
			case r.bad:
				kept = append(kept, r)
			default:
				m.entries[r.entry].RecordServed(m.now, service, r.blocks)
			}
		}
		m.running = kept
		if bad < 0 {
			break
		}
		m.crashes = append(m.crashes, m.now)
		m.crash(bad)
	}
	for i, from := range m.entries {
		from.Tick(m.now)
		report := from.Report(m.now)
		for j, to := range m.entries {
			if report != nil && i != j && m.links(i, j) {
				to.Apply(m.now, report)
			}
		}
	}
}

// sessions send sound requests: a shared first block, and one of the session's own.
func (m *fleetModel) sendSound(perSecond float64, sessions int) {
	for n := perSecond * modelStep.Seconds(); m.rnd.Float64() < n; n-- {
		m.send([]uint64{first, uint64(1000 + m.rnd.Intn(sessions))}, false)
	}
}

var _ = Describe("A fleet of entries", func() {
	// BUDGET on lade-auctions: requests with one block ended 30 and more upstreams.
	for name, perSecond := range map[string]float64{"6 a second": 6, "3 a second": 3, "1 a second": 1, "one in 4 s": 0.25} {
		It("sends at most three more requests with a block that crashes upstreams, at "+name, func() {
			for seed := range int64(20) {
				m := newFleetModel(seed, 5, 9)
				for m.now.Before(start.Add(60 * time.Second)) {
					m.sendSound(40, 90)
					if m.rnd.Float64() < perSecond*modelStep.Seconds() {
						m.send([]uint64{first, bad}, true)
					}
					m.step()
				}
				if len(m.crashes) < 5 {
					continue
				}
				late := 0
				for _, at := range m.arrivals {
					if at.After(m.crashes[4].Add(contactTime)) {
						late++
					}
				}
				Expect(late).To(BeNumerically("<=", 3), "seed %d, %d crashes", seed, len(m.crashes))
				Expect(float64(m.refused)).To(BeNumerically("<", 60*40*0.01), "seed %d", seed)
			}
		})
	}

	// Sound requests that run beside crashes which no block causes are not refused.
	storms := map[string]struct {
		perSecond float64 // Crashes, at random upstreams.
		allowed   float64 // Fraction of the sound requests that may be refused.
	}{
		"a crash in 10 s":     {0.1, 0},
		"a crash each second": {1, 0.001},
		"2 crashes a second":  {2, 0.01},
	}
	for name, c := range storms {
		It("refuses next to nothing while upstreams crash by chance, at "+name, func() {
			refused, sent := 0, 0
			for seed := range int64(10) {
				m := newFleetModel(seed, 5, 9)
				for m.now.Before(start.Add(5 * time.Minute)) {
					m.sendSound(25, 90)
					if m.rnd.Float64() < c.perSecond*modelStep.Seconds() {
						m.crash(m.rnd.Intn(len(m.born)))
					}
					m.step()
				}
				refused += m.refused
				sent += 5 * 60 * 25
			}
			AddReportEntry("refused", fmt.Sprintf("%d of %d", refused, sent))
			GinkgoWriter.Printf("%s: refused %d of %d\n", name, refused, sent)
			Expect(float64(refused)).To(BeNumerically("<=", c.allowed*float64(sent)))
		})
	}

	It("refuses nothing when half of the upstreams crash at once, again and again", func() {
		m := newFleetModel(1, 5, 8)
		for i := 0; m.now.Before(start.Add(3 * time.Minute)); i++ {
			m.sendSound(25, 90)
			if i%200 == 199 {
				for u := range 4 {
					m.crash(u)
				}
			}
			m.step()
		}
		Expect(m.refused).To(BeZero())
	})

	It("agrees once entries reach each other again", func() {
		m := newFleetModel(1, 4, 9)
		m.links = func(a, b int) bool { return a/2 == b/2 }
		for m.now.Before(start.Add(20 * time.Second)) {
			m.sendSound(40, 90)
			if m.rnd.Float64() < 0.1 {
				m.send([]uint64{first, bad}, true)
			}
			m.step()
		}
		restarted := poison.New(poison.Config{})
		restarted.Apply(m.now, m.entries[0].Complete(m.now))
		for _, t := range append(m.entries, restarted) {
			Expect(t.Check(m.now, service, blocks(first, bad))).NotTo(BeNil())
			Expect(t.Quarantined()).To(Equal(1))
		}
	})

	It("doesn't let a quarantine pass an answer that crossed it", func() {
		a, b := newRig(poison.Config{}), newRig(poison.Config{})
		for range 5 {
			a.crash([]uint64{bad})
		}
		a.wait(2 * time.Second)
		b.RecordServed(a.now, service, blocks(bad))
		b.Apply(a.now, a.Report(a.now))
		Expect(b.Quarantined()).To(BeZero())
		a.Apply(a.now, b.Report(a.now))
		Expect(a.Quarantined()).To(BeZero())
	})
})
