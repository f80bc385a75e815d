package ctrl_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/role/ctrl"
	"marigoldcleat.example/cleat/stand/trial"
	"marigoldcleat.example/cleat/state/quorum"
)

// memberStepTimeout is that of Role.applyMemberStep.
const memberStepTimeout = 4 * time.Second

// autopilot makes the changes that the leader plans, on virtual time.
type autopilot struct {
	*trial.Cluster
	tolerated int
	pending   int           // Changes without an outcome.
	changedAt time.Duration // When the last one was proposed.
}

// runFor lets time pass; the leader plans every ctrl.DefaultAutopilotInterval, and one
// command is proposed at the leader in each round.
func (a *autopilot) runFor(d time.Duration) {
	for end := a.Now() + d; a.Now() < end; a.Run(ctrl.DefaultAutopilotInterval) {
		leader := a.Leader()
		if leader == nil {
			continue
		}
		leader.Propose()
		if a.Now()-a.changedAt > memberStepTimeout {
			a.pending = 0 // Its leader is lost.
		}
		if s := leader.Status(); a.pending == 0 && !s.ChangePending {
			a.change(leader, &s)
		}
	}
}

// change proposes the next step of the planned change, as Role.changeReplicas does.
func (a *autopilot) change(leader *trial.Node, s *quorum.Status) {
	action, instance := ctrl.PlanMembers(s, ctrl.DefaultReplicaLostAfter, a.tolerated)
	propose := func(kind quorum.ChangeKind, m quorum.Member) {
		a.pending, a.changedAt = 1, a.Now()
		leader.ChangeMembers(quorum.MemberChange{Kind: kind, Member: m}, func(error) { a.pending = 0 })
	}
	// The learner of an instance may be one that has lost its data; then it is removed first.
	var old, learner *quorum.Member
	for i, m := range s.Members {
		if m.Instance != instance {
			continue
		}
		if m.Learner {
			learner = &s.Members[i]
		} else {
			old = &s.Members[i]
		}
	}
	switch {
	case action == "":
	case action == cleat.ReplicaRemove && old != nil:
		propose(quorum.ChangeRemove, *old)
	case action == cleat.ReplicaRemove:
		propose(quorum.ChangeRemove, *learner)
	case learner == nil:
		for _, c := range s.JoinCandidates {
			if c.Instance == instance {
				propose(quorum.ChangeAdd, quorum.Member{Instance: c.Instance, Replica: c.Replica})
			}
		}
	case old != nil:
		propose(quorum.ChangeRemove, *old)
	default:
		propose(quorum.ChangePromote, *learner) // Refused until it has caught up.
	}
}

// voters returns the instances that vote, as the leader knows them.
func (a *autopilot) voters() []cleat.InstanceID {
	var list []cleat.InstanceID
	for _, m := range a.Leader().Status().Members {
		if !m.Learner {
			list = append(list, m.Instance)
		}
	}
	slices.Sort(list)
	return list
}

// lose ends an instance for good, with its disk.
func lose(n *trial.Node) {
	n.Crash()
	n.Wipe()
}

var _ = Describe("The replacement of a control instance by another one", func() {
	sizes := map[string]struct{ size, tolerated int }{"one of three": {3, 1}, "two of five": {5, 2}}
	for name, size := range sizes {
		for seed := range int64(12) {
			// newRun starts the members; the spare instances don't run yet.
			newRun := func() (*autopilot, []*trial.Node, []*trial.Node) {
				c := trial.New(trial.SmallConfig(size.size, size.tolerated, 40+seed))
				spare := c.Nodes()[size.size:]
				for _, n := range spare {
					lose(n)
				}
				Expect(c.AwaitLeader(5*time.Second) == nil).To(BeFalse())
				a := &autopilot{Cluster: c, tolerated: size.tolerated}
				a.runFor(time.Second)
				members := slices.Clone(c.Nodes()[:size.size])
				slices.SortFunc(members, func(x, y *trial.Node) int { // The leader goes first with every second seed.
					if c.Leader() == x || c.Leader() == y {
						return map[bool]int{true: -1, false: 1}[(c.Leader() == x) == (seed%2 == 0)]
					}
					return 0
				})
				return a, members, spare
			}

			It(fmt.Sprintf("keeps the log's size and all commands while others are down beside it: %s, seed %d", name, seed), func() {
				a, members, spare := newRun()
				for i, n := range spare {
					lose(members[i])
					a.runFor(time.Duration(seed%4) * time.Second)
					n.Start()
				}
				// Down beside it with its disk: the log goes on when it is back, at the latest.
				beside := members[size.tolerated]
				beside.Crash()
				a.runFor(3 * time.Second)
				beside.Start()
				a.runFor(12 * time.Second)
				var want []cleat.InstanceID
				for _, n := range append(slices.Clone(members[size.tolerated:]), spare...) {
					want = append(want, n.ID())
				}
				slices.Sort(want)
				Expect(a.voters()).To(Equal(want))
				// The new ones are as good as those before: the log survives as many losses.
				for _, n := range members[size.tolerated : 2*size.tolerated] {
					lose(n)
				}
				accepted := a.Accepted()
				a.runFor(5 * time.Second)
				Expect(a.Accepted() - accepted).To(BeNumerically(">", 10))
				Expect(a.Settle()).To(BeEmpty())
			})

			It(fmt.Sprintf("keeps the log's size when the new instances come first: %s, seed %d", name, seed), func() {
				a, members, spare := newRun()
				for _, n := range spare {
					n.Start()
				}
				a.runFor(4 * time.Second)
				Expect(a.voters()).To(HaveLen(size.size + size.tolerated))
				for i := range spare {
					lose(members[i])
				}
				a.runFor(12 * time.Second)
				Expect(a.voters()).To(HaveLen(size.size))
				Expect(a.Settle()).To(BeEmpty())
			})
		}
	}
})
