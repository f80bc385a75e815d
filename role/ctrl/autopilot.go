package ctrl

import (
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/state/quorum"
)

// autopilotLoop keeps links to all members of the log and to those that want to
// join it and, at the leader, replaces lost members.
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
		step, ok := planMembers(&s, r.cfg.SilentAfter)
		if !ok {
			continue
		}
		r.log.Info("changing the log's members", "action", step.action, "instance", step.instance, "why", step.why)
		if err := r.takeMemberStep(ctx, step); err != nil {
			r.log.Warn("members of the log not changed", "action", step.action, "instance", step.instance, "err", err)
		}
	}
	return nil
}

// dialMembers links instances whose names are their link addresses.
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

// memberStep is one change of the log's members.
type memberStep struct {
	action   cleat.ReplicaAction
	instance cleat.InstanceID
	replica  quorum.ReplicaID // To remove; the others of the instance stay.
	why      string
}

// evenVoters is the least even number of voters from which a silent one is
// taken out: an even number bears no more losses than the odd one below it.
const evenVoters = 4

// planMembers decides the next change of the log's members at the leader. A new
// replica joins; it takes the place of an earlier one of its instance or, while
// a voter is silent, of that one.
func planMembers(s *quorum.Status, silentAfter time.Duration) (memberStep, bool) {
	silent, hasSilent := silentVoter(s, silentAfter)
	for _, c := range s.JoinCandidates {
		if isMember(s.Members, c.Replica) || (c.Cluster != "" && c.Cluster != s.Cluster) {
			continue
		}
		if hasMember(s.Members, c.Instance) {
			return memberStep{action: cleat.ReplicaReplace, instance: c.Instance, why: "the instance came back without its data"}, true
		}
		return memberStep{action: cleat.ReplicaAdd, instance: c.Instance, why: "a new instance"}, true
	}
	for _, f := range s.Followers {
		switch {
		case !f.Learner:
		case f.SinceContact >= silentAfter:
			return memberStep{action: cleat.ReplicaRemove, instance: f.Instance, replica: f.Replica, why: "it fell silent before it had a vote"}, true
		default:
			return memberStep{action: cleat.ReplicaReplace, instance: f.Instance, why: "the instance has no vote yet"}, true
		}
	}
	if hasSilent && countVoters(s.Members)%2 == 0 && countVoters(s.Members) >= evenVoters {
		return memberStep{action: cleat.ReplicaRemove, instance: silent.Instance, replica: silent.Replica, why: "the instance is silent"}, true
	}
	return memberStep{}, false
}

func silentVoter(s *quorum.Status, after time.Duration) (quorum.Follower, bool) {
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

// memberStepTimeout bounds one change, so that an instance that is lost
// meanwhile doesn't hold up the others.
const memberStepTimeout = 4 * time.Second

func (r *Role) takeMemberStep(ctx context.Context, step memberStep) error {
	ctx, cancel := context.WithTimeout(ctx, memberStepTimeout)
	defer cancel()
	if step.action != cleat.ReplicaRemove {
		return r.changeReplicas(ctx, step.action, step.instance)
	}
	return trace.Wrap(r.host.Remove(ctx, step.replica))
}
