package node

import "marigoldcleat.example/cleat"

// OnEvacuations sets the callback for each newer list of the evacuated domains. A list
// that a quorum had confirmed arrives before the first manifest.
func (c *Client) OnEvacuations(f func(revision uint64, domains []cleat.DomainID)) {
	c.callbacks.evacuations = f
}

// handleEvacuations puts a list in force unless it is older than the one known: control
// instances that lag may send one.
func (c *Client) handleEvacuations(l cleat.Link, m *cleat.EvacuationUpdate) {
	c.callbackMu.Lock()
	defer c.callbackMu.Unlock()
	if c.callbacks.evacuations == nil || m.Revision <= c.evacuationRevision {
		return
	}
	c.evacuationRevision = m.Revision
	c.log.Debug("evacuations received", "revision", m.Revision, "control", l.Peer().Instance)
	c.callbacks.evacuations(m.Revision, m.Domains)
}
