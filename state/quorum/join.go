package quorum

import (
	"slices"
	"time"

	"marigoldcleat.example/cleat"
)

const (
	joinInterval    = 500 * time.Millisecond // Between announcements of a replica that is no member.
	candidateMaxAge = 3 * time.Second        // Since the last announcement.

	leaderlessElections = 3 // Election timeouts without a leader before a member announces itself again.
)

// Candidate is a replica that made itself known and is no member.
type Candidate struct {
	Instance cleat.InstanceID `json:"instance"`
	Replica  ReplicaID        `json:"replica"`
	Cluster  ClusterID        `json:"cluster,omitempty"` // Empty while it belongs to no log.
	heard    time.Time
}

// announce makes this replica known to the others while it is no member. One
// that hears no leader may have been removed without being told.
func (r *Replica) announce(now time.Time) {
	members, _ := r.core.log.members()
	_, member := findMember(members, r.core.id.Replica)
	if (member && !r.leaderless(now)) || now.Before(r.joinDue) {
		return
	}
	r.joinDue = now.Add(joinInterval)
	for _, to := range r.others() {
		m := r.core.stamp(Message{Kind: MsgJoin})
		r.outbox = append(r.outbox, Envelope{To: to, Message: &m})
	}
}

// leaderless reports whether no leader was heard for longer than elections take.
func (r *Replica) leaderless(now time.Time) bool {
	return r.core.duty != DutyLeader && now.Sub(r.core.heard) > leaderlessElections*r.cfg.ElectionTimeout
}

// relayJoin passes a join on to the leader, which the sender may not know.
func (r *Replica) relayJoin(m *Message) {
	leader, ok := r.Leader()
	if !ok || leader == r.cfg.Self || m.Relayed {
		return
	}
	relayed := *m
	relayed.Relayed = true
	r.outbox = append(r.outbox, Envelope{To: leader, Message: &relayed})
}

// others returns the configured instances but for this one.
func (r *Replica) others() []cleat.InstanceID {
	all := slices.Concat(r.cfg.First, r.cfg.Peers)
	slices.Sort(all)
	return slices.DeleteFunc(slices.Compact(all), func(id cleat.InstanceID) bool { return id == r.cfg.Self })
}

func (r *Replica) noteCandidate(now time.Time, m *Message) {
	c := Candidate{Instance: m.Instance, Replica: m.From, Cluster: m.Cluster, heard: now}
	r.candidates = slices.DeleteFunc(r.candidates, func(other Candidate) bool {
		return other.Instance == m.Instance || now.Sub(other.heard) >= candidateMaxAge
	})
	r.candidates = append(r.candidates, c)
	slices.SortFunc(r.candidates, func(a, b Candidate) int { return compareInstances(a.Instance, b.Instance) })
}

// recentCandidates returns a copy of the candidates that announced themselves lately.
func (r *Replica) recentCandidates(now time.Time) []Candidate {
	var recent []Candidate
	for _, c := range r.candidates {
		if now.Sub(c.heard) < candidateMaxAge {
			recent = append(recent, c)
		}
	}
	return recent
}

// Candidate returns the replica of an instance that announced itself lately.
func (r *Replica) Candidate(now time.Time, id cleat.InstanceID) (Candidate, bool) {
	recent := r.recentCandidates(now)
	i := slices.IndexFunc(recent, func(c Candidate) bool { return c.Instance == id })
	if i < 0 {
		return Candidate{}, false
	}
	return recent[i], true
}

// form makes a new log once all first instances are there and belong to none.
// Only the one whose name sorts first does so, which makes it one log.
func (r *Replica) form(now time.Time) {
	if r.core.state != (HardState{}) || len(r.cfg.First) == 0 || slices.Min(r.cfg.First) != r.cfg.Self {
		return
	}
	members := []Member{{Instance: r.cfg.Self, Replica: r.core.id.Replica}}
	for _, id := range r.cfg.First {
		if id == r.cfg.Self {
			continue
		}
		c, ok := r.Candidate(now, id)
		if !ok || c.Cluster != "" {
			return
		}
		members = append(members, Member{Instance: id, Replica: c.Replica})
	}
	out, err := r.core.Bootstrap(now, r.fresh.Cluster, members)
	if err != nil {
		return
	}
	r.process(now, out)
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
