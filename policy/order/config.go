package order

import (
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// Defaults of Config.
const (
	DefaultRequestsPerReplica = 16
	DefaultRaiseAfter         = 10 * time.Second
	DefaultLowerAfter         = 2 * time.Minute
	DefaultResendAfter        = 2 * time.Second
	DefaultGiveUpAfter        = 15 * time.Minute
	DefaultBackoff            = time.Minute
	DefaultAnnounceAfter      = 30 * time.Second
)

// Config holds the thresholds and time-outs of the placement.
type Config struct {
	RequestsPerReplica int           // Waiting or running requests that justify one replica.
	RaiseAfter         time.Duration // How long demand must exceed the replicas before one is added.
	LowerAfter         time.Duration // How long the replicas must exceed demand before one may be replaced.
	ResendAfter        time.Duration // Time without an answer after which an order is sent again.
	GiveUpAfter        time.Duration // Time without an answer after which an order is abandoned and its upstream may get another.
	AnnounceAfter      time.Duration // Time after a load within which the upstream must announce the model.
	Backoff            time.Duration // Time after a failed order during which its upstream gets no other.
}

// Defaults sets the fields that are zero.
func (c *Config) Defaults() {
	if c.RequestsPerReplica == 0 {
		c.RequestsPerReplica = DefaultRequestsPerReplica
	}
	cleat.SetDefault(&c.RaiseAfter, DefaultRaiseAfter)
	cleat.SetDefault(&c.LowerAfter, DefaultLowerAfter)
	cleat.SetDefault(&c.ResendAfter, DefaultResendAfter)
	cleat.SetDefault(&c.GiveUpAfter, DefaultGiveUpAfter)
	cleat.SetDefault(&c.Backoff, DefaultBackoff)
	cleat.SetDefault(&c.AnnounceAfter, DefaultAnnounceAfter)
}

// Validate returns a trace.BadParameter error that names the first wrong field.
func (c *Config) Validate() error {
	if c.RequestsPerReplica < 1 {
		return trace.BadParameter("Config.Validate: RequestsPerReplica must be positive")
	}
	if c.LowerAfter < c.RaiseAfter {
		return trace.BadParameter("Config.Validate: LowerAfter must not be shorter than RaiseAfter")
	}
	if c.ResendAfter <= 0 || c.GiveUpAfter <= c.ResendAfter || c.Backoff <= 0 || c.AnnounceAfter <= 0 {
		return trace.BadParameter("Config.Validate: GiveUpAfter must exceed ResendAfter; ResendAfter, Backoff and AnnounceAfter must be positive")
	}
	return nil
}
