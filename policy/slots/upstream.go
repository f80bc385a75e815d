package slots

import (
	"sort"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/admit"
	"marigoldcleat.example/cleat/policy/fair"
)

// upstream is one upstream beside this agent.
type upstream struct {
	id       cleat.UpstreamID
	kind     cleat.UpstreamKind
	models   []cleat.ModelID
	pools    []*fair.Heap // Of its models.
	limiter  *admit.Limiter
	admitted int // The limit as last looked at, as are the next two.
	full     bool
	slow     bool
	running  int
	granted  int
	heard    time.Time
	leaving  bool // Announced.
	drained  bool // Ordered here.
	gone     bool
	load     cleat.LoadReport
	prefixes prefixes
}

// Announce takes in an upstream's heartbeat.
func (t *Table) Announce(now time.Time, a cleat.Announcement) cleat.Effects {
	u, ok := t.upstreams[a.Upstream]
	if !ok {
		u = &upstream{id: a.Upstream, kind: a.Kind, limiter: admit.New(t.cfg.Admit, a.Kind, a.Slots)}
		t.upstreams[a.Upstream] = u
		t.ups = append(t.ups, u)
		sort.Slice(t.ups, func(i, j int) bool { return t.ups[i].id < t.ups[j].id })
	}
	u.heard, u.gone = now, false
	u.leaving = a.Leaving || u.drained
	t.serve(u, a.Models)
	if !ok || u.leaving {
		t.stateDue()
	}
	if u.leaving {
		t.voidUpstream(u)
	}
	return t.grant(now)
}

// LoadReport notes an upstream's own word on its load.
func (t *Table) LoadReport(_ time.Time, r cleat.LoadReport) {
	if u, ok := t.upstreams[r.Upstream]; ok {
		u.load = r
	}
}

// CacheEvent notes which prefixes an upstream holds; a gap in Seq forgets all.
func (t *Table) CacheEvent(_ time.Time, e cleat.CacheEvent) {
	if u, ok := t.upstreams[e.Upstream]; ok {
		u.prefixes.event(e, t.cfg.MaxPrefixes)
	}
}

// DrainUpstream gives an upstream no more work; what runs there goes on.
func (t *Table) DrainUpstream(now time.Time, id cleat.UpstreamID) cleat.Effects {
	u, ok := t.upstreams[id]
	if !ok {
		return cleat.Effects{}
	}
	u.drained, u.leaving = true, true
	t.voidUpstream(u)
	t.stateDue()
	return t.grant(now)
}

func (t *Table) serve(u *upstream, models []cleat.ModelID) {
	if sameModels(u.models, models) && u.pools != nil {
		return
	}
	u.models = append([]cleat.ModelID(nil), models...)
	u.pools = u.pools[:0]
	for _, model := range models {
		u.pools = append(u.pools, t.pool(poolKey{u.kind, model}))
	}
	t.stateDue()
}

func (t *Table) voidUpstream(u *upstream) {
	for _, g := range t.live {
		if !g.done && g.upstream == u {
			t.release(g)
		}
	}
}

func (t *Table) expireUpstreams(now time.Time) {
	for i := 0; i < len(t.ups); i++ {
		u := t.ups[i]
		if u.gone || now.Sub(u.heard) <= t.cfg.UpstreamTimeout {
			continue
		}
		u.gone = true
		t.voidUpstream(u)
		t.stateDue()
		if u.running == 0 {
			t.removeUpstream(u)
			i--
		}
	}
}

func (t *Table) removeUpstream(u *upstream) {
	delete(t.upstreams, u.id)
	for i, other := range t.ups {
		if other == u {
			t.ups = append(t.ups[:i], t.ups[i+1:]...)
			return
		}
	}
}

// limit returns how many requests the upstream may hold now, grants included.
func (u *upstream) limit(now time.Time) int {
	if u.leaving || u.gone {
		return 0
	}
	return u.limiter.Limit(now)
}

func (u *upstream) used() int { return u.running + u.granted }

func (u *upstream) learnPrefix(digests []uint64, most int) {
	u.prefixes.add(digests, most)
}

func (u *upstream) state() cleat.UpstreamState {
	return cleat.UpstreamState{
		Upstream: u.id, Kind: u.kind, Models: u.models, Limit: uint32(u.admitted),
		Running: uint32(u.used()), Leaving: u.leaving || u.gone, Slow: u.limiter.Slow(),
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
