// Package ctrl implements the control role. It holds the replicated settings and
// claims, tracks the fleet's members, relays the service ledger, issues orders to
// agents, and serves nodes over links and operators over HTTP. Every control instance
// does this, except that only the leader of the replicated log issues orders, puts the
// claims of lost entries in doubt and changes the log's members. State that needs
// agreement goes through that log. The programs in cmd open a Role and run it.
//
// Lock order: Role.mu, then Machine.mu. The replicated log calls the machine
// under its own lock, so no code may call the log while holding Machine.mu or wait
// for the log while holding Role.mu. Messages are queued under Role.mu, so that a
// node receives revisions in order.
package ctrl
