package node

import (
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// Defaults of Config, and the limit on pending outcomes.
const (
	DefaultHeartbeat      = time.Second
	DefaultStatusInterval = 5 * time.Second
	DefaultConfirmTimeout = 5 * time.Second
	DefaultRetryInterval  = 500 * time.Millisecond
	DefaultAbandonAfter   = 24 * time.Hour
	MaxPendingOutcomes    = 20000 // Outcomes that are not yet stored; further ones are dropped.
)

// Config configures a Client.
type Config struct {
	Controls       []string              // Link addresses of the control instances, as host:port.
	Register       func() cleat.Register // Describes this node; the client fills in Peer, Revision and ManifestVersion.
	Heartbeat      time.Duration
	StatusInterval time.Duration // Interval between reports of workspaces, upstreams and demand.
	ConfirmTimeout time.Duration // Time without a quorum-confirmed message before another control instance is used.
	RetryInterval  time.Duration // Time before an unanswered claim or outcome is resent to another control instance.
	AbandonAfter   time.Duration // Age at which an outcome that could not be stored is dropped.
}

// Defaults sets the zero durations and a nil Register to their defaults.
func (c *Config) Defaults() {
	cleat.SetDefault(&c.Heartbeat, DefaultHeartbeat)
	cleat.SetDefault(&c.StatusInterval, DefaultStatusInterval)
	cleat.SetDefault(&c.ConfirmTimeout, DefaultConfirmTimeout)
	cleat.SetDefault(&c.RetryInterval, DefaultRetryInterval)
	cleat.SetDefault(&c.AbandonAfter, DefaultAbandonAfter)
	if c.Register == nil {
		c.Register = func() cleat.Register { return cleat.Register{} }
	}
}

// Validate returns a trace.BadParameter error when a field is invalid.
func (c *Config) Validate() error {
	if len(c.Controls) == 0 {
		return trace.BadParameter("Config.Validate: at least one control instance is needed")
	}
	if c.Heartbeat <= 0 || c.StatusInterval <= 0 || c.ConfirmTimeout <= 0 || c.RetryInterval <= 0 || c.AbandonAfter <= 0 {
		return trace.BadParameter("Config.Validate: all intervals and timeouts must be positive")
	}
	return nil
}
