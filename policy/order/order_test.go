package order_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/order"
	"marigoldcleat.example/cleat/stand/assert"
)

func TestOrder(t *testing.T) {
	RegisterFailHandler(Fail)
	assert.SetHook(func(name, msg string) { panic(name + ": " + msg) })
	RunSpecs(t, "order")
}

var start = time.Unix(1000, 0)

func newTable() *order.Table {
	var cfg order.Config
	cfg.Defaults()
	Expect(cfg.Validate()).To(Succeed())
	return order.New(cfg)
}

func upstream(id, domain string, models ...cleat.ModelID) order.Upstream {
	return order.Upstream{ID: cleat.UpstreamID(id), Domain: cleat.DomainID(domain), Models: models, CanLoad: true}
}

func view(upstreams ...order.Upstream) order.View {
	return order.View{
		Upstreams:      upstreams,
		Placements:     []order.Placement{{Model: "m", Min: 1, Max: 3}},
		LoadsPerMinute: 60, LoadBurst: 10,
	}
}

func done(o cleat.Order) cleat.OrderResult {
	return cleat.OrderResult{ID: o.ID, Fence: o.Fence, Done: true}
}

var _ = Describe("Gate", func() {
	It("refuses a lower fence and runs each order once", func() {
		g := order.NewGate()
		newer := cleat.Order{ID: 2, Fence: 2, Upstream: "u"}
		v, _ := g.Check(newer)
		Expect(v).To(Equal(order.VerdictRun))
		v, r := g.Check(cleat.Order{ID: 1, Fence: 1, Upstream: "u"})
		Expect(v).To(Equal(order.VerdictRefused))
		Expect(r.Done).To(BeFalse())
		v, _ = g.Check(newer)
		Expect(v).To(Equal(order.VerdictRunning))
		g.RecordResult(newer, done(newer))
		v, r = g.Check(newer)
		Expect(v).To(Equal(order.VerdictAnswered))
		Expect(r.Done).To(BeTrue())
		v, _ = g.Check(cleat.Order{ID: 1, Fence: 1, Upstream: "other"})
		Expect(v).To(Equal(order.VerdictRun))
	})
})

var _ = Describe("Table", func() {
	It("loads the minimum number of replicas at once, spread over failure domains", func() {
		t := newTable()
		v := view(upstream("a", "d1", "m"), upstream("b", "d1"), upstream("c", "d2"))
		v.Placements[0].Min = 2
		orders := t.Decide(start, 1, v)
		Expect(orders).To(HaveLen(1))
		Expect(orders[0].Upstream).To(Equal(cleat.UpstreamID("c")))
		Expect(orders[0].Fence).To(Equal(cleat.Fence(1<<32 | 1)))
	})

	It("adds replicas up to the maximum, only after demand has lasted for RaiseAfter", func() {
		t := newTable()
		v := view(upstream("a", "d1", "m"), upstream("b", "d2"), upstream("c", "d3"), upstream("d", "d4"))
		v.Demand = []cleat.ModelDemand{{Model: "m", Waiting: 1000}}
		Expect(t.Decide(start, 1, v)).To(BeEmpty())
		idle := v
		idle.Demand = nil
		Expect(t.Decide(start.Add(order.DefaultRaiseAfter), 1, idle)).To(BeEmpty())
		now := start.Add(2 * order.DefaultRaiseAfter)
		Expect(t.Decide(now, 1, v)).To(BeEmpty())
		now = now.Add(order.DefaultRaiseAfter)
		Expect(t.Decide(now, 1, v)).To(HaveLen(1))
		now = now.Add(time.Second)
		Expect(t.Decide(now, 1, v)).To(HaveLen(1))
		Expect(t.Decide(now.Add(time.Millisecond), 1, v)).To(BeEmpty())
		Expect(t.Pending()).To(HaveLen(2))
	})

	It("replaces a replica only of a model that has had too many for LowerAfter", func() {
		t := newTable()
		v := view(upstream("a", "d1", "old"), upstream("b", "d2", "old"))
		v.Placements = []order.Placement{{Model: "m", Min: 1, Max: 1}, {Model: "old", Min: 1, Max: 2}}
		Expect(t.Decide(start, 1, v)).To(BeEmpty())
		orders := t.Decide(start.Add(order.DefaultLowerAfter), 1, v)
		Expect(orders).To(HaveLen(1))
		v.Upstreams = []order.Upstream{upstream("b", "d2", "old")}
		Expect(newTable().Decide(start, 1, v)).To(BeEmpty())
	})

	It("does not replace all replicas of a model at once when two other models need an upstream", func() {
		t := newTable()
		v := view(upstream("a", "d1", "old"), upstream("b", "d2", "old"))
		v.Placements = []order.Placement{{Model: "m", Min: 1, Max: 1}, {Model: "n", Min: 1, Max: 1}, {Model: "old", Min: 1, Max: 2}}
		v.LoadsPerMinute = 600
		t.Decide(start, 1, v)
		t.Decide(start.Add(time.Minute), 1, v)
		Expect(t.Decide(start.Add(order.DefaultLowerAfter), 1, v)).To(HaveLen(1))
		Expect(t.Decide(start.Add(order.DefaultLowerAfter+time.Second), 1, v)).To(BeEmpty())
		Expect(t.Pending()).To(HaveLen(1))
	})

	It("does not load a model again before the upstream has had time to announce it", func() {
		t := newTable()
		v := view(upstream("a", "d1"), upstream("b", "d2"))
		v.LoadsPerMinute = 600
		orders := t.Decide(start, 1, v)
		Expect(orders).To(HaveLen(1))
		t.RecordResult(start, done(orders[0]))
		Expect(t.Pending()).To(BeEmpty())
		now := start.Add(order.DefaultAnnounceAfter - 1)
		Expect(t.Decide(now, 1, v)).To(BeEmpty())
		v.Upstreams[0].Models = []cleat.ModelID{"m"}
		Expect(t.Decide(now, 1, v)).To(BeEmpty())
		v.Upstreams[0].Models = nil
		Expect(t.Decide(now.Add(order.DefaultAnnounceAfter), 1, v)).To(HaveLen(1))
	})

	It("limits loads to one in flight in each failure domain and to the weight store's rate", func() {
		t := newTable()
		var ups []order.Upstream
		for i := range 20 {
			ups = append(ups, upstream(fmt.Sprintf("u%02d", i), fmt.Sprint("d", i%2)))
		}
		v := view(ups...)
		v.Placements[0].Min, v.Placements[0].Max = 10, 10
		v.LoadsPerMinute, v.LoadBurst = 6, 5
		loads := 0
		for s := range 60 {
			now := start.Add(time.Duration(s) * time.Second)
			for _, o := range t.Decide(now, 1, v) {
				loads++
				t.RecordResult(now, done(o))
			}
			Expect(len(t.Pending())).To(BeNumerically("<=", 2))
		}
		Expect(loads).To(BeNumerically("<=", 7))
		Expect(loads).To(BeNumerically(">=", 6))
	})

	It("resends an unanswered order unchanged until it gives up", func() {
		t := newTable()
		v := view(upstream("a", "d1"))
		first := t.Decide(start, 1, v)
		Expect(t.Decide(start.Add(time.Second), 1, v)).To(BeEmpty())
		Expect(t.Decide(start.Add(order.DefaultResendAfter), 1, v)).To(Equal(first))
		late := start.Add(order.DefaultGiveUpAfter)
		Expect(t.Decide(late, 1, v)).To(BeEmpty())
		reissued := t.Decide(late.Add(order.DefaultBackoff), 1, v)
		Expect(reissued).To(HaveLen(1))
		Expect(reissued[0].Fence).To(BeNumerically(">", first[0].Fence))
	})

	It("issues higher fences in a later term and discards the orders of earlier terms", func() {
		t := newTable()
		v := view(upstream("a", "d1"))
		first := t.Decide(start, 1, v)
		next := t.Decide(start.Add(time.Second), 2, v)
		Expect(next).To(HaveLen(1))
		Expect(next[0].Fence).To(BeNumerically(">", first[0].Fence))
		t.RecordResult(start, done(first[0]))
		Expect(t.Pending()).To(HaveLen(1))
	})

	It("issues an operator's pin once a term", func() {
		t := newTable()
		v := view(upstream("a", "d1", "m"))
		v.Pins = []order.Pin{{Upstream: "a", Order: cleat.OrderChangeRole, Detail: `"prefill"`}}
		orders := t.Decide(start, 1, v)
		Expect(orders).To(HaveLen(1))
		t.RecordResult(start, done(orders[0]))
		Expect(t.Decide(start.Add(time.Hour), 1, v)).To(BeEmpty())
		Expect(t.Decide(start.Add(time.Hour), 2, v)).To(HaveLen(1))
	})
})
