package ctrl

import (
	"slices"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// LinkUp records a new link. Another control instance is sent ledger reports and
// upstream records at once; a node must register first, except for evacuations.
func (r *Role) LinkUp(l cleat.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.Peer().Role != cleat.RoleControl {
		n := &nodeLink{link: l}
		r.nodes[l.Peer().Instance] = n
		r.sendEvacuations(n)
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
		r.sendOrLog(l, m)
	}
	r.sendRoster(l)
	if len(p.links) == 1 {
		go r.sendStreams(l)
	}
}

// LinkDown removes a link and the record of what was sent on it.
func (r *Role) LinkDown(l cleat.Link, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	peer := l.Peer()
	delete(r.exitsAhead, l)
	r.log.Debug("link down", "peer", peer.Instance, "err", err)
	if peer.Role == cleat.RoleControl {
		r.removePeerLink(l)
		return
	}
	if n, ok := r.nodes[peer.Instance]; ok && n.link == l {
		delete(r.nodes, peer.Instance)
		r.members.MarkDetached(peer.Instance, peer.Incarnation)
		r.relay.ResetFeed(peer.Instance)
	}
}

func (r *Role) removePeerLink(l cleat.Link) {
	id := l.Peer().Instance
	p, ok := r.peers[id]
	if !ok {
		return
	}
	p.links = slices.DeleteFunc(p.links, func(other cleat.Link) bool { return other == l })
	p.cursor = 0
	if len(p.links) == 0 {
		delete(r.peers, id)
		r.members.MarkControlPeerDown(r.clock.Now(), id)
	}
}

// LinkMessage handles a message from a node or another control instance.
func (r *Role) LinkMessage(l cleat.Link, m cleat.Message) {
	if l.Peer().Role == cleat.RoleControl {
		r.handlePeerMessage(l, m)
		return
	}
	switch m := m.(type) {
	case *cleat.Register:
		r.handleRegister(l, m)
	case *cleat.SettingsRead:
		r.handleSettingsRead(l, m)
	case *cleat.ManifestRead:
		r.handleManifestRead(l, m)
	case *cleat.LedgerReport:
		r.handleLedgerReport(m, true)
	case *cleat.Claim:
		r.handleClaim(l, m)
	case *cleat.ClaimOutcome:
		r.handleClaimOutcome(l, m)
	case *cleat.OrderResult:
		r.handleOrderResult(m, true)
	case *cleat.StreamReport:
		r.handleStreamReport(m, true)
	case *cleat.StreamQuery:
		r.handleStreamQuery(l, m)
	default:
		r.log.Debug("unexpected message", "kind", m.Kind(), "from", l.Peer().Instance)
	}
}

func (r *Role) handlePeerMessage(l cleat.Link, m cleat.Message) {
	from := l.Peer().Instance
	switch m := m.(type) {
	case *cleat.PeerMessage:
		r.host.Receive(from, m)
	case *cleat.Members:
		r.mu.Lock()
		r.members.MergePeerView(r.clock.Now(), from, m)
		r.mu.Unlock()
	case *cleat.LedgerReport:
		r.handleLedgerReport(m, false)
	case *cleat.UpstreamExits:
		r.mu.Lock()
		r.exitsAhead[l] = m
		r.mu.Unlock()
	case *cleat.UpstreamUpdate:
		r.handleUpstreamUpdate(l, m)
	case *cleat.StatusRead:
		r.handleStatusRead(l, m)
	case *cleat.StatusReport:
		r.completeCall(m.Call, m)
	case *cleat.ReplicaChange:
		go r.handleReplicaChange(l, m)
	case *cleat.ReplicaChanged:
		r.completeCall(m.Call, m)
	case *cleat.Order:
		r.deliverOrder(m)
	case *cleat.OrderResult:
		r.handleOrderResult(m, false)
	case *cleat.StreamReport:
		r.handleStreamReport(m, false)
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

// sendOrLog sends m over a link. Errors are only logged: LinkDown handles a failed link.
func (r *Role) sendOrLog(l cleat.Link, m cleat.Message) {
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

func (r *Role) handleRegister(l cleat.Link, m *cleat.Register) {
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
	n.registered, n.sentRevision, n.manifestVersion = true, m.Revision, m.ManifestVersion
	r.sendMembers(r.clock.Now(), n) // An entry must know how many others there are before it places requests.
	r.sendRoster(l)
	r.log.Info("node registered", "node", m.Peer.Instance, "role", m.Peer.Role, "domain", m.Peer.Domain, "revision", m.Revision)
}

func (r *Role) handleLedgerReport(m *cleat.LedgerReport, fromAgent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.relay.MergeReport(r.clock.Now(), m) || !fromAgent {
		return
	}
	for _, id := range r.peerIDs() {
		if err := r.sendPeer(id, m); err != nil {
			r.log.Debug("ledger report not forwarded", "to", id, "err", err)
		}
	}
}
