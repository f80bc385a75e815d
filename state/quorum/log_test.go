package quorum_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat/stand/trial"
	"marigoldcleat.example/cleat/state/quorum"
)

var _ = Describe("A replicated log", func() {
	for _, size := range []int{1, 3, 5, 7} {
		It("accepts commands on every instance; number of instances: "+string(rune('0'+size)), func() {
			c := trial.New(trial.SmallConfig(size, 0, int64(size)))
			Expect(c.AwaitLeader(5*time.Second) == nil).To(BeFalse())
			for _, n := range c.Nodes() {
				proposeOn(c, n, 30, 10*time.Millisecond)
				n.ReadBarrier(nil)
			}
			c.Run(time.Second)
			Expect(c.Accepted()).To(Equal(30 * size))
			settle(c)
		})
	}

	It("forms no log while one of the first instances is missing", func() {
		c := trial.New(trial.SmallConfig(3, 0, 1))
		first, last := c.Nodes()[0], c.Nodes()[2]
		first.Crash()
		last.Crash()
		c.Run(5 * time.Second)
		first.Start()
		c.Run(5 * time.Second)
		Expect(first.Status().Term).To(BeZero())
		last.Start()
		Expect(c.AwaitLeader(5*time.Second) == nil).To(BeFalse())
		settle(c)
	})

	It("forms a log even if a clock was set back before", func() {
		c := trial.New(trial.SmallConfig(3, 0, 1))
		c.Nodes()[1].SetClock(-time.Hour, 1)
		c.Nodes()[0].Crash()
		c.Run(time.Second)
		c.Nodes()[0].Start()
		Expect(c.AwaitLeader(5*time.Second) == nil).To(BeFalse())
		settle(c)
	})

	// Only the removed leader can win the next election: it alone has the entry that
	// removes it, so its log is the longest and it does not vote for another replica.
	// Found with soak seed 997800293.
	It("recovers when a leader that removes itself is isolated before the others receive the change", func() {
		c := trial.New(trial.SmallConfig(2, 0, 3))
		leader := c.AwaitLeader(5 * time.Second)
		c.Run(time.Second)
		c.Isolate(leader, true, true)
		leader.ChangeMembers(quorum.MemberChange{Kind: quorum.ChangeRemove, Member: quorum.Member{Replica: leader.Status().Replica}}, nil)
		c.Run(5 * time.Second)
		Expect(leader.Status().Members).To(HaveLen(1))
		settle(c)
	})

	It("transfers leadership without waiting for an election timeout", func() {
		c := trial.New(trial.SmallConfig(3, 0, 2))
		leader := c.AwaitLeader(5 * time.Second)
		leader.TransferLeader()
		Expect(c.RunUntil(50*time.Millisecond, func() bool {
			next := c.Leader()
			return next != nil && next != leader
		})).To(BeTrue())
		settle(c)
	})
})
