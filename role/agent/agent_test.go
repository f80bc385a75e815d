package agent_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
	"marigoldcleat.example/cleat/role/agent"
	"marigoldcleat.example/cleat/stand/fakes"
)

// expectCompleteStream checks that text is a stream of n tokens with none missing or duplicated.
func expectCompleteStream(text []byte, n int) {
	GinkgoHelper()
	Expect(bytes.Count(text, []byte(`"content":`))).To(Equal(n))
	rest := text
	for i := range n {
		at := bytes.Index(rest, []byte(`"`+fakes.OutputToken(i)+` "`))
		Expect(at).To(BeNumerically(">=", 0), "token %d is missing or out of order", i)
		rest = rest[at+1:]
	}
	Expect(string(text)).To(HaveSuffix("data: [DONE]\n\n"))
}

var _ = Describe("Agent", func() {
	It("runs a request and reports its usage", func() {
		a := startAgent(nil)
		engine := startEngine(a, nil)
		e := startEntry(a, 1)
		attempt := e.dispatch("r1", modelStream(), nil)
		Eventually(e.isSettled(attempt), waitTimeout).Should(BeTrue())
		got := e.answerCopy(attempt)
		expectCompleteStream(got.text, 8)
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.outcome.Kind).To(Equal(cleat.OutcomeDone))
		Expect(got.outcome.Usage.OutputTokens).To(BeEquivalentTo(8))
		Expect(engine.Stats().Started).To(Equal(1))
		Eventually(a.Running, waitTimeout).Should(BeZero())
	})

	It("counts the usage of an answer that is not streamed and accepts a request body in several messages", func() {
		a := startAgent(nil)
		startEngine(a, nil)
		e := startEntry(a, 1)
		body := strings.Replace(chatBody(9), `"stream":true`, `"stream":false`, 1)
		body = strings.Replace(body, "hi", strings.Repeat("x", 3*wire.MaxDataBytes), 1)
		attempt := e.dispatch("r1", modelStream(), func(d *cleat.Dispatch) {
			d.Body, d.BodyMore = []byte(body[:10]), true
		})
		e.send(&cleat.Body{Attempt: attempt, Offset: 10, Data: []byte(body[10 : 10+wire.MaxDataBytes]), More: true})
		e.send(&cleat.Body{Attempt: attempt, Offset: 10, Data: []byte(body[10 : 10+wire.MaxDataBytes]), More: true})
		e.send(&cleat.Body{Attempt: attempt, Offset: 10 + wire.MaxDataBytes, Data: []byte(body[10+wire.MaxDataBytes:])})
		Eventually(e.isSettled(attempt), waitTimeout).Should(BeTrue())
		got := e.answerCopy(attempt)
		Expect(got.outcome.Kind).To(Equal(cleat.OutcomeDone))
		Expect(got.outcome.Usage.OutputTokens).To(BeEquivalentTo(9))
		Expect(got.outcome.Usage.InputTokens).To(BeNumerically(">", 3*wire.MaxDataBytes/8))
	})

	It("sends the last bytes of an answer of known length together with its end", func() {
		a := startAgent(nil)
		startPlainUpstream(a)
		e := startEntry(a, 1)
		attempt := e.dispatch("r1", plainStream(), asAction)
		Eventually(e.isSettled(attempt), waitTimeout).Should(BeTrue())
		Expect(e.answerCopy(attempt).parts).To(Equal(1))
	})

	It("delivers a complete answer over a link that is closed repeatedly", func() {
		a := startAgent(nil)
		startEngine(a, func(c *fakes.EngineConfig) { c.TokenInterval = time.Millisecond })
		e := startEntry(a, 1)
		attempt := e.dispatch("r1", modelStream(), func(d *cleat.Dispatch) { d.Body = []byte(chatBody(400)) })
		for n := 50; n <= 350; n += 100 {
			mark := []byte(fakes.OutputToken(n))
			Eventually(func() bool { return bytes.Contains(e.answerCopy(attempt).text, mark) }, waitTimeout).Should(BeTrue())
			e.closeLink()
		}
		Eventually(e.isSettled(attempt), waitTimeout).Should(BeTrue())
		expectCompleteStream(e.answerCopy(attempt).text, 400)
		Expect(e.answerCopy(attempt).outcome.Kind).To(Equal(cleat.OutcomeDone))
	})

	It("tolerates late, out-of-order and duplicate messages", func() {
		a := startAgent(nil)
		startEngine(a, func(c *fakes.EngineConfig) { c.TokenInterval = time.Millisecond })
		e := startEntry(a, 1)
		var sent cleat.Dispatch
		attempt := e.dispatch("r1", modelStream(), func(d *cleat.Dispatch) {
			d.Body = []byte(chatBody(100))
			sent = *d
		})
		e.send(&sent)
		Eventually(func() int { return len(e.answerCopy(attempt).text) }, waitTimeout).Should(BeNumerically(">", 500))
		e.send(&cleat.PartAck{Attempt: attempt, Offset: 1})
		e.send(&cleat.PartAck{Attempt: attempt, Offset: 1 << 40, Done: true})
		e.send(&cleat.Body{Attempt: attempt, Offset: 3, Data: []byte("late")})
		e.send(&cleat.Resume{Attempt: cleat.Attempt{Request: "unknown", Number: 1}})
		Eventually(e.isSettled(attempt), waitTimeout).Should(BeTrue())
		expectCompleteStream(e.answerCopy(attempt).text, 100)
		Expect(e.answerCopy(cleat.Attempt{Request: "unknown", Number: 1}).refused.Ran).To(Equal(cleat.RanNo))
	})

	It("buffers at most BufferBytes of an answer and continues once they are acknowledged", func() {
		const bound = 64 << 10
		a := startAgent(func(c *agent.Config) { c.BufferBytes = bound })
		startEngine(a, nil)
		e := startEntry(a, 1)
		e.withholdAcks = true
		attempt := e.dispatch("r1", modelStream(), func(d *cleat.Dispatch) { d.Body = []byte(chatBody(3000)) })
		Eventually(func() int { return len(e.answerCopy(attempt).text) }, waitTimeout).Should(BeNumerically(">", bound/2))
		Consistently(func() int { return len(e.answerCopy(attempt).text) }, 200*time.Millisecond).Should(BeNumerically("<=", bound))
		for !e.isSettled(attempt)() {
			e.send(&cleat.PartAck{Attempt: attempt, Offset: uint64(len(e.answerCopy(attempt).text))})
			time.Sleep(time.Millisecond)
		}
		expectCompleteStream(e.answerCopy(attempt).text, 3000)
		e.send(&cleat.PartAck{Attempt: attempt, Offset: uint64(len(e.answerCopy(attempt).text)), Done: true})
		Eventually(a.Running, waitTimeout).Should(BeZero())
	})

	It("applies backpressure to long answers on a slow link and delivers all of them", func() {
		const answers, tokens = 16, 6000
		a := startAgent(func(c *agent.Config) {
			c.Wire.MaxFrameBytes, c.Wire.SendQueueBytes = 2*wire.MaxDataBytes, 1<<20
			c.BufferBytes = 1 << 20
		})
		startEngine(a, func(c *fakes.EngineConfig) {
			c.Slots, c.PrefillInterval = answers, 500*time.Millisecond
		})
		relay, err := fakes.StartRelay(a.Addr())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(relay.Close)
		e := startEntryAt(relay.Addr(), 1)
		var attempts []cleat.Attempt
		for i := range answers {
			attempts = append(attempts, e.dispatch(fmt.Sprint("r", i), modelStream(), func(d *cleat.Dispatch) { d.Body = []byte(chatBody(tokens)) }))
		}
		relay.SetDelay(2 * time.Millisecond)
		for _, attempt := range attempts {
			Eventually(e.isSettled(attempt), waitTimeout).Should(BeTrue())
			expectCompleteStream(e.answerCopy(attempt).text, tokens)
		}
		Expect(a.Counters().SlowPeerCloses()).To(BeZero())
		Expect(e.linkDownCount()).To(BeZero())
	})

	It("refuses to resume from an offset that is no longer buffered", func() {
		a := startAgent(nil)
		startEngine(a, func(c *fakes.EngineConfig) { c.TokenInterval = time.Millisecond })
		e := startEntry(a, 1)
		attempt := e.dispatch("r1", modelStream(), func(d *cleat.Dispatch) { d.Body = []byte(chatBody(10000)) })
		Eventually(func() int { return len(e.answerCopy(attempt).text) }, waitTimeout).Should(BeNumerically(">", 1000))
		e.send(&cleat.Resume{Attempt: attempt, Offset: 1})
		Eventually(e.isSettled(attempt), waitTimeout).Should(BeTrue())
		Expect(e.answerCopy(attempt).refused).To(HaveField("Ran", cleat.RanUnknown))
	})

	It("cancels a repeatable run when its caller goes away", func() {
		a := startAgent(nil)
		engine := startEngine(a, func(c *fakes.EngineConfig) { c.TokenInterval = time.Millisecond })
		e := startEntry(a, 1)
		attempt := e.dispatch("r1", modelStream(), func(d *cleat.Dispatch) { d.Body = []byte(chatBody(100000)) })
		Eventually(engine.Running, waitTimeout).Should(Equal(1))
		e.send(&cleat.Cancel{Attempt: attempt})
		Eventually(engine.Running, waitTimeout).Should(BeZero())
		Eventually(e.isSettled(attempt), waitTimeout).Should(BeTrue())
		Expect(e.answerCopy(attempt).outcome.Kind).To(Equal(cleat.OutcomeCanceled))
		Expect(e.answerCopy(attempt).outcome.Usage.OutputTokens).To(BeNumerically("<", 100000))
	})

	It("cancels repeatable runs and finishes non-repeatable ones when the entry does not reconnect", func() {
		a := startAgent(func(c *agent.Config) { c.ResumeGrace = 100 * time.Millisecond })
		engine := startEngine(a, func(c *fakes.EngineConfig) { c.TokenInterval = time.Millisecond })
		plain := startPlainUpstream(a)
		release := plain.HoldAnswers()
		defer release()
		e := startEntry(a, 1)
		e.dispatch("r1", modelStream(), func(d *cleat.Dispatch) { d.Body = []byte(chatBody(100000)) })
		e.dispatch("r2", plainStream(), asAction)
		Eventually(plain.TotalRuns, waitTimeout).Should(Equal(1))
		Eventually(engine.Running, waitTimeout).Should(Equal(1))
		e.dialer.Close()
		Eventually(engine.Running, waitTimeout).Should(BeZero())
		Eventually(a.Running, waitTimeout).Should(Equal(1))
		release()
		Eventually(a.Running, waitTimeout).Should(BeZero())
		Expect(plain.TotalRuns()).To(Equal(1))
	})

	It("cancels the runs of an entry's earlier incarnation immediately", func() {
		a := startAgent(nil)
		engine := startEngine(a, func(c *fakes.EngineConfig) { c.TokenInterval = time.Millisecond })
		e := startEntry(a, 1)
		e.dispatch("r1", modelStream(), func(d *cleat.Dispatch) { d.Body = []byte(chatBody(100000)) })
		Eventually(engine.Running, waitTimeout).Should(Equal(1))
		e.dialer.Close()
		startEntry(a, 2)
		Eventually(engine.Running, waitTimeout).Should(BeZero())
	})

	stale := map[string]func(d *cleat.Dispatch){
		"a grant of another incarnation": func(d *cleat.Dispatch) { d.Incarnation-- },
		"an unknown grant":               func(d *cleat.Dispatch) { d.Grant += 1000 },
	}
	for name, change := range stale {
		It("refuses a dispatch as not run, under "+name, func() {
			a := startAgent(nil)
			plain := startPlainUpstream(a)
			e := startEntry(a, 1)
			attempt := e.dispatch("r1", plainStream(), func(d *cleat.Dispatch) {
				asAction(d)
				change(d)
			})
			Eventually(e.isSettled(attempt), waitTimeout).Should(BeTrue())
			Expect(e.answerCopy(attempt).refused).To(HaveField("Ran", cleat.RanNo))
			Expect(plain.TotalRuns()).To(BeZero())
		})
	}

	It("runs a non-repeatable request once, however often it is dispatched", func() {
		a := startAgent(nil)
		plain := startPlainUpstream(a)
		e := startEntry(a, 1)
		var sent cleat.Dispatch
		attempt := e.dispatch("r1", plainStream(), func(d *cleat.Dispatch) {
			asAction(d)
			sent = *d
		})
		e.send(&sent)
		Eventually(e.isSettled(attempt), waitTimeout).Should(BeTrue())
		Eventually(a.Running, waitTimeout).Should(BeZero())
		e.send(&sent)
		g, _ := e.awaitGrant(plainStream())
		sent.Grant = g.ID
		e.send(&sent)
		Eventually(func() *cleat.Refused { return e.answerCopy(attempt).refused }, waitTimeout).ShouldNot(BeNil())
		Expect(e.answerCopy(attempt).refused.Ran).To(Equal(cleat.RanYes))
		Expect(plain.TotalRuns()).To(Equal(1))
	})

	It("grants a slot for a request that was offered between a grant and its use", func() {
		a := startAgent(nil)
		startPlainUpstream(a)
		e := startEntry(a, 1)
		e.dispatch("r1", plainStream(), func(d *cleat.Dispatch) {
			asAction(d)
			e.sendOffer(d.Stream, d.Grant)
		})
		Eventually(e.grantCount, waitTimeout).Should(Equal(1))
	})

	It("never starts an attempt that was canceled before its dispatch arrived", func() {
		a := startAgent(nil)
		plain := startPlainUpstream(a)
		e := startEntry(a, 1)
		attempt := e.dispatch("r1", plainStream(), func(d *cleat.Dispatch) {
			asAction(d)
			e.send(&cleat.Cancel{Attempt: d.Attempt})
		})
		Eventually(e.isSettled(attempt), waitTimeout).Should(BeTrue())
		Expect(e.answerCopy(attempt).refused).To(HaveField("Ran", cleat.RanNo))
		Expect(plain.TotalRuns()).To(BeZero())
	})

	It("reports the deadline, and that nothing ran, when it passes before the body has arrived", func() {
		a := startAgent(nil)
		plain := startPlainUpstream(a)
		e := startEntry(a, 1)
		attempt := e.dispatch("r1", plainStream(), func(d *cleat.Dispatch) {
			d.Body, d.BodyMore, d.Timeout, d.Repeatable = []byte("half of"), true, 200*time.Millisecond, true
		})
		Eventually(e.isSettled(attempt), waitTimeout).Should(BeTrue())
		Expect(e.answerCopy(attempt).outcome).To(And(HaveField("Kind", cleat.OutcomeNotRun), HaveField("Reason", cleat.ReasonDeadline)))
		Expect(plain.TotalRuns()).To(BeZero())
	})

	It("delivers running answers when draining, then ends", func() {
		a := startAgent(nil)
		startEngine(a, func(c *fakes.EngineConfig) { c.TokenInterval = time.Millisecond })
		e := startEntry(a, 1)
		var attempts []cleat.Attempt
		for i := range 4 {
			attempts = append(attempts, e.dispatch(fmt.Sprint("r", i), modelStream(), func(d *cleat.Dispatch) { d.Body = []byte(chatBody(300)) }))
		}
		Eventually(func() int { return len(e.answerCopy(attempts[3]).text) }, waitTimeout).Should(BeNumerically(">", 0))
		a.Drain()
		Expect(a.Abandoned()).To(ContainSubstring("ring/desk"))
		Eventually(a.runResult, waitTimeout).Should(Receive(BeNil()))
		for _, attempt := range attempts {
			Expect(e.answerCopy(attempt).ended).To(BeTrue())
			expectCompleteStream(e.answerCopy(attempt).text, 300)
		}
	})

	It("reports a leaving upstream, and removes one that stops announcing itself", func() {
		a := startAgent(func(c *agent.Config) { c.Slots.UpstreamTimeout = 500 * time.Millisecond })
		engine := startEngine(a, nil)
		e := startEntry(a, 1)
		Eventually(e.upstreams, waitTimeout).Should(ConsistOf(HaveField("Leaving", false)))
		engine.AnnounceLeaving()
		Eventually(e.upstreams, waitTimeout).Should(ConsistOf(HaveField("Leaving", true)))
		engine.Close()
		Eventually(e.upstreams, waitTimeout).Should(BeEmpty())
	})

	It("marks an upstream that accepts no connections as slow", func() {
		a := startAgent(nil)
		Expect(a.Announce(cleat.Announcement{Upstream: "p1", Kind: cleat.KindPlain, Models: []cleat.ModelID{"desk"}, Address: closedAddress()})).To(Succeed())
		e := startEntry(a, 1)
		for i := range 3 {
			attempt := e.dispatch(fmt.Sprint("r", i), plainStream(), asAction)
			Eventually(e.isSettled(attempt), waitTimeout).Should(BeTrue())
			Expect(e.answerCopy(attempt).outcome.Kind).To(Equal(cleat.OutcomeNotRun))
		}
		Eventually(e.upstreams, waitTimeout).Should(ConsistOf(HaveField("Slow", true)))
	})

	It("closes links from peers that are not entries", func() {
		a := startAgent(nil)
		e := &fakeEntry{peer: cleat.Peer{Instance: "x", Incarnation: 1, Role: cleat.RoleAgent}, answers: map[cleat.Attempt]*answer{}}
		e.dialer = wire.NewDialer(linkConfig(), func() cleat.Peer { return e.peer }, e, discardLogger())
		DeferCleanup(e.dialer.Close)
		e.dialer.AddAddress(a.Addr())
		Eventually(e.linkDownCount, waitTimeout).Should(BeNumerically(">=", 1))
	})

	announcements := map[string]struct {
		body   string
		status int
	}{
		"one without a kind":     {`{"upstream":"u","models":["m"],"address":"127.0.0.1:1"}`, http.StatusBadRequest},
		"one without an address": {`{"upstream":"u","models":["m"],"kind":"model"}`, http.StatusBadRequest},
		"garbage":                {`{`, http.StatusBadRequest},
		"a complete one":         {`{"upstream":"u","models":["m"],"kind":"model","address":"127.0.0.1:1"}`, http.StatusNoContent},
	}
	for name, c := range announcements {
		It("answers an announcement: "+name, func() {
			a := startAgent(nil)
			resp, err := http.Post("http://"+a.HTTPAddr()+cleat.PathAgentAnnounce, "application/json", strings.NewReader(c.body))
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Body.Close()).To(Succeed())
			Expect(resp.StatusCode).To(Equal(c.status))
		})
	}
})
