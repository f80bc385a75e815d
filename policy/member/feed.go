package member

import (
	"sort"

	"marigoldcleat.example/cleat"
)

// maxDepartures bounds the departures kept for receivers that lag. A receiver that
// lags further is sent the complete set.
const maxDepartures = 1024

// Cursor is the version of a feed up to which a receiver is current; zero if nothing
// was sent to it.
type Cursor uint64

// feed is a versioned set of members, so that a receiver is sent only the changes
// since its cursor.
type feed struct {
	version          Cursor
	members          map[cleat.InstanceID]versioned
	departures       []departure // By ascending version.
	discardedThrough Cursor      // Departures up to this version are discarded.
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
	// Versions start at 1, so that an empty feed is newer than the zero cursor.
	return feed{version: 1, members: make(map[cleat.InstanceID]versioned)}
}

// upsert stores a member and increments the version only if the member changed.
func (f *feed) upsert(m cleat.Member) {
	if old, ok := f.members[m.Peer.Instance]; ok && equal(old.member, m) {
		return
	}
	f.version++
	f.members[m.Peer.Instance] = versioned{member: m, version: f.version}
}

func (f *feed) remove(id cleat.InstanceID) {
	if _, ok := f.members[id]; !ok {
		return
	}
	f.version++
	delete(f.members, id)
	f.departures = append(f.departures, departure{id: id, version: f.version})
	if len(f.departures) > maxDepartures {
		f.discardedThrough = f.departures[0].version
		f.departures = append([]departure(nil), f.departures[1:]...)
	}
}

// since returns the changes after a cursor, or nil if there are none.
func (f *feed) since(c Cursor) *cleat.Members {
	if c == f.version {
		return nil
	}
	m := &cleat.Members{Seq: uint64(f.version), Complete: c < f.discardedThrough || c == 0 || c > f.version}
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
	for _, d := range f.departures {
		if _, present := f.members[d.id]; d.version > c && !present {
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
