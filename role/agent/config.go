package agent

import (
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
	"marigoldcleat.example/cleat/policy/slots"
	"marigoldcleat.example/cleat/role/node"
)

// Defaults and limits of Config.
const (
	DefaultBufferBytes  = 256 << 10
	DefaultResumeGrace  = 10 * time.Second
	DefaultFinishGrace  = 30 * time.Second
	DefaultStallTimeout = time.Minute
	DefaultOrderTimeout = 5 * time.Minute
	minBufferBytes      = 2 * readBufferBytes // Smallest valid BufferBytes.
)

// Intervals of periodic work.
const (
	tickInterval    = 25 * time.Millisecond
	chargeInterval  = 20 * time.Millisecond  // Minimum time between updates of a running request's charge.
	reportInterval  = 250 * time.Millisecond // Interval of ledger reports to the control instances.
	cleanupInterval = 100 * time.Millisecond
)

// maxUpstreams is the largest number of upstreams of one agent.
const maxUpstreams = 64

// Config configures an agent.
type Config struct {
	Peer         cleat.Peer // New sets its address once the listener is bound.
	Listen       string     // Address for links, as host:port.
	HTTP         string     // Address for announcements, health checks and metrics, as host:port.
	Wire         wire.Config
	Slots        slots.Config
	Control      node.Config   // Without control instances, the agent registers nowhere and receives no orders.
	BufferBytes  int           // Limit on the unacknowledged answer bytes buffered for each request.
	ResumeGrace  time.Duration // How long a run is kept after its entry's link went down.
	FinishGrace  time.Duration // How long a non-repeatable run may continue after its deadline.
	StallTimeout time.Duration // A repeatable request fails if its upstream sends nothing for this long.
	OrderTimeout time.Duration // Time limit for an upstream to carry out an order.
}

// Defaults sets fields that have their zero value to their defaults.
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

// Validate returns a trace.BadParameter error that names the first invalid field.
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
