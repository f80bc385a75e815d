package ctrl

import (
	"slices"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// LinkUp begins to serve another control instance; nodes register first.
func (r *Role) LinkUp(l cleat.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.Peer().Role != cleat.RoleControl {
		r.nodes[l.Peer().Instance] = &nodeLink{link: l}
		return
	}
	p, ok := r.peers[l.Peer().Instance]
	if !ok {
		p = new(peerLinks)
		r.peers[l.Peer().Instance] = p
	}
	p.links = append(p.links, l)
	p.cursor = 0
	for _, m := range r.relay.CompleteReports() {
		r.post(l, m)
	}
	r.postRoster(l)
}

// LinkDown forgets what was sent on the link.
func (r *Role) LinkDown(l cleat.Link, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	peer := l.Peer()
	r.log.Debug("link down", "peer", peer.Instance, "err", err)
	if peer.Role == cleat.RoleControl {
		r.peerDown(l)
		return
	}
	if n, ok := r.nodes[peer.Instance]; ok && n.link == l {
		delete(r.nodes, peer.Instance)
		r.members.MarkDetached(peer.Instance, peer.Incarnation)
		r.relay.ResetFeed(peer.Instance)
	}
}

func (r *Role) peerDown(l cleat.Link) {
	id := l.Peer().Instance
	p, ok := r.peers[id]
	if !ok {
		return
	}
	p.links = slices.DeleteFunc(p.links, func(other cleat.Link) bool { return other == l })
	p.cursor = 0
	if len(p.links) == 0 {
		delete(r.peers, id)
		r.members.MarkRelayDown(r.clock.Now(), id)
	}
}

// LinkMessage takes in what a node or another control instance sends.
func (r *Role) LinkMessage(l cleat.Link, m cleat.Message) {
	if l.Peer().Role == cleat.RoleControl {
		r.peerMessage(l, m)
		return
	}
	switch m := m.(type) {
	case *cleat.Register:
		r.takeRegister(l, m)
	case *cleat.SettingsRead:
		r.takeRead(l, m)
	case *cleat.ManifestRead:
		r.takeManifestRead(l, m)
	case *cleat.LedgerReport:
		r.takeReport(m, true)
	case *cleat.Claim:
		r.takeClaim(l, m)
	case *cleat.ClaimOutcome:
		r.takeOutcome(l, m)
	case *cleat.OrderResult:
		r.takeOrderResult(m, true)
	default:
		r.log.Debug("unexpected message", "kind", m.Kind(), "from", l.Peer().Instance)
	}
}

func (r *Role) peerMessage(l cleat.Link, m cleat.Message) {
	from := l.Peer().Instance
	switch m := m.(type) {
	case *cleat.PeerMessage:
		r.host.Receive(from, m)
	case *cleat.Members:
		r.mu.Lock()
		r.members.MergeRelayed(r.clock.Now(), from, m)
		r.mu.Unlock()
	case *cleat.LedgerReport:
		r.takeReport(m, false)
	case *cleat.UpstreamUpdate:
		r.takeUpstreams(m)
	case *cleat.StatusRead:
		r.answerStatus(l, m)
	case *cleat.StatusReport:
		r.answerCall(m.Call, m)
	case *cleat.ReplicaChange:
		go r.answerReplicaChange(l, m)
	case *cleat.ReplicaChanged:
		r.answerCall(m.Call, m)
	case *cleat.Order:
		r.passOrder(m)
	case *cleat.OrderResult:
		r.takeOrderResult(m, false)
	default:
		r.log.Debug("unexpected message", "kind", m.Kind(), "from", from)
	}
}

// Send queues a message of the replicated log for another control instance.
func (r *Role) Send(to cleat.InstanceID, m *cleat.PeerMessage) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sendPeer(to, m)
}

func (r *Role) sendPeer(to cleat.InstanceID, m cleat.Message) error {
	p, ok := r.peers[to]
	if !ok {
		return trace.ConnectionProblem(nil, "Role.sendPeer: no link to %s", to)
	}
	return trace.Wrap(p.links[0].Send(m))
}

// post sends m over a link; a link that fails is noticed through LinkDown.
func (r *Role) post(l cleat.Link, m cleat.Message) {
	if err := l.Send(m); err != nil {
		r.log.Debug("message not sent", "kind", m.Kind(), "to", l.Peer().Instance, "err", err)
	}
}

// peerIDs returns the linked control instances, sorted.
func (r *Role) peerIDs() []cleat.InstanceID {
	ids := make([]cleat.InstanceID, 0, len(r.peers))
	for id := range r.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (r *Role) takeRegister(l cleat.Link, m *cleat.Register) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m.Peer = l.Peer()
	if !r.members.Register(r.clock.Now(), m) {
		return
	}
	n, ok := r.nodes[m.Peer.Instance]
	if !ok || n.link != l || n.registered {
		return
	}
	n.registered, n.sent, n.manifest = true, m.Revision, m.Manifest
	r.postRoster(l)
	r.log.Info("node registered", "node", m.Peer.Instance, "role", m.Peer.Role, "domain", m.Peer.Domain, "revision", m.Revision)
}

func (r *Role) takeReport(m *cleat.LedgerReport, fromAgent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.relay.MergeReport(r.clock.Now(), m) || !fromAgent {
		return
	}
	for _, id := range r.peerIDs() {
		if err := r.sendPeer(id, m); err != nil {
			r.log.Debug("ledger report not passed on", "to", id, "err", err)
		}
	}
}
