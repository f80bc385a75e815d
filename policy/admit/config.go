package admit

import (
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// Config sets the targets, bounds and intervals of a Limiter.
type Config struct {
	FirstTokenTarget  time.Duration
	TokenGapTarget    time.Duration
	MaxMissRatio      float64       // Fraction of a plain service's requests that may exceed slowRequestRatio.
	Window            time.Duration // Time between two adjustments of the limit.
	HoldTime          time.Duration // Time without reductions after one that did not help; it doubles up to maxHoldTime.
	MinSamples        int           // Samples that a window needs before the limit is adjusted.
	StartLimit        int           // Initial limit of an upstream that announces no number of slots.
	MaxLimit          int
	FailuresToSuspend int           // Consecutive failures before the upstream is suspended.
	MinProbeInterval  time.Duration // First interval before a suspended upstream is probed; it doubles up to MaxProbeInterval.
	MaxProbeInterval  time.Duration
}

// Defaults sets the fields that are zero.
func (c *Config) Defaults() {
	cleat.SetDefault(&c.FirstTokenTarget, 320*time.Millisecond)
	cleat.SetDefault(&c.TokenGapTarget, 30*time.Millisecond)
	cleat.SetDefault(&c.MaxMissRatio, 0.05)
	cleat.SetDefault(&c.Window, time.Second)
	cleat.SetDefault(&c.HoldTime, 30*time.Second)
	cleat.SetDefault(&c.MinSamples, 8)
	cleat.SetDefault(&c.StartLimit, 8)
	cleat.SetDefault(&c.MaxLimit, 256)
	cleat.SetDefault(&c.FailuresToSuspend, 3)
	cleat.SetDefault(&c.MinProbeInterval, 500*time.Millisecond)
	cleat.SetDefault(&c.MaxProbeInterval, 10*time.Second)
}

// Validate returns a trace.BadParameter error that names the first invalid field.
func (c *Config) Validate() error {
	if c.FirstTokenTarget < 0 || c.TokenGapTarget < 0 {
		return trace.BadParameter("Config.Validate: targets must not be negative")
	}
	if c.MaxMissRatio <= 0 || c.MaxMissRatio >= 1 {
		return trace.BadParameter("Config.Validate: MaxMissRatio must be between 0 and 1, not %v", c.MaxMissRatio)
	}
	if c.Window <= 0 || c.MinProbeInterval <= 0 || c.MaxProbeInterval < c.MinProbeInterval {
		return trace.BadParameter("Config.Validate: Window and MinProbeInterval must be positive and MaxProbeInterval not below MinProbeInterval")
	}
	if c.StartLimit < 1 || c.MaxLimit < c.StartLimit {
		return trace.BadParameter("Config.Validate: StartLimit must be between 1 and MaxLimit")
	}
	return nil
}
