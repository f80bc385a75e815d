package permit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/permit"
)

var _ = Describe("Table", func() {
	u := cleat.UpstreamRecord{Upstream: upstreamID, StartedAtMillis: 1}
	var t *permit.Table
	var now time.Time
	BeforeEach(func() {
		t, now = permit.New("a"), start
		t.Observe(now, now, u, 3)
	})

	It("ends a limit with an answer to a request that was sent after it was named", func() {
		now = now.Add(time.Second)
		t.Observe(now, now.Add(-10*time.Millisecond), u, 0)
		Expect(t.Rate(upstreamID)).To(BeZero())
		Expect(t.Allows(now, upstreamID)).To(BeTrue())
	})

	It("keeps a limit when an answer to an earlier request arrives without one", func() {
		now = now.Add(time.Second)
		t.Observe(now, start.Add(-time.Second), u, 0)
		Expect(t.Rate(upstreamID)).To(BeEquivalentTo(3))
	})

	It("lets requests through at a very low limit, so that its end is noticed", func() {
		t.Observe(now, now, u, 1e-9)
		sent := 0
		for range 60 * 20 {
			now = now.Add(50 * time.Millisecond)
			t.Want(now, upstreamID)
			t.Report(now)
			if t.Allows(now, upstreamID) {
				t.Use(now, upstreamID)
				sent++
			}
		}
		Expect(sent).To(BeNumerically("~", 6, 1))
	})

	It("forgets the limit of an upstream that restarts, and takes none from reports about the earlier one", func() {
		next := u
		next.StartedAtMillis = 2
		t.SetUpstreams([]cleat.UpstreamRecord{next})
		Expect(t.Rate(upstreamID)).To(BeZero())
		t.Observe(now, now, next, 5)
		t.Apply(now, "b", []cleat.UpstreamLimit{{Upstream: upstreamID, StartedAtMillis: 1, Rate: 9}})
		Expect(t.Rate(upstreamID)).To(BeEquivalentTo(5))
	})

	It("takes a limit and its end from another entry's newer answer, and not from an older one", func() {
		now = now.Add(time.Second)
		t.Apply(now, "b", []cleat.UpstreamLimit{{Upstream: upstreamID, StartedAtMillis: 1, Rate: 0, Age: 2 * time.Second}})
		Expect(t.Rate(upstreamID)).To(BeEquivalentTo(3))
		t.Apply(now, "b", []cleat.UpstreamLimit{{Upstream: upstreamID, StartedAtMillis: 1, Rate: 7, Age: 100 * time.Millisecond}})
		Expect(t.Rate(upstreamID)).To(BeEquivalentTo(7))
		t.Apply(now, "b", []cleat.UpstreamLimit{{Upstream: upstreamID, StartedAtMillis: 1, Rate: 0}})
		Expect(t.Rate(upstreamID)).To(BeZero())
	})

	It("takes permits only from the entry that grants them", func() {
		grants := []cleat.UpstreamLimit{{Upstream: upstreamID, StartedAtMillis: 1, Rate: 3, Grants: []cleat.PermitGrant{{Entry: "a", Count: 1}}}}
		names := []cleat.InstanceID{"b", "c", "d"}
		for _, name := range names {
			t.Apply(now, name, nil)
		}
		received := 0
		for _, name := range names {
			t.Apply(now, name, grants)
			if t.Allows(now, upstreamID) {
				t.Use(now, upstreamID)
				received++
			}
		}
		Expect(received).To(BeNumerically("<=", 1))
	})

	It("grants no more permits than are wanted, however high the limit", func() {
		t.Observe(now, now, u, 1e20)
		now = now.Add(time.Second)
		t.Want(now, upstreamID)
		t.Report(now)
		now = now.Add(time.Second)
		for range 3 {
			t.Want(now, upstreamID)
		}
		t.Report(now)
		t.Report(now.Add(50 * time.Millisecond))
		Expect(t.Counts(now).Received).To(BeNumerically("<=", 4))
	})

	It("doesn't use a permit once it has expired", func() {
		now = now.Add(time.Second)
		t.Want(now, upstreamID)
		t.Report(now)
		now = now.Add(time.Second)
		t.Report(now)
		Expect(t.Allows(now, upstreamID)).To(BeTrue())
		Expect(t.Allows(now.Add(permit.Lifetime), upstreamID)).To(BeFalse())
	})
})
