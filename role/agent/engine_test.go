package agent_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/role/agent"
	"marigoldcleat.example/cleat/stand/fakes"
)

// collector is an answer sink that records the status, the body and the last reported usage.
type collector struct {
	status int
	text   []byte
	usage  cleat.Usage
}

func (c *collector) Start(status int, _ []cleat.HeaderField) error {
	c.status = status
	return nil
}

func (c *collector) Data(b []byte) error {
	c.text = append(c.text, b...)
	return nil
}

func (c *collector) ReportUsage(u cleat.Usage) { c.usage = u }

// closedAddress returns an address on which nothing listens.
func closedAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	Expect(l.Close()).To(Succeed())
	return l.Addr().String()
}

const (
	stallTimeout = 300 * time.Millisecond
	orderTimeout = 5 * time.Second
)

var _ = Describe("HTTPEngine", func() {
	modelCall := func(tokens int) cleat.Call {
		return cleat.Call{
			Attempt: cleat.Attempt{Request: "r1", Number: 1}, Kind: cleat.KindModel, Repeatable: true,
			Method: "POST", Target: cleat.ChatPath, Body: []byte(chatBody(tokens)),
		}
	}
	plainCall := func() cleat.Call {
		return cleat.Call{
			Attempt: cleat.Attempt{Request: "r1", Number: 1}, Kind: cleat.KindPlain, Method: "POST", Target: "/pay",
			Header: []cleat.HeaderField{{Name: cleat.DefaultIdempotencyHeader, Value: "k"}},
		}
	}
	client := func(a cleat.Announcement) *agent.HTTPEngine {
		e, err := agent.NewHTTPEngine(a, stallTimeout, orderTimeout)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(e.Close)
		return e
	}
	engine := func(change func(c *fakes.EngineConfig)) *fakes.Engine {
		cfg := fakes.EngineConfig{ID: "e1", Models: []cleat.ModelID{"m"}}
		if change != nil {
			change(&cfg)
		}
		e, err := fakes.StartEngine(cfg)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(e.Close)
		return e
	}
	plain := func() *fakes.Plain {
		p, err := fakes.StartPlain(fakes.PlainConfig{ID: "p1", Pool: "desk"})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
		return p
	}
	ctx := context.Background()

	It("reports usage while a stream runs and returns the final usage", func() {
		var c collector
		o := client(engine(nil).Announcement()).Run(ctx, modelCall(20), &c)
		Expect(o.Kind).To(Equal(cleat.OutcomeDone))
		Expect(o.Usage.OutputTokens).To(BeEquivalentTo(20))
		Expect(c.usage.OutputTokens).To(BeNumerically("<=", 20))
		expectCompleteStream(c.text, 20)
	})

	failures := map[string]struct {
		fault    fakes.Fault
		resume   bool
		kind     cleat.OutcomeKind
		answered bool
	}{
		"a reset before the answer":    {fakes.Fault{Kind: fakes.FaultReset}, false, cleat.OutcomeFailed, false},
		"a reset inside the answer":    {fakes.Fault{Kind: fakes.FaultReset, AfterTokens: 3}, false, cleat.OutcomeFailed, true},
		"a hang before the answer":     {fakes.Fault{Kind: fakes.FaultHang}, false, cleat.OutcomeFailed, false},
		"a hang inside the answer":     {fakes.Fault{Kind: fakes.FaultHang, AfterTokens: 3}, false, cleat.OutcomeFailed, true},
		"garbage for an answer":        {fakes.Fault{Kind: fakes.FaultGarbage}, false, cleat.OutcomeFailed, false},
		"garbage inside the answer":    {fakes.Fault{Kind: fakes.FaultGarbage, AfterTokens: 3}, false, cleat.OutcomeFailed, true},
		"half an event at the end":     {fakes.Fault{Kind: fakes.FaultHalfLine, AfterTokens: 3}, false, cleat.OutcomeFailed, true},
		"an overloaded upstream":       {fakes.Fault{Kind: fakes.FaultStatus}, false, cleat.OutcomeFailed, false},
		"one reset that is resumed":    {fakes.Fault{Kind: fakes.FaultReset, AfterTokens: 3, Times: 1}, true, cleat.OutcomeDone, true},
		"resets at every resumption":   {fakes.Fault{Kind: fakes.FaultReset, AfterTokens: 3}, true, cleat.OutcomeFailed, true},
		"half an event that's resumed": {fakes.Fault{Kind: fakes.FaultHalfLine, AfterTokens: 3, Times: 2}, true, cleat.OutcomeDone, true},
	}
	for name, c := range failures {
		It("returns the right outcome after "+name, func() {
			e := engine(func(cfg *fakes.EngineConfig) { cfg.TokenInterval = time.Millisecond })
			e.SetFault(c.fault)
			a := e.Announcement()
			a.CanResume = c.resume
			var sink collector
			o := client(a).Run(ctx, modelCall(20), &sink)
			Expect(o.Kind).To(Equal(c.kind))
			Expect(len(sink.text) > 0).To(Equal(c.answered))
			if c.kind == cleat.OutcomeDone {
				expectCompleteStream(sink.text, 20)
				Expect(o.Usage.OutputTokens).To(BeEquivalentTo(20))
				return
			}
			Expect(o.Reason).To(Equal(cleat.ReasonUpstreamFailed))
			Expect(sink.text).To(Or(BeEmpty(), HaveSuffix("\n\n")), "only complete events are forwarded")
		})
	}

	refused := map[string]cleat.Call{"a model call": modelCall(1), "an action": plainCall()}
	for name, call := range refused {
		It("reports that "+name+" was not run when no connection was made", func() {
			o := client(cleat.Announcement{Address: closedAddress()}).Run(ctx, call, &collector{})
			Expect(o.Kind).To(Equal(cleat.OutcomeNotRun))
			Expect(o.Usage).To(BeZero())
		})
	}

	for _, kind := range []fakes.FaultKind{fakes.FaultReset, fakes.FaultGarbage} {
		It("sends an action once and reports an unknown outcome after "+string(kind), func() {
			p := plain()
			e := client(p.Announcement())
			Expect(e.Run(ctx, plainCall(), &collector{}).Kind).To(Equal(cleat.OutcomeDone))
			p.SetFault(fakes.Fault{Kind: kind})
			Expect(e.Run(ctx, plainCall(), &collector{}).Kind).To(Equal(cleat.OutcomeUnknown))
			Expect(p.TotalRuns()).To(Equal(2))
		})
	}

	for name, start := range map[string]string{
		"a head": "HTTP/1.1 200 OK\r\n",
		"a body": "HTTP/1.1 200 OK\r\n\r\n",
	} {
		It("gives up on "+name+" without end", func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = l.Close() }()
			written := make(chan int, 1)
			go func() {
				c, err := l.Accept()
				n := 0
				for b := []byte(start); err == nil && n < 64<<20; b = bytes.Repeat([]byte("X: y\r\n"), 1000) {
					n += len(b)
					_, err = c.Write(b)
				}
				written <- n
			}()
			e := client(cleat.Announcement{Address: l.Addr().String()})
			e.SetMaxAnswerBytes(1 << 20)
			c := &collector{}
			outcome := e.Run(context.Background(), plainCall(), c)
			Expect(outcome.Kind).NotTo(Equal(cleat.OutcomeDone))
			Expect(len(c.text)).To(BeNumerically("<=", 1<<20))
			var n int
			Eventually(written, 5*time.Second).Should(Receive(&n))
			Expect(n).To(BeNumerically("<", 10<<20)) // The limit and the buffers of the sockets.
		})
	}

	// rawUpstream answers each connection's request with text once its head has arrived, and
	// then lets end close the connection.
	rawUpstream := func(text string, end func(*net.TCPConn)) *agent.HTTPEngine {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					defer func() { _ = c.Close() }()
					if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
						return
					}
					_, _ = io.WriteString(c, text) // The agent may have closed the connection.
					end(c.(*net.TCPConn))
				}()
			}
		}()
		return client(cleat.Announcement{Address: l.Addr().String()})
	}

	// A part of an answer was delivered as the whole one.
	ends := map[string]struct {
		end   func(c *net.TCPConn)
		whole bool
	}{
		"a reset":                     {func(c *net.TCPConn) { time.Sleep(5 * time.Millisecond); _ = c.SetLinger(0) }, false},
		"the end of its sending side": {func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(time.Second) }, true},
		"that end, and a reset later": {func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(5 * time.Millisecond); _ = c.SetLinger(0) }, true},
	}
	for name, c := range ends {
		for _, repeatable := range []bool{true, false} {
			It(fmt.Sprintf("takes an answer without a length that comes before the body is read for whole: %v, after %s, repeatable %v", c.whole, name, repeatable), func() {
				e := rawUpstream("HTTP/1.1 200 OK\r\n\r\nbody", c.end)
				call := plainCall()
				call.Body, call.Repeatable = make([]byte, 4<<20), repeatable
				for range 10 {
					var sink collector
					Expect(e.Run(ctx, call, &sink).Kind == cleat.OutcomeDone).To(Equal(c.whole))
					Expect("body").To(HavePrefix(string(sink.text)))
					Expect(len(sink.text) == 4 || !c.whole).To(BeTrue())
				}
			})
		}
	}

	// An answer of status 0 was delivered.
	heads := map[string]struct {
		text string
		ok   bool
	}{
		"status 200":                   {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", true},
		"status 200 after 100 and 103": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", true},
		"status 000":                   {"HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\nbody", false},
		"status 000 without a body":    {"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n", false},
		"status 099":                   {"HTTP/1.1 099 X\r\nContent-Length: 4\r\n\r\nbody", false},
		"status 101":                   {"HTTP/1.1 101 Switching Protocols\r\n\r\nbody", false},
		"status 600":                   {"HTTP/1.1 600 X\r\nContent-Length: 4\r\n\r\nbody", false},
		"chunks in HTTP/1.0":           {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
		"another version":              {"HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\nbody", false},
	}
	for name, field := range map[string]string{
		"a blank before a colon": "X : a", "a blank in a name": "X Y: a", "a name that begins with a blank": " X: a", "a control byte in a name": "X\x01Y: a", "no name": ": a",
	} {
		c := heads["status 200"]
		c.text, c.ok = strings.Replace(c.text, "\r\n", "\r\n"+field+"\r\n", 1), false
		heads[name] = c
		c.text = "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n\r\n" + heads["status 200"].text
		heads[name+" after 103"] = c
	}
	for name, c := range heads {
		It(fmt.Sprintf("delivers an answer whose head is sound: %v, %s", c.ok, name), func() {
			e := rawUpstream(c.text, func(*net.TCPConn) {})
			for _, repeatable := range []bool{true, false} {
				call := plainCall()
				call.Repeatable = repeatable
				var sink collector
				Expect(e.Run(ctx, call, &sink).Kind == cleat.OutcomeDone).To(Equal(c.ok))
				Expect(string(sink.text) == "body").To(Equal(c.ok))
				Expect(sink.status != 0).To(Equal(c.ok))
			}
		})
	}

	It("forwards the failure status of an action", func() {
		p := plain()
		p.SetFault(fakes.Fault{Kind: fakes.FaultStatus})
		var c collector
		Expect(client(p.Announcement()).Run(ctx, plainCall(), &c).Kind).To(Equal(cleat.OutcomeDone))
		Expect(c.status).To(Equal(503))
	})

	It("doesn't count the time to connect as a stall", func() {
		e := client(engine(nil).Announcement())
		e.DelayDials(2 * stallTimeout)
		var sink collector
		Expect(e.Run(ctx, modelCall(3), &sink).Kind).To(Equal(cleat.OutcomeDone))
		expectCompleteStream(sink.text, 3)
	})

	It("applies no stall timeout to a non-repeatable call", func() {
		p := plain()
		release := p.HoldAnswers()
		defer release()
		ctx, cancel := context.WithTimeout(ctx, 3*stallTimeout)
		defer cancel()
		o := client(p.Announcement()).Run(ctx, plainCall(), &collector{})
		Expect(o.Kind).To(Equal(cleat.OutcomeUnknown))
		Expect(errors.Is(ctx.Err(), context.DeadlineExceeded)).To(BeTrue())
	})

	It("probes the health of an upstream", func() {
		e := engine(nil)
		c := client(e.Announcement())
		Expect(c.Probe(ctx, orderTimeout)).To(Succeed())
		e.Close()
		Expect(c.Probe(ctx, orderTimeout)).NotTo(Succeed())
	})

	It("reports an order whose fence the upstream refused", func() {
		c := client(engine(func(cfg *fakes.EngineConfig) { cfg.Fencing = true }).Announcement())
		Expect(c.Order(ctx, cleat.Order{ID: 1, Fence: 5})).To(Succeed())
		Expect(trace.IsCompareFailed(c.Order(ctx, cleat.Order{ID: 2, Fence: 4}))).To(BeTrue())
	})

	addresses := map[string]bool{"127.0.0.1:80": true, "http://[::1]:80/": true, "https://h": true, "": false, "ftp://h": false, "http://": false}
	for address, ok := range addresses {
		It("checks the address "+address, func() {
			_, err := agent.NewHTTPEngine(cleat.Announcement{Address: address}, stallTimeout, orderTimeout)
			Expect(err == nil).To(Equal(ok))
		})
	}
})

var _ = Describe("Orders", func() {
	for name, fencing := range map[string]bool{"that checks fencing": true, "that ignores fencing": false} {
		It("refuses stale fencing numbers for an upstream "+name, func() {
			a := startAgent(nil)
			e := startEngine(a, func(c *fakes.EngineConfig) { c.Fencing = fencing })
			order := func(id uint64, fence cleat.Fence) cleat.OrderResult {
				return a.Order(cleat.Order{ID: id, Fence: fence, Upstream: "e1", Order: cleat.OrderLoadModel, Model: "n"})
			}
			Eventually(func() bool { return order(1, 5).Done }, waitTimeout).Should(BeTrue())
			Expect(order(2, 4).Problem).To(ContainSubstring("4"))
			Expect(order(3, 6).Done).To(BeTrue())
			Expect(order(3, 6).Done).To(BeTrue(), "resent")
			Expect(order(1, 5).Done).To(BeTrue(), "resent after a newer order; the stored result is returned")
			Expect(e.Orders()).To(HaveLen(2))
			Expect(a.Order(cleat.Order{Upstream: "nobody"}).Done).To(BeFalse())
		})
	}

	It("sends the orders to an upstream one at a time, and none with a stale fencing number", func() {
		a := startAgent(nil)
		e := startEngine(a, nil)
		Eventually(func() bool { return a.Order(cleat.Order{ID: 1, Fence: 1, Upstream: "e1"}).Done }, waitTimeout).Should(BeTrue())
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() { a.Order(cleat.Order{ID: uint64(i + 2), Fence: cleat.Fence(i % 5), Upstream: "e1"}) })
		}
		wg.Wait()
		last := cleat.Fence(0)
		for _, o := range e.Orders() {
			Expect(o.Fence).To(BeNumerically(">=", last))
			last = o.Fence
		}
	})
})

var _ = Describe("SSEParser", func() {
	It("returns only complete events, however the stream is split into reads", func() {
		stream := []byte("id: 7\ndata: {\"delta\":{\"content\":\"a\"}}\n\ndata: {\"delta\":{}}\r\n\r\ndata: {\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":9}}\n\ndata: [DONE]\n\n")
		for size := 1; size <= len(stream); size++ {
			s := agent.NewSSEParser()
			var forwarded []byte
			for rest := stream; len(rest) > 0; {
				n := min(size, len(rest))
				complete := s.Feed(rest[:n])
				Expect(len(complete) == 0 || bytes.HasSuffix(complete, []byte("\n\n")) || bytes.HasSuffix(complete, []byte("\r\n\r\n"))).To(BeTrue())
				forwarded = append(forwarded, complete...)
				rest = rest[n:]
			}
			Expect(forwarded).To(Equal(stream))
			Expect(s.IsTruncated()).To(BeFalse())
			Expect(s.Usage()).To(Equal(cleat.Usage{InputTokens: 3, OutputTokens: 9}))
		}
	})

	It("forwards an endless event in bounded chunks", func() {
		s := agent.NewSSEParser()
		forwarded := 0
		for range 100 {
			forwarded += len(s.Feed(make([]byte, 10000)))
		}
		Expect(forwarded).To(BeNumerically(">", 900000))
		Expect(s.IsTruncated()).To(BeTrue())
	})
})
