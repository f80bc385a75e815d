package entry

import (
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/queue"
)

// Defaults of Config.
const (
	DefaultReadHeaderTimeout = 5 * time.Second
	DefaultBodyTimeout       = time.Minute
	DefaultWriteTimeout      = 30 * time.Second
	DefaultIdleTimeout       = 2 * time.Minute
	DefaultClaimTimeout      = 5 * time.Second
	DefaultTickInterval      = 10 * time.Millisecond
	DefaultMaxHeldBytes      = 256 << 20
	DefaultMaxPendingBytes   = 1 << 20
	DefaultAckBytes          = 32 << 10
	DefaultMaxRecordBytes    = 64 << 10
	DefaultWorkers           = 4
)

// Config holds the bounds of an entry; the settings of the fleet hold the rest.
type Config struct {
	ReadHeaderTimeout time.Duration // For a request's header to arrive.
	BodyTimeout       time.Duration // For a request's body to arrive.
	WriteTimeout      time.Duration // For the caller to take one piece of its answer.
	IdleTimeout       time.Duration // Of a connection between requests.
	ClaimTimeout      time.Duration // For a durable claim on an idempotency key.
	DrainNotice       time.Duration // How long a draining entry answers at least that it is not ready.
	TickInterval      time.Duration
	MaxHeldBytes      int64 // Request bodies held at once.
	MaxPendingBytes   int   // Of one answer, received and not yet taken by its caller.
	AckBytes          int   // Bytes delivered between two acknowledgements to the agent.
	MaxRecordBytes    int   // Of a body recorded under an idempotency key.
	Workers           int   // That send long request bodies.
	Queue             queue.Config
}

// Defaults sets what was left out.
func (c *Config) Defaults() {
	cleat.SetDefault(&c.ReadHeaderTimeout, DefaultReadHeaderTimeout)
	cleat.SetDefault(&c.BodyTimeout, DefaultBodyTimeout)
	cleat.SetDefault(&c.WriteTimeout, DefaultWriteTimeout)
	cleat.SetDefault(&c.IdleTimeout, DefaultIdleTimeout)
	cleat.SetDefault(&c.ClaimTimeout, DefaultClaimTimeout)
	cleat.SetDefault(&c.TickInterval, DefaultTickInterval)
	cleat.SetDefault(&c.MaxHeldBytes, DefaultMaxHeldBytes)
	cleat.SetDefault(&c.MaxPendingBytes, DefaultMaxPendingBytes)
	cleat.SetDefault(&c.AckBytes, DefaultAckBytes)
	cleat.SetDefault(&c.MaxRecordBytes, DefaultMaxRecordBytes)
	cleat.SetDefault(&c.Workers, DefaultWorkers)
	c.Queue.Defaults()
}

// Validate returns a trace.BadParameter error that names the first wrong field.
func (c *Config) Validate() error {
	if c.ReadHeaderTimeout < 0 || c.BodyTimeout < 0 || c.WriteTimeout < 0 || c.IdleTimeout < 0 {
		return trace.BadParameter("Config.Validate: timeouts must be positive")
	}
	if c.ClaimTimeout < 0 || c.ClaimTimeout > cleat.MaxDeadline {
		return trace.BadParameter("Config.Validate: ClaimTimeout must be positive and at most %v", cleat.MaxDeadline)
	}
	if c.MaxHeldBytes < 1 {
		return trace.BadParameter("Config.Validate: MaxHeldBytes must be positive")
	}
	if c.AckBytes < 1 || c.AckBytes > c.MaxPendingBytes {
		return trace.BadParameter("Config.Validate: AckBytes must be between 1 and MaxPendingBytes")
	}
	if c.Workers < 1 {
		return trace.BadParameter("Config.Validate: Workers must be positive")
	}
	return c.Queue.Validate()
}
