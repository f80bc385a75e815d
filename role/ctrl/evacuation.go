package ctrl

import (
	"context"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/assert"
)

// evacuationCommand is an evacuation order, or its withdrawal, in the replicated log.
type evacuationCommand struct {
	Domain   cleat.DomainID `msgpack:"d"`
	Evacuate bool           `msgpack:"e"`
	Base     uint64         `msgpack:"b"` // Value of evacuationState.Orders that the proposer knew.
	AtMillis int64          `msgpack:"t"` // Unix time.
}

// evacuationResult is the encoded result of an evacuationCommand.
type evacuationResult struct {
	Changed  bool   `msgpack:"c"`
	Conflict bool   `msgpack:"x,omitempty"` // Base is not Orders; nothing changed.
	Full     bool   `msgpack:"f,omitempty"` // MaxEvacuations are in force; nothing changed.
	Revision uint64 `msgpack:"r"`
	Orders   uint64 `msgpack:"o"`
}

// evacuationState is the evacuations' part of the replicated state.
type evacuationState struct {
	List   cleat.EvacuationList `msgpack:"l"`
	Orders uint64               `msgpack:"o"` // Orders and withdrawals acknowledged, including those that changed nothing.
}

// applyEvacuation executes an order. One that would change something must be based on
// all orders acknowledged before: a copy that was delayed on its way to the leader
// could otherwise undo a later one.
func (m *Machine) applyEvacuation(c *evacuationCommand) *evacuationResult {
	s := &m.evacuations
	_, evacuated := s.List.ByDomain(c.Domain)
	r := &evacuationResult{Changed: evacuated != c.Evacuate}
	switch {
	case r.Changed && c.Base != s.Orders:
		r.Changed, r.Conflict = false, true
	case r.Changed && c.Evacuate && len(s.List.Evacuations) >= cleat.MaxEvacuations:
		r.Changed, r.Full = false, true
	case r.Changed && c.Evacuate:
		s.List = s.List.With(c.Domain, c.AtMillis)
	case r.Changed:
		s.List = s.List.Without(c.Domain)
	}
	if !r.Conflict && !r.Full {
		s.Orders++
	}
	if r.Changed {
		m.notifyWaiters()
	}
	r.Revision, r.Orders = s.List.Revision, s.Orders
	return r
}

// Evacuations returns the evacuations in force.
func (m *Machine) Evacuations() cleat.EvacuationList {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.evacuations.List
}

// evacuationOrders returns the base of an order that is proposed now.
func (m *Machine) evacuationOrders() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.evacuations.Orders
}

// saveEvacuations returns the state for a snapshot, or nil if nothing was ever ordered.
func (m *Machine) saveEvacuations() *evacuationState {
	if m.evacuations.Orders == 0 && m.evacuations.List.Revision == 0 {
		return nil
	}
	return &m.evacuations
}

func (m *Machine) loadEvacuations(s *evacuationState) error {
	if s == nil {
		s = new(evacuationState) // Nothing was ever ordered, or the build knows no evacuations.
	}
	if have := m.evacuations.List.Revision; s.List.Revision < have {
		assert.Fail("evacuations.revision", "a state with evacuations at revision %d would replace revision %d", s.List.Revision, have)
		return trace.BadParameter("evacuations at revision %d are older than %d", s.List.Revision, have)
	}
	m.evacuations = *s
	return nil
}

var _ cleat.Evacuations = (*Role)(nil)

// EvacuateDomain orders that nothing is sent to a domain's upstreams; see cleat.Evacuations.
func (r *Role) EvacuateDomain(ctx context.Context, d cleat.DomainID) (cleat.EvacuationResult, error) {
	return r.orderEvacuation(ctx, d, true)
}

// RestoreDomain withdraws the evacuation of a domain; see cleat.Evacuations.
func (r *Role) RestoreDomain(ctx context.Context, d cleat.DomainID) (cleat.EvacuationResult, error) {
	return r.orderEvacuation(ctx, d, false)
}

// ListEvacuations returns the evacuations in force, confirmed by a quorum.
func (r *Role) ListEvacuations(ctx context.Context) (cleat.EvacuationList, error) {
	if err := r.host.ReadBarrier(ctx); err != nil {
		return cleat.EvacuationList{}, trace.Wrap(err)
	}
	return r.machine.Evacuations(), nil
}

func (r *Role) orderEvacuation(ctx context.Context, d cleat.DomainID, evacuate bool) (cleat.EvacuationResult, error) {
	if err := cleat.CheckDomain(d); err != nil {
		return cleat.EvacuationResult{}, trace.Wrap(err)
	}
	started := r.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, r.cfg.ChangeTimeout)
	defer cancel()
	result, err := r.commitEvacuation(ctx, evacuationCommand{Domain: d, Evacuate: evacuate, AtMillis: started.UnixMilli()})
	if err == nil && result.Full {
		err = trace.LimitExceeded("Role.orderEvacuation: %d domains are evacuated already", cleat.MaxEvacuations)
	}
	r.instruments.countEvacuationOrder(result.Changed, err)
	if err != nil {
		r.log.Warn("evacuation order not confirmed", "domain", d, "evacuate", evacuate, "err", trace.UserMessage(err))
		return cleat.EvacuationResult{}, err
	}
	msg := "evacuation ended"
	if evacuate {
		msg = "evacuation ordered"
	}
	r.log.Info(msg, "domain", d, "revision", result.Revision, "changed", result.Changed, "took", r.clock.Now().Sub(started))
	return cleat.EvacuationResult{Changed: result.Changed, Revision: result.Revision}, nil
}

// commitEvacuation proposes an order until it is answered or ctx ends.
func (r *Role) commitEvacuation(ctx context.Context, c evacuationCommand) (evacuationResult, error) {
	c.Base = r.machine.evacuationOrders()
	return proposeUntilAnswered(ctx, r, command{Evacuation: &c}, func(result evacuationResult) (command, bool) {
		next := c
		next.Base = result.Orders
		return command{Evacuation: &next}, result.Conflict
	})
}

// expectsQuorum reports whether waiting for a quorum is worthwhile: the log can be
// written here, and a quorum answered lately. The operator uses another instance otherwise.
func (r *Role) expectsQuorum() bool {
	r.mu.Lock()
	err := r.checkQuorumAge()
	r.mu.Unlock()
	return err == nil && r.host.Status().DiskError == ""
}

// pushEvacuations sends each linked entry the list that it wasn't sent yet, also those
// registered elsewhere: one whose control instance lost its quorum learns it in time.
func (r *Role) pushEvacuations() {
	for _, n := range r.nodes {
		r.sendEvacuations(n)
	}
}

func (r *Role) sendEvacuations(n *nodeLink) {
	list := r.machine.Evacuations()
	if n.sentEvacuations >= list.Revision || n.link.Peer().Role != cleat.RoleEntry {
		return
	}
	if err := n.link.Send(&cleat.EvacuationUpdate{Revision: list.Revision, Domains: list.Domains()}); err != nil {
		r.log.Debug("evacuations not sent", "node", n.link.Peer().Instance, "err", err)
		return
	}
	n.sentEvacuations = list.Revision
}

// countEvacuationOrder counts an order by its outcome.
func (m *instruments) countEvacuationOrder(changed bool, err error) {
	outcome := "unchanged"
	switch {
	case trace.IsLimitExceeded(err):
		outcome = "not_accepted"
	case err != nil:
		outcome = "unknown"
	case changed:
		outcome = "changed"
	}
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("evacuation_orders").Inc(1)
}

func (r *Role) updateEvacuationGauges() {
	list := r.machine.Evacuations()
	r.instruments.scope.Gauge("evacuated_domains").Update(float64(len(list.Evacuations)))
	r.instruments.scope.Gauge("evacuation_revision").Update(float64(list.Revision))
}
