package wire

import (
	"net"

	"marigoldcleat.example/cleat"
)

// Pipe links two handlers in memory, without a hello; a and b are the peers
// behind ha and hb. Closing either end closes both.
func Pipe(a, b cleat.Peer, ha, hb cleat.LinkHandler) (atA, atB *Conn) {
	return PipeConfig(Config{Key: make([]byte, minKeyBytes)}, a, b, ha, hb)
}

// PipeConfig is like Pipe, with the limits and timeouts of cfg.
func PipeConfig(cfg Config, a, b cleat.Peer, ha, hb cleat.LinkHandler) (atA, atB *Conn) {
	cfg.Defaults()
	ca, cb := net.Pipe()
	atA = newConn(cfg, ca, newFrameReader(ca), b, ha)
	atB = newConn(cfg, cb, newFrameReader(cb), a, hb)
	go func() { _ = atA.run() }()
	go func() { _ = atB.run() }()
	return atA, atB
}
