package quorum

import (
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// MaxVoters bounds the replicas that vote.
const MaxVoters = 7

// Config sets up one replica.
type Config struct {
	Self  cleat.InstanceID   // This instance.
	First []cleat.InstanceID // The instances that form a new log together; empty to join one.
	Peers []cleat.InstanceID // Other instances that are told of this replica until it is a member.

	TickInterval    time.Duration // Between calls of Tick.
	Heartbeat       time.Duration // Between heartbeats of a leader.
	ElectionTimeout time.Duration // Without a heartbeat before an election begins, at least.
	Lease           time.Duration // For which a confirmed round lets a leader issue orders.
	MaxClockDrift   float64       // How far a clock's rate is off true time, at most.
	MaxClockGap     time.Duration // Between two looks at the clock; a longer one is taken for a jump.
	ProposeTimeout  time.Duration // Until the fate of a proposal or a read is given up.

	MaxCommandBytes    int    // Of one proposal.
	MaxUncommitted     int    // Entries that a leader holds uncommitted before it refuses proposals.
	MaxAppendBytes     int    // Of the entries in one message, unless a single one is larger.
	MaxInflightEntries int    // Sent to one follower and not answered.
	SnapshotChunkBytes int    // Of a snapshot in one message.
	SnapshotEntries    uint64 // Applied since the last snapshot before another is taken.
	SnapshotBytes      int    // Of commands applied since the last snapshot before another is taken.
	TrailingEntries    uint64 // Kept in memory before a snapshot, for followers slightly behind, at most.
	TrailingBytes      int    // Of these entries, at most.
}

// Defaults sets what was left out.
func (c *Config) Defaults() {
	cleat.SetDefault(&c.TickInterval, 20*time.Millisecond)
	cleat.SetDefault(&c.Heartbeat, 100*time.Millisecond)
	cleat.SetDefault(&c.ElectionTimeout, 600*time.Millisecond)
	cleat.SetDefault(&c.Lease, c.ElectionTimeout)
	cleat.SetDefault(&c.MaxClockDrift, 0.02)
	cleat.SetDefault(&c.MaxClockGap, 200*time.Millisecond)
	cleat.SetDefault(&c.ProposeTimeout, 5*time.Second)
	cleat.SetDefault(&c.MaxCommandBytes, 1<<20)
	cleat.SetDefault(&c.MaxUncommitted, 8192)
	cleat.SetDefault(&c.MaxAppendBytes, 256<<10)
	cleat.SetDefault(&c.MaxInflightEntries, 2048)
	cleat.SetDefault(&c.SnapshotChunkBytes, 256<<10)
	cleat.SetDefault(&c.SnapshotEntries, 4096)
	cleat.SetDefault(&c.SnapshotBytes, 8<<20)
	cleat.SetDefault(&c.TrailingEntries, 512)
	cleat.SetDefault(&c.TrailingBytes, 1<<20)
}

// Validate returns a trace.BadParameter error that names the first wrong field.
func (c *Config) Validate() error {
	if c.Self == "" {
		return trace.BadParameter("Config.Validate: Self is missing")
	}
	if c.Heartbeat <= 0 || c.TickInterval <= 0 || c.ProposeTimeout <= 0 {
		return trace.BadParameter("Config.Validate: intervals must be positive")
	}
	if c.ElectionTimeout < 3*c.Heartbeat {
		return trace.BadParameter("Config.Validate: ElectionTimeout must be three heartbeats or more")
	}
	if c.Lease <= 0 || c.MaxClockGap < c.TickInterval {
		return trace.BadParameter("Config.Validate: Lease must be positive and MaxClockGap a TickInterval or more")
	}
	if c.MaxClockDrift < 0 || c.MaxClockDrift >= 0.5 {
		return trace.BadParameter("Config.Validate: MaxClockDrift must be at least 0 and below 0.5")
	}
	if len(c.First) > MaxVoters {
		return trace.BadParameter("Config.Validate: First names more than %d instances", MaxVoters)
	}
	return c.validateSizes()
}

func (c *Config) validateSizes() error {
	sizes := []int{
		c.MaxCommandBytes, c.MaxUncommitted, c.MaxAppendBytes,
		c.MaxInflightEntries, c.SnapshotChunkBytes, c.SnapshotBytes,
	}
	for _, size := range sizes {
		if size < 1 {
			return trace.BadParameter("Config.Validate: sizes must be positive")
		}
	}
	return nil
}

// leaseWait is how long a new leader issues no orders: the longest that an
// earlier leader's lease can last, by the slowest and the fastest clock, and one
// jump of the clock too short to be seen.
func (c *Config) leaseWait() time.Duration {
	longest := float64(c.Lease) * (1 + c.MaxClockDrift) / (1 - c.MaxClockDrift)
	return time.Duration(longest) + c.MaxClockGap
}
