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
	guilty  = uint64(0xbad) // Digests.
	sound   = uint64(0x50)
	another = uint64(0x51)
)

// requestRig is a table of requests at a simulated time.
type requestRig struct {
	*poison.RequestTable
	now time.Time
	n   int // Upstreams so far.
}

func newRequestRig() *requestRig {
	return &requestRig{RequestTable: poison.NewRequests(poison.RequestConfig{}), now: start}
}

func (r *requestRig) wait(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(50 * time.Millisecond)
		r.Tick(r.now)
	}
}

// crash ends an upstream under requests that were sent to it a moment before.
func (r *requestRig) crash(digests ...uint64) cleat.UpstreamRecord {
	r.n++
	u := cleat.UpstreamRecord{Upstream: cleat.UpstreamID(fmt.Sprintf("u%d", r.n)), Service: service, StartedAtMillis: int64(r.n)}
	sentAt := r.now
	r.wait(100 * time.Millisecond)
	for _, d := range digests {
		r.RecordBreak(poison.Break{Digest: d, Upstream: u, SentAt: sentAt, At: r.now}, true)
	}
	return u
}

var _ = Describe("RequestTable", func() {
	var r *requestRig
	BeforeEach(func() { r = newRequestRig() })

	It("quarantines a request after the third upstream in a row that ended under it", func() {
		r.crash(guilty)
		r.crash(guilty)
		r.wait(2 * time.Second)
		Expect(r.Check(guilty)).To(BeFalse())
		r.crash(guilty)
		r.wait(1100 * time.Millisecond)
		Expect(r.Check(guilty)).To(BeTrue())
		Expect(r.Check(sound)).To(BeFalse())
	})

	It("allows one repeat of a request under which an upstream ended", func() {
		Expect(r.AllowRepeat(guilty)).To(BeTrue())
		r.crash(guilty)
		Expect(r.AllowRepeat(guilty)).To(BeTrue())
		r.crash(guilty)
		Expect(r.AllowRepeat(guilty)).To(BeFalse())
	})

	It("counts upstreams that end together once", func() {
		for i := range 5 {
			u := cleat.UpstreamRecord{Upstream: cleat.UpstreamID(fmt.Sprint(i)), StartedAtMillis: 1}
			r.RecordBreak(poison.Break{Digest: sound, Upstream: u, SentAt: r.now.Add(-50 * time.Millisecond), At: r.now}, true)
		}
		Expect(r.AllowRepeat(sound)).To(BeTrue())
		r.wait(2 * time.Second)
		Expect(r.Check(sound)).To(BeFalse())
	})

	It("is cleared by an answer to an equal request, here or at another entry", func() {
		for range 2 {
			r.crash(sound, another)
		}
		r.RecordServed(r.now, sound)
		r.Apply(r.now, &cleat.CrashReport{ServedRequests: []cleat.ServedRequest{{Digest: another}}})
		r.crash(sound, another)
		r.wait(2 * time.Second)
		Expect(r.Check(sound)).To(BeFalse())
		Expect(r.Check(another)).To(BeFalse())
	})

	It("doesn't take crashes before an answer from a report that comes after it", func() {
		for range 3 {
			r.crash(sound)
		}
		late := &cleat.CrashReport{}
		r.Report(r.now, late)
		other := newRequestRig()
		other.now = r.now
		other.crash(sound)
		other.RecordServed(other.now, sound)
		other.Apply(other.now, late)
		other.wait(2 * time.Second)
		Expect(other.Check(sound)).To(BeFalse())
	})

	It("doesn't quarantine what was beside another request at each crash", func() {
		r.crash(guilty)
		for range 3 {
			r.crash(guilty, sound)
		}
		r.wait(2 * time.Second)
		Expect(r.Check(guilty)).To(BeTrue())
		Expect(r.Check(sound)).To(BeFalse())
	})

	It("doesn't wait for more evidence than four crashes when two requests always come together", func() {
		for range 4 {
			r.crash(guilty, another)
		}
		r.wait(2 * time.Second)
		Expect(r.Check(guilty)).To(BeTrue())
	})

	It("counts a break once the upstream is replaced, and not when it lives on", func() {
		for i := range 3 {
			u := cleat.UpstreamRecord{Upstream: cleat.UpstreamID(fmt.Sprint(i)), StartedAtMillis: 1}
			sentAt := r.now
			r.wait(100 * time.Millisecond)
			r.RecordBreak(poison.Break{Digest: guilty, Upstream: u, SentAt: sentAt, At: r.now}, false)
			r.RecordBreak(poison.Break{Digest: sound, Upstream: cleat.UpstreamRecord{Upstream: "x", StartedAtMillis: 1}, SentAt: sentAt, At: r.now}, false)
			r.RecordEnd(r.now.Add(time.Second), u)
		}
		r.wait(2 * time.Second)
		Expect(r.Check(guilty)).To(BeTrue())
		Expect(r.IsSuspect(sound)).To(BeFalse())
	})

	It("lets a request through when its quarantine has ended, and renews it with the next crash", func() {
		for range 3 {
			r.crash(guilty)
		}
		r.wait(10*time.Minute + 2*time.Second)
		Expect(r.Check(guilty)).To(BeFalse())
		r.crash(guilty)
		r.wait(1100 * time.Millisecond)
		Expect(r.Check(guilty)).To(BeTrue())
	})

	It("passes all on to an entry that joins", func() {
		for range 3 {
			r.crash(guilty)
		}
		r.wait(time.Minute)
		m := &cleat.CrashReport{}
		r.Complete(r.now, m)
		joiner := newRequestRig()
		joiner.now = r.now
		joiner.Apply(joiner.now, m)
		joiner.wait(50 * time.Millisecond)
		Expect(joiner.Check(guilty)).To(BeTrue())
	})

	It("keeps a bounded number of requests when each crash is under another one, and those in quarantine", func() {
		for range 3 {
			r.crash(guilty)
		}
		r.wait(2 * time.Second)
		for i := range uint64(20000) {
			r.n++
			u := cleat.UpstreamRecord{Upstream: cleat.UpstreamID(fmt.Sprint(i)), StartedAtMillis: 1}
			r.RecordBreak(poison.Break{Digest: 1<<20 + i, Upstream: u, SentAt: r.now, At: r.now.Add(time.Duration(i))}, true)
		}
		Expect(r.Suspects()).To(BeNumerically("<=", poison.DefaultMaxRequests))
		Expect(r.Check(guilty)).To(BeTrue())
		m := &cleat.CrashReport{}
		r.Complete(r.now, m)
		Expect(m.Requests).To(HaveLen(3))
	})
})

// requestModel is entries whose callers poll equal requests, at upstreams some of which
// crash.
type requestModel struct {
	rnd       *rand.Rand
	now       time.Time
	entries   []*poison.RequestTable
	downUntil []time.Time
	born      []int64
	running   []*runningRequest
	arrivals  []time.Time // Of the guilty request.
	crashes   int         // By it.
	polls     int
	refused   int // Polls.
}

type runningRequest struct {
	entry, upstream, tries int
	digest                 uint64
	sentAt, endsAt         time.Time
}

func newRequestModel(seed int64, entries, upstreams int) *requestModel {
	m := &requestModel{rnd: rand.New(rand.NewSource(seed)), now: start, downUntil: make([]time.Time, upstreams), born: make([]int64, upstreams)}
	for range entries {
		m.entries = append(m.entries, poison.NewRequests(poison.RequestConfig{}))
	}
	return m
}

// send sends a request to an upstream that is up, if any.
func (m *requestModel) send(entry int, digest uint64, tries int) {
	if m.entries[entry].Check(digest) {
		if digest != guilty {
			m.refused++
		}
		return
	}
	for range 20 {
		u := m.rnd.Intn(len(m.born))
		if m.now.Before(m.downUntil[u]) {
			continue
		}
		if digest == guilty {
			m.arrivals = append(m.arrivals, m.now)
		}
		m.running = append(m.running, &runningRequest{entry, u, tries, digest, m.now, m.now.Add(30*time.Millisecond + time.Duration(m.rnd.Intn(60))*time.Millisecond)})
		return
	}
}

func (m *requestModel) crash(u int) {
	m.downUntil[u] = m.now.Add(modelDown)
	record := cleat.UpstreamRecord{Upstream: cleat.UpstreamID(fmt.Sprint(u)), StartedAtMillis: m.born[u]}
	m.born[u]++
	var kept, broken []*runningRequest
	for _, r := range m.running {
		if r.upstream == u {
			broken = append(broken, r)
		} else {
			kept = append(kept, r)
		}
	}
	m.running = kept
	for _, r := range broken {
		t := m.entries[r.entry]
		t.RecordBreak(poison.Break{Digest: r.digest, Upstream: record, SentAt: r.sentAt, At: m.now}, true)
		if r.tries < 3 && t.AllowRepeat(r.digest) {
			m.send(r.entry, r.digest, r.tries+1)
		}
	}
}

func (m *requestModel) step() {
	m.now = m.now.Add(10 * time.Millisecond)
	for i := 0; i < len(m.running); i++ {
		r := m.running[i]
		if m.now.Before(r.endsAt) {
			continue
		}
		if r.digest == guilty {
			m.crashes++
			m.crash(r.upstream)
			i = -1
			continue
		}
		m.entries[r.entry].RecordServed(m.now, r.digest)
		m.running = append(m.running[:i], m.running[i+1:]...)
		i--
	}
	if m.now.Sub(start)%(50*time.Millisecond) != 0 {
		return
	}
	for i, from := range m.entries {
		from.Tick(m.now)
		report := &cleat.CrashReport{}
		from.Report(m.now, report)
		for j, to := range m.entries {
			if i != j && !report.IsEmpty() {
				to.Apply(m.now, report)
			}
		}
	}
}

// poll sends some of the equal requests that callers send again and again.
func (m *requestModel) poll(perSecond float64, different int) {
	for n := perSecond * 0.01; m.rnd.Float64() < n; n-- {
		m.polls++
		m.send(m.rnd.Intn(len(m.entries)), sound+uint64(m.rnd.Intn(different)), 1)
	}
}

var _ = Describe("Entries with requests that come again", func() {
	for name, c := range map[string]struct {
		every     time.Duration
		upstreams int
	}{
		"each 200 ms":                    {200 * time.Millisecond, 4},
		"each 200 ms, at many upstreams": {200 * time.Millisecond, 40},
		"each second":                    {time.Second, 4},
		"each second, at many upstreams": {time.Second, 12},
		"each four seconds":              {4 * time.Second, 4},
	} {
		It("send at most three more of one that crashes upstreams, and refuse no other: "+name, func() {
			for seed := range int64(20) {
				m := newRequestModel(seed, 5, c.upstreams)
				for m.now.Before(start.Add(2 * time.Minute)) {
					m.poll(20, 30)
					if m.now.Sub(start)%c.every == 0 {
						m.send(m.rnd.Intn(5), guilty, 1)
					}
					m.step()
				}
				Expect(len(m.arrivals)).To(BeNumerically(">=", 3))
				late := 0
				for _, at := range m.arrivals {
					if at.After(m.arrivals[2].Add(contactTime)) {
						late++
					}
				}
				Expect(late).To(BeNumerically("<=", 3), "seed %d", seed)
				Expect(m.refused).To(BeZero(), "seed %d", seed)
			}
		})
	}

	// Polls that run beside crashes which no request causes are not refused.
	for name, perSecond := range map[string]float64{"a crash in 10 s": 0.1, "a crash each second": 1, "2 crashes a second": 2} {
		It("refuse no poll while upstreams crash by chance: "+name, func() {
			refused, polls := 0, 0
			for seed := range int64(10) {
				m := newRequestModel(seed, 5, 9)
				for m.now.Before(start.Add(5 * time.Minute)) {
					m.poll(40, 20)
					if m.rnd.Float64() < perSecond*0.01 {
						if u := m.rnd.Intn(9); !m.now.Before(m.downUntil[u]) {
							m.crash(u)
						}
					}
					m.step()
				}
				refused += m.refused
				polls += m.polls
			}
			GinkgoWriter.Printf("%s: refused %d of %d\n", name, refused, polls)
			Expect(refused).To(BeZero())
		})
	}

	It("refuse no poll while half of the upstreams crash at once, again and again", func() {
		m := newRequestModel(1, 5, 8)
		for i := 0; m.now.Before(start.Add(5 * time.Minute)); i++ {
			m.poll(100, 2)
			if i%500 == 499 {
				for u := range 4 {
					m.crash(u)
				}
			}
			m.step()
		}
		Expect(m.refused).To(BeZero())
	})
})
