// Package agent is the agent role: it stands beside upstreams, takes their
// announcements over HTTP, lends their slots to entries, runs dispatched
// requests and keeps each answer until its entry has it.
//
// Workers: one goroutine for each running request (the slots table bounds
// them), the readers of the links, the HTTP handlers and one ticker. They share
// the tables of Agent under Agent.mu.
//
// Lock order: Agent.mu, Agent.sending, run.mu, a link's own lock. Effects of the
// slots table are carried out under Agent.sending, which is taken before Agent.mu
// is released, so that they leave in the order decided. run.mu is held while
// parts are queued on a link, which never blocks, so that parts of one answer
// leave in order. orderGate.mu is taken alone, and held while an order runs.
package agent
