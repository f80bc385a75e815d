package node

import (
	"sync"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// manifest is the newest manifest received by this node.
type manifest struct {
	mu        sync.Mutex // Guards the fields below; no other lock is taken while it is held.
	version   uint64
	body      []byte
	confirmed bool // A quorum confirmed this manifest or an earlier one.
}

func (c *Client) manifestVersion() uint64 {
	c.manifest.mu.Lock()
	defer c.manifest.mu.Unlock()
	return c.manifest.version
}

// readManifest requests the manifest. The first one must be confirmed by a quorum.
func (c *Client) readManifest(l cleat.Link) {
	if c.callbacks.manifest == nil {
		return
	}
	c.manifest.mu.Lock()
	m := &cleat.ManifestRead{KnownVersion: c.manifest.version, Confirm: !c.manifest.confirmed}
	c.manifest.mu.Unlock()
	c.send(l, m)
}

func (c *Client) handleManifest(l cleat.Link, m *cleat.ManifestUpdate) {
	if m.Confirmed {
		c.recordConfirmation(l)
	}
	if c.callbacks.manifest == nil {
		return
	}
	c.callbackMu.Lock()
	defer c.callbackMu.Unlock()
	isNewer, err := c.updateManifest(m)
	switch {
	case trace.IsCompareFailed(err):
		c.log.Info("manifest update does not apply; requesting the manifest again", "version", m.To, "from", m.From, "err", trace.UserMessage(err))
		c.readManifest(l)
	case err != nil:
		c.log.Error("manifest update not applied", "version", m.To, "err", err)
	case isNewer:
		c.callbacks.manifest(m.To, c.manifest.body, m.Age)
	}
}

// updateManifest applies an update and reports whether there is a newer manifest to
// put in force: a newer version, or the first confirmation of the one received.
func (c *Client) updateManifest(m *cleat.ManifestUpdate) (bool, error) {
	current := &c.manifest
	current.mu.Lock()
	defer current.mu.Unlock()
	if m.To < current.version || (!current.confirmed && !m.Confirmed) {
		return false, nil
	}
	first := !current.confirmed
	if m.To == current.version {
		current.confirmed = current.confirmed || m.Confirmed
		return first && current.confirmed && current.version > 0, nil
	}
	body, err := m.Apply(current.version, current.body)
	if err != nil {
		return false, err
	}
	current.version, current.body, current.confirmed = m.To, body, true
	return true, nil
}

func (c *Client) handleUpstreamExits(l cleat.Link, m *cleat.UpstreamExits) {
	c.callbackMu.Lock()
	defer c.callbackMu.Unlock()
	c.exitsAhead[l] = m
}

func (c *Client) handleUpstreams(l cleat.Link, m *cleat.UpstreamUpdate) {
	c.callbackMu.Lock()
	defer c.callbackMu.Unlock()
	m.AddExits(c.exitsAhead[l])
	delete(c.exitsAhead, l)
	if c.callbacks.upstreams != nil {
		c.callbacks.upstreams(m)
	}
}
