package bench_test

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat/cmd/gauge/bench"
)

var _ = Describe("MeasurePlacement", func() {
	const all = 3 // The last class.

	cases := map[string]bench.PlacementOptions{
		"with hints off by a factor":  {Rate: 9, Duration: 20 * time.Second},
		"with hints 8 times too long": {Rate: 9, Duration: 20 * time.Second, HintFactor: 8},
		"with lost reports":           {Rate: 9, Duration: 20 * time.Second, OneLoss: true},
	}
	for name, o := range cases {
		// A single seed leaves some 90 late requests: too few to compare policies.
		It("serves more requests in time by the expected output than by prompts alone, "+name, func() {
			seeds := []int64{1, 2, 3}
			var today, output placementMeans
			var wg sync.WaitGroup
			wg.Go(func() { today = measurePlacements(o, bench.PlaceByPrompt, all, seeds) })
			wg.Go(func() { output = measurePlacements(o, bench.PlaceByOutput, all, seeds) })
			wg.Wait()
			Expect(output.late).To(BeNumerically("<", today.late))
			Expect(output.first).To(BeNumerically("<", today.first))
			Expect(output.end).To(BeNumerically("<", today.end))
		})
	}

	It("starves no class", func() {
		o := bench.PlacementOptions{Seed: 4, Rate: 10, Duration: 20 * time.Second}
		today, output := bench.MeasurePlacement(o, bench.PlaceByPrompt), bench.MeasurePlacement(o, bench.PlaceByOutput)
		for i := range today.Classes {
			Expect(output.Classes[i].Refused).To(BeNumerically("<=", today.Classes[i].Refused+0.01), today.Classes[i].Class)
			Expect(output.Classes[i].First.P99).To(BeNumerically("<", 1.1*today.Classes[i].First.P99), today.Classes[i].Class)
		}
	})

	It("has estimates of which between 5% and 20% fall into each tenth", func() {
		Expect(bench.MeasurePlacement(bench.PlacementOptions{Seed: 5, Duration: 20 * time.Second}, bench.PlaceByOutput).Deciles).To(HaveEach(And(BeNumerically(">", 0.05), BeNumerically("<", 0.2))))
	})
})

// placementMeans are means over several runs of a class.
type placementMeans struct {
	late       float64 // Fraction of the requests.
	first, end float64 // 95th percentiles in seconds.
}

// measurePlacements runs the model once with each seed.
func measurePlacements(o bench.PlacementOptions, policy bench.PlacementPolicy, class int, seeds []int64) placementMeans {
	runs := make([]placementMeans, len(seeds))
	var wg sync.WaitGroup
	for i, seed := range seeds {
		o := o
		o.Seed = seed
		wg.Go(func() {
			c := bench.MeasurePlacement(o, policy).Classes[class]
			runs[i] = placementMeans{c.Late, c.First.P95, c.End.P95}
		})
	}
	wg.Wait()
	var m placementMeans
	for _, r := range runs {
		n := float64(len(runs))
		m = placementMeans{m.late + r.late/n, m.first + r.first/n, m.end + r.end/n}
	}
	return m
}
