// Package roster keeps what upstreams last said of themselves.
//
// Announcements arrive late, out of order and more than once, and an address
// may pass to another upstream. A later life wins over an earlier one, and
// within a life the higher sequence; of an address, only the upstream that was
// born last counts. The table is not safe for concurrent use.
package roster
