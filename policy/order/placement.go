package order

import (
	"math"
	"slices"
	"time"

	"marigoldcleat.example/cleat"
)

// issuePins issues the orders that the operators' pins still require.
func (t *Table) issuePins(now time.Time, v View) []cleat.Order {
	var orders []cleat.Order
	for _, pin := range v.Pins {
		u, ok := findUpstream(v.Upstreams, pin.Upstream)
		if !ok || t.appliedPins[pin] || t.isSatisfied(u, pin) {
			continue
		}
		o := cleat.Order{Upstream: pin.Upstream, Order: pin.Order, Model: pin.Model, Detail: []byte(pin.Detail)}
		if issued, ok := t.issue(now, u, o, pin); ok {
			orders = append(orders, issued)
		}
	}
	return orders
}

// isSatisfied reports whether an upstream announces the model of a pin.
func (t *Table) isSatisfied(u Upstream, pin Pin) bool {
	return pin.Order == cleat.OrderLoadModel && slices.Contains(u.Models, pin.Model)
}

// issueLoads orders loads for models whose demand has exceeded their replicas long
// enough.
func (t *Table) issueLoads(now time.Time, v View) []cleat.Order {
	counts := t.countReplicas(v.Upstreams)
	wanted := t.wantedReplicas(v)
	t.trackReplicas(now, v.Placements, counts, wanted)
	var orders []cleat.Order
	for _, p := range v.Placements {
		if !t.hasLasted(now, t.underReplicated, p.Model, t.raiseDelay(p, counts)) {
			continue
		}
		u, ok := t.loadCandidate(now, v, p.Model, counts, wanted)
		if !ok {
			continue
		}
		o := cleat.Order{Upstream: u.ID, Order: cleat.OrderLoadModel, Model: p.Model}
		if issued, ok := t.issue(now, u, o, Pin{}); ok {
			orders = append(orders, issued)
			counts = t.countReplicas(v.Upstreams)
		}
	}
	return orders
}

// raiseDelay returns how long a model must have had too few replicas before one is
// added; it is zero below the minimum of replicas, which applies whatever the demand.
func (t *Table) raiseDelay(p Placement, counts map[cleat.ModelID]int) time.Duration {
	if counts[p.Model]+t.countLoading(p.Model) < p.Min {
		return 0
	}
	return t.cfg.RaiseAfter
}

// wantedReplicas returns the number of replicas that each placed model should have.
func (t *Table) wantedReplicas(v View) map[cleat.ModelID]int {
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

// trackReplicas records since when each model has too few or too many replicas.
func (t *Table) trackReplicas(now time.Time, placements []Placement, counts, wanted map[cleat.ModelID]int) {
	for _, p := range placements {
		current := counts[p.Model] + t.countLoading(p.Model)
		setSince(t.underReplicated, p.Model, current < wanted[p.Model], now)
		setSince(t.overReplicated, p.Model, current > wanted[p.Model], now)
	}
}

// setSince records since when a condition has held for a model, or clears the record
// when it no longer holds.
func setSince(since map[cleat.ModelID]time.Time, m cleat.ModelID, holds bool, now time.Time) {
	if !holds {
		delete(since, m)
		return
	}
	if _, ok := since[m]; !ok {
		since[m] = now
	}
}

func (t *Table) hasLasted(now time.Time, since map[cleat.ModelID]time.Time, m cleat.ModelID, after time.Duration) bool {
	at, ok := since[m]
	return ok && now.Sub(at) >= after
}

// countLoading returns how many replicas of a model are being loaded.
func (t *Table) countLoading(m cleat.ModelID) int {
	n := 0
	for _, p := range t.pending {
		if p.order.Order == cleat.OrderLoadModel && p.order.Model == m {
			n++
		}
	}
	return n
}

// loadCandidate returns the upstream to load a model at: one without a model before
// one whose models all have replicas to spare, in the domain with the fewest
// replicas of the model, then by id.
func (t *Table) loadCandidate(now time.Time, v View, m cleat.ModelID, counts, wanted map[cleat.ModelID]int) (Upstream, bool) {
	replicas := t.replicasByDomain(v.Upstreams, m)
	var best Upstream
	found := false
	for _, u := range v.Upstreams {
		if !t.canTakeOrder(now, u) || slices.Contains(u.Models, m) || !t.isReplaceable(now, u, counts, wanted) {
			continue
		}
		if !found || t.isPreferred(u, best, replicas) {
			best, found = u, true
		}
	}
	return best, found
}

func (t *Table) isPreferred(a, b Upstream, replicas map[cleat.DomainID]int) bool {
	if (len(a.Models) == 0) != (len(b.Models) == 0) {
		return len(a.Models) == 0
	}
	return replicas[a.Domain] < replicas[b.Domain]
}

// replicasByDomain counts a model's replicas, with those being loaded, by failure
// domain.
func (t *Table) replicasByDomain(upstreams []Upstream, m cleat.ModelID) map[cleat.DomainID]int {
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

// isReplaceable reports whether every model of an upstream has had more replicas than
// wanted for long enough, and still has when the replacements in flight are
// subtracted.
func (t *Table) isReplaceable(now time.Time, u Upstream, counts, wanted map[cleat.ModelID]int) bool {
	for _, m := range u.Models {
		if _, placed := wanted[m]; !placed {
			return false
		}
		if !t.hasLasted(now, t.overReplicated, m, t.cfg.LowerAfter) || counts[m]-1 < wanted[m] {
			return false
		}
	}
	return true
}

// countReplicas counts the upstreams that hold each model and are not about to load
// another one in its place.
func (t *Table) countReplicas(upstreams []Upstream) map[cleat.ModelID]int {
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

func findUpstream(upstreams []Upstream, id cleat.UpstreamID) (Upstream, bool) {
	for _, u := range upstreams {
		if u.ID == id {
			return u, true
		}
	}
	return Upstream{}, false
}
