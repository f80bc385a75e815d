package queue

import (
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// Config holds an entry's intervals and limits.
type Config struct {
	Spread            int           // Agents that a stream is offered to if the best has no free slot or does not grant one.
	MaxSpread         int           // Most agents that a stream is offered to.
	SpreadAfter       time.Duration // Waiting time after which a stream is offered to Spread agents, not just the best.
	WidenInterval     time.Duration // Interval at which the number of agents is doubled after that.
	RefreshInterval   time.Duration // Age at which an offer is sent again.
	OfferInterval     time.Duration // Minimum time between updates of the offers to one agent; the first offer of a stream is sent at once.
	ResumeGrace       time.Duration // Time that a disconnected agent has to reconnect with its attempts.
	UpstreamGrace     time.Duration // Time without upstreams after which a model's requests are refused.
	RetryDelay        time.Duration // Shortest backoff before the first retry; doubled for each further one.
	MaxRetryDelay     time.Duration
	MaxAttempts       int
	MaxRefusalAge     time.Duration // Age of an attempt up to which a refusal that says it did not run is trusted.
	ReviewInterval    time.Duration // Time between checks for requests that would miss their deadlines or that no upstream serves.
	RateWindow        time.Duration // Time constant of the dispatch rate; waits are estimated once requests have been waiting this long.
	MinRateDispatches float64       // Dispatches in RateWindow below which waits are not estimated.
	LateFactor        float64       // A request is refused if its estimated wait exceeds its remaining time by this factor.
	ReorderWindow     int           // Waiting requests from which a grant may choose by cached prefix.
	MaxSkips          int           // How often the first waiting request may be passed over.
	MaxPrefixes       int           // Cached prefix digests kept for one upstream.
	MaxRetryAfter     time.Duration // Longest delay before a retry that a refusal for a full queue or a missed deadline suggests.
	DefaultMaxQueue   int           // Most waiting requests of a workspace that is not in the settings.
}

// Defaults sets the fields that are zero to their defaults.
func (c *Config) Defaults() {
	cleat.SetDefault(&c.SpreadAfter, 30*time.Millisecond)
	cleat.SetDefault(&c.WidenInterval, time.Second)
	cleat.SetDefault(&c.OfferInterval, 500*time.Millisecond)
	cleat.SetDefault(&c.RefreshInterval, 30*time.Second)
	cleat.SetDefault(&c.ReviewInterval, 500*time.Millisecond)
	cleat.SetDefault(&c.ResumeGrace, 5*time.Second)
	cleat.SetDefault(&c.UpstreamGrace, 5*time.Second)
	cleat.SetDefault(&c.RetryDelay, 50*time.Millisecond)
	cleat.SetDefault(&c.MaxRetryDelay, 5*time.Second)
	cleat.SetDefault(&c.MaxRefusalAge, 10*time.Minute)
	cleat.SetDefault(&c.RateWindow, 10*time.Second)
	cleat.SetDefault(&c.MaxRetryAfter, time.Minute)
	cleat.SetDefault(&c.Spread, 3)
	cleat.SetDefault(&c.MaxSpread, 24)
	cleat.SetDefault(&c.MaxAttempts, 4)
	cleat.SetDefault(&c.ReorderWindow, 8)
	cleat.SetDefault(&c.MaxSkips, 8)
	cleat.SetDefault(&c.MaxPrefixes, 4096)
	cleat.SetDefault(&c.DefaultMaxQueue, 1000)
	cleat.SetDefault(&c.MinRateDispatches, 5)
	cleat.SetDefault(&c.LateFactor, 1.5)
}

// Validate returns a trace.BadParameter error if a field is out of range.
func (c *Config) Validate() error {
	if c.Spread < 1 || c.MaxSpread < c.Spread {
		return trace.BadParameter("Config.Validate: Spread must be between 1 and MaxSpread")
	}
	if c.OfferInterval <= 0 || c.WidenInterval <= 0 || c.RateWindow <= 0 {
		return trace.BadParameter("Config.Validate: OfferInterval, WidenInterval and RateWindow must be positive")
	}
	if c.MaxAttempts < 1 || c.ReorderWindow < 1 {
		return trace.BadParameter("Config.Validate: MaxAttempts and ReorderWindow must be positive")
	}
	if c.LateFactor < 1 {
		return trace.BadParameter("Config.Validate: LateFactor must be at least 1, not %v", c.LateFactor)
	}
	return nil
}
