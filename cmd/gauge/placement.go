package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat/cmd/gauge/bench"
)

const usagePlacement = `Measures how entries place requests on batching engines, on virtual time: by the
count of requests, by prompt tokens alone, with estimates of the output, and with the
true output. It prints the times to the first event and to the end by class, which part
of the oracle's gain the estimates reach, and how well they are calibrated.

Examples:

  gauge placement
  gauge placement --rate 10 --seeds 5
  gauge placement --hint-deviation 1 --hint-factor 8 --memory 200000
  gauge placement --policy prompt --policy output --json
`

// placementCommand holds the flags of gauge placement.
type placementCommand struct {
	o        bench.PlacementOptions
	seeds    int
	policies []string
	json     bool
}

func registerPlacement(app *kingpin.Application) {
	c := &placementCommand{}
	cmd := app.Command("placement", usagePlacement).Action(func(*kingpin.ParseContext) error { return c.run() })
	cmd.Flag("seed", "First seed.").Default("1").Int64Var(&c.o.Seed)
	cmd.Flag("seeds", "Number of seeds.").Default("1").IntVar(&c.seeds)
	cmd.Flag("entries", "Entries.").Default("29").IntVar(&c.o.Entries)
	cmd.Flag("engines", "Engines.").Default("53").IntVar(&c.o.Engines)
	cmd.Flag("duration", "Virtual time in which requests arrive.").Default("40s").DurationVar(&c.o.Duration)
	cmd.Flag("rate", "Requests a second for each engine.").Default("9").Float64Var(&c.o.Rate)
	cmd.Flag("hint-deviation", "Standard deviation of the logarithm of hint over output.").Default("0.5").Float64Var(&c.o.HintDeviation)
	cmd.Flag("hint-factor", "Factor by which hints are too large.").Default("1").Float64Var(&c.o.HintFactor)
	cmd.Flag("memory", "Memory of an engine, in tokens; drawn from 360,000 to 650,000 when zero.").IntVar(&c.o.MemoryTokens)
	cmd.Flag("lost-reports", "Lose a tenth of the entries' reports.").BoolVar(&c.o.OneLoss)
	cmd.Flag("policy", "Policy to run (repeatable; all by default).").EnumsVar(&c.policies, "count", "prompt", "output", "oracle")
	cmd.Flag("json", "Print one JSON document for each run.").BoolVar(&c.json)
}

func (c *placementCommand) run() error {
	if c.seeds < 1 || c.o.Entries < 1 || c.o.Engines < 1 || c.o.Rate <= 0 || c.o.Duration < time.Second || c.o.HintDeviation < 0 || c.o.HintFactor <= 0 || c.o.MemoryTokens < 0 {
		return trace.BadParameter("seeds, entries, engines, rate and hint-factor must be positive, hint-deviation and memory must not be negative, and duration must be a second or more")
	}
	policies := bench.PlacementPolicies()
	if len(c.policies) > 0 {
		policies = policies[:0:0]
		for _, name := range c.policies {
			policies = append(policies, bench.PlacementPolicy(name))
		}
	}
	for n := range c.seeds {
		o := c.o
		o.Seed += int64(n)
		results := make([]bench.PlacementResult, len(policies))
		var wg sync.WaitGroup
		for i, policy := range policies {
			wg.Go(func() { results[i] = bench.MeasurePlacement(o, policy) })
		}
		wg.Wait()
		if err := c.print(results); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (c *placementCommand) print(results []bench.PlacementResult) error {
	if c.json {
		for _, r := range results {
			if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
				return trace.Wrap(err)
			}
		}
		return nil
	}
	byPolicy := make(map[bench.PlacementPolicy]bench.PlacementResult)
	for _, r := range results {
		byPolicy[r.Policy] = r
	}
	fmt.Printf("seed %d\n%-7s %-6s %7s %24s %24s %7s %7s %7s %8s\n", results[0].Seed, "policy", "class", "count", "first p50/p95/p99 ms", "end p50/p95/p99 s", "late", "refused", "missed", "restarts")
	for _, r := range results {
		for _, k := range r.Classes {
			fmt.Printf("%-7s %-6s %7d %8.0f%8.0f%8.0f %8.2f%8.2f%8.2f %6.2f%% %6.2f%% %6.1f%% %8d\n", r.Policy, k.Class, k.Count,
				1000*k.First.P50, 1000*k.First.P95, 1000*k.First.P99, k.End.P50, k.End.P95, k.End.P99, 100*k.Late, 100*k.Refused, 100*k.Missed, r.Restarts)
		}
	}
	today, hasToday := byPolicy[bench.PlaceByPrompt]
	output, hasOutput := byPolicy[bench.PlaceByOutput]
	oracle, hasOracle := byPolicy[bench.PlaceByOracle]
	if hasToday && hasOutput && hasOracle {
		for i, k := range today.Classes {
			a, b := output.Classes[i], oracle.Classes[i]
			fmt.Printf("gain of the oracle reached, %-6s first p95 %s, end p95 %s, late %s\n", k.Class+":",
				gain(k.First.P95, a.First.P95, b.First.P95), gain(k.End.P95, a.End.P95, b.End.P95), gain(k.Late, a.Late, b.Late))
		}
	}
	if hasOutput {
		fmt.Printf("streams by tenth of the estimate: %.3f; mean error %.2f octaves\n", output.Deciles, output.Error)
	}
	return nil
}

// gain describes which part of the oracle's improvement a value reaches.
func gain(today, value, oracle float64) string {
	if oracle >= today {
		return fmt.Sprintf("none to reach (%+.1f%%)", 100*(value/today-1))
	}
	return fmt.Sprintf("%.2f (oracle %+.1f%%)", bench.GainShare(today, value, oracle), 100*(oracle/today-1))
}
