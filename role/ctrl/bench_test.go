package ctrl_test

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
	"marigoldcleat.example/cleat/role/admin"
	"marigoldcleat.example/cleat/role/ctrl"
	"marigoldcleat.example/cleat/role/node"
	"marigoldcleat.example/cleat/stand/fdisk"
)

const syncDelay = 2 * time.Millisecond

// startBenchFleet starts control instances on fake disks that take syncDelay to sync.
func startBenchFleet(b *testing.B, n int) *fleet {
	gomega.RegisterTestingT(b)
	f := &fleet{folder: b.TempDir()}
	var initial []cleat.InstanceID
	for i := range n {
		initial = append(initial, cleat.InstanceID(fmt.Sprint("c", i)))
	}
	for i, id := range initial {
		ins := newInstance(string(id), initial, f.folder, f.controlFile())
		ins.cfg.OrderInterval = 0
		disk := fdisk.New(rand.New(rand.NewSource(int64(i))))
		disk.SetSyncDelay(syncDelay)
		ins.cfg.Disk = disk
		role, err := ctrl.Open(ins.cfg, log.New(discard{}))
		if err != nil {
			b.Fatal(err)
		}
		ins.role, ins.ended = role, make(chan error, 1)
		go func() { ins.ended <- role.Run() }()
		f.instances = append(f.instances, ins)
		b.Cleanup(func() { role.Close(); <-ins.ended })
	}
	f.writeControlFile()
	for !f.findToken() {
		time.Sleep(10 * time.Millisecond)
	}
	return f
}

type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }

// startBenchNode connects a node with its own traffic counters.
func startBenchNode(b *testing.B, f *fleet, id string, role cleat.Role) (*node.Client, *wire.Counters) {
	counters := new(wire.Counters)
	peer := cleat.Peer{Instance: cleat.InstanceID(id), Incarnation: cleat.NewIncarnation(time.Now()), Role: role, Domain: "d"}
	cfg := linkConfig()
	cfg.Counters = counters
	c := node.New(node.Config{Controls: f.addrs()}, cfg, func() cleat.Peer { return peer }, cleat.SystemClock{}, log.New(discard{}))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	b.Cleanup(func() { cancel(); <-ended })
	return c, counters
}

// awaitFleet waits until a node has applied a revision of the settings.
func awaitFleet(n *node.Client, rev cleat.Revision) {
	for {
		if f, ok := n.Fleet(); ok && f.Revision() >= rev {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkClaims makes claims and records their outcomes over three instances.
func BenchmarkClaims(b *testing.B) {
	f := startBenchFleet(b, 3)
	n, _ := startBenchNode(b, f, "entry", cleat.RoleEntry)
	awaitFleet(n, 0)
	var next atomic.Int64
	b.SetParallelism(16)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id := fmt.Sprint(next.Add(1))
			m := cleat.Claim{Workspace: "w/w", Key: id, Request: cleat.RequestID(id)}
			if s := n.Claim(m, time.Now().Add(eventuallyTimeout)).State; s != cleat.ClaimGranted {
				b.Errorf("claim %s got %s", id, s)
			}
			n.Record(cleat.ClaimOutcome{Workspace: "w/w", Key: id, Request: m.Request, Outcome: cleat.OutcomeDone})
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
}

// BenchmarkInForce measures the time from sending a change until all nodes have applied it.
func BenchmarkInForce(b *testing.B) {
	for _, count := range []int{15, 75, 350} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			f := startBenchFleet(b, 3)
			nodes := make([]*node.Client, count)
			counters := make([]*wire.Counters, count)
			for i := range nodes {
				nodes[i], counters[i] = startBenchNode(b, f, fmt.Sprint("n", i), cleat.RoleAgent)
			}
			for _, n := range nodes {
				awaitFleet(n, 0)
			}
			time.Sleep(4 * time.Second)
			idle := traffic(counters, 2*time.Second)
			c := f.client()
			change := 0
			before := total(counters)
			b.ResetTimer()
			for b.Loop() {
				change++
				r, err := c.Change(context.Background(), newChange(fmt.Sprint("op", change), "/fleet/limits", fmt.Sprintf(`{"max_waiting":%d}`, change)))
				if err != nil {
					b.Fatal(err)
				}
				awaitAll(nodes, r.Revision)
			}
			bytes := float64(total(counters)-before) - idle*b.Elapsed().Seconds()
			b.ReportMetric(bytes/float64(b.N*count), "B/change/node")
			b.ReportMetric(idle/float64(count), "idle-B/s/node")
			b.ReportMetric(float64(b.Elapsed().Milliseconds())/float64(b.N), "ms/change")
		})
	}
}

func awaitAll(nodes []*node.Client, rev cleat.Revision) {
	var wg sync.WaitGroup
	for _, n := range nodes {
		wg.Go(func() { awaitFleet(n, rev) })
	}
	wg.Wait()
}

// traffic returns the bytes per second that all nodes send and receive, measured over d.
func traffic(counters []*wire.Counters, d time.Duration) float64 {
	before := total(counters)
	time.Sleep(d)
	return float64(total(counters)-before) / d.Seconds()
}

func total(counters []*wire.Counters) uint64 {
	var n uint64
	for _, c := range counters {
		for k := cleat.KindHello; k < cleat.KindLimit; k++ {
			_, sent := c.Sent(k)
			_, received := c.Received(k)
			n += sent + received
		}
	}
	return n
}

// BenchmarkSettings measures a change of one setting while the settings hold as many
// workspaces as are planned for the fleet.
func BenchmarkSettings(b *testing.B) {
	f := startBenchFleet(b, 1)
	c := f.client()
	const workspaces = 2800
	createWorkspaces(b, c, workspaces)
	n, counters := startBenchNode(b, f, "entry", cleat.RoleEntry)
	awaitFleet(n, 1)
	b.ReportMetric(float64(total([]*wire.Counters{counters})), "first-read-B")
	change := 0
	for b.Loop() {
		change++
		r, err := c.Change(context.Background(), newChange(fmt.Sprint("op", change), "/fleet/limits", fmt.Sprintf(`{"max_waiting":%d}`, change)))
		if err != nil {
			b.Fatal(err)
		}
		awaitFleet(n, r.Revision)
	}
}

func createWorkspaces(b *testing.B, c *admin.Client, workspaces int) {
	for from := 0; from < workspaces; from += 1000 {
		change := cleat.Change{Operation: fmt.Sprint("fill", from)}
		for i := from; i < min(from+1000, workspaces); i++ {
			name := fmt.Sprintf("team%03d/ws%d", i%280, i)
			change.Ops = append(change.Ops,
				cleat.ChangeOp{Path: "/teams/" + name[:7] + "/workspaces/" + name[8:], Value: []byte(fmt.Sprintf(`{"key_hashes":[%q],"max_waiting":500}`, cleat.HashKey(name)))},
				cleat.ChangeOp{Path: "/fleet/shares/" + name, Value: []byte(`{"share":2}`)})
		}
		if _, err := c.Change(context.Background(), change); err != nil {
			b.Fatal(err)
		}
	}
}
