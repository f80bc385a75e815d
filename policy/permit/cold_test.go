package permit_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/permit"
)

// Upstreams that had just started crashed when the whole fleet sent to them: 30 and 31
// requests were seen in one second.
var _ = Describe("Entries with cold upstreams", func() {
	const crashAt, down = 5 * time.Second, 2 * time.Second
	const backAt = crashAt + down

	cases := map[string]struct {
		entries, upstreams int
		down               time.Duration
		delay              time.Duration // Of announcements.
		restarts           bool          // Whether the upstreams have a new incarnation.
		plan               func(m *coldModel)
		use                float64 // Least part of the owners' rate that is used while upstreams are cold.
	}{
		"26 entries, upstreams that restart":               {26, 8, down, 0, true, nil, 0.8},
		"announcements that come seconds late":             {26, 8, down, 3 * time.Second, true, nil, 0.8},
		"a restart that takes less time than reports take": {26, 8, 300 * time.Millisecond, 2 * time.Second, true, nil, 0.3},
		"upstreams that were only out of reach":            {26, 8, down, 0, false, nil, 0.8},
		"upstreams that were down for long":                {26, 4, 20 * time.Second, 0, true, nil, 0.8},
		"a single entry":                                   {1, 2, down, 0, true, nil, 0.1},
		"two entries":                                      {2, 4, down, 0, true, nil, 0.1},
		"four entries":                                     {4, 4, down, 0, true, nil, 0.5},
		"68 entries, whose reports come every 800 ms":      {68, 4, down, time.Second, true, nil, 0.6},
		"reports that are late": {
			26, 8, down, 0, true,
			func(m *coldModel) {
				m.lag = func(_ time.Duration, i int) time.Duration { return time.Duration(i%4) * 400 * time.Millisecond }
			}, 0.6,
		},
		"owners that are killed when the upstreams are back": {
			26, 8, down, 0, true,
			func(m *coldModel) {
				m.after(backAt+500*time.Millisecond, func() {
					for _, u := range m.upstreams {
						for _, i := range m.owners(u) {
							m.kill(i)
						}
					}
				})
			}, 0.4,
		},
		"owners that freeze and wake up while the upstreams are cold": {
			26, 8, down, 0, true,
			func(m *coldModel) {
				m.after(backAt-3*time.Second, func() {
					for i := range 13 {
						m.freeze(i, 4*time.Second+time.Duration(i)*100*time.Millisecond)
					}
				})
			}, 0.3,
		},
		"owners that freeze for less time than others notice": {
			26, 8, down, 0, true,
			func(m *coldModel) {
				for k := range 6 {
					m.after(backAt+time.Duration(k)*400*time.Millisecond, func() {
						for i := k; i < 26; i += 3 {
							m.freeze(i, 700*time.Millisecond)
						}
					})
				}
			}, 0.2,
		},
		"two halves that don't hear each other": {
			26, 8, down, 0, true,
			func(m *coldModel) {
				m.linked = func(t time.Duration, a, b int) bool { return t < 4*time.Second || t > 9*time.Second || a%2 == b%2 }
			}, 0.8,
		},
		"parts that divide and join again while the upstreams are cold": {
			26, 8, down, 0, true,
			func(m *coldModel) {
				m.linked = func(t time.Duration, a, b int) bool { return int(t/(3300*time.Millisecond))%2 == 0 || a/9 == b/9 }
			}, 0,
		},
		"a small part that neither control nor the others reach": {
			26, 8, down, 0, true,
			func(m *coldModel) {
				m.linked = func(t time.Duration, a, b int) bool { return t < 4*time.Second || (a < 6) == (b < 6) }
				m.reached = func(t time.Duration, i int) bool { return t < 4*time.Second || i >= 6 }
			}, 0.6,
		},
		"control that reaches no entry": {
			26, 8, down, 0, true,
			func(m *coldModel) {
				m.reached = func(t time.Duration, _ int) bool { return t < 4*time.Second }
			}, 0.8,
		},
		"entries without a connection when the upstreams crashed, and late announcements": {
			26, 8, down, 3 * time.Second, true,
			func(m *coldModel) {
				m.calls = func(t time.Duration, i int) bool { return i < 4 || t < 4*time.Second || t > backAt }
			}, 0.8,
		},
		"entries that restart before the announcements come": {
			26, 8, down, 3 * time.Second, true,
			func(m *coldModel) {
				m.after(backAt-100*time.Millisecond, func() {
					for i := range 20 {
						m.kill(i)
						m.after(100*time.Millisecond, func() { m.restart(i) })
					}
				})
			}, 0.1,
		},
		"three parts that don't hear each other": {
			26, 8, down, 0, true,
			func(m *coldModel) {
				m.linked = func(t time.Duration, a, b int) bool { return t < 4*time.Second || t > 11*time.Second || a%3 == b%3 }
			}, 0,
		},
		"entries that restart in turn": {
			26, 8, down, 0, true,
			func(m *coldModel) {
				for i := range 26 {
					m.after(4*time.Second+time.Duration(i)*200*time.Millisecond, func() { m.kill(i) })
					m.after(5*time.Second+time.Duration(i)*200*time.Millisecond, func() { m.restart(i) })
				}
			}, 0.3,
		},
		"owners that shut down": {
			26, 8, down, 0, true,
			func(m *coldModel) {
				m.after(4*time.Second, func() {
					for i := range 13 {
						m.entries[i].leaving = true
						m.entries[i].table.SetLeaving(true)
						m.after(8*time.Second, func() { m.kill(i) })
					}
				})
			}, 0.8,
		},
		"all entries that restart while the upstreams are cold": {
			26, 8, down, 0, true,
			func(m *coldModel) {
				m.after(backAt+500*time.Millisecond, func() {
					for i := range 26 {
						m.kill(i)
						m.after(200*time.Millisecond, func() { m.restart(i) })
					}
				})
			}, 0,
		},
		"entries that join while the upstreams are cold": {
			26, 8, down, 0, true,
			func(m *coldModel) {
				for i := 16; i < 26; i++ {
					m.kill(i)
					m.after(backAt+time.Duration(i-16)*100*time.Millisecond, func() { m.restart(i) })
				}
			}, 0.4,
		},
		"entries that start while others are down, their links late and announcements too": {
			26, 8, down, 3 * time.Second, true,
			func(m *coldModel) {
				m.linkDelay = 800 * time.Millisecond
				for i := range 20 {
					m.after(4*time.Second, func() { m.kill(i) })
					if i < 14 {
						m.after(backAt+time.Duration(i-4)*100*time.Millisecond, func() { m.restart(i) })
					}
				}
			}, 0,
		},
	}
	for name, c := range cases {
		It("keep to the bound in each second: "+name, func() {
			for seed := range int64(3) {
				m := newColdModel(c.entries, c.upstreams, seed)
				if c.plan != nil {
					c.plan(m)
				}
				for _, u := range m.upstreams {
					u.delay = c.delay
					m.after(crashAt, func() { m.crash(u, c.down, c.restarts) })
				}
				back := crashAt + c.down
				m.run(back + coldStart + 12*time.Second)
				used := float64(m.coldBetween(back, back+coldStart, m.upstreams...)) / (12 * coldStart.Seconds() * float64(c.upstreams))
				GinkgoWriter.Printf("%s: worst %d, used %.2f, the last refused at %v\n", name, m.worstCold(), used, m.refusedAt)
				m.expectBound(seed)
				Expect(used).To(BeNumerically(">=", c.use), "seed %d", seed)
				Expect(m.refusedAt).To(BeNumerically("<", back+coldStart+9*time.Second), "seed %d: all are warm again", seed)
				for i, e := range m.entries {
					for _, u := range m.upstreams {
						Expect(!e.dead && e.table.IsCold(m.now, u.record.Upstream)).To(BeFalse(), "seed %d: %s at entry %d", seed, u.record.Upstream, i)
					}
				}
			}
		})
	}

	It("keep to the bound once an upstream has said that it is cold again, without a restart", func() {
		m := newColdModel(26, 3, 1)
		m.demand = 240
		u := m.upstreams[0]
		m.after(6*time.Second, func() {
			u.coldUntil = m.now.Add(coldStart)
			m.announce(u)
			u.arrivals = nil
		})
		m.run(12 * time.Second)
		m.expectBound(1)
		Expect(float64(m.coldBetween(7100*time.Millisecond, 9*time.Second, u))).To(BeNumerically(">=", 0.8*12*1.9))
	})

	It("take an upstream for warm again when neither an announcement nor a failure follows", func() {
		m := newColdModel(26, 2, 1)
		for _, u := range m.upstreams {
			u.isMute = true
			m.after(5*time.Second, func() { m.crash(u, 2*time.Second, false) })
		}
		m.run(20 * time.Second)
		m.expectBound(1)
		Expect(m.coldBetween(13*time.Second, 14*time.Second, m.upstreams...)).To(BeNumerically(">=", 0.9*m.demand*26), "warm")
	})

	// They refused their callers' requests for 1.5 s after each start.
	It("use warm upstreams once they start, though others are down", func() {
		for seed := range int64(3) {
			m := newColdModel(26, 8, seed)
			m.linkDelay = 400 * time.Millisecond
			startAt := 6 * time.Second
			for i := range 13 {
				m.after(startAt-600*time.Millisecond, func() { m.kill(i) })
			}
			for i := range 4 {
				m.after(startAt, func() { m.restart(i) })
			}
			m.run(startAt + 3*time.Second)
			Expect(m.refusedAt).To(BeNumerically("<=", startAt+m.linkDelay), "seed %d", seed)
		}
	})

	It("take an upstream for warm that only its owner doesn't reach", func() {
		t := newColdTable(3)
		u := cleat.UpstreamRecord{Upstream: upstreamID, Service: coldService, StartedAtMillis: 1, Sequence: 1}
		now := start
		t.ColdReport(now)
		t.Announce(now, u)
		warm := 0
		for k := range 1000 { // 100 s.
			now = now.Add(100 * time.Millisecond)
			for _, name := range []cleat.InstanceID{"b", "c", "d"} {
				t.Apply(now, name, nil)
			}
			if k%30 == 0 {
				t.ApplyCold(now, "b", false, []cleat.ColdUpstream{{Upstream: upstreamID, StartedAtMillis: 1, FailedAge: 10 * time.Millisecond}})
			}
			if t.Expire(now); !t.IsCold(now, upstreamID) {
				warm++
			}
		}
		Expect(warm).To(BeNumerically(">=", 500))
	})
})

// newColdTable returns the table of the entry "a" of a fleet with other entries.
func newColdTable(members int) *permit.Table {
	t := permit.New("a")
	t.SetColdBounds(1.5, 5)
	t.SetColdServices(map[cleat.ServiceName]permit.ColdService{coldService: {Start: coldStart, PerSecond: coldPer}})
	t.SetMembers(members)
	return t
}

var _ = Describe("Table with cold upstreams", func() {
	u := cleat.UpstreamRecord{Upstream: upstreamID, Service: coldService, Domain: "z", StartedAtMillis: start.Add(-time.Hour).UnixMilli(), Sequence: 5}
	var t *permit.Table
	var now time.Time
	// pass lets time pass, with this entry's reports.
	pass := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(50 * time.Millisecond)
			t.ColdReport(now)
			t.Expire(now)
		}
	}
	BeforeEach(func() {
		t, now = newColdTable(0), start
		t.ColdReport(now)
		t.Announce(now, u)
		pass(3 * time.Second)
	})

	It("takes an upstream for warm that started long before this entry", func() {
		Expect(t.IsCold(now, upstreamID)).To(BeFalse())
		Expect(t.AllowsCold(now, upstreamID)).To(BeTrue())
	})

	It("changes nothing for a service without the fields", func() {
		t.SetColdServices(nil)
		t.RecordFailure(now, upstreamID)
		next := u
		next.StartedAtMillis, next.WarmUp = now.UnixMilli(), time.Hour
		t.Announce(now, next)
		Expect(t.IsCold(now, upstreamID)).To(BeFalse())
		Expect(t.ColdReport(now)).To(BeEmpty())
		Expect(t.ColdChanges()).To(BeEmpty())
	})

	It("gives a token back that was not used, but none that was taken long ago", func() {
		next := u
		next.Sequence, next.WarmUp = 6, 10*time.Second
		t.Announce(now, next)
		pass(1500 * time.Millisecond)
		Expect(t.UseCold(now, upstreamID)).To(BeTrue())
		Expect(t.UseCold(now, upstreamID)).To(BeFalse())
		t.ReturnCold(now.Add(20*time.Millisecond), now, upstreamID)
		Expect(t.UseCold(now.Add(20*time.Millisecond), upstreamID)).To(BeTrue())
		t.ReturnCold(now.Add(20*time.Millisecond), now.Add(-time.Second), upstreamID)
		Expect(t.UseCold(now.Add(20*time.Millisecond), upstreamID)).To(BeFalse())
	})

	It("ends the effect of a failure when an earlier request goes on, and not before", func() {
		sentAt := now.Add(-2 * time.Second)
		t.RecordFailure(now, upstreamID)
		t.RecordAlive(now.Add(500*time.Millisecond), sentAt, upstreamID) // May have been received before.
		Expect(t.IsCold(now.Add(500*time.Millisecond), upstreamID)).To(BeTrue())
		t.RecordAlive(now.Add(1500*time.Millisecond), sentAt, upstreamID)
		Expect(t.IsCold(now.Add(1500*time.Millisecond), upstreamID)).To(BeFalse())
	})

	It("learns from another entry that an upstream broke off a request without having ended", func() {
		now := start.Add(time.Minute)
		rec := cleat.UpstreamRecord{Upstream: "u", Service: coldService, StartedAtMillis: start.Add(-time.Hour).UnixMilli()}
		var tables []*permit.Table
		for _, name := range []cleat.InstanceID{"a", "b"} {
			t := permit.New(name)
			t.SetColdServices(map[cleat.ServiceName]permit.ColdService{coldService: {Start: coldStart, PerSecond: coldPer}})
			t.SetMembers(1)
			t.ColdReport(now.Add(-10 * time.Second))
			t.Announce(now.Add(-10*time.Second), rec)
			tables = append(tables, t)
		}
		a, b := tables[0], tables[1]
		exchange := func() {
			a.ApplyCold(now, "b", false, b.ColdReport(now))
			b.ApplyCold(now, "a", false, a.ColdReport(now))
		}
		sentAt := now
		now = now.Add(2 * time.Second)
		b.RecordBroken(now, now.Add(-time.Second), "u")
		Expect(b.ColdUntil("u").After(now)).To(BeTrue())
		exchange()
		Expect(a.ColdUntil("u").After(now)).To(BeTrue())
		now = now.Add(600 * time.Millisecond)
		a.RecordAlive(now, sentAt, "u")
		exchange()
		Expect(a.ColdUntil("u").After(now)).To(BeFalse())
		Expect(b.ColdUntil("u").After(now)).To(BeFalse())

		now = now.Add(5 * time.Second)
		b.RecordBroken(now, time.Time{}, "u")
		Expect(b.ColdUntil("u").After(now)).To(BeFalse())
		b.RecordFailure(now, "u") // It refuses a connection.
		Expect(b.ColdUntil("u").After(now)).To(BeTrue())
	})

	It("counts the time after a failure from the first answer", func() {
		t.RecordFailure(now, upstreamID)
		pass(2 * time.Second)
		t.RecordAlive(now, now.Add(-100*time.Millisecond), upstreamID)
		pass(2500 * time.Millisecond)
		t.RecordAlive(now, now.Add(-100*time.Millisecond), upstreamID)
		Expect(t.IsCold(now, upstreamID)).To(BeTrue())
		pass(600 * time.Millisecond)
		Expect(t.IsCold(now, upstreamID)).To(BeFalse())
	})

	It("doesn't take an announcement from before a failure for one from after it", func() {
		t.RecordFailure(now, upstreamID)
		pass(time.Second)
		late := u
		late.Sequence = 6
		t.Announce(now, late)
		Expect(t.IsCold(now, upstreamID)).To(BeTrue())
		pass(3 * time.Second)
		late.Sequence = 8
		t.Announce(now, late)
		Expect(t.IsCold(now, upstreamID)).To(BeFalse())
	})

	It("takes the upstreams of a failure domain for cold, at once with an owner", func() {
		t.MarkDomainCold(now, "y")
		Expect(t.IsCold(now, upstreamID)).To(BeFalse())
		t.MarkDomainCold(now, "z")
		Expect(t.Owns(now, upstreamID)).To(BeTrue())
		pass(coldStart)
		Expect(t.IsCold(now, upstreamID)).To(BeFalse())
	})

	It("tells others only what it has observed itself, so that nothing is passed on for ever", func() {
		t.ApplyCold(now, "b", false, []cleat.ColdUpstream{{Upstream: upstreamID, StartedAtMillis: u.StartedAtMillis, WarmUp: time.Second, FailedAge: time.Millisecond}})
		Expect(t.IsCold(now, upstreamID)).To(BeTrue())
		Expect(t.ColdReport(now)).To(BeEmpty())
		t.RecordFailure(now, upstreamID)
		Expect(t.ColdReport(now)).To(HaveLen(1))
	})

	It("tells an entry that starts all it knows, also before that one has the list of upstreams", func() {
		other := u
		other.Upstream = "m9"
		t.Announce(now, other)
		pass(coldStart)
		t.ApplyCold(now, "b", false, []cleat.ColdUpstream{{Upstream: upstreamID, StartedAtMillis: u.StartedAtMillis, FailedAge: time.Second}})
		list, _ := t.ColdIntroduction(now)
		for _, listFirst := range []bool{true, false} {
			next := newColdTable(25)
			_, isInformed := next.ColdIntroduction(now)
			Expect(isInformed).To(BeFalse())
			if listFirst {
				next.Announce(now, u)
			}
			next.ApplyColdIntroduction(now, list)
			next.Announce(now, u)
			next.Announce(now, other)
			Expect(next.IsCold(now, "m9")).To(BeFalse())
			Expect(next.ColdUntil(upstreamID)).To(Equal(t.ColdUntil(upstreamID)))
			Expect(next.ColdReport(now)).To(BeEmpty(), "nothing is passed on twice")
		}
		t.ApplyColdIntroduction(now, []cleat.ColdUpstream{{Upstream: "m9", StartedAtMillis: u.StartedAtMillis, FailedAge: 1}})
		Expect(t.IsCold(now, "m9")).To(BeFalse(), "it isn't new")
	})

	rates := map[string]struct {
		overshoot, slack, per float64
		members               int
		rate                  float64
	}{
		"as seen":                        {1.5, 5, 16, 25, 12},
		"as seen, a single entry":        {1.5, 5, 16, 0, 16},
		"without bounds":                 {0, 0, 16, 25, 6.5},
		"without bounds, a single entry": {0, 0, 16, 0, 14.5},
		"a rate of one":                  {1.5, 5, 1, 25, 0.75},
		"a rate of one without bounds":   {0, 0, 1, 25, 0.25},
	}
	for name, c := range rates {
		It("paces the owner so that two of them keep to the bound: "+name, func() {
			t := newColdTable(c.members)
			t.SetColdBounds(c.overshoot, c.slack)
			t.SetColdServices(map[cleat.ServiceName]permit.ColdService{coldService: {Start: coldStart, PerSecond: c.per}})
			Expect(t.OwnerRate(coldService)).To(BeNumerically("~", c.rate, 1e-9))
		})
	}

	It("waits a second after the owner is lost, and owns nothing without half of the others", func() {
		for n := range 30 {
			id := cleat.UpstreamID(fmt.Sprintf("m%d", n))
			t := newColdTable(2)
			now := start
			t.ColdReport(now)
			rec := u
			rec.Upstream, rec.WarmUp = id, time.Hour
			t.Announce(now, rec)
			names := []cleat.InstanceID{"b", "c"}
			tick := func(d time.Duration) {
				for end := now.Add(d); now.Before(end); {
					now = now.Add(50 * time.Millisecond)
					for _, name := range names {
						t.Apply(now, name, nil)
					}
					t.ColdReport(now)
				}
			}
			tick(4 * time.Second)
			if t.Owns(now, id) {
				continue
			}
			names = slices.DeleteFunc(names, func(name cleat.InstanceID) bool { return name == "b" })
			t.RecordLost(now, "b")
			tick(900 * time.Millisecond)
			Expect(t.Owns(now, id)).To(BeFalse())
			tick(200 * time.Millisecond)
			owned := t.Owns(now, id) // Unless "c" is the owner.
			t.RecordLost(now, "c")
			names = nil
			tick(2 * time.Second)
			Expect(t.Owns(now, id)).To(BeFalse())
			if owned {
				return
			}
		}
		Fail("no upstream passes from the entry b to a")
	})
})
