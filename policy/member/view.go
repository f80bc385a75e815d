package member

import "marigoldcleat.example/cleat"

// View is a node's copy of the membership. It is not safe for concurrent use.
type View struct {
	members map[cleat.InstanceID]cleat.Member
}

// NewView returns a view without members.
func NewView() *View {
	return &View{members: make(map[cleat.InstanceID]cleat.Member)}
}

// Apply applies an update. An older incarnation of a member never replaces a newer one.
func (v *View) Apply(m *cleat.Members) {
	if m.Complete {
		v.retainOnly(m.Members)
	}
	for _, id := range m.Gone {
		delete(v.members, id)
	}
	for _, member := range m.Members {
		old, ok := v.members[member.Peer.Instance]
		if !ok || member.Peer.Incarnation >= old.Peer.Incarnation {
			v.members[member.Peer.Instance] = member
		}
	}
}

func (v *View) retainOnly(list []cleat.Member) {
	named := make(map[cleat.InstanceID]bool, len(list))
	for _, m := range list {
		named[m.Peer.Instance] = true
	}
	for id := range v.members {
		if !named[id] {
			delete(v.members, id)
		}
	}
}

// List returns the members, sorted by instance ID.
func (v *View) List() []cleat.Member {
	list := make([]cleat.Member, 0, len(v.members))
	for _, m := range v.members {
		list = append(list, m)
	}
	sortMembers(list)
	return list
}
