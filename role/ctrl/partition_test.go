package ctrl_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/role/admin"
	"marigoldcleat.example/cleat/role/node"
)

// proxy forwards connections to a target. While cut it drops all bytes but keeps the
// connections open, so that neither end notices.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

func newProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &proxy{listener: l, target: target}
	go p.accept()
	DeferCleanup(func() {
		Expect(l.Close()).To(Succeed())
		p.setCut(false)
	})
	return p
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, conn, out)
		p.mu.Unlock()
		go p.forward(conn, out)
		go p.forward(out, conn)
	}
}

// forward copies bytes and silently drops them once the proxy is cut.
func (p *proxy) forward(from, to net.Conn) {
	defer to.Close()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		p.mu.Lock()
		cut := p.cut
		p.mu.Unlock()
		if cut {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

// setCut cuts or heals the proxy. Healing closes the existing connections.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if cut {
		return
	}
	for _, conn := range p.conns {
		_ = conn.Close()
	}
	p.conns = nil
}

// partitionedFleet is a fleet whose instances reach each other through proxies.
type partitionedFleet struct {
	*fleet
	proxies map[string]*proxy // By "from>to".
}

func newPartitionedFleet(ids ...string) *partitionedFleet {
	f := &partitionedFleet{fleet: &fleet{folder: GinkgoT().TempDir()}, proxies: make(map[string]*proxy)}
	var initial []cleat.InstanceID
	for _, id := range ids {
		initial = append(initial, cleat.InstanceID(id))
	}
	for _, id := range ids {
		i := newInstance(id, initial, f.folder, f.controlFileOf(id))
		i.start()
		f.instances = append(f.instances, i)
	}
	for _, from := range ids {
		var addrs []string
		for _, to := range f.instances {
			if string(to.cfg.ID) != from {
				p := newProxy(to.role.Addr())
				f.proxies[from+">"+string(to.cfg.ID)] = p
				addrs = append(addrs, p.listener.Addr().String())
			}
		}
		Expect(os.WriteFile(f.controlFileOf(from), []byte(strings.Join(addrs, "\n")+"\n"), 0o600)).To(Succeed())
	}
	Eventually(f.findToken, eventuallyTimeout).Should(BeTrue())
	return f
}

func (f *partitionedFleet) controlFileOf(id string) string {
	return filepath.Join(f.folder, "controls-"+id)
}

// isolate cuts or heals all proxies to and from an instance.
func (f *partitionedFleet) isolate(id string, cut bool) {
	for name, p := range f.proxies {
		if strings.HasPrefix(name, id+">") || strings.HasSuffix(name, ">"+id) {
			p.setCut(cut)
		}
	}
}

// leader returns the leader and the other instances.
func (f *partitionedFleet) leader() (leader *instance, others []*instance) {
	var c admin.ControlStatus
	Expect(f.client().Get(context.Background(), admin.PathControl, nil, &c)).To(Succeed())
	for _, i := range f.instances {
		if i.cfg.ID == c.Leader {
			leader = i
			continue
		}
		others = append(others, i)
	}
	return leader, others
}

var _ = Describe("Role in a partition that keeps connections open", func() {
	It("accepts nothing at an isolated leader while the majority serves nodes and grants each claim once", func() {
		ctx := context.Background()
		f := newPartitionedFleet("c1", "c2", "c3")
		defer f.stop()
		var nodes []*node.Client
		for i := range 6 {
			n, stop := f.startNode(fmt.Sprint("n", i), cleat.RoleEntry, node.Config{ConfirmTimeout: time.Second}, nil)
			defer stop()
			nodes = append(nodes, n)
		}
		_, err := f.client().Change(ctx, newChange("before", "/fleet/classes/before", `{}`))
		Expect(err).NotTo(HaveOccurred())
		leader, others := f.leader()
		f.isolate(string(leader.cfg.ID), true)

		minority := admin.NewClient([]string{leader.url()}, f.token)
		shortCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		_, err = minority.Change(shortCtx, newChange("cut", "/fleet/classes/cut", `{}`))
		Expect(problemCode(err)).To(BeElementOf(admin.CodeNotAccepted, admin.CodeOutcomeUnknown))
		Expect(problemCode(minority.Get(shortCtx, admin.PathSettings, nil, nil))).To(Equal(admin.CodeNotAccepted))

		majority := admin.NewClient([]string{others[0].url(), others[1].url()}, f.token)
		var r cleat.ChangeResult
		Eventually(func() error {
			r, err = majority.Change(ctx, newChange("major", "/fleet/classes/major", `{}`))
			return err
		}, eventuallyTimeout).Should(Succeed())
		for _, n := range nodes {
			Eventually(func() cleat.Revision { f, _ := n.Fleet(); return f.Revision() }, eventuallyTimeout).Should(BeNumerically(">=", r.Revision))
		}
		claim := cleat.Claim{Workspace: "w/w", Key: "k", Request: "first"}
		Expect(nodes[0].Claim(claim, time.Now().Add(eventuallyTimeout)).State).To(Equal(cleat.ClaimGranted))
		claim.Request = "second"
		Expect(nodes[1].Claim(claim, time.Now().Add(eventuallyTimeout)).State).To(Equal(cleat.ClaimRunning))

		f.isolate(string(leader.cfg.ID), false)
		var again cleat.ChangeResult
		Eventually(func() error {
			again, err = minority.Change(ctx, newChange("cut", "/fleet/classes/cut", `{}`))
			return err
		}, eventuallyTimeout).Should(Succeed())
		Expect(again.Accepted).To(BeTrue())
		for _, i := range f.instances {
			var list admin.Settings
			c := admin.NewClient([]string{i.url()}, f.token)
			Eventually(func() error { return c.Get(ctx, admin.PathSettings, nil, &list) }, eventuallyTimeout).Should(Succeed())
			Expect(list.Settings).To(HaveLen(3))
		}
	})
})
