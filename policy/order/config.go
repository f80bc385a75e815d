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

// Config holds the times and sizes of the placement.
type Config struct {
	RequestsPerReplica int           // Waiting or running requests that justify one replica.
	RaiseAfter         time.Duration // How long demand must exceed the replicas before one is added.
	LowerAfter         time.Duration // How long replicas must exceed demand before one may be taken.
	ResendAfter        time.Duration // Without an answer to an order.
	GiveUpAfter        time.Duration // Without an answer, after which the upstream counts as free.
	AnnounceAfter      time.Duration // After a load, until the upstream must announce the model.
	Backoff            time.Duration // After a failed order, before its upstream gets another.
}

// Defaults sets what was left out.
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
		return trace.BadParameter("Config.Validate: GiveUpAfter must exceed ResendAfter, Backoff and AnnounceAfter be positive")
	}
	return nil
}
