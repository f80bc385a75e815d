// Package upconn provides connections to upstreams. They check the heads of answers more
// strictly than net/http does, and report how they ended also when an answer arrives while
// its request is still being written.
//
// Lock order: a read takes Conn.headMu and releases it before it takes Conn.mu.
package upconn
