package queue

import (
	"math"
	"sort"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/route"
)

// enough is how much waiting work an agent needs to know of: more than it
// grants between two offers.
const enough = 16

// freshBound is how long a workspace may have waited and still count as just
// returned from idle.
const freshBound = 100 * time.Millisecond

// advert is the offer of one stream as one agent last received it.
type advert struct {
	agent        *agent
	stream       *stream
	left         int // What the agent believes is still waiting.
	dirty        bool
	advertisedAt time.Time
	heldUntil    time.Time // After it granted a slot that nothing could use.
}

func (a *agent) advert(s *stream) *advert {
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

// dropAdverts forgets the offers that an agent has.
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

// widen doubles the agents that have an offer of streams whose first request goes on waiting.
func (t *Table) widen(now time.Time) {
	for _, s := range t.active {
		if now.Before(s.widenAt) || s.spread >= t.cfg.MaxSpread {
			continue
		}
		s.spread = min(max(2*s.spread, t.cfg.Spread), t.cfg.MaxSpread)
		s.widenAt = now.Add(t.cfg.WidenAfter)
	}
}

// plan chooses whom to tell of what waits and sends what is due.
func (t *Table) plan(now time.Time) cleat.Effects {
	for _, s := range t.active {
		t.choose(s)
	}
	var e cleat.Effects
	for _, a := range t.order {
		if m := t.offers(now, a); m != nil {
			e.Sends = append(e.Sends, cleat.Send{To: a.id, Message: m})
		}
	}
	return e
}

// choose adds agents to a stream's adverts until its spread is reached.
func (t *Table) choose(s *stream) {
	advertised := 0
	for _, o := range s.adverts {
		if o.left > 0 || o.dirty {
			advertised++
		}
	}
	for advertised < s.spread && s.lacking != t.epoch {
		a, full := t.nearest(s)
		if a == nil {
			s.lacking = t.epoch
			return
		}
		if full {
			s.spread = max(s.spread, t.cfg.Spread)
		}
		o := a.advert(s)
		o.dirty = true
		advertised++
	}
}

// nearest returns the best agent that has no offer of the stream, and whether
// it seems to have no free slot.
func (t *Table) nearest(s *stream) (best *agent, full bool) {
	least := math.Inf(1)
	for _, a := range t.order {
		if o, ok := a.adverts[s]; (ok && (o.left > 0 || o.dirty)) || !a.serves(s) {
			continue
		}
		c := t.candidate(a, s)
		if score := c.Score(); score < least {
			best, least, full = a, score, c.Full()
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
		c.Running += int(u.state.Running) + u.started
		c.Matched = max(c.Matched, u.matched(prefix))
	}
	return c
}

// offers builds the message due to an agent, or nil.
func (t *Table) offers(now time.Time, a *agent) *cleat.Offers {
	if !a.up {
		return nil
	}
	interval := now.Sub(a.sentAt) >= t.cfg.OfferInterval
	send := a.whole
	for _, o := range a.advertOrder {
		o.review(now, t.cfg.RefreshInterval)
		send = send || (o.dirty && (interval || o.urgent()))
	}
	if !send {
		return nil
	}
	a.seq++
	m := &cleat.Offers{Incarnation: t.self.Incarnation, Seq: a.seq, Complete: a.whole, LastGrant: a.lastGrant}
	for _, o := range a.advertOrder {
		if o.dirty || (a.whole && o.left > 0) {
			m.Offers = append(m.Offers, t.offer(now, o))
		}
	}
	a.whole, a.sentAt = false, now
	a.prune()
	return m
}

// review marks an advert that is too far from what waits.
func (o *advert) review(now time.Time, refresh time.Duration) {
	waiting := o.stream.waiting
	switch {
	case now.Before(o.heldUntil):
		o.dirty = false
	case o.left > 0 && o.left < enough && waiting >= 4*o.left:
		o.dirty = true
	case o.left > 0 && waiting < enough && 4*waiting <= o.left:
		o.dirty = true
	case o.left > 0 && now.Sub(o.advertisedAt) >= refresh:
		o.dirty = true
	case o.left == 0 && waiting == 0:
		o.dirty = false
	}
}

// urgent reports whether the agent believes that nothing waits while something does.
func (o *advert) urgent() bool {
	return o.left == 0 && o.stream.waiting > 0
}

func (t *Table) offer(now time.Time, o *advert) cleat.Offer {
	s := o.stream
	m := cleat.Offer{Stream: s.key, Waiting: uint32(s.waiting), Rank: s.rank, Share: s.workspace.share}
	if r := s.head(); r != nil && s.waiting > 0 {
		m.HeadCost = cleat.Cost(math.Ceil(float64(t.costs.Estimate(&r.work))))
		m.Age = cleat.Seconds(math.Floor(now.Sub(r.work.Received).Seconds()))
		m.NewlyActive = now.Sub(s.workspace.busySince) <= freshBound
		m.Affinity = o.affinity(r)
	}
	o.left, o.dirty, o.advertisedAt = s.waiting, false, now
	return m
}

// affinity is the cached part of the first request's prefix, in 255ths.
func (o *advert) affinity(r *request) uint8 {
	if len(r.work.Prefix) == 0 {
		return 0
	}
	best := 0
	for _, u := range o.agent.upstreams {
		if u.serves(o.stream.pool.key) {
			best = max(best, u.matched(r.work.Prefix))
		}
	}
	return uint8(255 * best / len(r.work.Prefix))
}

// prune drops the adverts of streams that were withdrawn.
func (a *agent) prune() {
	kept := a.advertOrder[:0]
	for _, o := range a.advertOrder {
		if o.left > 0 || o.dirty || o.stream.waiting > 0 {
			kept = append(kept, o)
			continue
		}
		delete(a.adverts, o.stream)
		o.stream.lacking = 0
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
