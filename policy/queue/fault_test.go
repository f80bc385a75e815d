package queue_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/slots"
)

func notRepeatable(w *cleat.Work) { w.Repeatable = false }

func withDeadline(d time.Duration) func(*cleat.Work) {
	return func(w *cleat.Work) { w.Deadline = w.Received.Add(d) }
}

func inClass(name cleat.ClassName, rank int) func(*cleat.Work) {
	return func(w *cleat.Work) { w.Class, w.Rank = name, rank }
}

var _ = Describe("Sharing", func() {
	It("gives a workspace no credit for idle time", func() {
		f := newFleet(10, 2, 2, 1)
		for range 1000 {
			f.submit("entry-0", "a/busy", 100, nil)
		}
		f.advance(30 * time.Second)
		before := f.served["a/busy"]
		for range 300 {
			f.submit("entry-1", "b/back", 100, nil)
		}
		f.advance(20 * time.Second)
		Expect(f.served["b/back"]).To(BeNumerically("~", f.served["a/busy"]-before, 1500))
	})

	It("charges a workspace for the actual cost when its estimates are too low", func() {
		f := newFleet(11, 1, 2, 1)
		for range 300 {
			f.submit("entry-0", "a/long", 500, func(w *cleat.Work) { w.CostHint = 5 })
			f.submit("entry-0", "b/short", 20, func(w *cleat.Work) { w.CostHint = 20 })
		}
		f.advance(6 * time.Second)
		Expect(f.served["a/long"]).To(BeNumerically("~", f.served["b/short"], 4500))
		for range 600 {
			f.submit("entry-0", "b/short", 20, nil)
		}
		f.advance(10 * time.Second)
		Expect(f.served["a/long"]).To(BeNumerically("~", f.served["b/short"], 4500))
	})

	It("serves the first class of a workspace before its other classes", func() {
		f := newFleet(12, 1, 1, 0)
		for range 40 {
			f.submit("entry-0", "a/x", 50, inClass("draft", 1))
		}
		f.advance(100 * time.Millisecond)
		id := f.submit("entry-0", "a/x", 50, inClass("bid", 0))
		f.advance(1500 * time.Millisecond)
		Expect(f.done[id]).To(Equal(1))
	})

	It("does not starve the last class", func() {
		f := newFleet(13, 1, 1, 0)
		id := f.submit("entry-0", "a/x", 50, inClass("bid", 0))
		for range 4 {
			f.submit("entry-0", "a/x", 100, inClass("bid", 0))
		}
		last := f.submit("entry-0", "a/x", 50, inClass("tag", 1))
		var cfg slots.Config
		cfg.Defaults()
		for range int(cfg.AgeingPeriod.Seconds()) + 10 {
			for range 5 {
				f.submit("entry-0", "a/x", 100, inClass("bid", 0))
			}
			f.advance(time.Second)
		}
		Expect(f.done[id]).To(Equal(1))
		Expect(f.done[last]).To(Equal(1))
	})

	It("does not favour a workspace because a restarted agent reports empty totals", func() {
		f := newFleet(14, 2, 3, 1)
		for range 2000 {
			f.submit("entry-0", "a/x", 100, nil)
			f.submit("entry-1", "b/y", 100, nil)
		}
		f.advance(30 * time.Second)
		f.restartAgent("agent-1")
		f.advance(30 * time.Second)
		Expect(f.served["a/x"]).To(BeNumerically("~", f.served["b/y"], 2500))
	})

	It("keeps the service totals when all relays restart empty and an agent is gone", func() {
		f := newFleet(15, 2, 3, 2)
		for range 3000 {
			f.submit("entry-0", "a/x", 100, nil)
		}
		f.advance(15 * time.Second)
		for range 3000 {
			f.submit("entry-1", "b/y", 100, nil)
		}
		f.advance(15 * time.Second)
		delete(f.agents, "agent-2")
		f.relays[0], f.relays[1] = nil, nil
		f.relays = f.relays[:0]
		f.addRelays(2)
		a, b := f.served["a/x"], f.served["b/y"]
		f.advance(40 * time.Second)
		Expect(f.served["a/x"] - a).To(BeNumerically("~", f.served["b/y"]-b, 2500))
	})
})

var _ = Describe("Failures", func() {
	It("runs a request that may not be repeated only once when its agent restarts", func() {
		f := newFleet(20, 1, 1, 1)
		id := f.submit("entry-0", "a/x", 100, notRepeatable)
		f.advance(500 * time.Millisecond)
		f.restartAgent("agent-0")
		f.advance(20 * time.Second)
		Expect(f.ran[id]).To(Equal(1))
		Expect(f.refusals[id]).To(HaveLen(1))
		Expect(f.refusals[id][0].Ran).To(Equal(cleat.RanUnknown))
	})

	It("retries a repeatable request at another agent when its agent is lost", func() {
		f := newFleet(21, 1, 2, 1)
		id := f.submit("entry-0", "a/x", 100, nil)
		f.advance(500 * time.Millisecond)
		for _, a := range sortedAgents(f) {
			if f.agents[a].table.Running() > 0 {
				f.restartAgent(a)
			}
		}
		f.advance(20 * time.Second)
		Expect(f.done[id]).To(Equal(1))
		Expect(f.refusals[id]).To(BeEmpty())
	})

	It("keeps running requests when a cut link recovers within ResumeGrace", func() {
		f := newFleet(22, 1, 1, 1)
		id := f.submit("entry-0", "a/x", 300, notRepeatable)
		f.advance(500 * time.Millisecond)
		f.cutLink("entry-0", "agent-0", time.Second)
		f.advance(4 * time.Second)
		f.healLink("entry-0", "agent-0")
		f.advance(time.Second)
		Expect(f.done[id]).To(Equal(1))
		Expect(f.ran[id]).To(Equal(1))
	})

	It("retries at another upstream within the retry budget, without a retry storm", func() {
		f := newFleet(23, 1, 2, 1)
		f.fails = func(u cleat.UpstreamID) bool { return u == "up-agent-0" }
		for range 50 {
			f.submit("entry-0", "a/x", 20, nil)
		}
		f.advance(30 * time.Second)
		attempts := 0
		for _, n := range f.ran {
			attempts += n
		}
		Expect(len(f.done)).To(BeNumerically(">=", 45))
		Expect(attempts).To(BeNumerically("<=", 70))
		for id, list := range f.refusals {
			Expect(list).To(HaveLen(1))
			Expect(list[0].Ran).To(Equal(cleat.RanUnknown), string(id))
		}
	})

	It("sends nothing to an upstream that is leaving and lets its running requests finish", func() {
		f := newFleet(24, 1, 2, 1)
		for range 100 {
			f.submit("entry-0", "a/x", 100, nil)
		}
		f.advance(time.Second)
		f.agents["agent-0"].leaving = true
		f.advance(3 * time.Second)
		Expect(f.agents["agent-0"].table.Running()).To(Equal(0))
		f.advance(30 * time.Second)
		Expect(f.done).To(HaveLen(100))
	})

	It("refuses a request at once if it would miss its deadline at the current dispatch rate", func() {
		f := newFleet(25, 1, 1, 1)
		for range 200 {
			f.submit("entry-0", "a/x", 100, nil)
		}
		f.advance(15 * time.Second)
		id := f.submit("entry-0", "a/x", 100, withDeadline(5*time.Second))
		Expect(f.refusals[id]).To(HaveLen(1))
		Expect(f.refusals[id][0].Reason).To(Equal(cleat.ReasonUnattainableDeadline))
		Expect(f.refusals[id][0].Ran).To(Equal(cleat.RanNo))
		Expect(f.refusals[id][0].RetryAfter).To(BeNumerically(">", time.Second))
	})

	It("refuses a waiting request at its deadline", func() {
		f := newFleet(26, 1, 1, 0)
		for range 8 {
			f.submit("entry-0", "a/x", 300, nil)
		}
		id := f.submit("entry-0", "a/x", 100, withDeadline(2*time.Second))
		f.advance(2100 * time.Millisecond)
		Expect(f.refusals[id]).To(HaveLen(1))
		Expect(f.refusals[id][0].Reason).To(Equal(cleat.ReasonDeadline))
	})

	It("refuses a request for a model that no upstream serves", func() {
		f := newFleet(27, 1, 1, 0)
		id := f.submit("entry-0", "a/x", 100, func(w *cleat.Work) { w.Model = "none" })
		f.advance(6 * time.Second)
		Expect(f.refusals[id]).To(HaveLen(1))
		Expect(f.refusals[id][0].Reason).To(Equal(cleat.ReasonNoUpstream))
	})

	It("fills the slots again after link failures that lost grants and offers and were detected late", func() {
		f := newFleet(28, 2, 2, 1)
		for range 500 {
			f.submit("entry-0", "a/x", 50, nil)
			f.submit("entry-1", "b/y", 50, nil)
		}
		f.advance(2 * time.Second)
		f.cutLink("entry-0", "agent-0", 3*time.Second)
		f.cutLink("entry-0", "agent-1", 3*time.Second)
		f.advance(10 * time.Second)
		f.healLink("entry-0", "agent-0")
		f.healLink("entry-0", "agent-1")
		before := f.busy
		f.advance(10 * time.Second)
		Expect((f.busy - before).Seconds() / 80).To(BeNumerically(">", 0.95))
	})

	It("reports that an invalidated attempt did not run, and never runs it later", func() {
		f := newFleet(29, 1, 1, 0)
		a := f.agents["agent-0"].table
		at := cleat.Attempt{Request: "9/9/a", Number: 1}
		Expect(a.InvalidateAttempt(f.now, at)).To(Equal(cleat.RanNo))
		_, refused := a.AcceptDispatch(f.now, "entry-0", &cleat.Dispatch{Incarnation: f.agents["agent-0"].peer.Incarnation, Grant: 1, Attempt: at})
		Expect(refused).NotTo(BeNil())
		Expect(refused.Ran).To(Equal(cleat.RanNo))
	})
})
