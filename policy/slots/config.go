package slots

import (
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/admit"
)

// Config sets an agent's intervals, lifetimes and bounds.
type Config struct {
	GrantLifetime      time.Duration // Counted from when the entry receives the grant.
	GrantSlack         time.Duration // How much longer the agent reserves the slot.
	UpstreamTimeout    time.Duration // Time without an announcement after which an upstream counts as timed out.
	MinAskInterval     time.Duration // First interval between two Ask messages; it doubles up to MaxAskInterval.
	MaxAskInterval     time.Duration
	EntryStateInterval time.Duration // Minimum time between two AgentState messages to the same entry.
	StateInterval      time.Duration // Minimum time between any two AgentState messages that this agent sends.
	AttemptRetention   time.Duration // How long the outcome of an ended attempt is kept.
	MaxEndedAttempts   int
	MaxPrefixes        int           // Prefix digests tracked for one upstream.
	StatePrefixes      int           // Prefix digests sent for one upstream in one AgentState.
	ClassCredit        cleat.Cost    // Service per share by which a workspace's highest class may be ahead of other workspaces.
	ActivationSlack    cleat.Cost    // Cost, divided by the share: a workspace that may already wait at other agents is raised to this much below the least served backlogged one.
	AgeingPeriod       time.Duration // Waiting time that raises a request's class by one rank.
	StarvationTimeout  time.Duration // Time without service after which a waiting workspace gets the next grant.
	RelayTimeout       time.Duration // How long after its start an agent waits for the relay's totals before it relies on its own.
	OverrunFraction    float64       // Lower bound of a running attempt's expected further cost, as a fraction of what it has used.
	Admit              admit.Config
}

// Defaults sets the fields that are zero.
func (c *Config) Defaults() {
	cleat.SetDefault(&c.GrantLifetime, 250*time.Millisecond)
	cleat.SetDefault(&c.GrantSlack, 250*time.Millisecond)
	cleat.SetDefault(&c.UpstreamTimeout, 3*time.Second)
	cleat.SetDefault(&c.MinAskInterval, 100*time.Millisecond)
	cleat.SetDefault(&c.MaxAskInterval, 2*time.Second)
	cleat.SetDefault(&c.EntryStateInterval, 500*time.Millisecond)
	cleat.SetDefault(&c.StateInterval, 150*time.Millisecond)
	cleat.SetDefault(&c.AttemptRetention, 15*time.Minute)
	cleat.SetDefault(&c.AgeingPeriod, 2*time.Minute)
	cleat.SetDefault(&c.StarvationTimeout, 30*time.Second)
	cleat.SetDefault(&c.RelayTimeout, 15*time.Second)
	cleat.SetDefault(&c.MaxEndedAttempts, 100000)
	cleat.SetDefault(&c.MaxPrefixes, 8192)
	cleat.SetDefault(&c.StatePrefixes, 8)
	cleat.SetDefault(&c.ClassCredit, 500)
	cleat.SetDefault(&c.ActivationSlack, 4000)
	cleat.SetDefault(&c.OverrunFraction, 0.25)
	c.Admit.Defaults()
}

// Validate returns a trace.BadParameter error that names the first invalid field.
func (c *Config) Validate() error {
	if c.GrantLifetime <= 0 || c.GrantSlack <= 0 {
		return trace.BadParameter("Config.Validate: GrantLifetime and GrantSlack must be positive")
	}
	if c.MinAskInterval <= 0 || c.MaxAskInterval < c.MinAskInterval {
		return trace.BadParameter("Config.Validate: MinAskInterval must be positive and MaxAskInterval not below it")
	}
	if c.AttemptRetention < time.Minute || c.MaxEndedAttempts < 1 {
		return trace.BadParameter("Config.Validate: AttemptRetention must be at least a minute and MaxEndedAttempts positive")
	}
	if c.ClassCredit < 0 || c.ActivationSlack < 0 || c.OverrunFraction < 0 {
		return trace.BadParameter("Config.Validate: ClassCredit, ActivationSlack and OverrunFraction must not be negative")
	}
	return c.Admit.Validate()
}
