package bench

import (
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/ledger"
)

// controlHost simulates the ledger relay of a control instance.
type controlHost struct {
	policy          *fleetPolicy
	n               int
	peer            cleat.Peer
	endpoint        *endpoint
	relay           *ledger.Relay
	reportingAgents map[cleat.InstanceID]time.Time // When each agent last reported to this instance.
}

func newControlHost(p *fleetPolicy, n int) *controlHost {
	h := &controlHost{policy: p, n: n}
	h.peer = p.peer(cleat.RoleControl, n)
	h.endpoint = p.net.addEndpoint(h.peer, p.sim.opts.Deployment.domain(n), h)
	h.reset()
	p.sim.sched.every(ledger.ReportInterval/2, ledger.ReportInterval, h.sendSums)
	return h
}

func (h *controlHost) reset() {
	h.relay = ledger.NewRelay(h.peer)
	h.reportingAgents = make(map[cleat.InstanceID]time.Time)
}

func (h *controlHost) restart() {
	h.peer.Incarnation = cleat.NewIncarnation(h.policy.sim.sched.now)
	h.endpoint.peer = h.peer
	h.policy.net.resetAll(h.peer.Instance)
	h.reset()
}

func (h *controlHost) sendSums() {
	h.relay.FoldExpired(h.policy.sim.sched.now)
	for _, id := range sortedInstances(h.reportingAgents) {
		start := h.policy.cpu.start()
		m := h.relay.NextSums(h.policy.sim.sched.now, id)
		h.policy.cpu.stop(cleat.RoleControl, start)
		if m != nil {
			h.policy.net.send(h.peer.Instance, id, m)
		}
	}
}

func (h *controlHost) linkUp(p cleat.Peer) {
	if p.Role != cleat.RoleControl {
		return
	}
	for _, m := range h.relay.CompleteReports() {
		h.policy.net.send(h.peer.Instance, p.Instance, m)
	}
}

func (h *controlHost) linkDown(id cleat.InstanceID) {
	delete(h.reportingAgents, id)
	h.relay.ResetFeed(id)
}

func (h *controlHost) handleMessage(from cleat.InstanceID, m cleat.Message) {
	report, ok := m.(*cleat.LedgerReport)
	if !ok {
		return
	}
	fromAgent := h.policy.net.endpoints[from].peer.Role == cleat.RoleAgent
	if fromAgent {
		h.reportingAgents[from] = h.policy.sim.sched.now
	}
	start := h.policy.cpu.start()
	updated := h.relay.MergeReport(h.policy.sim.sched.now, report)
	h.policy.cpu.stop(cleat.RoleControl, start)
	if !updated || !fromAgent {
		return
	}
	for _, c := range h.policy.controls {
		if c != h {
			h.policy.net.send(h.peer.Instance, c.peer.Instance, report)
		}
	}
}
