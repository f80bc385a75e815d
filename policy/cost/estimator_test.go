package cost_test

import (
	"fmt"
	"math"
	"math/rand"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/cost"
)

var _ = Describe("Estimator", func() {
	work := func(hint cleat.Cost) *cleat.Work {
		return &cleat.Work{Workspace: "a/x", Class: "c", Kind: cleat.KindModel, Model: "m", CostHint: hint}
	}

	cases := map[string]struct {
		hint func(rnd *rand.Rand, c float64) float64
	}{
		"without hints":                {func(*rand.Rand, float64) float64 { return 0 }},
		"with exact hints":             {func(_ *rand.Rand, c float64) float64 { return c }},
		"with hints ten times too low": {func(_ *rand.Rand, c float64) float64 { return c / 10 }},
		"with noisy hints":             {func(rnd *rand.Rand, c float64) float64 { return c * math.Exp(2*rnd.NormFloat64()) }},
		"with hints that are sometimes a hundred times too low": {func(rnd *rand.Rand, c float64) float64 {
			if rnd.Intn(2) == 0 {
				return c / 100
			}
			return c
		}},
	}
	for name, c := range cases {
		It("estimates the mean cost "+name, func() {
			rnd, e := rand.New(rand.NewSource(1)), cost.NewEstimator()
			sum, estimates := 0.0, 0.0
			for i := range 2000 {
				actual := 200 * math.Exp(0.7*rnd.NormFloat64())
				w := work(cleat.Cost(c.hint(rnd, actual)))
				if i >= 100 {
					sum += actual
					estimates += float64(e.Estimate(w))
				}
				e.Learn(w, cleat.Cost(actual))
			}
			Expect(estimates / sum).To(BeNumerically("~", 1, 0.15))
		})
	}

	It("bounds the number of keys", func() {
		e := cost.NewEstimator()
		for i := range 3 * cost.MaxKeys {
			w := work(0)
			w.Workspace = cleat.WorkspaceID(fmt.Sprint("t/", i))
			e.Learn(w, 100)
		}
		Expect(e.Len()).To(BeNumerically("<=", cost.MaxKeys))
	})
})
