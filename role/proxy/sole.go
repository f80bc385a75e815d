package proxy

import (
	"context"
	"fmt"
	"strings"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/resume"
	"marigoldcleat.example/cleat/policy/roster"
)

// streamSlack is how much older than its route's timeout a stream that a caller resumes
// can be: callers resume until their deadline, and clocks and messages are late.
const streamSlack = 5 * time.Second

// soleOrigin returns where a stream began whose caller doesn't name it, as callers of
// an earlier interface do: the only service of its route, if all its upstreams had one
// version for as long as the stream can be running. An entry that has just started
// waits for what it is told with its first links, until ctx ends.
func (x *exchange) soleOrigin(ctx context.Context) (resume.Origin, doubt) {
	r := x.role
	for {
		o, d := r.soleOriginNow(x)
		if d.cause == "" {
			r.requestMetrics.countLookup("sole_version")
			return o, d
		}
		if r.clock.Now().Sub(r.startedAt) >= resume.StartTime || (d.cause != causeNoContact && d.cause != string(roster.DoubtKnown)) || !sleep(ctx, retryInterval) {
			return o, d
		}
	}
}

func (r *Role) soleOriginNow(x *exchange) (resume.Origin, doubt) {
	now := r.clock.Now()
	window := x.route.Timeout + streamSlack
	if len(x.route.Split) != 1 {
		return resume.Origin{}, doubt{cause: causeSeveralServices}
	}
	if !r.isInContact(now) {
		return resume.Origin{}, doubt{cause: causeNoContact}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if same := now.Sub(r.routesSince); same < window {
		return resume.Origin{}, doubt{cause: causeRouteChanged, fields: []any{"routes_unchanged_for", same.Round(time.Millisecond), "needed", window}}
	}
	r.recordContact()
	v, d := r.roster.SoleVersion(now, x.service, window)
	if d != roster.DoubtNone {
		return resume.Origin{}, doubt{cause: string(d), fields: []any{"upstreams_known_for", r.roster.KnownFor(now).Round(time.Millisecond), "needed", window}}
	}
	return resume.Origin{Service: x.service, Version: v}, doubt{}
}

// recordContact tells the roster until when announcements reached this entry. The
// caller holds r.mu.
func (r *Role) recordContact() {
	if at := r.control.LastContact(); !at.IsZero() {
		r.roster.RecordContact(at)
	}
}

// recordRoutes notes since when the routes are the same, for streams whose callers don't
// name them. age is for how long control has had this version; skipped means that another
// one between the last and this one was not applied here. The caller holds r.mu.
func (r *Role) recordRoutes(now time.Time, t *cleat.RouteTable, age time.Duration, skipped bool) {
	var b strings.Builder
	for i := range t.Routes {
		route := &t.Routes[i]
		fmt.Fprintf(&b, "%q %q %q %d", route.Host, route.Prefix, route.Kind, route.Timeout)
		for _, s := range route.Split {
			if s.Weight > 0 {
				fmt.Fprintf(&b, " %q", s.Service)
			}
		}
		b.WriteByte('\n')
	}
	routes := b.String()
	switch {
	case r.routes == "":
		r.routesSince = now.Add(-max(0, age))
	case routes != r.routes || skipped:
		r.routesSince = now
	}
	r.routes = routes
}

// awaitManifest waits for the first manifest, as long as a resumption may wait. It
// returns nil if there is still none.
func (x *exchange) awaitManifest() *cleat.RouteTable {
	if x.info.Resumes == "" && x.info.LastEvent == "" {
		return nil
	}
	ctx, cancel := context.WithDeadline(x.role.ctx, x.lookupDeadline())
	defer cancel()
	select {
	case <-x.role.manifestApplied:
	case <-ctx.Done():
	}
	return x.role.table.Load()
}

// awaitList waits until the first list of upstreams has arrived or ctx ends.
func (r *Role) awaitList(ctx context.Context) {
	select {
	case <-r.listed:
	case <-ctx.Done():
	}
}

// recordUpstreamList records how much of the past an update covers. The caller holds
// r.mu.
func (r *Role) recordUpstreamList(now time.Time, m *cleat.UpstreamUpdate) {
	if r.roster.ExtendKnowledge(now, m.KnownFor) {
		r.log.Info("upstreams known", "known_for", r.roster.KnownFor(now).Round(time.Millisecond), "upstreams", len(r.roster.List()))
	}
	select {
	case <-r.listed:
	default:
		close(r.listed)
	}
}
