package main

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat/cmd/gauge/bench"
)

const usagePolicy = `Measures policies on virtual time over the same arrivals: the fairness gap,
utilisation while work waits, control traffic, waits and refusals.

Examples:

  gauge policy --deployment pastor-andino --load 1.3 --backlogged 1
  gauge policy --deployment lade --faults partition@20s-30s,flood@15s-40s
  gauge policy --deployment lade --faults random --seed 7 --policy ours --json
  gauge policy --seeds 20 --policy ours --policy oracle
`

// policyCommand holds the flags of gauge policy.
type policyCommand struct {
	deployment string
	seed       int64
	seeds      int
	duration   time.Duration
	load       float64
	backlogged float64
	faults     string
	policies   []string
	json       bool
}

func registerPolicy(app *kingpin.Application) {
	c := &policyCommand{}
	cmd := app.Command("policy", usagePolicy).Action(func(*kingpin.ParseContext) error { return c.run() })
	c.addFlags(cmd)
	var names []string
	for _, p := range bench.Policies() {
		names = append(names, string(p))
	}
	cmd.Flag("policy", "Policy to measure (repeatable; all by default).").EnumsVar(&c.policies, names...)
	cmd.Flag("json", "Print one JSON document for each seed and policy.").BoolVar(&c.json)
}

func (c *policyCommand) addFlags(cmd *kingpin.CmdClause) {
	cmd.Flag("deployment", "Deployment to simulate: pastor-andino, lade, fifth or plan.").Default("pastor-andino").StringVar(&c.deployment)
	cmd.Flag("seed", "Seed of the first run.").Default("1").Int64Var(&c.seed)
	cmd.Flag("seeds", "Number of seeds, one after the other.").Default("1").IntVar(&c.seeds)
	cmd.Flag("duration", "Virtual time of each run.").Default("180s").DurationVar(&c.duration)
	cmd.Flag("load", "Offered service divided by capacity.").Default("1.5").Float64Var(&c.load)
	cmd.Flag("backlogged", "Fraction of the workspaces that request more than their share.").Default("0.5").Float64Var(&c.backlogged)
	cmd.Flag("faults", "Faults with times, such as partition@20s-30s,flood, or random.").StringVar(&c.faults)
}

func (c *policyCommand) validate() error {
	switch {
	case c.duration <= 0 || c.duration > bench.MaxDuration:
		return trace.BadParameter("--duration must be above 0 and at most %v, not %v", bench.MaxDuration, c.duration)
	case c.load <= 0 || c.load > 100:
		return trace.BadParameter("--load must be above 0 and at most 100, not %v", c.load)
	case c.backlogged < 0 || c.backlogged > 1:
		return trace.BadParameter("--backlogged must be between 0 and 1, not %v", c.backlogged)
	case c.seeds < 1 || c.seeds > 10000:
		return trace.BadParameter("--seeds must be between 1 and 10000, not %d", c.seeds)
	}
	return nil
}

func (c *policyCommand) options(seed int64) (bench.Options, error) {
	d, err := bench.DeploymentByName(c.deployment)
	if err != nil {
		return bench.Options{}, trace.Wrap(err)
	}
	faults, err := bench.ParseFaults(c.faults, seed, c.duration)
	if err != nil {
		return bench.Options{}, trace.Wrap(err)
	}
	return bench.Options{
		Deployment: d, Seed: seed, Duration: c.duration, Load: c.load, Backlogged: c.backlogged, Faults: faults,
	}, nil
}

func (c *policyCommand) policyNames() []bench.PolicyName {
	if len(c.policies) == 0 {
		return bench.Policies()
	}
	var list []bench.PolicyName
	for _, p := range c.policies {
		list = append(list, bench.PolicyName(p))
	}
	return list
}

func (c *policyCommand) run() error {
	if err := c.validate(); err != nil {
		return trace.Wrap(err)
	}
	recorder := bench.StartViolationRecorder()
	results, err := c.measure()
	n, violated := recorder.Stop()
	if err != nil {
		return trace.Wrap(err)
	}
	if c.json {
		return c.printJSON(results, n, violated)
	}
	c.printResults(results)
	fmt.Printf("invariant violations: %d\n", n)
	for _, v := range violated {
		fmt.Println("  " + v)
	}
	return nil
}

// measure runs all seeds and policies with limited concurrency. The results are in
// the order of seeds and policies.
func (c *policyCommand) measure() ([][]bench.Result, error) {
	names := c.policyNames()
	results := make([][]bench.Result, c.seeds)
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, max(1, runtime.NumCPU()/3))
	for i := range results {
		o, err := c.options(c.seed + int64(i))
		if err != nil {
			return nil, trace.Wrap(err)
		}
		results[i] = make([]bench.Result, len(names))
		for k, name := range names {
			wg.Add(1)
			semaphore <- struct{}{}
			go func() {
				defer wg.Done()
				results[i][k] = bench.Run(o, name)
				<-semaphore
			}()
		}
	}
	wg.Wait()
	return results, nil
}

func (*policyCommand) printJSON(results [][]bench.Result, n int, violated []string) error {
	enc := json.NewEncoder(os.Stdout)
	for _, seed := range results {
		for _, r := range seed {
			if err := enc.Encode(r); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	return trace.Wrap(enc.Encode(struct {
		Violations int      `json:"invariant_violations"`
		Violated   []string `json:"violated,omitempty"`
	}{n, violated}))
}

func (c *policyCommand) printResults(results [][]bench.Result) {
	o, _ := c.options(c.seed)
	fmt.Printf("deployment %s, seeds %d..%d, %v, load %v, backlogged %v, faults %s\n",
		c.deployment, c.seed, c.seed+int64(c.seeds)-1, c.duration, c.load, c.backlogged, bench.FormatFaults(o.Faults))
	fmt.Printf("%-18s %9s %9s %8s %9s %6s %6s %10s %9s %9s %8s %7s %8s %9s %9s\n",
		"policy", "gap max", "gap p99", "gap s", "gap after", "util", "idle", "units", "wait p95", "light p95", "refused", "retried", "lost", "longest s", "bad")
	for k := range results[0] {
		c.printRow(results, k)
	}
	for k := range results[0] {
		printDetail(results, k)
	}
}

// printRow prints a policy's means over the seeds, its longest wait and the sums of its
// counters. "gap max" is the mean of each seed's largest gap; "bad" is the sum of
// duplicates, false not-run refusals and requests past their deadline.
func (c *policyCommand) printRow(results [][]bench.Result, k int) {
	var mean bench.Result
	worst, refused := 0.0, 0
	n := float64(len(results))
	for _, seed := range results {
		r := seed[k]
		worst = max(worst, r.GapLargest)
		mean.GapLargest += r.GapLargest / n
		mean.GapP99 += r.GapP99 / n
		mean.GapSeconds += r.GapSeconds / n
		mean.GapAfterFaults += r.GapAfterFaults / n
		mean.Utilisation += r.Utilisation / n
		mean.Idle += r.Idle / n
		mean.Units += r.Units / n
		mean.NonFloodP95 += r.NonFloodP95 / n
		mean.LightP95 += r.LightP95 / n
		mean.LongestWaitSeconds = max(mean.LongestWaitSeconds, r.LongestWaitSeconds)
		mean.Retried += r.Retried
		mean.CallersLost += r.CallersLost
		mean.Duplicates += r.Duplicates + r.FalseNotRun + r.PastDeadline
		for _, x := range r.Refused {
			refused += x.Count
		}
	}
	fmt.Printf("%-18s %9.0f %9.0f %8.2f %9.0f %6.3f %6.4f %10.0f %9.3f %9.3f %8d %7d %8d %9.2f %9d\n",
		results[0][k].Policy, mean.GapLargest, mean.GapP99, mean.GapSeconds, mean.GapAfterFaults, mean.Utilisation, mean.Idle, mean.Units,
		mean.NonFloodP95, mean.LightP95, refused, mean.Retried, mean.CallersLost, mean.LongestWaitSeconds, mean.Duplicates)
}

// printDetail prints a policy's classes, traffic and refusals for the first seed.
func printDetail(results [][]bench.Result, k int) {
	r := results[0][k]
	fmt.Printf("\n%s, seed %d\n", r.Policy, r.Seed)
	for _, cl := range r.Classes {
		fmt.Printf("  %-9s %6d started, wait p50 %.3f p95 %.3f p99 %.3f s, first token p50 %.3f p95 %.3f p99 %.3f s\n",
			cl.Class, cl.Count, cl.Wait.P50, cl.Wait.P95, cl.Wait.P99, cl.FirstToken.P50, cl.FirstToken.P95, cl.FirstToken.P99)
	}
	for _, t := range r.Traffic {
		printTraffic(t)
	}
	var parts []string
	for _, x := range r.Refused {
		parts = append(parts, fmt.Sprintf("%s %d", x.Reason, x.Count))
	}
	if len(parts) > 0 {
		fmt.Println("  refused: " + strings.Join(parts, ", "))
	}
}

// printTraffic prints one role's control traffic, in total and by kind of message.
func printTraffic(t bench.Traffic) {
	fmt.Printf("  %-9s control traffic mean %.0f worst %.0f bytes/s:", t.Role, t.Mean, t.Worst)
	for _, k := range t.Kinds {
		fmt.Printf(" %s %.0f", k.Kind, k.Bytes)
	}
	fmt.Println()
}
