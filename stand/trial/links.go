package trial

import (
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/state/quorum"
)

// Faults is how links treat messages.
type Faults struct {
	Drop   float64       // Share of messages lost.
	Double float64       // Share sent twice.
	Late   float64       // Share held back by up to LateBy, so that others pass them.
	LateBy time.Duration // At most.
}

type links struct {
	faults Faults
	cut    map[[2]int]bool // From one node to another; looked up only.
	due    map[[2]int]time.Duration
	bytes  int
	count  int
}

// SetFaults changes how links treat messages.
func (c *Cluster) SetFaults(f Faults) { c.links.faults = f }

// Sent returns the messages and bytes sent so far.
func (c *Cluster) Sent() (messages, bytes int) { return c.links.count, c.links.bytes }

// Cut silently loses what from sends to to, in that direction only.
func (c *Cluster) Cut(from, to *Node) { c.links.cut[[2]int{from.index, to.index}] = true }

// Isolate cuts n off from all others: what it sends, what it is sent, or both.
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

// Heal takes all cuts back.
func (c *Cluster) Heal() { clear(c.links.cut) }

func (c *Cluster) send(from *Node, e quorum.Envelope) {
	to := c.node(e.To)
	m, err := e.Encode()
	if err != nil {
		c.check.fail("encode", "%v", err)
		return
	}
	c.links.count++
	c.links.bytes += len(m.Data)
	f := c.links.faults
	if c.links.cut[[2]int{from.index, to.index}] || c.rnd.Float64() < f.Drop {
		return
	}
	copies := 1
	if c.rnd.Float64() < f.Double {
		copies = 2
	}
	for range copies {
		c.deliver(from, to, m)
	}
}

// deliver keeps the order of a link, but for messages that are held back.
func (c *Cluster) deliver(from, to *Node, m *cleat.PeerMessage) {
	delay := c.cfg.Delay
	if c.cfg.Jitter > 0 {
		delay += time.Duration(c.rnd.Int63n(int64(c.cfg.Jitter)))
	}
	f := c.links.faults
	if f.Late > 0 && c.rnd.Float64() < f.Late {
		delay += time.Duration(c.rnd.Int63n(int64(f.LateBy)))
	} else {
		delay = c.inOrder(from, to, delay)
	}
	c.after(delay, func() { to.receive(m) })
}

func (c *Cluster) inOrder(from, to *Node, delay time.Duration) time.Duration {
	if c.links.due == nil {
		c.links.due = map[[2]int]time.Duration{}
	}
	key := [2]int{from.index, to.index}
	due := max(c.now+delay, c.links.due[key])
	c.links.due[key] = due
	return due - c.now
}

func (c *Cluster) node(id cleat.InstanceID) *Node {
	for _, n := range c.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}
