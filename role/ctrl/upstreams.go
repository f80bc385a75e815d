package ctrl

import (
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/roster"
)

var _ cleat.Upstreams = (*Role)(nil)

func (r *Role) recordConfirmed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmedAt = r.clock.Now()
	r.recordUpstreamContact(r.confirmedAt)
}

// AnnounceUpstream records an announcement and sends it to the fleet. A
// trace.BadParameter error means that the announcement is invalid, a
// trace.ConnectionProblem error that this instance can't reach the fleet now.
func (r *Role) AnnounceUpstream(rec cleat.UpstreamRecord) error {
	if err := roster.Check(&rec); err != nil {
		r.log.Warn("invalid upstream announcement", "upstream", rec.Upstream, "err", trace.UserMessage(err))
		return trace.Wrap(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.checkQuorumAge(); err != nil {
		return trace.Wrap(err)
	}
	now := r.clock.Now()
	rec, ok := r.roster.Identify(now, rec)
	if !ok {
		return nil
	}
	r.recordVersionChange(now, rec)
	if r.roster.AddAnnounced(now, rec) {
		r.log.Info("upstream announced", "upstream", rec.Upstream, "service", rec.Service, "address", rec.Address,
			"phase", rec.Phase, "version", rec.Version, "born", rec.StartedAtMillis, "sequence", rec.Sequence, "cold", rec.WarmUp)
		r.broadcastUpstream(rec)
	}
	return nil
}

// WithdrawUpstream records that an upstream has shut down and sends this to the fleet. A
// trace.ConnectionProblem error means that this instance can't reach the fleet now.
func (r *Role) WithdrawUpstream(id cleat.UpstreamID) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.checkQuorumAge(); err != nil {
		return trace.Wrap(err)
	}
	if rec, changed := r.roster.Withdraw(r.clock.Now(), id); changed {
		r.log.Info("upstream withdrawn", "upstream", id, "service", rec.Service, "born", rec.StartedAtMillis)
		r.broadcastUpstream(rec)
	}
	return nil
}

// checkQuorumAge returns an error if no quorum has answered within MaxQuorumAge. Announcements
// are then refused, so that the upstream switches to an instance that reaches the fleet.
func (r *Role) checkQuorumAge() error {
	if age := r.clock.Now().Sub(r.confirmedAt); age > r.cfg.MaxQuorumAge {
		return trace.ConnectionProblem(nil, "Role.checkQuorumAge: no quorum has answered for %v", age)
	}
	return nil
}

// broadcastUpstream sends a record to all registered nodes and the other control
// instances.
func (r *Role) broadcastUpstream(rec cleat.UpstreamRecord) {
	m := &cleat.UpstreamUpdate{Records: []cleat.UpstreamRecord{rec}}
	for _, n := range r.nodes {
		if n.registered {
			r.sendOrLog(n.link, m)
		}
	}
	for _, p := range r.peers {
		r.sendOrLog(p.links[0], m)
	}
}

// renewUpstreams tells the other control instances of the upstreams that go on announcing
// themselves to this one, and asks for those that it hasn't heard of: the instance that they
// call may have no link to this one. The caller holds r.mu.
func (r *Role) renewUpstreams(now time.Time) {
	if now.Sub(r.renewedAt) < roster.RenewInterval {
		return
	}
	r.renewedAt = now
	m := &cleat.UpstreamUpdate{Records: r.roster.Renewals(now), Overdue: r.roster.Overdue(now)}
	if len(m.Records) == 0 && len(m.Overdue) == 0 {
		return
	}
	for _, p := range r.peers {
		r.sendOrLog(p.links[0], m)
	}
}

// handleUpstreamUpdate merges records from another control instance. What is new is sent to
// nodes, and to the control instances that may have no link to the one that learnt it.
func (r *Role) handleUpstreamUpdate(l cleat.Link, m *cleat.UpstreamUpdate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	var accepted, identified []cleat.UpstreamRecord
	for i, at := range r.roster.ApplyTimes(now, m) {
		rec := m.Records[i]
		r.recordVersionChange(now, rec)
		if !r.roster.Add(at, rec) {
			continue
		}
		stored, _ := r.roster.ByID(rec.Upstream)
		accepted = append(accepted, stored)
		if stored.StartedAtMillis != rec.StartedAtMillis {
			identified = append(identified, stored)
		}
	}
	if len(accepted) > 0 {
		r.forwardUpstreams(now, l.Peer().Instance, accepted)
	}
	// The sender may lack the incarnation that its withdrawal has ended.
	if reply := append(identified, r.roster.LaterThan(now, m.Overdue)...); len(reply) > 0 {
		r.sendOrLog(l, r.roster.Update(now, reply))
	}
	if r.roster.ExtendKnowledge(now, m.KnownFor) {
		r.tellKnowledge(now)
	}
}

// forwardUpstreams sends records to all registered nodes, and to the control instances but the
// one that they are from. The caller holds r.mu.
func (r *Role) forwardUpstreams(now time.Time, from cleat.InstanceID, records []cleat.UpstreamRecord) {
	m := r.roster.Update(now, records)
	for _, n := range r.nodes {
		if n.registered {
			r.sendOrLog(n.link, m)
		}
	}
	for id, p := range r.peers {
		if id != from {
			r.sendOrLog(p.links[0], m)
		}
	}
}

// sendRoster sends all known upstream records over a link.
func (r *Role) sendRoster(l cleat.Link) {
	r.sendOrLog(l, r.completeUpstreams(r.clock.Now()))
}
