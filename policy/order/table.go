package order

import (
	"maps"
	"slices"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/assert"
)

// Upstream is one upstream as the leader's placement sees it.
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

// Pin is what an operator wants of one upstream, whatever the demand.
type Pin struct {
	Upstream cleat.UpstreamID
	Order    cleat.OrderKind
	Model    cleat.ModelID
	Detail   string // JSON of the order.
}

// View is what the placement decides from; all lists are sorted by id.
type View struct {
	Upstreams      []Upstream
	Demand         []cleat.ModelDemand
	Placements     []Placement
	Pins           []Pin
	LoadsPerMinute float64
	LoadBurst      int
}

// Table issues orders while this instance may. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	term    uint64
	seq     uint64
	bucket  bucket
	above   map[cleat.ModelID]time.Time // Since when demand exceeds the replicas.
	below   map[cleat.ModelID]time.Time // Since when the replicas exceed demand.
	pending map[cleat.UpstreamID]*pending
	backoff map[cleat.UpstreamID]time.Time
	done    map[Pin]bool // Carried out in this term.
	fence   cleat.Fence  // The last one issued.
}

// pending is an order without an answer.
type pending struct {
	order  cleat.Order
	domain cleat.DomainID
	pin    Pin
	first  time.Time
	sent   time.Time
	done   time.Time // When its load was answered; zero before.
}

// New returns a table that may not issue orders yet; cfg must be valid.
func New(cfg Config) *Table {
	t := &Table{cfg: cfg}
	t.reset()
	return t
}

func (t *Table) reset() {
	t.above = make(map[cleat.ModelID]time.Time)
	t.below = make(map[cleat.ModelID]time.Time)
	t.pending = make(map[cleat.UpstreamID]*pending)
	t.backoff = make(map[cleat.UpstreamID]time.Time)
	t.done = make(map[Pin]bool)
	t.bucket = bucket{}
	t.seq = 0
}

// Decide returns the orders to send now, under the order lease of a term; it
// sends unanswered ones again.
func (t *Table) Decide(now time.Time, term uint64, v View) []cleat.Order {
	if term != t.term {
		t.reset()
		t.term = term
	}
	t.bucket.refill(now, v.LoadsPerMinute, v.LoadBurst)
	t.giveUp(now)
	t.announced(now, v)
	orders := t.resend(now)
	orders = append(orders, t.pins(now, v)...)
	return append(orders, t.place(now, v)...)
}

// Result takes in how an order ended.
func (t *Table) Result(now time.Time, r cleat.OrderResult) {
	for _, id := range slices.Sorted(maps.Keys(t.pending)) {
		p := t.pending[id]
		if p.order.ID != r.ID || p.order.Fence != r.Fence {
			continue
		}
		t.finish(now, p, r.Done)
	}
}

// finish ends an order; a load that was carried out still counts until the
// upstream announces the model, lest it be ordered again elsewhere.
func (t *Table) finish(now time.Time, p *pending, done bool) {
	id := p.order.Upstream
	if !done {
		delete(t.pending, id)
		t.backoff[id] = now.Add(t.cfg.Backoff)
		return
	}
	if p.pin.Upstream != "" {
		t.done[p.pin] = true
	}
	if p.order.Order != cleat.OrderLoadModel {
		delete(t.pending, id)
		return
	}
	p.done = now
}

// announced forgets loads that show in the upstream's models, or should by now.
func (t *Table) announced(now time.Time, v View) {
	for id, p := range t.pending {
		if p.done.IsZero() {
			continue
		}
		u, ok := find(v.Upstreams, id)
		if !ok || slices.Contains(u.Models, p.order.Model) || now.Sub(p.done) >= t.cfg.AnnounceAfter {
			delete(t.pending, id)
		}
	}
}

// Pending returns the orders without an answer, sorted by upstream.
func (t *Table) Pending() []cleat.Order {
	var list []cleat.Order
	for _, id := range slices.Sorted(maps.Keys(t.pending)) {
		if p := t.pending[id]; p.done.IsZero() {
			list = append(list, p.order)
		}
	}
	return list
}

func (t *Table) giveUp(now time.Time) {
	for id, p := range t.pending {
		if p.done.IsZero() && now.Sub(p.first) >= t.cfg.GiveUpAfter {
			delete(t.pending, id)
			t.backoff[id] = now.Add(t.cfg.Backoff)
		}
	}
}

func (t *Table) resend(now time.Time) []cleat.Order {
	var orders []cleat.Order
	for _, id := range slices.Sorted(maps.Keys(t.pending)) {
		p := t.pending[id]
		if p.done.IsZero() && now.Sub(p.sent) >= t.cfg.ResendAfter {
			p.sent = now
			orders = append(orders, p.order)
		}
	}
	return orders
}

// free tells whether an upstream can take an order to load now.
func (t *Table) free(now time.Time, u Upstream) bool {
	_, busy := t.pending[u.ID]
	return u.CanLoad && !busy && !now.Before(t.backoff[u.ID])
}

// issue gives an order its fence when the upstream, the weight store's rate
// and the failure domain allow it.
func (t *Table) issue(now time.Time, u Upstream, o cleat.Order, pin Pin) (cleat.Order, bool) {
	if !t.free(now, u) || t.domainBusy(u.Domain, o.Order) {
		return o, false
	}
	if o.Order != cleat.OrderChangeRole && !t.bucket.take() {
		return o, false
	}
	t.seq++
	o.Fence = cleat.Fence(t.term<<32 | t.seq)
	o.ID = uint64(o.Fence)
	if o.Fence <= t.fence {
		assert.Fail("order.rising", "fence %d follows %d", o.Fence, t.fence)
	}
	t.fence = o.Fence
	t.pending[u.ID] = &pending{order: o, domain: u.Domain, pin: pin, first: now, sent: now}
	return o, true
}

// domainBusy tells whether an order of the kind is in flight in a failure domain.
func (t *Table) domainBusy(d cleat.DomainID, k cleat.OrderKind) bool {
	for _, p := range t.pending {
		if p.done.IsZero() && p.domain == d && p.order.Order == k {
			return true
		}
	}
	return false
}
