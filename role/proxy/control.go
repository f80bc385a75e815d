package proxy

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

const (
	sweepInterval    = 500 * time.Millisecond // Between looks for idle connections and silent peers.
	settingsInterval = time.Second            // Between looks at settings that may change.
	// decodeShare bounds the part of the time that decoding manifests takes.
	decodeShare = 20
)

// takeManifest keeps the newest manifest for manifestLoop.
func (r *Role) takeManifest(version uint64, body []byte) {
	r.mu.Lock()
	r.latest = &manifestBody{version: version, body: body}
	r.mu.Unlock()
	select {
	case r.fresh <- struct{}{}:
	default:
	}
}

// manifestLoop puts the newest manifest in force. While many come, those that
// were overtaken are left out, so that decoding takes a small part of the time.
func (r *Role) manifestLoop(ctx context.Context) error {
	for {
		select {
		case <-r.fresh:
		case <-ctx.Done():
			return nil
		}
		r.mu.Lock()
		m := r.latest
		r.latest = nil
		r.mu.Unlock()
		if m == nil {
			continue
		}
		began := r.clock.Now()
		r.enforce(m)
		if !sleep(ctx, decodeShare*min(r.clock.Now().Sub(began), settingsInterval/decodeShare)) {
			return nil
		}
	}
}

func (r *Role) enforce(m *manifestBody) {
	t, err := r.cfg.Decoder.Decode(m.body)
	if err != nil {
		r.log.Error("manifest can't be put in force", "version", m.version, "err", trace.UserMessage(err))
		return
	}
	r.mu.Lock()
	r.planner.SetServices(t.Services, t.Limits.TokensPerSec)
	r.mu.Unlock()
	r.table.Store(t)
	r.log.Info("manifest in force", "version", t.Version, "routes", len(t.Routes), "services", len(t.Services), "workspaces", len(t.Workspaces), "tokens_per_s", t.Limits.TokensPerSec)
}

// takeUpstreams takes announcements; connections to upstreams that are gone are closed.
func (r *Role) takeUpstreams(list []cleat.UpstreamRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	changed := false
	for _, rec := range list {
		if !r.roster.Add(now, rec) {
			continue
		}
		changed = true
		r.log.Info("upstream known", "upstream", rec.Upstream, "service", rec.Service, "address", rec.Address,
			"phase", rec.Phase, "born", rec.StartedAtMillis, "sequence", rec.Sequence)
	}
	if changed {
		r.useRoster()
	}
}

// useRoster hands the usable upstreams to the planner and keeps a pool for each.
func (r *Role) useRoster() {
	usable := r.roster.Usable()
	r.planner.SetUpstreams(usable)
	known := make(map[cleat.UpstreamID]string, len(usable))
	for _, rec := range usable {
		known[rec.Upstream] = rec.Address
	}
	for id, p := range r.pools {
		if known[id] != p.addr {
			p.close()
			delete(r.pools, id)
		}
	}
	r.kick()
}

// pool returns the connections to an upstream.
func (r *Role) pool(rec cleat.UpstreamRecord) *pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.pools[rec.Upstream]
	if !ok || p.addr != rec.Address {
		p = newPool(rec.Address, &r.cfg)
		r.pools[rec.Upstream] = p
	}
	p.setMaxIdle(r.maxIdle(rec.Service))
	return p
}

// idlePart is the part of the connections that an upstream accepts which all
// entries together may keep idle.
const idlePart = 0.5

// maxIdle returns how many idle connections to an upstream of a service to keep.
func (r *Role) maxIdle(s cleat.ServiceName) int {
	t := r.table.Load()
	if t == nil {
		return r.cfg.MaxIdle
	}
	service, ok := t.ServiceByName(s)
	if !ok || service.MaxConns == 0 {
		return r.cfg.MaxIdle
	}
	return min(r.cfg.MaxIdle, max(1, int(idlePart*float64(service.MaxConns))/(1+len(r.entries))))
}

// sweepLoop closes idle connections and forgets silent peers.
func (r *Role) sweepLoop(ctx context.Context) error {
	for sleep(ctx, sweepInterval) {
		now := r.clock.Now()
		r.mu.Lock()
		r.planner.ExpirePeers(now)
		r.measures.gauge(r.planner.Waiting(), r.planner.Running(), r.held.Load())
		pools := make([]*pool, 0, len(r.pools))
		for _, p := range r.pools {
			pools = append(pools, p)
		}
		r.mu.Unlock()
		for _, p := range pools {
			p.sweep(now)
		}
	}
	return nil
}

// settingsLoop follows settings that change while the process runs.
func (r *Role) settingsLoop(ctx context.Context) error {
	controls := r.cfg.Controls
	for sleep(ctx, settingsInterval) {
		if r.cfg.Settings == nil {
			continue
		}
		next, err := r.cfg.Settings()
		if err != nil {
			r.log.Warn("settings not read; the former ones stay", "err", trace.UserMessage(err))
			continue
		}
		if len(next) == 0 || slices.Equal(next, controls) {
			continue
		}
		r.log.Info("settings changed", "controls", next)
		controls = next
		r.control.SetControls(next)
	}
	return nil
}
