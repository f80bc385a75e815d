package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/ledger"
)

// BenchmarkRelay merges one agent's report of 16 workspaces and returns its sums.
// The reports cover a tenth of the workspaces, but at least 16.
func BenchmarkRelay(b *testing.B) {
	for _, n := range []int{16, 280, 2800} {
		for _, nodes := range []int{15, 75, 350} {
			b.Run(fmt.Sprintf("workspaces=%d/nodes=%d", n, nodes), func(b *testing.B) { benchRelay(b, n, nodes) })
		}
	}
}

func benchRelay(b *testing.B, n, nodes int) {
	r := ledger.NewRelay(cleat.Peer{Instance: "ctrl", Incarnation: 1})
	now := time.Unix(1e9, 0)
	agents := make([]cleat.InstanceID, nodes)
	names := make([]cleat.WorkspaceID, n)
	for i := range names {
		names[i] = cleat.WorkspaceID(fmt.Sprintf("team/w%04d", i))
	}
	for i := range agents {
		agents[i] = cleat.InstanceID(fmt.Sprintf("agent-%03d", i))
	}
	seqs := make([]uint64, nodes)
	busy := max(16, n/10)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		a := i % nodes
		seqs[a]++
		m := &cleat.LedgerReport{Agent: agents[a], Incarnation: 2, Seq: seqs[a]}
		for j := range 16 {
			w := names[(i*16+j)%busy%n]
			m.Totals = append(m.Totals, cleat.WorkspaceTotal{Workspace: w, Service: float64(i)})
		}
		now = now.Add(7 * time.Second / time.Duration(nodes)) // Each agent's next sums are due.
		r.MergeReport(now, m)
		r.NextSums(now, agents[a])
	}
}
