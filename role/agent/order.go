package agent

import (
	"context"
	"sync"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

const maxOrderResults = 32 // Order results kept for each upstream.

// orderGates holds a gate for each upstream that has received an order.
type orderGates struct {
	mu         sync.Mutex
	byUpstream map[cleat.UpstreamID]*orderGate
}

// orderGate serializes the orders to an upstream and refuses stale fencing numbers,
// also on behalf of upstreams that don't check them.
type orderGate struct {
	mu        sync.Mutex
	fence     cleat.Fence // Highest fencing number received.
	results   map[uint64]cleat.OrderResult
	resultIDs []uint64 // Order ids in results, oldest first.
}

func newOrderGates() *orderGates {
	return &orderGates{byUpstream: make(map[cleat.UpstreamID]*orderGate)}
}

// gate returns the gate of an upstream, and creates it for the upstream's first order.
func (g *orderGates) gate(u cleat.UpstreamID) *orderGate {
	g.mu.Lock()
	defer g.mu.Unlock()
	gate := g.byUpstream[u]
	if gate == nil {
		gate = &orderGate{results: make(map[uint64]cleat.OrderResult)}
		g.byUpstream[u] = gate
	}
	return gate
}

// Order sends an order to its upstream and returns the result. A resent order, with
// the same id and fencing number, gets the stored result.
func (a *Agent) Order(o cleat.Order) cleat.OrderResult {
	a.mu.Lock()
	u := a.engines[o.Upstream]
	a.mu.Unlock()
	if u == nil {
		return newOrderResult(o, trace.NotFound("Agent.Order: no upstream %q", o.Upstream))
	}
	result := a.orderGates.gate(o.Upstream).send(o, u.engine)
	a.log.Info("order processed", "upstream", o.Upstream, "order", o.Order, "fence", o.Fence, "done", result.Done, "problem", result.Problem)
	return result
}

// send sends the order to the upstream, unless a result is stored for its id and
// fencing number, or the number is lower than one already seen.
func (g *orderGate) send(o cleat.Order, e cleat.Engine) cleat.OrderResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, ok := g.results[o.ID]; ok && r.Fence == o.Fence {
		return r
	}
	if o.Fence < g.fence {
		return newOrderResult(o, trace.CompareFailed("orderGate.send: fencing number %d is older than %d", o.Fence, g.fence))
	}
	g.fence = o.Fence
	r := newOrderResult(o, e.Order(context.Background(), o))
	g.storeResult(r)
	return r
}

func (g *orderGate) storeResult(r cleat.OrderResult) {
	if _, ok := g.results[r.ID]; !ok {
		g.resultIDs = append(g.resultIDs, r.ID)
	}
	g.results[r.ID] = r
	if len(g.resultIDs) > maxOrderResults {
		delete(g.results, g.resultIDs[0])
		g.resultIDs = g.resultIDs[1:]
	}
}

func newOrderResult(o cleat.Order, err error) cleat.OrderResult {
	r := cleat.OrderResult{ID: o.ID, Fence: o.Fence, Done: err == nil}
	if err != nil {
		r.Problem = trace.UserMessage(err)
	}
	return r
}
