package proxy

import (
	"context"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/place"
)

// sentJob is a stream's job that was sent and has no first event.
type sentJob struct {
	conn    *upstreamConn
	stalled bool // Its upstream has passed it over, and conn was closed for that.
}

// watched returns the connection of an attempt that ends when its upstream passes it over; nil
// if it is no stream, or the caller has a part of the answer.
func (x *exchange) watched(conn *upstreamConn) *upstreamConn {
	if x.route.Kind != cleat.RouteStream || x.events.started {
		return nil
	}
	return conn
}

// stallLoop closes the connections of jobs that their upstreams have passed over. Their
// attempts end as failed ones, so that the requests may be repeated.
func (r *Role) stallLoop(ctx context.Context) error {
	for sleep(ctx, place.StallCheckInterval) {
		now := r.clock.Now()
		r.mu.Lock()
		for _, j := range r.planner.Stalled(now, r.lag.value(now)) {
			if s, ok := r.sent[j.ID]; ok && !s.stalled {
				s.stalled = true
				s.conn.close()
			}
		}
		r.mu.Unlock()
	}
	return nil
}

// endStalled ends the current attempt if its upstream has passed it over, and reports
// whether that is so. If not, it won't any more: the connection may go back to its pool.
func (x *exchange) endStalled(u cleat.UpstreamRecord) bool {
	r := x.role
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.sent[x.job.ID]
	delete(r.sent, x.job.ID)
	if !ok || !s.stalled {
		return false
	}
	x.mayHaveRun = true
	now := r.clock.Now()
	r.planner.RecordEnd(now, x.job, place.OutcomeStalled)
	r.stalled++
	r.wakeIfWaiting()
	r.decisions.Log(now, "stalled", "workspace", x.workspace, "upstream", u.Upstream, "after", now.Sub(x.sentAt).Round(time.Millisecond), "attempts", x.attempts)
	return true
}
