package slots_test

import (
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/slots"
)

// bench is one agent's table with one entry and one upstream.
type bench struct {
	now   time.Time
	table *slots.Table
	cfg   slots.Config
	seq   uint64
}

func newBench(n uint32) *bench {
	b := &bench{now: time.Unix(1e9, 0)}
	b.cfg.Defaults()
	Expect(b.cfg.Validate()).To(Succeed())
	b.table = slots.New(b.cfg, cleat.Peer{Instance: "agent", Incarnation: 7}, rand.New(rand.NewSource(1)))
	b.table.EntryUp(b.now, cleat.Peer{Instance: "entry", Incarnation: 3})
	b.announce(n, false)
	return b
}

func (b *bench) announce(n uint32, leaving bool) {
	b.table.Announce(b.now, cleat.Announcement{
		Upstream: "u", Kind: cleat.KindModel, Models: []cleat.ModelID{"m"}, Slots: n, Leaving: leaving,
	})
}

func (b *bench) offer(w cleat.WorkspaceID, waiting uint32) []cleat.Grant {
	b.seq++
	return grants(b.table.Offers(b.now, "entry", &cleat.Offers{Incarnation: 3, Seq: b.seq, Offers: []cleat.Offer{{
		Stream: cleat.Stream{Workspace: w, Class: "c", Kind: cleat.KindModel, Model: "m"}, Waiting: waiting, HeadCost: 100, Share: 1,
	}}}))
}

func (b *bench) dispatch(g cleat.Grant, id cleat.RequestID) *cleat.Refused {
	_, refused := b.table.Dispatch(b.now, "entry", &cleat.Dispatch{
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
	It("lends no slot twice", func() {
		b := newBench(2)
		Expect(b.offer("a/x", 5)).To(HaveLen(2))
		Expect(b.offer("b/y", 5)).To(BeEmpty())
	})

	It("takes an unused grant back and gives the slot to another entry's work", func() {
		b := newBench(1)
		g := b.offer("a/x", 1)
		b.offer("b/y", 1)
		b.now = b.now.Add(b.cfg.GrantLifetime + b.cfg.GrantSlack)
		again := grants(b.table.Tick(b.now))
		Expect(again).To(HaveLen(1))
		Expect(again[0].Stream.Workspace).To(Equal(cleat.WorkspaceID("b/y")))
		Expect(b.dispatch(g[0], "r").Ran).To(Equal(cleat.RanNo))
	})

	It("refuses a second copy of a dispatch and says that the first runs", func() {
		b := newBench(2)
		g := b.offer("a/x", 2)
		Expect(b.dispatch(g[0], "r")).To(BeNil())
		Expect(b.dispatch(g[1], "r").Ran).To(Equal(cleat.RanYes))
		Expect(b.table.Running()).To(Equal(1))
	})

	It("voids what an entry was lent when its link is lost", func() {
		b := newBench(1)
		g := b.offer("a/x", 1)
		b.table.EntryDown(b.now, "entry")
		Expect(b.dispatch(g[0], "r").Ran).To(Equal(cleat.RanNo))
	})

	It("gives a leaving upstream nothing, grants that are out included", func() {
		b := newBench(1)
		g := b.offer("a/x", 1)
		b.announce(1, true)
		Expect(b.dispatch(g[0], "r").Ran).To(Equal(cleat.RanNo))
		Expect(b.offer("a/x", 2)).To(BeEmpty())
	})

	It("takes work from an upstream that fell silent", func() {
		b := newBench(1)
		b.now = b.now.Add(b.cfg.UpstreamTimeout + time.Second)
		b.table.Tick(b.now)
		Expect(b.table.Upstreams()).To(BeEmpty())
	})

	It("drops an older offer that comes late", func() {
		b := newBench(1)
		g := b.offer("a/x", 1)
		late := &cleat.Offers{Incarnation: 3, Seq: b.seq, Offers: []cleat.Offer{{Stream: g[0].Stream, Waiting: 9, HeadCost: 100, Share: 1}}}
		Expect(b.dispatch(g[0], "r")).To(BeNil())
		b.table.Offers(b.now, "entry", late)
		e := b.table.Finish(b.now, cleat.Attempt{Request: "r", Number: 1}, cleat.Outcome{Kind: cleat.OutcomeDone})
		Expect(grants(e)).To(BeEmpty())
	})

	It("asks for work when slots are free and nothing is offered", func() {
		b := newBench(1)
		e := b.table.Tick(b.now.Add(time.Second))
		Expect(e.Sends).To(ContainElement(HaveField("Message", BeAssignableToTypeOf(&cleat.Ask{}))))
	})

	It("fills an upstream later that reports a queue of its own", func() {
		b := newBench(2)
		b.table.Announce(b.now, cleat.Announcement{Upstream: "v", Kind: cleat.KindModel, Models: []cleat.ModelID{"m"}, Slots: 2})
		b.table.LoadReport(b.now, cleat.LoadReport{Upstream: "u", Queued: 3})
		g := b.offer("a/x", 3)
		Expect(g[0].Upstream).To(Equal(cleat.UpstreamID("v")))
		Expect(g).To(ContainElement(HaveField("Upstream", cleat.UpstreamID("u"))))
	})

	It("forgets cached prefixes after a gap in the events", func() {
		b := newBench(1)
		b.table.CacheEvent(b.now, cleat.CacheEvent{Upstream: "u", Seq: 1, Added: []uint64{1, 2}})
		b.table.CacheEvent(b.now, cleat.CacheEvent{Upstream: "u", Seq: 3, Added: []uint64{9}})
		e := b.table.EntryUp(b.now, cleat.Peer{Instance: "other", Incarnation: 1})
		Expect(e.Sends[0].Message.(*cleat.AgentState).Upstreams[0].Prefixes).To(Equal([]uint32{9}))
	})

	It("lets a workspace go first once that got no service for long", func() {
		b := newBench(1)
		b.table.Sums(b.now, &cleat.LedgerSums{Relay: "r", Incarnation: 1, Seq: 1, AckedSeq: 1, Complete: true, Ready: true, Totals: []cleat.WorkspaceTotal{{Workspace: "a/x", Service: 1e9}}})
		g := b.offer("b/y", 1000)
		b.offer("a/x", 1)
		first := cleat.WorkspaceID("")
		for i := 0; i < 100 && first != "a/x"; i++ {
			id := cleat.RequestID(rune('a' + i))
			Expect(b.dispatch(g[0], id)).To(BeNil())
			b.now = b.now.Add(time.Second)
			b.announce(1, false)
			b.table.Tick(b.now)
			g = grants(b.table.Finish(b.now, cleat.Attempt{Request: id, Number: 1}, cleat.Outcome{Kind: cleat.OutcomeDone, Usage: cleat.Usage{OutputTokens: 100}}))
			first = g[0].Stream.Workspace
		}
		Expect(first).To(Equal(cleat.WorkspaceID("a/x")))
		Expect(b.now.Sub(time.Unix(1e9, 0))).To(BeNumerically("~", b.cfg.StarveAfter, 3*time.Second))
	})
})
