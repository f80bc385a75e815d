package ctrl

import (
	"context"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/state/config"
)

// pushLoop sends settings to registered nodes as soon as they change.
func (r *Role) pushLoop(ctx context.Context) error {
	for {
		changed := r.machine.Changed()
		r.push(false)
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

// push sends each registered node what it lacks; confirmed says that the state
// here holds all that a quorum had when it was last asked.
func (r *Role) push(confirmed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pushManifest(confirmed)
	revision := r.machine.Revision()
	deltas := make(map[cleat.Revision][]*cleat.Settings)
	for _, n := range r.nodes {
		if !n.registered || (n.sent >= revision && !confirmed) {
			continue
		}
		pieces, ok := deltas[n.sent]
		if !ok {
			pieces = r.pieces(n.sent, confirmed)
			deltas[n.sent] = pieces
		}
		r.sendSettings(n, pieces)
	}
}

// pieces returns what changed after a revision, ready to send. A node ahead of
// this instance is told nothing: this instance lags, not the node.
func (r *Role) pieces(after cleat.Revision, confirmed bool) []*cleat.Settings {
	m := r.machine.Delta(after)
	if m.To < after {
		return nil
	}
	m.Confirmed = confirmed
	return config.Split(m)
}

func (r *Role) sendSettings(n *nodeLink, pieces []*cleat.Settings) {
	for _, piece := range pieces {
		if err := n.link.Send(piece); err != nil {
			return
		}
		if !piece.More {
			n.sent = max(n.sent, piece.To)
		}
	}
}

// takeRead answers a node that asks for settings; a confirmed read waits for a quorum.
func (r *Role) takeRead(l cleat.Link, m *cleat.SettingsRead) {
	if !m.Confirm {
		r.answerRead(l, m.After, false)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, r.cfg.ChangeTimeout)
		defer cancel()
		if err := r.host.ReadBarrier(ctx); err != nil {
			r.log.Debug("read not confirmed", "node", l.Peer().Instance, "err", err)
			return
		}
		r.answerRead(l, m.After, true)
	}()
}

func (r *Role) answerRead(l cleat.Link, after cleat.Revision, confirmed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, ok := r.nodes[l.Peer().Instance]
	if ok && n.link == l {
		r.sendSettings(n, r.pieces(after, confirmed))
	}
}

// confirmLoop tells nodes now and then that this instance reaches a quorum;
// without it they turn to another.
func (r *Role) confirmLoop(ctx context.Context) error {
	for sleep(ctx, r.cfg.ConfirmInterval) {
		once, cancel := context.WithTimeout(ctx, 2*r.cfg.ConfirmInterval)
		err := r.host.ReadBarrier(once)
		cancel()
		if err != nil {
			r.log.Debug("no quorum", "err", err)
			continue
		}
		r.noteConfirmed()
		r.push(true)
	}
	return nil
}

// memberLoop notices silent instances and sends membership changes in batches.
func (r *Role) memberLoop(ctx context.Context) error {
	for sleep(ctx, r.cfg.MemberInterval) {
		r.pushMembers()
	}
	return nil
}

func (r *Role) pushMembers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.members.Tick(now)
	r.roster.Tick(now)
	for _, n := range r.nodes {
		if !n.registered {
			continue
		}
		if m := r.members.Merged(now, &n.receiver); m != nil {
			m.Relay = r.self.Instance
			r.post(n.link, m)
		}
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

// sumsLoop sends agents the fleet's sums of the service ledger.
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
			r.post(n.link, m)
		}
	}
}

// sleep waits for d and returns false when ctx ends first.
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
