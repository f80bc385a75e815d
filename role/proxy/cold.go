package proxy

import (
	"time"

	"marigoldcleat.example/cleat"
)

// maxLostIdle is how long ago a connection must have been in use for its end to tell that
// the upstream has ended: afterwards an upstream may close it in good order.
const maxLostIdle = 4 * time.Second

// recordAnnouncement applies an announcement that the roster has taken. The caller holds
// r.mu.
func (r *Role) recordAnnouncement(now time.Time, rec cleat.UpstreamRecord) {
	known, ok := r.roster.ByID(rec.Upstream)
	if ok && known.StartedAtMillis == rec.StartedAtMillis && known.Sequence == rec.Sequence && known.Phase != cleat.UpstreamGone {
		r.planner.RecordAnnouncement(now, rec)
	}
}

// recordClosed records that an upstream closed an idle connection that was in use recently.
func (x *exchange) recordClosed(u cleat.UpstreamRecord) {
	if x.ctx.Err() != nil {
		return // This entry may have closed it.
	}
	r := x.role
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.planner.RecordClosed(now, u)
	r.logCold(now)
}

// recordWarmUp applies what the head of an answer states about how cold the upstream is.
func (x *exchange) recordWarmUp(u cleat.UpstreamRecord, info cleat.AnswerInfo) {
	if info.WarmUp == 0 {
		return
	}
	r := x.role
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.planner.RecordWarmUp(now, u, info.WarmUp)
	r.logCold(now)
}

// logCold logs which upstreams became cold or warm. The caller holds r.mu.
func (r *Role) logCold(now time.Time) {
	for _, c := range r.planner.ColdChanges() {
		if c.Cold {
			r.decisions.Log(now, "upstream_cold", "upstream", c.Upstream, "why", c.Why, "for", c.For.Round(time.Millisecond), "owner", c.Owner)
		} else {
			r.decisions.Log(now, "upstream_warm", "upstream", c.Upstream)
		}
	}
}
