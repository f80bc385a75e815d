package proxy

import (
	"context"
	"net/http"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/resume"
)

// unknownStreamRetryAfter is the Retry-After when no process in reach knows a stream.
const unknownStreamRetryAfter = 200 * time.Millisecond

// streamID returns the id under which the exchange's stream is known to all entries.
func (x *exchange) streamID() cleat.RequestID {
	if x.info.Resumes != "" {
		return x.info.Resumes
	}
	return x.info.ID
}

// isResumption reports whether the caller takes up a stream that was broken off.
func (x *exchange) isResumption() bool {
	return x.route.Kind == cleat.RouteStream && (x.info.Resumes != "" || x.info.LastEvent != "")
}

// prepareResumption restricts the job to the software version that began the stream.
// It returns false if the request was refused.
func (x *exchange) prepareResumption() bool {
	x.watchCaller()
	ctx, cancel := context.WithDeadline(x.ctx, x.lookupDeadline())
	defer cancel()
	o, d := x.findOrigin(ctx)
	if d.cause != "" {
		x.refuseUnknown(d)
		return false
	}
	if !x.route.Allows(o.Service) {
		x.refuse(http.StatusServiceUnavailable, "no_version", x.randomRetryAfter())
		return false
	}
	x.role.awaitList(ctx)
	x.service, x.job.Service, x.job.Version = o.Service, o.Service, o.Version
	return true
}

// isInContact reports whether announcements reach this entry: a control instance with
// a quorum was heard within ConfirmTimeout.
func (r *Role) isInContact(now time.Time) bool {
	return now.Sub(r.control.LastContact()) <= r.cfg.ConfirmTimeout
}

// recordStart records where the exchange's stream began before its caller receives
// the first event. It returns false if the event must not be relayed: the upstream
// may meanwhile have restarted with another version than the stream's.
func (x *exchange) recordStart(u cleat.UpstreamRecord) bool {
	r := x.role
	r.mu.Lock()
	defer r.mu.Unlock()
	o := resume.Origin{Service: u.Service, Version: u.Version}
	if now, ok := r.roster.ByID(u.Upstream); ok && now.StartedAtMillis != u.StartedAtMillis && now.Version != u.Version {
		if x.job.Version != "" {
			return false
		}
		o.Version = ""
	}
	r.streams.RecordStart(x.streamID(), o, u.Upstream, x.sentAt, x.deadline)
	r.scheduleControlReport()
	return true
}

// pinVersion restricts the further attempts of a stream whose first event was relayed
// to the version that began it. It returns false if that is not known.
func (x *exchange) pinVersion() bool {
	r := x.role
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.streams.Find(r.clock.Now(), x.streamID())
	x.job.Version = o.Version
	return ok && o.IsKnown()
}

// dialedBefore returns the time before which the connection of an attempt must have
// been dialed, or zero. While this entry isn't in contact with control, an upstream may
// have restarted with another version unnoticed; a connection from before that proves
// that it hasn't.
func (x *exchange) dialedBefore(now time.Time) time.Time {
	if x.job.Version == "" || x.role.isInContact(now) {
		return time.Time{}
	}
	if at := x.role.control.LastContact(); !at.IsZero() {
		return at
	}
	return x.role.startedAt
}

// recordRestart handles the record of an upstream that restarted under its id with
// another version. The caller holds r.mu.
func (r *Role) recordRestart(now time.Time, next cleat.UpstreamRecord) {
	old, ok := r.roster.ByID(next.Upstream)
	if !ok || old.StartedAtMillis >= next.StartedAtMillis || old.Version == next.Version {
		return
	}
	age := max(0, now.Sub(time.UnixMilli(next.StartedAtMillis)))
	r.streams.RecordRestart(next.Upstream, resume.Origin{Service: next.Service, Version: next.Version}, now.Add(-age-maxClockSkew))
	r.scheduleControlReport()
}

// maxClockSkew bounds the difference between an upstream's clock and an entry's.
const maxClockSkew = 5 * time.Second
