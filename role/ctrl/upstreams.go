package ctrl

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/roster"
	"marigoldcleat.example/cleat/state/exits"
)

var _ cleat.Upstreams = (*Role)(nil)

func (r *Role) recordConfirmed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmedAt = r.clock.Now()
	r.recordUpstreamContact(r.confirmedAt)
}

// AnnounceUpstream records an announcement and sends it to the fleet; see cleat.Upstreams.
func (r *Role) AnnounceUpstream(ctx context.Context, rec cleat.UpstreamRecord) error {
	if err := roster.Check(&rec); err != nil {
		r.log.Warn("invalid upstream announcement", "upstream", rec.Upstream, "err", trace.UserMessage(err))
		return trace.Wrap(err)
	}
	e, needed, err := r.announce(rec)
	if err != nil || !needed {
		return trace.Wrap(err)
	}
	return r.commitExit(ctx, e)
}

// announce merges an announcement into the roster and returns the exit that must be committed
// before it is acknowledged, if any.
func (r *Role) announce(rec cleat.UpstreamRecord) (e exits.Exit, needed bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.checkQuorumAge(); err != nil {
		return e, false, trace.Wrap(err)
	}
	now := r.clock.Now()
	r.mergeExits(now)
	before, known := r.roster.ByID(rec.Upstream)
	rec.Exit.Tentative = r.upstreamsKnownFor(now) == 0
	if next, ok := r.roster.Identify(now, rec); ok {
		r.recordVersionChange(now, next)
		if r.roster.AddAnnounced(now, next) {
			r.log.Info("upstream announced", "upstream", next.Upstream, "service", next.Service, "address", next.Address,
				"phase", next.Phase, "version", next.Version, "born", next.StartedAtMillis, "sequence", next.Sequence, "cold", next.WarmUp)
			r.broadcastUpstream(next)
		}
	}
	stored, _ := r.roster.ByID(rec.Upstream)
	return r.announcedExit(now, rec, stored, !known || before.Phase == cleat.UpstreamReady)
}

// WithdrawUpstream records that an upstream has shut down and sends this to the fleet; see
// cleat.Upstreams.
func (r *Role) WithdrawUpstream(ctx context.Context, id cleat.UpstreamID) error {
	e, err := r.withdraw(id)
	if err != nil {
		return trace.Wrap(err)
	}
	return r.commitExit(ctx, e)
}

// withdraw takes a known upstream out of use at once and returns the exit that must be committed
// before the withdrawal is acknowledged.
func (r *Role) withdraw(id cleat.UpstreamID) (exits.Exit, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.checkQuorumAge(); err != nil {
		return exits.Exit{}, trace.Wrap(err)
	}
	now := r.clock.Now()
	r.mergeExits(now)
	e := r.withdrawnExit(now, id)
	if err := e.Check(); err != nil || !e.IsIdentified() {
		return e, trace.Wrap(err) // One of an unknown upstream is kept in memory once it is committed, which bounds it.
	}
	if rec, changed := r.roster.Withdraw(now, id); changed {
		r.log.Info("upstream withdrawn", "upstream", id, "service", rec.Service, "born", rec.StartedAtMillis)
		r.broadcastUpstream(rec)
	}
	return e, nil
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
			r.sendUpstreams(n.link, m)
		}
	}
	for _, p := range r.peers {
		r.sendUpstreams(p.links[0], m)
	}
}

// sendUpstreams sends an update, after what its records lack. The caller holds r.mu, so that
// nothing comes between them.
func (r *Role) sendUpstreams(l cleat.Link, m *cleat.UpstreamUpdate) {
	if x := m.Exits(); x != nil {
		r.sendOrLog(l, x)
	}
	r.sendOrLog(l, m)
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
		r.sendUpstreams(p.links[0], m)
	}
}

// handleUpstreamUpdate merges records from another control instance. What is new is sent to
// nodes, and to the control instances that may have no link to the one that learnt it.
func (r *Role) handleUpstreamUpdate(l cleat.Link, m *cleat.UpstreamUpdate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m.AddExits(r.exitsAhead[l])
	delete(r.exitsAhead, l)
	now := r.clock.Now()
	var accepted, identified []cleat.UpstreamRecord
	for i, at := range r.roster.ApplyTimes(now, m) {
		rec := m.Records[i]
		r.recordVersionChange(now, rec)
		news := r.roster.Add(at, rec)
		stored, _ := r.roster.ByID(rec.Upstream)
		if !news {
			if roster.Contradicts(&stored, &rec) {
				r.broadcastUpstream(stored)
			}
			continue
		}
		accepted = append(accepted, stored)
		if stored.StartedAtMillis != rec.StartedAtMillis {
			identified = append(identified, stored)
		}
	}
	if len(accepted) > 0 {
		r.forwardUpstreams(now, l.Peer().Instance, accepted)
	}
	for _, rec := range identified {
		r.identifyExit(now, rec)
	}
	// The sender may lack the incarnation that its withdrawal has ended.
	if reply := append(identified, r.roster.LaterThan(now, m.Overdue)...); len(reply) > 0 {
		r.sendUpstreams(l, r.roster.Update(now, reply))
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
			r.sendUpstreams(n.link, m)
		}
	}
	for id, p := range r.peers {
		if id != from {
			r.sendUpstreams(p.links[0], m)
		}
	}
}

// sendRoster sends all known upstream records over a link.
func (r *Role) sendRoster(l cleat.Link) {
	r.sendUpstreams(l, r.completeUpstreams(r.clock.Now()))
}
