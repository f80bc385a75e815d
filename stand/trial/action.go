package trial

import (
	"math/rand"
	"time"

	"marigoldcleat.example/cleat/state/quorum"
)

// Pick chooses a number from 0 up to but not including n.
type Pick func(n int) int

// Action is one step of a randomised run of a cluster, such as a proposal or a fault.
type Action struct {
	Name string
	Run  func(c *Cluster, pick Pick)
}

var (
	durations  = []time.Duration{time.Millisecond, 5 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second}
	clockJumps = []time.Duration{-time.Hour, -2 * time.Second, -40 * time.Millisecond, 40 * time.Millisecond, 2 * time.Second, time.Hour}
)

const (
	// Clock jumps shorter than smallClockJump may go unnoticed by a replica; leases
	// tolerate one of them within smallClockJumpInterval.
	smallClockJump         = 100 * time.Millisecond
	smallClockJumpInterval = 3 * time.Second
	maxCrashPoint          = 25 // Maximum number of disk operations before a planned crash.
	fullDiskBytes          = 1  // Capacity of a disk without space for a write; 0 means unlimited.
	settleDuration         = 2 * time.Second
	changeQuietPeriod      = 3 * time.Second // After this time no message about a membership change is in flight.
)

// Actions returns all actions, in a fixed order.
func Actions() []Action {
	return []Action{
		{"run", func(c *Cluster, pick Pick) { c.Run(durations[pick(len(durations))]) }},
		{"propose", proposeSeveral},
		{"propose", proposeSeveral},
		{"confirm", func(c *Cluster, pick Pick) { c.pickNode(pick).ReadBarrier(nil) }},
		{"crash", func(c *Cluster, pick Pick) { c.pickNode(pick).Crash() }},
		{"crash later", func(c *Cluster, pick Pick) { c.pickNode(pick).disk.CrashAt(1 + pick(maxCrashPoint)) }},
		{"start", func(c *Cluster, pick Pick) { c.pickNode(pick).Start() }},
		{"start all", func(c *Cluster, _ Pick) { c.startAll() }},
		{"cut", func(c *Cluster, pick Pick) { c.Cut(c.pickNode(pick), c.pickNode(pick)) }},
		{"isolate", isolateNode},
		{"heal", func(c *Cluster, _ Pick) { c.Heal() }},
		{"link faults", changeLinkFaults},
		{"fail syncs", func(c *Cluster, pick Pick) { c.pickNode(pick).disk.FailSyncs(1 + pick(3)) }},
		{"disk full", func(c *Cluster, pick Pick) { c.pickNode(pick).disk.SetCapacity(fullDiskBytes * pick(2)) }},
		{"snapshot", func(c *Cluster, pick Pick) { c.pickNode(pick).Snapshot() }},
		{"hand over", func(c *Cluster, pick Pick) { c.pickNode(pick).TransferLeader() }},
		{"wipe", func(c *Cluster, pick Pick) { c.wipeIfSurvivable(c.pickNode(pick)) }},
		{"repair", func(c *Cluster, _ Pick) { c.Repair() }},
		{"remove", removeMember},
		{"clock", adjustClock},
	}
}

// Settle clears all faults, starts and repairs all instances, lets virtual time
// pass and checks the invariants. It returns all violations.
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
		c.check.fail("leader", "no leader after all faults were cleared")
		return c.Violations()
	}
	c.Run(settleDuration)
	for range 4 * len(c.nodes) {
		if !c.Repair() {
			break
		}
		c.Run(settleDuration)
	}
	c.checkProgress()
	c.CheckAll()
	return c.Violations()
}

// checkProgress checks that each member can propose a command and has applied as
// many log entries as the leader.
func (c *Cluster) checkProgress() {
	for _, n := range c.nodes {
		err := errNoAnswer
		n.ProposeWith(func(e error) { err = e })
		c.RunUntil(5*time.Second, func() bool { return err == nil || !n.isMember() })
		if err != nil && n.isMember() {
			c.check.fail("progress", "%s cannot propose after all faults were cleared: %v", n.id, err)
		}
	}
	c.Run(settleDuration)
	leader := c.Leader()
	for _, n := range c.nodes {
		if n.isMember() && leader != nil && n.Status().Applied != leader.Status().Applied {
			c.check.fail("progress", "%s applied %d, the leader %d", n.id, n.Status().Applied, leader.Status().Applied)
		}
	}
}

// Repair proposes the next membership change that an operator would make: it
// removes replicas whose data is lost, promotes learners (which the leader refuses
// until they have caught up), and adds join candidates, one change at a time. It
// returns false if no change is needed, and true if there is no leader.
func (c *Cluster) Repair() bool {
	leader := c.Leader()
	if leader == nil {
		return true
	}
	status := leader.Status()
	for _, m := range status.Members {
		if c.nodeByID(m.Instance).replicaID != m.Replica {
			leader.ChangeMembers(quorum.MemberChange{Kind: quorum.ChangeRemove, Member: m}, nil)
			return true
		}
	}
	for _, m := range status.Members {
		if m.Learner {
			leader.ChangeMembers(quorum.MemberChange{Kind: quorum.ChangePromote, Member: m}, nil)
			return true
		}
	}
	for _, candidate := range status.JoinCandidates {
		m := quorum.Member{Instance: candidate.Instance, Replica: candidate.Replica}
		if len(status.Members) < c.cfg.Size && !hasInstance(status.Members, m) && c.nodeByID(m.Instance).replicaID == m.Replica {
			leader.ChangeMembers(quorum.MemberChange{Kind: quorum.ChangeAdd, Member: m}, nil)
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

func proposeSeveral(c *Cluster, pick Pick) {
	n := c.pickNode(pick)
	for range 1 + pick(12) {
		n.Propose()
	}
}

func isolateNode(c *Cluster, pick Pick) {
	n := c.pickNode(pick)
	if leader := c.Leader(); leader != nil && pick(2) == 0 {
		n = leader
	}
	direction := pick(3)
	c.Isolate(n, direction != 0, direction != 1)
}

func changeLinkFaults(c *Cluster, pick Pick) {
	probability := float64(pick(4)) / 10
	c.SetFaults(Faults{Drop: probability, Duplicate: probability, Reorder: probability, ReorderDelay: durations[pick(len(durations))]})
}

// removeMember may race with other membership changes, but like an operator it
// removes no member while the data of another is lost.
func removeMember(c *Cluster, pick Pick) {
	n := c.pickNode(pick)
	if !n.Up() {
		return
	}
	members := n.Status().Members
	if len(members) == 0 || c.anyDataLost(members) {
		return
	}
	m := members[pick(len(members))]
	n.ChangeMembers(quorum.MemberChange{Kind: quorum.ChangeRemove, Member: m}, nil)
}

func adjustClock(c *Cluster, pick Pick) {
	n := c.pickNode(pick)
	jump := clockJumps[pick(len(clockJumps))]
	if jump.Abs() < smallClockJump {
		if c.now-n.smallJumpAt < smallClockJumpInterval {
			return
		}
		n.smallJumpAt = c.now
	}
	drift := n.cfg.MaxClockDrift * float64(pick(3)-1)
	n.SetClock(jump, 1+drift)
}

// wipeIfSurvivable wipes the disk of an instance if the log must survive the loss:
// all others are up, no membership change is pending and the remaining voters form
// a quorum. A pending change, even one known only to the wiped instance and a
// message in flight, may reduce the voters so that the loss costs the quorum.
func (c *Cluster) wipeIfSurvivable(n *Node) {
	if c.now-c.changeProposedAt < changeQuietPeriod {
		return
	}
	for _, other := range c.nodes {
		if other != n && !other.Up() || other.hasPendingChange() {
			return
		}
	}
	latest := c.mostCommitted()
	if latest == nil {
		return
	}
	members := latest.Status().Members
	voters, remaining := 0, 0
	for _, m := range members {
		if m.Learner {
			continue
		}
		voters++
		if m.Instance != n.id && c.nodeByID(m.Instance).replicaID == m.Replica {
			remaining++
		}
	}
	if remaining < voters/2+1 {
		return
	}
	n.Crash()
	n.Wipe()
}

// mostCommitted returns the running instance with the highest commit index, or nil.
func (c *Cluster) mostCommitted() *Node {
	var best *Node
	for _, n := range c.nodes {
		if n.Up() && (best == nil || n.Status().Commit > best.Status().Commit) {
			best = n
		}
	}
	return best
}

func (c *Cluster) anyDataLost(members []quorum.Member) bool {
	for _, m := range members {
		if c.nodeByID(m.Instance).replicaID != m.Replica {
			return true
		}
	}
	return false
}

func (n *Node) hasPendingChange() bool {
	if n.Up() {
		return n.Status().ChangePending
	}
	return n.changePending
}

func (n *Node) isMember() bool {
	leader := n.cluster.Leader()
	if leader == nil || !n.Up() {
		return false
	}
	for _, m := range leader.Status().Members {
		if m.Replica == n.replicaID {
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

// randomSoakActions bounds the random number of actions that Soak adds to its
// minimum of 10.
const randomSoakActions = 150

// Soak runs a cluster under random faults, all of which follow from the seed,
// and returns the violations.
func Soak(seed int64) []string {
	rnd := rand.New(rand.NewSource(seed))
	c := New(SmallConfig(1+2*rnd.Intn(4), rnd.Intn(2), rnd.Int63()))
	actions := Actions()
	for range 10 + rnd.Intn(randomSoakActions) {
		actions[rnd.Intn(len(actions))].Run(c, rnd.Intn)
	}
	return c.Settle()
}

// SmallConfig returns a configuration whose snapshot interval, segments and chunks are
// small enough that a short run goes through many of them.
func SmallConfig(size, spare int, seed int64) Config {
	return Config{
		Size:         size,
		Spare:        spare,
		Seed:         seed,
		Delay:        500 * time.Microsecond,
		Jitter:       500 * time.Microsecond,
		SyncDelay:    2 * time.Millisecond,
		SegmentBytes: 2000,
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
