package trial

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/state/quorum"
)

// Config sets up a cluster.
type Config struct {
	Size      int // Instances that form the log.
	Spare     int // Instances that can join it.
	Seed      int64
	Delay     time.Duration // One way, between instances.
	Jitter    time.Duration // Added to the delay at random, at most.
	SyncDelay time.Duration
	Quorum    quorum.Config // Self, First and Peers are filled in.
	Segment   int64         // Bytes of a segment of the log store; 0 for its default.
}

// event is something that happens at a virtual time.
type event struct {
	at  time.Duration
	seq uint64
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

// Cluster is a set of instances on virtual time; it is not safe for concurrent use.
type Cluster struct {
	cfg    Config
	rnd    *rand.Rand
	now    time.Duration
	seq    uint64
	events events
	nodes  []*Node
	links  links
	check  *checker

	changedAt time.Duration // When a membership change was last proposed.
}

// New returns a cluster whose instances are all started.
func New(cfg Config) *Cluster {
	c := &Cluster{cfg: cfg, rnd: rand.New(rand.NewSource(cfg.Seed)), check: newChecker()}
	c.links.cut = map[[2]int]bool{}
	var first, all []cleat.InstanceID
	for i := range cfg.Size + cfg.Spare {
		id := cleat.InstanceID(fmt.Sprintf("c%d", i+1))
		all = append(all, id)
		if i < cfg.Size {
			first = append(first, id)
		}
	}
	for i, id := range all {
		c.nodes = append(c.nodes, newNode(c, i, id, first, all))
	}
	for _, n := range c.nodes {
		n.Start()
	}
	return c
}

// Now returns the virtual time since the cluster was made.
func (c *Cluster) Now() time.Duration { return c.now }

// Nodes returns all instances.
func (c *Cluster) Nodes() []*Node { return c.nodes }

// Violations returns what did not hold, in the order it was seen.
func (c *Cluster) Violations() []string { return c.check.violations }

// Run lets virtual time pass.
func (c *Cluster) Run(d time.Duration) {
	end := c.now + d
	for len(c.events) > 0 && c.events[0].at <= end {
		c.step()
	}
	c.now = end
}

// RunUntil lets virtual time pass until done holds, and reports whether it did
// within limit.
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

// Leader returns the started instance that leads with the highest term, or nil.
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

// AwaitLeader lets time pass until a leader can commit, and returns it; nil when
// none can within limit.
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
	c.check.leaders(c)
}

func (c *Cluster) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now + d, seq: c.seq, run: run})
}
