package main

import (
	"cmp"
	"fmt"
	"math/rand"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat/cmd/gauge/bench"
	"marigoldcleat.example/cleat/stand/trial"
	"marigoldcleat.example/cleat/state/quorum"
)

const usageState = `Measures the replicated control state: commit time, time without a leader, and
traffic between the instances on virtual time; recovery, log size, memory of a
claim and bytes of a change to a node with the real code.

Examples:

  gauge state
  gauge state --seed 7 --instances 5 --sync 5ms
`

const (
	commits       = 500
	loadedCommits = 2000
	loadedRate    = 200 // Proposals a second.
	losses        = 100
	idleTime      = time.Minute
	leaderTimeout = 30 * time.Second
	steadyTime    = 2 * time.Second
	changeGap     = 20 * time.Millisecond
	gapSpread     = 7 // Prime, so that proposals meet heartbeats at all phases.
)

// stateDelays is the delay one way between failure domains of each deployment.
var stateDelays = []struct {
	deployment string
	delay      time.Duration
}{
	{"pastor-andino", 500 * time.Microsecond},
	{"lade", 1500 * time.Microsecond},
}

// stateCommand holds the flags of gauge state.
type stateCommand struct {
	seed      int64
	instances int
	sync      time.Duration
}

func registerState(app *kingpin.Application) {
	c := &stateCommand{}
	cmd := app.Command("state", usageState).Action(func(*kingpin.ParseContext) error { return c.run() })
	cmd.Flag("seed", "Seed.").Default("1").Int64Var(&c.seed)
	cmd.Flag("instances", "Control instances, each in its own failure domain.").Default("3").IntVar(&c.instances)
	cmd.Flag("sync", "Time that a disk takes to sync.").Default("2ms").DurationVar(&c.sync)
}

func (c *stateCommand) run() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "seed %d, %d instances, sync %s, virtual time\n", c.seed, c.instances, c.sync)
	fmt.Fprintln(w, "deployment\tround trip + sync\tcommit p50\tp99\tratio p50\tp99\tat 200/s p50\tp99\tat a follower p50\tno leader p50\tmax\tidle B/s")
	for _, d := range stateDelays {
		if err := c.deployment(w, d.deployment, d.delay); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := showRecovery(w); err != nil {
		return trace.Wrap(err)
	}
	if err := showChange(w); err != nil {
		return trace.Wrap(err)
	}
	showClaims(w)
	return trace.Wrap(w.Flush())
}

func (c *stateCommand) deployment(w *tabwriter.Writer, name string, delay time.Duration) error {
	leader, err := c.commitTimes(delay, false)
	if err != nil {
		return trace.Wrap(err)
	}
	loaded, err := c.loadedTimes(delay)
	if err != nil {
		return trace.Wrap(err)
	}
	follower, err := c.commitTimes(delay, true)
	if err != nil {
		return trace.Wrap(err)
	}
	without, err := c.leaderlessTimes(delay)
	if err != nil {
		return trace.Wrap(err)
	}
	idle, err := c.idleTraffic(delay)
	if err != nil {
		return trace.Wrap(err)
	}
	least := 2*delay + c.sync
	p50, p99 := quantile(leader, 0.5), quantile(leader, 0.99)
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%s\t%s\t%s\t%.0f\n", name, least, p50, p99,
		ratio(p50, least), ratio(p99, least), ratio(quantile(loaded, 0.5), least), ratio(quantile(loaded, 0.99), least), quantile(follower, 0.5),
		quantile(without, 0.5).Round(time.Millisecond), slices.Max(without).Round(time.Millisecond), idle)
	return nil
}

func (c *stateCommand) cluster(delay time.Duration, seed int64) (*trial.Cluster, *trial.Node, error) {
	cl := trial.New(trial.Config{
		Size: c.instances, Seed: seed, Delay: delay, SyncDelay: c.sync,
		Quorum: quorum.Config{ProposeTimeout: time.Second},
	})
	leader := cl.AwaitLeader(leaderTimeout)
	if leader == nil {
		return nil, nil, trace.CompareFailed("seed %d: no leader within %s", seed, leaderTimeout)
	}
	cl.Run(steadyTime)
	return cl, leader, nil
}

// commitTimes measures single proposals, at the leader or at a follower.
func (c *stateCommand) commitTimes(delay time.Duration, follower bool) ([]time.Duration, error) {
	cl, node, err := c.cluster(delay, c.seed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if follower {
		node = another(cl, node)
	}
	var times []time.Duration
	for i := range commits {
		took, err := commitTime(cl, node)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		times = append(times, took)
		cl.Run(changeGap + time.Duration(i%gapSpread)*time.Millisecond)
	}
	return times, nil
}

// loadedTimes measures proposals at the leader that come at random, loadedRate
// of them a second.
func (c *stateCommand) loadedTimes(delay time.Duration) ([]time.Duration, error) {
	cl, leader, err := c.cluster(delay, c.seed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	rnd := rand.New(rand.NewSource(c.seed))
	var times []time.Duration
	var failed error
	for range loadedCommits {
		start := cl.Now()
		leader.ProposeWith(func(err error) {
			failed = cmp.Or(failed, err)
			times = append(times, cl.Now()-start)
		})
		cl.Run(time.Duration(rnd.ExpFloat64() / loadedRate * float64(time.Second)))
	}
	cl.Run(steadyTime)
	return times, trace.Wrap(failed)
}

func commitTime(cl *trial.Cluster, node *trial.Node) (time.Duration, error) {
	start := cl.Now()
	var result error
	done := false
	node.ProposeWith(func(err error) {
		result = err
		done = true
	})
	cl.RunUntil(leaderTimeout, func() bool { return done })
	return cl.Now() - start, trace.Wrap(result)
}

// leaderlessTimes measures from the crash of the leader until another replica
// has committed an entry of its own term.
func (c *stateCommand) leaderlessTimes(delay time.Duration) ([]time.Duration, error) {
	var times []time.Duration
	for i := range int64(losses) {
		cl, leader, err := c.cluster(delay, c.seed+i)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		cl.Run(time.Duration(i) * time.Millisecond)
		leader.Crash()
		start := cl.Now()
		if cl.AwaitLeader(leaderTimeout) == nil {
			return nil, trace.CompareFailed("seed %d: no leader within %s after the loss", c.seed+i, leaderTimeout)
		}
		times = append(times, cl.Now()-start)
	}
	return times, nil
}

// idleTraffic returns the bytes a second that all instances send each other
// when nothing is proposed.
func (c *stateCommand) idleTraffic(delay time.Duration) (float64, error) {
	cl, _, err := c.cluster(delay, c.seed)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	_, before := cl.Sent()
	cl.Run(idleTime)
	_, after := cl.Sent()
	return float64(after-before) / idleTime.Seconds(), nil
}

// soakState lets random faults happen to replicas of the log; the number of
// instances follows from the seed.
func soakState(seed int64) error {
	watch := bench.NewWatch()
	violations := trial.Soak(seed)
	n, violated := watch.Stop()
	if n > 0 || len(violations) > 0 {
		return trace.CompareFailed("state seed %d: invariants %v, promises %v", seed, violated, violations)
	}
	return nil
}

func another(cl *trial.Cluster, not *trial.Node) *trial.Node {
	for _, n := range cl.Nodes() {
		if n != not {
			return n
		}
	}
	return not
}

func quantile(times []time.Duration, q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[int(q*float64(len(sorted)-1))]
}

func ratio(a, b time.Duration) float64 {
	return float64(a) / float64(b)
}
