package wire_test

import (
	"errors"
	"io"
	"sync"
	"testing"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
)

func TestWire(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wire")
}

var errNoLink = errors.New("no link yet")

// recorder is a handler that records its calls. If blockMessages is set, each
// LinkMessage call blocks until it receives a value from that channel or the channel is closed.
type recorder struct {
	mu            sync.Mutex
	link          cleat.Link
	upCount       int
	messages      []cleat.Message
	downErrors    []error
	blockMessages chan struct{}
}

func (r *recorder) LinkUp(l cleat.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.link = l
	r.upCount++
}

func (r *recorder) LinkMessage(_ cleat.Link, m cleat.Message) {
	if r.blockMessages != nil {
		<-r.blockMessages
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, m)
}

func (r *recorder) LinkDown(_ cleat.Link, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.downErrors = append(r.downErrors, err)
}

func (r *recorder) UpCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.upCount
}

func (r *recorder) DownCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.downErrors)
}

func (r *recorder) Messages() []cleat.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]cleat.Message(nil), r.messages...)
}

func (r *recorder) Send(m cleat.Message) error {
	r.mu.Lock()
	l := r.link
	r.mu.Unlock()
	if l == nil {
		return errNoLink
	}
	return l.Send(m)
}

func (r *recorder) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link != nil {
		_ = r.link.Close()
	}
}

func discardLogger() *log.Logger { return log.New(io.Discard) }

func testConfig() wire.Config {
	return wire.Config{Key: []byte("0123456789abcdef")}
}

func entryPeer() cleat.Peer {
	return cleat.Peer{Instance: "entry1", Incarnation: 7, Role: cleat.RoleEntry, Domain: "d1"}
}

func agentPeer() cleat.Peer {
	return cleat.Peer{Instance: "agent1", Incarnation: 9, Role: cleat.RoleAgent, Domain: "d2", Address: "127.0.0.1:1"}
}

func listen(cfg wire.Config, h cleat.LinkHandler) *wire.Server {
	s, err := wire.Listen(cfg, "127.0.0.1:0", agentPeer, h, discardLogger())
	Expect(err).NotTo(HaveOccurred())
	go func() {
		defer GinkgoRecover()
		Expect(s.Serve()).To(Succeed())
	}()
	DeferCleanup(s.Shutdown)
	return s
}

func dial(cfg wire.Config, self func() cleat.Peer, addr string, h cleat.LinkHandler) *wire.Dialer {
	d := wire.NewDialer(cfg, self, h, discardLogger())
	DeferCleanup(d.Close)
	d.AddAddress(addr)
	return d
}
