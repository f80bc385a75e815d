package fair_test

import (
	"fmt"
	"math/rand"
	"sort"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat/policy/fair"
)

var _ = Describe("Heap", func() {
	It("returns items in key order after arbitrary changes", func() {
		rnd := rand.New(rand.NewSource(1))
		var h fair.Heap
		items := make([]*fair.Item, 200)
		for i := range items {
			items[i] = fair.NewItem(fmt.Sprint(i), nil)
		}
		for range 5000 {
			it := items[rnd.Intn(len(items))]
			if rnd.Intn(3) == 0 {
				h.Remove(it)
			} else {
				h.Set(it, float64(rnd.Intn(50)))
			}
		}
		var keys []float64
		for h.Len() > 0 {
			keys = append(keys, h.Min().Key())
			h.Remove(h.Min())
		}
		Expect(sort.Float64sAreSorted(keys)).To(BeTrue())
	})
})

var _ = Describe("MaxGap", func() {
	p := fair.GapParams{SlotsLimit: 4, MaxEstimate: 100, MaxUnderestimate: 20, ServiceRate: 50, ReportInterval: time.Second, Agents: 2, ReportQuantum: 5, SumsQuantum: 10, ClassCredit: 30, Share: 1}

	It("adds up the contributions of all parameters", func() {
		Expect(fair.MaxLead(p)).To(Equal(30.0 + 100 + 4*120 + 50 + 20))
		Expect(fair.MaxGap(p)).To(Equal(2 * fair.MaxLead(p)))
	})

	It("halves the class credit with each rank, down to none", func() {
		Expect(fair.ClassCredit(400, 0)).To(Equal(400.0))
		Expect(fair.ClassCredit(400, 2)).To(Equal(100.0))
		Expect(fair.ClassCredit(400, 9)).To(Equal(0.0))
	})
})
