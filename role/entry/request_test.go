package entry_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
	"marigoldcleat.example/cleat/role/entry"
)

var _ = Describe("a request", func() {
	It("is dispatched without the workspace key, and its complete answer is forwarded", func() {
		r := newRig()
		a := r.connectAgent(answerWith("page"))
		res, body := r.roundTrip(r.request("GET", "/page/7?x=1", "", "X-Own", "kept"))
		Expect(res.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal("page"))
		Expect(res.Header.Get(entry.HeaderRequest)).To(HavePrefix("entry-1-"))
		d := messages[*cleat.Dispatch](a)
		Expect(d).To(HaveLen(1))
		Expect(d[0].Target).To(Equal("/page/7?x=1"))
		Expect(d[0].Header).To(ContainElement(cleat.HeaderField{Name: "X-Own", Value: "kept"}))
		Expect(fmt.Sprint(d[0].Header)).NotTo(ContainSubstring(workspaceKey))
	})

	It("has its streamed answer forwarded as it arrives", func() {
		r := newRig()
		next := make(chan struct{})
		a := r.connectAgent(func(a *agent, d *cleat.Dispatch) {
			a.send(headPart(d.Attempt, "text/event-stream"))
			a.send(dataPart(d.Attempt, 0, "data: a\n\n"))
			<-next
			a.send(dataPart(d.Attempt, 9, "data: b\n\n"))
			a.send(endPart(d.Attempt, 18, cleat.OutcomeDone))
		})
		res, err := r.client.Do(r.request("POST", cleat.ChatPath, chatBody))
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		line, err := bufio.NewReader(io.LimitReader(res.Body, 9)).ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(Equal("data: a\n"))
		close(next)
		rest, err := io.ReadAll(res.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(rest)).To(Equal("data: b\n\n"))
		Expect(string(messages[*cleat.Dispatch](a)[0].Body)).To(Equal(chatBody))
	})

	It("with a long body is sent in pieces", func() {
		r := newRig()
		a := r.connectAgent(nil)
		body := strings.Repeat("x", 3*wire.MaxDataBytes+17)
		res := r.roundTripAsync(r.request("POST", "/page", body))
		Eventually(func() string {
			var got strings.Builder
			for _, d := range messages[*cleat.Dispatch](a) {
				got.Write(d.Body)
			}
			for _, b := range messages[*cleat.Body](a) {
				got.Write(b.Data)
			}
			return got.String()
		}, testTimeout).Should(Equal(body))
		answerWith("done")(a, messages[*cleat.Dispatch](a)[0])
		var got result
		Eventually(res, testTimeout).Should(Receive(&got))
		Expect(got.body).To(Equal("done"))
	})

	It("is dispatched again, with the complete body, after the link closed while the body was sent", func() {
		r := newRig(func(cfg *entry.Config, _ *cleat.Limits) { cfg.Queue.ResumeGrace = time.Minute })
		a := r.connectAgent(nil)
		a.mu.Lock()
		a.closeAfterBodies = 1
		a.mu.Unlock()
		body := strings.Repeat("x", 40*wire.MaxDataBytes)
		res := r.roundTripAsync(r.request("POST", "/pay", body, "Idempotency-Key", "k"))
		Eventually(func() bool { ok, _ := r.entry.Ready(); return ok }, testTimeout).Should(BeFalse())
		a.connect(r.entry)
		Eventually(func() []*cleat.Dispatch { return messages[*cleat.Dispatch](a) }, testTimeout).Should(HaveLen(2))
		second := messages[*cleat.Dispatch](a)[1].Attempt
		Eventually(func() (n int) {
			for _, b := range messages[*cleat.Body](a) {
				if b.Attempt == second {
					n += len(b.Data)
				}
			}
			return n
		}, testTimeout).Should(Equal(39 * wire.MaxDataBytes))
		answerWith("paid")(a, &cleat.Dispatch{Attempt: second})
		var got result
		Eventually(res, testTimeout).Should(Receive(&got))
		Expect(got.body).To(Equal("paid"))
		Expect(r.claims.recorded()).To(Equal([]cleat.OutcomeKind{cleat.OutcomeDone}))
	})

	It("is dispatched again when the agent refused it without running it", func() {
		r := newRig()
		a := r.connectAgent(func(a *agent, d *cleat.Dispatch) {
			if d.Attempt.Number == 1 {
				a.send(&cleat.Refused{Attempt: d.Attempt, Reason: cleat.ReasonStaleGrant, Ran: cleat.RanNo})
				return
			}
			answerWith("paid")(a, d)
		})
		res, body := r.roundTrip(r.request("POST", "/pay", "x"))
		Expect(res.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal("paid"))
		Expect(messages[*cleat.Dispatch](a)).To(HaveLen(2))
	})

	It("is answered in order despite reordered, duplicate and stray parts", func() {
		r := newRig()
		a := r.connectAgent(func(a *agent, d *cleat.Dispatch) {
			other := cleat.Attempt{Request: d.Attempt.Request, Number: d.Attempt.Number + 1}
			a.send(dataPart(other, 0, "of another attempt"))
			a.send(dataPart(cleat.Attempt{Request: "nobody", Number: 1}, 0, "of no request"))
			a.send(headPart(d.Attempt, "text/plain"))
			a.send(dataPart(d.Attempt, 0, "abc"))
			a.send(dataPart(d.Attempt, 0, "abc"))
			a.send(dataPart(d.Attempt, 6, "ghi"))
			a.send(dataPart(d.Attempt, 9, "jkl"))
		})
		res := r.roundTripAsync(r.request("GET", "/page", ""))
		Eventually(func() []*cleat.Resume { return messages[*cleat.Resume](a) }, testTimeout).Should(HaveLen(1))
		m := messages[*cleat.Resume](a)[0]
		Expect(m.Offset).To(Equal(uint64(3)))
		a.send(dataPart(m.Attempt, 3, "defghi"))
		a.send(dataPart(m.Attempt, 6, "ghijkl"))
		a.send(endPart(m.Attempt, 12, cleat.OutcomeDone))
		a.send(endPart(m.Attempt, 12, cleat.OutcomeDone))
		var got result
		Eventually(res, testTimeout).Should(Receive(&got))
		Expect(got.body).To(Equal("abcdefghijkl"))
		Consistently(func() int { return len(messages[*cleat.Resume](a)) }, "50ms").Should(Equal(1))
		Expect(messages[*cleat.Cancel](a)).To(HaveExactElements(
			HaveField("Attempt.Number", m.Attempt.Number+1),
			HaveField("Attempt.Request", cleat.RequestID("nobody"))))
	})

	It("has its answer resumed over a new link, complete and without duplicate parts", func() {
		r := newRig(func(cfg *entry.Config, _ *cleat.Limits) { cfg.Queue.ResumeGrace = time.Minute })
		a := r.connectAgent(func(a *agent, d *cleat.Dispatch) {
			a.send(headPart(d.Attempt, "text/plain"))
			a.send(dataPart(d.Attempt, 0, "abc"))
			a.closeLink()
		})
		res := r.roundTripAsync(r.request("POST", "/pay", "x"))
		Eventually(func() bool { ok, _ := r.entry.Ready(); return ok }, testTimeout).Should(BeFalse())
		a.connect(r.entry)
		Eventually(func() []*cleat.Resume { return messages[*cleat.Resume](a) }, testTimeout).Should(HaveLen(1))
		m := messages[*cleat.Resume](a)[0]
		a.send(dataPart(m.Attempt, int(m.Offset), "abcdef"[m.Offset:]))
		a.send(endPart(m.Attempt, 6, cleat.OutcomeDone))
		var got result
		Eventually(res, testTimeout).Should(Receive(&got))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal("abcdef"))
		Expect(messages[*cleat.Dispatch](a)).To(HaveLen(1))
	})

	It("whose stream is cut by the loss of its agent ends in an error event and an unexpected EOF", func() {
		r := newRig()
		a := r.connectAgent(func(a *agent, d *cleat.Dispatch) {
			a.send(headPart(d.Attempt, "text/event-stream"))
			a.send(dataPart(d.Attempt, 0, "data: a\n\n"))
		})
		res := r.roundTripAsync(r.request("POST", cleat.ChatPath, chatBody))
		Eventually(func() []*cleat.Dispatch { return messages[*cleat.Dispatch](a) }, testTimeout).Should(HaveLen(1))
		Eventually(r.running, testTimeout).Should(Equal(uint32(1)))
		time.Sleep(20 * time.Millisecond)
		a.closeLink()
		var got result
		Eventually(res, testTimeout).Should(Receive(&got))
		Expect(got.err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(got.body).To(HavePrefix("data: a\n\nevent: error\ndata: "))
		Expect(got.body).To(ContainSubstring(`"code":"agent_lost"`))
		Expect(got.body).To(MatchRegexp(`"ran":"(yes|unknown)"`))
		Expect(messages[*cleat.Dispatch](a)).To(HaveLen(1))
	})

	It("whose stream fails in the middle of an event gets no error event", func() {
		r := newRig()
		r.connectAgent(func(a *agent, d *cleat.Dispatch) {
			a.send(headPart(d.Attempt, "text/event-stream"))
			a.send(dataPart(d.Attempt, 0, "data: {\"half"))
			time.Sleep(20 * time.Millisecond)
			a.send(endPart(d.Attempt, 12, cleat.OutcomeFailed))
		})
		var got result
		Eventually(r.roundTripAsync(r.request("POST", cleat.ChatPath, chatBody)), testTimeout).Should(Receive(&got))
		Expect(errors.Is(got.err, io.ErrUnexpectedEOF)).To(BeTrue())
		Expect(got.body).To(Equal("data: {\"half"))
	})

	It("is retried if it is repeatable and nothing of its answer reached the caller", func() {
		r := newRig()
		a := r.connectAgent(func(a *agent, d *cleat.Dispatch) {
			if d.Attempt.Number == 1 {
				a.send(endPart(d.Attempt, 0, cleat.OutcomeFailed))
				return
			}
			answerWith("second")(a, d)
		})
		res, body := r.roundTrip(r.request("GET", "/page", ""))
		Expect(res.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal("second"))
		Expect(messages[*cleat.Dispatch](a)).To(HaveLen(2))
	})

	It("whose caller doesn't read its answer holds back the acknowledgements to the agent", func() {
		const total, window = 16 << 20, 256 << 10
		r := newRig()
		sent := make(chan uint64, 1)
		a := r.connectAgent(func(a *agent, d *cleat.Dispatch) {
			sent <- a.stream(d.Attempt, strings.Repeat("x", 32<<10), total, window)
		})
		res, err := r.client.Do(r.request("GET", "/page", ""))
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		Consistently(sent, "200ms").ShouldNot(Receive())
		n, err := io.Copy(io.Discard, res.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(int64(total)))
		Eventually(sent, testTimeout).Should(Receive())
		Eventually(func() []*cleat.PartAck { return messages[*cleat.PartAck](a) }, testTimeout).Should(ContainElement(
			And(HaveField("Done", true), HaveField("Offset", uint64(total)))))
	})

	It("has parts beyond the entry's buffer dropped and requested again", func() {
		const pieceBytes, pieces = 4 << 10, 64
		r := newRig(func(cfg *entry.Config, _ *cleat.Limits) {
			cfg.MaxPendingBytes = 2 * pieceBytes
			cfg.AckBytes = pieceBytes
		})
		data := strings.Repeat("0123456789abcdef", pieceBytes/16)
		resumed := make(chan uint64, 2*pieces)
		a := r.connectAgent(func(a *agent, d *cleat.Dispatch) {
			a.send(headPart(d.Attempt, "text/plain"))
			resumed <- 0
			for offset := range resumed {
				for next := int(offset); next < pieces*pieceBytes; next += pieceBytes {
					a.send(dataPart(d.Attempt, next, data))
				}
				a.send(endPart(d.Attempt, pieces*pieceBytes, cleat.OutcomeDone))
			}
		})
		a.resumeOffsets = resumed
		_, body := r.roundTrip(r.request("GET", "/page", ""))
		Expect(body).To(Equal(strings.Repeat(data, pieces)))
		close(resumed)
	})
})

var _ = Describe("a caller that disconnects", func() {
	It("has its waiting request withdrawn", func() {
		r := newRig()
		a := r.connectAgent(nil)
		a.mu.Lock()
		a.withholdGrants = true
		a.mu.Unlock()
		req, cancel := withCancel(r.request("POST", "/pay", "x", "Idempotency-Key", "k"))
		res := r.roundTripAsync(req)
		Eventually(r.waiting, testTimeout).Should(Equal(uint32(1)))
		cancel()
		Eventually(r.waiting, testTimeout).Should(BeZero())
		Eventually(res, testTimeout).Should(Receive())
		Eventually(r.claims.recorded, testTimeout).Should(Equal([]cleat.OutcomeKind{cleat.OutcomeNotRun}))
		Expect(messages[*cleat.Dispatch](a)).To(BeEmpty())
	})

	It("has its running repeatable request cancelled", func() {
		r := newRig()
		a := r.connectAgent(nil)
		req, cancel := withCancel(r.request("GET", "/page", ""))
		r.roundTripAsync(req)
		Eventually(func() []*cleat.Dispatch { return messages[*cleat.Dispatch](a) }, testTimeout).Should(HaveLen(1))
		cancel()
		Eventually(func() []*cleat.Cancel { return messages[*cleat.Cancel](a) }, testTimeout).Should(HaveLen(1))
	})

	It("has its running request that may not be repeated completed and the outcome recorded", func() {
		r := newRig()
		a := r.connectAgent(nil)
		req, cancel := withCancel(r.request("POST", "/pay", "x", "Idempotency-Key", "k"))
		res := r.roundTripAsync(req)
		Eventually(func() []*cleat.Dispatch { return messages[*cleat.Dispatch](a) }, testTimeout).Should(HaveLen(1))
		cancel()
		Eventually(res, testTimeout).Should(Receive())
		Consistently(func() []*cleat.Cancel { return messages[*cleat.Cancel](a) }, "50ms").Should(BeEmpty())
		answerWith("paid")(a, messages[*cleat.Dispatch](a)[0])
		Eventually(r.claims.recorded, testTimeout).Should(Equal([]cleat.OutcomeKind{cleat.OutcomeDone}))
		got, body := r.roundTrip(r.request("POST", "/pay", "x", "Idempotency-Key", "k"))
		Expect(body).To(Equal("paid"))
		Expect(got.Header.Get(entry.HeaderReplayed)).To(Equal("yes"))
		Expect(messages[*cleat.Dispatch](a)).To(HaveLen(1))
	})
})

var _ = Describe("shutdown", func() {
	It("by draining completes running answers under load and refuses new requests", func() {
		r := newRig()
		release := make(chan struct{})
		r.connectAgent(func(a *agent, d *cleat.Dispatch) {
			a.send(headPart(d.Attempt, "text/plain"))
			a.send(dataPart(d.Attempt, 0, "abc"))
			<-release
			a.send(dataPart(d.Attempt, 3, "def"))
			a.send(endPart(d.Attempt, 6, cleat.OutcomeDone))
		})
		const load = 20
		var running []<-chan result
		for i := range load {
			running = append(running, r.roundTripAsync(r.request("GET", "/page", "")))
			Eventually(r.running, testTimeout).Should(Equal(uint32(i + 1)))
		}
		r.entry.Drain()
		res, _ := r.roundTrip(r.request("GET", "/readyz", ""))
		Expect(res.StatusCode).To(Equal(http.StatusServiceUnavailable))
		var late result
		Eventually(r.roundTripAsync(r.request("GET", "/page", "")), testTimeout).Should(Receive(&late))
		Expect(late.status).To(Equal(http.StatusServiceUnavailable))
		Expect(late.refusal().Code).To(Equal(cleat.ReasonShutdown))
		Expect(late.refusal().Ran).To(Equal(cleat.RanNo))
		Expect(late.header.Get("Retry-After")).To(Equal("1"))
		Consistently(r.done, "30ms").ShouldNot(Receive())
		close(release)
		for _, c := range running {
			var got result
			Eventually(c, testTimeout).Should(Receive(&got))
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.body).To(Equal("abcdef"))
		}
		Eventually(r.done, testTimeout).Should(Receive(BeNil()))
	})

	It("by Close gives a waiting caller no answer and dispatches nothing", func() {
		r := newRig()
		a := r.connectAgent(nil)
		a.mu.Lock()
		a.withholdGrants = true
		a.mu.Unlock()
		res := r.roundTripAsync(r.request("POST", "/pay", "x"))
		Eventually(r.waiting, testTimeout).Should(Equal(uint32(1)))
		Expect(r.entry.Abandoned()).To(ContainSubstring("1 waiting"))
		r.entry.Close()
		var got result
		Eventually(res, testTimeout).Should(Receive(&got))
		Expect(got.err).To(HaveOccurred())
		Expect(messages[*cleat.Dispatch](a)).To(BeEmpty())
	})
})
