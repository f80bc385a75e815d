package cleat

import (
	"time"

	"github.com/gravitational/trace"
)

// Limits bounds the requests that an entry accepts, stored at /fleet/limits.
type Limits struct {
	MaxBodyBytes   int64   `json:"max_body_bytes"`
	MaxHeaderBytes int     `json:"max_header_bytes"`
	MaxWaiting     int     `json:"max_waiting"` // Requests waiting at one entry, over all workspaces.
	RetryRatio     float64 `json:"retry_ratio"` // Retry budget, as retries per first attempt.
}

// Defaults sets the fields that the operator left out.
func (l *Limits) Defaults() {
	SetDefault(&l.MaxBodyBytes, 8<<20)
	SetDefault(&l.MaxHeaderBytes, 32<<10)
	SetDefault(&l.MaxWaiting, 10000)
	SetDefault(&l.RetryRatio, 0.1)
}

// Validate returns a trace.BadParameter error that names the first invalid field.
func (l *Limits) Validate() error {
	if l.MaxBodyBytes < 1 || l.MaxBodyBytes > 64<<20 {
		return trace.BadParameter("Limits.Validate: max_body_bytes must be between 1 and %d", 64<<20)
	}
	if l.MaxHeaderBytes < 1024 || l.MaxHeaderBytes > 1<<20 {
		return trace.BadParameter("Limits.Validate: max_header_bytes must be between 1024 and %d", 1<<20)
	}
	if l.MaxWaiting < 1 || l.MaxWaiting > MaxWaitingUpperBound {
		return trace.BadParameter("Limits.Validate: max_waiting must be between 1 and %d", MaxWaitingUpperBound)
	}
	if l.RetryRatio < 0 || l.RetryRatio > 1 {
		return trace.BadParameter("Limits.Validate: retry_ratio must be between 0 and 1")
	}
	return nil
}

// Fleet holds the decoded settings at one revision. It is immutable and shared.
type Fleet struct {
	revision   Revision
	workspaces Workspaces
	rules      Rules
	classes    map[ClassName]Class
	limits     Limits
}

// NewFleet returns a Fleet of decoded settings.
func NewFleet(rev Revision, ws Workspaces, rules Rules, classes map[ClassName]Class, limits Limits) *Fleet {
	return &Fleet{revision: rev, workspaces: ws, rules: rules, classes: classes, limits: limits}
}

// Revision returns the revision of the settings.
func (f *Fleet) Revision() Revision { return f.revision }

// Workspaces returns the workspaces.
func (f *Fleet) Workspaces() Workspaces { return f.workspaces }

// Rules returns the rules.
func (f *Fleet) Rules() Rules { return f.rules }

// Limits returns the limits on the requests that an entry accepts.
func (f *Fleet) Limits() Limits { return f.limits }

// ClassByName returns the class of that name, with defaults if it is not configured.
func (f *Fleet) ClassByName(name ClassName) Class {
	c, ok := f.classes[name]
	if !ok {
		c = Class{Name: name}
		c.Defaults()
	}
	return c
}

// FleetSource provides the settings in force at this node.
type FleetSource interface {
	// Fleet returns the settings in force, or false while none are confirmed.
	Fleet() (*Fleet, bool)
}

// Claims makes durable claims on idempotency keys.
type Claims interface {
	// Claim requests the claim from the control quorum. The state is ClaimNoQuorum when no quorum
	// answers by deadline.
	Claim(c Claim, deadline time.Time) ClaimResult
	// Record stores the outcome of a claimed request; it retries until a quorum has stored it or
	// the retention period ends.
	Record(o ClaimOutcome)
}

// StaticFleet is a FleetSource whose settings never change.
type StaticFleet struct {
	fleet *Fleet
}

// NewStaticFleet returns a source of f, or of no settings when f is nil.
func NewStaticFleet(f *Fleet) StaticFleet {
	return StaticFleet{fleet: f}
}

// Fleet returns the settings, or false when there are none.
func (s StaticFleet) Fleet() (*Fleet, bool) {
	return s.fleet, s.fleet != nil
}
