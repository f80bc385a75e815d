package quorum

import (
	"cmp"
	"slices"

	"marigoldcleat.example/cleat"
)

// ReplicaID identifies a replica together with its data; it is random and lost with the data.
type ReplicaID string

// ClusterID identifies a replicated log; it is random and created with the log.
type ClusterID string

// Member is a replica that takes part in the log.
type Member struct {
	Instance cleat.InstanceID `json:"instance" msgpack:"i"`
	Replica  ReplicaID        `json:"replica" msgpack:"r"`
	Learner  bool             `json:"learner,omitempty" msgpack:"l,omitempty"` // Receives the log but does not vote.
}

// EntryKind is the purpose of an entry.
type EntryKind uint8

// The kinds of entries.
const (
	EntryEmpty   EntryKind = iota + 1 // First entry of a leader's term; carries no data.
	EntryCommand                      // Applied to the state machine.
	EntryMembers                      // Replaces the member list.
)

// Entry is one entry of the log.
type Entry struct {
	Index   uint64    `msgpack:"i"`
	Term    uint64    `msgpack:"t"`
	Kind    EntryKind `msgpack:"k"`
	Session uint64    `msgpack:"o,omitempty"` // Session of the replica that proposed it.
	ID      uint64    `msgpack:"n,omitempty"` // Proposal ID, increasing within the session.
	Data    []byte    `msgpack:"d,omitempty"`
	Members []Member  `msgpack:"m,omitempty"`
}

// entryOverhead is the approximate size of an entry without its data, in bytes.
const entryOverhead = 64

func (e *Entry) size() int {
	return len(e.Data) + entryOverhead
}

// HardState is the state that a replica must persist besides its entries.
type HardState struct {
	Cluster ClusterID `msgpack:"c"`
	Term    uint64    `msgpack:"t"`
	Vote    ReplicaID `msgpack:"v,omitempty"`
}

// SnapshotMeta describes a snapshot and the last entry that it covers.
type SnapshotMeta struct {
	Index   uint64   `msgpack:"i"`
	Term    uint64   `msgpack:"t"`
	Members []Member `msgpack:"m"`
	Size    int      `msgpack:"z"`
}

func sortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Replica, b.Replica))
	})
}

func findMember(members []Member, id ReplicaID) (Member, bool) {
	i := slices.IndexFunc(members, func(m Member) bool { return m.Replica == id })
	if i < 0 {
		return Member{}, false
	}
	return members[i], true
}

func countVoters(members []Member) int {
	n := 0
	for _, m := range members {
		if !m.Learner {
			n++
		}
	}
	return n
}
