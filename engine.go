package cleat

import (
	"context"
	"time"
)

// Paths on which an agent takes what upstreams say of themselves.
const (
	PathAgentAnnounce = "/v1/announce"
	PathAgentLoad     = "/v1/load"
	PathAgentCache    = "/v1/cache"
)

// Paths on which upstreams take orders and probes.
const (
	PathUpstreamOrders = "/orders"
	PathUpstreamHealth = "/healthz"
)

// Header lines towards upstreams.
const (
	HeaderUpstreamRequest = "X-Request-Id"  // Names the attempt; a resumed stream repeats it.
	HeaderLastEvent       = "Last-Event-ID" // Resumes a stream after the event.
)

// Announcement is what an upstream says of itself to its agent; it repeats as a heartbeat.
type Announcement struct {
	Upstream  UpstreamID   `json:"upstream"`
	Kind      UpstreamKind `json:"kind"`
	Models    []ModelID    `json:"models"` // Models, or the pools of a plain service.
	Address   string       `json:"address"`
	Slots     uint32       `json:"slots"`      // Largest useful batch; a hint.
	Fencing   bool         `json:"fencing"`    // It checks fencing numbers itself.
	CanResume bool         `json:"can_resume"` // It can resume a cut stream.
	CanLoad   bool         `json:"can_load"`
	Leaving   bool         `json:"leaving,omitempty"`
}

// LoadReport is an upstream's own, late word on its load.
type LoadReport struct {
	Upstream UpstreamID `json:"upstream"`
	Running  uint32     `json:"running"`
	Queued   uint32     `json:"queued"`
}

// CacheEvent tells which prefixes an upstream cached or evicted; a gap in Seq means lost events.
type CacheEvent struct {
	Upstream UpstreamID `json:"upstream"`
	Seq      uint64     `json:"seq"`
	Added    []uint64   `json:"added,omitempty"`
	Evicted  []uint64   `json:"evicted,omitempty"`
}

// Call is a request as handed to an upstream.
type Call struct {
	Attempt    Attempt
	Kind       UpstreamKind
	Repeatable bool
	Method     string
	Target     string
	Header     []HeaderField
	Body       []byte
}

// AnswerSink receives an upstream's answer while it arrives.
type AnswerSink interface {
	// Start passes the answer's status and header.
	Start(status int, header []HeaderField) error
	// Data passes a piece of the body; it blocks while the resume buffer is full.
	Data(b []byte) error
	// Used passes what the request consumed so far.
	Used(u Usage)
}

// Engine runs requests and orders at one upstream.
type Engine interface {
	// Run hands the call over and feeds the answer to sink until it ends or ctx is done.
	Run(ctx context.Context, c Call, sink AnswerSink) Outcome
	// Order carries out an order; a trace.CompareFailed error means the upstream refused its fence.
	Order(ctx context.Context, o Order) error
	// Probe checks that the upstream answers within timeout.
	Probe(ctx context.Context, timeout time.Duration) error
}
