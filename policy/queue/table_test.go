package queue_test

import (
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
)

func sortedKeys[V any](m map[cleat.InstanceID]V) []cleat.InstanceID {
	return slices.Sorted(maps.Keys(m))
}

var _ = Describe("Table", func() {
	It("serves a request through one entry and one agent", func() {
		f := newFleet(1, 1, 1, 1)
		id := f.submit("entry-0", "a/x", 20, nil)
		f.advance(time.Second)
		Expect(f.done[id]).To(Equal(1))
	})

	It("keeps the slots busy and serves two backlogged workspaces equally", func() {
		f := newFleet(2, 2, 3, 1)
		for i := range 400 {
			f.submit("entry-0", "a/x", 50+i%7*30, nil)
			if i%2 == 0 {
				f.submit("entry-1", "b/y", 200+i%5*40, nil)
			}
		}
		f.advance(20 * time.Second)
		Expect(f.busy.Seconds() / (20 * 12)).To(BeNumerically(">", 0.95))
		Expect(f.served["a/x"] - f.served["b/y"]).To(BeNumerically("~", 0, 2500))
	})

	It("serves a workspace with twice the share twice as much", func() {
		f := newFleet(3, 1, 2, 1)
		ws := cleat.NewWorkspaces([]cleat.Workspace{{ID: "a/x", Share: 2, MaxWaiting: 1000}, {ID: "b/y", Share: 1, MaxWaiting: 1000}})
		settings := cleat.NewFleet(1, ws, cleat.NewRules(nil), nil, cleat.Limits{MaxWaiting: 10000, RetryRatio: 0.1})
		f.entries["entry-0"].table.Configure(f.now, settings)
		for range 300 {
			f.submit("entry-0", "a/x", 100, nil)
			f.submit("entry-0", "b/y", 100, nil)
		}
		f.advance(25 * time.Second)
		Expect(f.served["a/x"] / f.served["b/y"]).To(BeNumerically("~", 2, 0.15))
	})
})
