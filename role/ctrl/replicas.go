package ctrl

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/state/quorum"
)

// Timeout and polling interval of a change of the replicated log's members.
const (
	replicaChangeTimeout = 12 * time.Second
	replicaPollInterval  = 100 * time.Millisecond
)

// ChangeReplicas changes the replicated log's members through the leader. A
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
	answer, cancelCall, err := r.startCall(leader, func(call uint64) cleat.Message {
		return &cleat.ReplicaChange{Call: call, Action: action, Instance: id}
	})
	defer cancelCall()
	if err != nil {
		return trace.LimitExceeded("Role.ChangeReplicas: the leader %s can't be reached", leader)
	}
	select {
	case m := <-answer:
		return replyError(m)
	case <-ctx.Done():
		return trace.ConnectionProblem(ctx.Err(), "Role.ChangeReplicas: %s did not answer", leader)
	}
}

// replyError returns the error that the leader's reply reports.
func replyError(m cleat.Message) error {
	r, ok := m.(*cleat.ReplicaChanged)
	switch {
	case !ok || r.OutcomeUnknown:
		return trace.ConnectionProblem(nil, "the outcome of the change is unknown")
	case r.Problem != "":
		return trace.BadParameter("%s", r.Problem)
	}
	return nil
}

func (r *Role) handleReplicaChange(l cleat.Link, m *cleat.ReplicaChange) {
	ctx, cancel := context.WithTimeout(r.ctx, replicaChangeTimeout)
	defer cancel()
	reply := &cleat.ReplicaChanged{Call: m.Call}
	if err := r.changeReplicas(ctx, m.Action, m.Instance); err != nil {
		reply.Problem = trace.UserMessage(err)
		reply.OutcomeUnknown = trace.IsConnectionProblem(err) || trace.IsLimitExceeded(err)
	}
	r.sendOrLog(l, reply)
}

// changeReplicas makes the change at the leader, one committed step at a time. A retry
// continues after the last committed step.
func (r *Role) changeReplicas(ctx context.Context, action cleat.ReplicaAction, id cleat.InstanceID) error {
	if !r.isLeader() {
		return notLeaderError("Role.changeReplicas")
	}
	switch action {
	case cleat.ReplicaAdd:
		return r.addReplica(ctx, id, false)
	case cleat.ReplicaReplace:
		return r.addReplica(ctx, id, true)
	case cleat.ReplicaRemove:
		return r.removeReplicas(ctx, id, "")
	case cleat.ReplicaLeave:
		return r.releaseReplica(ctx, id)
	}
	return trace.BadParameter("Role.changeReplicas: unknown action %q", action)
}

// isLeader reports whether this instance believes it is the leader.
func (r *Role) isLeader() bool {
	leader, ok := r.host.Leader()
	return ok && leader == r.self.Instance
}

// notLeaderError returns the error of a change that was interrupted because this instance
// is not the leader; the change may be retried.
func notLeaderError(where string) error {
	return trace.LimitExceeded("%s: this instance is not the leader", where)
}

// addReplica adds an instance's new replica as a learner, waits until it has the log,
// removes the lost one if it is to be replaced, and only then promotes the new one to
// voter. Losing an instance during the change thus does no more harm than losing it
// without the change.
func (r *Role) addReplica(ctx context.Context, id cleat.InstanceID, replace bool) error {
	learner, err := r.ensureLearner(ctx, id)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := r.awaitCaughtUp(ctx, learner); err != nil {
		return trace.Wrap(err)
	}
	if replace {
		if err := r.removeReplicas(ctx, id, learner); err != nil {
			return trace.Wrap(err)
		}
	}
	return r.retryStep(ctx, func() error { return r.host.Promote(ctx, learner) })
}

// ensureLearner returns the instance's learner, adding it if there is none.
func (r *Role) ensureLearner(ctx context.Context, id cleat.InstanceID) (quorum.ReplicaID, error) {
	if learner, ok := r.findLearner(id); ok {
		return learner, nil
	}
	if err := r.awaitAnnounced(ctx, id); err != nil {
		return "", trace.Wrap(err)
	}
	if err := r.retryStep(ctx, func() error { return r.host.AddLearner(ctx, id) }); err != nil {
		return "", trace.Wrap(err)
	}
	learner, ok := r.findLearner(id)
	if !ok {
		return "", trace.ConnectionProblem(nil, "Role.ensureLearner: the leader changed meanwhile")
	}
	return learner, nil
}

// awaitAnnounced waits until an instance announces a replica that is not yet a member.
func (r *Role) awaitAnnounced(ctx context.Context, id cleat.InstanceID) error {
	for r.isLeader() {
		s := r.host.Status()
		for _, other := range s.JoinCandidates {
			if other.Instance == id && !isMember(s.Members, other.Replica) {
				return nil
			}
		}
		if !sleep(ctx, replicaPollInterval) {
			return trace.NotFound("Role.awaitAnnounced: %s has not announced a new replica; check whether it is already a member", id)
		}
	}
	return notLeaderError("Role.awaitAnnounced")
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

// awaitCaughtUp waits until a replica has every log entry that is committed at the time of
// the call.
func (r *Role) awaitCaughtUp(ctx context.Context, id quorum.ReplicaID) error {
	target := r.host.Status().Commit
	for r.isLeader() {
		for _, f := range r.host.Status().Followers {
			if f.Replica == id && f.Match >= target {
				return nil
			}
		}
		if !sleep(ctx, replicaPollInterval) {
			return trace.ConnectionProblem(ctx.Err(), "Role.awaitCaughtUp: replica %s has not caught up; retry the change", id)
		}
	}
	return notLeaderError("Role.awaitCaughtUp")
}

// removeReplicas removes all replicas of an instance except keep, if that is set.
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
		return trace.NotFound("Role.removeReplicas: %s is not a member of the log", id)
	}
	return nil
}

// releaseReplica removes the replicas of an instance that stops. It returns a
// trace.LimitExceeded error when the log would survive fewer losses without them.
func (r *Role) releaseReplica(ctx context.Context, id cleat.InstanceID) error {
	s := r.host.Status()
	if s.ChangePending || !r.memberPolicy().hasSpareVoter(countVoters(s.Members)) {
		return trace.LimitExceeded("Role.releaseReplica: %s is needed among %d voters", id, countVoters(s.Members))
	}
	return r.removeReplicas(ctx, id, "")
}

// leaveTimeout bounds how long a stop is delayed by leaving the log.
const leaveTimeout = time.Second

// leaveLog removes this instance from the log before it stops, if the other voters are
// enough: as a silent member it would count against them until it is found lost.
func (r *Role) leaveLog() {
	if !r.cfg.Autopilot || !r.isSpare() {
		return
	}
	r.host.TransferLeadership()
	ctx, cancel := context.WithTimeout(r.ctx, leaveTimeout)
	defer cancel()
	for r.isSpare() {
		err := r.ChangeReplicas(ctx, cleat.ReplicaLeave, r.self.Instance)
		if err == nil {
			r.log.Info("left the log before stopping")
			return
		}
		if !sleep(ctx, replicaPollInterval) {
			r.log.Warn("stopping as a member of the log", "err", err)
			return
		}
	}
}

// isSpare reports whether this instance is a member that the log can do without.
func (r *Role) isSpare() bool {
	s := r.host.Status()
	return isMember(s.Members, s.Replica) && r.memberPolicy().hasSpareVoter(countVoters(s.Members))
}

// retryStep runs a step and retries it after an error that means it certainly had no
// effect, while this instance leads and until ctx ends.
func (r *Role) retryStep(ctx context.Context, step func() error) error {
	for {
		err := step()
		if err == nil || !trace.IsLimitExceeded(err) || !r.isLeader() {
			return err
		}
		if !sleep(ctx, replicaPollInterval) {
			return err
		}
	}
}
