package quorum

import (
	"time"

	"marigoldcleat.example/cleat"
)

// Follower is the state of another member as known to the leader.
type Follower struct {
	Member
	Match        uint64        `json:"match"` // Last entry known to be synced on the member.
	SinceContact time.Duration `json:"quiet"` // Time since its last message, in nanoseconds.
}

// Status is the status of a replica as shown to operators.
type Status struct {
	Instance       cleat.InstanceID `json:"instance"`
	Replica        ReplicaID        `json:"replica"`
	Cluster        ClusterID        `json:"cluster"`
	Role           RaftRole         `json:"duty"`
	Term           uint64           `json:"term"`
	Leader         cleat.InstanceID `json:"leader,omitempty"`
	Members        []Member         `json:"members"`
	ChangePending  bool             `json:"changing"` // A membership change is not committed yet.
	LastIndex      uint64           `json:"last"`     // Last entry in the log.
	Commit         uint64           `json:"commit"`
	Applied        uint64           `json:"applied"`
	Synced         uint64           `json:"synced"`
	Snapshot       uint64           `json:"snapshot"` // Last entry that the snapshot covers.
	Lease          bool             `json:"lease"`    // The replica may issue orders.
	Halted         bool             `json:"halted"`   // An invariant was violated.
	DiskError      string           `json:"disk_error,omitempty"`
	Followers      []Follower       `json:"followers,omitempty"`
	JoinCandidates []JoinCandidate  `json:"candidates,omitempty"`
}

// Status returns the status of the replica at now.
func (r *Replica) Status(now time.Time) Status {
	c := r.core
	members, _ := c.log.members()
	leader, _ := r.Leader()
	_, lease := c.Lease(now)
	return Status{
		Instance:       c.id.Instance,
		Replica:        c.id.Replica,
		Cluster:        c.state.Cluster,
		Role:           c.role,
		Term:           c.state.Term,
		Leader:         leader,
		Members:        members,
		ChangePending:  !c.configCommitted(),
		LastIndex:      c.log.lastIndex(),
		Commit:         c.commit,
		Applied:        r.applied,
		Synced:         r.syncedIndex,
		Snapshot:       c.log.snapshot.Index,
		Lease:          lease,
		Halted:         c.halted,
		Followers:      c.followers(now),
		JoinCandidates: r.recentCandidates(now),
	}
}

func (c *Core) followers(now time.Time) []Follower {
	if c.role != RoleLeader {
		return nil
	}
	var list []Follower
	for _, m := range c.peers() {
		p := c.leaderState.progress[m.Replica]
		list = append(list, Follower{Member: m, Match: p.match, SinceContact: now.Sub(p.lastContact)})
	}
	return list
}

// Leader returns the leader known to this replica, if any.
func (r *Replica) Leader() (cleat.InstanceID, bool) {
	if r.core.leader == "" {
		return "", false
	}
	if r.core.leader == r.core.id.Replica {
		return r.core.id.Instance, true
	}
	return r.instanceOf(r.core.leader)
}

// Lease returns the current term and whether this replica may issue orders at now.
func (r *Replica) Lease(now time.Time) (term uint64, held bool) {
	return r.core.Lease(now)
}

// LeaderTerm returns the current term and whether this replica is its leader.
func (r *Replica) LeaderTerm() (term uint64, leads bool) {
	return r.core.state.Term, r.core.role == RoleLeader
}

// ID returns the replica's identity.
func (r *Replica) ID() ReplicaID {
	return r.core.id.Replica
}
