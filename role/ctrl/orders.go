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

// issueOrders decides on orders and sends them while this instance holds the order
// lease. Gathering takes time, so the lease is checked again before deciding.
func (r *Role) issueOrders(ctx context.Context) {
	term, hasLease := r.host.OrderLease()
	view := r.orderView()
	if !hasLease || (len(view.Placements) == 0 && len(view.Pins) == 0) {
		return
	}
	nodes, _ := r.gatherStatus(ctx, "")
	view.Upstreams, view.Demand = orderableUpstreams(nodes), sumDemand(nodes)
	if currentTerm, stillHeld := r.host.OrderLease(); !stillHeld || currentTerm != term {
		return
	}
	r.mu.Lock()
	orders := r.orders.Decide(r.clock.Now(), term, view)
	r.mu.Unlock()
	for i := range orders {
		o := &orders[i]
		r.log.Info("order issued", "upstream", o.Upstream, "kind", o.Order, "model", o.Model, "fence", o.Fence)
		r.sendOrder(o)
	}
}

// orderView reads the placements, pins and load limits that operators have set.
func (r *Role) orderView() order.View {
	store := config.WeightStore{}
	store.Defaults()
	var v order.View
	r.machine.read(func(s *config.State) {
		for _, setting := range s.Snapshot().Settings {
			addSetting(&v, &store, setting)
		}
	})
	v.LoadsPerMinute, v.LoadBurst = store.LoadsPerMinute, store.Burst
	return v
}

// addSetting adds a setting to the view or the weight store; settings of other kinds are ignored.
func addSetting(v *order.View, store *config.WeightStore, s cleat.Setting) {
	p, err := config.ParsePath(s.Path)
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
			v.Pins = append(v.Pins, upstreamPins(cleat.UpstreamID(p.Name()), u)...)
		}
	}
}

// upstreamPins returns the orders that bring an upstream into the state given by its setting.
func upstreamPins(id cleat.UpstreamID, u config.Upstream) []order.Pin {
	var list []order.Pin
	if u.Model != "" {
		list = append(list, order.Pin{Upstream: id, Order: cleat.OrderLoadModel, Model: u.Model})
	}
	if u.Version != "" {
		list = append(list, order.Pin{Upstream: id, Order: cleat.OrderLoadVersion, Model: u.Model, Detail: detailJSON("version", u.Version)})
	}
	for _, adapter := range u.Adapters {
		list = append(list, order.Pin{Upstream: id, Order: cleat.OrderLoadAdapter, Model: u.Model, Detail: detailJSON("adapter", adapter)})
	}
	if u.Role != "" {
		list = append(list, order.Pin{Upstream: id, Order: cleat.OrderChangeRole, Detail: detailJSON("role", u.Role)})
	}
	return list
}

func detailJSON(name, value string) string {
	b, err := json.Marshal(map[string]string{name: value})
	if err != nil {
		return ""
	}
	return string(b)
}

// orderableUpstreams returns the model upstreams that can be given orders: neither the
// upstream nor its agent is leaving, and the agent is not suspected.
func orderableUpstreams(nodes []nodeStatus) []order.Upstream {
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

// sumDemand sums the waiting and running requests of all entries by model.
func sumDemand(nodes []nodeStatus) []cleat.ModelDemand {
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

// sendOrder sends an order to its agent, or to all other control instances if the agent
// does not register here.
func (r *Role) sendOrder(o *cleat.Order) {
	if r.deliverOrder(o) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range r.peerIDs() {
		if err := r.sendPeer(id, o); err != nil {
			r.log.Debug("order not forwarded", "to", id, "err", err)
		}
	}
}

// deliverOrder sends an order to its agent and reports whether the agent registers here.
func (r *Role) deliverOrder(o *cleat.Order) bool {
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
	r.sendOrLog(n.link, o)
	return true
}

// handleOrderResult records the result of an order. A result from an agent is forwarded
// to the other control instances, so that the leader receives it.
func (r *Role) handleOrderResult(m *cleat.OrderResult, fromAgent bool) {
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
			r.log.Debug("order result not forwarded", "to", id, "err", err)
		}
	}
}
