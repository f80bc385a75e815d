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

// relay passes connections on until it is cut, which its ends don't notice.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

func newRelay(target string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &relay{listener: l, target: target}
	go r.accept()
	DeferCleanup(func() {
		Expect(l.Close()).To(Succeed())
		r.set(false)
	})
	return r
}

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, conn, out)
		r.mu.Unlock()
		go r.pass(conn, out)
		go r.pass(out, conn)
	}
}

// pass copies bytes, and drops them in silence while the relay is cut.
func (r *relay) pass(from, to net.Conn) {
	defer to.Close()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		r.mu.Lock()
		cut := r.cut
		r.mu.Unlock()
		if cut {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

// set cuts the relay, or heals it, which breaks what was connected.
func (r *relay) set(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if cut {
		return
	}
	for _, conn := range r.conns {
		_ = conn.Close()
	}
	r.conns = nil
}

// cutFleet is a fleet whose instances reach each other through relays.
type cutFleet struct {
	*fleet
	relays map[string]*relay // By "from>to".
}

func newCutFleet(ids ...string) *cutFleet {
	f := &cutFleet{fleet: &fleet{folder: GinkgoT().TempDir()}, relays: make(map[string]*relay)}
	var first []cleat.InstanceID
	for _, id := range ids {
		first = append(first, cleat.InstanceID(id))
	}
	for _, id := range ids {
		i := newInstance(id, first, f.folder, f.fileOf(id))
		i.start()
		f.instances = append(f.instances, i)
	}
	for _, from := range ids {
		var addrs []string
		for _, to := range f.instances {
			if string(to.cfg.ID) != from {
				r := newRelay(to.role.Addr())
				f.relays[from+">"+string(to.cfg.ID)] = r
				addrs = append(addrs, r.listener.Addr().String())
			}
		}
		Expect(os.WriteFile(f.fileOf(from), []byte(strings.Join(addrs, "\n")+"\n"), 0o600)).To(Succeed())
	}
	Eventually(f.findToken, patience).Should(BeTrue())
	return f
}

func (f *cutFleet) fileOf(id string) string { return filepath.Join(f.folder, "controls-"+id) }

// isolate cuts an instance off from the others, or heals it.
func (f *cutFleet) isolate(id string, cut bool) {
	for name, r := range f.relays {
		if strings.HasPrefix(name, id+">") || strings.HasSuffix(name, ">"+id) {
			r.set(cut)
		}
	}
}

// leader returns the leader and the others.
func (f *cutFleet) leader() (leader *instance, others []*instance) {
	var c admin.Control
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

var _ = Describe("Role behind a silent cut", func() {
	It("keeps the isolated leader's operators, nodes and callers honest", func() {
		ctx := context.Background()
		f := newCutFleet("c1", "c2", "c3")
		defer f.stop()
		var nodes []*node.Client
		for i := range 6 {
			n, stop := f.startNode(fmt.Sprint("n", i), cleat.RoleEntry, node.Config{ConfirmTimeout: time.Second}, nil)
			defer stop()
			nodes = append(nodes, n)
		}
		_, err := f.client().Change(ctx, write("before", "/fleet/classes/before", `{}`))
		Expect(err).NotTo(HaveOccurred())
		leader, others := f.leader()
		f.isolate(string(leader.cfg.ID), true)

		minority := admin.NewClient([]string{leader.url()}, f.token)
		short, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		_, err = minority.Change(short, write("cut", "/fleet/classes/cut", `{}`))
		Expect(code(err)).To(BeElementOf(admin.CodeNotAccepted, admin.CodeFateUnknown))
		Expect(code(minority.Get(short, admin.PathSettings, nil, nil))).To(Equal(admin.CodeNotAccepted))

		majority := admin.NewClient([]string{others[0].url(), others[1].url()}, f.token)
		var r cleat.ChangeResult
		Eventually(func() error {
			r, err = majority.Change(ctx, write("major", "/fleet/classes/major", `{}`))
			return err
		}, patience).Should(Succeed())
		for _, n := range nodes {
			Eventually(func() cleat.Revision { f, _ := n.Fleet(); return f.Revision() }, patience).Should(BeNumerically(">=", r.Revision))
		}
		claim := cleat.Claim{Workspace: "w/w", Key: "k", Request: "first"}
		Expect(nodes[0].Claim(claim, time.Now().Add(patience)).State).To(Equal(cleat.ClaimGranted))
		claim.Request = "second"
		Expect(nodes[1].Claim(claim, time.Now().Add(patience)).State).To(Equal(cleat.ClaimRunning))

		f.isolate(string(leader.cfg.ID), false)
		var again cleat.ChangeResult
		Eventually(func() error {
			again, err = minority.Change(ctx, write("cut", "/fleet/classes/cut", `{}`))
			return err
		}, patience).Should(Succeed())
		Expect(again.Accepted).To(BeTrue())
		for _, i := range f.instances {
			var list admin.Settings
			c := admin.NewClient([]string{i.url()}, f.token)
			Eventually(func() error { return c.Get(ctx, admin.PathSettings, nil, &list) }, patience).Should(Succeed())
			Expect(list.Settings).To(HaveLen(3))
		}
	})
})
