package cleat

import "time"

// UpstreamPhase tells whether an upstream takes new requests.
type UpstreamPhase string

// The phases of an upstream.
const (
	UpstreamReady   UpstreamPhase = "ready"
	UpstreamLeaving UpstreamPhase = "leaving" // Finishes what runs.
	UpstreamGone    UpstreamPhase = "gone"    // Said that it ends.
)

// UpstreamRecord is what an upstream last said of itself.
type UpstreamRecord struct {
	Upstream UpstreamID    `msgpack:"u"`
	Service  ServiceName   `msgpack:"s"`
	Address  string        `msgpack:"a"` // As host:port.
	Domain   DomainID      `msgpack:"d,intern"`
	Slots    int           `msgpack:"n"`
	Phase    UpstreamPhase `msgpack:"p,intern"`
	Born     int64         `msgpack:"b"`           // Start of this life, in milliseconds since 1970 by the upstream's clock.
	Sequence uint64        `msgpack:"q"`           // Rises with each announcement of this life.
	Cold     time.Duration `msgpack:"c,omitempty"` // For which it stays slow after its start.
}

// Upstreams takes the announcements of upstreams.
type Upstreams interface {
	// AnnounceUpstream takes an announcement; a trace.ConnectionProblem error means that
	// this instance can't tell the fleet now.
	AnnounceUpstream(r UpstreamRecord) error
	// WithdrawUpstream notes that an upstream ends; errors are as with AnnounceUpstream.
	WithdrawUpstream(id UpstreamID) error
}

// UpstreamUpdate tells a node or another control instance of upstreams.
type UpstreamUpdate struct {
	Records []UpstreamRecord `msgpack:"r"`
}
