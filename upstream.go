package cleat

import (
	"context"
	"time"
)

// UpstreamPhase states whether an upstream accepts new requests.
type UpstreamPhase string

// The phases of an upstream.
const (
	UpstreamReady   UpstreamPhase = "ready"
	UpstreamLeaving UpstreamPhase = "leaving" // Finishes its running requests and accepts no new ones.
	UpstreamGone    UpstreamPhase = "gone"    // Withdrawn by the upstream itself.
)

// UpstreamRecord is the last state that an upstream announced.
type UpstreamRecord struct {
	Upstream        UpstreamID    `msgpack:"u"`
	Service         ServiceName   `msgpack:"s"`
	Address         string        `msgpack:"a"` // As host:port.
	Domain          DomainID      `msgpack:"d,intern"`
	Slots           int           `msgpack:"n"`
	Phase           UpstreamPhase `msgpack:"p,intern"`
	StartedAtMillis int64         `msgpack:"b"`           // Start of this incarnation, since 1970 by the upstream's clock; orders the incarnations of an id.
	Sequence        uint64        `msgpack:"q"`           // Increases with each announcement of this incarnation.
	WarmUp          time.Duration `msgpack:"c,omitempty"` // Remaining time in which the upstream is slower than normal.
	Version         string        `msgpack:"v"`           // Of its software; empty when an instance that doesn't know versions forwarded the record.

	// AnnouncedStart is what the upstream announced as its start, if that is earlier than
	// what a former incarnation of its id announced; zero if it is StartedAtMillis.
	AnnouncedStart int64 `msgpack:"w,omitempty"`

	// Exit is sent apart from the record, in UpstreamExits.
	Exit UpstreamExit `msgpack:"-"`
}

// Upstreams registers upstreams with the fleet.
type Upstreams interface {
	// AnnounceUpstream records and distributes an announcement. That an upstream leaves is
	// acknowledged once a quorum has stored it. A trace.BadParameter error means that the announcement
	// is invalid, any other that it isn't acknowledged and has to be repeated, at another instance.
	AnnounceUpstream(ctx context.Context, r UpstreamRecord) error
	// WithdrawUpstream records that an upstream has shut down and returns once a quorum has
	// stored it. Errors are those of AnnounceUpstream.
	WithdrawUpstream(ctx context.Context, id UpstreamID) error
}

// UpstreamUpdate carries changed upstream records to a node or another control instance.
type UpstreamUpdate struct {
	Records []UpstreamRecord `msgpack:"r"`

	// KnownFor is set when the receiver has now been sent all that the sender knows: for
	// how long the sender has known all upstreams that came and left. Zero when it
	// can't tell.
	KnownFor time.Duration   `msgpack:"k,omitempty"`
	GoneFor  []time.Duration `msgpack:"g,omitempty"` // Empty, or for each record how long ago it was withdrawn; zero for one that is not.
	Ended    []EndedVersion  `msgpack:"e,omitempty"`

	// Overdue is set between control instances: the latest that the sender knows of upstreams
	// it has not heard of for long. The receiver answers with what is later.
	Overdue []UpstreamPoint `msgpack:"o,omitempty"`
}

// UpstreamPoint names an announcement. It has no interned fields, since receivers of earlier
// versions skip it.
type UpstreamPoint struct {
	Upstream        UpstreamID `msgpack:"u"`
	StartedAtMillis int64      `msgpack:"b"`
	Sequence        uint64     `msgpack:"q"`
}

// EndedVersion is a software version that an upstream had before it restarted under its
// id with another one.
type EndedVersion struct {
	Service ServiceName   `msgpack:"s"`
	Version string        `msgpack:"v"`
	Age     time.Duration `msgpack:"a"` // Since the restart became known.
}
