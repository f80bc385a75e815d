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
	fails := func(kind cleat.OutcomeKind) func(a *agent, d *cleat.Dispatch) {
		return func(a *agent, d *cleat.Dispatch) { a.send(end(d.Attempt, 0, kind)) }
	}
	cutsLink := func(a *agent, _ *cleat.Dispatch) { a.cut() }
	idle := func(*agent, *cleat.Dispatch) {}

	cases := map[string]struct {
		change  func(cfg *entry.Config, limits *cleat.Limits)
		run     func(a *agent, d *cleat.Dispatch) // Nil links no agent.
		claimed cleat.ClaimResult
		method  string
		path    string
		body    string
		header  []string
		status  int
		reason  cleat.Reason
		ran     cleat.Ran
		again   bool // Retry-After must be set.
		records cleat.OutcomeKind
	}{
		"without a key": {
			method: "GET", path: "/page", header: []string{"Authorization", ""},
			status: 401, reason: cleat.ReasonUnauthorised, ran: cleat.RanNo,
		},
		"with a wrong key": {
			method: "GET", path: "/page", header: []string{"Authorization", "Bearer other"},
			status: 401, reason: cleat.ReasonUnauthorised, ran: cleat.RanNo,
		},
		"with the hash of a key": {
			method: "GET", path: "/page", header: []string{"Authorization", "Bearer " + cleat.HashKey(key)},
			status: 401, reason: cleat.ReasonUnauthorised, ran: cleat.RanNo,
		},
		"outside of all rules": {
			method: "GET", path: "/other", status: 404, reason: cleat.ReasonNoRule, ran: cleat.RanNo,
		},
		"for a model outside of all rules": {
			method: "POST", path: cleat.ChatPath, body: strings.Replace(chatBody, "draft", "other", 1),
			status: 404, reason: cleat.ReasonNoRule, ran: cleat.RanNo,
		},
		"of a body that is no JSON": {
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
		"while bodies fill the memory set aside": {
			change: func(cfg *entry.Config, _ *cleat.Limits) { cfg.MaxHeldBytes = 4 },
			method: "POST", path: "/page", body: "five!",
			status: 503, reason: cleat.ReasonFleetFull, ran: cleat.RanNo, again: true,
		},
		"without an upstream": {
			run: idle, method: "GET", path: "/absent",
			change: func(cfg *entry.Config, _ *cleat.Limits) { cfg.Queue.UpstreamGrace = time.Millisecond },
			status: 503, reason: cleat.ReasonNoUpstream, ran: cleat.RanNo, again: true,
		},
		"of a request whose deadline passes while it waits": {
			run: nil, method: "GET", path: "/late",
			status: 504, reason: cleat.ReasonDeadline, ran: cleat.RanNo, again: true,
		},
		"without a quorum": {
			run: idle, method: "POST", path: "/pay", header: []string{"Idempotency-Key", "k"},
			claimed: cleat.ClaimResult{State: cleat.ClaimNoQuorum},
			status:  503, reason: cleat.ReasonNoQuorum, ran: cleat.RanNo, again: true, records: cleat.OutcomeNotRun,
		},
		"of a key in doubt": {
			run: idle, method: "POST", path: "/pay", header: []string{"Idempotency-Key", "k"},
			claimed: cleat.ClaimResult{State: cleat.ClaimInDoubt},
			status:  409, reason: cleat.ReasonInDoubt, ran: cleat.RanUnknown,
		},
		"of a key whose request runs": {
			run: idle, method: "POST", path: "/pay", header: []string{"Idempotency-Key", "k"},
			claimed: cleat.ClaimResult{State: cleat.ClaimRunning},
			status:  409, reason: cleat.ReasonKeyInUse, ran: cleat.RanUnknown, again: true,
		},
		"of a key used for another request": {
			run: idle, method: "POST", path: "/pay", header: []string{"Idempotency-Key", "k"},
			claimed: cleat.ClaimResult{State: cleat.ClaimDone, Mismatch: true},
			status:  422, reason: cleat.ReasonKeyMismatch, ran: cleat.RanNo,
		},
		"of a key whose answer was not kept": {
			run: idle, method: "POST", path: "/pay", header: []string{"Idempotency-Key", "k"},
			claimed: cleat.ClaimResult{State: cleat.ClaimDone, Answer: cleat.RecordedAnswer{Status: 200, BodyOmitted: true}},
			status:  409, reason: cleat.ReasonAnswerNotKept, ran: cleat.RanYes,
		},
		"of an action whose upstream failed": {
			run: fails(cleat.OutcomeFailed), method: "POST", path: "/pay", header: []string{"Idempotency-Key", "k"},
			status: 502, reason: cleat.ReasonUpstreamFailed, ran: cleat.RanUnknown, again: true, records: cleat.OutcomeUnknown,
		},
		"of an action whose agent was lost": {
			run: cutsLink, method: "POST", path: "/pay", header: []string{"Idempotency-Key", "k"},
			status: 502, reason: cleat.ReasonAgentLost, ran: cleat.RanUnknown, records: cleat.OutcomeUnknown,
		},
		"of an action without a key whose agent was lost": {
			run: cutsLink, method: "POST", path: "/pay",
			status: 502, reason: cleat.ReasonAgentLost, ran: cleat.RanUnknown,
		},
		"of an answer without a head": {
			run: fails(cleat.OutcomeDone), method: "POST", path: "/pay",
			status: 502, reason: cleat.ReasonUpstreamFailed, ran: cleat.RanUnknown, again: true,
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
				r.link(c.run)
			}
			if c.claimed.State != "" {
				r.claims.result["k"] = c.claimed
			}
			var got result
			Eventually(r.doAsync(r.request(c.method, c.path, c.body, c.header...)), patience).Should(Receive(&got))
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.status).To(Equal(c.status))
			Expect(got.header.Get(entry.HeaderReason)).To(Equal(string(c.reason)))
			Expect(got.header.Get(entry.HeaderRan)).To(Equal(string(c.ran)))
			Expect(got.header.Get("Retry-After") != "").To(Equal(c.again))
			d := got.refusal()
			Expect(d.Code).To(Equal(c.reason))
			Expect(d.Ran).To(Equal(c.ran))
			Expect(string(d.Request)).To(Equal(got.header.Get(entry.HeaderRequest)))
			Expect(d.Message).NotTo(BeEmpty())
			if c.reason != cleat.ReasonUnauthorised {
				Expect(r.entry.Status()).To(HaveExactElements(HaveField("Refused", HaveKeyWithValue(c.reason, uint64(1)))))
			}
			if c.records == "" {
				Expect(r.claims.recorded()).To(BeEmpty())
			} else {
				Expect(r.claims.recorded()).To(Equal([]cleat.OutcomeKind{c.records}))
			}
		})
	}

	It("while settings are unknown", func() {
		r := startRig(entry.Config{}, cleat.NewStaticFleet(nil))
		res, _ := r.do(r.request("GET", "/page", ""))
		Expect(res.StatusCode).To(Equal(503))
		Expect(res.Header.Get(entry.HeaderReason)).To(Equal(string(cleat.ReasonNotReady)))
		Expect(res.Header.Get(entry.HeaderRan)).To(Equal(string(cleat.RanNo)))
	})

	full := map[string]struct {
		change func(cfg *entry.Config, limits *cleat.Limits)
		status int
		reason cleat.Reason
	}{
		"of a workspace with too many waiting": {func(*entry.Config, *cleat.Limits) {}, 429, cleat.ReasonQueueFull},
		"of an entry with too many waiting": {
			func(_ *entry.Config, l *cleat.Limits) { l.MaxWaiting = maxWaiting }, 503, cleat.ReasonFleetFull,
		},
	}
	for name, c := range full {
		It(name, func() {
			r := newRig(c.change)
			for range maxWaiting {
				r.doAsync(r.request("GET", "/page", ""))
			}
			Eventually(r.waiting, patience).Should(Equal(uint32(maxWaiting)))
			res, _ := r.do(r.request("GET", "/page", ""))
			Expect(res.StatusCode).To(Equal(c.status))
			Expect(res.Header.Get(entry.HeaderReason)).To(Equal(string(c.reason)))
			Expect(res.Header.Get(entry.HeaderRan)).To(Equal(string(cleat.RanNo)))
			Expect(res.Header.Get("Retry-After")).NotTo(BeEmpty())
		})
	}
})

var _ = Describe("a caller on a bare connection", func() {
	dial := func(r *rig, text string) net.Conn {
		conn, err := dialSmall(context.Background(), "tcp", r.entry.Addr())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Expect(conn.SetDeadline(time.Now().Add(patience))).To(Succeed())
		_, err = io.WriteString(conn, text)
		Expect(err).NotTo(HaveOccurred())
		return conn
	}
	impatient := func(cfg *entry.Config, _ *cleat.Limits) {
		cfg.BodyTimeout = 50 * time.Millisecond
		cfg.ReadHeaderTimeout = 50 * time.Millisecond
	}
	patient := func(*entry.Config, *cleat.Limits) {}
	auth := "Host: x\r\nAuthorization: Bearer " + key + "\r\n"

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
				strings.Repeat("400\r\n"+strings.Repeat("x", 1024)+"\r\n", 3), 413, cleat.ReasonTooLarge, patient,
		},
		"with broken chunks": {
			"POST /page HTTP/1.1\r\n" + auth + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400, cleat.ReasonMalformed, patient,
		},
		"of HTTP/1.0": {
			"GET /page HTTP/1.0\r\n" + auth + "\r\n", 400, cleat.ReasonMalformed, patient,
		},
		"with a method of its own": {
			"BREW /other HTTP/1.1\r\n" + auth + "\r\n", 404, cleat.ReasonNoRule, patient,
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

	closed := map[string]string{
		"that sends its header too slowly":            "GET /page HTTP/1.1\r\nHo",
		"whose refused body trickles on":              "POST /page HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\na",
		"with two lengths that contradict each other": "POST /page HTTP/1.1\r\n" + auth + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
	}
	for name, text := range closed {
		It("is let go: "+name, func() {
			conn := dial(newRig(impatient), text)
			_, err := io.Copy(io.Discard, conn)
			Expect(err).To(Or(BeNil(), MatchError(syscall.ECONNRESET)), "a deadline means that it was not let go")
		})
	}

	It("that takes no answer is let go, and its request cancelled", func() {
		r := newRig(func(cfg *entry.Config, _ *cleat.Limits) { cfg.WriteTimeout = 50 * time.Millisecond })
		a := r.link(func(a *agent, d *cleat.Dispatch) {
			a.stream(d.Attempt, strings.Repeat("x", 32<<10), 1<<30, 256<<10)
		})
		dial(r, fmt.Sprintf("GET /page HTTP/1.1\r\n%s\r\n", auth))
		Eventually(func() []*cleat.Cancel { return messages[*cleat.Cancel](a) }, patience).Should(HaveLen(1))
	})
})
