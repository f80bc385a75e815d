package cleat

// StreamGroup lists streams that began at one software version of a service.
type StreamGroup struct {
	Service ServiceName `msgpack:"s"`
	Version string      `msgpack:"v"` // Empty when it is not known any more.
	Streams []uint64    `msgpack:"i"` // Hashes of the ids of the requests that received the first events.
	Seconds []uint32    `msgpack:"t"` // For each stream, the seconds for which to keep it.
}

// StreamReport tells another entry where streams began, so that it continues them
// only there.
type StreamReport struct {
	Groups  []StreamGroup `msgpack:"g"`
	Unknown []uint64      `msgpack:"u,omitempty"` // Streams of a StreamQuery that the sender doesn't know.
}

// StreamQuery asks another entry where streams began; the answer is a StreamReport.
type StreamQuery struct {
	Streams []uint64 `msgpack:"i"` // As in StreamGroup.
}
