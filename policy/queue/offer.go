package queue

import (
	"math"
	"sort"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/route"
)

// sufficientBacklog is the number of waiting requests at or above which an agent needs no
// exact count, since it is more than the agent grants between two offers.
const sufficientBacklog = 16

// newlyActiveBound is how long a workspace may have had waiting requests and still count
// as newly active after being idle.
const newlyActiveBound = 100 * time.Millisecond

// advert is the state of one stream's offer to one agent.
type advert struct {
	agent        *agent
	stream       *stream
	remaining    int  // Waiting requests last offered to the agent, minus the grants used since.
	dirty        bool // To be sent.
	advertisedAt time.Time
	heldUntil    time.Time // Not offered before then; set after the agent granted a slot that no request could use.
}

// advertFor returns the agent's advert of the stream, which it creates if there is none.
func (a *agent) advertFor(s *stream) *advert {
	if o, ok := a.adverts[s]; ok {
		return o
	}
	o := &advert{agent: a, stream: s}
	a.adverts[s] = o
	a.advertOrder = append(a.advertOrder, o)
	at := sort.Search(len(s.adverts), func(i int) bool { return s.adverts[i].agent.id > a.id })
	s.adverts = append(s.adverts, nil)
	copy(s.adverts[at+1:], s.adverts[at:])
	s.adverts[at] = o
	return o
}

// dropAdverts removes all adverts of an agent.
func (t *Table) dropAdverts(a *agent) {
	for _, o := range a.advertOrder {
		for i, other := range o.stream.adverts {
			if other == o {
				o.stream.adverts = append(o.stream.adverts[:i], o.stream.adverts[i+1:]...)
				break
			}
		}
	}
	a.adverts, a.advertOrder = map[*stream]*advert{}, nil
}

// widenSpreads doubles the number of agents that a stream is offered to, up to MaxSpread,
// while its requests keep waiting.
func (t *Table) widenSpreads(now time.Time) {
	for _, s := range t.active {
		if now.Before(s.widenAt) || s.spread >= t.cfg.MaxSpread {
			continue
		}
		s.spread = min(max(2*s.spread, t.cfg.Spread), t.cfg.MaxSpread)
		s.widenAt = now.Add(t.cfg.WidenInterval)
	}
}

// planOffers chooses the agents for each active stream and returns the offers that are due.
func (t *Table) planOffers(now time.Time) cleat.Effects {
	for _, s := range t.active {
		t.chooseAgents(s)
	}
	var e cleat.Effects
	for _, a := range t.agentOrder {
		if m := t.buildOffers(now, a); m != nil {
			e.Sends = append(e.Sends, cleat.Send{To: a.id, Message: m})
		}
	}
	return e
}

// chooseAgents adds agents to a stream's adverts until its spread is reached.
func (t *Table) chooseAgents(s *stream) {
	advertised := 0
	for _, o := range s.adverts {
		if o.remaining > 0 || o.dirty {
			advertised++
		}
	}
	for advertised < s.spread && s.exhaustedEpoch != t.epoch {
		a, full := t.bestAgent(s)
		if a == nil {
			s.exhaustedEpoch = t.epoch
			return
		}
		if full {
			s.spread = max(s.spread, t.cfg.Spread)
		}
		o := a.advertFor(s)
		o.dirty = true
		advertised++
	}
}

// bestAgent returns the agent with the lowest score among those that serve the stream and
// have no offer of it, or nil, and whether that agent seems to have no free slot.
func (t *Table) bestAgent(s *stream) (best *agent, full bool) {
	bestScore := math.Inf(1)
	for _, a := range t.agentOrder {
		if o, ok := a.adverts[s]; (ok && (o.remaining > 0 || o.dirty)) || !a.serves(s) {
			continue
		}
		c := t.candidate(a, s)
		if score := c.Score(); score < bestScore {
			best, bestScore, full = a, score, c.Full()
		}
	}
	return best, full
}

func (t *Table) candidate(a *agent, s *stream) route.Candidate {
	c := route.Candidate{SameDomain: a.domain == t.self.Domain, Slow: true, Random: t.rnd.Float64()}
	var prefix []uint64
	if r := s.head(); r != nil {
		prefix = r.work.Prefix
	}
	for _, u := range a.upstreams {
		if !u.serves(s.pool.key) {
			continue
		}
		c.Slow = c.Slow && u.state.Slow
		c.Limit += int(u.state.Limit)
		c.Running += int(u.state.Running) + u.runningDelta
		c.MatchedBlocks = max(c.MatchedBlocks, u.matchedBlocks(prefix))
	}
	return c
}

// buildOffers returns the message that is due to an agent, or nil.
func (t *Table) buildOffers(now time.Time, a *agent) *cleat.Offers {
	if !a.up {
		return nil
	}
	intervalPassed := now.Sub(a.sentAt) >= t.cfg.OfferInterval
	send := a.sendComplete
	for _, o := range a.advertOrder {
		o.updateDirty(now, t.cfg.RefreshInterval)
		send = send || (o.dirty && (intervalPassed || o.urgent()))
	}
	if !send {
		return nil
	}
	a.offerSeq++
	m := &cleat.Offers{Incarnation: t.self.Incarnation, Seq: a.offerSeq, Complete: a.sendComplete, LastGrant: a.lastGrant}
	for _, o := range a.advertOrder {
		if o.dirty || (a.sendComplete && o.remaining > 0) {
			m.Offers = append(m.Offers, t.buildOffer(now, o))
		}
	}
	a.sendComplete, a.sentAt = false, now
	a.pruneAdverts()
	return m
}

// updateDirty marks an advert for sending if requests remain of the offer, and either their
// number and the number of waiting requests differ by a factor of 4 or more and the lower is
// below sufficientBacklog, or a refresh is due. It clears the mark while the advert is held
// back, and when the agent already knows that nothing waits.
func (o *advert) updateDirty(now time.Time, refresh time.Duration) {
	waiting := o.stream.waiting
	switch {
	case now.Before(o.heldUntil):
		o.dirty = false
	case o.remaining > 0 && o.remaining < sufficientBacklog && waiting >= 4*o.remaining:
		o.dirty = true
	case o.remaining > 0 && waiting < sufficientBacklog && 4*waiting <= o.remaining:
		o.dirty = true
	case o.remaining > 0 && now.Sub(o.advertisedAt) >= refresh:
		o.dirty = true
	case o.remaining == 0 && waiting == 0:
		o.dirty = false
	}
}

// urgent reports whether requests wait and none remain of what was offered to the agent.
func (o *advert) urgent() bool {
	return o.remaining == 0 && o.stream.waiting > 0
}

func (t *Table) buildOffer(now time.Time, o *advert) cleat.Offer {
	s := o.stream
	m := cleat.Offer{Stream: s.key, Waiting: uint32(s.waiting), Rank: s.rank, Share: s.workspace.share}
	if r := s.head(); r != nil && s.waiting > 0 {
		m.HeadCost = cleat.Cost(math.Ceil(float64(t.costs.Estimate(&r.work))))
		m.Age = cleat.Seconds(math.Floor(now.Sub(r.work.Received).Seconds()))
		m.NewlyActive = now.Sub(s.workspace.busySince) <= newlyActiveBound
		m.Affinity = o.affinity(r)
	}
	o.remaining, o.dirty, o.advertisedAt = s.waiting, false, now
	return m
}

// affinity returns the cached fraction of the first request's prefix, in 255ths.
func (o *advert) affinity(r *request) uint8 {
	if len(r.work.Prefix) == 0 {
		return 0
	}
	best := 0
	for _, u := range o.agent.upstreams {
		if u.serves(o.stream.pool.key) {
			best = max(best, u.matchedBlocks(r.work.Prefix))
		}
	}
	return uint8(255 * best / len(r.work.Prefix))
}

// pruneAdverts removes the adverts of streams that have no waiting requests any more.
func (a *agent) pruneAdverts() {
	kept := a.advertOrder[:0]
	for _, o := range a.advertOrder {
		if o.remaining > 0 || o.dirty || o.stream.waiting > 0 {
			kept = append(kept, o)
			continue
		}
		delete(a.adverts, o.stream)
		o.stream.exhaustedEpoch = 0
		for i, other := range o.stream.adverts {
			if other == o {
				o.stream.adverts = append(o.stream.adverts[:i], o.stream.adverts[i+1:]...)
				break
			}
		}
	}
	clear(a.advertOrder[len(kept):])
	a.advertOrder = kept
}
