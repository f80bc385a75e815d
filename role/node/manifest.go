package node

import (
	"sync"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// manifest is the newest manifest that this node has.
type manifest struct {
	mu      sync.Mutex // Guards the fields below; a leaf lock.
	version uint64
	body    []byte
	known   bool // A quorum confirmed it, or one before it.
}

func (c *Client) manifestVersion() uint64 {
	c.kept.mu.Lock()
	defer c.kept.mu.Unlock()
	return c.kept.version
}

// readManifest asks for the manifest; the first one must be confirmed.
func (c *Client) readManifest(l cleat.Link) {
	if c.hooks.manifest == nil {
		return
	}
	c.kept.mu.Lock()
	m := &cleat.ManifestRead{KnownVersion: c.kept.version, Confirm: !c.kept.known}
	c.kept.mu.Unlock()
	c.send(l, m)
}

func (c *Client) takeManifest(l cleat.Link, m *cleat.ManifestUpdate) {
	if m.Confirmed {
		c.noteConfirmed(l)
	}
	if c.hooks.manifest == nil {
		return
	}
	c.deliver.Lock()
	defer c.deliver.Unlock()
	fresh, err := c.keepManifest(m)
	switch {
	case trace.IsCompareFailed(err):
		c.log.Info("manifest update doesn't fit; asking again", "version", m.To, "from", m.From, "err", trace.UserMessage(err))
		c.readManifest(l)
	case err != nil:
		c.log.Error("manifest not taken", "version", m.To, "err", err)
	case fresh:
		c.hooks.manifest(m.To, c.kept.body)
	}
}

// keepManifest takes an update and reports whether it brought a newer manifest
// that may be put in force.
func (c *Client) keepManifest(m *cleat.ManifestUpdate) (bool, error) {
	k := &c.kept
	k.mu.Lock()
	defer k.mu.Unlock()
	if m.To < k.version || (!k.known && !m.Confirmed) {
		return false, nil
	}
	first := !k.known
	if m.To == k.version {
		k.known = k.known || m.Confirmed
		return first && k.known && k.version > 0, nil
	}
	body, err := m.Apply(k.version, k.body)
	if err != nil {
		return false, err
	}
	k.version, k.body, k.known = m.To, body, true
	return true, nil
}

func (c *Client) takeUpstreams(m *cleat.UpstreamUpdate) {
	c.deliver.Lock()
	defer c.deliver.Unlock()
	if c.hooks.upstreams != nil {
		c.hooks.upstreams(m.Records)
	}
}
