package main

import (
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat/cmd/gauge/bench"
)

const usageSoak = `Simulates the fleet's policies under random faults with successive seeds until
the time is up, and stops at the first run that violates an invariant or a guarantee.

Examples:

  gauge soak --for 10m
  gauge soak --seed 1701 --for 1s
  gauge soak --state --for 10m
`

// soakCommand holds the flags of gauge soak.
type soakCommand struct {
	duration time.Duration
	seed     int64
	state    bool
}

func registerSoak(app *kingpin.Application) {
	c := &soakCommand{}
	cmd := app.Command("soak", usageSoak).Action(func(*kingpin.ParseContext) error { return c.run(time.Now()) })
	cmd.Flag("for", "How long to run simulations.").Default("1m").DurationVar(&c.duration)
	cmd.Flag("state", "Run the replicated control state instead.").BoolVar(&c.state)
	cmd.Flag("seed", "First seed; drawn from the clock when zero.").Default("0").Int64Var(&c.seed)
}

func (c *soakCommand) run(now time.Time) error {
	if c.seed == 0 {
		c.seed = now.UnixNano() % 1_000_000_007
	}
	fmt.Printf("soak: first seed %d\n", c.seed)
	end := now.Add(c.duration)
	runs := 0
	for seed := c.seed; runs == 0 || time.Now().Before(end); seed++ {
		if err := c.runSeed(seed); err != nil {
			return trace.Wrap(err)
		}
		runs++
	}
	fmt.Printf("soak: %d runs, no violation\n", runs)
	return nil
}

// runSeed runs one seed, which determines the deployment, load and faults.
func (c *soakCommand) runSeed(seed int64) error {
	if c.state {
		return trace.Wrap(soakState(seed))
	}
	p := &policyCommand{
		deployment: []string{"pastor-andino", "lade"}[seed%2], seed: seed, seeds: 1, duration: 40 * time.Second,
		load: 0.6 + float64(seed%7)*0.2, backlogged: 0.1 + float64(seed%5)*0.2, faults: "random",
	}
	o, err := p.options(seed)
	if err != nil {
		return trace.Wrap(err)
	}
	recorder := bench.StartViolationRecorder()
	r := bench.Run(o, bench.PolicyFleet)
	n, violated := recorder.Stop()
	if n > 0 || r.Duplicates > 0 || r.FalseNotRun > 0 || r.PastDeadline > 0 {
		return trace.CompareFailed("seed %d, %s, faults %s: %d violations %v, ran or answered twice %d, false not-run refusals %d, past deadline %d",
			seed, p.deployment, bench.FormatFaults(o.Faults), n, violated, r.Duplicates, r.FalseNotRun, r.PastDeadline)
	}
	return nil
}
