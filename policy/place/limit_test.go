package place_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat/policy/place"
)

// limit makes upstreams name a rate limit now.
func (r *rig) limit(rate float64, upstreams ...int) {
	for _, i := range upstreams {
		r.RecordRateLimit(r.now, r.now, r.records[i], rate)
	}
}

// flood submits plain jobs at an interval, with reports each 50 ms, and returns the
// verdicts in order.
func (r *rig) flood(interval, lasts time.Duration, submit func() *place.Job) []place.Verdict {
	var list []place.Verdict
	end := r.now.Add(lasts)
	for step := 0; r.now.Before(end); step++ {
		r.now = r.now.Add(interval)
		if v, decided := r.Submit(r.now, submit()); decided {
			list = append(list, v)
		}
		if step%max(1, int(50*time.Millisecond/interval)) == 0 {
			r.Report(r.now)
		}
		list = append(list, r.Dispatch(r.now)...)
		for _, v := range list[max(0, len(list)-8):] {
			if v.Placed() {
				r.RecordEnd(r.now, v.Job, place.OutcomeServed)
			}
		}
	}
	return list
}

// placedAt counts the jobs placed at each upstream.
func placedAt(list []place.Verdict) map[string]int {
	n := make(map[string]int)
	for _, v := range list {
		if v.Placed() {
			n[string(v.Upstream.Upstream)]++
		}
	}
	return n
}

var _ = Describe("Planner with rate limits", func() {
	It("sends to the upstreams without a limit what a limited one doesn't take", func() {
		r := newRig(0, 3, 0)
		r.limit(2, 0)
		list := r.flood(10*time.Millisecond, 10*time.Second, r.plainJob)
		n := placedAt(list)
		Expect(n["d0"]).To(BeNumerically("<=", 2*10+2))
		Expect(n["d1"] + n["d2"] + n["d0"]).To(Equal(len(list)))
	})

	It("uses all limits and refuses the rest at once when every upstream has one", func() {
		r := newRig(0, 3, 0)
		r.limit(4, 0, 1, 2)
		list := r.flood(10*time.Millisecond, 10*time.Second, r.plainJob)
		n := placedAt(list)
		for _, id := range []string{"d0", "d1", "d2"} {
			Expect(n[id]).To(BeNumerically("~", 4*10, 5), id)
		}
		for _, v := range list {
			if !v.Placed() {
				Expect(v.Reason).To(Equal(place.ReasonRateLimit))
				Expect(v.RetryAfter).To(BeNumerically(">=", 100*time.Millisecond))
			}
		}
		Expect(r.Waiting()).To(BeNumerically("<=", 4), "no more wait than get a permit within the objective")
	})

	It("lets resumptions and repeats pass the same limit", func() {
		r := newRig(3, 0, 0)
		r.limit(2, 0, 1, 2)
		list := r.flood(10*time.Millisecond, 5*time.Second, func() *place.Job {
			j := r.prompt("w", r.lastID%9, 100, 100, 20)
			if r.lastID%2 == 0 {
				j.Version = r.records[0].Version
				j.Tried = append(j.Tried, "m2")
			}
			return j
		})
		for id, n := range placedAt(list) {
			Expect(n).To(BeNumerically("<=", 2*5+2), id)
		}
	})

	It("sends long prompts rather than short ones to a limited engine", func() {
		r := newRig(2, 0, 0)
		r.limit(3, 0)
		for range 3 { // Leaves a backlog of 600 ms at the other one, and demand for a permit.
			Expect(r.submit(r.prompt("w", 1, 10, 6000, 20)).Upstream.Upstream).To(BeEquivalentTo("m1"))
		}
		r.Report(r.now)
		r.now = r.now.Add(400 * time.Millisecond)
		r.Report(r.now)
		Expect(r.submit(r.prompt("w", 1e6, 10, 200, 20)).Upstream.Upstream).To(BeEquivalentTo("m1"))
		Expect(r.submit(r.prompt("w", 1e6+1, 10, 6000, 20)).Upstream.Upstream).To(BeEquivalentTo("m0"))
	})

	It("may use the permit of a job that was not sent for another one", func() {
		r := newRig(0, 1, 0)
		r.limit(1, 0)
		sent := 0
		for range 200 { // 10 s.
			r.now = r.now.Add(50 * time.Millisecond)
			r.Report(r.now)
			if v, decided := r.Submit(r.now, r.plainJob()); decided && v.Placed() {
				r.RecordEnd(r.now, v.Job, place.OutcomeNotSent)
				sent++
			}
			for _, v := range r.Dispatch(r.now) {
				if v.Placed() {
					r.RecordEnd(r.now, v.Job, place.OutcomeNotSent)
					sent++
				}
			}
		}
		Expect(sent).To(BeNumerically(">", 20))
	})
})
