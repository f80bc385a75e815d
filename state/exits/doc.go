// Package exits holds the announced exits of upstreams as deterministic replicated state: the
// incarnations that have said that they leave or are gone, so that a late announcement doesn't
// bring one back after all processes have restarted. Control instances apply the commands before
// they acknowledge an exit, and pass what is kept to the roster.
package exits
