package slots

import (
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/fair"
	"marigoldcleat.example/cleat/stand/assert"
)

// grant reserves a slot for an entry until the entry dispatches a request or
// declines, or the grant expires.
type grant struct {
	id          uint64
	offer       *offer
	upstream    *upstream
	unseen      bool    // The entry sent its offer before it received the grant; included in unseenGrants.
	pendingCost float64 // Counted against the workspace, per share.
	expiresAt   time.Time
	released    bool
}

// grantFreeSlots grants every free slot for which a request waits.
func (t *Table) grantFreeSlots(now time.Time) cleat.Effects {
	if t.draining {
		return cleat.Effects{}
	}
	for {
		u := t.freestUpstream(now)
		if u == nil {
			break
		}
		t.issueGrant(now, u, t.pickOffer(now, u))
	}
	return t.collectGrants()
}

// freestUpstream returns the upstream with the largest free fraction of its limit
// among those for which requests wait, or nil. An upstream that reports a queue of
// its own ranks lower.
func (t *Table) freestUpstream(now time.Time) *upstream {
	var best *upstream
	bestFraction := 0.0
	for _, u := range t.sortedUpstreams {
		limit := u.limit(now)
		free := limit - u.occupied()
		if free <= 0 || !t.hasDemand(u) {
			continue
		}
		fraction := float64(free) / float64(limit) / float64(1+u.load.Queued)
		if fraction > bestFraction {
			best, bestFraction = u, fraction
		}
	}
	return best
}

func (t *Table) hasDemand(u *upstream) bool {
	for _, h := range u.pools {
		if h.Len() > 0 {
			return true
		}
	}
	return false
}

// pickOffer returns the offer to serve next on an upstream, or nil.
func (t *Table) pickOffer(now time.Time, u *upstream) *offer {
	var first *fair.Item
	for _, h := range u.pools {
		if it := h.Min(); it != nil && (first == nil || it.Key() < first.Key()) {
			first = it
		}
	}
	if first == nil {
		return nil
	}
	return first.Owner().(*queue).nextOffer(now, t.cfg.AgeingPeriod)
}

func (t *Table) issueGrant(now time.Time, u *upstream, o *offer) {
	f := o.queue.flow
	if t.lastGrant%grantsPerGapCheck == 0 {
		t.checkServiceGap(u, f)
	}
	f.starved, f.servedAt = false, now
	t.lastGrant++
	g := &grant{
		id: t.lastGrant, offer: o, upstream: u,
		pendingCost: float64(max(o.headCost, 1)) / f.share,
		expiresAt:   now.Add(t.cfg.GrantLifetime + t.cfg.GrantSlack),
	}
	t.grants[g.id] = g
	t.liveGrants = append(t.liveGrants, g)
	u.granted++
	g.unseen = true
	o.unseenGrants++
	f.pendingCost += g.pendingCost
	if limit := u.limit(now); u.occupied() > limit {
		assert.Fail("slot-granted-once", "upstream %s has %d occupied slots, more than its limit of %d", u.id, u.occupied(), limit)
	}
	t.updateMembership(o)
	t.updateKeys(f)
	o.entry.unsentGrants = append(o.entry.unsentGrants, cleat.Grant{
		ID: g.id, Stream: o.stream, Upstream: u.id, Lifetime: t.cfg.GrantLifetime,
	})
}

// releaseGrant ends a grant, used or not, and frees the slot that it reserves.
func (t *Table) releaseGrant(g *grant) {
	if g.released {
		return
	}
	g.released = true
	delete(t.grants, g.id)
	g.upstream.granted--
	g.clearUnseen()
	f := g.offer.queue.flow
	f.pendingCost -= g.pendingCost
	if len(t.grants) == 0 {
		t.liveGrants = t.liveGrants[:0]
	}
	t.updateMembership(g.offer)
	t.updateKeys(f)
}

// clearUnseen removes the grant from its offer's unseenGrants.
func (g *grant) clearUnseen() {
	if g.unseen {
		g.unseen = false
		g.offer.unseenGrants--
	}
}

// expireGrants releases expired grants, oldest first. If the entry had not received
// a grant when it sent the offer, the offer is cleared until the entry sends it
// again.
func (t *Table) expireGrants(now time.Time) {
	n := 0
	for _, g := range t.liveGrants {
		if !g.released && now.Before(g.expiresAt) {
			break
		}
		n++
		if !g.released && g.unseen {
			g.offer.waiting = 0
		}
		t.releaseGrant(g)
	}
	if n > 0 && n <= len(t.liveGrants) {
		t.liveGrants = append(t.liveGrants[:0], t.liveGrants[n:]...)
	}
}

// collectGrants puts each entry's unsent grants into one message.
func (t *Table) collectGrants() cleat.Effects {
	var e cleat.Effects
	for _, ent := range t.sortedEntries {
		if len(ent.unsentGrants) == 0 {
			continue
		}
		e.Sends = append(e.Sends, cleat.Send{
			To: ent.id, Message: &cleat.Grants{Incarnation: t.self.Incarnation, Grants: ent.unsentGrants},
		})
		ent.unsentGrants = nil
	}
	return e
}
