package trial

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/state/quorum"
)

// Config configures a cluster.
type Config struct {
	Size         int // Initial members of the log.
	Spare        int // Further instances, which can join the log.
	Seed         int64
	Delay        time.Duration // One-way delay between instances.
	Jitter       time.Duration // Upper bound of the random time added to Delay.
	SyncDelay    time.Duration // Time that a write with its sync takes.
	Quorum       quorum.Config // Self, InitialInstances and Peers are filled in.
	SegmentBytes int64         // Segment size of the log store; 0 for its default.
}

// event is a function to run at a virtual time.
type event struct {
	at  time.Duration
	seq uint64 // Order of scheduling, for events at the same time.
	run func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// Cluster runs instances on virtual time; it is not safe for concurrent use.
type Cluster struct {
	cfg    Config
	rnd    *rand.Rand
	now    time.Duration
	seq    uint64
	events events
	nodes  []*Node
	links  links
	check  *checker

	changeProposedAt time.Duration // Virtual time when a membership change was last proposed.
}

// New returns a cluster and starts all its instances.
func New(cfg Config) *Cluster {
	c := &Cluster{cfg: cfg, rnd: rand.New(rand.NewSource(cfg.Seed)), check: newChecker()}
	c.links.cut = map[[2]int]bool{}
	var initial, all []cleat.InstanceID
	for i := range cfg.Size + cfg.Spare {
		id := cleat.InstanceID(fmt.Sprintf("c%d", i+1))
		all = append(all, id)
		if i < cfg.Size {
			initial = append(initial, id)
		}
	}
	for i, id := range all {
		c.nodes = append(c.nodes, newNode(c, i, id, initial, all))
	}
	for _, n := range c.nodes {
		n.Start()
	}
	return c
}

// Now returns the virtual time since the cluster was created.
func (c *Cluster) Now() time.Duration { return c.now }

// Nodes returns all instances.
func (c *Cluster) Nodes() []*Node { return c.nodes }

// Violations returns the invariants that were violated, in the order of detection.
func (c *Cluster) Violations() []string { return c.check.violations }

// Run advances virtual time by d and runs the events that fall due.
func (c *Cluster) Run(d time.Duration) {
	end := c.now + d
	for len(c.events) > 0 && c.events[0].at <= end {
		c.step()
	}
	c.now = end
}

// RunUntil advances virtual time until done returns true, for at most limit, and
// returns whether it did.
func (c *Cluster) RunUntil(limit time.Duration, done func() bool) bool {
	end := c.now + limit
	for !done() {
		if len(c.events) == 0 || c.events[0].at > end {
			c.now = end
			return done()
		}
		c.step()
	}
	return true
}

// Leader returns the running leader with the highest term, or nil.
func (c *Cluster) Leader() *Node {
	var leader *Node
	for _, n := range c.nodes {
		if n.replica == nil || n.Status().Role != quorum.RoleLeader {
			continue
		}
		if leader == nil || n.Status().Term > leader.Status().Term {
			leader = n
		}
	}
	return leader
}

// AwaitLeader advances virtual time until a leader has committed its whole log, and
// returns it. When limit passes first, it returns the current leader or nil.
func (c *Cluster) AwaitLeader(limit time.Duration) *Node {
	var leader *Node
	c.RunUntil(limit, func() bool {
		leader = c.Leader()
		return leader != nil && leader.Status().Commit == leader.Status().LastIndex
	})
	return leader
}

func (c *Cluster) step() {
	e := heap.Pop(&c.events).(event)
	c.now = e.at
	e.run()
	c.check.checkLeaders(c)
}

func (c *Cluster) schedule(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now + d, seq: c.seq, run: run})
}
