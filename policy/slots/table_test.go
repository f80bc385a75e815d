package slots_test

import (
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/slots"
)

// fixture is one agent's table with one entry and one upstream.
type fixture struct {
	now   time.Time
	table *slots.Table
	cfg   slots.Config
	seq   uint64
}

// newFixture returns a fixture whose upstream announces n slots.
func newFixture(n uint32) *fixture {
	f := &fixture{now: time.Unix(1e9, 0)}
	f.cfg.Defaults()
	Expect(f.cfg.Validate()).To(Succeed())
	f.table = slots.New(f.cfg, cleat.Peer{Instance: "agent", Incarnation: 7}, rand.New(rand.NewSource(1)))
	f.table.ConnectEntry(f.now, cleat.Peer{Instance: "entry", Incarnation: 3})
	f.announce(n, false)
	return f
}

func (f *fixture) announce(n uint32, leaving bool) {
	f.table.Announce(f.now, cleat.Announcement{
		Upstream: "u", Kind: cleat.KindModel, Models: []cleat.ModelID{"m"}, Slots: n, Leaving: leaving,
	})
}

func (f *fixture) offer(w cleat.WorkspaceID, waiting uint32) []cleat.Grant {
	f.seq++
	return grants(f.table.ApplyOffers(f.now, "entry", &cleat.Offers{Incarnation: 3, Seq: f.seq, Offers: []cleat.Offer{{
		Stream: cleat.Stream{Workspace: w, Class: "c", Kind: cleat.KindModel, Model: "m"}, Waiting: waiting, HeadCost: 100, Share: 1,
	}}}))
}

func (f *fixture) dispatch(g cleat.Grant, id cleat.RequestID) *cleat.Refused {
	_, refused := f.table.AcceptDispatch(f.now, "entry", &cleat.Dispatch{
		Incarnation: 7, Grant: g.ID, Attempt: cleat.Attempt{Request: id, Number: 1}, Stream: g.Stream, Estimate: 100, Share: 1,
	})
	return refused
}

func grants(e cleat.Effects) []cleat.Grant {
	var list []cleat.Grant
	for _, s := range e.Sends {
		if m, ok := s.Message.(*cleat.Grants); ok {
			list = append(list, m.Grants...)
		}
	}
	return list
}

var _ = Describe("Table", func() {
	It("does not grant a slot twice", func() {
		f := newFixture(2)
		Expect(f.offer("a/x", 5)).To(HaveLen(2))
		Expect(f.offer("b/y", 5)).To(BeEmpty())
	})

	It("expires an unused grant and gives the slot to another workspace", func() {
		f := newFixture(1)
		g := f.offer("a/x", 1)
		f.offer("b/y", 1)
		f.now = f.now.Add(f.cfg.GrantLifetime + f.cfg.GrantSlack)
		again := grants(f.table.Tick(f.now))
		Expect(again).To(HaveLen(1))
		Expect(again[0].Stream.Workspace).To(Equal(cleat.WorkspaceID("b/y")))
		Expect(f.dispatch(g[0], "r").Ran).To(Equal(cleat.RanNo))
	})

	It("refuses a duplicate dispatch and reports that the first one runs", func() {
		f := newFixture(2)
		g := f.offer("a/x", 2)
		Expect(f.dispatch(g[0], "r")).To(BeNil())
		Expect(f.dispatch(g[1], "r").Ran).To(Equal(cleat.RanYes))
		Expect(f.table.Running()).To(Equal(1))
	})

	It("revokes an entry's grants when its link is lost", func() {
		f := newFixture(1)
		g := f.offer("a/x", 1)
		f.table.DisconnectEntry(f.now, "entry")
		Expect(f.dispatch(g[0], "r").Ran).To(Equal(cleat.RanNo))
	})

	It("stops granting on a leaving upstream and revokes its outstanding grants", func() {
		f := newFixture(1)
		g := f.offer("a/x", 1)
		f.announce(1, true)
		Expect(f.dispatch(g[0], "r").Ran).To(Equal(cleat.RanNo))
		Expect(f.offer("a/x", 2)).To(BeEmpty())
	})

	It("removes an upstream that stopped announcing itself", func() {
		f := newFixture(1)
		f.now = f.now.Add(f.cfg.UpstreamTimeout + time.Second)
		f.table.Tick(f.now)
		Expect(f.table.Upstreams()).To(BeEmpty())
	})

	It("ignores an outdated offer that arrives late", func() {
		f := newFixture(1)
		g := f.offer("a/x", 1)
		late := &cleat.Offers{Incarnation: 3, Seq: f.seq, Offers: []cleat.Offer{{Stream: g[0].Stream, Waiting: 9, HeadCost: 100, Share: 1}}}
		Expect(f.dispatch(g[0], "r")).To(BeNil())
		f.table.ApplyOffers(f.now, "entry", late)
		e := f.table.FinishAttempt(f.now, cleat.Attempt{Request: "r", Number: 1}, cleat.Outcome{Kind: cleat.OutcomeDone})
		Expect(grants(e)).To(BeEmpty())
	})

	It("asks for work when slots are free and nothing is offered", func() {
		f := newFixture(1)
		e := f.table.Tick(f.now.Add(time.Second))
		Expect(e.Sends).To(ContainElement(HaveField("Message", BeAssignableToTypeOf(&cleat.Ask{}))))
	})

	It("fills an upstream that reports a queue of its own last", func() {
		f := newFixture(2)
		f.table.Announce(f.now, cleat.Announcement{Upstream: "v", Kind: cleat.KindModel, Models: []cleat.ModelID{"m"}, Slots: 2})
		f.table.ApplyLoadReport(f.now, cleat.LoadReport{Upstream: "u", Queued: 3})
		g := f.offer("a/x", 3)
		Expect(g[0].Upstream).To(Equal(cleat.UpstreamID("v")))
		Expect(g).To(ContainElement(HaveField("Upstream", cleat.UpstreamID("u"))))
	})

	It("discards cached prefixes after a gap in the event sequence", func() {
		f := newFixture(1)
		f.table.ApplyCacheEvent(f.now, cleat.CacheEvent{Upstream: "u", Seq: 1, Added: []uint64{1, 2}})
		f.table.ApplyCacheEvent(f.now, cleat.CacheEvent{Upstream: "u", Seq: 3, Added: []uint64{9}})
		e := f.table.ConnectEntry(f.now, cleat.Peer{Instance: "other", Incarnation: 1})
		Expect(e.Sends[0].Message.(*cleat.AgentState).Upstreams[0].Prefixes).To(Equal([]uint32{9}))
	})

	It("serves a starved workspace first after StarvationTimeout", func() {
		f := newFixture(1)
		f.table.ApplyLedgerSums(f.now, &cleat.LedgerSums{Relay: "r", Incarnation: 1, Seq: 1, AckedSeq: 1, Complete: true, Ready: true, Totals: []cleat.WorkspaceTotal{{Workspace: "a/x", Service: 1e9}}})
		g := f.offer("b/y", 1000)
		f.offer("a/x", 1)
		first := cleat.WorkspaceID("")
		for i := 0; i < 100 && first != "a/x"; i++ {
			id := cleat.RequestID(rune('a' + i))
			Expect(f.dispatch(g[0], id)).To(BeNil())
			f.now = f.now.Add(time.Second)
			f.announce(1, false)
			f.table.Tick(f.now)
			g = grants(f.table.FinishAttempt(f.now, cleat.Attempt{Request: id, Number: 1}, cleat.Outcome{Kind: cleat.OutcomeDone, Usage: cleat.Usage{OutputTokens: 100}}))
			first = g[0].Stream.Workspace
		}
		Expect(first).To(Equal(cleat.WorkspaceID("a/x")))
		Expect(f.now.Sub(time.Unix(1e9, 0))).To(BeNumerically("~", f.cfg.StarvationTimeout, 3*time.Second))
	})
})
