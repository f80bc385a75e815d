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

	for name, c := range map[string]struct {
		entries  int
		lifetime time.Duration // Of an entry; zero for no restarts.
	}{
		"entries can't reach each other": {4, 0},
		// Each restart gave an entry its slack again.
		"all entries restart again and again": {27, 3 * time.Second},
	} {
		It("keeps the fleet's bound in every window while "+name, func() {
			rnd := rand.New(rand.NewSource(1))
			fleet := make([]*budget.Budget, c.entries)
			begin := func(cfg budget.Config) {
				for i := range fleet {
					fleet[i] = budget.New(cfg)
					fleet[i].SetEntries(c.entries)
				}
			}
			begin(cfg)
			var requests, retries []time.Time
			for now := start; now.Before(start.Add(time.Minute)); now = now.Add(10 * time.Millisecond) {
				if c.lifetime > 0 && now.After(start) && now.Sub(start)%c.lifetime == 0 {
					restarted := cfg
					restarted.Restarted = true
					begin(restarted)
				}
				b := fleet[rnd.Intn(c.entries)]
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
	}

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

	// FAIR on qila-ops-grown: the first to fail used up the retries.
	It("keeps the rest of the retries when some requests may use a fraction only", func() {
		b := budget.New(cfg)
		for range 1000 {
			b.RecordRequest(start, service)
		}
		over, within := 0, 0
		for b.AllowRetryWithin(start, service, 0.5) {
			over++
		}
		for b.AllowRetry(start, service) {
			within++
		}
		Expect(over).To(BeNumerically(">", 80))
		Expect(within).To(BeNumerically(">=", over))
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
