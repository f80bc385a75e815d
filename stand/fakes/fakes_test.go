package fakes_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/fakes"
)

const eventuallyTimeout = 20 * time.Second

var _ = Describe("Engine", func() {
	start := func(change func(c *fakes.EngineConfig)) *fakes.Engine {
		cfg := fakes.EngineConfig{ID: "e1", Models: []cleat.ModelID{"m"}}
		if change != nil {
			change(&cfg)
		}
		e, err := fakes.StartEngine(cfg)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(e.Close)
		return e
	}

	chat := func(ctx context.Context, e *fakes.Engine, id, lastEvent, body string) *http.Response {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL()+cleat.ChatPath, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set(cleat.HeaderUpstreamRequest, id)
		if lastEvent != "" {
			req.Header.Set(cleat.HeaderLastEvent, lastEvent)
		}
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(resp.Body.Close)
		return resp
	}
	ctx := context.Background()
	const streamingRequest = `{"model":"m","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"hi"}]}`

	It("streams tokens and ends with the usage", func() {
		b, err := io.ReadAll(chat(ctx, start(nil), "r1", "", streamingRequest).Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Count(string(b), `"delta":{"content"`)).To(Equal(5))
		Expect(string(b)).To(ContainSubstring(`"completion_tokens":5`))
		Expect(string(b)).To(HaveSuffix("data: [DONE]\n\n"))
	})

	It("answers a non-streaming request with one JSON object", func() {
		var answer struct {
			Usage struct {
				CompletionTokens int `json:"completion_tokens"`
			} `json:"usage"`
		}
		body := strings.Replace(streamingRequest, `"stream":true`, `"stream":false`, 1)
		Expect(json.NewDecoder(chat(ctx, start(nil), "r1", "", body).Body).Decode(&answer)).To(Succeed())
		Expect(answer.Usage.CompletionTokens).To(Equal(5))
	})

	It("resumes an interrupted stream after its last event", func() {
		e := start(nil)
		e.SetFault(fakes.Fault{Kind: fakes.FaultReset, AfterTokens: 2, Times: 1})
		_, err := io.ReadAll(chat(ctx, e, "r1", "", streamingRequest).Body)
		Expect(err).To(HaveOccurred())
		Eventually(e.Running, eventuallyTimeout).Should(BeZero())
		b, err := io.ReadAll(chat(ctx, e, "r1", "1", streamingRequest).Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(b)).To(HavePrefix("id: 2\n"))
		Expect(e.Stats()).To(And(HaveField("Started", 1), HaveField("Resumed", 1)))
	})

	It("cancels a request when its connection closes", func() {
		e := start(func(c *fakes.EngineConfig) { c.TokenInterval = time.Hour })
		ctx, cancel := context.WithCancel(ctx)
		go func() {
			for e.Running() == 0 {
				time.Sleep(time.Millisecond)
			}
			cancel()
		}()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL()+cleat.ChatPath, strings.NewReader(streamingRequest))
		Expect(err).NotTo(HaveOccurred())
		_, err = http.DefaultClient.Do(req)
		Expect(err).To(HaveOccurred())
		Eventually(func() int { return e.Stats().Canceled }, eventuallyTimeout).Should(Equal(1))
	})

	It("announces itself and drops every n-th cache event", func() {
		var mu sync.Mutex
		var events []cleat.CacheEvent
		announced := 0
		agent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if r.URL.Path == cleat.PathAgentAnnounce {
				announced++
			}
			var ev cleat.CacheEvent
			if r.URL.Path == cleat.PathAgentCache && json.NewDecoder(r.Body).Decode(&ev) == nil {
				events = append(events, ev)
			}
		}))
		DeferCleanup(agent.Close)
		e := start(func(c *fakes.EngineConfig) {
			c.AgentURL, c.CacheLossEvery, c.CacheBlocks = agent.URL, 2, 2
		})
		for _, content := range []string{"a", "b", "c"} {
			long := strings.Replace(streamingRequest, "hi", strings.Repeat(content, 2*cleat.PrefixBlockBytes), 1)
			_, err := io.ReadAll(chat(ctx, e, content, "", long).Body)
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(func(g Gomega) {
			mu.Lock()
			defer mu.Unlock()
			g.Expect(announced).To(BeNumerically(">=", 1))
			g.Expect(events).To(ConsistOf(HaveField("Seq", uint64(1)), And(HaveField("Seq", uint64(3)), HaveField("Evicted", HaveLen(2)))))
		}, eventuallyTimeout).Should(Succeed())
	})

	fencingCases := map[string]struct {
		fencing  bool
		accepted int
	}{
		"checks fencing numbers":  {true, 1},
		"ignores fencing numbers": {false, 2},
	}
	for name, c := range fencingCases {
		It(name, func() {
			e := start(func(cfg *fakes.EngineConfig) { cfg.Fencing = c.fencing })
			for _, fence := range []string{"5", "4"} {
				resp, err := http.Post(e.URL()+cleat.PathUpstreamOrders, "application/json", strings.NewReader(`{"id":1,"fence":`+fence+`,"kind":"load_model","model":"n"}`))
				Expect(err).NotTo(HaveOccurred())
				Expect(resp.Body.Close()).To(Succeed())
			}
			Expect(e.Orders()).To(HaveLen(c.accepted))
			Expect(e.Announcement().Models).To(ContainElement(cleat.ModelID("n")))
		})
	}
})

var _ = Describe("Plain", func() {
	It("counts actions by idempotency key, and lookups", func() {
		p, err := fakes.StartPlain(fakes.PlainConfig{ID: "p1", Pool: "desk"})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
		for range 2 {
			req, err := http.NewRequest(http.MethodPost, p.URL()+"/pay", nil)
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set(cleat.DefaultIdempotencyHeader, "k1")
			resp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Body.Close()).To(Succeed())
		}
		resp, err := http.Get(p.URL() + "/lots/1")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect([]int{p.Runs("k1"), p.TotalRuns(), p.MostRuns(), p.Lookups()}).To(Equal([]int{2, 2, 2, 1}))
	})
})
