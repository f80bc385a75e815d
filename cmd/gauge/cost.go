package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat/cmd/gauge/bench"
)

const usageCost = `Measures what a node of each role costs at growing sizes: processor time of
policy code and of encoding, control traffic by kind of message, and memory.

Examples:

  gauge cost
  gauge cost --deployment plan --duration 30s --load 1 --json
`

// costCommand holds the flags of gauge cost.
type costCommand struct {
	policyCommand
	deployments []string
}

func registerCost(app *kingpin.Application) {
	c := &costCommand{}
	cmd := app.Command("cost", usageCost).Action(func(*kingpin.ParseContext) error { return c.run() })
	cmd.Flag("deployment", "Size to measure (repeatable; pastor-andino, fifth and plan by default).").StringsVar(&c.deployments)
	cmd.Flag("seed", "Seed.").Default("1").Int64Var(&c.seed)
	cmd.Flag("duration", "Virtual time of each run.").Default("20s").DurationVar(&c.duration)
	cmd.Flag("load", "Offered service divided by capacity.").Default("1").Float64Var(&c.load)
	cmd.Flag("backlogged", "Fraction of the workspaces that request more than their share.").Default("0.1").Float64Var(&c.backlogged)
	cmd.Flag("json", "Print one JSON document for each size.").BoolVar(&c.json)
	c.seeds = 1
}

func (c *costCommand) run() error {
	if err := c.validate(); err != nil {
		return trace.Wrap(err)
	}
	if len(c.deployments) == 0 {
		c.deployments = []string{"pastor-andino", "fifth", "plan"}
	}
	for _, name := range c.deployments {
		c.deployment = name
		o, err := c.options(c.seed)
		if err != nil {
			return trace.Wrap(err)
		}
		if err := c.printCost(bench.MeasureCost(o)); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (c *costCommand) printCost(cost bench.Cost) error {
	if c.json {
		return trace.Wrap(json.NewEncoder(os.Stdout).Encode(cost))
	}
	fmt.Printf("%s: %d nodes, %.0f requests/s, %.0f units/s, heap %.1f MB in all\n",
		cost.Deployment, cost.Nodes, cost.RequestsPerSecond, cost.UnitsPerSecond, float64(cost.HeapBytes)/1e6)
	for _, r := range cost.Roles {
		fmt.Printf("  %3d x", r.Nodes)
		printTraffic(r.Traffic)
		fmt.Printf("        %-9s core %.3f%%\n", r.Role, 100*r.Core)
	}
	return nil
}
