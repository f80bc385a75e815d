// Package proxy is an entry that forwards callers' requests directly to upstreams,
// according to the routes of a manifest, without agents; cmd/hosted runs it. Package
// place decides which requests are sent, wait or are refused, from the requests this
// entry has sent and the reports of the other entries.
//
// Lock order: Role.mu guards the planner, the roster and the waiting callers; a
// pool's mutex is taken after it or alone; no network I/O blocks under either.
package proxy
