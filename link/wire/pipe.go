package wire

import (
	"net"

	"marigoldcleat.example/cleat"
)

// Pipe links peer a, whose handler is ha, to peer b, whose handler is hb, in memory and
// without a hello. It returns the end of each; closing either closes both.
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
