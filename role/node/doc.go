// Package node is a node's client to the control instances: it registers and
// sends heartbeats, keeps the settings in force and the members known, makes
// claims, reports service and receives orders. It keeps a link to every control
// instance and uses one of them until that one breaks or loses its quorum.
//
// Lock order: Client.deliver, then Client.mu. Callbacks run under deliver
// alone, so they see changes in order and may call the client back, except for
// what calls callbacks itself.
package node
