package quorum_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat/stand/trial"
	"marigoldcleat.example/cleat/state/quorum"
)

var _ = Describe("Faults", func() {
	start := func(size, spare int, seed int64) (*trial.Cluster, *trial.Node) {
		GinkgoHelper()
		c := trial.New(trial.SmallConfig(size, spare, seed))
		leader := c.AwaitLeader(5 * time.Second)
		Expect(leader == nil).To(BeFalse())
		return c, leader
	}

	anyOther := func(c *trial.Cluster, excluded ...*trial.Node) *trial.Node {
		for _, n := range c.Nodes() {
			if !containsNode(excluded, n) {
				return n
			}
		}
		return nil
	}

	partitions := map[string]struct{ sends, receives bool }{
		"from the leader":        {true, false},
		"to the leader":          {false, true},
		"from and to the leader": {true, true},
	}
	for name, p := range partitions {
		It("stays available for an hour while messages are silently lost: "+name, func() {
			cfg := trial.SmallConfig(3, 0, 11)
			cfg.Quorum.Heartbeat = 300 * time.Millisecond
			cfg.Quorum.ElectionTimeout = 1200 * time.Millisecond
			cfg.Quorum.TickInterval = 100 * time.Millisecond
			c := trial.New(cfg)
			leader := c.AwaitLeader(5 * time.Second)
			c.Isolate(leader, p.sends, p.receives)
			before := c.Accepted()
			for range 360 {
				leader.Propose()
				leader.ReadBarrier(nil)
				anyOther(c, leader).Propose()
				anyOther(c, leader).ReadBarrier(nil)
				c.Run(10 * time.Second)
			}
			Expect(c.Accepted()-before).To(BeNumerically(">=", 355), "accepted on the side of the majority")
			settle(c)
		})
	}

	It("never has two holders of the order lease while the old leader is isolated", func() {
		c, leader := start(3, 0, 12)
		c.Run(2 * time.Second)
		Expect(leader.Status().Lease).To(BeTrue())
		leader.SetClock(0, 0.98)
		anyOther(c, leader).SetClock(0, 1.02)
		c.Isolate(leader, true, true)
		Expect(c.RunUntil(5*time.Second, func() bool {
			next := c.Leader()
			return next != nil && next != leader && next.Status().Lease
		})).To(BeTrue())
		Expect(leader.Status().Lease).To(BeFalse())
		settle(c)
	})

	clocks := map[string]struct{ old, next time.Duration }{
		"steady clocks":                                    {},
		"the new leader's clock set ahead":                 {next: 2 * time.Second},
		"the old leader's clock set back":                  {old: -2 * time.Second},
		"both clocks set so that the leases would overlap": {old: -time.Hour, next: time.Hour},
	}
	for name, jump := range clocks {
		It("has one lease holder and no stale read while the old leader is isolated from the new one, with "+name, func() {
			c, leader := start(3, 0, 18)
			c.Run(2 * time.Second)
			Expect(leader.Status().Lease).To(BeTrue())
			leader.TransferLeader()
			c.Isolate(leader, true, true)
			Expect(c.RunUntil(100*time.Millisecond, func() bool {
				next := c.Leader()
				return next != nil && next != leader && next.Status().Commit == next.Status().LastIndex
			})).To(BeTrue())
			next := c.Leader()
			proposeOn(c, next, 5, 5*time.Millisecond)
			Expect(c.Accepted()).To(BeNumerically(">=", 4))
			Expect(leader.Status().Role).To(Equal(quorum.RoleLeader), "the old leader has not stepped down yet")
			Expect(leader.Status().Lease).To(BeTrue())
			leader.ReadBarrier(nil)
			leader.SetClock(jump.old, 1)
			next.SetClock(jump.next, 1)
			Expect(next.Status().Lease).To(BeFalse())
			c.Run(5 * time.Second)
			Expect(next.Status().Lease).To(BeTrue())
			settle(c)
		})
	}

	It("loses no accepted command when a second instance is lost right after the first was replaced", func() {
		c, leader := start(3, 0, 13)
		proposeOn(c, leader, 50, 5*time.Millisecond)
		lost := anyOther(c, leader)
		lost.Crash()
		lost.Wipe()
		lost.Start()
		proposeOn(c, leader, 20, 5*time.Millisecond)
		for range 4 {
			c.Run(2 * time.Second)
			c.Repair()
		}
		c.Run(time.Second)
		Expect(leader.Status().Members).To(ConsistOf(HaveField("Learner", false), HaveField("Learner", false), HaveField("Learner", false)))
		second := anyOther(c, leader, lost)
		second.Crash()
		second.Wipe()
		proposeOn(c, lost, 20, 5*time.Millisecond)
		c.Run(time.Second)
		Expect(c.Accepted()).To(Equal(90))
		settle(c)
	})

	It("gives a wiped disk no vote under its old replica identity", func() {
		c, leader := start(3, 0, 14)
		proposeOn(c, leader, 10, 5*time.Millisecond)
		wiped := anyOther(c, leader)
		old := wiped.Status().Replica
		wiped.Crash()
		wiped.Wipe()
		wiped.Start()
		Expect(wiped.Status().Replica).NotTo(Equal(old))
		anyOther(c, leader, wiped).Crash()
		before := c.Accepted()
		leader.Propose()
		c.Run(10 * time.Second)
		Expect(c.Leader() == nil).To(BeTrue(), "the only running voter of three is not a quorum")
		Expect(c.Accepted()).To(Equal(before))
		settle(c)
	})

	It("keeps all commands when all instances restart after a snapshot and further commands", func() {
		c, leader := start(3, 0, 15)
		for range 3 {
			proposeOn(c, leader, 300, time.Millisecond)
			c.Run(time.Second)
			leader.Snapshot()
			proposeOn(c, leader, 7, time.Millisecond)
			c.Run(time.Second)
			for _, n := range c.Nodes() {
				n.Crash()
			}
			for _, n := range c.Nodes() {
				n.Start()
			}
			leader = c.AwaitLeader(5 * time.Second)
		}
		Expect(c.Accepted()).To(Equal(921))
		settle(c)
	})

	It("catches a lagging replica up with a chunked snapshot while messages are lost", func() {
		c, leader := start(3, 0, 16)
		behind := anyOther(c, leader)
		behind.Crash()
		proposeOn(c, leader, 200, time.Millisecond)
		c.Run(time.Second)
		Expect(leader.Status().Snapshot).To(BeNumerically(">", 100))
		c.SetFaults(trial.Faults{Drop: 0.1, Duplicate: 0.1, Reorder: 0.1, ReorderDelay: 50 * time.Millisecond})
		behind.Start()
		Expect(c.RunUntil(time.Minute, func() bool {
			return behind.Status().Applied >= 200
		})).To(BeTrue())
		settle(c)
	})

	It("loses no accepted command when an instance crashes at any of its disk operations", func() {
		for _, size := range []int{1, 3} {
			for victim := range size {
				for at := 1; at <= 60; at++ {
					c, leader := start(size, 0, int64(at))
					node := c.Nodes()[victim]
					node.Disk().CrashAt(at)
					proposeOn(c, leader, 25, 3*time.Millisecond)
					leader.Snapshot()
					proposeOn(c, leader, 10, 3*time.Millisecond)
					c.Run(time.Second)
					node.Start()
					Expect(c.Settle()).To(BeEmpty(), "instances %d, victim %d, operation %d", size, victim, at)
				}
			}
		}
	})

	It("refuses a membership change that could be neither committed nor reverted", func() {
		c, leader := start(3, 0, 19)
		lost := anyOther(c, leader)
		lost.Crash()
		c.Run(2 * time.Second)
		kept := anyOther(c, leader, lost).Status().Replica
		var result error
		leader.ChangeMembers(quorum.MemberChange{Kind: quorum.ChangeRemove, Member: quorum.Member{Replica: kept}}, func(err error) { result = err })
		Expect(result).To(MatchError(ContainSubstring("only 1 of the voters left answer")))
		settle(c)
	})

	It("accepts only one of several concurrent membership changes", func() {
		c, leader := start(5, 1, 17)
		members := leader.Status().Members
		accepted := 0
		for _, m := range members[:3] {
			leader.ChangeMembers(quorum.MemberChange{Kind: quorum.ChangeRemove, Member: m}, func(err error) {
				if err == nil {
					accepted++
				}
			})
		}
		c.Run(time.Second)
		Expect(accepted).To(Equal(1))
		settle(c)
	})
})

func containsNode(list []*trial.Node, n *trial.Node) bool {
	for _, x := range list {
		if x == n {
			return true
		}
	}
	return false
}
