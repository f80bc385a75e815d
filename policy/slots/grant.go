package slots

import (
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/fair"
	"marigoldcleat.example/cleat/stand/assert"
)

// grant is a slot lent to an entry until it dispatches, declines or lets it expire.
type grant struct {
	id       uint64
	offer    *offer
	upstream *upstream
	counted  bool    // In its offer's granted.
	pending  float64 // Held against the workspace, for one share.
	expires  time.Time
	done     bool
}

// grant lends every free slot for which something waits.
func (t *Table) grant(now time.Time) cleat.Effects {
	if t.draining {
		return cleat.Effects{}
	}
	for {
		u := t.freest(now)
		if u == nil {
			break
		}
		t.issue(now, u, t.pick(now, u))
	}
	return t.collect()
}

// freest returns the upstream with the largest free part of its limit for which
// something waits; one that reported a queue of its own comes later.
func (t *Table) freest(now time.Time) *upstream {
	var best *upstream
	most := 0.0
	for _, u := range t.ups {
		limit := u.limit(now)
		free := limit - u.used()
		if free <= 0 || !t.wanted(u) {
			continue
		}
		part := float64(free) / float64(limit) / float64(1+u.load.Queued)
		if part > most {
			best, most = u, part
		}
	}
	return best
}

func (t *Table) wanted(u *upstream) bool {
	for _, h := range u.pools {
		if h.Len() > 0 {
			return true
		}
	}
	return false
}

// pick returns the offer that goes next on an upstream, or nil.
func (t *Table) pick(now time.Time, u *upstream) *offer {
	var first *fair.Item
	for _, h := range u.pools {
		if it := h.Min(); it != nil && (first == nil || it.Key() < first.Key()) {
			first = it
		}
	}
	if first == nil {
		return nil
	}
	return first.Owner().(*lane).best(now, t.cfg.AgeingAfter)
}

func (t *Table) issue(now time.Time, u *upstream, o *offer) {
	f := o.lane.flow
	if t.lastGrant%gapCheckEvery == 0 {
		t.checkGap(u, f)
	}
	f.starved, f.servedAt = false, now
	t.lastGrant++
	g := &grant{
		id: t.lastGrant, offer: o, upstream: u,
		pending: float64(max(o.head, 1)) / f.share,
		expires: now.Add(t.cfg.GrantLifetime + t.cfg.GrantSlack),
	}
	t.grants[g.id] = g
	t.live = append(t.live, g)
	u.granted++
	g.counted = true
	o.granted++
	f.pending += g.pending
	if limit := u.limit(now); u.used() > limit {
		assert.Fail("slot-granted-once", "%s holds %d of %d", u.id, u.used(), limit)
	}
	t.list(o)
	t.place(f)
	o.entry.out = append(o.entry.out, cleat.Grant{
		ID: g.id, Stream: o.stream, Upstream: u.id, Lifetime: t.cfg.GrantLifetime,
	})
}

// release takes a grant back, used or not.
func (t *Table) release(g *grant) {
	if g.done {
		return
	}
	g.done = true
	delete(t.grants, g.id)
	g.upstream.granted--
	g.uncount()
	f := g.offer.lane.flow
	f.pending -= g.pending
	if len(t.grants) == 0 {
		t.live = t.live[:0]
	}
	t.list(g.offer)
	t.place(f)
}

// uncount leaves the grant out of what its offer still has to give.
func (g *grant) uncount() {
	if g.counted {
		g.counted = false
		g.offer.granted--
	}
}

func (t *Table) expireGrants(now time.Time) {
	n := 0
	for _, g := range t.live {
		if !g.done && now.Before(g.expires) {
			break
		}
		n++
		if !g.done && g.counted {
			g.offer.waiting = 0
		}
		t.release(g)
	}
	if n > 0 && n <= len(t.live) {
		t.live = append(t.live[:0], t.live[n:]...)
	}
}

// collect turns the grants made into one message for each entry.
func (t *Table) collect() cleat.Effects {
	var e cleat.Effects
	for _, ent := range t.ents {
		if len(ent.out) == 0 {
			continue
		}
		e.Sends = append(e.Sends, cleat.Send{
			To: ent.id, Message: &cleat.Grants{Incarnation: t.self.Incarnation, Grants: ent.out},
		})
		ent.out = nil
	}
	return e
}
