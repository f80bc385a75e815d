package route

import (
	"hash/fnv"
	"sort"

	"marigoldcleat.example/cleat"
)

// Limits on the number of agents that one entry keeps links to.
const (
	// FullMeshAgents is the largest number of agents at which an entry links to all of them.
	FullMeshAgents = 32
	// LinksPerModel is the number of agents of each model that an entry links to in a larger fleet.
	LinksPerModel = 8
)

// Subset returns the agents that entry self keeps links to, sorted by id: all of a small
// fleet, else LinksPerModel for each model. Each entry chooses a different subset, so that
// every agent receives offers from several entries, and a membership change moves few links.
func Subset(self cleat.InstanceID, members []cleat.Member) []cleat.InstanceID {
	agents := make([]cleat.Member, 0, len(members))
	for _, m := range members {
		if m.Peer.Role == cleat.RoleAgent {
			agents = append(agents, m)
		}
	}
	if len(agents) <= FullMeshAgents {
		return instanceIDs(agents)
	}
	rank := rankFor(self, agents)
	sort.Slice(agents, func(i, j int) bool {
		return rank[agents[i].Peer.Instance] < rank[agents[j].Peer.Instance]
	})
	return instanceIDs(firstPerModel(agents))
}

// firstPerModel returns the first LinksPerModel agents of each model, in the given order.
func firstPerModel(agents []cleat.Member) []cleat.Member {
	links := make(map[cleat.ModelID]int)
	var chosen []cleat.Member
	for _, m := range agents {
		needed := false
		for _, model := range m.Models {
			needed = needed || links[model] < LinksPerModel
		}
		if !needed {
			continue
		}
		for _, model := range m.Models {
			links[model]++
		}
		chosen = append(chosen, m)
	}
	return chosen
}

// rankFor ranks the agents for one entry by rendezvous hashing (Thaler and Ravishankar,
// 1998).
func rankFor(self cleat.InstanceID, agents []cleat.Member) map[cleat.InstanceID]uint64 {
	rank := make(map[cleat.InstanceID]uint64, len(agents))
	for _, m := range agents {
		h := fnv.New64a()
		_, _ = h.Write([]byte(m.Peer.Instance))
		_, _ = h.Write([]byte{0})
		_, _ = h.Write([]byte(self))
		rank[m.Peer.Instance] = mix(h.Sum64())
	}
	return rank
}

// mix improves the weak high bits of FNV; it is the finaliser of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func instanceIDs(members []cleat.Member) []cleat.InstanceID {
	list := make([]cleat.InstanceID, 0, len(members))
	for _, m := range members {
		list = append(list, m.Peer.Instance)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}
