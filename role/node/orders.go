package node

import (
	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/order"
)

// orders carries out each order once and answers copies of it.
type orders struct {
	gate *order.Gate
}

func newOrders() orders {
	return orders{gate: order.NewGate()}
}

// takeOrder refuses orders with a lower fence than one seen, also for
// upstreams that don't check it, and runs the others apart from the link.
func (c *Client) takeOrder(l cleat.Link, m *cleat.Order) {
	c.mu.Lock()
	verdict, known := c.orders.gate.Check(*m)
	c.mu.Unlock()
	switch verdict {
	case order.VerdictRunning:
		return
	case order.VerdictAnswered, order.VerdictRefused:
		c.send(l, &known)
		return
	}
	if c.hooks.order == nil {
		c.answerOrder(l, *m, cleat.OrderResult{Problem: "this node takes no orders"})
		return
	}
	go func() { c.answerOrder(l, *m, c.hooks.order(*m)) }()
}

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
