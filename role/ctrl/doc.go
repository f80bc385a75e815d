// Package ctrl is the control role: it holds the replicated settings and
// claims, knows the members, relays the service ledger, issues orders and
// serves nodes and operators. Any control instance does all of this; what needs
// agreement goes through the replicated log.
//
// Lock order: Role.mu, then Machine.mu. The replicated log calls the machine
// under its own lock, so nothing calls the log while holding Machine.mu, and
// nothing waits for the log while holding Role.mu. Messages are queued under
// Role.mu, so that a node sees revisions in order.
package ctrl
