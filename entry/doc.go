// Package entry implements the entry role: it takes callers' HTTP requests,
// holds them while they wait, dispatches them to agents over links, and passes
// the answers back, each request answered once.
//
// The deciding code is package queue; everything here does I/O around it.
// These workers share the tables:
//
//   - one goroutine of the HTTP server for each caller, which submits the
//     request and then writes its answer;
//   - one reader goroutine for each link, which feeds messages of agents in;
//   - one ticker;
//   - a fixed pool of workers that sends long request bodies.
//
// Lock order: Entry.mu before call.mu; links.mu and calls.mu are leaves, taken
// with none of the others wanted. The table's effects are carried out after
// Entry.mu is released, so two workers may send in another order than they
// decided; the messages tolerate that (offers carry a sequence number, and an
// agent refuses a dispatch that its cancellation overtook).
package entry
