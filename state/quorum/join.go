package quorum

import (
	"slices"
	"time"

	"marigoldcleat.example/cleat"
)

const (
	announceInterval = 500 * time.Millisecond // Interval between announcements of a replica that is not a member.
	candidateMaxAge  = 3 * time.Second        // Time since the last announcement after which a candidate is ignored.

	leaderlessTimeouts = 3 // Election timeouts without a leader after which a member announces itself again.
)

// JoinCandidate is a replica that announced itself in order to become a member. It is
// not a candidate in an election.
type JoinCandidate struct {
	Instance      cleat.InstanceID `json:"instance"`
	Replica       ReplicaID        `json:"replica"`
	Cluster       ClusterID        `json:"cluster,omitempty"` // Empty if it belongs to no log.
	lastAnnounced time.Time
}

// announce announces this replica to the other instances while it is not a
// member. A member without contact with a leader does so too, because it may have
// been removed without receiving the change.
func (r *Replica) announce(now time.Time) {
	members, _ := r.core.log.members()
	_, isMember := findMember(members, r.core.id.Replica)
	if (isMember && !r.isLeaderless(now)) || now.Before(r.announceDue) {
		return
	}
	r.announceDue = now.Add(announceInterval)
	for _, to := range r.otherInstances() {
		m := r.core.fillHeader(Message{Kind: MsgJoin})
		r.outbox = append(r.outbox, Envelope{To: to, Message: &m})
	}
}

// isLeaderless reports whether there was no contact with a leader for longer than
// an election normally takes.
func (r *Replica) isLeaderless(now time.Time) bool {
	return r.core.role != RoleLeader && now.Sub(r.core.lastContact) > leaderlessTimeouts*r.cfg.ElectionTimeout
}

// relayJoin forwards an announcement to the leader, which the sender may not know.
func (r *Replica) relayJoin(m *Message) {
	leader, ok := r.Leader()
	if !ok || leader == r.cfg.Self || m.Relayed {
		return
	}
	relayed := *m
	relayed.Relayed = true
	r.outbox = append(r.outbox, Envelope{To: leader, Message: &relayed})
}

// otherInstances returns the configured instances except this one.
func (r *Replica) otherInstances() []cleat.InstanceID {
	all := slices.Concat(r.cfg.InitialInstances, r.cfg.Peers)
	slices.Sort(all)
	return slices.DeleteFunc(slices.Compact(all), func(id cleat.InstanceID) bool { return id == r.cfg.Self })
}

func (r *Replica) recordCandidate(now time.Time, m *Message) {
	c := JoinCandidate{Instance: m.Instance, Replica: m.From, Cluster: m.Cluster, lastAnnounced: now}
	r.candidates = slices.DeleteFunc(r.candidates, func(other JoinCandidate) bool {
		return other.Instance == m.Instance || now.Sub(other.lastAnnounced) >= candidateMaxAge
	})
	r.candidates = append(r.candidates, c)
	slices.SortFunc(r.candidates, func(a, b JoinCandidate) int { return compareInstances(a.Instance, b.Instance) })
}

// recentCandidates returns a copy of the candidates that announced themselves
// within candidateMaxAge.
func (r *Replica) recentCandidates(now time.Time) []JoinCandidate {
	var recent []JoinCandidate
	for _, c := range r.candidates {
		if now.Sub(c.lastAnnounced) < candidateMaxAge {
			recent = append(recent, c)
		}
	}
	return recent
}

// JoinCandidate returns the replica of an instance if it announced itself recently.
func (r *Replica) JoinCandidate(now time.Time, id cleat.InstanceID) (JoinCandidate, bool) {
	recent := r.recentCandidates(now)
	i := slices.IndexFunc(recent, func(c JoinCandidate) bool { return c.Instance == id })
	if i < 0 {
		return JoinCandidate{}, false
	}
	return recent[i], true
}

// formCluster creates a new log once all instances of Config.InitialInstances have announced
// replicas that belong to no log. Only the instance whose ID sorts first does so,
// so that at most one log is created.
func (r *Replica) formCluster(now time.Time) {
	if r.core.state != (HardState{}) || len(r.cfg.InitialInstances) == 0 || slices.Min(r.cfg.InitialInstances) != r.cfg.Self {
		return
	}
	members := []Member{{Instance: r.cfg.Self, Replica: r.core.id.Replica}}
	for _, id := range r.cfg.InitialInstances {
		if id == r.cfg.Self {
			continue
		}
		c, ok := r.JoinCandidate(now, id)
		if !ok || c.Cluster != "" {
			return
		}
		members = append(members, Member{Instance: id, Replica: c.Replica})
	}
	out, err := r.core.Bootstrap(now, r.nonces.Cluster, members)
	if err != nil {
		return
	}
	r.processOutput(now, out)
}

func compareInstances(a, b cleat.InstanceID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
