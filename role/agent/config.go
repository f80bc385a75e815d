package agent

import (
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
	"marigoldcleat.example/cleat/policy/slots"
	"marigoldcleat.example/cleat/role/node"
)

// Defaults of Config.
const (
	DefaultBufferBytes  = 256 << 10
	DefaultResumeGrace  = 10 * time.Second
	DefaultFinishGrace  = 30 * time.Second
	DefaultStallTimeout = time.Minute
	DefaultOrderTimeout = 5 * time.Minute
	minBufferBytes      = 2 * readBytes
)

// Intervals of the ticker.
const (
	tickInterval    = 25 * time.Millisecond
	chargeInterval  = 20 * time.Millisecond // Between corrections of a running request's charge.
	reportInterval  = 250 * time.Millisecond
	cleanupInterval = 100 * time.Millisecond
)

// maxUpstreams bounds the upstreams of one agent.
const maxUpstreams = 64

// Config describes an agent.
type Config struct {
	Peer         cleat.Peer // Its address is filled in once the listener is bound.
	Listen       string     // For links, as host:port.
	HTTP         string     // For announcements, health and metrics, as host:port.
	Wire         wire.Config
	Slots        slots.Config
	Control      node.Config   // Without addresses the agent does without control.
	BufferBytes  int           // Answer bytes kept for each request until its entry has them.
	ResumeGrace  time.Duration // A run outlives its entry's link for so long.
	FinishGrace  time.Duration // A non-repeatable run may outlive its deadline for so long.
	StallTimeout time.Duration // Silence after which an upstream has failed a repeatable request.
	OrderTimeout time.Duration // For an upstream to carry out an order.
}

// Defaults sets what was left out.
func (c *Config) Defaults() {
	c.Wire.Defaults()
	c.Slots.Defaults()
	c.Control.Defaults()
	cleat.SetDefault(&c.Listen, "127.0.0.1:0")
	cleat.SetDefault(&c.HTTP, "127.0.0.1:0")
	cleat.SetDefault(&c.BufferBytes, DefaultBufferBytes)
	cleat.SetDefault(&c.ResumeGrace, DefaultResumeGrace)
	cleat.SetDefault(&c.FinishGrace, DefaultFinishGrace)
	cleat.SetDefault(&c.StallTimeout, DefaultStallTimeout)
	cleat.SetDefault(&c.OrderTimeout, DefaultOrderTimeout)
}

// Validate returns a trace.BadParameter error that names the first wrong field.
func (c *Config) Validate() error {
	if c.Peer.Instance == "" || c.Peer.Incarnation == 0 {
		return trace.BadParameter("Config.Validate: Peer must name an instance and its incarnation")
	}
	if c.BufferBytes < minBufferBytes {
		return trace.BadParameter("Config.Validate: BufferBytes must be at least %d", minBufferBytes)
	}
	if err := c.Slots.Validate(); err != nil {
		return trace.Wrap(err)
	}
	if len(c.Control.Controls) > 0 {
		if err := c.Control.Validate(); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(c.Wire.Validate())
}
