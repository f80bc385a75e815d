package place_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/place"
)

const (
	modelService = cleat.ServiceName("model")
	plainService = cleat.ServiceName("desk")
)

var start = time.Unix(1e9, 0)

// rig is a planner with engines and plain upstreams at a simulated time.
type rig struct {
	*place.Planner
	now     time.Time
	lastID  uint64 // ID of the newest job.
	records []cleat.UpstreamRecord
}

func newRig(engines, plain int, tokensPerSec float64) *rig {
	return newRigOf("", engines, plain, tokensPerSec)
}

func newRigOf(self cleat.InstanceID, engines, plain int, tokensPerSec float64) *rig {
	r := &rig{Planner: place.New(place.Config{Self: self, Domain: "a"}), now: start}
	for i := range engines {
		r.records = append(r.records, upstream(fmt.Sprintf("m%d", i), modelService, 64))
	}
	for i := range plain {
		r.records = append(r.records, upstream(fmt.Sprintf("d%d", i), plainService, 2))
	}
	r.SetServices([]cleat.Service{
		{Name: modelService, Engine: &cleat.ModelEngine{Slots: 64, MemoryTokens: 400000, EventTokens: 7}},
		{Name: plainService},
	}, tokensPerSec)
	r.SetUpstreams(r.records)
	return r
}

func upstream(id string, s cleat.ServiceName, slots int) cleat.UpstreamRecord {
	return cleat.UpstreamRecord{
		Upstream: cleat.UpstreamID(id), Service: s, Address: "10.0.0.1:1", Domain: "a", Slots: slots, Phase: cleat.UpstreamReady, StartedAtMillis: 1,
	}
}

// prompt returns a job whose prompt has a prefix block that its session shares and a
// block of its own.
func (r *rig) prompt(w cleat.WorkspaceID, session uint64, shared, own, output int) *place.Job {
	r.lastID++
	return &place.Job{
		ID: r.lastID, Service: modelService, Workspace: w, PromptTokens: shared + own, OutputTokens: output,
		Blocks:  []cleat.PrefixBlock{{Digest: session, Tokens: shared}, {Digest: 1<<32 + r.lastID, Tokens: own}},
		Arrived: r.now, Target: r.now.Add(time.Second), Deadline: r.now.Add(12 * time.Second),
	}
}

func (r *rig) plainJob() *place.Job {
	r.lastID++
	return &place.Job{ID: r.lastID, Service: plainService, Arrived: r.now, Target: r.now.Add(300 * time.Millisecond), Deadline: r.now.Add(4 * time.Second)}
}

// begin records the first event of a job's stream.
func (r *rig) begin(j *place.Job) {
	r.RecordFirstOutput(j, 1)
	r.RecordFirstEvent(r.now, j)
}

// submit submits a job and fails the test when it is not decided at once.
func (r *rig) submit(j *place.Job) place.Verdict {
	v, decided := r.Submit(r.now, j)
	Expect(decided).To(BeTrue())
	return v
}

var _ = Describe("Planner", func() {
	It("sends a session's requests to the upstream that has its shared prefix cached", func() {
		r := newRig(9, 0, 0)
		upstreams := make(map[uint64]cleat.UpstreamID)
		for i := range 60 {
			session := uint64(i % 6)
			v := r.submit(r.prompt("w", session, 5000, 400, 100))
			Expect(v.Placed()).To(BeTrue())
			if first, ok := upstreams[session]; ok {
				Expect(v.Upstream.Upstream).To(Equal(first))
				Expect(v.PrefillTokens).To(Equal(400))
			}
			upstreams[session] = v.Upstream.Upstream
			r.RecordFirstEvent(r.now.Add(200*time.Millisecond), v.Job)
			r.RecordEnd(r.now.Add(time.Second), v.Job, place.OutcomeServed)
			r.now = r.now.Add(2 * time.Second)
		}
	})

	It("chooses the same upstream at entries that have exchanged no reports", func() {
		a, b := newRig(9, 0, 0), newRig(9, 0, 0)
		for session := range uint64(20) {
			x, y := a.submit(a.prompt("w", session, 5000, 100, 50)), b.submit(b.prompt("w", session, 5000, 100, 50))
			Expect(x.Upstream.Upstream).To(Equal(y.Upstream.Upstream))
			a.RecordEnd(a.now, x.Job, place.OutcomeServed)
			b.RecordEnd(b.now, y.Job, place.OutcomeServed)
			a.now, b.now = a.now.Add(3*time.Second), b.now.Add(3*time.Second)
		}
	})

	It("learns cached blocks and load from another entry's report", func() {
		a, b := newRig(9, 0, 0), newRig(9, 0, 0)
		b.lastID = 100
		v := a.submit(a.prompt("w", 7, 5000, 100, 50))
		b.ApplyReport(b.now, "a", a.Report(a.now))
		Expect(b.submit(b.prompt("w", 7, 5000, 100, 50)).PrefillTokens).To(Equal(100))
		Expect(v.PrefillTokens).To(Equal(5100))
	})

	It("refuses requests beyond a workspace's share at once while a small workspace is served", func() {
		r := newRig(2, 0, 20000)
		refused, served := 0, 0
		for i := range 400 {
			w := cleat.WorkspaceID("flood")
			if i%10 == 0 {
				w = "small"
			}
			v, decided := r.Submit(r.now, r.prompt(w, 1, 500, 1500, 50))
			switch {
			case !decided:
			case v.Placed():
				r.RecordFirstEvent(r.now.Add(60*time.Millisecond), v.Job)
				r.RecordEnd(r.now.Add(10*time.Millisecond), v.Job, place.OutcomeServed)
				if w == "small" {
					served++
				}
			case w == "flood":
				Expect(v.Reason).To(Equal(place.ReasonOverShare))
				Expect(v.RetryAfter).To(BeNumerically(">", 0))
				refused++
			}
			r.now = r.now.Add(25 * time.Millisecond)
		}
		Expect(refused).To(BeNumerically(">", 200))
		Expect(served).To(BeNumerically(">=", 36))
	})

	It("spends the share of an oversubscribed workspace on requests that can be answered in time", func() {
		// One workspace requests four times its share, another its own share;
		// refused callers retry once. A job counts as on time when it is sent so
		// early that its engine can prefill it before the objective, counted from
		// the first attempt on.
		const objective = 400 * time.Millisecond
		r := newRig(8, 0, 160000)
		type retry struct {
			firstArrival time.Time
			job          *place.Job
		}
		retries := make(map[int][]retry) // By the step of the retry.
		const step, steps = 10 * time.Millisecond, 1500
		sent, late, tokens := 0, 0, 0
		submitOrRetry := func(i int, w cleat.WorkspaceID, firstArrival time.Time, j *place.Job) {
			v, decided := r.Submit(r.now, j)
			switch {
			case !decided:
				r.CancelWaiting(j)
			case v.Placed():
				prefillTime := time.Duration(float64(v.PrefillTokens+v.BacklogTokens)/30) * time.Millisecond
				if w == "flood" {
					sent, tokens = sent+1, tokens+j.PromptTokens+2*j.OutputTokens
					if r.now.Add(prefillTime).After(firstArrival.Add(objective)) {
						late++
					}
				}
				r.RecordFirstEvent(r.now.Add(prefillTime), j)
				r.RecordEnd(r.now, j, place.OutcomeServed)
			case firstArrival.Equal(r.now):
				again := *j
				retryStep := i + int(v.RetryAfter/step)
				retries[retryStep] = append(retries[retryStep], retry{firstArrival, &again})
			}
		}
		for i := range steps {
			j := r.prompt("flood", uint64(i%9), 1000, 5000, 50)
			j.Target = r.now.Add(objective)
			submitOrRetry(i, "flood", r.now, j)
			if i%4 == 0 {
				submitOrRetry(i, "other", r.now, r.prompt("other", 99, 1000, 5000, 50))
			}
			for _, c := range retries[i] {
				j := *c.job
				r.lastID++
				j.ID, j.Arrived, j.Target, j.Deadline = r.lastID, r.now, r.now.Add(objective), r.now.Add(12*time.Second)
				submitOrRetry(i, "flood", c.firstArrival, &j)
			}
			r.now = r.now.Add(step)
		}
		share := 80000.0 * (steps * step).Seconds() // Half of the capacity of all engines.
		Expect(float64(tokens)).To(BeNumerically(">", 0.9*share))
		Expect(float64(late)).To(BeNumerically("<", 0.02*float64(sent)))
	})

	It("lets a workspace exceed its share while engines are idle", func() {
		r := newRig(4, 0, 1000)
		for range 10 {
			v := r.submit(r.prompt("only", 1, 500, 500, 50))
			Expect(v.Placed()).To(BeTrue())
			r.RecordFirstEvent(r.now, v.Job)
			r.RecordEnd(r.now, v.Job, place.OutcomeServed)
			r.now = r.now.Add(time.Second)
		}
	})

	It("refuses a prompt that can't be prefilled in time instead of letting it wait for its deadline", func() {
		r := newRig(1, 0, 0)
		var waited, refused int
		for range 200 {
			v, decided := r.Submit(r.now, r.prompt("w", 1, 0, 4000, 50))
			switch {
			case !decided:
				waited++
			case !v.Placed():
				Expect(v.Reason).To(Equal(place.ReasonOverload))
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">", 150))
		Expect(waited).To(BeNumerically("<", 30))
	})

	for _, fraction := range []float64{0.5, 0.7, 0.8, 0.95, 1.2, 1.8} {
		It(fmt.Sprintf("sends a prompt at once to an idle engine that prefills it in %v times its objective", fraction), func() {
			r := newRig(3, 0, 0)
			const prefillRate = 30 // Tokens/ms, the initial assumption for an engine without observations.
			v, decided := r.Submit(r.now, r.prompt("w", 1, 0, int(fraction*prefillRate*1000), 100))
			Expect(decided).To(BeTrue())
			Expect(v.Placed()).To(BeTrue())
		})
	}

	It("gives every waiting job a verdict by its deadline", func() {
		r := newRig(1, 0, 0)
		undecided := make(map[uint64]bool)
		for range 60 {
			j := r.prompt("w", 1, 0, 3000, 50)
			if _, decided := r.Submit(r.now, j); !decided {
				undecided[j.ID] = true
			}
		}
		Expect(undecided).NotTo(BeEmpty())
		for r.now.Before(start.Add(12 * time.Second)) {
			r.now = r.now.Add(25 * time.Millisecond)
			for _, v := range r.Dispatch(r.now) {
				delete(undecided, v.Job.ID)
			}
		}
		Expect(undecided).To(BeEmpty())
		Expect(r.Waiting()).To(BeZero())
	})

	It("sends the waiting jobs of the workspace with the least recent usage first", func() {
		r := newRig(1, 0, 0)
		var running []*place.Job
		for len(running) < 200 {
			v, decided := r.Submit(r.now, r.prompt("busy", 1, 0, 2000, 10))
			if !decided || !v.Placed() {
				break
			}
			running = append(running, v.Job)
		}
		light := r.prompt("light", 2, 0, 2000, 10)
		_, decided := r.Submit(r.now, light)
		Expect(decided).To(BeFalse())
		for _, j := range running {
			r.RecordFirstEvent(r.now.Add(50*time.Millisecond), j)
		}
		verdicts := r.Dispatch(r.now.Add(60 * time.Millisecond))
		Expect(verdicts).NotTo(BeEmpty())
		Expect(verdicts[0].Job).To(BeIdenticalTo(light))
	})

	It("never sends to an upstream that is leaving or was already tried", func() {
		r := newRig(0, 3, 0)
		list := []cleat.UpstreamRecord{upstream("d0", plainService, 2), upstream("d1", plainService, 2), upstream("d2", plainService, 2)}
		list[0].Phase = cleat.UpstreamLeaving
		r.SetUpstreams(list)
		j := r.plainJob()
		j.Tried = []cleat.UpstreamID{"d1"}
		Expect(r.submit(j).Upstream.Upstream).To(Equal(cleat.UpstreamID("d2")))
		k := r.plainJob()
		k.Tried = []cleat.UpstreamID{"d1", "d2"}
		Expect(r.submit(k).Reason).To(Equal(place.ReasonNoUpstream))
	})

	It("backs off from an unreachable upstream and tries it again later", func() {
		r := newRig(0, 2, 0)
		var unreachable cleat.UpstreamID
		attempts := make(map[cleat.UpstreamID]int)
		for range 40 {
			v := r.submit(r.plainJob())
			if unreachable == "" {
				unreachable = v.Upstream.Upstream
			}
			if v.Upstream.Upstream == unreachable {
				attempts[unreachable]++
				r.RecordEnd(r.now, v.Job, place.OutcomeUnreachable)
			} else {
				r.RecordEnd(r.now, v.Job, place.OutcomeServed)
			}
			r.now = r.now.Add(400 * time.Millisecond)
		}
		Expect(attempts[unreachable]).To(And(BeNumerically(">", 1), BeNumerically("<", 8)))
	})

	It("discards the load and cache of an upstream's earlier incarnation", func() {
		r := newRig(1, 0, 0)
		Expect(r.submit(r.prompt("w", 1, 5000, 100, 50)).PrefillTokens).To(Equal(5100))
		restarted := upstream("m0", modelService, 64)
		restarted.StartedAtMillis = 2
		r.SetUpstreams([]cleat.UpstreamRecord{restarted})
		Expect(r.submit(r.prompt("w", 1, 5000, 100, 50)).PrefillTokens).To(Equal(5100))
	})

	It("keeps the tokens of running requests within an engine's memory", func() {
		r := newRig(1, 0, 0)
		tokens := 0
		for range 64 {
			v, decided := r.Submit(r.now, r.prompt("w", r.lastID, 0, 15000, 100))
			if decided && v.Placed() {
				tokens += 15100
				r.RecordFirstEvent(r.now.Add(time.Millisecond), v.Job)
			}
			r.now = r.now.Add(2 * time.Second)
		}
		Expect(tokens).To(And(BeNumerically(">", 200000), BeNumerically("<=", 400000)))
	})

	It("doesn't overestimate an engine's prefill rate when other entries overstate their load", func() {
		r := newRig(1, 0, 0)
		const prefillRate = 50 // Tokens/ms.
		for i := range 300 {
			// The report is stale: the engine has prefilled all of these tokens
			// since.
			r.ApplyReport(r.now, "other", &cleat.PlacementReport{Seq: uint64(i + 1), Loads: []cleat.UpstreamLoad{{Upstream: "m0", PendingPrefill: 8000}}})
			v := r.submit(r.prompt("w", 1, 0, 2000, 10))
			Expect(v.Placed()).To(BeTrue())
			r.RecordFirstEvent(r.now.Add(2000/prefillRate*time.Millisecond), v.Job)
			r.RecordEnd(r.now.Add(time.Second), v.Job, place.OutcomeServed)
			r.now = r.now.Add(time.Second)
		}
		// If the rate were learnt from such observations, ten times as much would be
		// sent at once.
		r.ApplyReport(r.now, "other", &cleat.PlacementReport{Seq: 1000})
		sent := 0
		for range 200 {
			v, decided := r.Submit(r.now, r.prompt("w", 1, 0, 2000, 10))
			if !decided || !v.Placed() {
				break
			}
			sent += 2000
		}
		Expect(sent).To(BeNumerically("<=", 2*prefillRate*1000))
	})

	It("reports what a workspace beyond its share requested, was admitted and started, here and elsewhere", func() {
		r := newRig(2, 0, 1000)
		j := r.prompt("w", 1, 0, 5000, 50)
		Expect(r.submit(j).Placed()).To(BeTrue())
		r.submit(r.prompt("w", 1, 0, 5000, 50))
		r.RecordFirstEvent(r.now, j)
		r.ApplyReport(r.now, "other", &cleat.PlacementReport{Seq: 1, Usage: []cleat.WorkspaceUsage{{Workspace: "w", RequestedTokens: 300, AdmittedTokens: 200, RecentTokens: 300, StartedTokens: 150, PendingTokens: 50}}})
		r.now = r.now.Add(time.Second)
		r.submit(r.prompt("w", 1, 0, 900, 50))
		const rate = 1000 * 11200.0 / 11500 // This entry's part of the share.
		Expect(r.OversubscribedUsage(r.now)).To(Equal([]place.ShareUsage{{
			Workspace: "w", Capacity: 4000, Share: 4000, Requested: 4 * 11200, Admitted: 10200, Started: 5100, RequestedElsewhere: 300, AdmittedElsewhere: 200, StartedElsewhere: 150, Pending: 5100 + 50,
			Standing: 1, Headroom: 1, Rate: rate, Credit: 100 - 5100 + rate, ReportAge: time.Second, Refused: place.RefusalCounts{OverShare: 1},
		}}))
	})

	// An entry that restarted counts its reports anew: they were dropped for two seconds.
	It("takes an entry's reports after its restart", func() {
		r := newRig(2, 0, 1000)
		report := func(seq uint64, requested uint32) *cleat.PlacementReport {
			return &cleat.PlacementReport{Seq: seq, Usage: []cleat.WorkspaceUsage{{Workspace: "w", RequestedTokens: requested}}}
		}
		r.ApplyReport(r.now, "other", report(9, 300))
		r.ApplyReport(r.now, "other", report(1, 500))
		Expect(r.ShareUsage(r.now, "w").RequestedElsewhere).To(Equal(300))
		r.RecordLinked("other")
		r.ApplyReport(r.now, "other", report(1, 700))
		Expect(r.ShareUsage(r.now, "w").RequestedElsewhere).To(Equal(700))
	})

	It("tells an entry to which a link comes up its usage and load at once", func() {
		a, b := newRig(2, 0, 1000), newRig(2, 0, 1000)
		v := a.submit(a.prompt("w", 1, 0, 5000, 50))
		Expect(v.Placed()).To(BeTrue())
		b.SetMembers(1)
		b.ApplyReport(b.now, "a", a.Introduction(a.now))
		_, joined := b.Joined()
		Expect(joined).To(BeTrue())
		Expect(b.ShareUsage(b.now, "w").AdmittedElsewhere).To(Equal(5100))
		Expect(b.submit(b.prompt("w", 1, 0, 500, 50)).Upstream.Upstream).NotTo(Equal(v.Upstream.Upstream))
	})

	It("drops an entry's report once the entry has timed out", func() {
		r := newRig(0, 1, 0)
		full := &cleat.PlacementReport{Seq: 1, Loads: []cleat.UpstreamLoad{{Upstream: "d0", Running: 50}}}
		r.ApplyReport(r.now, "other", full)
		_, decided := r.Submit(r.now, r.plainJob())
		Expect(decided).To(BeFalse())
		r.now = r.now.Add(3 * time.Second)
		r.ExpirePeers(r.now)
		Expect(r.Dispatch(r.now)).To(HaveLen(1))
		Expect(r.submit(r.plainJob()).Placed()).To(BeTrue())
	})
})
