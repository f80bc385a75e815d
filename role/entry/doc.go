// Package entry implements the entry role: it accepts callers' HTTP requests,
// holds them while they wait, dispatches them to agents over links, and writes
// the answers back, each request answered once. The commands entry and solo run
// a Daemon; gauge runs an Entry without a Daemon.
//
// Scheduling decisions are made by a queue.Table, called the table in comments;
// this package does the I/O.
// These goroutines share the state of an Entry:
//
//   - one of the HTTP server for each connection, which submits a request and then
//     writes its answer, one request at a time;
//   - one reader for each link, which handles the agent's messages;
//   - one ticker, which updates the queue;
//   - a fixed pool of workers that send long request bodies.
//
// Lock order: Entry.mu, Entry.effectsMu, call.mu; agentLinks.mu and calls.mu are
// leaves, held for one access each. Entry.mu is released once Entry.effectsMu is
// held, so that effects are executed without Entry.mu but still in the order of
// the decisions, because an agent drops an offer that arrives after a newer one.
package entry
