// Package route ranks the agents that an entry may offer a stream of requests to, by free
// slots, cached prefixes, failure domain and the health of their upstreams. A cached prefix
// counts for no more than the cost that it saves. In a large fleet it also selects the
// agents that an entry links to.
package route
