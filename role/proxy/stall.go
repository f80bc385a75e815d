package proxy

import (
	"context"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/place"
)

// stallInterval is the time between checks for jobs that their upstreams have passed over.
const stallInterval = 50 * time.Millisecond

// sentJob is a job that was sent and has not ended.
type sentJob struct {
	conn    *upstreamConn
	stalled bool // Its upstream has passed it over, and conn was closed for that.
}

// stallLoop closes the connections of jobs that their upstreams have passed over. Their
// attempts end as failed ones, so that the requests may be repeated.
func (r *Role) stallLoop(ctx context.Context) error {
	for sleep(ctx, stallInterval) {
		now := r.clock.Now()
		if r.lag.value(now) > lagBusy {
			continue // First events may have arrived that aren't read yet.
		}
		r.mu.Lock()
		for _, j := range r.planner.Stalled(now) {
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
// whether that is so.
func (x *exchange) endStalled(u cleat.UpstreamRecord) bool {
	r := x.role
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.sent[x.job.ID]; !ok || !s.stalled {
		return false
	}
	x.mayHaveRun = true
	delete(r.sent, x.job.ID)
	now := r.clock.Now()
	r.planner.RecordEnd(now, x.job, place.OutcomeStalled)
	r.stalled++
	r.wakeIfWaiting()
	r.decisions.Log(now, "stalled", "workspace", x.workspace, "upstream", u.Upstream, "after", now.Sub(x.sentAt).Round(time.Millisecond), "attempts", x.attempts)
	return true
}
