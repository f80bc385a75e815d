// Package wire implements cleat.Link over TCP. A link starts with an authenticated
// hello in both directions. Each frame has a four-byte length, a one-byte message
// kind and a msgpack body.
//
// Each link has a reader and a writer goroutine. Send encodes into the link's
// pending buffer under the link's own lock and never blocks; the writer swaps
// that buffer out and writes it in one call, so messages sent while a write is in
// progress are batched into the next one. Handlers are called by the reader, so a
// slow handler delays its own link only. No lock is held while a handler runs.
package wire
