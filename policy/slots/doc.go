// Package slots decides at an agent: which upstreams take work and how much,
// which workspace gets a free slot over the offers of all entries, which grants
// are live, and what is charged for what runs.
//
// A Table is not safe for concurrent use; the role holds one lock over it and
// carries out the effects after releasing it.
package slots
