// Package place decides, for one entry, which upstream a request goes to, which
// waits, in which order, and which is refused.
//
// The load pattern it answers: more prompts arrive than the engines can read,
// for seconds or for as long as a few workspaces flood the fleet, while other
// entries send to the same engines. Engines admit in order of arrival and know
// no priorities, so an engine's backlog of unread prompt tokens is kept below
// what a request's latency objective bears; all else waits here, by workspace,
// or is refused as soon as it can no longer be served.
//
// Planner does no I/O and is not safe for concurrent use; now is an argument of
// all that decides.
package place
