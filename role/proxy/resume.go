package proxy

import (
	"net/http"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/resume"
)

const (
	// queryTimeout bounds the wait for other entries' answers about a stream: a few
	// round trips to an entry that is short of processor time.
	queryTimeout = 300 * time.Millisecond
	// queryDelay is how long questions are collected before they are sent, so that many
	// callers who return together, or invent ids, cost few messages.
	queryDelay = 10 * time.Millisecond
	// unknownStreamRetryAfter is the Retry-After when no entry in reach knows a stream.
	unknownStreamRetryAfter = 200 * time.Millisecond
)

// streamQuery is a question to other entries about one stream.
type streamQuery struct {
	asked    int           // Entries that have not answered; zero until the question is sent.
	sent     bool          // The question was sent.
	answered chan struct{} // Closed when the stream is known or every entry has answered.
}

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
	o, ok := x.role.findOrigin(x)
	if !ok || !o.IsKnown() {
		x.refuse(http.StatusServiceUnavailable, "unknown_stream", unknownStreamRetryAfter)
		return false
	}
	if !x.route.Allows(o.Service) {
		x.refuse(http.StatusServiceUnavailable, "no_version", x.randomRetryAfter())
		return false
	}
	x.service, x.job.Service, x.job.Version = o.Service, o.Service, o.Version
	return true
}

// findOrigin returns where a stream began. It asks the other entries when this one
// doesn't know; false means that no entry in reach does.
func (r *Role) findOrigin(x *exchange) (resume.Origin, bool) {
	id := x.info.Resumes
	if id == "" {
		return r.soleOrigin(x)
	}
	r.mu.Lock()
	o, ok := r.streams.Find(r.clock.Now(), id)
	if ok || len(r.linkedEntries()) == 0 {
		r.mu.Unlock()
		return o, ok
	}
	q, asked := r.queries[id]
	if !asked {
		q = &streamQuery{answered: make(chan struct{})}
		r.queries[id] = q
		if !r.queryScheduled {
			r.queryScheduled = true
			time.AfterFunc(queryDelay, r.sendQueries)
		}
	}
	r.mu.Unlock()
	t := time.NewTimer(queryTimeout)
	defer t.Stop()
	select {
	case <-q.answered:
	case <-t.C:
	case <-x.ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queries[id] == q {
		delete(r.queries, id)
	}
	return r.streams.Find(r.clock.Now(), id)
}

// soleOrigin returns where a stream began whose caller doesn't name it, as callers of
// an earlier interface do: the only service of its route, while all upstreams that
// control has known there recently have one version.
func (r *Role) soleOrigin(x *exchange) (resume.Origin, bool) {
	if len(x.route.Split) != 1 || !r.isInContact(r.clock.Now()) {
		return resume.Origin{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	v, ok := r.roster.SoleVersion(r.clock.Now(), x.service)
	return resume.Origin{Service: x.service, Version: v}, ok
}

// isInContact reports whether announcements reach this entry: a control instance with
// a quorum was heard within ConfirmTimeout.
func (r *Role) isInContact(now time.Time) bool {
	return now.Sub(r.control.LastContact()) <= r.cfg.ConfirmTimeout
}

// sendQueries sends the collected questions to all linked entries.
func (r *Role) sendQueries() {
	r.mu.Lock()
	r.queryScheduled = false
	var ids []cleat.RequestID
	links := r.linkedEntries()
	for id, q := range r.queries {
		if !q.sent {
			q.sent, q.asked = true, len(links)
			ids = append(ids, id)
		}
	}
	r.mu.Unlock()
	if len(ids) > 0 {
		r.broadcast(links, resume.Query(ids...))
	}
}

// applyStreams merges another entry's report and ends the questions that it answers.
func (r *Role) applyStreams(m *cleat.StreamReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams.Apply(r.clock.Now(), m)
	for id, q := range r.queries {
		named, known := resume.Names(m, id)
		if !named {
			continue
		}
		if q.asked--; known || q.asked <= 0 {
			close(q.answered)
			delete(r.queries, id)
		}
	}
}

// answerStreams answers another entry's question.
func (r *Role) answerStreams(l cleat.Link, q *cleat.StreamQuery) {
	r.mu.Lock()
	m := r.streams.Answer(r.clock.Now(), q)
	r.mu.Unlock()
	r.broadcast([]cleat.Link{l}, m)
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
	return x.role.control.LastContact()
}

// recordRestart handles the record of an upstream that restarted under its id with
// another version. The caller holds r.mu.
func (r *Role) recordRestart(now time.Time, next cleat.UpstreamRecord) {
	old, ok := r.roster.ByID(next.Upstream)
	if !ok || old.StartedAtMillis >= next.StartedAtMillis || old.Version == next.Version {
		return
	}
	age := max(0, now.Sub(time.UnixMilli(next.StartedAtMillis)))
	r.streams.RecordRestart(next.Upstream, now.Add(-age-maxClockSkew))
}

// maxClockSkew bounds the difference between an upstream's clock and an entry's.
const maxClockSkew = 5 * time.Second
