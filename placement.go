package cleat

import "time"

// UpstreamLoad is the load that one entry has placed on an upstream.
type UpstreamLoad struct {
	Upstream       UpstreamID     `msgpack:"u,intern"`
	PendingPrefill uint32         `msgpack:"p"`           // Uncached prompt tokens of requests without a first event.
	Running        uint32         `msgpack:"r"`           // Number of requests.
	Memory         uint32         `msgpack:"m"`           // Tokens of cache memory that the entry's requests hold or will hold.
	RecentPrefill  uint32         `msgpack:"d"`           // Uncached prompt tokens dispatched in a short sliding window.
	TokenRate      uint32         `msgpack:"s"`           // Rate that all but the few most urgent of the entry's event streams need to meet their deadlines, in tokens/s.
	BegunAge       uint32         `msgpack:"g,omitempty"` // Milliseconds since the newest request that has a first event was dispatched; zero for none in a short window.
	Speed          *UpstreamSpeed `msgpack:"v,omitempty"`
}

// UpstreamSpeed tells another entry what the sender has seen of an upstream's speed.
// Figures are in 1/256; speeds are relative to a fixed engine.
type UpstreamSpeed struct {
	Incarnation    uint16 `msgpack:"b,omitempty"` // Low bits of the upstream's StartedAtMillis.
	Speed          uint32 `msgpack:"x,omitempty"` // Mean of the samples since the sender's last report.
	Weight         uint32 `msgpack:"w,omitempty"` // Their weight, in seconds.
	Slowness       uint32 `msgpack:"f,omitempty"` // Newest factor that the upstream stated, as in AnswerInfo; zero for none since the last report.
	SlownessAge    uint32 `msgpack:"a,omitempty"` // Milliseconds since that.
	Estimate       uint32 `msgpack:"e,omitempty"` // The sender's estimate of the lasting speed, for entries that have none.
	EstimateWeight uint32 `msgpack:"n,omitempty"` // Weight of the samples behind it; zero for no estimate.
}

// CachedBlock states that a prompt with a prefix block was sent to an upstream, which caches the block.
type CachedBlock struct {
	Upstream UpstreamID `msgpack:"u,intern"`
	Digest   uint64     `msgpack:"p"` // Of this block and all blocks before it.
	Tokens   uint32     `msgpack:"t"` // Of this block alone.
}

// WorkspaceUsage is the recent token usage of a workspace's requests at one entry.
// An expected output token counts twice, and each request counts as at least one token.
type WorkspaceUsage struct {
	Workspace       WorkspaceID `msgpack:"w,intern"`
	RequestedTokens uint32      `msgpack:"a"`           // In the sender's sliding usage window.
	AdmittedTokens  uint32      `msgpack:"s"`           // Those of RequestedTokens that were dispatched to an upstream.
	RecentTokens    uint32      `msgpack:"r"`           // Those of RequestedTokens in the last part of the window.
	StartedTokens   uint32      `msgpack:"t,omitempty"` // Those whose first event came in the window.
	PendingTokens   uint32      `msgpack:"p,omitempty"` // Those that were dispatched and may still get their first event.
	DeniedTokens    uint32      `msgpack:"d,omitempty"` // Those that were refused for lack of capacity or for the share, or failed by an upstream.
	NoRoomTokens    uint32      `msgpack:"n,omitempty"` // Those of DeniedTokens that were refused for lack of room at upstreams, or failed.
}

// PlacementReport tells another entry which load the sender has placed on each
// upstream. It replaces the sender's earlier report, except for CachedBlocks,
// which are cumulative.
type PlacementReport struct {
	Seq          uint64           `msgpack:"q"`
	Loads        []UpstreamLoad   `msgpack:"l"`
	CachedBlocks []CachedBlock    `msgpack:"p,omitempty"`
	Usage        []WorkspaceUsage `msgpack:"u,omitempty"`
	Outputs      []byte           `msgpack:"o,omitempty"` // Output tokens still to come of the requests in Loads, one byte for each, by EncodeTokens.
	Limits       []UpstreamLimit  `msgpack:"m,omitempty"` // Its strings are not interned: entries of an earlier version skip it.
	Cold         []ColdUpstream   `msgpack:"c,omitempty"` // As Limits.
	Leaving      bool             `msgpack:"x,omitempty"` // The sender shuts down and gets no further requests.
	Partial      bool             `msgpack:"i,omitempty"` // Sent when a link has come up, without CachedBlocks and Limits.
	Informed     bool             `msgpack:"n,omitempty"` // Of a partial report: Cold holds all that the sender knows, also from others.
	Clock        uint32           `msgpack:"k,omitempty"` // Milliseconds on the sender's monotonic clock.
}

// ColdUpstream tells another entry what the sender observed itself about an upstream that may be cold.
type ColdUpstream struct {
	Upstream        UpstreamID    `msgpack:"u"`
	StartedAtMillis int64         `msgpack:"b"`           // As in UpstreamRecord.
	WarmUp          time.Duration `msgpack:"c,omitempty"` // Remaining time for which it is cold by its announcements and answers.
	FailedAge       time.Duration `msgpack:"f,omitempty"` // Since a connection to it was last refused or broke off; zero for never.
	ReachedAge      time.Duration `msgpack:"r,omitempty"` // Since its first answer after the last failure known; zero for none.
	ProofAge        time.Duration `msgpack:"p,omitempty"` // Since a request from before a failure was last seen to go on; zero for never.
}

// UpstreamLimit tells another entry about the rate limit that an upstream names.
type UpstreamLimit struct {
	Upstream        UpstreamID    `msgpack:"u"`
	StartedAtMillis int64         `msgpack:"b"`           // As in UpstreamRecord.
	Rate            float64       `msgpack:"r"`           // Requests/s from all entries together; zero when the newest answer names no limit.
	Age             time.Duration `msgpack:"a"`           // Since the newest answer that the sender knows of.
	Heard           bool          `msgpack:"x,omitempty"` // The sender knows it from another entry only.
	Wanted          uint32        `msgpack:"w,omitempty"` // Requests of the last second that the sender could have sent with more permits.
	Held            uint32        `msgpack:"h,omitempty"` // Permits that the sender may use.
	Expired         uint32        `msgpack:"n,omitempty"` // Permits that expired at the sender since its last report.
	Grants          []PermitGrant `msgpack:"g,omitempty"`
}

// PermitGrant permits an entry to send requests to a limited upstream.
type PermitGrant struct {
	Entry InstanceID `msgpack:"e"`
	Count uint32     `msgpack:"n"`
}
