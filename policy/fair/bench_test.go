package fair_test

import (
	"fmt"
	"testing"

	"marigoldcleat.example/cleat/policy/fair"
)

// BenchmarkPick selects the workspace with the least service and charges it.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{16, 280, 2800} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			var h fair.Heap
			for i := range n {
				h.Set(fair.NewItem(fmt.Sprintf("team/w%04d", i), nil), float64(i*7%n))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				it := h.Min()
				h.Set(it, it.Key()+float64(n+i%13))
			}
		})
	}
}
