package order

import (
	"math"
	"slices"
	"time"

	"marigoldcleat.example/cleat"
)

// pins orders what operators want of single upstreams.
func (t *Table) pins(now time.Time, v View) []cleat.Order {
	var orders []cleat.Order
	for _, pin := range v.Pins {
		u, ok := find(v.Upstreams, pin.Upstream)
		if !ok || t.done[pin] || t.satisfied(u, pin) {
			continue
		}
		o := cleat.Order{Upstream: pin.Upstream, Order: pin.Order, Model: pin.Model, Detail: []byte(pin.Detail)}
		if issued, ok := t.issue(now, u, o, pin); ok {
			orders = append(orders, issued)
		}
	}
	return orders
}

// satisfied tells whether an upstream announces what the pin wants.
func (t *Table) satisfied(u Upstream, pin Pin) bool {
	return pin.Order == cleat.OrderLoadModel && slices.Contains(u.Models, pin.Model)
}

// place orders loads for models whose demand has exceeded their replicas long enough.
func (t *Table) place(now time.Time, v View) []cleat.Order {
	counts := t.replicas(v.Upstreams)
	wanted := t.wanted(v)
	t.track(now, v.Placements, counts, wanted)
	var orders []cleat.Order
	for _, p := range v.Placements {
		if !t.due(now, t.above, p.Model, t.raiseAfter(p, counts)) {
			continue
		}
		u, ok := t.candidate(now, v, p.Model, counts, wanted)
		if !ok {
			continue
		}
		o := cleat.Order{Upstream: u.ID, Order: cleat.OrderLoadModel, Model: p.Model}
		if issued, ok := t.issue(now, u, o, Pin{}); ok {
			orders = append(orders, issued)
			counts = t.replicas(v.Upstreams)
		}
	}
	return orders
}

// raiseAfter is zero below the least replicas, which need no proof by demand.
func (t *Table) raiseAfter(p Placement, counts map[cleat.ModelID]int) time.Duration {
	if counts[p.Model]+t.loading(p.Model) < p.Min {
		return 0
	}
	return t.cfg.RaiseAfter
}

// wanted returns the replicas that each placed model should have.
func (t *Table) wanted(v View) map[cleat.ModelID]int {
	demand := make(map[cleat.ModelID]int)
	for _, d := range v.Demand {
		demand[d.Model] += int(d.Waiting) + int(d.Running)
	}
	wanted := make(map[cleat.ModelID]int, len(v.Placements))
	for _, p := range v.Placements {
		need := int(math.Ceil(float64(demand[p.Model]) / float64(t.cfg.RequestsPerReplica)))
		wanted[p.Model] = min(max(need, p.Min), p.Max)
	}
	return wanted
}

// track notes since when each model has too few or too many replicas.
func (t *Table) track(now time.Time, placements []Placement, counts, wanted map[cleat.ModelID]int) {
	for _, p := range placements {
		have := counts[p.Model] + t.loading(p.Model)
		note(t.above, p.Model, have < wanted[p.Model], now)
		note(t.below, p.Model, have > wanted[p.Model], now)
	}
}

func note(since map[cleat.ModelID]time.Time, m cleat.ModelID, holds bool, now time.Time) {
	if !holds {
		delete(since, m)
		return
	}
	if _, ok := since[m]; !ok {
		since[m] = now
	}
}

func (t *Table) due(now time.Time, since map[cleat.ModelID]time.Time, m cleat.ModelID, after time.Duration) bool {
	at, ok := since[m]
	return ok && now.Sub(at) >= after
}

// loading returns how many replicas of a model are being loaded.
func (t *Table) loading(m cleat.ModelID) int {
	n := 0
	for _, p := range t.pending {
		if p.order.Order == cleat.OrderLoadModel && p.order.Model == m {
			n++
		}
	}
	return n
}

// candidate picks the upstream to load a model at: one without a model before
// one whose models all have replicas to spare, in the domain with the fewest
// replicas of the model, then by id.
func (t *Table) candidate(now time.Time, v View, m cleat.ModelID, counts, wanted map[cleat.ModelID]int) (Upstream, bool) {
	spread := t.spread(v.Upstreams, m)
	var best Upstream
	found := false
	for _, u := range v.Upstreams {
		if !t.free(now, u) || slices.Contains(u.Models, m) || !t.spare(now, u, counts, wanted) {
			continue
		}
		if !found || t.preferred(u, best, spread) {
			best, found = u, true
		}
	}
	return best, found
}

func (t *Table) preferred(a, b Upstream, spread map[cleat.DomainID]int) bool {
	if (len(a.Models) == 0) != (len(b.Models) == 0) {
		return len(a.Models) == 0
	}
	return spread[a.Domain] < spread[b.Domain]
}

// spread counts a model's replicas, with those being loaded, by failure domain.
func (t *Table) spread(upstreams []Upstream, m cleat.ModelID) map[cleat.DomainID]int {
	n := make(map[cleat.DomainID]int)
	for _, u := range upstreams {
		if slices.Contains(u.Models, m) {
			n[u.Domain]++
		}
	}
	for _, p := range t.pending {
		if p.order.Model == m {
			n[p.domain]++
		}
	}
	return n
}

// spare tells whether every model of an upstream has had a replica too many
// for long enough, and still has after the ones being replaced.
func (t *Table) spare(now time.Time, u Upstream, counts, wanted map[cleat.ModelID]int) bool {
	for _, m := range u.Models {
		if _, placed := wanted[m]; !placed {
			return false
		}
		if !t.due(now, t.below, m, t.cfg.LowerAfter) || counts[m]-1 < wanted[m] {
			return false
		}
	}
	return true
}

// replicas counts the upstreams that hold each model and are not about to
// load another one in its place.
func (t *Table) replicas(upstreams []Upstream) map[cleat.ModelID]int {
	n := make(map[cleat.ModelID]int)
	for _, u := range upstreams {
		if p, ok := t.pending[u.ID]; ok && p.order.Order == cleat.OrderLoadModel {
			continue
		}
		for _, m := range u.Models {
			n[m]++
		}
	}
	return n
}

func find(upstreams []Upstream, id cleat.UpstreamID) (Upstream, bool) {
	for _, u := range upstreams {
		if u.ID == id {
			return u, true
		}
	}
	return Upstream{}, false
}
