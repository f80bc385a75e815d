package proxy

import (
	"context"
	"math"
	"time"

	"marigoldcleat.example/cleat/policy/place"
)

// loadLogInterval is the time between the lines about shares and about the entry's own
// load.
const loadLogInterval = time.Second

// loadLoop logs the usage of the workspaces that request more than their share, and
// the entry's own load while requests wait or are late, or connections can't be
// accepted.
func (r *Role) loadLoop(ctx context.Context) error {
	failures, output := int64(0), outputLog{}
	for sleep(ctx, loadLogInterval) {
		now := r.clock.Now()
		r.mu.Lock()
		list := r.planner.OversubscribedUsage(now)
		waiting, running := r.planner.Waiting(), r.planner.Running()
		permits := r.planner.PermitCounts(now)
		speeds := r.planner.Speeds(now)
		estimates, keys := r.planner.OutputStats(), r.planner.OutputKeys()
		r.mu.Unlock()
		r.requestMetrics.updateSpeeds(speeds)
		r.logSpeeds(now, speeds)
		for i := range list {
			r.decisions.Log(now, "usage", append([]any{"workspace", list[i].Workspace}, shareFields(&list[i])...)...)
		}
		if c := permits; c.Limited > 0 {
			r.decisions.Log(now, "permits", "upstreams", c.Limited, "rate", c.Rate, "received", c.Received, "used", c.Used, "expired", c.Expired, "wanted", c.Wanted)
		}
		if fields := output.fields(now, estimates, keys); fields != nil {
			r.decisions.Log(now, "output", fields...)
		}
		lag, failed := r.lag.value(now), r.server.AcceptFailures()
		if lag > lagBusy || waiting > 0 || failed > failures {
			r.decisions.Log(now, "load", "lag", lag.Round(time.Millisecond), "connections", r.server.Conns(), "accepted", r.server.Accepted(),
				"turned_away", r.server.TurnedAway(), "denied", r.server.Denied(), "abandoned", r.server.Abandoned(), "evicted", r.callers.Evicted(), "no_memory", r.callers.Refused(), "held", r.callers.Held(), "not_accepted", failed-failures, "requests", r.active.Load(), "waiting", waiting, "running", running, "shed", r.shed.Load(),
				"dispatch_pause", time.Duration(r.dispatchPause.Load()).Round(time.Millisecond))
		}
		failures = failed
	}
	return nil
}

// logSpeeds logs the upstreams whose lasting speed has changed clearly.
func (r *Role) logSpeeds(now time.Time, list []place.UpstreamSpeed) {
	for i := range list {
		if s := &list[i]; s.Changed {
			r.decisions.Log(now, "upstream_speed", "upstream", s.Upstream, "service", s.Service, "speed", round2(s.Lasting), "was", round2(s.Was),
				"momentary", round2(s.Momentary), "seen", round2(s.Weight), "prefill_rate", round2(s.PrefillRate))
		}
	}
}

func round2(x float64) float64 { return math.Round(100*x) / 100 }

// shareFields returns the log fields of a workspace's usage, in cost units over the
// accounting window.
func shareFields(u *place.ShareUsage) []any {
	return []any{
		"capacity", int64(u.Capacity), "share", int64(min(u.Share, maxLoggedShare)), "rate", int64(u.Rate), "credit", int64(u.Credit), "requested", u.Requested, "admitted", u.Admitted, "started", u.Started,
		"requested_elsewhere", u.RequestedElsewhere, "admitted_elsewhere", u.AdmittedElsewhere, "started_elsewhere", u.StartedElsewhere, "pending", u.Pending, "standing", round2(u.Standing), "headroom", round2(u.Headroom), "oldest_report", u.ReportAge.Round(time.Millisecond),
		"refused_over_share", u.Refused.OverShare, "refused_overload", u.Refused.Overload, "refused_late_return", u.Refused.LateRetry, "refused_otherwise", u.Refused.Other,
	}
}

// maxLoggedShare stands for an infinite share, which is that of every workspace while
// the capacity covers all demand.
const maxLoggedShare = 1e15
