package queue_test

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/queue"
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

	// A request that was requeued behind the first of its stream was listed twice.
	It("refuses a request once that was granted out of order and not sent", func() {
		var cfg queue.Config
		cfg.Defaults()
		now := time.Unix(1e9, 0)
		t := queue.New(cfg, cleat.Peer{Instance: "entry"}, rand.New(rand.NewSource(1)))
		peer := cleat.Peer{Instance: "agent", Incarnation: 1, Role: cleat.RoleAgent}
		t.AgentUp(now, peer)
		t.AgentState(now, "agent", &cleat.AgentState{Incarnation: 1, Seq: 1, Upstreams: []cleat.UpstreamState{
			{Upstream: "u", Kind: cleat.KindModel, Models: []cleat.ModelID{"m"}, Limit: 1, Prefixes: []uint32{7}},
		}})
		for i, prefix := range []uint64{1, 7} {
			t.Submit(now, cleat.Work{
				ID: cleat.RequestID(fmt.Sprint(i)), Workspace: "a/x", Class: "c", Kind: cleat.KindModel, Model: "m", Prefix: []uint64{prefix},
				Received: now.Add(time.Duration(i)), Deadline: now.Add(cfg.RateWindow + time.Second), Repeatable: true,
			})
		}
		stream := cleat.Stream{Workspace: "a/x", Class: "c", Kind: cleat.KindModel, Model: "m"}
		starts := make(map[cleat.RequestID]int)
		for id := range uint64(20) { // Enough dispatches to estimate waits.
			now = now.Add(10 * time.Millisecond)
			e := t.Grants(now, "agent", &cleat.Grants{Incarnation: 1, Grants: []cleat.Grant{{ID: id + 1, Stream: stream, Upstream: "u", Lifetime: time.Second}}})
			for _, s := range e.Starts {
				starts[s.Work.ID]++
				t.DispatchNotSent(now, cleat.Attempt{Request: s.Work.ID, Number: s.Attempt.Number})
			}
		}
		Expect(starts["1"]).To(BeNumerically(">", 0))
		refusals := make(map[cleat.RequestID]int)
		for range 120 {
			now = now.Add(100 * time.Millisecond)
			for _, r := range t.Tick(now).Refusals {
				refusals[r.Request]++
			}
		}
		Expect(refusals).To(Equal(map[cleat.RequestID]int{"0": 1, "1": 1}))
	})
})
