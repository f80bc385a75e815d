package cleat

import (
	"context"
	"time"
)

// Paths on which an agent receives reports from upstreams.
const (
	PathAgentAnnounce = "/v1/announce"
	PathAgentLoad     = "/v1/load"
	PathAgentCache    = "/v1/cache"
)

// Paths on which upstreams accept orders and health probes.
const (
	PathUpstreamOrders = "/orders"
	PathUpstreamHealth = "/healthz"
)

// Header fields of requests to upstreams.
const (
	HeaderUpstreamRequest = "X-Request-Id"  // Identifies the attempt; repeated when a stream is resumed.
	HeaderLastEvent       = "Last-Event-ID" // Resumes a stream after the event.
)

// Announcement registers an upstream with its agent; it is repeated as a heartbeat.
type Announcement struct {
	Upstream  UpstreamID   `json:"upstream"`
	Kind      UpstreamKind `json:"kind"`
	Models    []ModelID    `json:"models"` // For a plain service, its pools.
	Address   string       `json:"address"`
	Slots     uint32       `json:"slots"`      // Largest batch that the upstream can use; a hint.
	Fencing   bool         `json:"fencing"`    // The upstream checks fencing numbers itself.
	CanResume bool         `json:"can_resume"` // The upstream can resume an interrupted stream.
	CanLoad   bool         `json:"can_load"`
	Leaving   bool         `json:"leaving,omitempty"`
}

// LoadReport is the load reported by an upstream; it lags behind the actual load.
type LoadReport struct {
	Upstream UpstreamID `json:"upstream"`
	Running  uint32     `json:"running"`
	Queued   uint32     `json:"queued"`
}

// CacheEvent lists the digests of prefixes that an upstream cached or evicted; a gap in Seq means lost events.
type CacheEvent struct {
	Upstream UpstreamID `json:"upstream"`
	Seq      uint64     `json:"seq"`
	Added    []uint64   `json:"added,omitempty"`
	Evicted  []uint64   `json:"evicted,omitempty"`
}

// Call is a request as sent to an upstream.
type Call struct {
	Attempt    Attempt
	Kind       UpstreamKind
	Repeatable bool // The request may run more than once.
	Method     string
	Target     string
	Header     []HeaderField
	Body       []byte
}

// AnswerSink receives an upstream's answer while it arrives.
type AnswerSink interface {
	// Start receives the answer's status and header.
	Start(status int, header []HeaderField) error
	// Data receives a chunk of the body; it blocks while the resume buffer is full.
	Data(b []byte) error
	// ReportUsage receives the request's usage so far.
	ReportUsage(u Usage)
}

// Engine runs requests and orders at one upstream.
type Engine interface {
	// Run sends the call and streams the answer to sink until the answer ends or ctx is done.
	Run(ctx context.Context, c Call, sink AnswerSink) Outcome
	// Order carries out an order; a trace.CompareFailed error means that the upstream refused its fencing number.
	Order(ctx context.Context, o Order) error
	// Probe checks that the upstream answers within timeout.
	Probe(ctx context.Context, timeout time.Duration) error
}
