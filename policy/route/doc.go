// Package route ranks the agents that a stream of requests is offered to: by
// free slots seen, by what a cached prefix saves and no more, by failure domain
// and by the health of their upstreams.
package route
