package ctrl

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/state/quorum"
)

// Times of a change of the replicated log's members.
const (
	replicaChangeTimeout = 12 * time.Second
	catchUpInterval      = 100 * time.Millisecond
)

// ChangeReplicas changes the replicated log's members, through the leader. A
// trace.ConnectionProblem error means that the change may still be committed.
func (r *Role) ChangeReplicas(ctx context.Context, action cleat.ReplicaAction, id cleat.InstanceID) error {
	ctx, cancel := context.WithTimeout(ctx, replicaChangeTimeout)
	defer cancel()
	leader, ok := r.host.Leader()
	switch {
	case !ok:
		return trace.LimitExceeded("Role.ChangeReplicas: no leader is known")
	case leader == r.self.Instance:
		return r.changeReplicas(ctx, action, id)
	}
	answer, forget, err := r.ask(leader, func(call uint64) cleat.Message {
		return &cleat.ReplicaChange{Call: call, Action: action, Instance: id}
	})
	defer forget()
	if err != nil {
		return trace.LimitExceeded("Role.ChangeReplicas: the leader %s can't be reached", leader)
	}
	select {
	case m := <-answer:
		return changedError(m)
	case <-ctx.Done():
		return trace.ConnectionProblem(ctx.Err(), "Role.ChangeReplicas: %s did not answer", leader)
	}
}

func changedError(m cleat.Message) error {
	r, ok := m.(*cleat.ReplicaChanged)
	switch {
	case !ok || r.OutcomeUnknown:
		return trace.ConnectionProblem(nil, "the fate of the change is unknown")
	case r.Problem != "":
		return trace.BadParameter("%s", r.Problem)
	}
	return nil
}

func (r *Role) answerReplicaChange(l cleat.Link, m *cleat.ReplicaChange) {
	ctx, cancel := context.WithTimeout(r.ctx, replicaChangeTimeout)
	defer cancel()
	reply := &cleat.ReplicaChanged{Call: m.Call}
	if err := r.changeReplicas(ctx, m.Action, m.Instance); err != nil {
		reply.Problem = trace.UserMessage(err)
		reply.OutcomeUnknown = trace.IsConnectionProblem(err) || trace.IsLimitExceeded(err)
	}
	r.post(l, reply)
}

// changeReplicas does the change at the leader, one committed step at a time;
// done again, it goes on where it was cut off.
func (r *Role) changeReplicas(ctx context.Context, action cleat.ReplicaAction, id cleat.InstanceID) error {
	if !r.leads() {
		return notLeader("Role.changeReplicas")
	}
	switch action {
	case cleat.ReplicaAdd:
		return r.addReplica(ctx, id, false)
	case cleat.ReplicaReplace:
		return r.addReplica(ctx, id, true)
	case cleat.ReplicaRemove:
		return r.removeReplicas(ctx, id, "")
	}
	return trace.BadParameter("Role.changeReplicas: unknown action %q", action)
}

// leads reports whether this instance is the leader, as far as it knows.
func (r *Role) leads() bool {
	leader, ok := r.host.Leader()
	return ok && leader == r.self.Instance
}

// notLeader is a change cut off because another instance leads; it may be asked again.
func notLeader(where string) error {
	return trace.LimitExceeded("%s: this instance does not lead", where)
}

// addReplica adds an instance's new replica without a vote, waits until it has
// the log, takes the lost one out if it is to be replaced, and only then gives
// the new one its vote: a loss in between costs no more than without the change.
func (r *Role) addReplica(ctx context.Context, id cleat.InstanceID, replace bool) error {
	fresh, err := r.learner(ctx, id)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := r.caughtUp(ctx, fresh); err != nil {
		return trace.Wrap(err)
	}
	if replace {
		if err := r.removeReplicas(ctx, id, fresh); err != nil {
			return trace.Wrap(err)
		}
	}
	return r.retryStep(ctx, func() error { return r.host.Promote(ctx, fresh) })
}

// learner returns the instance's replica that has no vote, added if need be.
func (r *Role) learner(ctx context.Context, id cleat.InstanceID) (quorum.ReplicaID, error) {
	if fresh, ok := r.findLearner(id); ok {
		return fresh, nil
	}
	if err := r.announced(ctx, id); err != nil {
		return "", trace.Wrap(err)
	}
	if err := r.retryStep(ctx, func() error { return r.host.AddLearner(ctx, id) }); err != nil {
		return "", trace.Wrap(err)
	}
	fresh, ok := r.findLearner(id)
	if !ok {
		return "", trace.ConnectionProblem(nil, "Role.learner: the leader changed meanwhile")
	}
	return fresh, nil
}

// announced waits until an instance makes a replica known that is no member.
func (r *Role) announced(ctx context.Context, id cleat.InstanceID) error {
	for r.leads() {
		s := r.host.Status()
		for _, other := range s.JoinCandidates {
			if other.Instance == id && !isMember(s.Members, other.Replica) {
				return nil
			}
		}
		if !sleep(ctx, catchUpInterval) {
			return trace.NotFound("Role.announced: %s has not made a new replica known; look whether it is a member already", id)
		}
	}
	return notLeader("Role.announced")
}

func isMember(members []quorum.Member, id quorum.ReplicaID) bool {
	return slices.ContainsFunc(members, func(m quorum.Member) bool { return m.Replica == id })
}

func (r *Role) findLearner(id cleat.InstanceID) (quorum.ReplicaID, bool) {
	for _, m := range r.host.Status().Members {
		if m.Instance == id && m.Learner {
			return m.Replica, true
		}
	}
	return "", false
}

// caughtUp waits until a replica has all that was committed when it was called.
func (r *Role) caughtUp(ctx context.Context, id quorum.ReplicaID) error {
	goal := r.host.Status().Commit
	for r.leads() {
		for _, f := range r.host.Status().Followers {
			if f.Replica == id && f.Match >= goal {
				return nil
			}
		}
		if !sleep(ctx, catchUpInterval) {
			return trace.ConnectionProblem(ctx.Err(), "Role.caughtUp: %s has not caught up; ask again", id)
		}
	}
	return notLeader("Role.caughtUp")
}

// removeReplicas takes an instance's replicas out, but for one.
func (r *Role) removeReplicas(ctx context.Context, id cleat.InstanceID, keep quorum.ReplicaID) error {
	found := false
	for _, m := range r.host.Status().Members {
		if m.Instance != id || m.Replica == keep {
			continue
		}
		found = true
		if err := r.retryStep(ctx, func() error { return r.host.Remove(ctx, m.Replica) }); err != nil {
			return trace.Wrap(err)
		}
	}
	if !found && keep == "" {
		return trace.NotFound("Role.removeReplicas: %s is no member of the log", id)
	}
	return nil
}

// retryStep repeats a step that was certainly not taken until ctx ends.
func (r *Role) retryStep(ctx context.Context, step func() error) error {
	for {
		err := step()
		if err == nil || !trace.IsLimitExceeded(err) || !r.leads() {
			return err
		}
		if !sleep(ctx, catchUpInterval) {
			return err
		}
	}
}
