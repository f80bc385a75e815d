package place_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/place"
)

var _ = Describe("A planner that joins a fleet", func() {
	const members = 9

	// newJoining returns a planner of a fleet whose capacity is divided, and which has heard of nobody.
	newJoining := func() *rig {
		r := newRigOf("a", 2, 1, 10_000)
		r.SetMembers(members)
		r.Report(r.now)
		return r
	}
	// hear applies the reports of a number of other entries.
	hear := func(r *rig, entries int, joining bool) {
		for i := range entries {
			r.ApplyReport(r.now, cleat.InstanceID(fmt.Sprint("e", i)), &cleat.PlacementReport{Seq: 1, Joining: joining})
		}
	}

	for name, c := range map[string]struct {
		heard   int
		joining bool
		pass    time.Duration
		placed  bool
	}{
		"holds a job while it has heard of nobody":                       {0, false, 10 * time.Millisecond, false},
		"decides once a third of the others were heard":                  {members / 3, false, 10 * time.Millisecond, true},
		"holds a job while those that it has heard have just started":    {members - 1, true, 10 * time.Millisecond, false},
		"decides once all others were heard, though they have started":   {members, true, 10 * time.Millisecond, true},
		"holds a job for no more than a quarter of the time that it has": {0, false, 250 * time.Millisecond, true},
	} {
		It(name, func() {
			r := newJoining()
			_, decided := r.Submit(r.now, r.prompt("w", 1, 10, 10, 1))
			Expect(decided).To(BeFalse())
			Expect(r.Waiting()).To(Equal(1))
			hear(r, c.heard, c.joining)
			r.now = r.now.Add(c.pass)
			verdicts := r.Dispatch(r.now)
			if !c.placed {
				Expect(verdicts).To(BeEmpty())
				return
			}
			Expect(verdicts).To(HaveLen(1))
			Expect(verdicts[0].Placed()).To(BeTrue())
			Expect(r.Waiting()).To(BeZero())
		})
	}

	for name, job := range map[string]func(*rig) *place.Job{
		"holds no job of a plain service":  func(r *rig) *place.Job { return r.plainJob() },
		"holds no job that is tried again": func(r *rig) *place.Job { j := r.prompt("w", 1, 10, 10, 1); j.Tried = []cleat.UpstreamID{"x"}; return j },
		"holds no job that has waited elsewhere": func(r *rig) *place.Job {
			j := r.prompt("w", 1, 10, 10, 1)
			j.Arrived = r.now.Add(-time.Second)
			return j
		},
	} {
		It(name, func() {
			r := newJoining()
			Expect(r.submit(job(r)).Placed()).To(BeTrue())
		})
	}

	It("forgets a held job whose caller leaves", func() {
		r := newJoining()
		j := r.prompt("w", 1, 10, 10, 1)
		_, decided := r.Submit(r.now, j)
		Expect(decided).To(BeFalse())
		r.CancelWaiting(j)
		r.now = r.now.Add(time.Second)
		Expect(r.Dispatch(r.now)).To(BeEmpty())
		Expect(r.Running()).To(BeZero())
	})

	It("tells others whether it has joined", func() {
		r := newJoining()
		Expect(r.Report(r.now).Joining).To(BeTrue())
		Expect(r.Introduction(r.now).Joining).To(BeTrue())
		hear(r, members, false)
		Expect(r.Report(r.now).Joining).To(BeFalse())
	})
})
