package ctrl

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/state/quorum"
)

// autopilotLoop keeps links to all members of the log and to instances that want to
// join it. At the leader it also makes the changes that planMembers returns. Without
// Config.Autopilot it does nothing.
func (r *Role) autopilotLoop(ctx context.Context) error {
	if !r.cfg.Autopilot {
		<-ctx.Done()
		return nil
	}
	policy := r.memberPolicy()
	loggedImpostors := make(map[quorum.ReplicaID]bool)
	for sleep(ctx, r.cfg.AutopilotInterval) {
		s := r.host.Status()
		r.dialMembers(&s)
		if s.Role != quorum.RoleLeader || s.ChangePending {
			continue
		}
		r.logImpostors(&s, policy, loggedImpostors)
		step, ok := planMembers(&s, policy)
		if !ok {
			continue
		}
		r.log.Info("changing the log's members", "action", step.action, "instance", step.instance, "why", step.reason)
		if err := r.applyMemberStep(ctx, step); err != nil {
			r.log.Warn("members of the log not changed", "action", step.action, "instance", step.instance, "err", err)
		}
	}
	return nil
}

// dialMembers dials the members and join candidates whose IDs are their link addresses.
func (r *Role) dialMembers(s *quorum.Status) {
	for _, m := range s.Members {
		r.dialInstance(m.Instance)
	}
	for _, c := range s.JoinCandidates {
		r.dialInstance(c.Instance)
	}
}

func (r *Role) dialInstance(id cleat.InstanceID) {
	if _, _, err := net.SplitHostPort(string(id)); err == nil {
		r.dial(string(id))
	}
}

// memberStep is one change of the log's members, with the reason to log.
type memberStep struct {
	action   cleat.ReplicaAction
	instance cleat.InstanceID
	replica  quorum.ReplicaID // The replica to remove; the instance's other replicas stay.
	reason   string
}

// minEvenVoters is the smallest even number of voters at which a silent one is
// removed: an even number tolerates no more losses than the odd number below it.
const minEvenVoters = 4

// memberPolicy is what planMembers decides by.
type memberPolicy struct {
	lostAfter time.Duration // Time without contact after which a member counts as lost.
	tolerated int           // Members that may be lost at once; zero when not known.
}

func (r *Role) memberPolicy() memberPolicy {
	return memberPolicy{lostAfter: r.cfg.ReplicaLostAfter, tolerated: r.cfg.ToleratedLosses}
}

// planMembers returns the leader's next change of the log's members, if any. A silent
// learner is removed first: its instance may have come back without its data. A join
// candidate is added, or replaces its instance's lost replica; learners are promoted. A silent voter is removed when the others are enough; one that
// may come back stays, since its disk counts towards what the log survives.
func planMembers(s *quorum.Status, p memberPolicy) (memberStep, bool) {
	for _, f := range s.Followers {
		if f.Learner && f.SinceContact >= p.lostAfter {
			return memberStep{action: cleat.ReplicaRemove, instance: f.Instance, replica: f.Replica, reason: "no contact with the learner within ReplicaLostAfter"}, true
		}
	}
	for _, c := range s.JoinCandidates {
		if !isEligible(s, c) || isImpostor(s, c, p.lostAfter) {
			continue
		}
		if hasMember(s.Members, c.Instance) {
			return memberStep{action: cleat.ReplicaReplace, instance: c.Instance, reason: "the instance came back without its data"}, true
		}
		return memberStep{action: cleat.ReplicaAdd, instance: c.Instance, reason: "a new instance"}, true
	}
	for _, f := range s.Followers {
		if f.Learner {
			return memberStep{action: cleat.ReplicaReplace, instance: f.Instance, reason: "the instance has no vote yet"}, true
		}
	}
	if silent, ok := longestSilentVoter(s, p.lostAfter); ok && p.hasSpareVoter(countVoters(s.Members)) {
		return memberStep{action: cleat.ReplicaRemove, instance: silent.Instance, replica: silent.Replica, reason: "no contact with the voter within ReplicaLostAfter, and the others are enough"}, true
	}
	return memberStep{}, false
}

// hasSpareVoter reports whether the log survives as many losses with one voter less.
func (p memberPolicy) hasSpareVoter(voters int) bool {
	if p.tolerated > 0 && voters > 2*p.tolerated+1 {
		return true
	}
	return voters%2 == 0 && voters >= minEvenVoters
}

// isEligible reports whether a join candidate is no member yet and of this log, or of none.
func isEligible(s *quorum.Status, c quorum.JoinCandidate) bool {
	return !isMember(s.Members, c.Replica) && (c.Cluster == "" || c.Cluster == s.Cluster)
}

// isImpostor reports whether a join candidate has the id of a member that still answers.
// An instance that lost its data answers no more under its earlier identity.
func isImpostor(s *quorum.Status, c quorum.JoinCandidate, lostAfter time.Duration) bool {
	if c.Instance == s.Instance {
		return true
	}
	return slices.ContainsFunc(s.Followers, func(f quorum.Follower) bool {
		return f.Instance == c.Instance && f.SinceContact < lostAfter
	})
}

// logImpostors logs the join candidates that are refused for their id, each once.
func (r *Role) logImpostors(s *quorum.Status, p memberPolicy, logged map[quorum.ReplicaID]bool) {
	for _, c := range s.JoinCandidates {
		if logged[c.Replica] || !isEligible(s, c) || !isImpostor(s, c, p.lostAfter) {
			continue
		}
		logged[c.Replica] = true
		r.log.Warn("join refused for now: the instance has the id of a member that still answers", "instance", c.Instance, "replica", c.Replica)
	}
}

func longestSilentVoter(s *quorum.Status, after time.Duration) (quorum.Follower, bool) {
	var longest quorum.Follower
	found := false
	for _, f := range s.Followers {
		if !f.Learner && f.SinceContact >= after && (!found || f.SinceContact > longest.SinceContact) {
			longest, found = f, true
		}
	}
	return longest, found
}

func hasMember(members []quorum.Member, id cleat.InstanceID) bool {
	for _, m := range members {
		if m.Instance == id {
			return true
		}
	}
	return false
}

func countVoters(members []quorum.Member) int {
	n := 0
	for _, m := range members {
		if !m.Learner {
			n++
		}
	}
	return n
}

// memberStepTimeout bounds one change, so that an instance that is lost during the
// change doesn't delay later ones.
const memberStepTimeout = 4 * time.Second

func (r *Role) applyMemberStep(ctx context.Context, step memberStep) error {
	ctx, cancel := context.WithTimeout(ctx, memberStepTimeout)
	defer cancel()
	if step.action != cleat.ReplicaRemove {
		return r.changeReplicas(ctx, step.action, step.instance)
	}
	return trace.Wrap(r.host.Remove(ctx, step.replica))
}
