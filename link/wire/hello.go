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

// The sides of a hello, part of what is proved so that a proof can't be reflected.
const (
	sideDial   = "dial"
	sideAccept = "accept"
)

// handshake runs one hello on a fresh connection.
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

// dial plays the connecting side: hello, the other's hello with proof, own proof.
func (h *handshake) dial() error {
	if err := h.arm(); err != nil {
		return err
	}
	if err := h.send(); err != nil {
		return err
	}
	if err := h.receive(); err != nil {
		return err
	}
	if err := h.verify(sideAccept, h.self.Nonce); err != nil {
		return err
	}
	if err := h.prove(sideDial); err != nil {
		return err
	}
	return h.disarm()
}

// accept plays the accepting side.
func (h *handshake) accept() error {
	if err := h.arm(); err != nil {
		return err
	}
	if err := h.receive(); err != nil {
		return err
	}
	first := h.peer
	if err := h.prove(sideAccept); err != nil {
		return err
	}
	if err := h.receive(); err != nil {
		return err
	}
	if h.peer.Peer != first.Peer || string(h.peer.Nonce) != string(first.Nonce) {
		return trace.AccessDenied("handshake.accept: the peer changed its identity")
	}
	if err := h.verify(sideDial, h.self.Nonce); err != nil {
		return err
	}
	return h.disarm()
}

func (h *handshake) arm() error {
	return h.conn.SetDeadline(time.Now().Add(h.cfg.DialTimeout))
}

func (h *handshake) disarm() error {
	return h.conn.SetDeadline(time.Time{})
}

func (h *handshake) send() error {
	w := newFrameWriter()
	if _, err := w.frame(&h.self, maxHelloBytes); err != nil {
		return err
	}
	_, err := h.conn.Write(w.buf)
	return err
}

func (h *handshake) receive() error {
	m, _, err := h.r.next(maxHelloBytes)
	if err != nil {
		return err
	}
	hello, ok := m.(*cleat.Hello)
	if !ok {
		return trace.BadParameter("handshake.receive: the peer did not open with a hello")
	}
	h.peer = *hello
	return h.check()
}

func (h *handshake) check() error {
	if h.peer.Version != Version {
		return trace.BadParameter("handshake.check: the peer speaks version %d, this side %d", h.peer.Version, Version)
	}
	if h.peer.Fleet != h.cfg.Fleet {
		return trace.BadParameter("handshake.check: the peer belongs to fleet %q, this side to %q", h.peer.Fleet, h.cfg.Fleet)
	}
	if h.peer.Peer.Instance == "" {
		return trace.BadParameter("handshake.check: the peer has no name")
	}
	if h.peer.Peer.Instance == h.self.Peer.Instance {
		return trace.BadParameter("handshake.check: the peer has this instance's own name %q", h.self.Peer.Instance)
	}
	if len(h.peer.Nonce) != nonceBytes {
		return trace.BadParameter("handshake.check: the peer's nonce has %d bytes", len(h.peer.Nonce))
	}
	return nil
}

func (h *handshake) prove(side string) error {
	h.self.Proof = proof(h.cfg.Key, side, h.peer.Nonce, &h.self)
	return h.send()
}

func (h *handshake) verify(side string, nonce []byte) error {
	if !hmac.Equal(h.peer.Proof, proof(h.cfg.Key, side, nonce, &h.peer)) {
		return trace.AccessDenied("handshake.verify: %s does not have the fleet key", h.peer.Peer.Instance)
	}
	return nil
}

// proof binds the prover's side, identity and nonce to the other side's nonce.
func proof(key []byte, side string, nonce []byte, prover *cleat.Hello) []byte {
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
