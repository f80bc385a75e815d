package ctrl

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// maxManifestBodies is the number of recent manifests that an update can be a diff
// against. A node that lags further behind is sent the complete body.
const maxManifestBodies = 8

// manifestBody is an unpacked manifest.
type manifestBody struct {
	version uint64
	body    []byte
	since   time.Time // When this instance first had it.
}

var _ cleat.Manifests = (*Role)(nil)

// PutManifest stores a manifest document and returns once a quorum has it. Errors are
// those of Replicator.Propose, trace.BadParameter for an invalid document, and
// trace.NotImplemented if Config.Decoder is nil.
func (r *Role) PutManifest(ctx context.Context, body []byte) (cleat.ManifestResult, error) {
	if r.cfg.Decoder == nil {
		return cleat.ManifestResult{}, trace.NotImplemented("Role.PutManifest: this instance has no manifest decoder")
	}
	started := r.clock.Now()
	table, err := r.cfg.Decoder.Decode(body)
	if err != nil {
		r.log.Info("manifest refused", "bytes", len(body), "err", trace.UserMessage(err))
		return cleat.ManifestResult{}, trace.Wrap(err)
	}
	if current := r.machine.Manifest().Version; current >= table.Version {
		r.log.Info("manifest not newer", "version", table.Version, "held", current)
		return cleat.ManifestResult{Version: current}, nil
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
	r.instruments.change.RecordDuration(r.clock.Now().Sub(started))
	r.log.Info("manifest stored", "version", table.Version, "accepted", result.Accepted, "in_force", result.Version,
		"routes", len(table.Routes), "bytes", len(body), "took", r.clock.Now().Sub(started))
	return result, nil
}

// GetManifest returns the newest document, confirmed by a quorum. A trace.NotFound error
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

// pushManifest sends each registered node an update to the newest manifest. If confirmed
// is set, nodes that have it already are sent a confirmation.
func (r *Role) pushManifest(confirmed bool) {
	current, ok := r.currentBody()
	if !ok {
		return
	}
	updates := make(map[uint64]*cleat.ManifestUpdate)
	for _, n := range r.nodes {
		if n.registered && (confirmed || n.manifestVersion < current.version) {
			r.sendManifest(n, current, confirmed, updates)
		}
	}
}

// sendManifest sends one node an update. Updates are shared between nodes that have the
// same version.
func (r *Role) sendManifest(n *nodeLink, current manifestBody, confirmed bool, updates map[uint64]*cleat.ManifestUpdate) {
	if n.manifestVersion > current.version {
		return // This instance is behind the node.
	}
	u, ok := updates[n.manifestVersion]
	if !ok {
		from, old := r.recentBody(n.manifestVersion)
		var err error
		if u, err = cleat.DiffManifest(from, old, current.version, current.body); err != nil {
			r.log.Error("manifest update not computed", "version", current.version, "err", err)
			return
		}
		u.Confirmed, u.Age = confirmed, r.clock.Now().Sub(current.since)
		updates[n.manifestVersion] = u
	}
	if err := n.link.Send(u); err != nil {
		r.log.Debug("manifest not sent", "node", n.link.Peer().Instance, "err", err)
		return
	}
	n.manifestVersion = current.version
}

// currentBody returns the unpacked newest manifest and caches it with earlier ones.
func (r *Role) currentBody() (manifestBody, bool) {
	m := r.machine.Manifest()
	if m.Version == 0 {
		return manifestBody{}, false
	}
	if i := slices.IndexFunc(r.manifestBodies, func(b manifestBody) bool { return b.version == m.Version }); i >= 0 {
		return r.manifestBodies[i], true
	}
	body, err := m.Body()
	if err != nil {
		r.log.Error("stored manifest can't be unpacked", "version", m.Version, "err", err)
		return manifestBody{}, false
	}
	r.manifestBodies = append(r.manifestBodies, manifestBody{version: m.Version, body: body, since: r.manifestSince()})
	if len(r.manifestBodies) > maxManifestBodies {
		r.manifestBodies = slices.Delete(r.manifestBodies, 0, 1)
	}
	return r.manifestBodies[len(r.manifestBodies)-1], true
}

// recentBody returns a cached version and its body, or version 0 if it is not cached.
func (r *Role) recentBody(version uint64) (uint64, []byte) {
	for _, b := range r.manifestBodies {
		if b.version == version {
			return b.version, b.body
		}
	}
	return 0, nil
}

// handleManifestRead sends the manifest to a node; a confirmed read waits for a quorum.
func (r *Role) handleManifestRead(l cleat.Link, m *cleat.ManifestRead) {
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
		r.sendEvacuations(n)
		n.manifestVersion = m.KnownVersion
		if current, ok := r.currentBody(); ok {
			r.sendManifest(n, current, m.Confirm, make(map[uint64]*cleat.ManifestUpdate))
		}
	}()
}
