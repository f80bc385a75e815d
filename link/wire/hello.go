package wire

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"marigoldcleat.example/cleat"
)

const (
	maxHelloBytes = 4 << 10
	nonceBytes    = 32
)

// The sides of a hello. Each proof covers its side, so that a peer can't reflect a
// proof back to its sender.
const (
	dialerSide   = "dial"
	accepterSide = "accept"
)

// handshake exchanges the hellos of one new connection.
type handshake struct {
	cfg  Config
	conn net.Conn
	r    *frameReader
	self cleat.Hello
	peer cleat.Hello
}

func newHandshake(cfg Config, conn net.Conn, self cleat.Peer) (*handshake, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, trace.Wrap(err, "newHandshake")
	}
	return &handshake{
		cfg:  cfg,
		conn: conn,
		r:    newFrameReader(conn),
		self: cleat.Hello{Version: Version, Fleet: cfg.Fleet, Peer: self, Nonce: nonce},
	}, nil
}

// runDialer runs the connecting side: it sends a hello, receives the peer's hello with
// proof, and sends its own hello with proof.
func (h *handshake) runDialer() error {
	if err := h.setDeadline(); err != nil {
		return err
	}
	if err := h.sendHello(); err != nil {
		return err
	}
	if err := h.receiveHello(); err != nil {
		return err
	}
	if err := h.verifyProof(accepterSide, h.self.Nonce); err != nil {
		return err
	}
	if err := h.sendProof(dialerSide); err != nil {
		return err
	}
	return h.clearDeadline()
}

// runAccepter runs the accepting side: it receives a hello, sends its own with proof,
// and receives the peer's hello with proof.
func (h *handshake) runAccepter() error {
	if err := h.setDeadline(); err != nil {
		return err
	}
	if err := h.receiveHello(); err != nil {
		return err
	}
	first := h.peer
	if err := h.sendProof(accepterSide); err != nil {
		return err
	}
	if err := h.receiveHello(); err != nil {
		return err
	}
	if h.peer.Peer != first.Peer || string(h.peer.Nonce) != string(first.Nonce) {
		return trace.AccessDenied("handshake.runAccepter: the peer's second hello has a different identity or nonce")
	}
	if err := h.verifyProof(dialerSide, h.self.Nonce); err != nil {
		return err
	}
	return h.clearDeadline()
}

func (h *handshake) setDeadline() error {
	return h.conn.SetDeadline(time.Now().Add(h.cfg.DialTimeout))
}

func (h *handshake) clearDeadline() error {
	return h.conn.SetDeadline(time.Time{})
}

func (h *handshake) sendHello() error {
	w := newFrameWriter()
	if _, err := w.appendFrame(&h.self, maxHelloBytes); err != nil {
		return err
	}
	_, err := h.conn.Write(w.buf)
	return err
}

func (h *handshake) receiveHello() error {
	m, _, err := h.r.readFrame(maxHelloBytes)
	if err != nil {
		return err
	}
	hello, ok := m.(*cleat.Hello)
	if !ok {
		return trace.BadParameter("handshake.receiveHello: the peer sent another message instead of a hello")
	}
	h.peer = *hello
	return h.validateHello()
}

func (h *handshake) validateHello() error {
	if h.peer.Version != Version {
		return trace.BadParameter("handshake.validateHello: the peer uses protocol version %d, this side %d", h.peer.Version, Version)
	}
	if h.peer.Fleet != h.cfg.Fleet {
		return trace.BadParameter("handshake.validateHello: the peer belongs to fleet %q, this side to %q", h.peer.Fleet, h.cfg.Fleet)
	}
	if h.peer.Peer.Instance == "" {
		return trace.BadParameter("handshake.validateHello: the peer sent no instance name")
	}
	if h.peer.Peer.Instance == h.self.Peer.Instance {
		return trace.BadParameter("handshake.validateHello: the peer has the same instance name %q as this side", h.self.Peer.Instance)
	}
	if len(h.peer.Nonce) != nonceBytes {
		return trace.BadParameter("handshake.validateHello: the peer's nonce has %d bytes", len(h.peer.Nonce))
	}
	return nil
}

func (h *handshake) sendProof(side string) error {
	h.self.Proof = computeProof(h.cfg.Key, side, h.peer.Nonce, &h.self)
	return h.sendHello()
}

func (h *handshake) verifyProof(side string, nonce []byte) error {
	if !hmac.Equal(h.peer.Proof, computeProof(h.cfg.Key, side, nonce, &h.peer)) {
		return trace.AccessDenied("handshake.verifyProof: %s does not have the fleet key", h.peer.Peer.Instance)
	}
	return nil
}

// computeProof returns an HMAC, keyed by the fleet key, over the prover's side and
// hello and the other side's nonce.
func computeProof(key []byte, side string, nonce []byte, prover *cleat.Hello) []byte {
	signed := *prover
	signed.Proof = nil
	mac := hmac.New(sha256.New, key)
	enc := msgpack.NewEncoder(mac)
	enc.UseCompactInts(true)
	// Encoding into a hash can't fail.
	_ = enc.EncodeString(side)
	_ = enc.EncodeBytes(nonce)
	_ = enc.Encode(&signed)
	return mac.Sum(nil)
}
