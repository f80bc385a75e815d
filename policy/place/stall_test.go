package place_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/place"
)

var _ = Describe("Planner, jobs that engines pass over", func() {
	const interval = place.StallCheckInterval

	// watch calls Stalled at intervals, as an entry does, and returns all that it returns.
	watch := func(r *rig, d time.Duration) (list []*place.Job) {
		for until := r.now.Add(d); r.now.Before(until); r.now = r.now.Add(interval) {
			list = append(list, r.Stalled(r.now, 0)...)
		}
		return list
	}
	// send submits a prompt of 2,000 tokens to the only engine.
	send := func(r *rig) *place.Job {
		j := r.prompt("w", 1, 0, 2000, 10)
		Expect(r.submit(j).Placed()).To(BeTrue())
		Expect(r.MaySend(r.now, j)).To(BeTrue())
		return j
	}
	newWatched := func() *rig {
		r := newRig(1, 0, 0)
		watch(r, 2*time.Second)
		return r
	}

	// FAIR on qila-ops-grown: requests that engines hang were waited for until their callers left.
	It("are stalled once a later one has begun, and don't count as backlog or service then", func() {
		r := newWatched()
		hung := send(r)
		watch(r, 500*time.Millisecond)
		Expect(r.Stalled(r.now, 0)).To(BeEmpty())
		later := send(r)
		r.now = r.now.Add(interval)
		r.begin(later)
		Expect(r.Stalled(r.now, 0)).To(ConsistOf(hung))
		r.RecordEnd(r.now, hung, place.OutcomeStalled)
		Expect(r.Stalled(r.now, 0)).To(BeEmpty())
		Expect(r.ShareUsage(r.now, "w").Pending).To(BeZero())
		Expect(r.Report(r.now).Loads[0].PendingPrefill).To(BeZero())
	})

	It("are not stalled before they are overdue, by one that was sent soon after, or by a new incarnation", func() {
		r := newWatched()
		send(r)
		watch(r, 200*time.Millisecond)
		r.begin(send(r))
		Expect(watch(r, 250*time.Millisecond)).To(BeEmpty())
		r = newWatched()
		first := send(r)
		Expect(watch(r, 500*time.Millisecond)).To(BeEmpty())
		r.records[0].StartedAtMillis = 2
		r.SetUpstreams(r.records)
		later := send(r)
		r.begin(later)
		Expect(r.Stalled(r.now, 0)).NotTo(ContainElement(first))
	})

	for name, c := range map[string]struct {
		delay   time.Duration // Of the report on the later job.
		stopped time.Duration // For which the entry wasn't running.
		stalled int
	}{
		"by one that another entry sent":                          {stalled: 1},
		"not by one that another entry sent before, if told late": {delay: 1500 * time.Millisecond},
		"not soon after the entry was stopped, by what it reads":  {stopped: 800 * time.Millisecond},
	} {
		It("are stalled "+name, func() {
			r, other := newWatched(), newRigOf("other", 1, 0, 0)
			other.now = r.now
			for range 3 { // Relates the clocks.
				r.ApplyReport(r.now, "other", other.Report(r.now))
			}
			later := (*place.Job)(nil)
			if c.delay > 0 { // The other entry's job is the earlier one.
				later = send(other)
				other.begin(later)
			}
			send(r)
			watch(r, 500*time.Millisecond)
			other.now = r.now
			if later == nil {
				later = send(other)
				other.begin(later)
			}
			report := other.Report(other.now)
			if c.stopped > 0 {
				r.now = r.now.Add(c.stopped)
			} else {
				watch(r, max(c.delay, interval))
			}
			r.ApplyReport(r.now, "other", report)
			Expect(r.Stalled(r.now, 0)).To(HaveLen(c.stalled))
		})
	}

	It("are granted the lag of a busy entry, before and after it reads events", func() {
		r := newWatched()
		send(r)
		watch(r, 700*time.Millisecond)
		r.begin(send(r))
		Expect(r.Stalled(r.now, 300*time.Millisecond)).To(BeEmpty())
		Expect(r.Stalled(r.now, 100*time.Millisecond)).To(HaveLen(1))
	})

	It("are stalled once they are overdue, at an engine that begins nothing", func() {
		r := newWatched()
		first := send(r)
		r.now = r.now.Add(interval)
		second := send(r)
		Expect(watch(r, 1500*time.Millisecond)).To(ConsistOf(first, second))
	})

	// FAIR on qila-ops-grown: stuck requests that may not be sent again waited for their
	// callers for seconds after the keys of their workspace had been revoked.
	It("are ended on a last attempt only if both overdue and passed over, but are no backlog before", func() {
		r := newWatched()
		sendLast := func() *place.Job {
			j := r.prompt("w", 1, 0, 2000, 10)
			j.LastAttempt = true
			Expect(r.submit(j).Placed()).To(BeTrue())
			Expect(r.MaySend(r.now, j)).To(BeTrue())
			return j
		}
		last := sendLast()
		watch(r, 400*time.Millisecond)
		r.begin(send(r))
		Expect(r.Stalled(r.now, 0)).To(BeEmpty())
		Expect(r.Report(r.now).Loads[0].PendingPrefill).To(BeZero())
		Expect(watch(r, time.Second)).To(ConsistOf(last))

		r = newWatched()
		last = sendLast()
		Expect(watch(r, 3*time.Second)).To(BeEmpty())
		Expect(r.Report(r.now).Loads[0].PendingPrefill).To(BeZero())
		r.begin(send(r))
		Expect(r.Stalled(r.now, 0)).To(ConsistOf(last))
	})

	// An attempt that was connected slowly was never ended when its engine hung it.
	It("are stalled by what begins after they were sent, not while they were being connected", func() {
		r := newWatched()
		slow := r.prompt("w", 1, 0, 2000, 10)
		Expect(r.submit(slow).Placed()).To(BeTrue())
		watch(r, 500*time.Millisecond)
		r.begin(send(r))
		watch(r, 300*time.Millisecond)
		Expect(r.MaySend(r.now, slow)).To(BeTrue())
		usage, load := r.ShareUsage(r.now, "w"), r.Report(r.now).Loads[0]
		Expect(usage.Pending).To(BeNumerically(">", 0))
		Expect(load.PendingPrefill).To(BeNumerically(">", 0))
		Expect(watch(r, 500*time.Millisecond)).To(BeEmpty())
		r.begin(send(r))
		Expect(r.Stalled(r.now, 0)).To(ConsistOf(slow))
		r.RecordEnd(r.now, slow, place.OutcomeStalled)
		Expect(r.Report(r.now).Loads[0].PendingPrefill).To(BeZero())
	})

	It("are not stalled by answers that aren't streams", func() {
		r := newWatched()
		send(r)
		watch(r, 500*time.Millisecond)
		later := send(r)
		r.RecordFirstOutput(later, 0)
		r.RecordFirstEvent(r.now, later)
		Expect(r.Stalled(r.now, 0)).To(BeEmpty())
	})

	It("are not stalled by what an entry reports soon after its start, when reports may be late", func() {
		r := newWatched()
		send(r)
		watch(r, 500*time.Millisecond)
		r.ApplyReport(r.now, "other", &cleat.PlacementReport{Seq: 1, Clock: 1000, Loads: []cleat.UpstreamLoad{{Upstream: "m0", BegunAge: 1}}})
		Expect(r.Stalled(r.now, 0)).To(BeEmpty())
	})

	It("are granted the prefill of a long prompt", func() {
		r := newWatched()
		long := r.prompt("w", 1, 0, 30000, 10)
		long.Target = r.now.Add(5 * time.Second)
		Expect(r.submit(long).Placed()).To(BeTrue())
		watch(r, 500*time.Millisecond)
		short := r.prompt("w", 1, 0, 100, 10)
		short.Target = r.now.Add(5 * time.Second)
		Expect(r.submit(short).Placed()).To(BeTrue())
		r.begin(short)
		Expect(r.Stalled(r.now, 0)).To(BeEmpty())
	})
})
