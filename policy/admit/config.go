package admit

import (
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
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
	cleat.SetDefault(&c.FirstTokenTarget, 320*time.Millisecond)
	cleat.SetDefault(&c.TokenGapTarget, 30*time.Millisecond)
	cleat.SetDefault(&c.MissedShare, 0.05)
	cleat.SetDefault(&c.Window, time.Second)
	cleat.SetDefault(&c.HoldTime, 30*time.Second)
	cleat.SetDefault(&c.MinSamples, 8)
	cleat.SetDefault(&c.StartLimit, 8)
	cleat.SetDefault(&c.MaxLimit, 256)
	cleat.SetDefault(&c.FailuresToOpen, 3)
	cleat.SetDefault(&c.ProbeMin, 500*time.Millisecond)
	cleat.SetDefault(&c.ProbeMax, 10*time.Second)
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
