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
// Lock order: Entry.mu, Entry.sending, call.mu; links.mu and calls.mu are
// leaves, held for one access each. Entry.mu is released once Entry.sending is
// held, so that effects are carried out without it, and still in the order in
// which they were decided: an agent drops offers that later ones overtook.
package entry
