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

// CrashReport tells another entry which prompt blocks may crash upstreams.
type CrashReport struct {
	Failures    []CrashFailure     `msgpack:"f"`
	Served      []ServedBlock      `msgpack:"s"`
	Quarantined []QuarantinedBlock `msgpack:"q"`
}
