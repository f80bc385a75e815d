package admit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/admit"
)

// drive runs an upstream at its limit for d: gap gives the time between tokens
// at a number of requests, first the time to first token.
func drive(l *admit.Limiter, now time.Time, d time.Duration, gap, first func(n int) time.Duration) time.Time {
	for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
		n := l.Limit(now)
		l.Started(now, n)
		l.FirstToken(now, first(n))
		l.Tokens(now, 10, 10*gap(n))
	}
	return now
}

func always(d time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return d }
}

var _ = Describe("Limiter", func() {
	var cfg admit.Config
	now := time.Unix(1e9, 0)
	short := always(100 * time.Millisecond)
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
		"keeps the limit while targets are met":          {always(30 * time.Millisecond), short, 16, 16},
		"keeps it for prompts that are always long":      {always(20 * time.Millisecond), always(900 * time.Millisecond), 16, 16},
		"shrinks to where tokens come in time":           {func(n int) time.Duration { return time.Duration(4*n) * time.Millisecond }, short, 6, 9},
		"shrinks while first tokens queue":               {always(20 * time.Millisecond), func(n int) time.Duration { return time.Duration(max(100, 200*(n-8))) * time.Millisecond }, 8, 11},
		"restores the limit when shrinking does not aid": {always(150 * time.Millisecond), short, 16, 16},
	}
	for name, c := range cases {
		It(name, func() {
			l := admit.New(cfg, cleat.KindModel, 16)
			drive(l, now, 25*time.Second, c.gap, c.first)
			Expect(l.Limit(now)).To(And(BeNumerically(">=", c.least), BeNumerically("<=", c.most)))
		})
	}

	It("does not shrink for a slowness that came at a limit which did well", func() {
		l := admit.New(cfg, cleat.KindModel, 16)
		at := drive(l, now, 10*time.Second, always(30*time.Millisecond), short)
		at = drive(l, at, 20*time.Second, always(120*time.Millisecond), short)
		Expect(l.Limit(at)).To(Equal(16))
		Expect(l.Slow()).To(BeTrue())
	})

	It("leaves a failing upstream alone, probes it with one request, and returns", func() {
		l := admit.New(cfg, cleat.KindModel, 16)
		for range cfg.FailuresToOpen {
			l.Failed(now)
		}
		Expect(l.Limit(now)).To(Equal(0))
		probe := now.Add(cfg.ProbeMin)
		Expect(l.Limit(probe)).To(Equal(1))
		l.Failed(probe)
		Expect(l.Limit(probe.Add(cfg.ProbeMin))).To(Equal(0))
		l.Done(probe.Add(2*cfg.ProbeMin), time.Second)
		Expect(l.Limit(probe.Add(2 * cfg.ProbeMin))).To(Equal(16))
	})
})
