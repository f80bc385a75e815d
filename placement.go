package cleat

// UpstreamLoad is the load that one entry has placed on an upstream.
type UpstreamLoad struct {
	Upstream UpstreamID `msgpack:"u,intern"`
	Prefill  uint32     `msgpack:"p"` // Prefill tokens still pending: uncached prompt tokens of requests without a first event.
	Running  uint32     `msgpack:"r"` // Number of requests.
	Memory   uint32     `msgpack:"m"` // Tokens of cache memory that its requests hold or will hold.
	Read     uint32     `msgpack:"d"` // Prefill tokens dispatched recently.
	Pace     uint32     `msgpack:"s"` // Token rate, in tokens/s, that the most urgent of its streams needs to meet its deadline.
}

// CachedPart states that an upstream has prefilled, and so cached, a prefix block of prompts.
type CachedPart struct {
	Upstream UpstreamID `msgpack:"u,intern"`
	Part     uint64     `msgpack:"p"` // Digest of the block and all blocks before it.
	Tokens   uint32     `msgpack:"t"` // Of this block alone.
}

// WorkspaceUse is the recent token usage of a workspace's requests at one entry.
type WorkspaceUse struct {
	Workspace WorkspaceID `msgpack:"w,intern"`
	Asked     uint32      `msgpack:"a"` // Tokens requested in the last accounting window.
	Admitted  uint32      `msgpack:"s"` // Tokens of Asked that were dispatched to an upstream.
}

// PlacementReport tells another entry which load the sender has placed on each
// upstream. It replaces the sender's earlier report, except for Parts, which are
// cumulative.
type PlacementReport struct {
	Seq   uint64         `msgpack:"q"`
	Loads []UpstreamLoad `msgpack:"l"`
	Parts []CachedPart   `msgpack:"p,omitempty"`
	Uses  []WorkspaceUse `msgpack:"u,omitempty"`
}
