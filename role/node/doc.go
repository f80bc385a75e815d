// Package node is the client through which entries and agents talk to the control
// instances. It registers the node and sends heartbeats, keeps the settings in force
// and the members up to date, makes claims, reports service and receives orders. It
// keeps a link to every control instance and uses one of them, the primary, until
// that link breaks or the instance loses its quorum.
//
// Lock order: Client.callbackMu, then Client.mu. Callbacks run with only callbackMu
// held, so they see changes in order. They may call the client, except for Run and
// the LinkHandler methods, which lock callbackMu themselves. Orders run in goroutines
// of their own, without either lock.
package node
