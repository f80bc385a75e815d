package cleat

// Peer identifies the process at the other end of a link.
type Peer struct {
	Instance    InstanceID  `msgpack:"n"`
	Incarnation Incarnation `msgpack:"i"`
	Role        Role        `msgpack:"r"`
	Domain      DomainID    `msgpack:"d"`
	Address     string      `msgpack:"a"` // Where it accepts links, as host:port; empty if it accepts none.
}

// Link is an ordered connection to one peer; it may go down at any time.
type Link interface {
	// Peer returns the process at the other end.
	Peer() Peer
	// Send queues m; it fails when the link is down or its queue is full.
	Send(m Message) error
	// Close closes the link.
	Close() error
}

// LinkHandler receives the events of links; calls for one link are serialized.
type LinkHandler interface {
	// LinkUp is called when a link is established.
	LinkUp(l Link)
	// LinkMessage is called for each message received.
	LinkMessage(l Link, m Message)
	// LinkDown is called when a link is closed or lost; err is the cause.
	LinkDown(l Link, err error)
}
