package slots

import (
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/admit"
)

// Config sets an agent's pace and bounds.
type Config struct {
	GrantLifetime    time.Duration // From the receipt of a grant.
	GrantSlack       time.Duration // How much longer the agent keeps the slot.
	UpstreamTimeout  time.Duration // Without an announcement.
	AskMin           time.Duration // First pause between asks.
	AskMax           time.Duration
	StateMin         time.Duration // Least time between states to one entry.
	StatePerEntry    time.Duration // Least time between any two states of this agent.
	RememberAttempts time.Duration // How long an ended attempt stays known.
	MaxRemembered    int
	MaxPrefixes      int           // Cached digests known of one upstream.
	StatePrefixes    int           // Digests in one state.
	ClassCredit      cleat.Cost    // For one share: how far the first class may run ahead of other workspaces.
	ReturnSlack      cleat.Cost    // For one share: what a workspace that waits elsewhere may lag behind.
	AgeingAfter      time.Duration // That raises a waiting class by one rank.
	StarveAfter      time.Duration // Without any service, after which a waiting workspace goes first once.
	AloneAfter       time.Duration // After which an agent that hears no relay trusts its own totals.
	ChargeAhead      float64       // Expected, in parts of what it used, of a stream that outran its estimate.
	Admit            admit.Config
}

// Defaults sets what is left out.
func (c *Config) Defaults() {
	cleat.SetDefault(&c.GrantLifetime, 250*time.Millisecond)
	cleat.SetDefault(&c.GrantSlack, 250*time.Millisecond)
	cleat.SetDefault(&c.UpstreamTimeout, 3*time.Second)
	cleat.SetDefault(&c.AskMin, 100*time.Millisecond)
	cleat.SetDefault(&c.AskMax, 2*time.Second)
	cleat.SetDefault(&c.StateMin, 500*time.Millisecond)
	cleat.SetDefault(&c.StatePerEntry, 150*time.Millisecond)
	cleat.SetDefault(&c.RememberAttempts, 15*time.Minute)
	cleat.SetDefault(&c.AgeingAfter, 2*time.Minute)
	cleat.SetDefault(&c.StarveAfter, 30*time.Second)
	cleat.SetDefault(&c.AloneAfter, 15*time.Second)
	cleat.SetDefault(&c.MaxRemembered, 100000)
	cleat.SetDefault(&c.MaxPrefixes, 8192)
	cleat.SetDefault(&c.StatePrefixes, 8)
	cleat.SetDefault(&c.ClassCredit, 500)
	cleat.SetDefault(&c.ReturnSlack, 4000)
	cleat.SetDefault(&c.ChargeAhead, 0.25)
	c.Admit.Defaults()
}

// Validate returns a trace.BadParameter error that names the first wrong field.
func (c *Config) Validate() error {
	if c.GrantLifetime <= 0 || c.GrantSlack <= 0 {
		return trace.BadParameter("Config.Validate: GrantLifetime and GrantSlack must be positive")
	}
	if c.AskMin <= 0 || c.AskMax < c.AskMin {
		return trace.BadParameter("Config.Validate: AskMin must be positive and AskMax not below it")
	}
	if c.RememberAttempts < time.Minute || c.MaxRemembered < 1 {
		return trace.BadParameter("Config.Validate: RememberAttempts must be at least a minute and MaxRemembered positive")
	}
	if c.ClassCredit < 0 || c.ReturnSlack < 0 || c.ChargeAhead < 0 {
		return trace.BadParameter("Config.Validate: ClassCredit, ReturnSlack and ChargeAhead must not be negative")
	}
	return c.Admit.Validate()
}
