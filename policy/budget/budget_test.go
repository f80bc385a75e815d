package budget_test

import (
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/budget"
)

var _ = Describe("Budget", func() {
	cfg := budget.Config{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
	start := time.Unix(1e9, 0)
	const service = cleat.ServiceName("s")

	It("keeps the fleet's bound in every window while entries can't reach each other", func() {
		const entries = 4
		rnd := rand.New(rand.NewSource(1))
		var fleet []*budget.Budget
		for range entries {
			b := budget.New(cfg)
			b.SetEntries(entries)
			fleet = append(fleet, b)
		}
		var requests, retries []time.Time
		for now := start; now.Before(start.Add(time.Minute)); now = now.Add(10 * time.Millisecond) {
			b := fleet[rnd.Intn(entries)]
			if now.Sub(start) < 20*time.Second || now.Sub(start) > 40*time.Second {
				b.RecordRequest(now, service)
				requests = append(requests, now)
			}
			if b.AllowRetry(now, service) {
				retries = append(retries, now)
			}
		}
		Expect(retries).NotTo(BeEmpty())
		for _, from := range retries {
			n, m := countWithin(retries, from, cfg.Window), countWithin(requests, from, cfg.Window)
			before := countWithin(requests, from.Add(-cfg.Window), cfg.Window)
			Expect(float64(n)).To(BeNumerically("<=", cfg.Ratio*float64(max(m, before))+cfg.Slack))
		}
	})

	It("refuses immediately when the slack is spent and no requests arrive", func() {
		b := budget.New(cfg)
		b.SetEntries(4)
		n := 0
		for b.AllowRetry(start, service) {
			n++
		}
		Expect(n).To(BeNumerically("<=", 54/4))
		Expect(b.AllowRetry(start.Add(5*time.Second), service)).To(BeFalse())
		Expect(b.AllowRetry(start.Add(12*time.Second), service)).To(BeTrue())
	})

	It("counts each service separately", func() {
		b := budget.New(budget.Config{Ratio: 0, Slack: 2, Window: time.Second})
		Expect(b.AllowRetry(start, "a")).To(BeTrue())
		Expect(b.AllowRetry(start, "a")).To(BeFalse())
		Expect(b.AllowRetry(start, "b")).To(BeTrue())
	})
})

// countWithin counts the times in a window.
func countWithin(times []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(from.Add(window)) {
			n++
		}
	}
	return n
}
