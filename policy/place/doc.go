// Package place decides, for one entry, which upstream a request is sent to,
// which requests wait and in which order, and which are refused and with what
// Retry-After. The entry's proxy calls it for each request.
//
// It is designed for overload: more prompts arrive than the engines can prefill, for
// seconds or for as long as a few workspaces flood the fleet, while other entries
// send to the same engines. Engines admit in order of arrival and have no
// priorities, so an engine's backlog of prefill tokens is kept below what a
// request's latency objective allows; all other requests wait here, by workspace,
// or are refused as soon as they can no longer be served.
//
// Planner does no I/O and is not safe for concurrent use; methods that depend on
// the time take it as an argument.
package place
