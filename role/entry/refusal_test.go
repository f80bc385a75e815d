package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/role/entry"
)

var _ = Describe("a refusal", func() {
	failWith := func(kind cleat.OutcomeKind) func(a *agent, d *cleat.Dispatch) {
		return func(a *agent, d *cleat.Dispatch) { a.send(endPart(d.Attempt, 0, kind)) }
	}
	closeLink := func(a *agent, _ *cleat.Dispatch) { a.closeLink() }
	noAnswer := func(*agent, *cleat.Dispatch) {}

	cases := map[string]struct {
		change     func(cfg *entry.Config, limits *cleat.Limits)
		run        func(a *agent, d *cleat.Dispatch) // Nil connects no agent.
		claim      cleat.ClaimResult
		method     string
		path       string
		body       string
		header     []string
		status     int
		reason     cleat.Reason
		ran        cleat.Ran
		retryAfter bool // Whether Retry-After must be set.
		recorded   cleat.OutcomeKind
	}{
		"of a request without a workspace key": {
			method: "GET", path: "/page", header: []string{"Authorization", ""},
			status: 401, reason: cleat.ReasonUnauthorised, ran: cleat.RanNo,
		},
		"of a request with an unknown workspace key": {
			method: "GET", path: "/page", header: []string{"Authorization", "Bearer other"},
			status: 401, reason: cleat.ReasonUnauthorised, ran: cleat.RanNo,
		},
		"of a request with the hash of a workspace key": {
			method: "GET", path: "/page", header: []string{"Authorization", "Bearer " + cleat.HashKey(workspaceKey)},
			status: 401, reason: cleat.ReasonUnauthorised, ran: cleat.RanNo,
		},
		"of a request that no rule matches": {
			method: "GET", path: "/other", status: 404, reason: cleat.ReasonNoRule, ran: cleat.RanNo,
		},
		"of a request for a model that no rule matches": {
			method: "POST", path: cleat.ChatPath, body: strings.Replace(chatBody, "draft", "other", 1),
			status: 404, reason: cleat.ReasonNoRule, ran: cleat.RanNo,
		},
		"of a body that is not JSON": {
			method: "POST", path: cleat.ChatPath, body: `{"model":`,
			status: 400, reason: cleat.ReasonMalformed, ran: cleat.RanNo,
		},
		"of a path that upstreams may rewrite": {
			method: "POST", path: "/page/%2e%2e/pay", status: 400, reason: cleat.ReasonMalformed, ran: cleat.RanNo,
		},
		"of a doubled slash": {
			method: "POST", path: "//pay", status: 400, reason: cleat.ReasonMalformed, ran: cleat.RanNo,
		},
		"of an empty idempotency key": {
			method: "POST", path: "/pay", header: []string{"Idempotency-Key", ""},
			status: 400, reason: cleat.ReasonMalformed, ran: cleat.RanNo,
		},
		"of an overlong idempotency key": {
			method: "POST", path: "/pay", header: []string{"Idempotency-Key", strings.Repeat("k", 256)},
			status: 400, reason: cleat.ReasonMalformed, ran: cleat.RanNo,
		},
		"of a large body": {
			change: func(_ *entry.Config, l *cleat.Limits) { l.MaxBodyBytes = 10 },
			method: "POST", path: "/page", body: "more than ten bytes",
			status: 413, reason: cleat.ReasonTooLarge, ran: cleat.RanNo,
		},
		"of a large header": {
			change: func(_ *entry.Config, l *cleat.Limits) { l.MaxHeaderBytes = 1024 },
			method: "GET", path: "/page", header: []string{"X-Large", strings.Repeat("x", 2000)},
			status: 413, reason: cleat.ReasonTooLarge, ran: cleat.RanNo,
		},
		"while request bodies fill the memory budget": {
			change: func(cfg *entry.Config, _ *cleat.Limits) { cfg.MaxHeldBytes = 4 },
			method: "POST", path: "/page", body: "five!",
			status: 503, reason: cleat.ReasonFleetFull, ran: cleat.RanNo, retryAfter: true,
		},
		"of a request for a model without an upstream": {
			run: noAnswer, method: "GET", path: "/absent",
			change: func(cfg *entry.Config, _ *cleat.Limits) { cfg.Queue.UpstreamGrace = time.Millisecond },
			status: 503, reason: cleat.ReasonNoUpstream, ran: cleat.RanNo, retryAfter: true,
		},
		"of a request whose deadline passes while it waits": {
			run: nil, method: "GET", path: "/late",
			status: 504, reason: cleat.ReasonDeadline, ran: cleat.RanNo, retryAfter: true,
		},
		"of an idempotency key that no quorum claimed": {
			run: noAnswer, method: "POST", path: "/pay", header: []string{"Idempotency-Key", "k"},
			claim:  cleat.ClaimResult{State: cleat.ClaimNoQuorum},
			status: 503, reason: cleat.ReasonNoQuorum, ran: cleat.RanNo, retryAfter: true, recorded: cleat.OutcomeNotRun,
		},
		"of an idempotency key in doubt": {
			run: noAnswer, method: "POST", path: "/pay", header: []string{"Idempotency-Key", "k"},
			claim:  cleat.ClaimResult{State: cleat.ClaimInDoubt},
			status: 409, reason: cleat.ReasonInDoubt, ran: cleat.RanUnknown,
		},
		"of an idempotency key whose request is still running": {
			run: noAnswer, method: "POST", path: "/pay", header: []string{"Idempotency-Key", "k"},
			claim:  cleat.ClaimResult{State: cleat.ClaimRunning},
			status: 409, reason: cleat.ReasonKeyInUse, ran: cleat.RanUnknown, retryAfter: true,
		},
		"of an idempotency key used for another request": {
			run: noAnswer, method: "POST", path: "/pay", header: []string{"Idempotency-Key", "k"},
			claim:  cleat.ClaimResult{State: cleat.ClaimDone, Mismatch: true},
			status: 422, reason: cleat.ReasonKeyMismatch, ran: cleat.RanNo,
		},
		"of an idempotency key whose answer was not kept": {
			run: noAnswer, method: "POST", path: "/pay", header: []string{"Idempotency-Key", "k"},
			claim:  cleat.ClaimResult{State: cleat.ClaimDone, Answer: cleat.RecordedAnswer{Status: 200, BodyOmitted: true}},
			status: 409, reason: cleat.ReasonAnswerNotKept, ran: cleat.RanYes,
		},
		"of a non-repeatable request whose upstream failed": {
			run: failWith(cleat.OutcomeFailed), method: "POST", path: "/pay", header: []string{"Idempotency-Key", "k"},
			status: 502, reason: cleat.ReasonUpstreamFailed, ran: cleat.RanUnknown, retryAfter: true, recorded: cleat.OutcomeUnknown,
		},
		"of a non-repeatable request whose agent was lost": {
			run: closeLink, method: "POST", path: "/pay", header: []string{"Idempotency-Key", "k"},
			status: 502, reason: cleat.ReasonAgentLost, ran: cleat.RanUnknown, recorded: cleat.OutcomeUnknown,
		},
		"of a non-repeatable request without an idempotency key whose agent was lost": {
			run: closeLink, method: "POST", path: "/pay",
			status: 502, reason: cleat.ReasonAgentLost, ran: cleat.RanUnknown,
		},
		"of an answer without a head": {
			run: failWith(cleat.OutcomeDone), method: "POST", path: "/pay",
			status: 502, reason: cleat.ReasonUpstreamFailed, ran: cleat.RanUnknown, retryAfter: true,
		},
	}
	for name, c := range cases {
		It(name, func() {
			change := c.change
			if change == nil {
				change = func(*entry.Config, *cleat.Limits) {}
			}
			r := newRig(change)
			if c.run != nil {
				r.connectAgent(c.run)
			}
			if c.claim.State != "" {
				r.claims.scripted["k"] = c.claim
			}
			var got result
			Eventually(r.roundTripAsync(r.request(c.method, c.path, c.body, c.header...)), testTimeout).Should(Receive(&got))
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.status).To(Equal(c.status))
			Expect(got.header.Get(entry.HeaderReason)).To(Equal(string(c.reason)))
			Expect(got.header.Get(entry.HeaderRan)).To(Equal(string(c.ran)))
			Expect(got.header.Get("Retry-After") != "").To(Equal(c.retryAfter))
			d := got.refusal()
			Expect(d.Code).To(Equal(c.reason))
			Expect(d.Ran).To(Equal(c.ran))
			Expect(string(d.Request)).To(Equal(got.header.Get(entry.HeaderRequest)))
			Expect(d.Message).NotTo(BeEmpty())
			if c.reason != cleat.ReasonUnauthorised {
				Expect(r.entry.Status()).To(HaveExactElements(HaveField("Refused", HaveKeyWithValue(c.reason, uint64(1)))))
			}
			if c.recorded == "" {
				Expect(r.claims.recorded()).To(BeEmpty())
			} else {
				Expect(r.claims.recorded()).To(Equal([]cleat.OutcomeKind{c.recorded}))
			}
		})
	}

	It("while settings are unknown", func() {
		r := startRig(entry.Config{}, cleat.NewStaticFleet(nil))
		res, _ := r.roundTrip(r.request("GET", "/page", ""))
		Expect(res.StatusCode).To(Equal(503))
		Expect(res.Header.Get(entry.HeaderReason)).To(Equal(string(cleat.ReasonNotReady)))
		Expect(res.Header.Get(entry.HeaderRan)).To(Equal(string(cleat.RanNo)))
	})

	queueLimits := map[string]struct {
		change func(cfg *entry.Config, limits *cleat.Limits)
		status int
		reason cleat.Reason
	}{
		"of a workspace with too many waiting requests": {func(*entry.Config, *cleat.Limits) {}, 429, cleat.ReasonQueueFull},
		"of an entry with too many waiting requests": {
			func(_ *entry.Config, l *cleat.Limits) { l.MaxWaiting = maxWaiting }, 503, cleat.ReasonFleetFull,
		},
	}
	for name, c := range queueLimits {
		It(name, func() {
			r := newRig(c.change)
			for range maxWaiting {
				r.roundTripAsync(r.request("GET", "/page", ""))
			}
			Eventually(r.waiting, testTimeout).Should(Equal(uint32(maxWaiting)))
			res, _ := r.roundTrip(r.request("GET", "/page", ""))
			Expect(res.StatusCode).To(Equal(c.status))
			Expect(res.Header.Get(entry.HeaderReason)).To(Equal(string(c.reason)))
			Expect(res.Header.Get(entry.HeaderRan)).To(Equal(string(cleat.RanNo)))
			Expect(res.Header.Get("Retry-After")).NotTo(BeEmpty())
		})
	}
})

var _ = Describe("a caller on a raw connection", func() {
	dial := func(r *rig, text string) net.Conn {
		conn, err := dialWithSmallBuffer(context.Background(), "tcp", r.entry.Addr())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Expect(conn.SetDeadline(time.Now().Add(testTimeout))).To(Succeed())
		_, err = io.WriteString(conn, text)
		Expect(err).NotTo(HaveOccurred())
		return conn
	}
	shortTimeouts := func(cfg *entry.Config, _ *cleat.Limits) {
		cfg.BodyTimeout = 50 * time.Millisecond
		cfg.ReadHeaderTimeout = 50 * time.Millisecond
	}
	noChange := func(*entry.Config, *cleat.Limits) {}
	auth := "Host: x\r\nAuthorization: Bearer " + workspaceKey + "\r\n"

	cases := map[string]struct {
		text   string
		status int
		reason cleat.Reason
		change func(cfg *entry.Config, limits *cleat.Limits)
	}{
		"whose body never ends": {
			"POST /page HTTP/1.1\r\n" + auth + "Content-Length: 10\r\n\r\nab", 408, cleat.ReasonCallerSlow,
			func(cfg *entry.Config, _ *cleat.Limits) { cfg.BodyTimeout = 50 * time.Millisecond },
		},
		"whose chunked body grows too large": {
			"POST /page HTTP/1.1\r\n" + auth + "Transfer-Encoding: chunked\r\n\r\n" +
				strings.Repeat("400\r\n"+strings.Repeat("x", 1024)+"\r\n", 3), 413, cleat.ReasonTooLarge, noChange,
		},
		"with broken chunks": {
			"POST /page HTTP/1.1\r\n" + auth + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400, cleat.ReasonMalformed, noChange,
		},
		"that uses HTTP/1.0": {
			"GET /page HTTP/1.0\r\n" + auth + "\r\n", 400, cleat.ReasonMalformed, noChange,
		},
		"with a non-standard method": {
			"BREW /other HTTP/1.1\r\n" + auth + "\r\n", 404, cleat.ReasonNoRule, noChange,
		},
	}
	for name, c := range cases {
		It(name, func() {
			r := newRig(c.change, func(_ *entry.Config, l *cleat.Limits) { l.MaxBodyBytes = 2048 })
			conn := dial(r, c.text)
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(err).NotTo(HaveOccurred())
			defer res.Body.Close()
			Expect(res.StatusCode).To(Equal(c.status))
			Expect(res.Header.Get(entry.HeaderReason)).To(Equal(string(c.reason)))
			Expect(res.Header.Get(entry.HeaderRan)).To(Equal(string(cleat.RanNo)))
		})
	}

	disconnected := map[string]string{
		"that sends its header too slowly":            "GET /page HTTP/1.1\r\nHo",
		"whose refused body is sent too slowly":       "POST /page HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\na",
		"with two lengths that contradict each other": "POST /page HTTP/1.1\r\n" + auth + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
	}
	for name, text := range disconnected {
		It(name+" is disconnected", func() {
			conn := dial(newRig(shortTimeouts), text)
			_, err := io.Copy(io.Discard, conn)
			Expect(err).To(Or(BeNil(), MatchError(syscall.ECONNRESET)), "a read deadline error means that the entry did not close the connection")
		})
	}

	It("that does not read its answer has its request cancelled", func() {
		r := newRig(func(cfg *entry.Config, _ *cleat.Limits) { cfg.WriteTimeout = 50 * time.Millisecond })
		a := r.connectAgent(func(a *agent, d *cleat.Dispatch) {
			a.stream(d.Attempt, strings.Repeat("x", 32<<10), 1<<30, 256<<10)
		})
		dial(r, fmt.Sprintf("GET /page HTTP/1.1\r\n%s\r\n", auth))
		Eventually(func() []*cleat.Cancel { return messages[*cleat.Cancel](a) }, testTimeout).Should(HaveLen(1))
	})
})
