// Package slots makes an agent's scheduling decisions: which upstreams accept
// work and how much, which workspace gets a free slot among the offers of all
// entries, which grants are live, and what workspaces are charged for attempts.
//
// A Table is not safe for concurrent use; the agent role guards it with one
// lock and carries out the returned effects after releasing it.
package slots
