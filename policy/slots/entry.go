package slots

import (
	"sort"
	"time"

	"marigoldcleat.example/cleat"
)

// entry is this agent's view of one entry instance.
type entry struct {
	id           cleat.InstanceID
	incarnation  cleat.Incarnation
	connected    bool
	offersSeq    uint64 // Seq of the last Offers that was applied.
	offers       map[cleat.Stream]*offer
	offerOrder   []*offer // In order of first offer.
	unsentGrants []cleat.Grant
	stateSeq     uint64 // Seq of the last AgentState that was sent.
	stateSentAt  time.Time
	stateDue     bool                        // An AgentState has to be sent.
	prefixesSent map[cleat.UpstreamID]uint64 // Each upstream's prefixCache.added as of the last AgentState.
}

// ConnectEntry marks an entry as connected and sends it this agent's state.
func (t *Table) ConnectEntry(now time.Time, p cleat.Peer) cleat.Effects {
	e, ok := t.entries[p.Instance]
	if !ok {
		e = &entry{id: p.Instance, offers: map[cleat.Stream]*offer{}}
		t.entries[p.Instance] = e
		t.sortedEntries = append(t.sortedEntries, e)
		sort.Slice(t.sortedEntries, func(i, j int) bool { return t.sortedEntries[i].id < t.sortedEntries[j].id })
	}
	if p.Incarnation != e.incarnation {
		t.resetEntry(now, e)
		e.incarnation, e.offersSeq = p.Incarnation, 0
	}
	if t.started.IsZero() {
		t.started = now
	}
	e.connected = true
	e.stateSentAt = now
	e.stateDue = false
	return cleat.Effects{Sends: []cleat.Send{{To: e.id, Message: t.buildState(e, true)}}}
}

// DisconnectEntry discards an entry's offers and revokes its unused grants; its
// running attempts continue.
func (t *Table) DisconnectEntry(now time.Time, id cleat.InstanceID) cleat.Effects {
	e, ok := t.entries[id]
	if !ok {
		return cleat.Effects{}
	}
	e.connected = false
	t.resetEntry(now, e)
	return t.grantFreeSlots(now)
}

// ApplyOffers applies an entry's offers and grants free slots.
func (t *Table) ApplyOffers(now time.Time, from cleat.InstanceID, m *cleat.Offers) cleat.Effects {
	e, ok := t.entries[from]
	if !ok || !e.connected || m.Incarnation != e.incarnation || m.Seq <= e.offersSeq {
		return cleat.Effects{}
	}
	e.offersSeq = m.Seq
	if m.Complete {
		t.withdrawUnlisted(e, m)
	}
	for i := range m.Offers {
		t.applyOffer(now, e, &m.Offers[i], m.LastGrant)
	}
	t.askInterval = 0
	return t.grantFreeSlots(now)
}

// ApplyDecline frees the slot of a grant that its entry will not use.
func (t *Table) ApplyDecline(now time.Time, from cleat.InstanceID, m *cleat.Decline) cleat.Effects {
	g, ok := t.grants[m.Grant]
	if !ok || m.Incarnation != t.self.Incarnation || g.offer.entry.id != from {
		return cleat.Effects{}
	}
	if g.unseen {
		// The offer is older than the grant that its entry declines.
		g.offer.waiting = 0
	}
	t.releaseGrant(g)
	return t.grantFreeSlots(now)
}

// withdrawUnlisted clears the entry's offers that a complete message omits.
func (t *Table) withdrawUnlisted(e *entry, m *cleat.Offers) {
	listed := make(map[cleat.Stream]bool, len(m.Offers))
	for i := range m.Offers {
		listed[m.Offers[i].Stream] = true
	}
	for _, o := range e.offerOrder {
		if !listed[o.stream] {
			o.waiting = 0
			t.updateMembership(o)
			t.updateKeys(o.queue.flow)
		}
	}
}

// applyOffer replaces an entry's offer for one stream. The entry had received
// the grants up to lastSeenGrant when it sent the offer.
func (t *Table) applyOffer(now time.Time, e *entry, m *cleat.Offer, lastSeenGrant uint64) {
	f := t.flowFor(m.Stream.Workspace)
	if m.Share > 0 {
		f.share = m.Share
	}
	o, ok := e.offers[m.Stream]
	if !ok {
		o = &offer{entry: e, stream: m.Stream, queue: f.queueFor(poolKey{m.Stream.Kind, m.Stream.Model})}
		e.offers[m.Stream] = o
		e.offerOrder = append(e.offerOrder, o)
	}
	if m.Waiting > 0 && !f.backlogItem.Queued() {
		t.activate(now, f, m.NewlyActive)
	}
	t.markGrantsSeen(o, lastSeenGrant)
	o.waiting, o.headCost, o.rank, o.affinity = int(m.Waiting), m.HeadCost, m.Rank, m.Affinity
	o.waitingSince = now.Add(-m.Age.Duration())
	t.updateMembership(o)
	t.updateKeys(f)
}

// markGrantsSeen clears the unseen mark of grants that the entry had used or
// declined before it sent its offer: the offer no longer includes their requests.
func (t *Table) markGrantsSeen(o *offer, lastSeenGrant uint64) {
	if o.unseenGrants == 0 {
		return
	}
	for _, g := range t.liveGrants {
		if !g.released && g.offer == o && g.id <= lastSeenGrant {
			g.clearUnseen()
		}
	}
}

// resetEntry discards an entry's offers and revokes its unused grants.
func (t *Table) resetEntry(_ time.Time, e *entry) {
	for _, g := range t.liveGrants {
		if !g.released && g.offer.entry == e {
			t.releaseGrant(g)
		}
	}
	for _, o := range e.offerOrder {
		o.waiting = 0
		t.updateMembership(o)
		t.updateKeys(o.queue.flow)
	}
	e.offers = map[cleat.Stream]*offer{}
	e.offerOrder = nil
}
