package slots

import (
	"sort"
	"time"

	"marigoldcleat.example/cleat"
)

// entry is one entry instance as this agent sees it.
type entry struct {
	id           cleat.InstanceID
	incarnation  cleat.Incarnation
	up           bool
	seq          uint64
	offers       map[cleat.Stream]*offer
	order        []*offer // By first sight.
	out          []cleat.Grant
	stateSeq     uint64
	stateSentAt  time.Time
	due          bool                        // A state is to be sent.
	prefixesSent map[cleat.UpstreamID]uint64 // Prefixes added until the last state.
}

// EntryUp notes that the link to an entry is up and sends it this agent's state.
func (t *Table) EntryUp(now time.Time, p cleat.Peer) cleat.Effects {
	e, ok := t.entries[p.Instance]
	if !ok {
		e = &entry{id: p.Instance, offers: map[cleat.Stream]*offer{}}
		t.entries[p.Instance] = e
		t.ents = append(t.ents, e)
		sort.Slice(t.ents, func(i, j int) bool { return t.ents[i].id < t.ents[j].id })
	}
	if p.Incarnation != e.incarnation {
		t.voidEntry(now, e)
		e.incarnation, e.seq = p.Incarnation, 0
	}
	if t.started.IsZero() {
		t.started = now
	}
	e.up = true
	e.stateSentAt = now
	e.due = false
	return cleat.Effects{Sends: []cleat.Send{{To: e.id, Message: t.state(e, true)}}}
}

// EntryDown voids an entry's offers and unused grants; what it runs goes on.
func (t *Table) EntryDown(now time.Time, id cleat.InstanceID) cleat.Effects {
	e, ok := t.entries[id]
	if !ok {
		return cleat.Effects{}
	}
	e.up = false
	t.voidEntry(now, e)
	return t.grant(now)
}

// Offers takes in what waits at an entry and grants free slots.
func (t *Table) Offers(now time.Time, from cleat.InstanceID, m *cleat.Offers) cleat.Effects {
	e, ok := t.entries[from]
	if !ok || !e.up || m.Incarnation != e.incarnation || m.Seq <= e.seq {
		return cleat.Effects{}
	}
	e.seq = m.Seq
	if m.Complete {
		t.withdrawOthers(e, m)
	}
	for i := range m.Offers {
		t.take(now, e, &m.Offers[i], m.LastGrant)
	}
	t.askPause = 0
	return t.grant(now)
}

// Decline frees the slot of a grant that its entry does not use.
func (t *Table) Decline(now time.Time, from cleat.InstanceID, m *cleat.Decline) cleat.Effects {
	g, ok := t.grants[m.Grant]
	if !ok || m.Incarnation != t.self.Incarnation || g.offer.entry.id != from {
		return cleat.Effects{}
	}
	if g.counted {
		g.offer.waiting = 0
	}
	t.release(g)
	return t.grant(now)
}

func (t *Table) withdrawOthers(e *entry, m *cleat.Offers) {
	named := make(map[cleat.Stream]bool, len(m.Offers))
	for i := range m.Offers {
		named[m.Offers[i].Stream] = true
	}
	for _, o := range e.order {
		if !named[o.stream] {
			o.waiting = 0
			t.list(o)
			t.place(o.lane.flow)
		}
	}
}

// take replaces an entry's offer of one stream; the entry knew of the grants up to seen.
func (t *Table) take(now time.Time, e *entry, m *cleat.Offer, seen uint64) {
	f := t.flow(m.Stream.Workspace)
	if m.Share > 0 {
		f.share = m.Share
	}
	o, ok := e.offers[m.Stream]
	if !ok {
		o = &offer{entry: e, stream: m.Stream, lane: f.lane(poolKey{m.Stream.Kind, m.Stream.Model})}
		e.offers[m.Stream] = o
		e.order = append(e.order, o)
	}
	if m.Waiting > 0 && !f.item.Queued() {
		t.arrive(now, f, m.NewlyActive)
	}
	t.uncountSeen(o, seen)
	o.waiting, o.head, o.rank, o.affinity = int(m.Waiting), m.HeadCost, m.Rank, m.Affinity
	o.since = now.Add(-m.Age.Duration())
	t.list(o)
	t.place(f)
}

// uncountSeen leaves out the grants that the entry had used or declined before it
// sent its offer, whose requests the offer no longer counts.
func (t *Table) uncountSeen(o *offer, seen uint64) {
	if o.granted == 0 {
		return
	}
	for _, g := range t.live {
		if !g.done && g.offer == o && g.id <= seen {
			g.uncount()
		}
	}
}

// voidEntry drops an entry's offers and the grants that it has not used.
func (t *Table) voidEntry(_ time.Time, e *entry) {
	for _, g := range t.live {
		if !g.done && g.offer.entry == e {
			t.release(g)
		}
	}
	for _, o := range e.order {
		o.waiting = 0
		t.list(o)
		t.place(o.lane.flow)
	}
	e.offers = map[cleat.Stream]*offer{}
	e.order = nil
}
