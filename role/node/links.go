package node

import (
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/state/config"
)

// LinkUp begins to use a control instance when none is in use.
func (c *Client) LinkUp(l cleat.Link) {
	if l.Peer().Role != cleat.RoleControl {
		c.log.Warn("the address is not of a control instance", "peer", l.Peer().Instance, "role", l.Peer().Role)
		return
	}
	c.mu.Lock()
	c.links[l.Peer().Instance] = &control{link: l}
	first := c.primary == "" || c.primary == l.Peer().Instance
	if first {
		c.choose(c.clock.Now())
	}
	c.mu.Unlock()
	if first {
		c.begin(l)
	}
}

// begin registers with a control instance and asks for what is missing.
func (c *Client) begin(l cleat.Link) {
	c.register(l, true)
	c.read(l)
	c.readManifest(l)
}

// read asks for the settings after those known; the first ones must be confirmed.
func (c *Client) read(l cleat.Link) {
	c.deliver.Lock()
	m := &cleat.SettingsRead{After: c.view.Revision(), Confirm: !c.view.Known()}
	c.deliver.Unlock()
	c.send(l, m)
}

// LinkDown moves to another control instance when the one in use was lost.
func (c *Client) LinkDown(l cleat.Link, err error) {
	id := l.Peer().Instance
	c.mu.Lock()
	ctl, ok := c.links[id]
	if !ok || ctl.link != l {
		c.mu.Unlock()
		return
	}
	delete(c.links, id)
	var next cleat.Link
	if c.primary == id {
		c.choose(c.clock.Now())
		next = c.primaryLink()
	}
	c.mu.Unlock()
	c.log.Debug("link to a control instance lost", "control", id, "err", err)
	if next != nil {
		c.begin(next)
	}
}

// LinkMessage takes in what a control instance sends.
func (c *Client) LinkMessage(l cleat.Link, m cleat.Message) {
	switch m := m.(type) {
	case *cleat.Settings:
		c.takeSettings(l, m)
	case *cleat.ManifestUpdate:
		c.takeManifest(l, m)
	case *cleat.UpstreamUpdate:
		c.takeUpstreams(m)
	case *cleat.Members:
		c.takeMembers(m)
	case *cleat.LedgerSums:
		c.takeSums(m)
	case *cleat.ClaimResult:
		c.takeResult(m)
	case *cleat.Order:
		c.takeOrder(l, m)
	default:
		c.log.Debug("unexpected message", "kind", m.Kind(), "from", l.Peer().Instance)
	}
}

func (c *Client) takeSettings(l cleat.Link, m *cleat.Settings) {
	if m.Confirmed {
		c.noteConfirmed(l)
	}
	c.deliver.Lock()
	defer c.deliver.Unlock()
	if c.from != l {
		c.view.Forget()
		c.from = l
	}
	changed, err := c.view.Add(m)
	if trace.IsCompareFailed(err) {
		c.send(l, &cleat.SettingsRead{After: c.view.Revision(), Confirm: !c.view.Known()})
		return
	}
	if err != nil {
		c.log.Error("settings not taken", "revision", m.To, "err", err)
		return
	}
	if changed {
		c.enforce()
	}
}

// enforce decodes the settings known and puts them in force; what can't be
// decoded leaves the former settings in force, which the heartbeat shows.
func (c *Client) enforce() {
	f, err := config.Decode(c.view.Snapshot())
	if err != nil {
		c.log.Error("settings can't be put in force", "revision", c.view.Revision(), "err", err)
		return
	}
	c.fleet.Store(f)
	c.log.Info("settings in force", "revision", f.Revision())
	if c.hooks.fleet != nil {
		c.hooks.fleet(f)
	}
}

func (c *Client) noteConfirmed(l cleat.Link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.primary == l.Peer().Instance {
		c.confirmed = c.clock.Now()
	}
}

func (c *Client) takeMembers(m *cleat.Members) {
	c.deliver.Lock()
	defer c.deliver.Unlock()
	c.members.Apply(m)
	if c.hooks.members != nil {
		c.hooks.members(c.members.List())
	}
}

func (c *Client) takeSums(m *cleat.LedgerSums) {
	c.deliver.Lock()
	defer c.deliver.Unlock()
	if c.hooks.sums != nil {
		c.hooks.sums(m)
	}
}
