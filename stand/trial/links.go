package trial

import (
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/state/quorum"
)

// Faults configures the message faults of all links.
type Faults struct {
	Drop         float64       // Probability that a message is lost.
	Duplicate    float64       // Probability that a message is delivered twice.
	Reorder      float64       // Probability that a message is delayed by up to ReorderDelay, so that later ones overtake it.
	ReorderDelay time.Duration // Upper bound of the random delay.
}

type links struct {
	faults       Faults
	cut          map[[2]int]bool // By indexes of sender and receiver; never iterated, as map order is random.
	lastDelivery map[[2]int]time.Duration
	bytes        int
	messages     int
}

// SetFaults replaces the message faults of all links.
func (c *Cluster) SetFaults(f Faults) { c.links.faults = f }

// Sent returns the number of messages and bytes sent so far.
func (c *Cluster) Sent() (messages, bytes int) { return c.links.messages, c.links.bytes }

// Cut drops all messages from one node to another, in that direction only.
func (c *Cluster) Cut(from, to *Node) { c.links.cut[[2]int{from.index, to.index}] = true }

// Isolate drops the messages that n sends to all other nodes, those that it receives from them, or both.
func (c *Cluster) Isolate(n *Node, sends, receives bool) {
	for _, other := range c.nodes {
		if other == n {
			continue
		}
		if sends {
			c.Cut(n, other)
		}
		if receives {
			c.Cut(other, n)
		}
	}
}

// Heal undoes all calls of Cut and Isolate.
func (c *Cluster) Heal() { clear(c.links.cut) }

func (c *Cluster) send(from *Node, e quorum.Envelope) {
	to := c.nodeByID(e.To)
	m, err := e.Encode()
	if err != nil {
		c.check.fail("encode", "%v", err)
		return
	}
	c.links.messages++
	c.links.bytes += len(m.Data)
	f := c.links.faults
	if c.links.cut[[2]int{from.index, to.index}] || c.rnd.Float64() < f.Drop {
		return
	}
	copies := 1
	if c.rnd.Float64() < f.Duplicate {
		copies = 2
	}
	for range copies {
		c.deliver(from, to, m)
	}
}

// deliver schedules the delivery of a message, in the order of the link except for
// messages that Reorder delays.
func (c *Cluster) deliver(from, to *Node, m *cleat.PeerMessage) {
	delay := c.cfg.Delay
	if c.cfg.Jitter > 0 {
		delay += time.Duration(c.rnd.Int63n(int64(c.cfg.Jitter)))
	}
	f := c.links.faults
	if f.Reorder > 0 && c.rnd.Float64() < f.Reorder {
		delay += time.Duration(c.rnd.Int63n(int64(f.ReorderDelay)))
	} else {
		delay = c.delayInOrder(from, to, delay)
	}
	c.schedule(delay, func() { to.receive(m) })
}

// delayInOrder extends delay so that the message overtakes none that was sent before
// it in order on the same link.
func (c *Cluster) delayInOrder(from, to *Node, delay time.Duration) time.Duration {
	if c.links.lastDelivery == nil {
		c.links.lastDelivery = map[[2]int]time.Duration{}
	}
	key := [2]int{from.index, to.index}
	due := max(c.now+delay, c.links.lastDelivery[key])
	c.links.lastDelivery[key] = due
	return due - c.now
}

func (c *Cluster) nodeByID(id cleat.InstanceID) *Node {
	for _, n := range c.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}
