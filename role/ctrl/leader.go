package ctrl

import (
	"context"
	"time"

	"marigoldcleat.example/cleat/state/claim"
)

// leaderLoop runs the leader's periodic work: it puts the claims of lost entries in
// doubt, advances the claims' clock and issues orders.
func (r *Role) leaderLoop(ctx context.Context) error {
	absent := make(map[claim.Holder]time.Time)
	var lastTick time.Time
	for sleep(ctx, r.cfg.OrderInterval) {
		if !r.isLeader() {
			clear(absent)
			continue
		}
		now := r.clock.Now()
		r.markLostHolders(now, absent)
		if now.Sub(lastTick) >= r.cfg.ClaimTick {
			lastTick = now
			r.advanceClaimTime()
			r.advanceExitTime(now)
		}
		r.issueOrders(ctx)
	}
	return nil
}

// markLostHolders puts the claims of entries that have been absent for HolderLostAfter
// in doubt. It keeps the start of each absence in absent.
func (r *Role) markLostHolders(now time.Time, absent map[claim.Holder]time.Time) {
	_, holders := r.machine.Claims()
	for h := range absent {
		if _, stillHolds := holders[h]; !stillHolds {
			delete(absent, h)
		}
	}
	for h := range holders {
		if r.isHolderPresent(now, h) {
			delete(absent, h)
			continue
		}
		since, wasAbsent := absent[h]
		if !wasAbsent {
			absent[h] = now
			continue
		}
		if now.Sub(since) >= r.cfg.HolderLostAfter {
			delete(absent, h)
			r.markHolderLost(h)
		}
	}
}

// isHolderPresent reports whether a holder's incarnation may still be running. No
// holder counts as absent before all instances have had time to register.
func (r *Role) isHolderPresent(now time.Time, h claim.Holder) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.members.Settled(now) {
		return true
	}
	m, ok := r.members.Member(h.Instance)
	return ok && m.Peer.Incarnation == h.Incarnation
}

func (r *Role) markHolderLost(h claim.Holder) {
	r.log.Warn("entry lost; its claims are in doubt", "entry", h.Instance, "incarnation", h.Incarnation)
	if _, err := r.startClaim(claim.Command{Holder: h, Lost: true})(); err != nil {
		r.log.Debug("loss of entry not recorded yet", "entry", h.Instance, "err", err)
	}
}

// advanceClaimTime commits the elapsed time to the claims' clock, so that a restart of
// all instances loses at most one ClaimTick of it.
func (r *Role) advanceClaimTime() {
	if n, _ := r.machine.Claims(); n == 0 {
		return
	}
	if _, err := r.startClaim(claim.Command{Tick: true})(); err != nil {
		r.log.Debug("claims' clock not advanced", "err", err)
	}
}
