// Package agent implements the agent role, a daemon beside one or more upstreams.
// It receives their announcements, load reports and cache events over HTTP, grants
// their slots to entries, runs dispatched requests, and buffers each answer until
// its entry has acknowledged it. cmd/agent runs it; cmd/solo and cmd/gauge embed it.
//
// Goroutines: one for each running request (bounded by the slots table), the
// readers of the links, the HTTP handlers, the client of the control instances and
// one ticker. They share the tables of Agent under Agent.mu.
//
// Lock order: Agent.mu, Agent.sendMu, run.mu, a link's own lock. Messages decided
// by the slots table are sent under Agent.sendMu, which is locked before Agent.mu
// is released, so that they are sent in the order in which they were decided.
// run.mu is held while the parts of an answer are queued on a link, which keeps them
// in order and never blocks. orderGate.mu is locked on its own, and held while an
// order is carried out.
package agent
