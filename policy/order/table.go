package order

import (
	"maps"
	"slices"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/assert"
)

// Upstream is one upstream in the leader's view.
type Upstream struct {
	ID      cleat.UpstreamID
	Domain  cleat.DomainID
	Models  []cleat.ModelID
	CanLoad bool
}

// Placement bounds the replicas of one model.
type Placement struct {
	Model cleat.ModelID
	Min   int
	Max   int
}

// Pin is an order that an operator requires at one upstream, whatever the demand.
type Pin struct {
	Upstream cleat.UpstreamID
	Order    cleat.OrderKind
	Model    cleat.ModelID
	Detail   string // JSON details of the order.
}

// View is the input of a placement decision; all lists are sorted by id.
type View struct {
	Upstreams      []Upstream
	Demand         []cleat.ModelDemand
	Placements     []Placement
	Pins           []Pin
	LoadsPerMinute float64 // Rate of loads that the weight store allows.
	LoadBurst      int     // Size of the token bucket, in loads.
}

// Table issues orders while this instance holds the order lease. It is not safe for
// concurrent use.
type Table struct {
	cfg             Config
	term            uint64
	seq             uint64                      // Number of the last order issued in this term.
	bucket          bucket                      // Limits loads.
	underReplicated map[cleat.ModelID]time.Time // Since when demand exceeds the replicas.
	overReplicated  map[cleat.ModelID]time.Time // Since when the replicas exceed demand.
	pending         map[cleat.UpstreamID]*pending
	backoff         map[cleat.UpstreamID]time.Time // Until when an upstream gets no order.
	appliedPins     map[Pin]bool                   // Carried out in this term.
	lastFence       cleat.Fence                    // Fence of the last order issued.
}

// pending is an order without an answer, or a load whose model is not announced yet.
type pending struct {
	order       cleat.Order
	domain      cleat.DomainID
	pin         Pin
	firstSentAt time.Time
	lastSentAt  time.Time
	loadedAt    time.Time // When its load was answered; zero before.
}

// New returns a table without orders; cfg must be valid.
func New(cfg Config) *Table {
	t := &Table{cfg: cfg}
	t.reset()
	return t
}

func (t *Table) reset() {
	t.underReplicated = make(map[cleat.ModelID]time.Time)
	t.overReplicated = make(map[cleat.ModelID]time.Time)
	t.pending = make(map[cleat.UpstreamID]*pending)
	t.backoff = make(map[cleat.UpstreamID]time.Time)
	t.appliedPins = make(map[Pin]bool)
	t.bucket = bucket{}
	t.seq = 0
}

// Decide returns the orders to send now, under the order lease of a term, including
// unanswered ones that are due to be resent.
func (t *Table) Decide(now time.Time, term uint64, v View) []cleat.Order {
	if term != t.term {
		t.reset()
		t.term = term
	}
	t.bucket.refill(now, v.LoadsPerMinute, v.LoadBurst)
	t.expireUnanswered(now)
	t.removeAnnounced(now, v)
	orders := t.resend(now)
	orders = append(orders, t.issuePins(now, v)...)
	return append(orders, t.issueLoads(now, v)...)
}

// RecordResult records how an order ended.
func (t *Table) RecordResult(now time.Time, r cleat.OrderResult) {
	for _, id := range slices.Sorted(maps.Keys(t.pending)) {
		p := t.pending[id]
		if p.order.ID != r.ID || p.order.Fence != r.Fence {
			continue
		}
		t.finishOrder(now, p, r.Done)
	}
}

// finishOrder applies an order's result. A load that was carried out stays pending
// until the upstream announces the model, so that it is not ordered again elsewhere.
func (t *Table) finishOrder(now time.Time, p *pending, done bool) {
	id := p.order.Upstream
	if !done {
		delete(t.pending, id)
		t.backoff[id] = now.Add(t.cfg.Backoff)
		return
	}
	if p.pin.Upstream != "" {
		t.appliedPins[p.pin] = true
	}
	if p.order.Order != cleat.OrderLoadModel {
		delete(t.pending, id)
		return
	}
	p.loadedAt = now
}

// removeAnnounced removes the completed loads whose upstream is gone, announces the
// model or should have announced it by now.
func (t *Table) removeAnnounced(now time.Time, v View) {
	for id, p := range t.pending {
		if p.loadedAt.IsZero() {
			continue
		}
		u, ok := findUpstream(v.Upstreams, id)
		if !ok || slices.Contains(u.Models, p.order.Model) || now.Sub(p.loadedAt) >= t.cfg.AnnounceAfter {
			delete(t.pending, id)
		}
	}
}

// Pending returns the orders without an answer, sorted by upstream.
func (t *Table) Pending() []cleat.Order {
	var list []cleat.Order
	for _, id := range slices.Sorted(maps.Keys(t.pending)) {
		if p := t.pending[id]; p.loadedAt.IsZero() {
			list = append(list, p.order)
		}
	}
	return list
}

func (t *Table) expireUnanswered(now time.Time) {
	for id, p := range t.pending {
		if p.loadedAt.IsZero() && now.Sub(p.firstSentAt) >= t.cfg.GiveUpAfter {
			delete(t.pending, id)
			t.backoff[id] = now.Add(t.cfg.Backoff)
		}
	}
}

func (t *Table) resend(now time.Time) []cleat.Order {
	var orders []cleat.Order
	for _, id := range slices.Sorted(maps.Keys(t.pending)) {
		p := t.pending[id]
		if p.loadedAt.IsZero() && now.Sub(p.lastSentAt) >= t.cfg.ResendAfter {
			p.lastSentAt = now
			orders = append(orders, p.order)
		}
	}
	return orders
}

// canTakeOrder reports whether an upstream can take an order now.
func (t *Table) canTakeOrder(now time.Time, u Upstream) bool {
	_, busy := t.pending[u.ID]
	return u.CanLoad && !busy && !now.Before(t.backoff[u.ID])
}

// issue gives an order its fence and records it, provided that the upstream, the
// weight store's rate and the failure domain allow it.
func (t *Table) issue(now time.Time, u Upstream, o cleat.Order, pin Pin) (cleat.Order, bool) {
	if !t.canTakeOrder(now, u) || t.isDomainBusy(u.Domain, o.Order) {
		return o, false
	}
	if o.Order != cleat.OrderChangeRole && !t.bucket.takeToken() {
		return o, false
	}
	t.seq++
	o.Fence = cleat.Fence(t.term<<32 | t.seq)
	o.ID = uint64(o.Fence)
	if o.Fence <= t.lastFence {
		assert.Fail("order.rising", "new fence %d is not above the previous fence %d", o.Fence, t.lastFence)
	}
	t.lastFence = o.Fence
	t.pending[u.ID] = &pending{order: o, domain: u.Domain, pin: pin, firstSentAt: now, lastSentAt: now}
	return o, true
}

// isDomainBusy reports whether an order of the kind is in flight in a failure
// domain.
func (t *Table) isDomainBusy(d cleat.DomainID, k cleat.OrderKind) bool {
	for _, p := range t.pending {
		if p.loadedAt.IsZero() && p.domain == d && p.order.Order == k {
			return true
		}
	}
	return false
}
