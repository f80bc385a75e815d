package quorum

import (
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// MaxVoters is the maximum number of voting replicas.
const MaxVoters = 7

// Config configures one replica.
type Config struct {
	Self             cleat.InstanceID   // ID of this instance.
	InitialInstances []cleat.InstanceID // Instances that form a new log together; empty to join an existing one.
	Peers            []cleat.InstanceID // Other instances to which this replica announces itself until it is a member.

	TickInterval    time.Duration // Interval between calls of Tick.
	Heartbeat       time.Duration // Interval between heartbeats of a leader.
	ElectionTimeout time.Duration // Minimum time without a heartbeat before an election starts.
	Lease           time.Duration // How long a confirmed heartbeat round lets a leader issue orders.
	MaxClockDrift   float64       // Maximum deviation of a clock's rate from true time, as a fraction.
	MaxClockGap     time.Duration // Maximum time between two clock readings; a longer gap is treated as a clock jump.
	ProposeTimeout  time.Duration // Time after which a proposal or read fails with an unknown outcome.

	MaxCommandBytes       int    // Maximum size of one proposal.
	MaxUncommittedEntries int    // Uncommitted entries at which a leader refuses proposals.
	MaxAppendBytes        int    // Maximum size of the entries in one message, unless a single entry is larger.
	MaxInflightEntries    int    // Unacknowledged entries at which a leader sends a follower no more.
	SnapshotChunkBytes    int    // Size of the part of a snapshot in one message.
	SnapshotEntries       uint64 // Entries applied since the last snapshot that trigger another.
	SnapshotBytes         int    // Bytes of commands applied since the last snapshot that trigger another.
	TrailingEntries       uint64 // Maximum entries before the snapshot kept in memory, for followers slightly behind.
	TrailingBytes         int    // Maximum size of these entries.
}

// Defaults sets the fields that are zero to their default values.
func (c *Config) Defaults() {
	cleat.SetDefault(&c.TickInterval, 20*time.Millisecond)
	cleat.SetDefault(&c.Heartbeat, 100*time.Millisecond)
	cleat.SetDefault(&c.ElectionTimeout, 600*time.Millisecond)
	cleat.SetDefault(&c.Lease, c.ElectionTimeout)
	cleat.SetDefault(&c.MaxClockDrift, 0.02)
	cleat.SetDefault(&c.MaxClockGap, 200*time.Millisecond)
	cleat.SetDefault(&c.ProposeTimeout, 5*time.Second)
	cleat.SetDefault(&c.MaxCommandBytes, 1<<20)
	cleat.SetDefault(&c.MaxUncommittedEntries, 8192)
	cleat.SetDefault(&c.MaxAppendBytes, 256<<10)
	cleat.SetDefault(&c.MaxInflightEntries, 2048)
	cleat.SetDefault(&c.SnapshotChunkBytes, 256<<10)
	cleat.SetDefault(&c.SnapshotEntries, 4096)
	cleat.SetDefault(&c.SnapshotBytes, 8<<20)
	cleat.SetDefault(&c.TrailingEntries, 512)
	cleat.SetDefault(&c.TrailingBytes, 1<<20)
}

// Validate returns a trace.BadParameter error that describes the first violated rule.
func (c *Config) Validate() error {
	if c.Self == "" {
		return trace.BadParameter("Config.Validate: Self is missing")
	}
	if c.Heartbeat <= 0 || c.TickInterval <= 0 || c.ProposeTimeout <= 0 {
		return trace.BadParameter("Config.Validate: intervals must be positive")
	}
	if c.ElectionTimeout < 3*c.Heartbeat {
		return trace.BadParameter("Config.Validate: ElectionTimeout must be at least three times Heartbeat")
	}
	if c.Lease <= 0 || c.MaxClockGap < c.TickInterval {
		return trace.BadParameter("Config.Validate: Lease must be positive and MaxClockGap at least TickInterval")
	}
	if c.MaxClockDrift < 0 || c.MaxClockDrift >= 0.5 {
		return trace.BadParameter("Config.Validate: MaxClockDrift must be at least 0 and below 0.5")
	}
	if len(c.InitialInstances) > MaxVoters {
		return trace.BadParameter("Config.Validate: InitialInstances names more than %d instances", MaxVoters)
	}
	return c.validateSizes()
}

func (c *Config) validateSizes() error {
	sizes := []int{
		c.MaxCommandBytes, c.MaxUncommittedEntries, c.MaxAppendBytes,
		c.MaxInflightEntries, c.SnapshotChunkBytes, c.SnapshotBytes,
	}
	for _, size := range sizes {
		if size < 1 {
			return trace.BadParameter("Config.Validate: sizes must be positive")
		}
	}
	return nil
}

// leaseWait returns how long a new leader must wait before it issues orders: the
// longest time that an earlier leader's lease can last, given the slowest and the
// fastest clock, plus one clock jump too short to be detected.
func (c *Config) leaseWait() time.Duration {
	longest := float64(c.Lease) * (1 + c.MaxClockDrift) / (1 - c.MaxClockDrift)
	return time.Duration(longest) + c.MaxClockGap
}
