package ctrl

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/uber-go/tally/v4"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
	"marigoldcleat.example/cleat/policy/resume"
	"marigoldcleat.example/cleat/policy/roster"
)

const (
	// streamInterval is how long reports of streams are collected before they are
	// forwarded to the other control instances.
	streamInterval = 20 * time.Millisecond
	// streamSweepInterval is the time between removals of streams that callers no longer
	// resume: it visits all.
	streamSweepInterval = 5 * time.Second
	// maxClockSkew bounds the difference between an upstream's clock and this one's.
	maxClockSkew = 5 * time.Second
)

// streamRecords keeps in memory where streams began, for entries that have restarted.
// Its lock is taken after Role.mu.
type streamRecords struct {
	mu      sync.Mutex
	table   *resume.Table
	since   time.Time     // From when this instance has been told of all streams; earlier after an exchange.
	changed chan struct{} // Signals reports to forward.
	queries uint64        // Streams that were asked for.
	unknown uint64        // Of these, not known here.
}

func newStreamRecords(now time.Time) *streamRecords {
	return &streamRecords{table: resume.New(resume.Config{Relays: true}, now), since: now, changed: make(chan struct{}, 1)}
}

func (s *streamRecords) signal() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// handleStreamReport merges a report of an entry, or of another control instance; those
// of entries are forwarded to the other instances.
func (r *Role) handleStreamReport(m *cleat.StreamReport, fromEntry bool) {
	s := r.streams
	now := r.clock.Now()
	s.mu.Lock()
	s.table.Relay(now, m, fromEntry)
	if m.KnownFor > 0 && now.Add(-m.KnownFor).Before(s.since) {
		s.since = now.Add(-m.KnownFor)
	}
	s.mu.Unlock()
	s.signal()
}

// handleStreamQuery answers an entry that doesn't know a stream.
func (r *Role) handleStreamQuery(l cleat.Link, q *cleat.StreamQuery) {
	s := r.streams
	now := r.clock.Now()
	s.mu.Lock()
	m := s.table.Answer(now, q)
	m.KnownFor = max(1, now.Sub(s.since))
	s.queries += uint64(len(q.Streams))
	s.unknown += uint64(len(m.Unknown))
	s.mu.Unlock()
	r.sendOrLog(l, m)
}

// sendStreams sends all known streams to another control instance, which may have just
// started.
func (r *Role) sendStreams(l cleat.Link) {
	s := r.streams
	now := r.clock.Now()
	s.mu.Lock()
	list := s.table.Complete(now)
	list = append(list, &cleat.StreamReport{KnownFor: max(1, now.Sub(s.since))})
	s.mu.Unlock()
	for _, m := range list {
		if err := wire.SendWithBackpressure(r.ctx, l, m); err != nil {
			r.log.Debug("streams not sent", "to", l.Peer().Instance, "err", err)
			return
		}
	}
	r.log.Info("streams sent", "to", l.Peer().Instance, "streams", s.len())
}

func (s *streamRecords) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Len()
}

// streamLoop forwards reports of streams to the other control instances, and to the
// entries the streams that have become unknown.
func (r *Role) streamLoop(ctx context.Context) error {
	s := r.streams
	swept := r.clock.Now()
	for {
		select {
		case <-s.changed:
		case <-time.After(streamSweepInterval):
		case <-ctx.Done():
			return nil
		}
		now := r.clock.Now()
		s.mu.Lock()
		if now.Sub(swept) >= streamSweepInterval {
			swept = now
			s.table.Tick(now)
		}
		news, voided := s.table.Report(now), s.table.Voided(now)
		s.mu.Unlock()
		r.forwardStreams(news, voided)
		if !sleep(ctx, streamInterval) {
			return nil
		}
	}
}

func (r *Role) forwardStreams(news, voided *cleat.StreamReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if news != nil {
		for _, p := range r.peers {
			r.sendOrLog(p.links[0], news)
		}
	}
	if voided == nil {
		return
	}
	for _, n := range r.nodes {
		if n.registered && n.link.Peer().Role == cleat.RoleEntry {
			r.sendOrLog(n.link, voided)
		}
	}
}

// recordVersionChange makes streams unknown that an upstream may have begun after it
// restarted under its id with another version than the one that entries recorded. The
// caller holds r.mu and adds the record afterwards.
func (r *Role) recordVersionChange(now time.Time, next cleat.UpstreamRecord) {
	old, ok := r.roster.ByID(next.Upstream)
	if !ok || old.StartedAtMillis == 0 || old.StartedAtMillis >= next.StartedAtMillis || next.Phase == cleat.UpstreamGone || old.Version == next.Version {
		return
	}
	age := max(0, now.Sub(time.UnixMilli(next.StartedAtMillis)))
	s := r.streams
	s.mu.Lock()
	s.table.RecordRestart(next.Upstream, resume.Origin{Service: next.Service, Version: next.Version}, now.Add(-age-maxClockSkew))
	s.mu.Unlock()
	s.signal()
}

// completeUpstreams returns all upstream records for a node or another control instance.
// The caller holds r.mu.
func (r *Role) completeUpstreams(now time.Time) *cleat.UpstreamUpdate {
	m := r.roster.Complete(now)
	m.KnownFor = r.upstreamsKnownFor(now)
	return m
}

// upstreamsKnownFor returns for how long this instance vouches that it knows all upstreams.
// Until it has had time to link to all others it vouches for nothing. The caller holds r.mu.
func (r *Role) upstreamsKnownFor(now time.Time) time.Duration {
	if now.Sub(r.startedAt) < roster.SettleTime && len(r.peers) < len(r.cfg.Controls)-1 {
		return 0
	}
	return r.roster.KnownFor(now)
}

// newFleetKnownFor is for how long a new fleet has been without upstreams and streams:
// longer than any is asked for.
const newFleetKnownFor = 24 * time.Hour

// isNewFleet reports whether the fleet is new: an instance that has a log has served it
// before.
func (r *Role) isNewFleet(disk cleat.Disk) (bool, error) {
	files, err := disk.List()
	return r.cfg.NewFleet && len(files) == 0, trace.Wrap(err, "Role.isNewFleet")
}

// manifestSince returns since when the newest manifest has been in force, as far as
// this instance knows: a new fleet has had no other before its first. The caller holds
// r.mu.
func (r *Role) manifestSince() time.Time {
	if now := r.clock.Now(); !r.newFleet || len(r.manifestBodies) > 0 {
		return now
	}
	return r.startedAt.Add(-newFleetKnownFor)
}

// recordUpstreamContact records that a quorum was reached, so that this instance
// receives all announcements. The caller holds r.mu.
func (r *Role) recordUpstreamContact(now time.Time) {
	r.roster.RecordContact(now)
	if r.newFleet && !r.newFleetRecorded {
		r.newFleetRecorded = true
		r.roster.ExtendKnowledge(now, newFleetKnownFor)
	}
	r.tellKnowledge(now)
}

// knowledgeStep is the least part of the past that nodes are told when it becomes known.
const knowledgeStep = 100 * time.Millisecond

// tellKnowledge tells nodes when more of the past is known than they were told, after
// all records that were received with it. The caller holds r.mu.
func (r *Role) tellKnowledge(now time.Time) {
	d := r.upstreamsKnownFor(now)
	from := now.Add(-d)
	if d == 0 || (!r.toldFrom.IsZero() && from.After(r.toldFrom.Add(-knowledgeStep))) {
		return
	}
	r.toldFrom = from
	r.log.Info("upstreams known", "known_for", d.Round(time.Millisecond))
	m := &cleat.UpstreamUpdate{KnownFor: d, Ended: r.roster.Complete(now).Ended}
	for _, n := range r.nodes {
		if n.registered {
			r.sendOrLog(n.link, m)
		}
	}
}

// updateStreamGauges sets the gauges of stream records.
func (r *Role) updateStreamGauges(scope tally.Scope) {
	s := r.streams
	s.mu.Lock()
	kept, dropped, queries, unknown, known := s.table.Len(), s.table.Dropped(), s.queries, s.unknown, r.clock.Now().Sub(s.since)
	s.mu.Unlock()
	r.mu.Lock()
	upstreams := r.roster.KnownFor(r.clock.Now())
	r.mu.Unlock()
	scope.Gauge("streams_kept").Update(float64(kept))
	scope.Gauge("streams_dropped").Update(float64(dropped))
	scope.Gauge("streams_asked").Update(float64(queries))
	scope.Gauge("streams_unknown").Update(float64(unknown))
	scope.Gauge("streams_known_seconds").Update(known.Seconds())
	scope.Gauge("upstreams_known_seconds").Update(upstreams.Seconds())
}
