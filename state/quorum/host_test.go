package quorum_test

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/fdisk"
	"marigoldcleat.example/cleat/state/quorum"
	"marigoldcleat.example/cleat/state/store"
)

// concatMachine is a state machine that concatenates all commands. The result of a
// command is the length of the text so far.
type concatMachine struct {
	mu   sync.Mutex
	text string
}

func (c *concatMachine) Apply(_ uint64, command []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.text += string(command)
	return []byte(fmt.Sprint(len(c.text)))
}

func (c *concatMachine) Snapshot() ([]byte, error) { return []byte(c.value()), nil }

func (c *concatMachine) Restore(snapshot []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.text = string(snapshot)
	return nil
}

func (c *concatMachine) value() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.text
}

// mesh delivers messages between the hosts of one test.
type mesh struct {
	mu    sync.Mutex
	hosts map[cleat.InstanceID]*quorum.Host
}

// maxFrameBytes is the maximum size of a message on a link, in bytes.
const maxFrameBytes = 4 << 20

// port is the quorum.Transport of one host of a mesh.
type port struct {
	*mesh
	self cleat.InstanceID
}

func (p port) Send(to cleat.InstanceID, m *cleat.PeerMessage) error {
	p.mu.Lock()
	h := p.hosts[to]
	p.mu.Unlock()
	if h == nil || len(m.Data) > maxFrameBytes {
		return trace.ConnectionProblem(nil, "port.Send: %s is down", to)
	}
	h.Receive(p.self, m)
	return nil
}

// start runs a host and returns a function that stops it.
func (m *mesh) start(cfg quorum.Config, disk cleat.Disk, sm cleat.StateMachine) (h *quorum.Host, stop func() error, err error) {
	rnd := rand.New(rand.NewSource(int64(len(cfg.Self))))
	h, err = quorum.Open(cfg, disk, sm, port{mesh: m, self: cfg.Self}, cleat.SystemClock{}, rnd, log.New(io.Discard))
	if err != nil {
		return nil, nil, err
	}
	m.mu.Lock()
	m.hosts[cfg.Self] = h
	m.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	return h, func() error {
		cancel()
		err := <-done
		m.mu.Lock()
		delete(m.hosts, cfg.Self)
		m.mu.Unlock()
		return err
	}, nil
}

var _ = Describe("Host", func() {
	ctx := context.Background()

	roleOf := func(h *quorum.Host) func() quorum.RaftRole {
		return func() quorum.RaftRole { return h.Status().Role }
	}

	It("runs as a single replica and keeps its state over a restart", func() {
		disk, err := store.NewFolder(filepath.Join(GinkgoT().TempDir(), "data"))
		Expect(err).NotTo(HaveOccurred())
		m := &mesh{hosts: map[cleat.InstanceID]*quorum.Host{}}
		cfg := quorum.Config{Self: "c1", InitialInstances: []cleat.InstanceID{"c1"}}
		h, stop, err := m.start(cfg, disk, &concatMachine{})
		Expect(err).NotTo(HaveOccurred())
		Eventually(roleOf(h), "10s").Should(Equal(quorum.RoleLeader))
		Expect(h.Propose(ctx, []byte("ab"))).To(Equal([]byte("2")))
		Expect(h.TakeSnapshot()).To(Succeed())
		Eventually(func() uint64 { return h.Status().Snapshot }, "10s").Should(BeNumerically(">", 0))
		Expect(h.Propose(ctx, []byte("c"))).To(Equal([]byte("3")))
		Eventually(func() bool { _, held := h.OrderLease(); return held }, "10s").Should(BeTrue())
		Expect(stop()).To(Succeed())

		sm := &concatMachine{}
		h, stop, err = m.start(cfg, disk, sm)
		Expect(err).NotTo(HaveOccurred())
		Eventually(roleOf(h), "10s").Should(Equal(quorum.RoleLeader))
		Expect(h.ReadBarrier(ctx)).To(Succeed())
		Expect(sm.value()).To(Equal("abc"))
		Expect(stop()).To(Succeed())
		_, err = h.Propose(ctx, []byte("d"))
		Expect(trace.IsLimitExceeded(err)).To(BeTrue())
	})

	It("refuses the data of another instance", func() {
		disk := fdisk.New(rand.New(rand.NewSource(1)))
		m := &mesh{hosts: map[cleat.InstanceID]*quorum.Host{}}
		_, stop, err := m.start(quorum.Config{Self: "c1", InitialInstances: []cleat.InstanceID{"c1"}}, disk, &concatMachine{})
		Expect(err).NotTo(HaveOccurred())
		Expect(stop()).To(Succeed())
		_, _, err = m.start(quorum.Config{Self: "c2"}, disk, &concatMachine{})
		Expect(err).To(MatchError(ContainSubstring(`belongs to instance "c1"`)))
	})

	It("refuses proposals while its disk is full and recovers afterwards", func() {
		disk := fdisk.New(rand.New(rand.NewSource(1)))
		m := &mesh{hosts: map[cleat.InstanceID]*quorum.Host{}}
		h, stop, err := m.start(quorum.Config{Self: "c1", InitialInstances: []cleat.InstanceID{"c1"}}, disk, &concatMachine{})
		Expect(err).NotTo(HaveOccurred())
		Eventually(roleOf(h), "10s").Should(Equal(quorum.RoleLeader))
		disk.SetCapacity(1)
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err = h.Propose(short, []byte("a"))
		Expect(trace.IsConnectionProblem(err)).To(BeTrue())
		Eventually(func() string { return h.Status().DiskError }, "10s").Should(ContainSubstring("no space left"))
		_, err = h.Propose(ctx, []byte("b"))
		Expect(trace.IsLimitExceeded(err)).To(BeTrue())
		disk.SetCapacity(0)
		Eventually(func() error { _, err := h.Propose(ctx, []byte("c")); return err }, "10s").Should(Succeed())
		Expect(stop()).To(Succeed())
	})

	It("replicates a command too large for one message as part of a snapshot", func() {
		m := &mesh{hosts: map[cleat.InstanceID]*quorum.Host{}}
		cfg := quorum.Config{Self: "c1", InitialInstances: []cleat.InstanceID{"c1"}, MaxCommandBytes: 3 * maxFrameBytes}
		h, stop, err := m.start(cfg, fdisk.New(rand.New(rand.NewSource(1))), &concatMachine{})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(stop)
		Eventually(roleOf(h), "10s").Should(Equal(quorum.RoleLeader))
		_, err = h.Propose(ctx, make([]byte, 2*maxFrameBytes))
		Expect(err).NotTo(HaveOccurred())
		Expect(h.TakeSnapshot()).To(Succeed())
		Eventually(func() uint64 { return h.Status().Snapshot }, "10s").Should(BeNumerically(">", 0))
		sm := &concatMachine{}
		_, stop, err = m.start(quorum.Config{Self: "c2", Peers: []cleat.InstanceID{"c1"}}, fdisk.New(rand.New(rand.NewSource(1))), sm)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(stop)
		Eventually(func() error { return h.AddLearner(ctx, "c2") }, "10s").Should(Succeed())
		Eventually(func() int { return len(sm.value()) }, "20s").Should(Equal(2 * maxFrameBytes))
	})

	It("accepts proposals on each of three replicas, and adds and removes replicas", func() {
		m := &mesh{hosts: map[cleat.InstanceID]*quorum.Host{}}
		all := []cleat.InstanceID{"c1", "c2", "c3", "c4"}
		hosts := map[cleat.InstanceID]*quorum.Host{}
		for _, id := range all {
			cfg := quorum.Config{Self: id, Peers: all}
			if id != "c4" {
				cfg.InitialInstances = all[:3]
			}
			h, stop, err := m.start(cfg, fdisk.New(rand.New(rand.NewSource(1))), &concatMachine{})
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(stop)
			hosts[id] = h
		}
		for _, id := range all[:3] {
			Eventually(func() error { _, err := hosts[id].Propose(ctx, []byte(id)); return err }, "10s").Should(Succeed())
			Expect(hosts[id].ReadBarrier(ctx)).To(Succeed())
		}
		id, ok := hosts["c1"].Leader()
		Expect(ok).To(BeTrue())
		leader := hosts[id]
		Eventually(func() error { return leader.AddLearner(ctx, "c4") }, "10s").Should(Succeed())
		joined := hosts["c4"].Status().Replica
		Eventually(func() error { return leader.Promote(ctx, joined) }, "10s").Should(Succeed())
		Expect(leader.Status().Members).To(HaveLen(4))
		Expect(leader.Remove(ctx, leader.Status().Replica)).To(Succeed())
		Eventually(func() bool { next, ok := hosts["c4"].Leader(); return ok && next != id }, "10s").Should(BeTrue())
		Eventually(func() error { _, err := hosts["c4"].Propose(ctx, []byte("x")); return err }, "10s").Should(Succeed())
		Expect(hosts["c4"].Status().Members).To(HaveLen(3))
	})
})

// BenchmarkPropose measures the proposals per second of 64 callers per processor on
// a disk that takes 2 ms for a sync.
func BenchmarkPropose(b *testing.B) {
	disk := fdisk.New(rand.New(rand.NewSource(1)))
	m := &mesh{hosts: map[cleat.InstanceID]*quorum.Host{}}
	h, stop, err := m.start(quorum.Config{Self: "c1", InitialInstances: []cleat.InstanceID{"c1"}}, disk, &concatMachine{})
	if err != nil {
		b.Fatal(err)
	}
	for h.Status().Role != quorum.RoleLeader {
		time.Sleep(time.Millisecond)
	}
	disk.SetSyncDelay(2 * time.Millisecond)
	b.SetParallelism(64)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := h.Propose(context.Background(), []byte("x")); err != nil {
				b.Error(err)
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
	if err := stop(); err != nil {
		b.Fatal(err)
	}
}
