package queue

import (
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// Config sets an entry's pace and bounds.
type Config struct {
	Spread          int           // Agents that a stream is offered to when the best has no free slot or does not grant one.
	MaxSpread       int           // Agents that it is offered to at most.
	SecondAfter     time.Duration // Waiting time after which more than the best agent are told.
	WidenAfter      time.Duration // Waiting time after which twice as many agents are told.
	RefreshInterval time.Duration // After which an agent is told again what still waits.
	OfferInterval   time.Duration // Between changed offers to one agent, but for the first of a stream.
	ResumeGrace     time.Duration // That a lost agent has to come back with its attempts.
	UpstreamGrace   time.Duration // That a model may be without upstreams before its requests are refused.
	RetryDelay      time.Duration // Before the first retry; doubled for each next.
	MaxRetryDelay   time.Duration
	MaxAttempts     int
	TrustRefusals   time.Duration // Age of an attempt up to which an agent's word that it did not run is believed.
	ReviewInterval  time.Duration // Between searches for requests that would be late.
	PaceWindow      time.Duration // Over which the pace of dispatches is seen.
	PaceSamples     float64       // Dispatches in it before a wait is foretold.
	LateFactor      float64       // A request is refused when its foretold wait is this much over its time left.
	ReorderWindow   int           // Waiting requests among which a grant may choose by cached prefix.
	MaxSkips        int           // How often the first may be passed over for that.
	MaxPrefixes     int           // Cached digests known of one upstream.
	MaxRetryAfter   time.Duration
	DefaultMaxQueue int // Waiting requests of a workspace that the settings don't know.
}

// Defaults sets what is left out.
func (c *Config) Defaults() {
	cleat.SetDefault(&c.SecondAfter, 30*time.Millisecond)
	cleat.SetDefault(&c.WidenAfter, time.Second)
	cleat.SetDefault(&c.OfferInterval, 500*time.Millisecond)
	cleat.SetDefault(&c.RefreshInterval, 30*time.Second)
	cleat.SetDefault(&c.ReviewInterval, 500*time.Millisecond)
	cleat.SetDefault(&c.ResumeGrace, 5*time.Second)
	cleat.SetDefault(&c.UpstreamGrace, 5*time.Second)
	cleat.SetDefault(&c.RetryDelay, 50*time.Millisecond)
	cleat.SetDefault(&c.MaxRetryDelay, 5*time.Second)
	cleat.SetDefault(&c.TrustRefusals, 10*time.Minute)
	cleat.SetDefault(&c.PaceWindow, 10*time.Second)
	cleat.SetDefault(&c.MaxRetryAfter, time.Minute)
	cleat.SetDefault(&c.Spread, 3)
	cleat.SetDefault(&c.MaxSpread, 24)
	cleat.SetDefault(&c.MaxAttempts, 4)
	cleat.SetDefault(&c.ReorderWindow, 8)
	cleat.SetDefault(&c.MaxSkips, 8)
	cleat.SetDefault(&c.MaxPrefixes, 4096)
	cleat.SetDefault(&c.DefaultMaxQueue, 1000)
	cleat.SetDefault(&c.PaceSamples, 5)
	cleat.SetDefault(&c.LateFactor, 1.5)
}

// Validate returns a trace.BadParameter error that names the first wrong field.
func (c *Config) Validate() error {
	if c.Spread < 1 || c.MaxSpread < c.Spread {
		return trace.BadParameter("Config.Validate: Spread must be between 1 and MaxSpread")
	}
	if c.OfferInterval <= 0 || c.WidenAfter <= 0 || c.PaceWindow <= 0 {
		return trace.BadParameter("Config.Validate: OfferInterval, WidenAfter and PaceWindow must be positive")
	}
	if c.MaxAttempts < 1 || c.ReorderWindow < 1 {
		return trace.BadParameter("Config.Validate: MaxAttempts and ReorderWindow must be positive")
	}
	if c.LateFactor < 1 {
		return trace.BadParameter("Config.Validate: LateFactor must be at least 1, not %v", c.LateFactor)
	}
	return nil
}
