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

// Config holds the timeouts and limits of one entry process; everything else is
// in the fleet settings.
type Config struct {
	ReadHeaderTimeout time.Duration // Limit for receiving a request's header.
	BodyTimeout       time.Duration // Limit for receiving a request's body.
	WriteTimeout      time.Duration // Limit for writing one piece of an answer to the caller.
	IdleTimeout       time.Duration // Limit for a keep-alive connection between requests.
	ClaimTimeout      time.Duration // Limit for claiming an idempotency key at control.
	DrainNotice       time.Duration // Minimum time for which a draining entry reports that it is not ready.
	TickInterval      time.Duration // Between periodic updates of the queue.
	MaxHeldBytes      int64         // Total size of request bodies in memory.
	MaxPendingBytes   int           // Size of one answer's bytes that are received and not yet delivered to the caller.
	AckBytes          int           // Bytes delivered to the caller between two acknowledgements to the agent.
	MaxRecordBytes    int           // Size of an answer's body recorded under an idempotency key.
	Workers           int           // Goroutines that send long request bodies.
	Queue             queue.Config
}

// Defaults sets fields that are zero to their defaults.
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

// Validate returns a trace.BadParameter error for the first invalid field.
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
