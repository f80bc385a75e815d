package cleat

// UpstreamLoad is what one entry has running at an upstream.
type UpstreamLoad struct {
	Upstream UpstreamID `msgpack:"u,intern"`
	Prefill  uint32     `msgpack:"p"` // Prompt tokens to read for requests without a first event.
	Running  uint32     `msgpack:"r"` // Requests.
	Memory   uint32     `msgpack:"m"` // Tokens that its requests hold or will hold.
	Read     uint32     `msgpack:"d"` // Prompt tokens sent to be read lately.
	Pace     uint32     `msgpack:"s"` // Tokens/s that the most urgent of its streams needs to end in time.
}

// CachedPart says that an upstream has read a part of prompts.
type CachedPart struct {
	Upstream UpstreamID `msgpack:"u,intern"`
	Part     uint64     `msgpack:"p"` // Digest of the part and all parts before it.
	Tokens   uint32     `msgpack:"t"` // Of the part alone.
}

// WorkspaceUse is what a workspace's requests at one entry asked for lately.
type WorkspaceUse struct {
	Workspace WorkspaceID `msgpack:"w,intern"`
	Asked     uint32      `msgpack:"a"` // Tokens in the last accounting window.
	Admitted  uint32      `msgpack:"s"` // Of these, sent to an upstream.
}

// PlacementReport tells another entry what this one has sent where. It replaces
// the sender's earlier one, but for Parts, which it adds to.
type PlacementReport struct {
	Seq   uint64         `msgpack:"q"`
	Loads []UpstreamLoad `msgpack:"l"`
	Parts []CachedPart   `msgpack:"p,omitempty"`
	Uses  []WorkspaceUse `msgpack:"u,omitempty"`
}
