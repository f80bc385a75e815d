package quorum

import (
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// The kinds of membership changes.
const (
	ChangeAdd     ChangeKind = iota + 1 // Adds a learner.
	ChangePromote                       // Makes a learner a voter.
	ChangeRemove
)

// MemberChange changes the member list by one replica.
type MemberChange struct {
	Kind   ChangeKind
	Member Member // ChangePromote and ChangeRemove use only Replica.
}

// ChangeMembers appends a membership change on the leader. It returns a
// trace.LimitExceeded error if the replica can't accept it now and a
// trace.BadParameter error if the change is invalid; in both cases nothing changed.
func (c *Core) ChangeMembers(now time.Time, id uint64, change MemberChange) (Output, error) {
	c.observeClock(now)
	if !c.isReady() {
		return Output{}, trace.LimitExceeded("Core.ChangeMembers: this replica is not the leader, or has not committed an entry of its term yet")
	}
	if !c.configCommitted() {
		return Output{}, trace.LimitExceeded("Core.ChangeMembers: another membership change is not committed yet")
	}
	members, err := c.membersAfter(now, change)
	if err != nil {
		return Output{}, trace.Wrap(err)
	}
	sortMembers(members)
	c.appendNext(now, Entry{Kind: EntryMembers, Session: c.session, ID: id, Members: members})
	return c.takeOutput(), nil
}

// configCommitted reports whether the member list in effect is committed.
func (c *Core) configCommitted() bool {
	_, index := c.log.members()
	return index <= c.commit
}

func (c *Core) membersAfter(now time.Time, change MemberChange) ([]Member, error) {
	current, _ := c.log.members()
	members := slices.Clone(current)
	i := slices.IndexFunc(members, func(m Member) bool { return m.Replica == change.Member.Replica })
	if change.Kind == ChangeAdd {
		return addLearner(members, i, change.Member)
	}
	if i < 0 {
		return nil, trace.BadParameter("Core.ChangeMembers: %s is not a member", change.Member.Replica)
	}
	if change.Kind == ChangePromote {
		return c.promoteLearner(now, members, i)
	}
	if !members[i].Learner && countVoters(members) == 1 {
		return nil, trace.BadParameter("Core.ChangeMembers: the last voter can't be removed")
	}
	members = slices.Delete(members, i, i+1)
	return members, c.checkReachable(now, members)
}

// checkReachable rejects a member list of which no quorum answered within the
// election timeout: the change could be neither committed nor reverted.
func (c *Core) checkReachable(now time.Time, members []Member) error {
	n := 0
	for _, m := range members {
		if !m.Learner && c.isResponsive(now, m.Replica) {
			n++
		}
	}
	if n < countVoters(members)/2+1 {
		return trace.LimitExceeded("Core.ChangeMembers: only %d of the voters left answer", n)
	}
	return nil
}

func addLearner(members []Member, i int, m Member) ([]Member, error) {
	if i >= 0 {
		return nil, trace.BadParameter("Core.ChangeMembers: %s is a member already", m.Replica)
	}
	if m.Replica == "" || m.Instance == "" {
		return nil, trace.BadParameter("Core.ChangeMembers: a member needs an instance and a replica identity")
	}
	m.Learner = true
	return append(members, m), nil
}

func (c *Core) promoteLearner(now time.Time, members []Member, i int) ([]Member, error) {
	m := &members[i]
	if !m.Learner {
		return nil, trace.BadParameter("Core.ChangeMembers: %s is a voter already", m.Replica)
	}
	if countVoters(members) >= MaxVoters {
		return nil, trace.BadParameter("Core.ChangeMembers: there are %d voters already", MaxVoters)
	}
	for _, other := range members {
		if other.Instance == m.Instance && !other.Learner {
			return nil, trace.BadParameter("Core.ChangeMembers: remove %s, the earlier replica of %s, first", other.Replica, m.Instance)
		}
	}
	if c.leaderState.progress[m.Replica].match < c.commit {
		return nil, trace.LimitExceeded("Core.ChangeMembers: %s has not caught up", m.Replica)
	}
	m.Learner = false
	return members, c.checkReachable(now, members)
}
