package wire

import (
	"sync/atomic"

	"marigoldcleat.example/cleat"
)

const maxKinds = int(cleat.KindLimit)

// Counters counts traffic and refusals over all links of a process.
type Counters struct {
	sent         [maxKinds]traffic
	received     [maxKinds]traffic
	refused      atomic.Uint64
	unknown      atomic.Uint64
	stuck        atomic.Uint64
	silent       atomic.Uint64
	up           atomic.Int64
	reconnection atomic.Uint64
}

type traffic struct {
	frames atomic.Uint64
	bytes  atomic.Uint64
}

func (t *traffic) add(n int) {
	t.frames.Add(1)
	t.bytes.Add(uint64(n))
}

// Sent returns how many frames and bytes of kind k were queued for sending.
func (c *Counters) Sent(k cleat.MessageKind) (frames, bytes uint64) {
	return c.sent[k].frames.Load(), c.sent[k].bytes.Load()
}

// Received returns how many frames and bytes of kind k arrived.
func (c *Counters) Received(k cleat.MessageKind) (frames, bytes uint64) {
	return c.received[k].frames.Load(), c.received[k].bytes.Load()
}

// Refused returns how many hellos were refused.
func (c *Counters) Refused() uint64 { return c.refused.Load() }

// Unknown returns how many frames of unknown kind were skipped.
func (c *Counters) Unknown() uint64 { return c.unknown.Load() }

// Stuck returns how many links were closed because their peer read too slowly.
func (c *Counters) Stuck() uint64 { return c.stuck.Load() }

// Silent returns how many links were closed because their peer fell silent.
func (c *Counters) Silent() uint64 { return c.silent.Load() }

// Up returns how many links are up now.
func (c *Counters) Up() int64 { return c.up.Load() }

// Reconnections returns how often a dialer connected again after a break.
func (c *Counters) Reconnections() uint64 { return c.reconnection.Load() }

func (c *Counters) countSent(k cleat.MessageKind, n int) {
	if int(k) < maxKinds {
		c.sent[k].add(n)
	}
}

func (c *Counters) countReceived(k cleat.MessageKind, n int) {
	if int(k) < maxKinds {
		c.received[k].add(n)
	}
}
