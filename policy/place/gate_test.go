package place_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/place"
)

// turnAway submits a plain job until the upstream gets one, and lets it answer 503 with
// a pause. It returns when the pause was recorded.
func (r *rig) turnAway(i int, pause time.Duration) time.Time {
	for range 50 {
		v := r.submit(r.plainJob())
		if v.Upstream.Upstream == r.records[i].Upstream {
			r.RecordPause(r.now, r.records[i], pause)
			r.RecordEnd(r.now, v.Job, place.OutcomeFull)
			return r.now
		}
		r.RecordFirstEvent(r.now, v.Job)
		r.RecordEnd(r.now, v.Job, place.OutcomeServed)
		r.now = r.now.Add(time.Millisecond)
	}
	Fail("the upstream gets no job")
	return r.now
}

// Servers in need answer 503 with a Retry-After while requests come at an even rate.
var _ = Describe("Planner with upstreams that want a pause", func() {
	const pause = 6 * time.Second

	It("sends nothing to one of them until its pause ends, while the others share its load", func() {
		r := newRig(0, 4, 0)
		from := r.turnAway(0, pause)
		for r.now.Before(from.Add(pause)) {
			list := r.flood(10*time.Millisecond, 500*time.Millisecond, r.plainJob)
			n := placedAt(list)
			if r.now.Before(from.Add(pause)) {
				Expect(n["d0"]).To(BeZero())
				Expect(len(list)).To(BeNumerically(">=", 49))
				for _, other := range []string{"d1", "d2", "d3"} {
					Expect(n[other]).To(BeNumerically("~", len(list)/3, len(list)/10))
				}
			}
		}
		r.flood(10*time.Millisecond, 3*time.Second, r.plainJob)
		list := r.flood(10*time.Millisecond, time.Second, r.plainJob)
		Expect(placedAt(list)["d0"]).To(BeNumerically("~", len(list)/4, len(list)/10), "after the pause")
	})

	It("refuses at once when all want one, and names the time at which the first ends", func() {
		r := newRig(0, 2, 0)
		r.turnAway(0, pause)
		r.turnAway(1, 2*time.Second)
		for range 50 {
			v := r.submit(r.plainJob())
			Expect(v.Placed()).To(BeFalse())
			Expect(v.Reason).To(Equal(place.ReasonPaused))
			Expect(v.RetryAfter).To(BeNumerically("~", 2250*time.Millisecond, 900*time.Millisecond))
			Expect(v.RetryAfter).To(BeNumerically(">=", 1900*time.Millisecond))
		}
		r.now = r.now.Add(3 * time.Second)
		Expect(r.submit(r.plainJob()).Upstream.Upstream).To(Equal(cleat.UpstreamID("d1")))
	})

	It("refuses waiting jobs at once when the last upstream wants a pause", func() {
		r := newRig(0, 1, 0)
		var sent []*place.Job
		for {
			j := r.plainJob()
			if _, decided := r.Submit(r.now, j); !decided {
				break
			}
			sent = append(sent, j)
		}
		r.RecordPause(r.now, r.records[0], pause)
		r.RecordEnd(r.now, sent[0], place.OutcomeFull)
		Expect(r.Dispatch(r.now)).To(ConsistOf(HaveField("Reason", place.ReasonPaused)))
	})

	It("lets one job go first after a pause, then ever more", func() {
		r := newRig(0, 1, 0)
		r.turnAway(0, pause)
		r.now = r.now.Add(2 * pause)
		first := r.submit(r.plainJob())
		Expect(first.Placed()).To(BeTrue())
		second := r.plainJob()
		_, decided := r.Submit(r.now, second)
		Expect(decided).To(BeFalse())
		r.RecordFirstEvent(r.now, first.Job)
		r.RecordEnd(r.now, first.Job, place.OutcomeServed)
		Expect(r.Dispatch(r.now)).To(ConsistOf(HaveField("Job", second)))
	})

	backoffs := map[place.Outcome]time.Duration{place.OutcomeUnreachable: 200 * time.Millisecond, place.OutcomeShutDown: 3 * time.Second}
	for outcome, backoff := range backoffs {
		It(fmt.Sprintf("sends nothing for %v to an upstream that could not be connected", backoff), func() {
			r := newRig(0, 2, 0)
			v := r.submit(r.plainJob())
			lost := v.Upstream.Upstream
			r.RecordEnd(r.now, v.Job, outcome)
			for r.now.Before(start.Add(backoff)) {
				v := r.submit(r.plainJob())
				Expect(v.Upstream.Upstream).NotTo(Equal(lost))
				r.RecordEnd(r.now, v.Job, place.OutcomeServed)
				r.now = r.now.Add(50 * time.Millisecond)
			}
		})
	}

	cases := map[string]struct {
		pauses    []time.Duration
		restarted bool
		until     time.Duration // Zero if jobs are sent at once.
	}{
		"one":                          {[]time.Duration{4 * time.Second}, false, 4 * time.Second},
		"a shorter one after a longer": {[]time.Duration{4 * time.Second, time.Second}, false, 4 * time.Second},
		"a longer one after a shorter": {[]time.Duration{time.Second, 4 * time.Second}, false, 4 * time.Second},
		"no time":                      {[]time.Duration{0}, false, 0},
		"a negative one":               {[]time.Duration{-time.Second}, false, 0},
		"one before its restart":       {[]time.Duration{4 * time.Second}, true, 0},
	}
	for name, c := range cases {
		It("keeps to the pause of an upstream that named "+name, func() {
			r := newRig(0, 1, 0)
			for _, d := range c.pauses {
				r.RecordPause(r.now, r.records[0], d)
			}
			if c.restarted {
				r.records[0].StartedAtMillis++
				r.SetUpstreams(r.records)
			}
			for step := time.Duration(0); step < c.until; step += 100 * time.Millisecond {
				r.now = start.Add(step)
				Expect(r.submit(r.plainJob()).Placed()).To(BeFalse(), "after %v", step)
			}
			r.now = start.Add(c.until + c.until/2)
			Expect(r.submit(r.plainJob()).Placed()).To(BeTrue())
		})
	}

	It("lets entries that were turned away together return one after the other", func() {
		ends := make(map[time.Duration]bool)
		for i := range 20 {
			r := newRig(0, 1, 0)
			r.Planner = place.New(place.Config{Self: cleat.InstanceID(rune('a' + i)), Domain: "a"})
			r.SetServices([]cleat.Service{{Name: plainService}}, 0)
			r.SetUpstreams(r.records)
			r.RecordPause(r.now, r.records[0], 4*time.Second)
			for r.now = start.Add(4 * time.Second); !r.submit(r.plainJob()).Placed(); {
				r.now = r.now.Add(50 * time.Millisecond)
			}
			ends[r.now.Sub(start)] = true
		}
		Expect(len(ends)).To(BeNumerically(">=", 8))
	})
})

// A request is placed, and its connection is being opened, when the news arrives.
var _ = Describe("A job that was placed but not sent yet", func() {
	news := map[string]struct {
		arrive func(r *rig)
		sent   bool
	}{
		"nothing":                      {func(*rig) {}, true},
		"a pause":                      {func(r *rig) { r.RecordPause(r.now, r.records[0], time.Second) }, false},
		"that its upstream leaves":     {func(r *rig) { r.records[0].Phase = cleat.UpstreamLeaving; r.SetUpstreams(r.records) }, false},
		"that its upstream is gone":    {func(r *rig) { r.SetUpstreams(nil) }, false},
		"that its upstream restarted":  {func(r *rig) { r.records[0].StartedAtMillis++; r.SetUpstreams(r.records) }, false},
		"that its address has changed": {func(r *rig) { r.records[0].Address = "10.0.0.9:1"; r.SetUpstreams(r.records) }, false},
		"a rate limit":                 {func(r *rig) { r.RecordRateLimit(r.now, r.now, r.records[0], 2) }, false},
		"a new upstream":               {func(r *rig) { r.SetUpstreams(append(r.records, upstream("d9", plainService, 2))) }, true},
	}
	for name, c := range news {
		It("is sent only if its upstream may still be used, after the news: "+name, func() {
			r := newRig(0, 1, 0)
			v := r.submit(r.plainJob())
			Expect(v.Placed()).To(BeTrue())
			c.arrive(r)
			Expect(r.MaySend(r.now, v.Job)).To(Equal(c.sent))
		})
	}
})

// Four of eight plain servers name a limit for some seconds, then none; all the time the
// others could take the load.
var _ = Describe("Planner after the end of a rate limit", func() {
	It("tries the limited upstreams again although the others have room", func() {
		r := newRig(0, 8, 0)
		r.limit(2, 0, 1, 2, 3)
		list := r.flood(20*time.Millisecond, 10*time.Second, r.plainJob)
		n := placedAt(list)
		for i, id := range []string{"d0", "d1", "d2", "d3"} {
			Expect(n[id]).To(BeNumerically(">", 0), "server %d gets requests from which the end of the limit could be seen", i)
		}
	})
})
