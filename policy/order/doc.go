// Package order decides which upstreams load which models. The control leader
// calls it to place replicas by the demand for each model and to issue orders with
// rising fencing numbers; agents call it to refuse orders with lower ones.
package order
