package roster_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/roster"
)

const (
	ready   = cleat.UpstreamReady
	leaving = cleat.UpstreamLeaving
)

// announcement describes an announcement, or a withdrawal if it has no phase.
type announcement struct {
	id              cleat.UpstreamID
	service         cleat.ServiceName
	address         string
	phase           cleat.UpstreamPhase
	startedAtMillis int64
	seq             uint64
}

func (a announcement) record() cleat.UpstreamRecord {
	return cleat.UpstreamRecord{
		Upstream: a.id, Service: a.service, Address: a.address, Slots: 4, Phase: a.phase, StartedAtMillis: a.startedAtMillis, Sequence: a.seq,
	}
}

var _ = Describe("Table", func() {
	now := time.Unix(1e9, 0)

	cases := map[string]struct {
		announcements []announcement
		usable        map[cleat.UpstreamID]cleat.UpstreamPhase
	}{
		"one upstream": {
			[]announcement{{"a", "s", "10.0.0.1:1", ready, 5, 1}},
			map[cleat.UpstreamID]cleat.UpstreamPhase{"a": ready},
		},
		"a late announcement of the same incarnation": {
			[]announcement{{"a", "s", "10.0.0.1:1", leaving, 5, 7}, {"a", "s", "10.0.0.1:1", ready, 5, 6}},
			map[cleat.UpstreamID]cleat.UpstreamPhase{"a": leaving},
		},
		"an announcement of an earlier incarnation": {
			[]announcement{{"a", "s", "10.0.0.1:1", ready, 9, 1}, {"a", "s", "10.0.0.1:1", leaving, 5, 99}},
			map[cleat.UpstreamID]cleat.UpstreamPhase{"a": ready},
		},
		"a new incarnation with restarted sequence numbers": {
			[]announcement{{"a", "s", "10.0.0.1:1", leaving, 5, 99}, {"a", "s", "10.0.0.1:1", ready, 9, 1}},
			map[cleat.UpstreamID]cleat.UpstreamPhase{"a": ready},
		},
		"an address reused by a later upstream": {
			[]announcement{{"a", "s", "10.0.0.1:1", ready, 5, 1}, {"b", "t", "10.0.0.1:1", ready, 9, 1}},
			map[cleat.UpstreamID]cleat.UpstreamPhase{"b": ready},
		},
		"an old announcement after the address was reused": {
			[]announcement{{"b", "t", "10.0.0.1:1", ready, 9, 1}, {"a", "s", "10.0.0.1:1", ready, 5, 3}},
			map[cleat.UpstreamID]cleat.UpstreamPhase{"b": ready},
		},
		"an announcement after the withdrawal of its incarnation": {
			[]announcement{{"a", "s", "10.0.0.1:1", ready, 5, 1}, {id: "a"}, {"a", "s", "10.0.0.1:1", ready, 5, 2}},
			map[cleat.UpstreamID]cleat.UpstreamPhase{},
		},
		"a withdrawal before the first announcement": {
			[]announcement{{id: "a"}, {"a", "s", "10.0.0.1:1", ready, 5, 2}, {"a", "s", "10.0.0.1:1", ready, 5, 3}},
			map[cleat.UpstreamID]cleat.UpstreamPhase{},
		},
		"a new incarnation after the withdrawal of the previous one": {
			[]announcement{{"a", "s", "10.0.0.1:1", ready, 5, 1}, {id: "a"}, {"a", "s", "10.0.0.1:1", ready, 9, 1}},
			map[cleat.UpstreamID]cleat.UpstreamPhase{"a": ready},
		},
		"the withdrawal of an upstream that reused the address of an earlier one": {
			[]announcement{{"a", "s", "10.0.0.1:1", ready, 5, 1}, {"b", "t", "10.0.0.1:1", ready, 9, 1}, {id: "b"}},
			map[cleat.UpstreamID]cleat.UpstreamPhase{},
		},
	}
	for name, c := range cases {
		It("returns the usable upstreams after "+name, func() {
			t := roster.New()
			for i, a := range c.announcements {
				at := now.Add(time.Duration(i) * time.Second)
				if a.phase == "" {
					t.Withdraw(at, a.id)
					continue
				}
				t.Add(at, a.record())
			}
			usable := make(map[cleat.UpstreamID]cleat.UpstreamPhase)
			for _, r := range t.Usable() {
				usable[r.Upstream] = r.Phase
			}
			Expect(usable).To(Equal(c.usable))
		})
	}

	It("converges for different orders of the same announcements", func() {
		all := []announcement{
			{"a", "s", "10.0.0.1:1", ready, 5, 1},
			{"a", "s", "10.0.0.1:1", leaving, 5, 2},
			{"a", "s", "10.0.0.2:1", ready, 9, 1},
			{"b", "t", "10.0.0.1:1", ready, 7, 4},
		}
		var want []cleat.UpstreamRecord
		for _, order := range [][]int{{0, 1, 2, 3}, {3, 2, 1, 0}, {2, 0, 3, 1}, {1, 3, 0, 2}} {
			t := roster.New()
			for _, i := range order {
				t.Add(now, all[i].record())
			}
			if want == nil {
				want = t.Usable()
			}
			Expect(t.Usable()).To(Equal(want))
		}
	})

	It("reports only changes that must be forwarded", func() {
		t := roster.New()
		Expect(t.Add(now, announcement{"a", "s", "10.0.0.1:1", ready, 5, 1}.record())).To(BeTrue())
		Expect(t.Add(now, announcement{"a", "s", "10.0.0.1:1", ready, 5, 2}.record())).To(BeFalse())
		Expect(t.Add(now, announcement{"a", "s", "10.0.0.1:1", leaving, 5, 3}.record())).To(BeTrue())
		_, changed := t.Withdraw(now, "a")
		Expect(changed).To(BeTrue())
		_, changed = t.Withdraw(now, "a")
		Expect(changed).To(BeFalse())
	})

	It("forwards the version of an upstream, and keeps it when a record without one follows", func() {
		t := roster.New()
		first := announcement{"a", "s", "10.0.0.1:1", ready, 5, 1}.record()
		Expect(t.Add(now, first)).To(BeTrue())
		second := announcement{"a", "s", "10.0.0.1:1", ready, 5, 2}.record()
		second.Version = "v1"
		Expect(t.Add(now, second)).To(BeTrue())
		Expect(t.Add(now, announcement{"a", "s", "10.0.0.1:1", leaving, 5, 3}.record())).To(BeTrue())
		r, ok := t.ByID("a")
		Expect(ok).To(BeTrue())
		Expect(r.Version).To(Equal("v1"))
		Expect(t.Add(now, announcement{"a", "s", "10.0.0.1:1", ready, 9, 1}.record())).To(BeTrue())
		r, _ = t.ByID("a")
		Expect(r.Version).To(BeEmpty())
	})

	It("states the version of a service only while all its upstreams have had the same", func() {
		t := roster.New()
		const window = 20 * time.Second
		add := func(at time.Time, id cleat.UpstreamID, address, version string, born int64) {
			r := announcement{id, "s", address, ready, born, 5}.record()
			r.Version = version
			t.Add(at, r)
		}
		versionAt := func(at time.Time) string {
			t.ExtendKnowledge(at, 2*window)
			version, doubt := t.SoleVersion(at, "s", window)
			Expect(doubt == roster.DoubtNone).To(Equal(version != ""))
			return version
		}
		Expect(versionAt(now)).To(BeEmpty())
		add(now, "a", "10.0.0.1:1", "v1", 5)
		add(now, "b", "10.0.0.1:2", "v1", 5)
		Expect(versionAt(now)).To(Equal("v1"))
		add(now, "c", "10.0.0.1:3", "v2", 5)
		Expect(versionAt(now)).To(BeEmpty())
		t.Withdraw(now, "a")
		add(now, "d", "10.0.0.1:2", "v2", 9)
		Expect(versionAt(now.Add(window))).To(BeEmpty())
		Expect(versionAt(now.Add(window + 1))).To(Equal("v2"))
	})

	It("keeps an upstream that says in answers that it leaves from use until its next incarnation", func() {
		t := roster.New()
		phases := func() map[cleat.UpstreamID]cleat.UpstreamPhase {
			m := make(map[cleat.UpstreamID]cleat.UpstreamPhase)
			for _, r := range t.Usable() {
				m[r.Upstream] = r.Phase
			}
			return m
		}
		Expect(t.MarkLeaving("a", 5)).To(BeFalse(), "unknown")
		t.Add(now, announcement{"a", "s", "10.0.0.1:1", ready, 5, 1}.record())
		Expect(t.MarkLeaving("a", 4)).To(BeFalse(), "an earlier incarnation")
		Expect(t.MarkLeaving("a", 5)).To(BeTrue())
		Expect(t.MarkLeaving("a", 5)).To(BeFalse(), "known")
		Expect(phases()).To(HaveKeyWithValue(cleat.UpstreamID("a"), leaving))
		t.Add(now, announcement{"a", "s", "10.0.0.1:1", ready, 5, 9}.record())
		Expect(phases()).To(HaveKeyWithValue(cleat.UpstreamID("a"), leaving), "after a delayed announcement")
		t.Add(now, announcement{"a", "s", "10.0.0.1:1", leaving, 5, 10}.record())
		Expect(phases()).To(HaveKeyWithValue(cleat.UpstreamID("a"), leaving))
		t.Add(now, announcement{"a", "s", "10.0.0.1:1", ready, 7, 1}.record())
		Expect(phases()).To(HaveKeyWithValue(cleat.UpstreamID("a"), ready), "after its restart under the same id")
		t.MarkLeaving("a", 7)
		t.Add(now, announcement{"b", "s", "10.0.0.1:1", ready, 8, 1}.record())
		Expect(phases()).To(Equal(map[cleat.UpstreamID]cleat.UpstreamPhase{"b": ready}), "another at its address")
		t.Withdraw(now, "b")
		Expect(t.MarkLeaving("b", 8)).To(BeFalse(), "gone")
		Expect(phases()).To(BeEmpty())
	})

	// DRAIN, review/3 and review/4: the withdrawal of an upstream that control had forgotten was dropped
	// by all that knew the upstream.
	Describe("a withdrawal by an instance that doesn't know the upstream", func() {
		withdrawn := func(at time.Time) *cleat.UpstreamUpdate {
			other := roster.New()
			other.Withdraw(at, "a")
			return other.Complete(now.Add(time.Minute))
		}
		apply := func(t *roster.Table, at time.Time, m *cleat.UpstreamUpdate) bool {
			changed := false
			for i, when := range t.ApplyTimes(at, m) {
				changed = t.Add(when, m.Records[i]) || changed
			}
			return changed
		}

		It("ends the incarnation that is known, and passes it on with its start time", func() {
			t := roster.New()
			t.Add(now, announcement{"a", "s", "10.0.0.1:1", ready, 5, 1}.record())
			t.Add(now.Add(50*time.Second), announcement{"a", "s", "10.0.0.1:1", ready, 5, 2}.record())
			m := withdrawn(now.Add(10 * time.Second))
			Expect(apply(t, now.Add(time.Minute), m)).To(BeTrue())
			Expect(t.Usable()).To(BeEmpty())
			r, _ := t.ByID("a")
			Expect(r.StartedAtMillis).To(BeEquivalentTo(5))
			Expect(apply(t, now.Add(time.Minute), m)).To(BeFalse(), "known")
			t.Add(now.Add(time.Minute), announcement{"a", "s", "10.0.0.1:1", ready, 5, 3}.record())
			Expect(t.Usable()).To(BeEmpty(), "after a late announcement")
			t.Add(now.Add(time.Minute), announcement{"a", "s", "10.0.0.1:1", ready, 9, 1}.record())
			Expect(t.Usable()).To(HaveLen(1), "the next incarnation")
		})

		It("leaves an incarnation alone that started after it", func() {
			t := roster.New()
			t.Add(now, announcement{"a", "s", "10.0.0.1:1", ready, 5, 1}.record())
			started := now.Add(20 * time.Second)
			t.Add(started, announcement{"a", "s", "10.0.0.1:1", ready, started.UnixMilli(), 1}.record())
			Expect(apply(t, now.Add(time.Minute), withdrawn(now.Add(10*time.Second)))).To(BeFalse())
			Expect(t.Usable()).To(HaveLen(1))
		})

		It("learns its incarnation from those that know it", func() {
			t, other := roster.New(), roster.New()
			other.Withdraw(now, "a")
			t.Add(now, announcement{"a", "s", "10.0.0.1:1", ready, 5, 1}.record())
			apply(t, now.Add(time.Second), other.Complete(now.Add(time.Second)))
			apply(other, now.Add(time.Second), t.Complete(now.Add(time.Second)))
			other.Add(now.Add(2*time.Second), announcement{"a", "s", "10.0.0.1:1", ready, 9, 1}.record())
			Expect(other.Usable()).To(HaveLen(1), "the next incarnation")
		})
	})

	// DRAIN, review/5: what an upstream announced after its clock was set back was acknowledged and dropped.
	Describe("an upstream that announces an earlier start than before", func() {
		var control, entry *roster.Table
		BeforeEach(func() { control, entry = roster.New(), roster.New() })
		announce := func(after time.Duration, phase cleat.UpstreamPhase, started int64, seq uint64) {
			r := announcement{"a", "s", "10.0.0.1:1", phase, started, seq}.record()
			if r, ok := control.Identify(now.Add(after), r); ok && control.AddAnnounced(now.Add(after), r) {
				entry.Add(now.Add(after), r)
			}
		}
		phase := func() cleat.UpstreamPhase {
			c, _ := control.ByID("a")
			e, _ := entry.ByID("a")
			Expect(e.Phase).To(Equal(c.Phase))
			Expect(e.StartedAtMillis).To(Equal(c.StartedAtMillis))
			return e.Phase
		}

		It("is out of use until it is clear that it restarted, and is heard then", func() {
			announce(0, ready, 9, 1)
			announce(time.Second, ready, 5, 1)
			Expect(phase()).To(Equal(leaving))
			announce(2*time.Second, ready, 5, 2)
			Expect(phase()).To(Equal(leaving))
			announce(3*time.Second, ready, 5, 3)
			Expect(phase()).To(Equal(ready))
			announce(4*time.Second, ready, 9, 2)
			Expect(phase()).To(Equal(leaving), "which one serves is unclear")
			announce(5*time.Second, ready, 5, 4)
			Expect(phase()).To(Equal(ready))
			announce(6*time.Second, leaving, 5, 5)
			Expect(phase()).To(Equal(leaving))
			announce(7*time.Second, ready, 12, 1)
			Expect(phase()).To(Equal(ready), "the next incarnation")
			announce(8*time.Second, leaving, 5, 6)
			Expect(phase()).To(Equal(ready), "a late announcement")
		})

		It("leaves as soon as it says so", func() {
			announce(0, ready, 9, 1)
			announce(time.Second, leaving, 5, 1)
			Expect(phase()).To(Equal(leaving))
		})

		It("stays the known incarnation that goes on announcing itself", func() {
			announce(0, ready, 9, 1)
			announce(time.Second, ready, 5, 7)
			announce(2*time.Second, ready, 9, 2)
			Expect(phase()).To(Equal(ready))
			announce(4*time.Second, ready, 5, 8)
			announce(5*time.Second, ready, 9, 3)
			Expect(phase()).To(Equal(ready))
			r, _ := entry.ByID("a")
			Expect(r.StartedAtMillis).To(BeEquivalentTo(9))
		})

		It("is known to entries when control instances have forgotten the former incarnation", func() {
			announce(0, ready, 9, 1)
			for i := range 4 {
				announce(time.Duration(1+i)*time.Second, ready, 5, uint64(1+i))
			}
			control = roster.New()
			announce(6*time.Second, leaving, 5, 6)
			e, _ := entry.ByID("a")
			Expect(e.Phase).To(Equal(leaving))
		})
	})

	// ORDER: an instance forgot the upstreams that announced themselves to another one for over a minute.
	It("keeps an upstream that goes on announcing itself to another process", func() {
		heard, told := roster.New(), roster.New()
		r := announcement{"a", "s", "10.0.0.1:1", ready, 5, 0}.record()
		at := now
		run := func(d time.Duration, announces bool) {
			for end := at.Add(d); at.Before(end); at = at.Add(time.Second) {
				if r.Sequence++; announces && heard.AddAnnounced(at, r) {
					told.Add(at, r)
				}
				if r.Sequence%uint64(roster.RenewInterval/time.Second) == 0 {
					for _, renewed := range heard.Renewals(at) {
						Expect(told.Add(at, renewed)).To(BeFalse(), "no news")
					}
				}
				heard.Tick(at)
				told.Tick(at)
			}
		}
		run(5*time.Minute+time.Second, true)
		Expect(told.Usable()).To(HaveLen(1))
		Expect(heard.Renewals(at)).To(HaveLen(1))
		Expect(heard.Renewals(at)).To(BeEmpty(), "told already")
		run(roster.AnnouncementTimeout+2*roster.RenewInterval, false)
		Expect(heard.List()).To(BeEmpty())
		Expect(told.List()).To(BeEmpty())
	})

	It("keeps an upstream without announcements until AnnouncementTimeout", func() {
		t := roster.New()
		t.Add(now, announcement{"a", "s", "10.0.0.1:1", ready, 5, 1}.record())
		t.Tick(now.Add(20 * time.Second))
		Expect(t.Usable()).To(HaveLen(1))
		t.Tick(now.Add(roster.AnnouncementTimeout))
		Expect(t.List()).To(BeEmpty())
	})
})

var _ = Describe("Check", func() {
	valid := announcement{"a", "s", "10.0.0.1:1", ready, 5, 1}
	cases := map[string]struct {
		change func(*cleat.UpstreamRecord)
		ok     bool
	}{
		"all fields":                           {func(*cleat.UpstreamRecord) {}, true},
		"no service":                           {func(r *cleat.UpstreamRecord) { r.Service = "" }, false},
		"a host name instead of an IP address": {func(r *cleat.UpstreamRecord) { r.Address = "host:1" }, false},
		"no port":                              {func(r *cleat.UpstreamRecord) { r.Address = "10.0.0.1" }, false},
		"an unknown phase":                     {func(r *cleat.UpstreamRecord) { r.Phase = "resting" }, false},
		"no slots":                             {func(r *cleat.UpstreamRecord) { r.Slots = 0 }, false},
		"no upstream":                          {func(r *cleat.UpstreamRecord) { r.Upstream = "" }, false},
	}
	for name, c := range cases {
		It("accepts or rejects a record with "+name, func() {
			r := valid.record()
			c.change(&r)
			Expect(roster.Check(&r) == nil).To(Equal(c.ok))
		})
	}
})
