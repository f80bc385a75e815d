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

var _ = Describe("the path of a request", func() {
	It("passes a whole answer on, without the workspace key", func() {
		r := newRig()
		a := r.link(answers("page"))
		res, body := r.do(r.request("GET", "/page/7?x=1", "", "X-Own", "kept"))
		Expect(res.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal("page"))
		Expect(res.Header.Get(entry.HeaderRequest)).To(HavePrefix("entry-1-"))
		d := messages[*cleat.Dispatch](a)
		Expect(d).To(HaveLen(1))
		Expect(d[0].Target).To(Equal("/page/7?x=1"))
		Expect(d[0].Header).To(ContainElement(cleat.HeaderField{Name: "X-Own", Value: "kept"}))
		Expect(fmt.Sprint(d[0].Header)).NotTo(ContainSubstring(key))
	})

	It("passes a stream on while it arrives", func() {
		r := newRig()
		next := make(chan struct{})
		a := r.link(func(a *agent, d *cleat.Dispatch) {
			a.send(head(d.Attempt, "text/event-stream"))
			a.send(part(d.Attempt, 0, "data: a\n\n"))
			<-next
			a.send(part(d.Attempt, 9, "data: b\n\n"))
			a.send(end(d.Attempt, 18, cleat.OutcomeDone))
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

	It("sends a long body in pieces", func() {
		r := newRig()
		a := r.link(nil)
		body := strings.Repeat("x", 3*wire.MaxDataBytes+17)
		res := r.doAsync(r.request("POST", "/page", body))
		Eventually(func() string {
			var got strings.Builder
			for _, d := range messages[*cleat.Dispatch](a) {
				got.Write(d.Body)
			}
			for _, b := range messages[*cleat.Body](a) {
				got.Write(b.Data)
			}
			return got.String()
		}, patience).Should(Equal(body))
		answers("done")(a, messages[*cleat.Dispatch](a)[0])
		var got result
		Eventually(res, patience).Should(Receive(&got))
		Expect(got.body).To(Equal("done"))
	})

	It("dispatches again, with the whole body, what broke off before its end", func() {
		r := newRig(func(cfg *entry.Config, _ *cleat.Limits) { cfg.Queue.ResumeGrace = time.Minute })
		a := r.link(nil)
		a.mu.Lock()
		a.cutAfter = 1
		a.mu.Unlock()
		body := strings.Repeat("x", 40*wire.MaxDataBytes)
		res := r.doAsync(r.request("POST", "/pay", body, "Idempotency-Key", "k"))
		Eventually(func() bool { ok, _ := r.entry.Ready(); return ok }, patience).Should(BeFalse())
		a.connect(r.entry)
		Eventually(func() []*cleat.Dispatch { return messages[*cleat.Dispatch](a) }, patience).Should(HaveLen(2))
		second := messages[*cleat.Dispatch](a)[1].Attempt
		Eventually(func() (n int) {
			for _, b := range messages[*cleat.Body](a) {
				if b.Attempt == second {
					n += len(b.Data)
				}
			}
			return n
		}, patience).Should(Equal(39 * wire.MaxDataBytes))
		answers("paid")(a, &cleat.Dispatch{Attempt: second})
		var got result
		Eventually(res, patience).Should(Receive(&got))
		Expect(got.body).To(Equal("paid"))
		Expect(r.claims.recorded()).To(Equal([]cleat.OutcomeKind{cleat.OutcomeDone}))
	})

	It("dispatches again what an agent refused unrun", func() {
		r := newRig()
		a := r.link(func(a *agent, d *cleat.Dispatch) {
			if d.Attempt.Number == 1 {
				a.send(&cleat.Refused{Attempt: d.Attempt, Reason: cleat.ReasonStaleGrant, Ran: cleat.RanNo})
				return
			}
			answers("paid")(a, d)
		})
		res, body := r.do(r.request("POST", "/pay", "x"))
		Expect(res.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal("paid"))
		Expect(messages[*cleat.Dispatch](a)).To(HaveLen(2))
	})

	It("puts crossed, doubled and late parts right", func() {
		r := newRig()
		a := r.link(func(a *agent, d *cleat.Dispatch) {
			other := cleat.Attempt{Request: d.Attempt.Request, Number: d.Attempt.Number + 1}
			a.send(part(other, 0, "of another attempt"))
			a.send(part(cleat.Attempt{Request: "nobody", Number: 1}, 0, "of no request"))
			a.send(head(d.Attempt, "text/plain"))
			a.send(part(d.Attempt, 0, "abc"))
			a.send(part(d.Attempt, 0, "abc"))
			a.send(part(d.Attempt, 6, "ghi"))
			a.send(part(d.Attempt, 9, "jkl"))
		})
		res := r.doAsync(r.request("GET", "/page", ""))
		Eventually(func() []*cleat.Resume { return messages[*cleat.Resume](a) }, patience).Should(HaveLen(1))
		m := messages[*cleat.Resume](a)[0]
		Expect(m.Offset).To(Equal(uint64(3)))
		a.send(part(m.Attempt, 3, "defghi"))
		a.send(part(m.Attempt, 6, "ghijkl"))
		a.send(end(m.Attempt, 12, cleat.OutcomeDone))
		a.send(end(m.Attempt, 12, cleat.OutcomeDone))
		var got result
		Eventually(res, patience).Should(Receive(&got))
		Expect(got.body).To(Equal("abcdefghijkl"))
		Consistently(func() int { return len(messages[*cleat.Resume](a)) }, "50ms").Should(Equal(1))
		Expect(messages[*cleat.Cancel](a)).To(HaveExactElements(
			HaveField("Attempt.Number", m.Attempt.Number+1),
			HaveField("Attempt.Request", cleat.RequestID("nobody"))))
	})

	It("resumes an answer over a new link, whole and without doubled parts", func() {
		r := newRig(func(cfg *entry.Config, _ *cleat.Limits) { cfg.Queue.ResumeGrace = time.Minute })
		a := r.link(func(a *agent, d *cleat.Dispatch) {
			a.send(head(d.Attempt, "text/plain"))
			a.send(part(d.Attempt, 0, "abc"))
			a.cut()
		})
		res := r.doAsync(r.request("POST", "/pay", "x"))
		Eventually(func() bool { ok, _ := r.entry.Ready(); return ok }, patience).Should(BeFalse())
		a.connect(r.entry)
		Eventually(func() []*cleat.Resume { return messages[*cleat.Resume](a) }, patience).Should(HaveLen(1))
		m := messages[*cleat.Resume](a)[0]
		a.send(part(m.Attempt, int(m.Offset), "abcdef"[m.Offset:]))
		a.send(end(m.Attempt, 6, cleat.OutcomeDone))
		var got result
		Eventually(res, patience).Should(Receive(&got))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal("abcdef"))
		Expect(messages[*cleat.Dispatch](a)).To(HaveLen(1))
	})

	It("never lets a caller take a stream cut by a lost agent for whole", func() {
		r := newRig()
		a := r.link(func(a *agent, d *cleat.Dispatch) {
			a.send(head(d.Attempt, "text/event-stream"))
			a.send(part(d.Attempt, 0, "data: a\n\n"))
		})
		res := r.doAsync(r.request("POST", cleat.ChatPath, chatBody))
		Eventually(func() []*cleat.Dispatch { return messages[*cleat.Dispatch](a) }, patience).Should(HaveLen(1))
		Eventually(r.running, patience).Should(Equal(uint32(1)))
		time.Sleep(20 * time.Millisecond)
		a.cut()
		var got result
		Eventually(res, patience).Should(Receive(&got))
		Expect(got.err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(got.body).To(HavePrefix("data: a\n\nevent: error\ndata: "))
		Expect(got.body).To(ContainSubstring(`"code":"agent_lost"`))
		Expect(got.body).To(MatchRegexp(`"ran":"(yes|unknown)"`))
		Expect(messages[*cleat.Dispatch](a)).To(HaveLen(1))
	})

	It("sends no error event into the middle of an event", func() {
		r := newRig()
		r.link(func(a *agent, d *cleat.Dispatch) {
			a.send(head(d.Attempt, "text/event-stream"))
			a.send(part(d.Attempt, 0, "data: {\"half"))
			time.Sleep(20 * time.Millisecond)
			a.send(end(d.Attempt, 12, cleat.OutcomeFailed))
		})
		var got result
		Eventually(r.doAsync(r.request("POST", cleat.ChatPath, chatBody)), patience).Should(Receive(&got))
		Expect(errors.Is(got.err, io.ErrUnexpectedEOF)).To(BeTrue())
		Expect(got.body).To(Equal("data: {\"half"))
	})

	It("retries a repeatable request of which nothing reached the caller", func() {
		r := newRig()
		a := r.link(func(a *agent, d *cleat.Dispatch) {
			if d.Attempt.Number == 1 {
				a.send(end(d.Attempt, 0, cleat.OutcomeFailed))
				return
			}
			answers("second")(a, d)
		})
		res, body := r.do(r.request("GET", "/page", ""))
		Expect(res.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal("second"))
		Expect(messages[*cleat.Dispatch](a)).To(HaveLen(2))
	})

	It("holds back the acknowledgements of an answer that its caller doesn't take", func() {
		const total, window = 16 << 20, 256 << 10
		r := newRig()
		sent := make(chan uint64, 1)
		a := r.link(func(a *agent, d *cleat.Dispatch) {
			sent <- a.stream(d.Attempt, strings.Repeat("x", 32<<10), total, window)
		})
		res, err := r.client.Do(r.request("GET", "/page", ""))
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		Consistently(sent, "200ms").ShouldNot(Receive())
		n, err := io.Copy(io.Discard, res.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(int64(total)))
		Eventually(sent, patience).Should(Receive())
		Eventually(func() []*cleat.PartAck { return messages[*cleat.PartAck](a) }, patience).Should(ContainElement(
			And(HaveField("Done", true), HaveField("Offset", uint64(total)))))
	})

	It("drops what an agent sends beyond its window, and asks for it again", func() {
		const pieceBytes, pieces = 4 << 10, 64
		r := newRig(func(cfg *entry.Config, _ *cleat.Limits) {
			cfg.MaxPendingBytes = 2 * pieceBytes
			cfg.AckBytes = pieceBytes
		})
		data := strings.Repeat("0123456789abcdef", pieceBytes/16)
		resumed := make(chan uint64, 2*pieces)
		a := r.link(func(a *agent, d *cleat.Dispatch) {
			a.send(head(d.Attempt, "text/plain"))
			resumed <- 0
			for offset := range resumed {
				for at := int(offset); at < pieces*pieceBytes; at += pieceBytes {
					a.send(part(d.Attempt, at, data))
				}
				a.send(end(d.Attempt, pieces*pieceBytes, cleat.OutcomeDone))
			}
		})
		a.resumed = resumed
		_, body := r.do(r.request("GET", "/page", ""))
		Expect(body).To(Equal(strings.Repeat(data, pieces)))
		close(resumed)
	})
})

var _ = Describe("a caller that goes away", func() {
	It("withdraws its waiting request", func() {
		r := newRig()
		a := r.link(nil)
		a.mu.Lock()
		a.idle = true
		a.mu.Unlock()
		req, cancel := withCancel(r.request("POST", "/pay", "x", "Idempotency-Key", "k"))
		res := r.doAsync(req)
		Eventually(r.waiting, patience).Should(Equal(uint32(1)))
		cancel()
		Eventually(r.waiting, patience).Should(BeZero())
		Eventually(res, patience).Should(Receive())
		Eventually(r.claims.recorded, patience).Should(Equal([]cleat.OutcomeKind{cleat.OutcomeNotRun}))
		Expect(messages[*cleat.Dispatch](a)).To(BeEmpty())
	})

	It("cancels its running repeatable request", func() {
		r := newRig()
		a := r.link(nil)
		req, cancel := withCancel(r.request("GET", "/page", ""))
		r.doAsync(req)
		Eventually(func() []*cleat.Dispatch { return messages[*cleat.Dispatch](a) }, patience).Should(HaveLen(1))
		cancel()
		Eventually(func() []*cleat.Cancel { return messages[*cleat.Cancel](a) }, patience).Should(HaveLen(1))
	})

	It("leaves a request that may not repeat to finish, and records its outcome", func() {
		r := newRig()
		a := r.link(nil)
		req, cancel := withCancel(r.request("POST", "/pay", "x", "Idempotency-Key", "k"))
		res := r.doAsync(req)
		Eventually(func() []*cleat.Dispatch { return messages[*cleat.Dispatch](a) }, patience).Should(HaveLen(1))
		cancel()
		Eventually(res, patience).Should(Receive())
		Consistently(func() []*cleat.Cancel { return messages[*cleat.Cancel](a) }, "50ms").Should(BeEmpty())
		answers("paid")(a, messages[*cleat.Dispatch](a)[0])
		Eventually(r.claims.recorded, patience).Should(Equal([]cleat.OutcomeKind{cleat.OutcomeDone}))
		got, body := r.do(r.request("POST", "/pay", "x", "Idempotency-Key", "k"))
		Expect(body).To(Equal("paid"))
		Expect(got.Header.Get(entry.HeaderReplayed)).To(Equal("yes"))
		Expect(messages[*cleat.Dispatch](a)).To(HaveLen(1))
	})
})

var _ = Describe("shutdown", func() {
	It("cuts no answer under load and takes no new request", func() {
		r := newRig()
		release := make(chan struct{})
		r.link(func(a *agent, d *cleat.Dispatch) {
			a.send(head(d.Attempt, "text/plain"))
			a.send(part(d.Attempt, 0, "abc"))
			<-release
			a.send(part(d.Attempt, 3, "def"))
			a.send(end(d.Attempt, 6, cleat.OutcomeDone))
		})
		const load = 20
		var running []<-chan result
		for i := range load {
			running = append(running, r.doAsync(r.request("GET", "/page", "")))
			Eventually(r.running, patience).Should(Equal(uint32(i + 1)))
		}
		r.entry.Drain()
		res, _ := r.do(r.request("GET", "/readyz", ""))
		Expect(res.StatusCode).To(Equal(http.StatusServiceUnavailable))
		var late result
		Eventually(r.doAsync(r.request("GET", "/page", "")), patience).Should(Receive(&late))
		Expect(late.status).To(Equal(http.StatusServiceUnavailable))
		Expect(late.refusal().Code).To(Equal(cleat.ReasonShutdown))
		Expect(late.refusal().Ran).To(Equal(cleat.RanNo))
		Expect(late.header.Get("Retry-After")).To(Equal("1"))
		Consistently(r.done, "30ms").ShouldNot(Receive())
		close(release)
		for _, c := range running {
			var got result
			Eventually(c, patience).Should(Receive(&got))
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.body).To(Equal("abcdef"))
		}
		Eventually(r.done, patience).Should(Receive(BeNil()))
	})

	It("by a kill gives no waiting caller an answer that looks whole, and runs nothing", func() {
		r := newRig()
		a := r.link(nil)
		a.mu.Lock()
		a.idle = true
		a.mu.Unlock()
		res := r.doAsync(r.request("POST", "/pay", "x"))
		Eventually(r.waiting, patience).Should(Equal(uint32(1)))
		Expect(r.entry.Abandoned()).To(ContainSubstring("1 waiting"))
		r.entry.Close()
		var got result
		Eventually(res, patience).Should(Receive(&got))
		Expect(got.err).To(HaveOccurred())
		Expect(messages[*cleat.Dispatch](a)).To(BeEmpty())
	})
})
