package cleat

// Peer identifies the process at the other end of a link.
type Peer struct {
	Instance    InstanceID  `msgpack:"n"`
	Incarnation Incarnation `msgpack:"i"`
	Role        Role        `msgpack:"r"`
	Domain      DomainID    `msgpack:"d"`
	Address     string      `msgpack:"a"` // Where it accepts links, as host:port; empty if nowhere.
}

// Link is an ordered connection to one peer that may break at any time.
type Link interface {
	// Peer returns who is at the other end.
	Peer() Peer
	// Send queues m; it fails when the link is down or its queue is full.
	Send(m Message) error
	// Close breaks the link.
	Close() error
}

// LinkHandler receives what happens on links; calls for one link are serial.
type LinkHandler interface {
	LinkUp(l Link)
	LinkMessage(l Link, m Message)
	LinkDown(l Link, err error)
}
