// Package order decides which upstreams load what: placement that follows the
// demand for each model, orders with rising fencing numbers, and the gate at
// the agent that refuses lower ones.
package order
