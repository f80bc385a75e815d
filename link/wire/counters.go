package wire

import (
	"sync/atomic"

	"marigoldcleat.example/cleat"
)

const maxKinds = int(cleat.KindLimit)

// Counters counts traffic, refused hellos and link failures over all links of a process.
type Counters struct {
	sent           [maxKinds]traffic
	received       [maxKinds]traffic
	refusedHellos  atomic.Uint64
	unknownKinds   atomic.Uint64
	slowPeerCloses atomic.Uint64
	peerTimeouts   atomic.Uint64
	linksUp        atomic.Int64
	reconnections  atomic.Uint64
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

// RefusedHellos returns how many handshakes failed, on the dialing or the accepting side.
func (c *Counters) RefusedHellos() uint64 { return c.refusedHellos.Load() }

// UnknownKinds returns how many frames of an unknown message kind were skipped.
func (c *Counters) UnknownKinds() uint64 { return c.unknownKinds.Load() }

// SlowPeerCloses returns how many links were closed because their peer read too slowly.
func (c *Counters) SlowPeerCloses() uint64 { return c.slowPeerCloses.Load() }

// PeerTimeouts returns how many links were closed because nothing arrived from the peer within PeerTimeout.
func (c *Counters) PeerTimeouts() uint64 { return c.peerTimeouts.Load() }

// LinksUp returns the number of links that are currently up.
func (c *Counters) LinksUp() int64 { return c.linksUp.Load() }

// Reconnections returns how often a dialer connected to an address again after an earlier attempt.
func (c *Counters) Reconnections() uint64 { return c.reconnections.Load() }

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
