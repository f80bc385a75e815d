package ctrl

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/roster"
	"marigoldcleat.example/cleat/state/exits"
)

// MaxExitsInFlight bounds the exits of upstreams that wait for a quorum at one instance.
const MaxExitsInFlight = 1024

// exitCommitTimeout bounds the commit of one batch: upstreams repeat their calls after a second.
const exitCommitTimeout = time.Second

// exitsSince returns the exits that changed after a revision, and the present revision.
func (m *Machine) exitsSince(revision uint64) ([]exits.Exit, uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.exits.Revision() == revision {
		return nil, revision
	}
	return m.exits.Since(revision), m.exits.Revision()
}

// exitByID returns the committed exit of an upstream.
func (m *Machine) exitByID(id cleat.UpstreamID) (exits.Exit, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.exits.ByID(id)
}

func (m *Machine) hasRoomForExit(e exits.Exit) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.exits.HasRoom(e)
}

func (m *Machine) includesExit(e exits.Exit) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.exits.Includes(e)
}

func (m *Machine) exitCount() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.exits.Len()
}

func (m *Machine) applyExits(c *exits.Command) *exits.Result {
	before, revision := m.elapsed(), m.exits.Revision()
	result := m.exits.Apply(*c)
	m.recordAdvance(before)
	if m.exits.Revision() != revision {
		m.notifyWaiters()
	}
	return &result
}

// exitBatch is the exits that one command commits. Its fields are guarded by Role.exitMu until
// the command is proposed.
type exitBatch struct {
	exits []exits.Exit
	done  chan struct{} // Closed once the outcome is known.
	err   error
}

// commitExit returns once a quorum has stored an exit, so that it outlives a restart of all
// instances. With an error the upstream has to repeat its call.
func (r *Role) commitExit(ctx context.Context, e exits.Exit) error {
	if err := e.Check(); err != nil {
		return trace.Wrap(err)
	}
	if r.machine.includesExit(e) {
		return nil
	}
	if !r.machine.hasRoomForExit(e) {
		r.instruments.countExit("no_room")
		return trace.LimitExceeded("Role.commitExit: no room for the exit of %s", e.Upstream)
	}
	select {
	case r.exitSlots <- struct{}{}:
		defer func() { <-r.exitSlots }()
	default:
		r.instruments.countExit("busy")
		return trace.LimitExceeded("Role.commitExit: %d exits wait for a quorum", MaxExitsInFlight)
	}
	started := r.clock.Now()
	err := r.awaitBatch(ctx, r.addToBatch(e))
	if err == nil && !r.machine.includesExit(e) {
		err = trace.LimitExceeded("Role.commitExit: no room for the exit of %s", e.Upstream)
	}
	took := r.clock.Now().Sub(started)
	if err != nil {
		r.instruments.countExit("not_committed")
		r.log.Warn("exit of an upstream not committed", "upstream", e.Upstream, "phase", e.Phase, "born", e.StartedAtMillis, "took", took, "err", trace.UserMessage(err))
		return trace.Wrap(err)
	}
	r.instruments.countExit("committed")
	r.instruments.exit.RecordDuration(took)
	r.log.Info("exit of an upstream committed", "upstream", e.Upstream, "phase", e.Phase, "born", e.StartedAtMillis, "unidentified", e.Unidentified, "took", took)
	return nil
}

// addToBatch adds an exit to the batch that is committed next, once the one under way is done.
func (r *Role) addToBatch(e exits.Exit) *exitBatch {
	r.exitMu.Lock()
	defer r.exitMu.Unlock()
	if r.nextExits == nil {
		r.nextExits = &exitBatch{done: make(chan struct{})}
	}
	b := r.nextExits
	b.exits = append(b.exits, e)
	if !r.committingExits {
		r.committingExits = true
		go r.commitBatches()
	}
	return b
}

// commitBatches commits batches until none is left. Exits that come meanwhile share the next one.
func (r *Role) commitBatches() {
	for {
		r.exitMu.Lock()
		b := r.nextExits
		r.nextExits, r.committingExits = nil, b != nil
		r.exitMu.Unlock()
		if b == nil {
			return
		}
		ctx, cancel := context.WithTimeout(r.ctx, exitCommitTimeout)
		_, b.err = r.proposeExit(ctx, exits.Command{Elapsed: r.machine.Elapsed(r.clock.Now()), Exits: b.exits})
		cancel()
		r.mu.Lock()
		r.mergeExits(r.clock.Now())
		r.mu.Unlock()
		close(b.done)
	}
}

func (r *Role) awaitBatch(ctx context.Context, b *exitBatch) error {
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return trace.ConnectionProblem(ctx.Err(), "Role.awaitBatch: no quorum answered in time; the outcome is unknown")
	}
}

// commitExitCommand proposes exits until they are committed or ctx ends.
func (r *Role) commitExitCommand(ctx context.Context, c exits.Command) (exits.Result, error) {
	return proposeUntilAnswered(ctx, r, command{Exits: &c}, func(exits.Result) (command, bool) { return command{}, false })
}

// identifyExit queues the incarnation that a withdrawal without one has ended here, for
// commitIdentified. The caller holds r.mu.
func (r *Role) identifyExit(now time.Time, ended cleat.UpstreamRecord) {
	kept, ok := r.machine.exitByID(ended.Upstream)
	if !ok || ended.Phase != cleat.UpstreamGone || ended.Exit.Unidentified || kept.StartedAtMillis >= ended.StartedAtMillis {
		return
	}
	r.identified = append(r.identified, exits.Of(now, ended))
}

// commitIdentified commits the queued incarnations, so that a later one is used at once after a
// restart of all instances.
func (r *Role) commitIdentified(ctx context.Context) {
	r.mu.Lock()
	list := r.identified
	r.identified = nil
	r.mu.Unlock()
	if len(list) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exitCommitTimeout)
	defer cancel()
	if _, err := r.proposeExit(ctx, exits.Command{Elapsed: r.machine.Elapsed(r.clock.Now()), Exits: list}); err != nil {
		r.log.Debug("incarnations of withdrawals not committed", "exits", len(list), "err", err)
	}
}

// mergeExits passes the committed exits that are new here to the roster, and forwards what they
// change. The caller holds r.mu.
func (r *Role) mergeExits(now time.Time) {
	list, revision := r.machine.exitsSince(r.exitsMerged)
	r.exitsMerged = revision
	elapsed := r.machine.Elapsed(now)
	var changed []cleat.UpstreamRecord
	for _, e := range list {
		age := max(0, elapsed-e.At)
		if age >= exits.Retention {
			continue
		}
		rec := e.Record()
		r.recordVersionChange(now, rec)
		if !r.roster.Add(now.Add(-age), rec) {
			continue
		}
		stored, _ := r.roster.ByID(rec.Upstream)
		changed = append(changed, stored)
		r.identifyExit(now, stored)
	}
	if len(changed) > 0 {
		r.log.Info("exits of upstreams known", "exits", len(changed), "revision", revision)
		r.forwardUpstreams(now, r.self.Instance, changed)
	}
}

// advanceExitTime commits the elapsed time while exits are kept, so that they expire.
func (r *Role) advanceExitTime(now time.Time) {
	if r.machine.exitCount() == 0 {
		return
	}
	var result exits.Result
	if err := r.propose(r.ctx, command{Exits: &exits.Command{Elapsed: r.machine.Elapsed(now)}}, r.cfg.ClaimTimeout, &result); err != nil {
		r.log.Debug("clock of the exits not advanced", "err", err)
	}
}

// announcedExit returns the exit that an announcement calls for, given the record that is kept
// after it. A trace.ConnectionProblem error means that it isn't clear yet which incarnation leaves.
func (r *Role) announcedExit(now time.Time, announced, stored cleat.UpstreamRecord, wasReady bool) (e exits.Exit, needed bool, err error) {
	switch {
	case announced.Phase != cleat.UpstreamLeaving:
		return e, false, nil
	case roster.AnnouncedStart(&stored) != announced.StartedAtMillis:
		if r.roster.HasEnded(announced.Upstream, announced.StartedAtMillis) {
			return e, false, nil
		}
		return e, false, trace.ConnectionProblem(nil, "Role.announcedExit: it is not clear yet which incarnation of %s leaves", announced.Upstream)
	case stored.Phase == cleat.UpstreamReady: // It has announced itself since.
		return e, false, nil
	}
	kept, ok := r.machine.exitByID(stored.Upstream)
	if ok && kept.StartedAtMillis == stored.StartedAtMillis && !wasReady {
		return e, false, nil
	}
	return exits.Of(now, stored), true, nil
}

// withdrawnExit returns the exit that a withdrawal calls for: of the incarnation that is known to
// serve, or else of all that started before now. The caller holds r.mu.
func (r *Role) withdrawnExit(now time.Time, id cleat.UpstreamID) exits.Exit {
	kept, committed := r.machine.exitByID(id)
	committed = committed && kept.Phase == cleat.UpstreamGone
	if stored, _ := r.roster.ByID(id); stored.Phase == cleat.UpstreamGone && !committed {
		return exits.Of(now, stored) // The withdrawal is repeated, as a quorum hasn't stored it.
	}
	return exits.Of(now, r.roster.Withdrawal(now, id))
}

// countExit counts an exit by its outcome.
func (m *instruments) countExit(outcome string) {
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("upstream_exits").Inc(1)
}
