package queue

import (
	"sort"
	"time"

	"marigoldcleat.example/cleat"
)

// agent is one agent as this entry sees it.
type agent struct {
	id          cleat.InstanceID
	incarnation cleat.Incarnation
	domain      cleat.DomainID
	up          bool
	downAt      time.Time
	stateSeq    uint64
	upstreams   []*upstream
	pools       []*pool
	attempts    map[cleat.RequestID]*request
	adverts     map[*stream]*advert
	advertOrder []*advert // By first advert.
	seq         uint64
	whole       bool
	sentAt      time.Time
	lastGrant   uint64
}

// upstream is what an agent last reported of one of its upstreams.
type upstream struct {
	state    cleat.UpstreamState
	started  int             // Dispatches less ends since the state.
	prefixes map[uint32]bool // By the low half of the digest.
	order    []uint32
}

// AgentUp notes that the link to an agent is up and tells it all that waits.
func (t *Table) AgentUp(now time.Time, p cleat.Peer) cleat.Effects {
	var e cleat.Effects
	a, ok := t.agents[p.Instance]
	if !ok {
		a = &agent{id: p.Instance, attempts: map[cleat.RequestID]*request{}, adverts: map[*stream]*advert{}}
		t.agents[p.Instance] = a
		t.order = append(t.order, a)
		sort.Slice(t.order, func(i, j int) bool { return t.order[i].id < t.order[j].id })
	}
	if a.incarnation != p.Incarnation {
		t.loseAttempts(now, a, p.Incarnation, &e)
		a.incarnation, a.stateSeq, a.lastGrant = p.Incarnation, 0, 0
		a.upstreams, a.pools = nil, nil
	}
	a.domain, a.up = p.Domain, true
	t.dropAdverts(a)
	a.whole = true
	t.epoch++
	e.Add(t.plan(now))
	return e
}

// AgentDown notes that the link to an agent is lost.
func (t *Table) AgentDown(now time.Time, id cleat.InstanceID) cleat.Effects {
	a, ok := t.agents[id]
	if !ok || !a.up {
		return cleat.Effects{}
	}
	a.up, a.downAt = false, now
	t.dropAdverts(a)
	return t.plan(now)
}

// AgentState takes in what an agent tells of its upstreams.
func (t *Table) AgentState(now time.Time, from cleat.InstanceID, m *cleat.AgentState) cleat.Effects {
	a, ok := t.agents[from]
	if !ok || m.Incarnation != a.incarnation || m.Seq <= a.stateSeq {
		return cleat.Effects{}
	}
	a.stateSeq, a.domain = m.Seq, m.Domain
	former := a.upstreams
	a.upstreams, a.pools = nil, nil
	for i := range m.Upstreams {
		a.upstreams = append(a.upstreams, renew(former, &m.Upstreams[i], t.cfg.MaxPrefixes))
		for _, model := range m.Upstreams[i].Models {
			a.pools = append(a.pools, t.pool(now, poolKey{m.Upstreams[i].Kind, model}))
		}
	}
	a.refresh(now, t)
	t.epoch++
	return t.plan(now)
}

// Ask notes that an agent has free slots and sends it the offers that it does not have.
func (t *Table) Ask(now time.Time, from cleat.InstanceID, m *cleat.Ask) cleat.Effects {
	a, ok := t.agents[from]
	if !ok || !a.up || m.Incarnation != a.incarnation {
		return cleat.Effects{}
	}
	for _, s := range t.active {
		if a.serves(s) && asksFor(m, s.key.Model) {
			o := a.advert(s)
			o.left, o.dirty = 0, true
		}
	}
	return t.plan(now)
}

func asksFor(m *cleat.Ask, model cleat.ModelID) bool {
	for _, asked := range m.Models {
		if asked == model {
			return true
		}
	}
	return false
}

// renew carries the known prefixes of an upstream over to its new state.
func renew(former []*upstream, s *cleat.UpstreamState, most int) *upstream {
	u := &upstream{state: *s}
	for _, f := range former {
		if f.state.Upstream == s.Upstream && !s.ResetPrefixes {
			u.prefixes, u.order = f.prefixes, f.order
		}
	}
	if u.prefixes == nil {
		u.prefixes = map[uint32]bool{}
	}
	for _, d := range s.Prefixes {
		if !u.prefixes[d] {
			u.prefixes[d] = true
			u.order = append(u.order, d)
		}
	}
	for len(u.order) > most {
		delete(u.prefixes, u.order[0])
		u.order = u.order[1:]
	}
	u.state.Prefixes = nil
	return u
}

// refresh notes which pools the agent serves now.
func (a *agent) refresh(now time.Time, t *Table) {
	for _, u := range a.upstreams {
		if u.state.Leaving {
			continue
		}
		for _, model := range u.state.Models {
			t.pool(now, poolKey{u.state.Kind, model}).served = now
		}
	}
}

// serves reports whether an upstream of the agent takes the stream's requests.
func (a *agent) serves(s *stream) bool {
	if !a.up {
		return false
	}
	for _, u := range a.upstreams {
		if u.serves(s.pool.key) {
			return true
		}
	}
	return false
}

func (u *upstream) serves(k poolKey) bool {
	if u.state.Leaving || u.state.Kind != k.kind {
		return false
	}
	for _, model := range u.state.Models {
		if model == k.model {
			return true
		}
	}
	return false
}

// matched returns how many leading digests the upstream has cached.
func (u *upstream) matched(prefix []uint64) int {
	n := 0
	for _, d := range prefix {
		if !u.prefixes[uint32(d)] {
			break
		}
		n++
	}
	return n
}

func (a *agent) upstream(id cleat.UpstreamID) *upstream {
	for _, u := range a.upstreams {
		if u.state.Upstream == id {
			return u
		}
	}
	return nil
}

// loseAttempts gives up the attempts that an earlier life of the agent ran.
func (t *Table) loseAttempts(now time.Time, a *agent, keep cleat.Incarnation, e *cleat.Effects) {
	for _, r := range a.sorted() {
		if r.incarnation != keep {
			t.conclude(now, r, cleat.Outcome{Kind: cleat.OutcomeUnknown, Reason: cleat.ReasonAgentLost, AnswerStarted: r.begun}, e)
		}
	}
}

func (a *agent) sorted() []*request {
	list := make([]*request, 0, len(a.attempts))
	for _, r := range a.attempts {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].work.ID < list[j].work.ID })
	return list
}

func (t *Table) expireAgents(now time.Time, e *cleat.Effects) {
	for _, a := range t.order {
		if a.up || len(a.attempts) == 0 || now.Sub(a.downAt) < t.cfg.ResumeGrace {
			continue
		}
		t.loseAttempts(now, a, 0, e)
	}
}
