package ledger_test

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/ledger"
	"marigoldcleat.example/cleat/stand/assert"
)

var start = time.Unix(1e9, 0)

func report(agent string, incarnation cleat.Incarnation, seq uint64, totals ...cleat.WorkspaceTotal) *cleat.LedgerReport {
	return &cleat.LedgerReport{Agent: cleat.InstanceID(agent), Incarnation: incarnation, Seq: seq, Totals: totals}
}

func total(w string, service, inFlight float64) cleat.WorkspaceTotal {
	return cleat.WorkspaceTotal{Workspace: cleat.WorkspaceID(w), Service: service, InFlight: inFlight}
}

func newRelay(incarnation cleat.Incarnation) *ledger.Relay {
	return ledger.NewRelay(cleat.Peer{Instance: "ctrl", Incarnation: incarnation})
}

var _ = Describe("Relay", func() {
	It("counts duplicated, late and reordered reports once", func() {
		r := newRelay(1)
		Expect(r.MergeReport(start, report("a", 5, 1, total("w", 100, 10)))).To(BeTrue())
		Expect(r.MergeReport(start, report("a", 5, 2, total("w", 150, 0)))).To(BeTrue())
		Expect(r.MergeReport(start, report("a", 5, 2, total("w", 150, 0)))).To(BeFalse())
		Expect(r.MergeReport(start, report("a", 5, 1, total("w", 100, 10)))).To(BeFalse())
		Expect(r.Total("w")).To(Equal(total("w", 150, 0)))
	})

	It("keeps the service of an agent's earlier incarnations and drops their in-flight service", func() {
		r := newRelay(1)
		r.MergeReport(start, report("a", 5, 1, total("w", 100, 40)))
		r.MergeReport(start, report("a", 6, 1, total("w", 30, 7)))
		Expect(r.Total("w")).To(Equal(total("w", 130, 7)))
		r.FoldExpired(start.Add(ledger.SupersededRetention + time.Minute))
		r.MergeReport(start.Add(ledger.SupersededRetention+time.Minute), report("a", 5, 2, total("w", 999, 0)))
		Expect(r.Total("w").Service).To(Equal(130.0))
	})

	It("expires the in-flight service of an unresponsive agent", func() {
		r := newRelay(1)
		r.MergeReport(start, report("a", 5, 1, total("w", 100, 40)))
		Expect(r.NextSums(start, "b").Totals[0].InFlight).To(Equal(40.0))
		m := r.NextSums(start.Add(ledger.InFlightTimeout+ledger.RefreshInterval), "b")
		Expect(m.Totals[0].InFlight).To(Equal(0.0))
	})

	It("requests a complete report after a gap", func() {
		r := newRelay(1)
		r.MergeReport(start, report("a", 5, 1, total("w", 100, 0)))
		Expect(r.NextSums(start, "a").AckedSeq).To(Equal(uint64(1)))
		r.MergeReport(start, report("a", 5, 3, total("w", 200, 0)))
		Expect(r.NextSums(start, "a").AckedSeq).To(BeZero())
	})

	It("sends complete sums to a new incarnation of an agent", func() {
		r := newRelay(1)
		r.MergeReport(start, report("b", 5, 1, total("w", 1000, 0)))
		r.MergeReport(start, report("a", 5, 1, total("x", 1, 0)))
		Expect(r.NextSums(start, "a").Totals).To(ContainElement(total("w", 1000, 0)))
		r.MergeReport(start, report("a", 6, 1, total("x", 1, 0)))
		m := r.NextSums(start, "a")
		Expect(m.Complete).To(BeTrue())
		Expect(m.Totals).To(ContainElement(total("w", 1000, 0)))
	})

	It("adopts lost totals from agents without counting any twice", func() {
		r := newRelay(100)
		complete := report("a", 5, 9, cleat.WorkspaceTotal{Workspace: "w", Service: 300, OthersService: 700})
		complete.Complete = true
		r.MergeReport(start, complete)
		Expect(r.Total("w").Service).To(Equal(1000.0))
		r.MergeReport(start.Add(time.Second), report("b", 6, 4, total("w", 500, 0)))
		Expect(r.Total("w").Service).To(Equal(1000.0))
		r.MergeReport(start.Add(2*time.Second), report("b", 6, 5, total("w", 550, 0)))
		Expect(r.Total("w").Service).To(Equal(1050.0))
		r.MergeReport(start.Add(3*time.Second), report("c", 200, 1, total("w", 10, 0)))
		Expect(r.Total("w").Service).To(Equal(1060.0))
	})

	It("limits a long lag only after all agents have reported recently", func() {
		r := newRelay(1)
		r.MergeReport(start, report("a", 5, 1, total("lead", 20000, 10), total("lag", 100, 10), total("idle", 50, 0)))
		r.MergeReport(start, report("b", 5, 1, total("lead", 0, 10)))
		at := start.Add(ledger.AdoptWindow + time.Second)
		r.MergeReport(at, report("a", 5, 2, total("lag", 101, 10)))
		r.NextSums(at, "a")
		Expect(r.Total("lag").ServiceFloor).To(BeZero(), "agent b is unresponsive")
		r.MergeReport(at.Add(time.Second), report("a", 5, 3, total("lead", 20001, 10), total("lag", 102, 10)))
		r.MergeReport(at.Add(time.Second), report("b", 5, 2, total("lead", 1, 10)))
		r.NextSums(at.Add(2*time.Second), "a")
		Expect(r.Total("lag").ServiceFloor).To(Equal(20002 - ledger.MaxLag - 102))
		Expect(r.Total("idle").ServiceFloor).To(BeZero())
	})

	It("sends its state to a relay that comes up, which merges it idempotently", func() {
		r, other := newRelay(1), newRelay(2)
		r.MergeReport(start, report("a", 5, 1, total("w", 100, 0)))
		r.MergeReport(start, report("b", 5, 1, total("w", 50, 0)))
		for range 2 {
			for _, m := range r.CompleteReports() {
				other.MergeReport(start, m)
			}
		}
		Expect(other.Total("w").Service).To(Equal(150.0))
	})
})

var _ = Describe("AgentLedger", func() {
	It("delays reports of small changes and reports large ones immediately", func() {
		b := ledger.NewAgentLedger(cleat.Peer{Instance: "a", Incarnation: 5})
		b.MergeSums(start, &cleat.LedgerSums{Relay: "r", Incarnation: 1, Seq: 1, AckedSeq: 1, Complete: true})
		a := b.Account("w")
		b.Charge(a, 500)
		Expect(b.NextReport(start).Totals).To(HaveLen(1))
		b.Charge(a, 1)
		Expect(b.NextReport(start.Add(2 * time.Second))).To(BeNil())
		Expect(b.NextReport(start.Add(ledger.RefreshInterval)).Totals[0].Service).To(Equal(501.0))
		b.AddInFlight(a, 400)
		Expect(b.NextReport(start.Add(ledger.RefreshInterval + time.Second)).Totals[0].InFlight).To(Equal(400.0))
	})

	It("resends complete reports until a relay answers, in case the first one is lost", func() {
		b := ledger.NewAgentLedger(cleat.Peer{Instance: "a", Incarnation: 5})
		Expect(b.NextReport(start).Complete).To(BeTrue())
		Expect(b.NextReport(start.Add(time.Second)).Complete).To(BeTrue())
		b.MergeSums(start, &cleat.LedgerSums{Relay: "r", Incarnation: 1, Seq: 1, AckedSeq: 2, Complete: true})
		Expect(b.NextReport(start.Add(2*time.Second)).Complete).To(BeTrue(), "a new relay gets a complete report")
		Expect(b.NextReport(start.Add(3 * time.Second))).To(BeNil())
	})

	It("accepts sums after its link to the relay was re-established", func() {
		r, b := newRelay(1), ledger.NewAgentLedger(cleat.Peer{Instance: "a", Incarnation: 5})
		at := start
		for i := range 5 {
			at = at.Add(ledger.ReportInterval)
			r.MergeReport(at, report("b", 5, uint64(i+1), total("w", float64(100*(i+1)), 0)))
			b.MergeSums(at, r.NextSums(at, "a"))
		}
		r.ResetFeed("a")
		r.MergeReport(at, report("b", 5, 6, total("w", 900, 0)))
		b.MergeSums(at, r.NextSums(at, "a"))
		Expect(b.Account("w").Received()).To(Equal(900.0))
	})

	It("resets a floor raised in a partial view once the view is complete", func() {
		r := newRelay(1)
		r.MergeReport(start, report("a", 5, 1, total("w", 100, 0)))
		r.MergeReport(start, report("b", 5, 1, total("w", 50, 0)))
		partitionedAt := start.Add(ledger.FreshnessWindow + time.Second)
		r.MergeReport(partitionedAt, report("b", 5, 2, total("w", 60, 0)))
		b := ledger.NewAgentLedger(cleat.Peer{Instance: "b", Incarnation: 5})
		m := r.NextSums(partitionedAt, "b")
		Expect(m.Partial).To(BeTrue())
		b.MergeSums(partitionedAt, m)
		a := b.Account("w")
		b.RaiseFloor(a, 500)
		Expect(a.Received()).To(Equal(500.0))
		Expect(a.ServiceFloor()).To(Equal(0.0))

		healedAt := partitionedAt.Add(ledger.ReportInterval)
		r.MergeReport(healedAt, report("a", 5, 2, total("w", 300, 0)))
		m = r.NextSums(healedAt, "b")
		Expect(m.Partial).To(BeFalse())
		Expect(b.MergeSums(healedAt, m)).To(ContainElement(a))
		Expect(a.Received()).To(Equal(300.0))
	})

	It("is ready only after complete sums without a gap", func() {
		b := ledger.NewAgentLedger(cleat.Peer{Instance: "a", Incarnation: 5})
		b.MergeSums(start, &cleat.LedgerSums{Relay: "r", Incarnation: 1, Seq: 1, AckedSeq: 1, Complete: true})
		b.MergeSums(start, &cleat.LedgerSums{Relay: "r", Incarnation: 1, Seq: 3, AckedSeq: 1, Ready: true})
		Expect(b.Ready()).To(BeFalse())
		b.MergeSums(start, &cleat.LedgerSums{Relay: "r", Incarnation: 1, Seq: 4, AckedSeq: 1, Complete: true, Ready: true})
		Expect(b.Ready()).To(BeTrue())
	})
})

// TestRandomLedger restarts agents and loses, duplicates and delays reports. It
// checks that an agent's total never exceeds the actual one, never decreases, and
// reaches the actual one after all agents have reported.
func TestRandomLedger(t *testing.T) {
	restore := assert.SetHook(func(name, msg string) { panic(name + ": " + msg) })
	defer restore()
	if err := flag.Set("rapid.seed", "1917"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, randomLedger)
}

func randomLedger(t *rapid.T) {
	const agents = 3
	now, incarnation := start, cleat.Incarnation(10)
	relays := []*ledger.Relay{newRelay(1), newRelay(2)}
	ledgers := make([]*ledger.AgentLedger, agents)
	actual, reported, seen := 0.0, make([]float64, agents), make([]float64, agents)
	peer := func(i int) cleat.Peer {
		incarnation++
		return cleat.Peer{Instance: cleat.InstanceID(fmt.Sprint("a", i)), Incarnation: incarnation}
	}
	for i := range ledgers {
		ledgers[i] = ledger.NewAgentLedger(peer(i))
	}
	var sentReports []*cleat.LedgerReport
	sendReport := func(i int, lost bool) {
		now = now.Add(ledger.RefreshInterval)
		m := ledgers[i].NextReport(now)
		if lost {
			return
		}
		if m != nil {
			reported[i] = ledgers[i].Account("w").OwnService()
			sentReports = append(sentReports, m)
			for _, r := range relays {
				r.MergeReport(now, m)
			}
		}
		if s := relays[i%2].NextSums(now, peerName(i)); s != nil {
			s.Relay = cleat.InstanceID(fmt.Sprint("r", i%2))
			ledgers[i].MergeSums(now, s)
		}
	}
	checkTotals := func() {
		for i, b := range ledgers {
			v := b.Account("w").Received()
			if v > actual+1e-6 || v < seen[i] {
				t.Fatalf("agent %d has total %v, had %v before, actual %v", i, v, seen[i], actual)
			}
			seen[i] = v
		}
	}
	drawAgent := func() int { return rapid.IntRange(0, agents-1).Draw(t, "agent") }
	t.Repeat(map[string]func(*rapid.T){
		"": func(*rapid.T) { checkTotals() },
		"charge": func(t *rapid.T) {
			n := float64(rapid.IntRange(1, 3000).Draw(t, "units"))
			b := ledgers[drawAgent()]
			b.Charge(b.Account("w"), n)
			actual += n
		},
		"report sent": func(*rapid.T) { sendReport(drawAgent(), false) },
		"report lost": func(*rapid.T) { sendReport(drawAgent(), true) },
		"agent report duplicated": func(t *rapid.T) {
			if len(sentReports) > 0 {
				relays[rapid.IntRange(0, 1).Draw(t, "relay")].MergeReport(now, rapid.SampledFrom(sentReports).Draw(t, "report"))
			}
		},
		"agent restart": func(*rapid.T) {
			i := drawAgent()
			actual -= ledgers[i].Account("w").OwnService() - reported[i] // Service since the last report is lost.
			ledgers[i], reported[i], seen[i] = ledger.NewAgentLedger(peer(i)), 0, 0
		},
	})
	for range 8 {
		for i := range ledgers {
			sendReport(i, false)
		}
		checkTotals()
	}
	for i, b := range ledgers {
		if v := b.Account("w").Received(); math.Abs(v-actual) > ledger.SumsQuantum+agents {
			t.Fatalf("agent %d has total %v at the end, actual %v", i, v, actual)
		}
	}
}

func peerName(i int) cleat.InstanceID { return cleat.InstanceID(fmt.Sprint("a", i)) }
