package ctrl

import (
	"context"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/state/config"
)

// pushLoop sends nodes the settings, the manifest and evacuations when these change or,
// without a change, after ConfirmInterval. Changes within PushInterval are sent together.
func (r *Role) pushLoop(ctx context.Context) error {
	for {
		changed := r.machine.Changed()
		r.pushUpdates(false)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-time.After(r.cfg.ConfirmInterval):
		}
		if !sleep(ctx, r.cfg.PushInterval) {
			return nil
		}
	}
}

// pushUpdates sends each registered node the settings and manifest that it lacks.
// confirmed means that a quorum has just confirmed the local state as current.
func (r *Role) pushUpdates(confirmed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mergeExits(r.clock.Now())
	r.pushEvacuations()
	r.pushManifest(confirmed)
	revision := r.machine.Revision()
	deltas := make(map[cleat.Revision][]*cleat.Settings)
	for _, n := range r.nodes {
		if !n.registered || (n.sentRevision >= revision && !confirmed) {
			continue
		}
		parts, ok := deltas[n.sentRevision]
		if !ok {
			parts = r.settingsParts(n.sentRevision, confirmed)
			deltas[n.sentRevision] = parts
		}
		r.sendSettings(n, parts)
	}
}

// settingsParts returns the changes after a revision, split into messages. It returns
// none if the revision is newer than the local state, as this instance then lags.
func (r *Role) settingsParts(after cleat.Revision, confirmed bool) []*cleat.Settings {
	m := r.machine.Delta(after)
	if m.To < after {
		return nil
	}
	m.Confirmed = confirmed
	return config.Split(m)
}

func (r *Role) sendSettings(n *nodeLink, parts []*cleat.Settings) {
	for _, part := range parts {
		if err := n.link.Send(part); err != nil {
			return
		}
		if !part.More {
			n.sentRevision = max(n.sentRevision, part.To)
		}
	}
}

// handleSettingsRead sends settings to a node; a confirmed read waits for a quorum.
func (r *Role) handleSettingsRead(l cleat.Link, m *cleat.SettingsRead) {
	if !m.Confirm {
		r.sendSettingsFrom(l, m.After, false)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, r.cfg.ChangeTimeout)
		defer cancel()
		if err := r.host.ReadBarrier(ctx); err != nil {
			r.log.Debug("read not confirmed", "node", l.Peer().Instance, "err", err)
			return
		}
		r.sendSettingsFrom(l, m.After, true)
	}()
}

func (r *Role) sendSettingsFrom(l cleat.Link, after cleat.Revision, confirmed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, ok := r.nodes[l.Peer().Instance]
	if ok && n.link == l {
		r.sendSettings(n, r.settingsParts(after, confirmed))
	}
}

// confirmLoop sends nodes a periodic confirmation that this instance reaches a quorum.
// Nodes that receive none switch to another control instance.
func (r *Role) confirmLoop(ctx context.Context) error {
	q := quorumWatch{confirmedAt: r.clock.Now(), lost: true}
	for sleep(ctx, r.cfg.ConfirmInterval) {
		readCtx, cancel := context.WithTimeout(ctx, 2*r.cfg.ConfirmInterval)
		err := r.host.ReadBarrier(readCtx)
		cancel()
		if err != nil {
			if now := r.clock.Now(); q.recordFailure(now, r.cfg.MaxQuorumAge) {
				r.logNoQuorum(now, &q, err)
			}
			continue
		}
		now := r.clock.Now()
		if gap, back := q.recordSuccess(now); back {
			r.log.Info("a quorum answers", "after", gap.Round(time.Millisecond))
		}
		r.recordConfirmed()
		r.pushUpdates(true)
	}
	return nil
}

// memberLoop detects silent instances and sends membership changes in batches.
func (r *Role) memberLoop(ctx context.Context) error {
	for sleep(ctx, r.cfg.MemberInterval) {
		r.pushMembers()
		r.commitIdentified(ctx)
	}
	return nil
}

func (r *Role) pushMembers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.members.Tick(now)
	r.renewUpstreams(now)
	r.roster.Tick(now)
	for _, n := range r.nodes {
		if !n.registered {
			continue
		}
		r.sendMembers(now, n)
	}
	for _, p := range r.peers {
		m, next := r.members.Direct(p.cursor)
		if m == nil {
			continue
		}
		m.Relay = r.self.Instance
		if err := p.links[0].Send(m); err == nil {
			p.cursor = next
		}
	}
}

// sendMembers sends a node the changes of the members since the last time. The caller
// holds r.mu.
func (r *Role) sendMembers(now time.Time, n *nodeLink) {
	if m := r.members.Merged(now, &n.receiver); m != nil {
		m.Relay = r.self.Instance
		r.sendOrLog(n.link, m)
	}
}

// sumsLoop sends agents the fleet-wide sums of the service ledger.
func (r *Role) sumsLoop(ctx context.Context) error {
	for sleep(ctx, r.cfg.SumsInterval) {
		r.pushSums()
	}
	return nil
}

func (r *Role) pushSums() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.relay.FoldExpired(now)
	for id, n := range r.nodes {
		if !n.registered || n.link.Peer().Role != cleat.RoleAgent {
			continue
		}
		if m := r.relay.NextSums(now, id); m != nil {
			r.sendOrLog(n.link, m)
		}
	}
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
