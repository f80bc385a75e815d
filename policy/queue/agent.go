package queue

import (
	"sort"
	"time"

	"marigoldcleat.example/cleat"
)

// agent is this entry's view of one agent.
type agent struct {
	id           cleat.InstanceID
	incarnation  cleat.Incarnation
	domain       cleat.DomainID
	up           bool
	downAt       time.Time
	stateSeq     uint64
	upstreams    []*upstream
	pools        []*pool
	attempts     map[cleat.RequestID]*request
	adverts      map[*stream]*advert
	advertOrder  []*advert // In the order in which the streams were first offered.
	offerSeq     uint64
	sendComplete bool // The next Offers message lists every stream.
	sentAt       time.Time
	lastGrant    uint64
}

// upstream is the last reported state of one of an agent's upstreams.
type upstream struct {
	state        cleat.UpstreamState
	runningDelta int             // Attempts started minus attempts ended since state was reported.
	prefixes     map[uint32]bool // Keyed by the low 32 bits of the digest.
	prefixOrder  []uint32        // Keys of prefixes, oldest first.
}

// AgentUp records that the link to an agent is up and sends it a complete set of offers.
// Attempts of an earlier incarnation end with an unknown outcome.
func (t *Table) AgentUp(now time.Time, p cleat.Peer) cleat.Effects {
	var e cleat.Effects
	a, ok := t.agents[p.Instance]
	if !ok {
		a = &agent{id: p.Instance, attempts: map[cleat.RequestID]*request{}, adverts: map[*stream]*advert{}}
		t.agents[p.Instance] = a
		t.agentOrder = append(t.agentOrder, a)
		sort.Slice(t.agentOrder, func(i, j int) bool { return t.agentOrder[i].id < t.agentOrder[j].id })
	}
	if a.incarnation != p.Incarnation {
		t.abandonAttempts(now, a, p.Incarnation, &e)
		a.incarnation, a.stateSeq, a.lastGrant = p.Incarnation, 0, 0
		a.upstreams, a.pools = nil, nil
	}
	a.domain, a.up = p.Domain, true
	t.dropAdverts(a)
	a.sendComplete = true
	t.epoch++
	e.Add(t.planOffers(now))
	return e
}

// AgentDown records that the link to an agent is down. Its attempts are kept for
// ResumeGrace.
func (t *Table) AgentDown(now time.Time, id cleat.InstanceID) cleat.Effects {
	a, ok := t.agents[id]
	if !ok || !a.up {
		return cleat.Effects{}
	}
	a.up, a.downAt = false, now
	t.dropAdverts(a)
	return t.planOffers(now)
}

// AgentState applies an agent's report of its upstreams; stale reports are ignored.
func (t *Table) AgentState(now time.Time, from cleat.InstanceID, m *cleat.AgentState) cleat.Effects {
	a, ok := t.agents[from]
	if !ok || m.Incarnation != a.incarnation || m.Seq <= a.stateSeq {
		return cleat.Effects{}
	}
	a.stateSeq, a.domain = m.Seq, m.Domain
	previous := a.upstreams
	a.upstreams, a.pools = nil, nil
	for i := range m.Upstreams {
		a.upstreams = append(a.upstreams, newUpstream(previous, &m.Upstreams[i], t.cfg.MaxPrefixes))
		for _, model := range m.Upstreams[i].Models {
			a.pools = append(a.pools, t.pool(now, poolKey{m.Upstreams[i].Kind, model}))
		}
	}
	a.markPoolsServed(now, t)
	t.epoch++
	return t.planOffers(now)
}

// Ask handles an agent's message that it has free slots for some models: every stream
// of those models is offered to it again.
func (t *Table) Ask(now time.Time, from cleat.InstanceID, m *cleat.Ask) cleat.Effects {
	a, ok := t.agents[from]
	if !ok || !a.up || m.Incarnation != a.incarnation {
		return cleat.Effects{}
	}
	for _, s := range t.active {
		if a.serves(s) && asksFor(m, s.key.Model) {
			o := a.advertFor(s)
			o.remaining, o.dirty = 0, true
		}
	}
	return t.planOffers(now)
}

func asksFor(m *cleat.Ask, model cleat.ModelID) bool {
	for _, asked := range m.Models {
		if asked == model {
			return true
		}
	}
	return false
}

// newUpstream returns the upstream of a reported state. It keeps the cached prefixes known
// from the agent's previous upstreams, unless the state resets them, and evicts the oldest
// beyond maxPrefixes.
func newUpstream(previous []*upstream, s *cleat.UpstreamState, maxPrefixes int) *upstream {
	u := &upstream{state: *s}
	for _, p := range previous {
		if p.state.Upstream == s.Upstream && !s.ResetPrefixes {
			u.prefixes, u.prefixOrder = p.prefixes, p.prefixOrder
		}
	}
	if u.prefixes == nil {
		u.prefixes = map[uint32]bool{}
	}
	for _, d := range s.Prefixes {
		if !u.prefixes[d] {
			u.prefixes[d] = true
			u.prefixOrder = append(u.prefixOrder, d)
		}
	}
	for len(u.prefixOrder) > maxPrefixes {
		delete(u.prefixes, u.prefixOrder[0])
		u.prefixOrder = u.prefixOrder[1:]
	}
	u.state.Prefixes = nil
	return u
}

// markPoolsServed records that the agent serves its pools now.
func (a *agent) markPoolsServed(now time.Time, t *Table) {
	for _, u := range a.upstreams {
		if u.state.Leaving {
			continue
		}
		for _, model := range u.state.Models {
			t.pool(now, poolKey{u.state.Kind, model}).servedAt = now
		}
	}
}

// serves reports whether an upstream of the agent accepts the stream's requests.
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

// matchedBlocks returns how many leading blocks of the prefix the upstream has cached.
func (u *upstream) matchedBlocks(prefix []uint64) int {
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

// abandonAttempts ends the agent's attempts of incarnations other than current, or all if
// current is 0; their outcome is unknown.
func (t *Table) abandonAttempts(now time.Time, a *agent, current cleat.Incarnation, e *cleat.Effects) {
	for _, r := range a.sortedAttempts() {
		if r.incarnation != current {
			t.concludeAttempt(now, r, cleat.Outcome{Kind: cleat.OutcomeUnknown, Reason: cleat.ReasonAgentLost, AnswerStarted: r.answerStarted}, e)
		}
	}
}

// sortedAttempts returns the requests that run on the agent, sorted by id.
func (a *agent) sortedAttempts() []*request {
	list := make([]*request, 0, len(a.attempts))
	for _, r := range a.attempts {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].work.ID < list[j].work.ID })
	return list
}

// expireAttempts abandons the attempts on agents that have been down for ResumeGrace.
func (t *Table) expireAttempts(now time.Time, e *cleat.Effects) {
	for _, a := range t.agentOrder {
		if a.up || len(a.attempts) == 0 || now.Sub(a.downAt) < t.cfg.ResumeGrace {
			continue
		}
		t.abandonAttempts(now, a, 0, e)
	}
}
