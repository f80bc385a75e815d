package agent_test

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
	"marigoldcleat.example/cleat/role/agent"
	roleentry "marigoldcleat.example/cleat/role/entry"
	"marigoldcleat.example/cleat/role/telem"
	"marigoldcleat.example/cleat/stand/fakes"
)

const (
	callerKey   = "caller-key"
	resumeGrace = 400 * time.Millisecond
)

// fleet is a real entry and real agents, each agent behind a relay that injects faults.
type fleet struct {
	entry  *roleentry.Entry
	dialer *wire.Dialer
	agents map[string]*runningAgent
	relays map[string]*fakes.Relay
	client *http.Client
}

// reply is the result of a caller's request.
type reply struct {
	status int
	ran    string
	reason string
	text   string
	err    error
}

func (r reply) String() string {
	return fmt.Sprintf("status %d, ran %q, reason %q, %d bytes, error: %v", r.status, r.ran, r.reason, len(r.text), r.err)
}

func startFleet() *fleet {
	w := cleat.Workspace{ID: "ring/desk", KeyHashes: []string{cleat.HashKey(callerKey)}}
	w.Defaults()
	rules := []cleat.Rule{
		{Name: "chat", Order: 1, PathPrefix: cleat.ChatPath, Repeatable: true, Deadline: 15},
		{Name: "pay", Order: 2, Method: "POST", Kind: cleat.KindPlain, Model: "desk", Deadline: 15},
	}
	for i := range rules {
		rules[i].Defaults()
	}
	var limits cleat.Limits
	limits.Defaults()
	limits.RetryRatio = 1
	settings := cleat.NewFleet(1, cleat.NewWorkspaces([]cleat.Workspace{w}), cleat.NewRules(rules), nil, limits)
	self := cleat.Peer{Instance: "entry1", Incarnation: cleat.NewIncarnation(time.Now()), Role: cleat.RoleEntry, Domain: "d1"}
	var cfg roleentry.Config
	cfg.Queue.ResumeGrace = resumeGrace
	e, err := roleentry.New(cfg, "127.0.0.1:0", roleentry.Dependencies{
		Self: self, Fleet: cleat.NewStaticFleet(settings), Clock: cleat.SystemClock{},
		Rand: rand.New(rand.NewSource(1)), Log: discardLogger(), Metrics: telem.NewMetrics(cleat.RoleEntry, discardLogger()),
	})
	Expect(err).NotTo(HaveOccurred())
	f := &fleet{entry: e, agents: make(map[string]*runningAgent), relays: make(map[string]*fakes.Relay), client: &http.Client{Transport: &http.Transport{}}}
	DeferCleanup(f.client.CloseIdleConnections)
	f.dialer = wire.NewDialer(linkConfig(), func() cleat.Peer { return self }, e, discardLogger())
	DeferCleanup(f.dialer.Close)
	go func() { _ = e.Run() }()
	DeferCleanup(e.Close)
	return f
}

// addAgent starts an agent behind a relay.
func (f *fleet) addAgent(id string) *runningAgent { return f.addAgentAt(id, "") }

// addAgentAt is addAgent with a given HTTP address, for an agent's next incarnation.
func (f *fleet) addAgentAt(id, http string) *runningAgent {
	a := startAgent(func(c *agent.Config) {
		c.Peer.Instance = cleat.InstanceID(id)
		c.HTTP = http
		c.ResumeGrace = 2 * resumeGrace
	})
	r, err := fakes.StartRelay(a.Addr())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(r.Close)
	f.agents[id], f.relays[id] = a, r
	f.dialer.AddAddress(r.Addr())
	return a
}

func (f *fleet) post(path, body string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.entry.Addr()+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := f.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	h := resp.Header
	return reply{status: resp.StatusCode, ran: h.Get("Marigoldcleat-Ran"), reason: h.Get("Marigoldcleat-Reason"), text: string(b), err: err}
}

// postAsync posts in the background.
func (f *fleet) postAsync(path, body string) <-chan reply {
	c := make(chan reply, 1)
	go func() { c <- f.post(path, body) }()
	return c
}

func receive(c <-chan reply) reply {
	GinkgoHelper()
	var r reply
	Eventually(c, 2*waitTimeout).Should(Receive(&r))
	return r
}

// warmUp posts requests until each engine has started one, so that the entry knows all of them.
func (f *fleet) warmUp(engines ...*fakes.Engine) {
	GinkgoHelper()
	for _, e := range engines {
		Eventually(func() int {
			Expect(f.post(cleat.ChatPath, chatBody(1)).status).To(Or(Equal(http.StatusOK), Equal(http.StatusServiceUnavailable)))
			return e.Stats().Started
		}, waitTimeout, time.Millisecond).Should(BeNumerically(">", 0))
	}
}

func slowTokens(c *fakes.EngineConfig) { c.TokenInterval = 2 * time.Millisecond }

var _ = Describe("Entry and agent", func() {
	var f *fleet

	BeforeEach(func() { f = startFleet() })

	faults := map[string]func(r *fakes.Relay){
		"cut":      func(r *fakes.Relay) { r.Cut() },
		"silenced": func(r *fakes.Relay) { r.Silence() },
	}
	for name, fault := range faults {
		It("delivers the complete answer over a link that is "+name+" and then restored", func() {
			engine := startEngine(f.addAgent("a1"), slowTokens)
			got := f.postAsync(cleat.ChatPath, chatBody(200))
			Eventually(func() int { return engine.Stats().OutputTokens }, waitTimeout).Should(BeNumerically(">", 50))
			fault(f.relays["a1"])
			time.Sleep(resumeGrace / 4)
			f.relays["a1"].Heal()
			r := receive(got)
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.status).To(Equal(http.StatusOK), fmt.Sprint(r))
			expectCompleteStream([]byte(r.text), 200)
			Expect(engine.Stats().Started).To(Equal(1))
		})
	}

	It("never reports a truncated answer as complete when its agent is killed", func() {
		a := f.addAgent("a1")
		engine := startEngine(a, slowTokens)
		got := f.postAsync(cleat.ChatPath, chatBody(5000))
		Eventually(func() int { return engine.Stats().OutputTokens }, waitTimeout).Should(BeNumerically(">", 50))
		a.Close()
		r := receive(got)
		Expect(r.err).To(HaveOccurred())
		Expect(r.text).NotTo(ContainSubstring("[DONE]"))
	})

	It("retries a repeatable request at another agent when its agent is killed before the answer starts", func() {
		a := f.addAgent("a1")
		first := startEngine(a, func(c *fakes.EngineConfig) { c.TokenInterval = time.Hour })
		got := f.postAsync(cleat.ChatPath, chatBody(20))
		Eventually(first.Running, waitTimeout).Should(Equal(1))
		second := startEngine(f.addAgent("a2"), func(c *fakes.EngineConfig) { c.ID = "e2" })
		a.Close()
		r := receive(got)
		Expect(r.status).To(Equal(http.StatusOK), fmt.Sprint(r))
		expectCompleteStream([]byte(r.text), 20)
		Expect(second.Stats().Started).To(Equal(1))
	})

	It("runs none of the waiting requests when the entry is killed", func() {
		a := f.addAgent("a1")
		p, err := fakes.StartPlain(fakes.PlainConfig{ID: "p1", Pool: "desk", AgentURL: "http://" + a.HTTPAddr(), Slots: 1})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
		release := p.HoldAnswers()
		defer release()
		replies := []<-chan reply{f.postAsync("/pay", "{}"), f.postAsync("/pay", "{}"), f.postAsync("/pay", "{}")}
		Eventually(f.entry.Abandoned, waitTimeout, "10ms").Should(ContainSubstring("2 waiting and 1 running"))
		f.entry.Close()
		f.dialer.Close()
		for _, c := range replies {
			Expect(receive(c).err).To(HaveOccurred())
		}
		release()
		Eventually(a.Abandoned, waitTimeout).Should(HavePrefix("0 "))
		Consistently(p.TotalRuns, "1s").Should(Equal(1))
	})

	It("runs a non-repeatable request once when an agent is killed before the dispatch", func() {
		a := f.addAgent("a1")
		first := startPlainUpstream(a)
		Expect(f.post("/pay", "{}").status).To(Equal(http.StatusOK))
		f.relays["a1"].SetDelay(waitTimeout / 10)
		got := f.postAsync("/pay", "{}")
		second, err := fakes.StartPlain(fakes.PlainConfig{ID: "p2", Pool: "desk", AgentURL: "http://" + f.addAgent("a2").HTTPAddr()})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(second.Close)
		a.Close()
		r := receive(got)
		Expect(r.status).To(Equal(http.StatusOK), fmt.Sprint(r))
		Expect([]int{first.TotalRuns(), second.TotalRuns()}).To(Equal([]int{1, 1}))
	})

	killed := map[string]func(a *runningAgent, r *fakes.Relay, release func()){
		"during the run": func(a *runningAgent, _ *fakes.Relay, _ func()) { a.Close() },
		"after the run, its answer lost": func(a *runningAgent, r *fakes.Relay, release func()) {
			r.Silence()
			release()
			Eventually(func() bool { return strings.HasPrefix(a.Abandoned(), "1 ") }, waitTimeout).Should(BeTrue())
			a.Close()
		},
	}
	for name, kill := range killed {
		It("runs a non-repeatable request at most once and reports its outcome as unknown when its agent is killed "+name, func() {
			a := f.addAgent("a1")
			p := startPlainUpstream(a)
			release := p.HoldAnswers()
			defer release()
			got := f.postAsync("/pay", "{}")
			Eventually(p.TotalRuns, waitTimeout).Should(Equal(1))
			kill(a, f.relays["a1"], release)
			second, err := fakes.StartPlain(fakes.PlainConfig{ID: "p2", Pool: "desk", AgentURL: "http://" + f.addAgent("a2").HTTPAddr()})
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(second.Close)
			r := receive(got)
			Expect(r.status).To(Equal(http.StatusBadGateway), fmt.Sprint(r))
			Expect(r.ran).To(Equal("unknown"))
			Expect(p.TotalRuns() + second.TotalRuns()).To(Equal(1))
		})
	}

	It("retries repeatable requests at an upstream where they have not failed yet", func() {
		bad := startEngine(f.addAgent("a1"), nil)
		f.warmUp(bad, startEngine(f.addAgent("a2"), func(c *fakes.EngineConfig) { c.ID = "e2" }))
		bad.SetFault(fakes.Fault{Kind: fakes.FaultReset})
		Eventually(func() int {
			r := f.post(cleat.ChatPath, chatBody(20))
			Expect(r.status).To(Equal(http.StatusOK), fmt.Sprint(r))
			expectCompleteStream([]byte(r.text), 20)
			return bad.Stats().Canceled
		}, waitTimeout).Should(BeNumerically(">=", 3))
	})

	It("cancels at the upstream when the caller goes away", func() {
		engine := startEngine(f.addAgent("a1"), slowTokens)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.entry.Addr()+cleat.ChatPath, strings.NewReader(chatBody(100000)))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+callerKey)
		resp, err := f.client.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		cancel()
		Eventually(func() int { return engine.Stats().Canceled }, waitTimeout).Should(Equal(1))
		Eventually(f.agents["a1"].Running, waitTimeout).Should(BeZero())
	})

	It("truncates no answer when an agent drains under load", func() {
		first := startEngine(f.addAgent("a1"), slowTokens)
		second := startEngine(f.addAgent("a2"), func(c *fakes.EngineConfig) {
			slowTokens(c)
			c.ID = "e2"
		})
		f.warmUp(first, second)
		const callers = 24
		var wg sync.WaitGroup
		replies := make(chan reply, callers)
		for range callers {
			wg.Go(func() { replies <- f.post(cleat.ChatPath, chatBody(100)) })
		}
		Eventually(f.agents["a1"].Running, waitTimeout).Should(BeNumerically(">", 0))
		f.agents["a1"].Drain()
		Eventually(f.agents["a1"].runResult, waitTimeout).Should(Receive(BeNil()))
		wg.Wait()
		close(replies)
		for r := range replies {
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.status).To(Equal(http.StatusOK), fmt.Sprint(r))
			expectCompleteStream([]byte(r.text), 100)
		}
	})

	It("sends no new requests to an upstream that is leaving", func() {
		engine := startEngine(f.addAgent("a1"), nil)
		f.warmUp(engine, startEngine(f.addAgent("a2"), func(c *fakes.EngineConfig) { c.ID = "e2" }))
		engine.AnnounceLeaving()
		leaving := func() bool {
			for _, u := range f.agents["a1"].Registration().Upstreams {
				if u.Leaving {
					return true
				}
			}
			return false
		}
		Eventually(leaving, waitTimeout).Should(BeTrue())
		before := engine.Stats().Started
		for range 20 {
			Expect(f.post(cleat.ChatPath, chatBody(1)).status).To(Equal(http.StatusOK))
		}
		Expect(engine.Stats().Started).To(Equal(before))
	})
})
