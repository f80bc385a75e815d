package order

import (
	"fmt"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/assert"
)

// Verdict is what an agent does with an order.
type Verdict uint8

// The verdicts on an order.
const (
	VerdictRun      Verdict = iota + 1 // The order is to be run.
	VerdictRunning                     // A duplicate of an order that is running.
	VerdictAnswered                    // A duplicate of an order whose result is known.
	VerdictRefused                     // Its fence is lower than one seen before, or was used by another order.
)

// Gate guards the upstreams of one agent: each order passes once, and none passes
// after one with a higher fence. It is not safe for concurrent use.
type Gate struct {
	newest map[cleat.UpstreamID]*passedOrder
}

type passedOrder struct {
	order  cleat.Order
	result *cleat.OrderResult // Nil while the order runs.
}

// NewGate returns a gate that has seen no order.
func NewGate() *Gate {
	return &Gate{newest: make(map[cleat.UpstreamID]*passedOrder)}
}

// Check checks an order against the newest one of its upstream; the result is valid
// only for VerdictAnswered and VerdictRefused.
func (g *Gate) Check(o cleat.Order) (Verdict, cleat.OrderResult) {
	last, ok := g.newest[o.Upstream]
	switch {
	case ok && o.Fence < last.order.Fence:
		return VerdictRefused, refusal(o, last.order.Fence)
	case ok && o.Fence == last.order.Fence && o.ID != last.order.ID:
		assert.Fail("order.fence", "orders %d and %d to %s share fence %d", last.order.ID, o.ID, o.Upstream, o.Fence)
		return VerdictRefused, refusal(o, last.order.Fence)
	case ok && o.Fence == last.order.Fence && last.result == nil:
		return VerdictRunning, cleat.OrderResult{}
	case ok && o.Fence == last.order.Fence:
		return VerdictAnswered, *last.result
	}
	g.newest[o.Upstream] = &passedOrder{order: o}
	return VerdictRun, cleat.OrderResult{}
}

// RecordResult records the result of an order that passed, unless a newer one has passed
// since.
func (g *Gate) RecordResult(o cleat.Order, r cleat.OrderResult) {
	if last, ok := g.newest[o.Upstream]; ok && last.order.Fence == o.Fence {
		last.result = &r
	}
}

func refusal(o cleat.Order, seen cleat.Fence) cleat.OrderResult {
	return cleat.OrderResult{
		ID: o.ID, Fence: o.Fence,
		Problem: fmt.Sprintf("fence %d is lower than or the same as %d, seen before", o.Fence, seen),
	}
}
