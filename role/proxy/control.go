package proxy

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

const (
	sweepInterval        = 500 * time.Millisecond // Between checks for idle connections and unresponsive peers.
	streamSweepInterval  = 5 * time.Second        // Between removals of streams that callers no longer resume: it visits all.
	settingsPollInterval = time.Second            // Between reloads of settings that may change while running.
	// decodePauseFactor is the pause after decoding a manifest, as a multiple of the
	// time the decoding took, up to settingsPollInterval. It bounds the share of time
	// that is spent on decoding.
	decodePauseFactor = 20
)

// storeManifest stores the newest manifest for manifestLoop.
func (r *Role) storeManifest(version uint64, body []byte, age time.Duration) {
	r.mu.Lock()
	r.manifestSkipped = r.manifestSkipped || r.pendingManifest != nil
	r.pendingManifest = &manifestBody{version: version, body: body, age: age, at: r.clock.Now()}
	r.mu.Unlock()
	select {
	case r.manifestReady <- struct{}{}:
	default:
	}
}

// manifestLoop applies the newest manifest. When many arrive, superseded ones are
// skipped, so that decoding takes a small share of the time.
func (r *Role) manifestLoop(ctx context.Context) error {
	for {
		select {
		case <-r.manifestReady:
		case <-ctx.Done():
			return nil
		}
		r.mu.Lock()
		m := r.pendingManifest
		r.pendingManifest = nil
		r.mu.Unlock()
		if m == nil {
			continue
		}
		start := r.clock.Now()
		r.applyManifest(m)
		if !sleep(ctx, decodePauseFactor*min(r.clock.Now().Sub(start), settingsPollInterval/decodePauseFactor)) {
			return nil
		}
	}
}

func (r *Role) applyManifest(m *manifestBody) {
	t, err := r.cfg.Decoder.Decode(m.body)
	if err != nil {
		r.log.Error("manifest can't be decoded", "version", m.version, "err", trace.UserMessage(err))
		return
	}
	t.RecordRevoked(r.table.Load())
	r.mu.Lock()
	r.planner.SetServices(t.Services, t.Limits.TokensPerSec)
	r.recordRoutes(m.at, t, m.age, r.manifestSkipped)
	r.manifestSkipped = false
	r.mu.Unlock()
	if r.table.Swap(t) == nil {
		close(r.manifestApplied)
	}
	r.log.Info("manifest in force", "version", t.Version, "routes", len(t.Routes), "services", len(t.Services), "workspaces", len(t.Workspaces), "tokens_per_s", t.Limits.TokensPerSec)
}

// applyUpstreams adds announced upstreams to the roster and closes the idle connections
// to those that are no longer usable.
func (r *Role) applyUpstreams(m *cleat.UpstreamUpdate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	changed := false
	for i, at := range r.roster.ApplyTimes(now, m) {
		rec := m.Records[i]
		r.recordRestart(now, rec)
		r.recordReplaced(now, rec)
		isNews := r.roster.Add(at, rec)
		r.recordAnnouncement(now, rec)
		if !isNews {
			continue
		}
		changed = true
		rec, _ = r.roster.ByID(rec.Upstream) // The withdrawal of an unknown upstream names no service.
		r.log.Info("upstream known", "upstream", rec.Upstream, "service", rec.Service, "address", rec.Address,
			"phase", rec.Phase, "version", rec.Version, "born", rec.StartedAtMillis, "sequence", rec.Sequence, "cold", rec.WarmUp)
	}
	if changed {
		r.applyRoster()
	}
	r.logCold(now)
	r.recordUpstreamList(now, m)
}

// applyRoster passes the usable upstreams to the planner and closes the pools of all
// others. The caller holds r.mu.
func (r *Role) applyRoster() {
	usable := r.roster.Usable()
	r.planner.SetUpstreams(usable)
	usableAddrs := make(map[cleat.UpstreamID]string, len(usable))
	for _, rec := range usable {
		usableAddrs[rec.Upstream] = rec.Address
	}
	for id, p := range r.pools {
		if usableAddrs[id] != p.addr {
			p.close()
			delete(r.pools, id)
		}
	}
	r.wakeDispatcher()
}

// pool returns the connection pool of an upstream, creating it if needed.
func (r *Role) pool(rec cleat.UpstreamRecord) *pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.pools[rec.Upstream]
	if !ok || p.addr != rec.Address {
		p = newPool(rec.Address, &r.cfg)
		r.pools[rec.Upstream] = p
	}
	p.setMaxIdle(r.maxIdleConns(rec.Service))
	return p
}

// idleConnFraction is the fraction of the connections an upstream accepts that all
// entries together may keep idle.
const idleConnFraction = 0.5

// maxIdleConns returns how many idle connections to keep to an upstream of a service.
func (r *Role) maxIdleConns(s cleat.ServiceName) int {
	t := r.table.Load()
	if t == nil {
		return r.cfg.MaxIdleConns
	}
	service, ok := t.ServiceByName(s)
	if !ok || service.MaxConns == 0 {
		return r.cfg.MaxIdleConns
	}
	return min(r.cfg.MaxIdleConns, max(1, int(idleConnFraction*float64(service.MaxConns))/(1+len(r.entries))))
}

// sweepLoop updates the gauges, closes expired idle connections and drops the reports
// of unresponsive entries.
func (r *Role) sweepLoop(ctx context.Context) error {
	sweptStreams, joined := r.clock.Now(), false
	for sleep(ctx, sweepInterval) {
		now := r.clock.Now()
		r.mu.Lock()
		r.planner.ExpirePeers(now)
		r.logCold(now)
		if now.Sub(sweptStreams) >= streamSweepInterval {
			sweptStreams = now
			r.streams.Tick(now)
		}
		if j, ok := r.planner.Joined(); ok && !joined {
			joined = true
			r.log.Info("joined", "took", j.Took.Round(time.Millisecond), "members", j.Members, "heard", j.Heard, "admitted_before", j.Admitted)
		}
		r.recordContact()
		r.requestMetrics.updateGauges(r)
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

// settingsLoop polls for settings that change while the process runs.
func (r *Role) settingsLoop(ctx context.Context) error {
	controls := r.cfg.Controls
	for sleep(ctx, settingsPollInterval) {
		if r.cfg.ReloadControls == nil {
			continue
		}
		next, err := r.cfg.ReloadControls()
		if err != nil {
			r.log.Warn("settings not read; keeping the previous ones", "err", trace.UserMessage(err))
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
