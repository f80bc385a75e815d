package slots

import (
	"sort"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/admit"
	"marigoldcleat.example/cleat/policy/fair"
)

// upstream is the scheduling state of one upstream of this agent.
type upstream struct {
	id           cleat.UpstreamID
	kind         cleat.UpstreamKind
	models       []cleat.ModelID
	pools        []*fair.Heap // One for each of its models.
	limiter      *admit.Limiter
	lastLimit    int // Limit as of the last sendStates; so are wasFull and wasSlow.
	wasFull      bool
	wasSlow      bool
	running      int // Attempts.
	granted      int // Live grants.
	announcedAt  time.Time
	leaving      bool // The upstream announced that it leaves, or drainOrdered is set.
	drainOrdered bool // Set by DrainUpstream.
	timedOut     bool
	load         cleat.LoadReport
	prefixes     prefixCache
}

// Announce registers an upstream or renews its registration. Each heartbeat of the
// upstream carries an announcement.
func (t *Table) Announce(now time.Time, a cleat.Announcement) cleat.Effects {
	u, ok := t.upstreams[a.Upstream]
	if !ok {
		u = &upstream{id: a.Upstream, kind: a.Kind, limiter: admit.New(t.cfg.Admit, a.Kind, a.Slots)}
		t.upstreams[a.Upstream] = u
		t.sortedUpstreams = append(t.sortedUpstreams, u)
		sort.Slice(t.sortedUpstreams, func(i, j int) bool { return t.sortedUpstreams[i].id < t.sortedUpstreams[j].id })
	}
	u.announcedAt, u.timedOut = now, false
	u.leaving = a.Leaving || u.drainOrdered
	t.setModels(u, a.Models)
	if !ok || u.leaving {
		t.markStatesDue()
	}
	if u.leaving {
		t.revokeUpstreamGrants(u)
	}
	return t.grantFreeSlots(now)
}

// ApplyLoadReport records the load that an upstream reported.
func (t *Table) ApplyLoadReport(_ time.Time, r cleat.LoadReport) {
	if u, ok := t.upstreams[r.Upstream]; ok {
		u.load = r
	}
}

// ApplyCacheEvent records which prefixes an upstream added and evicted; a gap in Seq
// discards all earlier ones.
func (t *Table) ApplyCacheEvent(_ time.Time, e cleat.CacheEvent) {
	if u, ok := t.upstreams[e.Upstream]; ok {
		u.prefixes.applyEvent(e, t.cfg.MaxPrefixes)
	}
}

// DrainUpstream stops new work on an upstream; attempts running there continue.
func (t *Table) DrainUpstream(now time.Time, id cleat.UpstreamID) cleat.Effects {
	u, ok := t.upstreams[id]
	if !ok {
		return cleat.Effects{}
	}
	u.drainOrdered, u.leaving = true, true
	t.revokeUpstreamGrants(u)
	t.markStatesDue()
	return t.grantFreeSlots(now)
}

func (t *Table) setModels(u *upstream, models []cleat.ModelID) {
	if sameModels(u.models, models) && u.pools != nil {
		return
	}
	u.models = append([]cleat.ModelID(nil), models...)
	u.pools = u.pools[:0]
	for _, model := range models {
		u.pools = append(u.pools, t.poolHeap(poolKey{u.kind, model}))
	}
	t.markStatesDue()
}

func (t *Table) revokeUpstreamGrants(u *upstream) {
	for _, g := range t.liveGrants {
		if !g.released && g.upstream == u {
			t.releaseGrant(g)
		}
	}
}

// expireUpstreams marks upstreams without a recent announcement as timed out and
// removes them once nothing runs there.
func (t *Table) expireUpstreams(now time.Time) {
	for i := 0; i < len(t.sortedUpstreams); i++ {
		u := t.sortedUpstreams[i]
		if u.timedOut || now.Sub(u.announcedAt) <= t.cfg.UpstreamTimeout {
			continue
		}
		u.timedOut = true
		t.revokeUpstreamGrants(u)
		t.markStatesDue()
		if u.running == 0 {
			t.removeUpstream(u)
			i--
		}
	}
}

func (t *Table) removeUpstream(u *upstream) {
	delete(t.upstreams, u.id)
	for i, other := range t.sortedUpstreams {
		if other == u {
			t.sortedUpstreams = append(t.sortedUpstreams[:i], t.sortedUpstreams[i+1:]...)
			return
		}
	}
}

// limit returns how many slots the upstream has now, occupied ones included.
func (u *upstream) limit(now time.Time) int {
	if u.leaving || u.timedOut {
		return 0
	}
	return u.limiter.Limit(now)
}

// occupied returns how many slots run an attempt or are granted.
func (u *upstream) occupied() int { return u.running + u.granted }

func (u *upstream) addPrefixes(digests []uint64, maxDigests int) {
	u.prefixes.add(digests, maxDigests)
}

func (u *upstream) state() cleat.UpstreamState {
	return cleat.UpstreamState{
		Upstream: u.id, Kind: u.kind, Models: u.models, Limit: uint32(u.lastLimit),
		Running: uint32(u.occupied()), Leaving: u.leaving || u.timedOut, Slow: u.limiter.Slow(),
	}
}

func sameModels(a, b []cleat.ModelID) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
