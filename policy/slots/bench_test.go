package slots_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/slots"
)

// BenchmarkGrant measures one reuse of a slot: a request ends, the next
// workspace is picked, and its grant is dispatched.
func BenchmarkGrant(b *testing.B) {
	for _, n := range []int{16, 280, 2800} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) { benchGrant(b, n) })
	}
}

func benchGrant(b *testing.B, n int) {
	var cfg slots.Config
	cfg.Defaults()
	now := time.Unix(1e9, 0)
	t := slots.New(cfg, cleat.Peer{Instance: "agent", Incarnation: 1}, rand.New(rand.NewSource(1)))
	t.ConnectEntry(now, cleat.Peer{Instance: "entry", Incarnation: 1})
	t.Announce(now, cleat.Announcement{Upstream: "u", Kind: cleat.KindModel, Models: []cleat.ModelID{"m"}, Slots: 1})
	m := &cleat.Offers{Incarnation: 1, Seq: 1}
	for i := range n {
		w := cleat.WorkspaceID(fmt.Sprintf("team/w%04d", i))
		m.Offers = append(m.Offers, cleat.Offer{
			Stream:  cleat.Stream{Workspace: w, Class: "c", Kind: cleat.KindModel, Model: "m"},
			Waiting: 1 << 30, HeadCost: 100, Share: 1,
		})
	}
	e := t.ApplyOffers(now, "entry", m)
	a := cleat.Attempt{Request: "r", Number: 1}
	d := &cleat.Dispatch{Incarnation: 1, Estimate: 100, Share: 1}
	b.ReportAllocs()
	for b.Loop() {
		g := e.Sends[0].Message.(*cleat.Grants).Grants[0]
		d.Grant, d.Stream, d.Attempt = g.ID, g.Stream, a
		if _, r := t.AcceptDispatch(now, "entry", d); r != nil {
			b.Fatal(r)
		}
		a.Number++
		e = t.FinishAttempt(now, d.Attempt, cleat.Outcome{Kind: cleat.OutcomeDone, Usage: cleat.Usage{OutputTokens: 90 + uint64(a.Number%20)}})
	}
}
