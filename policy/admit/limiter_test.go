package admit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/admit"
)

// runLoad runs an upstream at its limit for d. For n concurrent requests, gap
// returns the time between tokens and first the time to first token.
func runLoad(l *admit.Limiter, now time.Time, d time.Duration, gap, first func(n int) time.Duration) time.Time {
	for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
		n := l.Limit(now)
		l.RecordStart(now, n)
		l.RecordFirstToken(now, first(n))
		l.RecordTokens(now, 10, 10*gap(n))
	}
	return now
}

func constant(d time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return d }
}

var _ = Describe("Limiter", func() {
	var cfg admit.Config
	now := time.Unix(1e9, 0)
	short := constant(100 * time.Millisecond)
	BeforeEach(func() {
		cfg = admit.Config{}
		cfg.Defaults()
		Expect(cfg.Validate()).To(Succeed())
	})

	cases := map[string]struct {
		gap, first func(int) time.Duration
		least      int
		most       int
	}{
		"keeps the limit while targets are met":              {constant(30 * time.Millisecond), short, 16, 16},
		"keeps the limit for prompts that are always long":   {constant(20 * time.Millisecond), constant(900 * time.Millisecond), 16, 16},
		"shrinks until the token gap target is met":          {func(n int) time.Duration { return time.Duration(4*n) * time.Millisecond }, short, 6, 9},
		"shrinks while requests queue for their first token": {constant(20 * time.Millisecond), func(n int) time.Duration { return time.Duration(max(100, 200*(n-8))) * time.Millisecond }, 8, 11},
		"restores the limit when shrinking does not help":    {constant(150 * time.Millisecond), short, 16, 16},
	}
	for name, c := range cases {
		It(name, func() {
			l := admit.New(cfg, cleat.KindModel, 16)
			runLoad(l, now, 25*time.Second, c.gap, c.first)
			Expect(l.Limit(now)).To(And(BeNumerically(">=", c.least), BeNumerically("<=", c.most)))
		})
	}

	It("does not shrink when an upstream slows down at a limit that met the targets", func() {
		l := admit.New(cfg, cleat.KindModel, 16)
		at := runLoad(l, now, 10*time.Second, constant(30*time.Millisecond), short)
		at = runLoad(l, at, 20*time.Second, constant(120*time.Millisecond), short)
		Expect(l.Limit(at)).To(Equal(16))
		Expect(l.Slow()).To(BeTrue())
	})

	It("suspends a failing upstream, probes it with one request, and recovers", func() {
		l := admit.New(cfg, cleat.KindModel, 16)
		for range cfg.FailuresToSuspend {
			l.RecordFailure(now)
		}
		Expect(l.Limit(now)).To(Equal(0))
		probe := now.Add(cfg.MinProbeInterval)
		Expect(l.Limit(probe)).To(Equal(1))
		l.RecordFailure(probe)
		Expect(l.Limit(probe.Add(cfg.MinProbeInterval))).To(Equal(0))
		l.RecordSuccess(probe.Add(2*cfg.MinProbeInterval), time.Second)
		Expect(l.Limit(probe.Add(2 * cfg.MinProbeInterval))).To(Equal(16))
	})
})
