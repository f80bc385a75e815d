// Package proxy is an entry that forwards requests straight to upstreams, by
// the routes of a manifest. It has no agents: package place decides what waits,
// goes or is refused, from what this entry sent and from what the other entries
// report of theirs.
//
// Lock order: Role.mu guards the planner, the roster and the waiting callers; a
// pool's mutex is taken after it or alone; nothing waits for the network under either.
package proxy
