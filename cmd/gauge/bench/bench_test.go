package bench_test

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat/cmd/gauge/bench"
)

func TestBench(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bench")
}

func options(deployment, faults string, seed int64) bench.Options {
	d, err := bench.DeploymentByName(deployment)
	Expect(err).NotTo(HaveOccurred())
	o := bench.Options{Deployment: d, Seed: seed, Duration: 40 * time.Second, Load: 1.5, Backlogged: 0.5}
	o.Faults, err = bench.ParseFaults(faults, seed, o.Duration)
	Expect(err).NotTo(HaveOccurred())
	return o
}

var _ = Describe("Run", func() {
	for _, name := range bench.Policies() {
		It("gives the same result for the same seed under "+string(name), func() {
			var out [2][]byte
			for i := range out {
				b, err := json.Marshal(bench.Run(options("lade", "random", 3), name))
				Expect(err).NotTo(HaveOccurred())
				out[i] = b
			}
			Expect(out[0]).To(Equal(out[1]))
		})
	}

	It("keeps the oracle's slots busy while work waits", func() {
		r := bench.Run(options("pastor-andino", "", 1), bench.PolicyOracle)
		Expect(r.Utilisation).To(BeNumerically(">", 0.97))
		Expect(r.GapLargest).To(BeNumerically(">", 0))
	})

	faults := map[string]string{
		"no fault":                     "",
		"a partitioned failure domain": "partition@10s-20s",
		"a restarted entry":            "restart-entry@12s",
		"a restarted agent":            "restart-agent@12s",
		"restarted control instances":  "restart-control@12s",
		"a slow upstream":              "slow-upstream@10s-20s",
		"lossy links":                  "lossy@10s-25s",
		"a flood":                      "flood@10s-25s",
		"wrong hints":                  "wrong-hints@5s-30s",
		"a leaving upstream":           "leave@10s-25s",
		"a partition and a flood":      "partition@10s-20s,flood@8s-25s",
		"two restarts on a lossy link": "restart-agent@12s,restart-entry@13s,lossy@10s-20s",
	}
	for name, list := range faults {
		It("violates no invariant or guarantee under "+name, func() {
			recorder := bench.StartViolationRecorder()
			r := bench.Run(options("pastor-andino", list, 5), bench.PolicyFleet)
			n, violated := recorder.Stop()
			Expect(violated).To(BeEmpty())
			Expect(n).To(BeZero())
			Expect(r.Duplicates).To(BeZero())
			Expect(r.FalseNotRun).To(BeZero())
			Expect(r.PastDeadline).To(BeZero())
			Expect(r.Served).To(BeNumerically(">", 0))
		})
	}
})

// meanOfSeeds runs a policy with three seeds and returns the mean fairness gap and
// utilisation.
func meanOfSeeds(deployment, faults string, name bench.PolicyName) (gap, utilisation float64) {
	const seeds = 3
	for seed := range int64(seeds) {
		o := options(deployment, faults, seed+1)
		o.Duration = 90 * time.Second
		r := bench.Run(o, name)
		gap += r.GapLargest / seeds
		utilisation += r.Utilisation / seeds
	}
	return gap, utilisation
}

var _ = Describe("Policy targets", func() {
	for _, deployment := range []string{"pastor-andino", "lade"} {
		It("are met without faults on "+deployment, func() {
			gap, utilisation := meanOfSeeds(deployment, "", bench.PolicyFleet)
			oracleGap, oracleUtilisation := meanOfSeeds(deployment, "", bench.PolicyOracle)
			Expect(gap).To(BeNumerically("<=", 1.5*oracleGap))
			Expect(utilisation).To(BeNumerically(">=", 0.97*oracleUtilisation))
			Expect(utilisation).To(BeNumerically(">=", 0.97))
			localFairGap, _ := meanOfSeeds(deployment, "", bench.PolicyLocalFair)
			Expect(localFairGap).To(BeNumerically(">", gap))
		})

		for _, faults := range []string{"partition@20s-30s", "restart-control@25s", "lossy@20s-40s,slow-upstream@25s-45s"} {
			It("are met for the fairness gap under "+faults+" on "+deployment, func() {
				gap, _ := meanOfSeeds(deployment, faults, bench.PolicyFleet)
				oracleGap, _ := meanOfSeeds(deployment, faults, bench.PolicyOracle)
				Expect(gap).To(BeNumerically("<=", 4*oracleGap))
			})
		}

		It("are met for control traffic on "+deployment, func() {
			r := bench.Run(options(deployment, "", 1), bench.PolicyFleet)
			Expect(r.Traffic).NotTo(BeEmpty())
			for _, t := range r.Traffic {
				Expect(t.Worst).To(BeNumerically("<=", 4000), string(t.Role))
			}
		})
	}
})

var _ = Describe("ParseFaults", func() {
	bad := map[string]string{
		"an unknown kind": "fire@1s-2s",
		"a bad time":      "lossy@soon-later",
	}
	for name, s := range bad {
		It("rejects "+name, func() {
			_, err := bench.ParseFaults(s, 1, time.Minute)
			Expect(err).To(HaveOccurred())
		})
	}
})
