package node

import (
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/state/config"
)

// LinkUp records a link to a control instance and uses it when no other is in use,
// or when it replaces the link to the primary.
func (c *Client) LinkUp(l cleat.Link) {
	if l.Peer().Role != cleat.RoleControl {
		c.log.Warn("peer is not a control instance; ignoring the link", "peer", l.Peer().Instance, "role", l.Peer().Role)
		return
	}
	c.mu.Lock()
	c.links[l.Peer().Instance] = &controlLink{link: l}
	usePeer := c.primary == "" || c.primary == l.Peer().Instance
	if usePeer {
		c.choosePrimary(c.clock.Now())
	}
	c.mu.Unlock()
	if usePeer {
		c.startSession(l)
	}
	c.notifyLink(l, true)
}

// startSession registers with a control instance and requests the settings and the
// manifest that are newer than those known.
func (c *Client) startSession(l cleat.Link) {
	c.register(l, true)
	c.notifySession()
	c.readSettings(l)
	c.readManifest(l)
}

// readSettings requests the settings that changed after the known revision. The first
// read must be confirmed by a quorum.
func (c *Client) readSettings(l cleat.Link) {
	c.callbackMu.Lock()
	m := &cleat.SettingsRead{After: c.view.Revision(), Confirm: !c.view.HasSettings()}
	c.callbackMu.Unlock()
	c.send(l, m)
}

// LinkDown switches to another control instance when the link to the primary is lost.
func (c *Client) LinkDown(l cleat.Link, err error) {
	id := l.Peer().Instance
	c.callbackMu.Lock()
	delete(c.exitsAhead, l)
	c.callbackMu.Unlock()
	c.mu.Lock()
	ctl, ok := c.links[id]
	if !ok || ctl.link != l {
		c.mu.Unlock()
		return
	}
	delete(c.links, id)
	var next cleat.Link
	if c.primary == id {
		c.choosePrimary(c.clock.Now())
		next = c.primaryLink()
	}
	c.mu.Unlock()
	c.log.Debug("link to a control instance lost", "control", id, "err", err)
	c.notifyLink(l, false)
	if next != nil {
		c.startSession(next)
	}
}

// LinkMessage handles a message from a control instance.
func (c *Client) LinkMessage(l cleat.Link, m cleat.Message) {
	switch m := m.(type) {
	case *cleat.Settings:
		c.handleSettings(l, m)
	case *cleat.ManifestUpdate:
		c.handleManifest(l, m)
	case *cleat.EvacuationUpdate:
		c.handleEvacuations(l, m)
	case *cleat.UpstreamExits:
		c.handleUpstreamExits(l, m)
	case *cleat.UpstreamUpdate:
		c.handleUpstreams(l, m)
	case *cleat.Members:
		c.handleMembers(m)
	case *cleat.LedgerSums:
		c.handleLedgerSums(m)
	case *cleat.ClaimResult:
		c.handleClaimResult(m)
	case *cleat.Order:
		c.handleOrder(l, m)
	case *cleat.StreamReport:
		c.handleStreams(l, m)
	default:
		c.log.Debug("unexpected message", "kind", m.Kind(), "from", l.Peer().Instance)
	}
}

func (c *Client) handleSettings(l cleat.Link, m *cleat.Settings) {
	if m.Confirmed {
		c.recordConfirmation(l)
	}
	c.callbackMu.Lock()
	defer c.callbackMu.Unlock()
	if c.viewLink != l {
		c.view.DiscardPieces()
		c.viewLink = l
	}
	changed, err := c.view.Apply(m)
	if trace.IsCompareFailed(err) {
		c.send(l, &cleat.SettingsRead{After: c.view.Revision(), Confirm: !c.view.HasSettings()})
		return
	}
	if err != nil {
		c.log.Error("settings update not applied", "revision", m.To, "err", err)
		return
	}
	if changed {
		c.applySettings()
	}
}

// applySettings decodes the known settings and puts them in force. Settings that
// can't be decoded leave the previous ones in force; the heartbeat then reports the
// previous revision.
func (c *Client) applySettings() {
	f, err := config.Decode(c.view.Snapshot())
	if err != nil {
		c.log.Error("settings can't be decoded; keeping the previous ones", "revision", c.view.Revision(), "err", err)
		return
	}
	c.fleet.Store(f)
	c.log.Info("settings in force", "revision", f.Revision())
	if c.callbacks.fleet != nil {
		c.callbacks.fleet(f)
	}
}

// recordConfirmation records the time of a quorum-confirmed message from the primary.
func (c *Client) recordConfirmation(l cleat.Link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.primary == l.Peer().Instance {
		c.lastConfirmed = c.clock.Now()
		c.lastContact = c.lastConfirmed
	}
}

func (c *Client) handleMembers(m *cleat.Members) {
	c.callbackMu.Lock()
	defer c.callbackMu.Unlock()
	c.members.Apply(m)
	if c.callbacks.members != nil {
		c.callbacks.members(c.members.List())
	}
}

func (c *Client) handleLedgerSums(m *cleat.LedgerSums) {
	c.callbackMu.Lock()
	defer c.callbackMu.Unlock()
	if c.callbacks.sums != nil {
		c.callbacks.sums(m)
	}
}
