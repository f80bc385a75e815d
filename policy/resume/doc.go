// Package resume remembers at which software version of its service each stream
// began, so that an entry continues it only there.
//
// Upstreams of several versions serve side by side, and what two versions write
// doesn't fit together. Upstreams don't check this, and the entry that is asked to
// continue a stream is seldom the one that began it. Entries therefore tell each
// other of the streams that they began, and ask each other for one that they don't
// know: after a restart, or before the report of another entry arrived. What no
// entry knows is unknown; that only one version serves now says nothing about it.
//
// The package does no I/O and is not safe for concurrent use.
package resume
