package member

import (
	"sort"

	"marigoldcleat.example/cleat"
)

// maxGoneKept bounds the departures remembered for cursors that lag.
const maxGoneKept = 1024

// Cursor is how far a receiver has followed a feed; zero has seen nothing.
type Cursor uint64

// feed is a set of members with numbered changes, so that a receiver is sent
// only what changed since its cursor.
type feed struct {
	version Cursor
	members map[cleat.InstanceID]versioned
	gone    []departure // By rising version.
	floor   Cursor      // Departures up to here are forgotten.
}

type versioned struct {
	member  cleat.Member
	version Cursor
}

type departure struct {
	id      cleat.InstanceID
	version Cursor
}

func newFeed() feed {
	return feed{version: 1, members: make(map[cleat.InstanceID]versioned)}
}

// put stores a member and counts a change only when it differs.
func (f *feed) put(m cleat.Member) {
	if old, ok := f.members[m.Peer.Instance]; ok && equal(old.member, m) {
		return
	}
	f.version++
	f.members[m.Peer.Instance] = versioned{member: m, version: f.version}
}

func (f *feed) drop(id cleat.InstanceID) {
	if _, ok := f.members[id]; !ok {
		return
	}
	f.version++
	delete(f.members, id)
	f.gone = append(f.gone, departure{id: id, version: f.version})
	if len(f.gone) > maxGoneKept {
		f.floor = f.gone[0].version
		f.gone = append([]departure(nil), f.gone[1:]...)
	}
}

// since returns what changed after a cursor, or nil when nothing did.
func (f *feed) since(c Cursor) *cleat.Members {
	if c == f.version {
		return nil
	}
	m := &cleat.Members{Seq: uint64(f.version), Complete: c < f.floor || c == 0 || c > f.version}
	for _, v := range f.members {
		if m.Complete || v.version > c {
			m.Members = append(m.Members, v.member)
		}
	}
	sortMembers(m.Members)
	if !m.Complete {
		m.Gone = f.goneSince(c)
	}
	return m
}

func (f *feed) goneSince(c Cursor) []cleat.InstanceID {
	var ids []cleat.InstanceID
	for _, d := range f.gone {
		if _, back := f.members[d.id]; d.version > c && !back {
			ids = append(ids, d.id)
		}
	}
	return ids
}

func equal(a, b cleat.Member) bool {
	if a.Peer != b.Peer || a.Suspected != b.Suspected || a.Leaving != b.Leaving || len(a.Models) != len(b.Models) {
		return false
	}
	for i := range a.Models {
		if a.Models[i] != b.Models[i] {
			return false
		}
	}
	return true
}

func sortMembers(list []cleat.Member) {
	sort.Slice(list, func(i, j int) bool { return list[i].Peer.Instance < list[j].Peer.Instance })
}
