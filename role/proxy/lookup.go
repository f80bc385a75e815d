package proxy

import (
	"context"
	"net/http"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/resume"
)

const (
	// queryTimeout bounds the wait for answers about a stream: a few round trips to an
	// entry that is short of processor time.
	queryTimeout = 300 * time.Millisecond
	// queryDelay is how long questions are collected before they are sent, so that many
	// callers who return together, or invent ids, cost few messages.
	queryDelay = 10 * time.Millisecond
	// controlReportDelay is how long streams that begin are collected before control is
	// told. Streams that an entry begins within this time before it fails are lost.
	controlReportDelay = 20 * time.Millisecond
	// retryInterval is the time between checks of what an entry that has just started
	// knows.
	retryInterval = 20 * time.Millisecond
)

// streamLookup is a question to other entries and control instances about one stream.
type streamLookup struct {
	lookup *resume.Lookup
	sent   bool          // Linked processes were asked, and those that are linked later will be.
	done   chan struct{} // Closed when there is nothing left to wait for.
}

// doubt is why a stream can't be resumed here; without a cause it can.
type doubt struct {
	cause  string
	fields []any // For the log.
}

// Causes of a doubt.
const (
	causeNotRecorded     = "not_recorded"     // No process in reach knows the stream.
	causeOriginsDiffer   = "origins_differ"   // The stream is known, but two versions may have begun it.
	causeSeveralServices = "several_services" // The caller doesn't name the stream, like the following.
	causeNoContact       = "no_contact"       // Announcements don't reach this entry.
	causeRouteChanged    = "route_changed"    // Routes may have changed since the stream began.
)

// lookupDeadline returns until when the exchange may wait for what the entry doesn't
// know yet.
func (x *exchange) lookupDeadline() time.Time {
	if x.lookupBy.IsZero() {
		x.lookupBy = x.role.clock.Now().Add(queryTimeout)
	}
	return x.lookupBy
}

// findOrigin returns where the exchange's stream began, or why that can't be told. It
// asks other processes until ctx ends.
func (x *exchange) findOrigin(ctx context.Context) (resume.Origin, doubt) {
	if x.info.Resumes == "" {
		return x.soleOrigin(ctx)
	}
	r := x.role
	o, ok := r.findStream(x.info.Resumes)
	found := "here"
	if !ok {
		var l *resume.Lookup
		started := r.clock.Now()
		if o, ok, l = r.lookUp(ctx, x.info.Resumes); !ok {
			return o, doubt{cause: causeNotRecorded, fields: r.describeLookup(l, r.clock.Now().Sub(started))}
		}
		found = l.FoundBy()
	}
	if !o.IsKnown() {
		return o, doubt{cause: causeOriginsDiffer, fields: []any{"found", found}}
	}
	r.requestMetrics.countLookup(found)
	return o, doubt{}
}

func (r *Role) findStream(id cleat.RequestID) (resume.Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.streams.Find(r.clock.Now(), id)
}

// lookUp asks other entries and the control instances where a stream began, and waits
// for the answers until ctx ends.
func (r *Role) lookUp(ctx context.Context, id cleat.RequestID) (resume.Origin, bool, *resume.Lookup) {
	r.mu.Lock()
	q, asked := r.lookups[id]
	if !asked {
		q = &streamLookup{lookup: resume.NewLookup(), done: make(chan struct{})}
		r.lookups[id] = q
		if !r.queryScheduled {
			r.queryScheduled = true
			time.AfterFunc(queryDelay, r.sendQueries)
		}
	}
	r.mu.Unlock()
	select {
	case <-q.done:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lookups[id] == q {
		delete(r.lookups, id)
	}
	o, ok := r.streams.Find(r.clock.Now(), id)
	return o, ok, q.lookup
}

// sendQueries sends the collected questions to all linked entries and control instances.
func (r *Role) sendQueries() {
	controls := r.control.ControlLinks()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queryScheduled = false
	for _, q := range r.lookups {
		q.sent = true
	}
	for _, l := range append(r.linkedEntries(), controls...) {
		r.ask(l)
	}
	r.endLookups()
}

// ask sends a process the questions that it was not asked yet. The caller holds r.mu.
func (r *Role) ask(l cleat.Link) {
	var ids []cleat.RequestID
	for id, q := range r.lookups {
		if q.sent && q.lookup.Ask(sourceOf(l)) {
			ids = append(ids, id)
		}
	}
	if len(ids) > 0 {
		r.broadcast([]cleat.Link{l}, resume.Query(ids...))
	}
}

// endLookups ends the questions for which there is nothing left to wait for. The caller
// holds r.mu.
func (r *Role) endLookups() {
	if len(r.lookups) == 0 {
		return
	}
	reach := r.reach()
	for id, q := range r.lookups {
		if q.sent && q.lookup.IsDone(reach) {
			close(q.done)
			delete(r.lookups, id)
		}
	}
}

// reach returns what this entry knows of its links. The caller holds r.mu.
func (r *Role) reach() resume.Reach {
	reach := resume.Reach{Uptime: r.clock.Now().Sub(r.startedAt)}
	for _, e := range r.entries {
		if e.link == nil {
			reach.Missing++
		}
	}
	if !r.membersKnown {
		reach.Missing++
	}
	return reach
}

func sourceOf(l cleat.Link) resume.Source {
	return resume.Source{Instance: l.Peer().Instance, Control: l.Peer().Role == cleat.RoleControl}
}

// handleControlLink asks a control instance that has just been linked, or no longer
// waits for one whose link is down.
func (r *Role) handleControlLink(l cleat.Link, up bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handleLookupLink(l, up)
}

// handleLookupLink is handleControlLink for any link. The caller holds r.mu.
func (r *Role) handleLookupLink(l cleat.Link, up bool) {
	if up {
		r.ask(l)
		return
	}
	for _, q := range r.lookups {
		q.lookup.Lose(sourceOf(l))
	}
	r.endLookups()
}

// applyStreams merges another process's report and ends the questions that it answers.
func (r *Role) applyStreams(l cleat.Link, m *cleat.StreamReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams.Apply(r.clock.Now(), m)
	for id, q := range r.lookups {
		if named, known := resume.Names(m, id); named {
			q.lookup.Answer(sourceOf(l), known, m.KnownFor)
		}
	}
	r.endLookups()
}

// answerStreams answers another entry's question.
func (r *Role) answerStreams(l cleat.Link, q *cleat.StreamQuery) {
	r.mu.Lock()
	m := r.streams.Answer(r.clock.Now(), q)
	r.mu.Unlock()
	r.broadcast([]cleat.Link{l}, m)
}

// describeLookup returns log fields that tell who was asked and who answered.
func (r *Role) describeLookup(l *resume.Lookup, waited time.Duration) []any {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, reach := l.Summary(), r.reach()
	return []any{
		"controls_unknown", s.ControlsUnknown, "controls_silent", s.ControlsSilent, "entries_unknown", s.EntriesUnknown, "entries_silent", s.EntriesSilent,
		"entries_unlinked", reach.Missing, "control_known_for", s.KnownFor.Round(time.Millisecond), "waited", waited.Round(time.Millisecond), "uptime", reach.Uptime.Round(time.Millisecond),
	}
}

// scheduleControlReport makes reportToControl run soon. The caller holds r.mu.
func (r *Role) scheduleControlReport() {
	if !r.controlReportScheduled {
		r.controlReportScheduled = true
		time.AfterFunc(controlReportDelay, r.reportToControl)
	}
}

// reportToControl tells the control instance in use which streams began here. Without
// one the report is dropped: the next one is told of all; see resendStreams.
func (r *Role) reportToControl() {
	r.mu.Lock()
	r.controlReportScheduled = false
	m := r.streams.ReportOwn(r.clock.Now())
	r.mu.Unlock()
	if m != nil && !r.control.SendPrimary(m) {
		r.log.Debug("streams not reported to control", "groups", len(m.Groups))
	}
}

// resendStreams tells a newly used control instance of all streams that began here. It may
// have restarted, or lack what was sent to the former one when that failed.
func (r *Role) resendStreams() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams.ResendOwn()
	r.scheduleControlReport()
}

// refuseUnknown refuses a resumption whose stream's version can't be told.
func (x *exchange) refuseUnknown(d doubt) {
	x.refusalFields = append([]any{"cause", d.cause}, d.fields...)
	x.role.requestMetrics.countUnknown(d.cause)
	x.refuse(http.StatusServiceUnavailable, "unknown_stream", unknownStreamRetryAfter)
}
