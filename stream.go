package cleat

import "time"

// StreamGroup lists streams that began at one software version of a service.
type StreamGroup struct {
	Service ServiceName `msgpack:"s"`
	Version string      `msgpack:"v"` // Empty when it is not known any more.
	Streams []uint64    `msgpack:"i"` // Hashes of the ids of the requests that received the first events.
	Seconds []uint32    `msgpack:"t"` // For each stream, the seconds for which to keep it.

	// Sent to and between control instances, which go on checking restarts of upstreams
	// for entries that have failed. Empty, or as long as Streams.
	Upstreams []uint64 `msgpack:"u,omitempty"` // Hashes of the upstreams that began the streams; zero when not known.
	Ages      []uint32 `msgpack:"a,omitempty"` // Milliseconds since the requests were sent to them.
}

// StreamReport tells other entries and the control instances where streams began, so
// that they are continued only there.
type StreamReport struct {
	Groups   []StreamGroup `msgpack:"g"`
	Unknown  []uint64      `msgpack:"u,omitempty"` // Streams of a StreamQuery that the sender doesn't know.
	KnownFor time.Duration `msgpack:"k,omitempty"` // In a control instance's answer: for how long it has been told of all streams.
}

// StreamQuery asks another entry or a control instance where streams began; the answer
// is a StreamReport.
type StreamQuery struct {
	Streams []uint64 `msgpack:"i"` // As in StreamGroup.
}
