package trial

import (
	"math/rand"
	"time"

	"marigoldcleat.example/cleat/state/quorum"
)

// Pick chooses a number from 0 up to but not including n.
type Pick func(n int) int

// Action is something that happens to a cluster in a randomised run.
type Action struct {
	Name string
	Run  func(c *Cluster, pick Pick)
}

var (
	spans = []time.Duration{time.Millisecond, 5 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second}
	jumps = []time.Duration{-time.Hour, -2 * time.Second, -40 * time.Millisecond, 40 * time.Millisecond, 2 * time.Second, time.Hour}
)

const (
	// smallJump is one that a replica may not notice; a single one within
	// smallJumpEvery is what leases allow for.
	smallJump      = 100 * time.Millisecond
	smallJumpEvery = 3 * time.Second
	crashPoints    = 25
	fullDisk       = 1
	settleTime     = 2 * time.Second
	changeTime     = 3 * time.Second // After which no message of a change is on its way.
)

// Actions returns what may happen, in a fixed order.
func Actions() []Action {
	return []Action{
		{"run", func(c *Cluster, pick Pick) { c.Run(spans[pick(len(spans))]) }},
		{"propose", propose},
		{"propose", propose},
		{"confirm", func(c *Cluster, pick Pick) { c.pickNode(pick).ReadBarrier(nil) }},
		{"crash", func(c *Cluster, pick Pick) { c.pickNode(pick).Crash() }},
		{"crash later", func(c *Cluster, pick Pick) { c.pickNode(pick).disk.CrashAt(1 + pick(crashPoints)) }},
		{"start", func(c *Cluster, pick Pick) { c.pickNode(pick).Start() }},
		{"start all", func(c *Cluster, _ Pick) { c.startAll() }},
		{"cut", func(c *Cluster, pick Pick) { c.Cut(c.pickNode(pick), c.pickNode(pick)) }},
		{"isolate", isolate},
		{"heal", func(c *Cluster, _ Pick) { c.Heal() }},
		{"link faults", linkFaults},
		{"fail syncs", func(c *Cluster, pick Pick) { c.pickNode(pick).disk.FailSyncs(1 + pick(3)) }},
		{"disk full", func(c *Cluster, pick Pick) { c.pickNode(pick).disk.SetCapacity(fullDisk * pick(2)) }},
		{"snapshot", func(c *Cluster, pick Pick) { c.pickNode(pick).Snapshot() }},
		{"hand over", func(c *Cluster, pick Pick) { c.pickNode(pick).HandOver() }},
		{"wipe", func(c *Cluster, pick Pick) { c.wipe(c.pickNode(pick)) }},
		{"repair", func(c *Cluster, _ Pick) { c.Repair() }},
		{"remove", remove},
		{"clock", clock},
	}
}

// Settle takes all faults back, starts and repairs all, lets time pass and
// checks what must hold. It returns what did not.
func (c *Cluster) Settle() []string {
	c.Heal()
	c.SetFaults(Faults{})
	for _, n := range c.nodes {
		n.disk.SetCapacity(0)
		n.disk.FailSyncs(0)
		n.disk.CrashAt(0)
		n.SetClock(0, 1)
	}
	c.startAll()
	if c.AwaitLeader(time.Minute) == nil {
		c.check.fail("leader", "none after all faults were taken back")
		return c.Violations()
	}
	c.Run(settleTime)
	for range 4 * len(c.nodes) {
		if !c.Repair() {
			break
		}
		c.Run(settleTime)
	}
	c.checkProgress()
	c.CheckAll()
	return c.Violations()
}

// checkProgress expects that commands and reads work on all members.
func (c *Cluster) checkProgress() {
	for _, n := range c.nodes {
		err := errUnanswered
		n.ProposeWith(func(e error) { err = e })
		c.RunUntil(5*time.Second, func() bool { return err == nil || !n.isMember() })
		if err != nil && n.isMember() {
			c.check.fail("progress", "%s can't propose after all faults were taken back: %v", n.id, err)
		}
	}
	c.Run(settleTime)
	leader := c.Leader()
	for _, n := range c.nodes {
		if n.isMember() && leader != nil && n.Status().Applied != leader.Status().Applied {
			c.check.fail("progress", "%s applied %d, the leader %d", n.id, n.Status().Applied, leader.Status().Applied)
		}
	}
}

// Repair does what an operator would: it removes replicas whose data is lost,
// adds those that announce themselves, and promotes learners that caught up, one
// change at a time. It reports whether there was anything to do.
func (c *Cluster) Repair() bool {
	leader := c.Leader()
	if leader == nil {
		return true
	}
	status := leader.Status()
	for _, m := range status.Members {
		if c.node(m.Instance).identity != m.Replica {
			leader.Change(quorum.MemberChange{Kind: quorum.ChangeRemove, Member: m}, nil)
			return true
		}
	}
	for _, m := range status.Members {
		if m.Learner {
			leader.Change(quorum.MemberChange{Kind: quorum.ChangePromote, Member: m}, nil)
			return true
		}
	}
	for _, candidate := range status.JoinCandidates {
		m := quorum.Member{Instance: candidate.Instance, Replica: candidate.Replica}
		if len(status.Members) < c.cfg.Size && !hasInstance(status.Members, m) && c.node(m.Instance).identity == m.Replica {
			leader.Change(quorum.MemberChange{Kind: quorum.ChangeAdd, Member: m}, nil)
			return true
		}
	}
	return false
}

func hasInstance(members []quorum.Member, m quorum.Member) bool {
	for _, other := range members {
		if other.Instance == m.Instance {
			return true
		}
	}
	return false
}

func propose(c *Cluster, pick Pick) {
	n := c.pickNode(pick)
	for range 1 + pick(12) {
		n.Propose()
	}
}

func isolate(c *Cluster, pick Pick) {
	n := c.pickNode(pick)
	if leader := c.Leader(); leader != nil && pick(2) == 0 {
		n = leader
	}
	way := pick(3)
	c.Isolate(n, way != 0, way != 1)
}

func linkFaults(c *Cluster, pick Pick) {
	share := float64(pick(4)) / 10
	c.SetFaults(Faults{Drop: share, Double: share, Late: share, LateBy: spans[pick(len(spans))]})
}

// remove races with other membership changes, but as an operator would it
// leaves the others alone while a replica is lost.
func remove(c *Cluster, pick Pick) {
	n := c.pickNode(pick)
	if !n.Up() {
		return
	}
	members := n.Status().Members
	if len(members) == 0 || c.anyLost(members) {
		return
	}
	m := members[pick(len(members))]
	n.Change(quorum.MemberChange{Kind: quorum.ChangeRemove, Member: m}, nil)
}

func clock(c *Cluster, pick Pick) {
	n := c.pickNode(pick)
	jump := jumps[pick(len(jumps))]
	if jump.Abs() < smallJump {
		if c.now-n.smallAt < smallJumpEvery {
			return
		}
		n.smallAt = c.now
	}
	drift := n.cfg.MaxClockDrift * float64(pick(3)-1)
	n.SetClock(jump, 1+drift)
}

// wipe loses the data of an instance if the fleet is to survive that: all others
// are up, no membership change is under way and the voters left make a quorum.
// A change under way, even one that only the lost instance and a message know
// of, may leave a smaller list, for which the loss is one too many.
func (c *Cluster) wipe(n *Node) {
	if c.now-c.changedAt < changeTime {
		return
	}
	for _, other := range c.nodes {
		if other != n && !other.Up() || other.isChanging() {
			return
		}
	}
	latest := c.latest()
	if latest == nil {
		return
	}
	members := latest.Status().Members
	voters, intact := 0, 0
	for _, m := range members {
		if m.Learner {
			continue
		}
		voters++
		if m.Instance != n.id && c.node(m.Instance).identity == m.Replica {
			intact++
		}
	}
	if intact < voters/2+1 {
		return
	}
	n.Crash()
	n.Wipe()
}

// latest returns the instance that knows of the most committed entries.
func (c *Cluster) latest() *Node {
	var best *Node
	for _, n := range c.nodes {
		if n.Up() && (best == nil || n.Status().Commit > best.Status().Commit) {
			best = n
		}
	}
	return best
}

func (c *Cluster) anyLost(members []quorum.Member) bool {
	for _, m := range members {
		if c.node(m.Instance).identity != m.Replica {
			return true
		}
	}
	return false
}

func (n *Node) isChanging() bool {
	if n.Up() {
		return n.Status().ChangePending
	}
	return n.changing
}

func (n *Node) isMember() bool {
	leader := n.cluster.Leader()
	if leader == nil || !n.Up() {
		return false
	}
	for _, m := range leader.Status().Members {
		if m.Replica == n.identity {
			return true
		}
	}
	return false
}

func (c *Cluster) startAll() {
	for _, n := range c.nodes {
		n.Start()
	}
}

func (c *Cluster) pickNode(pick Pick) *Node {
	return c.nodes[pick(len(c.nodes))]
}

// soakSteps bounds the actions of one run.
const soakSteps = 150

// Soak runs a cluster under random faults, all of which follow from the seed,
// and returns what did not hold.
func Soak(seed int64) []string {
	rnd := rand.New(rand.NewSource(seed))
	c := New(Small(1+2*rnd.Intn(4), rnd.Intn(2), rnd.Int63()))
	actions := Actions()
	for range 10 + rnd.Intn(soakSteps) {
		actions[rnd.Intn(len(actions))].Run(c, rnd.Intn)
	}
	return c.Settle()
}

// Small returns a configuration whose snapshots, segments and chunks are so
// small that a short run meets many.
func Small(size, spare int, seed int64) Config {
	return Config{
		Size:      size,
		Spare:     spare,
		Seed:      seed,
		Delay:     500 * time.Microsecond,
		Jitter:    500 * time.Microsecond,
		SyncDelay: 2 * time.Millisecond,
		Segment:   2000,
		Quorum: quorum.Config{
			SnapshotEntries:    40,
			TrailingEntries:    8,
			SnapshotChunkBytes: 100,
			MaxAppendBytes:     400,
			MaxInflightEntries: 16,
			ProposeTimeout:     2 * time.Second,
		},
	}
}
