package node

import (
	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/order"
)

// orders runs each order once and answers duplicates with its result.
type orders struct {
	gate *order.Gate
}

func newOrders() orders {
	return orders{gate: order.NewGate()}
}

// handleOrder refuses orders with a fence lower than one seen before, also for
// upstreams that don't check fences themselves. Other orders run in a goroutine, so
// that a long one does not block the link.
func (c *Client) handleOrder(l cleat.Link, m *cleat.Order) {
	c.mu.Lock()
	verdict, result := c.orders.gate.Check(*m)
	c.mu.Unlock()
	switch verdict {
	case order.VerdictRunning:
		return
	case order.VerdictAnswered, order.VerdictRefused:
		c.send(l, &result)
		return
	}
	if c.hooks.order == nil {
		c.answerOrder(l, *m, cleat.OrderResult{Problem: "this node takes no orders"})
		return
	}
	go func() { c.answerOrder(l, *m, c.hooks.order(*m)) }()
}

// answerOrder records the result and sends it to the current primary, or to l when
// there is none.
func (c *Client) answerOrder(l cleat.Link, o cleat.Order, r cleat.OrderResult) {
	r.ID, r.Fence = o.ID, o.Fence
	c.mu.Lock()
	c.orders.gate.RecordResult(o, r)
	link := c.primaryLink()
	c.mu.Unlock()
	if link == nil {
		link = l
	}
	c.send(link, &r)
}
