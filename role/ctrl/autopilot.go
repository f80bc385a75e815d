package ctrl

import (
	"context"
	"net"
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
	for sleep(ctx, r.cfg.AutopilotInterval) {
		s := r.host.Status()
		r.dialMembers(&s)
		if s.Role != quorum.RoleLeader || s.ChangePending {
			continue
		}
		step, ok := planMembers(&s, r.cfg.ReplicaLostAfter)
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

// planMembers returns the leader's next change of the log's members, if any. A join
// candidate is added, or replaces its instance's earlier replica. Learners are promoted,
// or removed when silent. A silent voter is removed only when the number of voters is
// even, for example once a new instance has joined to replace it.
func planMembers(s *quorum.Status, lostAfter time.Duration) (memberStep, bool) {
	silent, hasSilent := longestSilentVoter(s, lostAfter)
	for _, c := range s.JoinCandidates {
		if isMember(s.Members, c.Replica) || (c.Cluster != "" && c.Cluster != s.Cluster) {
			continue
		}
		if hasMember(s.Members, c.Instance) {
			return memberStep{action: cleat.ReplicaReplace, instance: c.Instance, reason: "the instance came back without its data"}, true
		}
		return memberStep{action: cleat.ReplicaAdd, instance: c.Instance, reason: "a new instance"}, true
	}
	for _, f := range s.Followers {
		switch {
		case !f.Learner:
		case f.SinceContact >= lostAfter:
			return memberStep{action: cleat.ReplicaRemove, instance: f.Instance, replica: f.Replica, reason: "no contact with the learner within ReplicaLostAfter"}, true
		default:
			return memberStep{action: cleat.ReplicaReplace, instance: f.Instance, reason: "the instance has no vote yet"}, true
		}
	}
	if hasSilent && countVoters(s.Members)%2 == 0 && countVoters(s.Members) >= minEvenVoters {
		return memberStep{action: cleat.ReplicaRemove, instance: silent.Instance, replica: silent.Replica, reason: "no contact with the voter within ReplicaLostAfter, and the number of voters is even"}, true
	}
	return memberStep{}, false
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
