package ctrl

import (
	"context"
	"time"

	"marigoldcleat.example/cleat/state/claim"
)

// leaderLoop does what only the leader does: settle the claims of lost
// entries, move the claims' time and issue orders.
func (r *Role) leaderLoop(ctx context.Context) error {
	absent := make(map[claim.Holder]time.Time)
	var ticked time.Time
	for sleep(ctx, r.cfg.OrderInterval) {
		if !r.leads() {
			clear(absent)
			continue
		}
		now := r.clock.Now()
		r.loseHolders(now, absent)
		if now.Sub(ticked) >= r.cfg.ClaimTick {
			ticked = now
			r.tickClaims()
		}
		r.issueOrders(ctx)
	}
	return nil
}

// loseHolders puts the claims of entries in doubt that have been gone for long.
func (r *Role) loseHolders(now time.Time, absent map[claim.Holder]time.Time) {
	_, holders := r.machine.Claims()
	for h := range absent {
		if _, holds := holders[h]; !holds {
			delete(absent, h)
		}
	}
	for h := range holders {
		if r.present(now, h) {
			delete(absent, h)
			continue
		}
		since, noted := absent[h]
		if !noted {
			absent[h] = now
			continue
		}
		if now.Sub(since) >= r.cfg.HolderLostAfter {
			delete(absent, h)
			r.loseHolder(h)
		}
	}
}

// present reports whether a holder's life may still go on; nobody counts as
// absent before every instance had time to register.
func (r *Role) present(now time.Time, h claim.Holder) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.members.Settled(now) {
		return true
	}
	m, ok := r.members.Member(h.Instance)
	return ok && m.Peer.Incarnation == h.Incarnation
}

func (r *Role) loseHolder(h claim.Holder) {
	r.log.Warn("an entry is lost; its claims are in doubt", "entry", h.Instance, "incarnation", h.Incarnation)
	if _, err := r.claim(claim.Command{Holder: h, Lost: true}); err != nil {
		r.log.Debug("loss of an entry not recorded yet", "entry", h.Instance, "err", err)
	}
}

// tickClaims moves the claims' time, so that a restart of all instances loses
// no more of it than one interval.
func (r *Role) tickClaims() {
	if n, _ := r.machine.Claims(); n == 0 {
		return
	}
	if _, err := r.claim(claim.Command{Tick: true}); err != nil {
		r.log.Debug("claims' time not moved", "err", err)
	}
}
