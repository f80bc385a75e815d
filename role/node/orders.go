package node

import (
	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/order"
)

// orders tracks the orders received, so that each runs once and duplicates get its
// result; guarded by Client.mu.
type orders struct {
	gate *order.Gate
}

func newOrders() orders {
	return orders{gate: order.NewGate()}
}

// handleOrder refuses an order whose fence is lower than one seen before for its
// upstream, also when the upstream does not check fences itself. New orders run in a
// goroutine, so that a long one does not block the link.
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
	if c.callbacks.order == nil {
		c.answerOrder(l, *m, cleat.OrderResult{Problem: "this node does not process orders"})
		return
	}
	go func() { c.answerOrder(l, *m, c.callbacks.order(*m)) }()
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
