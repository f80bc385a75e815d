package ctrl

import (
	"context"
	"encoding/json"
	"maps"
	"slices"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/order"
	"marigoldcleat.example/cleat/state/config"
)

// issueOrders decides on orders and sends them while this instance may.
func (r *Role) issueOrders(ctx context.Context) {
	term, held := r.host.OrderLease()
	placed := r.wanted()
	if !held || (len(placed.Placements) == 0 && len(placed.Pins) == 0) {
		return
	}
	nodes, _ := r.gather(ctx, "")
	placed.Upstreams, placed.Demand = upstreams(nodes), demand(nodes)
	if again, still := r.host.OrderLease(); !still || again != term {
		return
	}
	r.mu.Lock()
	orders := r.orders.Decide(r.clock.Now(), term, placed)
	r.mu.Unlock()
	for i := range orders {
		o := &orders[i]
		r.log.Info("order", "upstream", o.Upstream, "kind", o.Order, "model", o.Model, "fence", o.Fence)
		r.sendOrder(o)
	}
}

// wanted reads what operators want of upstreams from the settings.
func (r *Role) wanted() order.View {
	store := config.WeightStore{}
	store.Defaults()
	var v order.View
	r.machine.read(func(s *config.State) {
		for _, setting := range s.Snapshot().Settings {
			want(&v, &store, setting)
		}
	})
	v.LoadsPerMinute, v.LoadBurst = store.LoadsPerMinute, store.Burst
	return v
}

func want(v *order.View, store *config.WeightStore, s cleat.Setting) {
	p, err := config.Parse(s.Path)
	if err != nil {
		return
	}
	switch p.Kind() {
	case config.KindPlacement:
		var placement config.Placement
		if json.Unmarshal(s.Value, &placement) == nil {
			v.Placements = append(v.Placements, order.Placement{Model: cleat.ModelID(p.Name()), Min: placement.Min, Max: placement.Max})
		}
	case config.KindWeightStore:
		if json.Unmarshal(s.Value, store) == nil {
			store.Defaults()
		}
	case config.KindUpstream:
		var u config.Upstream
		if json.Unmarshal(s.Value, &u) == nil {
			v.Pins = append(v.Pins, pins(cleat.UpstreamID(p.Name()), u)...)
		}
	}
}

// pins lists the orders that bring an upstream to what its setting says.
func pins(id cleat.UpstreamID, u config.Upstream) []order.Pin {
	var list []order.Pin
	if u.Model != "" {
		list = append(list, order.Pin{Upstream: id, Order: cleat.OrderLoadModel, Model: u.Model})
	}
	if u.Version != "" {
		list = append(list, order.Pin{Upstream: id, Order: cleat.OrderLoadVersion, Model: u.Model, Detail: detail("version", u.Version)})
	}
	for _, adapter := range u.Adapters {
		list = append(list, order.Pin{Upstream: id, Order: cleat.OrderLoadAdapter, Model: u.Model, Detail: detail("adapter", adapter)})
	}
	if u.Role != "" {
		list = append(list, order.Pin{Upstream: id, Order: cleat.OrderChangeRole, Detail: detail("role", u.Role)})
	}
	return list
}

func detail(name, value string) string {
	b, err := json.Marshal(map[string]string{name: value})
	if err != nil {
		return ""
	}
	return string(b)
}

// upstreams lists what may take orders: upstreams of live agents that stay.
func upstreams(nodes []located) []order.Upstream {
	byID := make(map[cleat.UpstreamID]order.Upstream)
	for _, n := range nodes {
		if n.status.Suspected || n.status.Register.Leaving {
			continue
		}
		for _, u := range n.status.Register.Upstreams {
			if u.Kind == cleat.KindModel && !u.Leaving {
				byID[u.Upstream] = order.Upstream{
					ID: u.Upstream, Domain: n.status.Register.Peer.Domain, Models: u.Models, CanLoad: u.CanLoad,
				}
			}
		}
	}
	list := make([]order.Upstream, 0, len(byID))
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		list = append(list, byID[id])
	}
	return list
}

// demand sums what entries hold for each model.
func demand(nodes []located) []cleat.ModelDemand {
	sums := make(map[cleat.ModelID]cleat.ModelDemand)
	for _, n := range nodes {
		for _, d := range n.status.Register.Demand {
			sum := sums[d.Model]
			sum.Model = d.Model
			sum.Waiting += d.Waiting
			sum.Running += d.Running
			sums[d.Model] = sum
		}
	}
	list := make([]cleat.ModelDemand, 0, len(sums))
	for _, m := range slices.Sorted(maps.Keys(sums)) {
		list = append(list, sums[m])
	}
	return list
}

// sendOrder passes an order to its agent, wherever that registers.
func (r *Role) sendOrder(o *cleat.Order) {
	if r.passOrder(o) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range r.peerIDs() {
		if err := r.sendPeer(id, o); err != nil {
			r.log.Debug("order not passed on", "to", id, "err", err)
		}
	}
}

// passOrder sends an order to its agent if that registers here.
func (r *Role) passOrder(o *cleat.Order) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, ok := r.members.HostOf(o.Upstream)
	if !ok {
		return false
	}
	n, ok := r.nodes[id]
	if !ok {
		return false
	}
	r.post(n.link, o)
	return true
}

// takeOrderResult notes how an order ended and lets the leader know, too.
func (r *Role) takeOrderResult(m *cleat.OrderResult, fromAgent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders.RecordResult(r.clock.Now(), *m)
	if !m.Done {
		r.log.Warn("order failed", "fence", m.Fence, "problem", m.Problem)
	}
	if !fromAgent {
		return
	}
	for _, id := range r.peerIDs() {
		if err := r.sendPeer(id, m); err != nil {
			r.log.Debug("order result not passed on", "to", id, "err", err)
		}
	}
}
