// Package budget bounds how often upstreams are sent a request again: in any
// window, repeats for a service stay below a ratio of the requests for it plus a
// slack, over the whole fleet. Entries that can't hear each other must keep the
// bound too, so each entry counts its own requests and has a part of the slack.
// The package does no I/O and is not safe for concurrent use.
package budget
