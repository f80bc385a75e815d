package node_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
	"marigoldcleat.example/cleat/role/node"
	"marigoldcleat.example/cleat/stand/assert"
)

func TestNode(t *testing.T) {
	RegisterFailHandler(Fail)
	assert.SetHook(func(name, msg string) { panic(name + ": " + msg) })
	RunSpecs(t, "node")
}

const eventuallyTimeout = 20 * time.Second

// fakeControl is a control instance that answers as the test defines and records
// what it receives.
type fakeControl struct {
	server *wire.Server
	answer func(l cleat.Link, m cleat.Message)

	mu       sync.Mutex
	link     cleat.Link
	received []cleat.Message
}

func wireConfig() wire.Config {
	return wire.Config{Key: []byte("a key of sixteen bytes or more")}
}

func discardLogger() *log.Logger { return log.New(io.Discard) }

func newFakeControl(id string, answer func(l cleat.Link, m cleat.Message)) *fakeControl {
	c := &fakeControl{answer: answer}
	peer := cleat.Peer{Instance: cleat.InstanceID(id), Incarnation: 1, Role: cleat.RoleControl}
	var err error
	c.server, err = wire.Listen(wireConfig(), "127.0.0.1:0", func() cleat.Peer { return peer }, c, discardLogger())
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = c.server.Serve() }()
	DeferCleanup(func() { Expect(c.server.Shutdown(context.Background())).To(Succeed()) })
	return c
}

func (c *fakeControl) LinkUp(l cleat.Link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.link = l
}

func (c *fakeControl) LinkDown(cleat.Link, error) {}

func (c *fakeControl) LinkMessage(l cleat.Link, m cleat.Message) {
	c.mu.Lock()
	c.received = append(c.received, m)
	c.mu.Unlock()
	if c.answer != nil {
		c.answer(l, m)
	}
}

func (c *fakeControl) send(m cleat.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	Expect(c.link.Send(m)).To(Succeed())
}

// count returns the number of received messages that match.
func (c *fakeControl) count(match func(cleat.Message) bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, m := range c.received {
		if match(m) {
			n++
		}
	}
	return n
}

func isRegister(m cleat.Message) bool { return m.Kind() == cleat.KindRegister }

func isNotRun(m cleat.Message) bool {
	o, ok := m.(*cleat.ClaimOutcome)
	return ok && o.Outcome == cleat.OutcomeNotRun
}

// confirmReads answers settings reads with empty, confirmed settings at a revision.
func confirmReads(rev cleat.Revision) func(l cleat.Link, m cleat.Message) {
	return func(l cleat.Link, m cleat.Message) {
		if m.Kind() == cleat.KindSettingsRead {
			_ = l.Send(&cleat.Settings{To: rev, Complete: true, Confirmed: true})
		}
	}
}

func startNode(configure func(*node.Client), controls ...*fakeControl) *node.Client {
	cfg := node.Config{Heartbeat: 50 * time.Millisecond, ConfirmTimeout: 500 * time.Millisecond, RetryInterval: 50 * time.Millisecond}
	for _, c := range controls {
		cfg.Controls = append(cfg.Controls, c.server.Addr())
	}
	peer := cleat.Peer{Instance: "n", Incarnation: 1, Role: cleat.RoleAgent}
	n := node.New(cfg, wireConfig(), func() cleat.Peer { return peer }, cleat.SystemClock{}, discardLogger())
	if configure != nil {
		configure(n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	go func() { runErr <- n.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Eventually(runErr, eventuallyTimeout).Should(Receive())
	})
	return n
}

var _ = Describe("Client", func() {
	It("has no settings before a confirmed read, and never returns to an older revision", func() {
		c := newFakeControl("c", func(l cleat.Link, m cleat.Message) {
			if m.Kind() == cleat.KindSettingsRead {
				_ = l.Send(&cleat.Settings{To: 9, Complete: true})
			}
		})
		n := startNode(nil, c)
		Eventually(func() int { return c.count(isRegister) }, eventuallyTimeout).Should(BeNumerically(">", 2))
		_, ok := n.Fleet()
		Expect(ok).To(BeFalse())
		c.send(&cleat.Settings{To: 9, Complete: true, Confirmed: true})
		Eventually(func() bool { _, ok := n.Fleet(); return ok }, eventuallyTimeout).Should(BeTrue())
		c.send(&cleat.Settings{To: 8, Complete: true, Confirmed: true})
		c.send(&cleat.Settings{From: 9, To: 10})
		revision := func() cleat.Revision { f, _ := n.Fleet(); return f.Revision() }
		Eventually(revision, eventuallyTimeout).Should(Equal(cleat.Revision(10)))
	})

	It("keeps the previous settings and reports their revision when new ones can't be decoded", func() {
		c := newFakeControl("c", confirmReads(1))
		n := startNode(nil, c)
		Eventually(func() bool { _, ok := n.Fleet(); return ok }, eventuallyTimeout).Should(BeTrue())
		c.send(&cleat.Settings{From: 1, To: 2, Written: []cleat.Setting{{Path: "/fleet/limits", Value: []byte(`{"max_waiting":-1}`)}}})
		before := c.count(isRegister)
		Eventually(func() int { return c.count(isRegister) }, eventuallyTimeout).Should(BeNumerically(">", before+3))
		f, _ := n.Fleet()
		Expect(f.Revision()).To(Equal(cleat.Revision(1)))
		Expect(c.count(func(m cleat.Message) bool {
			r, ok := m.(*cleat.Register)
			return ok && r.Revision == 2
		})).To(BeZero())
	})

	It("switches from a control instance without a quorum to one with a quorum", func() {
		withoutQuorum := newFakeControl("a", nil)
		withQuorum := newFakeControl("b", nil)
		withQuorum.answer = confirmReads(3)
		n := startNode(nil, withoutQuorum, withQuorum)
		Eventually(func() bool { _, ok := n.Fleet(); return ok }, eventuallyTimeout).Should(BeTrue())
		Eventually(func() int { return withQuorum.count(isRegister) }, eventuallyTimeout).Should(BeNumerically(">", 0))
	})

	It("releases a claim whose outcome is unknown at the deadline", func() {
		c := newFakeControl("c", func(l cleat.Link, m cleat.Message) {
			if m, ok := m.(*cleat.Claim); ok {
				_ = l.Send(&cleat.ClaimResult{Call: m.Call, State: cleat.ClaimNoQuorum})
			}
		})
		n := startNode(nil, c)
		Eventually(func() int { return c.count(isRegister) }, eventuallyTimeout).Should(BeNumerically(">", 0))
		r := n.Claim(cleat.Claim{Workspace: "w/w", Key: "k", Request: "r"}, time.Now().Add(200*time.Millisecond))
		Expect(r.State).To(Equal(cleat.ClaimNoQuorum))
		Eventually(func() int { return c.count(isNotRun) }, eventuallyTimeout).Should(BeNumerically(">", 1))
	})

	It("resends a claim to the next control instance when one does not answer", func() {
		grant := func(l cleat.Link, m cleat.Message) {
			if m, ok := m.(*cleat.Claim); ok {
				_ = l.Send(&cleat.ClaimResult{Call: m.Call, State: cleat.ClaimGranted})
			}
		}
		a, b := newFakeControl("a", nil), newFakeControl("b", grant)
		n := startNode(nil, a, b)
		Eventually(func() int { return a.count(isRegister) + b.count(isRegister) }, eventuallyTimeout).Should(BeNumerically(">", 0))
		r := n.Claim(cleat.Claim{Workspace: "w/w", Key: "k", Request: "r"}, time.Now().Add(eventuallyTimeout))
		Expect(r.State).To(Equal(cleat.ClaimGranted))
	})

	It("runs an order once and none with a lower fence", func() {
		c := newFakeControl("c", nil)
		var mu sync.Mutex
		var ran []cleat.Fence
		startNode(func(n *node.Client) {
			n.OnOrder(func(o cleat.Order) cleat.OrderResult {
				mu.Lock()
				defer mu.Unlock()
				ran = append(ran, o.Fence)
				return cleat.OrderResult{Done: true}
			})
		}, c)
		Eventually(func() int { return c.count(isRegister) }, eventuallyTimeout).Should(BeNumerically(">", 0))
		results := func() int {
			return c.count(func(m cleat.Message) bool { return m.Kind() == cleat.KindOrderResult })
		}
		newer := &cleat.Order{ID: 7, Fence: 7, Upstream: "u"}
		c.send(newer)
		Eventually(results, eventuallyTimeout).Should(Equal(1))
		c.send(newer)
		c.send(&cleat.Order{ID: 6, Fence: 6, Upstream: "u"})
		Eventually(results, eventuallyTimeout).Should(Equal(3))
		mu.Lock()
		defer mu.Unlock()
		Expect(ran).To(Equal([]cleat.Fence{7}))
	})
})
