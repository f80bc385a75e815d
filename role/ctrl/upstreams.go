package ctrl

import (
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/roster"
)

var _ cleat.Upstreams = (*Role)(nil)

func (r *Role) noteConfirmed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed = r.clock.Now()
}

// AnnounceUpstream takes an announcement; a trace.ConnectionProblem error means that
// this instance can't tell the fleet now.
func (r *Role) AnnounceUpstream(rec cleat.UpstreamRecord) error {
	if err := roster.Check(&rec); err != nil {
		r.log.Warn("announcement not readable", "upstream", rec.Upstream, "err", trace.UserMessage(err))
		return trace.Wrap(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.checkInTouch(); err != nil {
		return trace.Wrap(err)
	}
	if r.roster.Add(r.clock.Now(), rec) {
		r.log.Info("upstream announced", "upstream", rec.Upstream, "service", rec.Service, "address", rec.Address,
			"phase", rec.Phase, "born", rec.StartedAtMillis, "sequence", rec.Sequence)
		r.spread(rec)
	}
	return nil
}

// WithdrawUpstream notes that an upstream ends; errors are as with AnnounceUpstream.
func (r *Role) WithdrawUpstream(id cleat.UpstreamID) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.checkInTouch(); err != nil {
		return trace.Wrap(err)
	}
	if rec, changed := r.roster.Withdraw(r.clock.Now(), id); changed {
		r.log.Info("upstream withdrawn", "upstream", id, "service", rec.Service, "born", rec.StartedAtMillis)
		r.spread(rec)
	}
	return nil
}

// checkInTouch refuses announcements while no quorum answers: the upstream then
// turns to an instance that can tell the fleet.
func (r *Role) checkInTouch() error {
	if age := r.clock.Now().Sub(r.confirmed); age > r.cfg.AckConfirmed {
		return trace.ConnectionProblem(nil, "Role.checkInTouch: no quorum has answered for %v", age)
	}
	return nil
}

// spread tells all nodes and the other control instances of a record.
func (r *Role) spread(rec cleat.UpstreamRecord) {
	m := &cleat.UpstreamUpdate{Records: []cleat.UpstreamRecord{rec}}
	for _, n := range r.nodes {
		if n.registered {
			r.post(n.link, m)
		}
	}
	for _, p := range r.peers {
		r.post(p.links[0], m)
	}
}

// takeUpstreams takes records from another control instance and tells nodes
// what is new; they are not passed on to control instances, which all share links.
func (r *Role) takeUpstreams(m *cleat.UpstreamUpdate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	fresh := &cleat.UpstreamUpdate{}
	for _, rec := range m.Records {
		if r.roster.Add(now, rec) {
			fresh.Records = append(fresh.Records, rec)
		}
	}
	if len(fresh.Records) == 0 {
		return
	}
	for _, n := range r.nodes {
		if n.registered {
			r.post(n.link, fresh)
		}
	}
}

// postRoster sends all that is known of upstreams over a link.
func (r *Role) postRoster(l cleat.Link) {
	if list := r.roster.List(); len(list) > 0 {
		r.post(l, &cleat.UpstreamUpdate{Records: list})
	}
}
