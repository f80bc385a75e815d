package ctrl

import (
	"context"
	"slices"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// keptBodies is how many recent manifests updates can start from: a node that
// lags further is sent the whole body.
const keptBodies = 8

// manifestBody is an unpacked manifest.
type manifestBody struct {
	version uint64
	body    []byte
}

var _ cleat.Manifests = (*Role)(nil)

// PutManifest stores the document once a quorum has it; errors are as Replicator.Propose
// gives them, and a trace.BadParameter error for an invalid document.
func (r *Role) PutManifest(ctx context.Context, body []byte) (cleat.ManifestResult, error) {
	if r.cfg.Decoder == nil {
		return cleat.ManifestResult{}, trace.NotImplemented("Role.PutManifest: this instance takes no manifests")
	}
	began := r.clock.Now()
	table, err := r.cfg.Decoder.Decode(body)
	if err != nil {
		r.log.Info("manifest refused", "bytes", len(body), "err", trace.UserMessage(err))
		return cleat.ManifestResult{}, trace.Wrap(err)
	}
	if held := r.machine.Manifest().Version; held >= table.Version {
		r.log.Info("manifest not newer", "version", table.Version, "held", held)
		return cleat.ManifestResult{Version: held}, nil
	}
	m, err := cleat.NewManifest(table.Version, body)
	if err != nil {
		return cleat.ManifestResult{}, trace.BadParameter("Role.PutManifest: %v", trace.UserMessage(err))
	}
	var result cleat.ManifestResult
	if err := r.propose(ctx, command{Manifest: &m}, r.cfg.ChangeTimeout, &result); err != nil {
		r.log.Warn("manifest not confirmed", "version", table.Version, "err", trace.UserMessage(err))
		return result, trace.Wrap(err)
	}
	r.measures.change.RecordDuration(r.clock.Now().Sub(began))
	r.log.Info("manifest stored", "version", table.Version, "accepted", result.Accepted, "in_force", result.Version,
		"routes", len(table.Routes), "bytes", len(body), "took", r.clock.Now().Sub(began))
	return result, nil
}

// GetManifest returns the newest document, confirmed by a quorum; a trace.NotFound error
// means that there is none yet.
func (r *Role) GetManifest(ctx context.Context) ([]byte, error) {
	if err := r.host.ReadBarrier(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	m := r.machine.Manifest()
	if m.Version == 0 {
		return nil, trace.NotFound("Role.GetManifest: there is no manifest")
	}
	body, err := m.Body()
	return body, trace.Wrap(err)
}

// pushManifest sends each registered node what it lacks of the newest manifest.
func (r *Role) pushManifest(confirmed bool) {
	current, ok := r.currentBody()
	if !ok {
		return
	}
	updates := make(map[uint64]*cleat.ManifestUpdate)
	for _, n := range r.nodes {
		if n.registered && (confirmed || n.manifest < current.version) {
			r.sendManifest(n, current, confirmed, updates)
		}
	}
}

// sendManifest sends one node an update; nodes that have the same share its encoding.
func (r *Role) sendManifest(n *nodeLink, current manifestBody, confirmed bool, updates map[uint64]*cleat.ManifestUpdate) {
	if n.manifest > current.version {
		return // This instance lags, not the node.
	}
	u, ok := updates[n.manifest]
	if !ok {
		from, old := r.bodyOf(n.manifest)
		var err error
		if u, err = cleat.DiffManifest(from, old, current.version, current.body); err != nil {
			r.log.Error("manifest can't be sent", "version", current.version, "err", err)
			return
		}
		u.Confirmed = confirmed
		updates[n.manifest] = u
	}
	if err := n.link.Send(u); err != nil {
		r.log.Debug("manifest not sent", "node", n.link.Peer().Instance, "err", err)
		return
	}
	n.manifest = current.version
}

// currentBody unpacks the newest manifest once and keeps it with the ones before.
func (r *Role) currentBody() (manifestBody, bool) {
	m := r.machine.Manifest()
	if m.Version == 0 {
		return manifestBody{}, false
	}
	if i := slices.IndexFunc(r.bodies, func(b manifestBody) bool { return b.version == m.Version }); i >= 0 {
		return r.bodies[i], true
	}
	body, err := m.Body()
	if err != nil {
		r.log.Error("stored manifest can't be read", "version", m.Version, "err", err)
		return manifestBody{}, false
	}
	r.bodies = append(r.bodies, manifestBody{version: m.Version, body: body})
	if len(r.bodies) > keptBodies {
		r.bodies = slices.Delete(r.bodies, 0, 1)
	}
	return r.bodies[len(r.bodies)-1], true
}

// bodyOf returns the body of a recent version, or version 0 when it is not kept.
func (r *Role) bodyOf(version uint64) (uint64, []byte) {
	for _, b := range r.bodies {
		if b.version == version {
			return b.version, b.body
		}
	}
	return 0, nil
}

// takeManifestRead answers a node that asks for the manifest.
func (r *Role) takeManifestRead(l cleat.Link, m *cleat.ManifestRead) {
	go func() {
		if m.Confirm {
			ctx, cancel := context.WithTimeout(r.ctx, r.cfg.ChangeTimeout)
			defer cancel()
			if err := r.host.ReadBarrier(ctx); err != nil {
				r.log.Debug("manifest not confirmed", "node", l.Peer().Instance, "err", err)
				return
			}
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		n, ok := r.nodes[l.Peer().Instance]
		if !ok || n.link != l {
			return
		}
		n.manifest = m.KnownVersion
		if current, ok := r.currentBody(); ok {
			r.sendManifest(n, current, m.Confirm, make(map[uint64]*cleat.ManifestUpdate))
		}
	}()
}
