package cleat

import "time"

// CrashFailure is a request that an upstream had not begun to answer when it ended.
type CrashFailure struct {
	Service         ServiceName   `msgpack:"s"`
	Upstream        UpstreamID    `msgpack:"u"`
	StartedAtMillis int64         `msgpack:"b"` // As in UpstreamRecord.
	Request         uint64        `msgpack:"r"` // Hash of the request's id.
	Blocks          []uint64      `msgpack:"p"` // IDs of its prompt's shared blocks, without those that were served since.
	Age             time.Duration `msgpack:"a"`
}

// ServedBlock is a prompt block that was suspected of crashing upstreams and was part
// of an answer.
type ServedBlock struct {
	Service ServiceName `msgpack:"s"`
	Block   uint64      `msgpack:"p"`
}

// QuarantinedBlock is a prompt block that crashes upstreams; requests with it are refused.
type QuarantinedBlock struct {
	Service   ServiceName   `msgpack:"s"`
	Block     uint64        `msgpack:"p"`
	With      []uint64      `msgpack:"w"` // Blocks that all requests had which failed with it.
	Crashes   int           `msgpack:"c"` // Upstreams that ended.
	Requests  int           `msgpack:"r"` // Requests that failed when they did.
	Upstreams []UpstreamID  `msgpack:"u"`
	FirstAge  time.Duration `msgpack:"f"` // Since the first and the last of these crashes.
	LastAge   time.Duration `msgpack:"l"`
	SeenAge   time.Duration `msgpack:"t"` // Since a request with the block last came.
}

// RequestCrash is a request that an upstream had not answered when it ended, known by
// a digest that equal requests share.
type RequestCrash struct {
	Digest          uint64        `msgpack:"d"`
	Upstream        UpstreamID    `msgpack:"u"`
	StartedAtMillis int64         `msgpack:"b"` // As in UpstreamRecord.
	Age             time.Duration `msgpack:"a"` // Since the upstream ended.
	RanFor          time.Duration `msgpack:"n"` // From the sending of the request to that end.
}

// ServedRequest is a request that was suspected of crashing upstreams and was answered.
type ServedRequest struct {
	Digest uint64        `msgpack:"d"`
	Age    time.Duration `msgpack:"a"` // Since the answer.
}

// CrashReport tells another entry which prompt blocks and requests may crash upstreams.
type CrashReport struct {
	Failures    []CrashFailure     `msgpack:"f"`
	Served      []ServedBlock      `msgpack:"s"`
	Quarantined []QuarantinedBlock `msgpack:"q"`

	Requests       []RequestCrash  `msgpack:"c,omitempty"`
	ServedRequests []ServedRequest `msgpack:"d,omitempty"`
}

// IsEmpty reports whether the report tells nothing.
func (m *CrashReport) IsEmpty() bool {
	return len(m.Failures) == 0 && len(m.Served) == 0 && len(m.Quarantined) == 0 && len(m.Requests) == 0 && len(m.ServedRequests) == 0
}
