package bench

import (
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/ledger"
)

// controlHost is a control instance's part in the ledger.
type controlHost struct {
	p       *ours
	n       int
	peer    cleat.Peer
	station *station
	relay   *ledger.Relay
	serves  map[cleat.InstanceID]time.Time // Agents that report here.
}

func newControlHost(p *ours, n int) *controlHost {
	h := &controlHost{p: p, n: n}
	h.peer = p.peer(cleat.RoleControl, n)
	h.station = p.net.add(h.peer, p.s.o.Deployment.domain(n), h)
	h.reset()
	p.s.w.every(ledger.ReportInterval/2, ledger.ReportInterval, h.sums)
	return h
}

func (h *controlHost) reset() {
	h.relay = ledger.NewRelay(h.peer)
	h.serves = make(map[cleat.InstanceID]time.Time)
}

func (h *controlHost) restart() {
	h.peer.Incarnation = cleat.NewIncarnation(h.p.s.w.now)
	h.station.peer = h.peer
	h.p.net.resetAll(h.peer.Instance)
	h.reset()
}

func (h *controlHost) sums() {
	h.relay.FoldExpired(h.p.s.w.now)
	for _, id := range sortedInstances(h.serves) {
		began := h.p.spent.begin()
		m := h.relay.NextSums(h.p.s.w.now, id)
		h.p.spent.end(cleat.RoleControl, began)
		if m != nil {
			h.p.net.send(h.peer.Instance, id, m)
		}
	}
}

func (h *controlHost) linkUp(p cleat.Peer) {
	if p.Role != cleat.RoleControl {
		return
	}
	for _, m := range h.relay.CompleteReports() {
		h.p.net.send(h.peer.Instance, p.Instance, m)
	}
}

func (h *controlHost) linkDown(id cleat.InstanceID) {
	delete(h.serves, id)
	h.relay.ResetFeed(id)
}

func (h *controlHost) message(from cleat.InstanceID, m cleat.Message) {
	report, ok := m.(*cleat.LedgerReport)
	if !ok {
		return
	}
	direct := h.p.net.stations[from].peer.Role == cleat.RoleAgent
	if direct {
		h.serves[from] = h.p.s.w.now
	}
	began := h.p.spent.begin()
	news := h.relay.MergeReport(h.p.s.w.now, report)
	h.p.spent.end(cleat.RoleControl, began)
	if !news || !direct {
		return
	}
	for _, c := range h.p.controls {
		if c != h {
			h.p.net.send(h.peer.Instance, c.peer.Instance, report)
		}
	}
}
