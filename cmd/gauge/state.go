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

const usageState = `Measures the replicated control state. On virtual time: commit time, time
without a leader, and idle traffic between the instances. On real time: recovery.
Also log size, memory for each claim, and bytes that a change sends to each node.

Examples:

  gauge state
  gauge state --seed 7 --instances 5 --sync 5ms
`

const (
	singleCommits          = 500
	loadedCommits          = 2000
	loadedCommitsPerSecond = 200
	leaderCrashes          = 100
	idleDuration           = time.Minute
	leaderTimeout          = 30 * time.Second
	settleDuration         = 2 * time.Second // For a new leader to settle, and for the last proposals to commit.
	proposalInterval       = 20 * time.Millisecond
	proposalJitterSteps    = 7 // Steps of 1 ms; prime, so that proposals fall into all phases of the heartbeat interval.
)

// stateDelays holds the one-way delay between failure domains of each deployment.
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
		if err := c.printDeployment(w, d.deployment, d.delay); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := printRecovery(w); err != nil {
		return trace.Wrap(err)
	}
	if err := printChangeSize(w); err != nil {
		return trace.Wrap(err)
	}
	printClaimMemory(w)
	return trace.Wrap(w.Flush())
}

func (c *stateCommand) printDeployment(w *tabwriter.Writer, name string, delay time.Duration) error {
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
	leaderless, err := c.leaderlessTimes(delay)
	if err != nil {
		return trace.Wrap(err)
	}
	idle, err := c.idleTraffic(delay)
	if err != nil {
		return trace.Wrap(err)
	}
	minimum := 2*delay + c.sync
	p50, p99 := quantile(leader, 0.5), quantile(leader, 0.99)
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%s\t%s\t%s\t%.0f\n", name, minimum, p50, p99,
		ratio(p50, minimum), ratio(p99, minimum), ratio(quantile(loaded, 0.5), minimum), ratio(quantile(loaded, 0.99), minimum), quantile(follower, 0.5),
		quantile(leaderless, 0.5).Round(time.Millisecond), slices.Max(leaderless).Round(time.Millisecond), idle)
	return nil
}

func (c *stateCommand) startCluster(delay time.Duration, seed int64) (*trial.Cluster, *trial.Node, error) {
	cl := trial.New(trial.Config{
		Size: c.instances, Seed: seed, Delay: delay, SyncDelay: c.sync,
		Quorum: quorum.Config{ProposeTimeout: time.Second},
	})
	leader := cl.AwaitLeader(leaderTimeout)
	if leader == nil {
		return nil, nil, trace.CompareFailed("seed %d: no leader within %s", seed, leaderTimeout)
	}
	cl.Run(settleDuration)
	return cl, leader, nil
}

// commitTimes measures the commit time of proposals made one at a time, at the leader
// or at a follower.
func (c *stateCommand) commitTimes(delay time.Duration, follower bool) ([]time.Duration, error) {
	cl, node, err := c.startCluster(delay, c.seed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if follower {
		node = otherNode(cl, node)
	}
	var times []time.Duration
	for i := range singleCommits {
		took, err := commitTime(cl, node)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		times = append(times, took)
		cl.Run(proposalInterval + time.Duration(i%proposalJitterSteps)*time.Millisecond)
	}
	return times, nil
}

// loadedTimes measures the commit time of proposals at the leader with Poisson
// arrivals at loadedCommitsPerSecond.
func (c *stateCommand) loadedTimes(delay time.Duration) ([]time.Duration, error) {
	cl, leader, err := c.startCluster(delay, c.seed)
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
		cl.Run(time.Duration(rnd.ExpFloat64() / loadedCommitsPerSecond * float64(time.Second)))
	}
	cl.Run(settleDuration)
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

// leaderlessTimes measures the time from a crash of the leader until another replica
// has committed an entry of its own term.
func (c *stateCommand) leaderlessTimes(delay time.Duration) ([]time.Duration, error) {
	var times []time.Duration
	for i := range int64(leaderCrashes) {
		cl, leader, err := c.startCluster(delay, c.seed+i)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		cl.Run(time.Duration(i) * time.Millisecond)
		leader.Crash()
		start := cl.Now()
		if cl.AwaitLeader(leaderTimeout) == nil {
			return nil, trace.CompareFailed("seed %d: no leader within %s after the crash", c.seed+i, leaderTimeout)
		}
		times = append(times, cl.Now()-start)
	}
	return times, nil
}

// idleTraffic returns the bytes per second that all instances together send each
// other while nothing is proposed.
func (c *stateCommand) idleTraffic(delay time.Duration) (float64, error) {
	cl, _, err := c.startCluster(delay, c.seed)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	_, before := cl.Sent()
	cl.Run(idleDuration)
	_, after := cl.Sent()
	return float64(after-before) / idleDuration.Seconds(), nil
}

// soakState runs replicas of the log under random faults. The seed determines the
// number of replicas and the faults.
func soakState(seed int64) error {
	recorder := bench.StartViolationRecorder()
	violations := trial.Soak(seed)
	n, violated := recorder.Stop()
	if n > 0 || len(violations) > 0 {
		return trace.CompareFailed("state seed %d: invariant violations %v, broken guarantees %v", seed, violated, violations)
	}
	return nil
}

func otherNode(cl *trial.Cluster, exclude *trial.Node) *trial.Node {
	for _, n := range cl.Nodes() {
		if n != exclude {
			return n
		}
	}
	return exclude
}

func quantile(times []time.Duration, q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[int(q*float64(len(sorted)-1))]
}

func ratio(a, b time.Duration) float64 {
	return float64(a) / float64(b)
}
