package agent

import (
	"context"
	"sync"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

const keptResults = 32 // Results of orders kept for each upstream.

// orderGates holds one gate for each upstream that was ever ordered.
type orderGates struct {
	mu     sync.Mutex
	byName map[cleat.UpstreamID]*orderGate
}

// orderGate lets one order at a time through to an upstream and refuses old
// fencing numbers, also for upstreams that would take them.
type orderGate struct {
	mu      sync.Mutex
	fence   cleat.Fence
	results map[uint64]cleat.OrderResult
	order   []uint64 // Ids of the results, oldest first.
}

func newOrderGates() *orderGates {
	return &orderGates{byName: make(map[cleat.UpstreamID]*orderGate)}
}

func (g *orderGates) gate(u cleat.UpstreamID) *orderGate {
	g.mu.Lock()
	defer g.mu.Unlock()
	gate := g.byName[u]
	if gate == nil {
		gate = &orderGate{results: make(map[uint64]cleat.OrderResult)}
		g.byName[u] = gate
	}
	return gate
}

// Order carries out an order at its upstream; an order that was carried out
// before gets its first result again.
func (a *Agent) Order(o cleat.Order) cleat.OrderResult {
	a.mu.Lock()
	u := a.engines[o.Upstream]
	a.mu.Unlock()
	if u == nil {
		return orderResult(o, trace.NotFound("Agent.Order: no upstream %q", o.Upstream))
	}
	result := a.gates.gate(o.Upstream).pass(o, u.engine)
	a.log.Info("order", "upstream", o.Upstream, "order", o.Order, "fence", o.Fence, "done", result.Done, "problem", result.Problem)
	return result
}

func (g *orderGate) pass(o cleat.Order, e cleat.Engine) cleat.OrderResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, ok := g.results[o.ID]; ok && r.Fence == o.Fence {
		return r
	}
	if o.Fence < g.fence {
		return orderResult(o, trace.CompareFailed("orderGate.pass: fencing number %d is older than %d", o.Fence, g.fence))
	}
	g.fence = o.Fence
	r := orderResult(o, e.Order(context.Background(), o))
	g.keep(r)
	return r
}

func (g *orderGate) keep(r cleat.OrderResult) {
	if _, ok := g.results[r.ID]; !ok {
		g.order = append(g.order, r.ID)
	}
	g.results[r.ID] = r
	if len(g.order) > keptResults {
		delete(g.results, g.order[0])
		g.order = g.order[1:]
	}
}

func orderResult(o cleat.Order, err error) cleat.OrderResult {
	r := cleat.OrderResult{ID: o.ID, Fence: o.Fence, Done: err == nil}
	if err != nil {
		r.Problem = trace.UserMessage(err)
	}
	return r
}
