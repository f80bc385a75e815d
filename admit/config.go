package admit

import (
	"time"

	"github.com/gravitational/trace"
)

// Config sets the targets and the pace of a Limiter.
type Config struct {
	FirstTokenTarget time.Duration
	TokenGapTarget   time.Duration
	MissedShare      float64       // Share of samples that may miss a target.
	Window           time.Duration // Between two decisions.
	HoldTime         time.Duration // That the limit is left alone after shrinking it did not help.
	MinSamples       int           // In a window, before it decides.
	StartLimit       int           // Without a hint from the upstream.
	MaxLimit         int
	FailuresToOpen   int           // Failures in a row before the upstream is left alone.
	ProbeMin         time.Duration // First pause before a failing upstream is tried again.
	ProbeMax         time.Duration
}

// Defaults sets what is left out.
func (c *Config) Defaults() {
	if c.FirstTokenTarget == 0 {
		c.FirstTokenTarget = 320 * time.Millisecond
	}
	if c.TokenGapTarget == 0 {
		c.TokenGapTarget = 30 * time.Millisecond
	}
	if c.MissedShare == 0 {
		c.MissedShare = 0.05
	}
	if c.Window == 0 {
		c.Window = time.Second
	}
	if c.HoldTime == 0 {
		c.HoldTime = 30 * time.Second
	}
	if c.MinSamples == 0 {
		c.MinSamples = 8
	}
	if c.StartLimit == 0 {
		c.StartLimit = 8
	}
	if c.MaxLimit == 0 {
		c.MaxLimit = 256
	}
	if c.FailuresToOpen == 0 {
		c.FailuresToOpen = 3
	}
	if c.ProbeMin == 0 {
		c.ProbeMin = 500 * time.Millisecond
	}
	if c.ProbeMax == 0 {
		c.ProbeMax = 10 * time.Second
	}
}

// Validate returns a trace.BadParameter error that names the first wrong field.
func (c *Config) Validate() error {
	if c.FirstTokenTarget < 0 || c.TokenGapTarget < 0 {
		return trace.BadParameter("Config.Validate: targets must not be negative")
	}
	if c.MissedShare <= 0 || c.MissedShare >= 1 {
		return trace.BadParameter("Config.Validate: MissedShare must be between 0 and 1, not %v", c.MissedShare)
	}
	if c.Window <= 0 || c.ProbeMin <= 0 || c.ProbeMax < c.ProbeMin {
		return trace.BadParameter("Config.Validate: Window and ProbeMin must be positive and ProbeMax not below ProbeMin")
	}
	if c.StartLimit < 1 || c.MaxLimit < c.StartLimit {
		return trace.BadParameter("Config.Validate: StartLimit must be between 1 and MaxLimit")
	}
	return nil
}
