package poison

import (
	"time"

	"marigoldcleat.example/cleat"
)

// Defaults of Config.
const (
	DefaultMinCrashes          = 4
	DefaultMaxCrashes          = 7
	DefaultMinRequests         = 3
	DefaultChance              = 1e-4
	DefaultSettleTime          = time.Second
	DefaultFailureRetention    = 30 * time.Minute
	DefaultQuarantineRetention = 10 * time.Minute
	DefaultMaxEvidence         = 4096
	DefaultMaxServed           = 4096
	DefaultMaxQuarantined      = 256
)

// Config holds the settings of a table.
type Config struct {
	MinCrashes          int           // Upstreams that ended before a block is quarantined, at least.
	MaxCrashes          int           // As MinCrashes, when requests break off often for other reasons.
	MinRequests         int           // Different requests among their failures.
	Chance              float64       // Probability with which a block that crashes nothing may be quarantined, for each run of failures.
	SettleTime          time.Duration // From the last crash that is needed to the quarantine; answers of other entries may clear the block meanwhile.
	FailureRetention    time.Duration
	QuarantineRetention time.Duration // Since the last request with the block.
	MaxEvidence         int           // Blocks in all failures together; the oldest failures make room.
	MaxServed           int           // Blocks that were served recently, in each of two generations.
	MaxQuarantined      int
}

// Defaults sets the fields that are zero.
func (c *Config) Defaults() {
	cleat.SetDefault(&c.MinCrashes, DefaultMinCrashes)
	cleat.SetDefault(&c.MaxCrashes, DefaultMaxCrashes)
	cleat.SetDefault(&c.MinRequests, DefaultMinRequests)
	cleat.SetDefault(&c.Chance, DefaultChance)
	cleat.SetDefault(&c.SettleTime, DefaultSettleTime)
	cleat.SetDefault(&c.FailureRetention, DefaultFailureRetention)
	cleat.SetDefault(&c.QuarantineRetention, DefaultQuarantineRetention)
	cleat.SetDefault(&c.MaxEvidence, DefaultMaxEvidence)
	cleat.SetDefault(&c.MaxServed, DefaultMaxServed)
	cleat.SetDefault(&c.MaxQuarantined, DefaultMaxQuarantined)
}
