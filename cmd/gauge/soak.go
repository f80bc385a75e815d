package main

import (
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat/cmd/gauge/bench"
)

const usageSoak = `Runs the deciding code under random faults with fresh seeds until the time is
up, and stops at the first run that breaks an invariant or a promise.

Examples:

  gauge soak --for 10m
  gauge soak --seed 1701 --for 1s
  gauge soak --state --for 10m
`

// soakCommand holds the flags of gauge soak.
type soakCommand struct {
	length time.Duration
	seed   int64
	state  bool
}

func registerSoak(app *kingpin.Application) {
	c := &soakCommand{}
	cmd := app.Command("soak", usageSoak).Action(func(*kingpin.ParseContext) error { return c.run(time.Now()) })
	cmd.Flag("for", "How long to go on.").Default("1m").DurationVar(&c.length)
	cmd.Flag("state", "Run the replicated control state instead.").BoolVar(&c.state)
	cmd.Flag("seed", "First seed; drawn from the clock when zero.").Default("0").Int64Var(&c.seed)
}

func (c *soakCommand) run(now time.Time) error {
	if c.seed == 0 {
		c.seed = now.UnixNano() % 1_000_000_007
	}
	fmt.Printf("soak: first seed %d\n", c.seed)
	end := now.Add(c.length)
	runs := 0
	for seed := c.seed; runs == 0 || time.Now().Before(end); seed++ {
		if err := c.once(seed); err != nil {
			return trace.Wrap(err)
		}
		runs++
	}
	fmt.Printf("soak: %d runs, no violation\n", runs)
	return nil
}

// once runs one seed: its deployment, load and faults follow from the seed.
func (c *soakCommand) once(seed int64) error {
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
	watch := bench.NewWatch()
	r := bench.Run(o, bench.PolicyOurs)
	n, violated := watch.Stop()
	if n > 0 || r.Twice > 0 || r.Untrue > 0 || r.PastDeadline > 0 {
		return trace.CompareFailed("seed %d, %s, faults %s: %d violations %v, twice %d, untrue %d, past deadline %d",
			seed, p.deployment, bench.FormatFaults(o.Faults), n, violated, r.Twice, r.Untrue, r.PastDeadline)
	}
	return nil
}
