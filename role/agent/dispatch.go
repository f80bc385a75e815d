package agent

import (
	"context"
	"errors"
	"strconv"
	"time"

	"marigoldcleat.example/cleat"
)

// handleDispatch starts a request under its grant, or sends the refusal that the slots
// table returns. A duplicate of a dispatch whose run still exists is ignored.
func (a *Agent) handleDispatch(l cleat.Link, m *cleat.Dispatch) {
	now := a.clock.Now()
	a.mu.Lock()
	if a.runs[m.Attempt] != nil {
		a.mu.Unlock()
		return
	}
	id, refused := a.slots.AcceptDispatch(now, l.Peer().Instance, m)
	if refused != nil {
		a.mu.Unlock()
		a.sendRefusal(l, refused)
		return
	}
	r := newRun(m, id, l, a.cfg.BufferBytes, now)
	a.runs[m.Attempt] = r
	u := a.engines[id]
	a.mu.Unlock()
	a.workers.Go(func() { a.executeRun(r, u) })
}

// executeRun runs a request at its upstream, settles its charge and slot, and records
// its outcome. A non-repeatable request gets FinishGrace on top of its timeout.
func (a *Agent) executeRun(r *run, u *upstream) {
	defer r.close()
	timeout := r.dispatch.Timeout
	if !r.dispatch.Repeatable {
		timeout += a.cfg.FinishGrace
	}
	deadline := time.AfterFunc(timeout, func() { r.cancel(errDeadline) })
	defer deadline.Stop()
	o := a.runAtUpstream(r, u)
	now := a.clock.Now()
	o.AnswerStarted = r.hasAnswerBytes()
	a.mu.Lock()
	a.unlockAndSend(a.slots.FinishAttempt(now, r.attempt(), o))
	r.finish(o)
	a.recordOutcome(r, o, now)
}

func (a *Agent) runAtUpstream(r *run, u *upstream) cleat.Outcome {
	body, ok := r.awaitBody()
	switch {
	case !ok && errors.Is(context.Cause(r.ctx), errDeadline):
		return cleat.Outcome{Kind: cleat.OutcomeNotRun, Reason: cleat.ReasonDeadline}
	case !ok || u == nil:
		return cleat.Outcome{Kind: cleat.OutcomeNotRun, Reason: cleat.ReasonCallerGone}
	}
	m := r.dispatch
	return u.engine.Run(r.ctx, cleat.Call{
		Attempt: m.Attempt, Kind: m.Stream.Kind, Repeatable: m.Repeatable,
		Method: m.Method, Target: m.Target, Header: m.Header, Body: body,
	}, &runSink{agent: a, run: r})
}

func (a *Agent) recordOutcome(r *run, o cleat.Outcome, now time.Time) {
	stream := r.dispatch.Stream
	series := a.metrics.Series(stream.Workspace, stream.Class)
	series.TotalTime(now.Sub(r.startedAt))
	series.Cost(o.Usage.Cost(stream.Kind))
	a.metrics.Scope().Tagged(map[string]string{"outcome": string(o.Kind)}).Counter("runs").Inc(1)
	if o.Kind == cleat.OutcomeDone {
		a.log.Debug("request completed", "attempt", r.attempt(), "workspace", stream.Workspace, "upstream", r.upstream)
		return
	}
	a.log.Info("request not completed", "attempt", r.attempt(), "workspace", stream.Workspace, "upstream", r.upstream, "outcome", o.Kind, "reason", o.Reason)
}

// runSink writes an upstream's answer to its run and charges the workspace while the
// answer arrives.
type runSink struct {
	agent         *Agent
	run           *run
	gotFirstData  bool
	chargedAt     time.Time
	contentLength int64 // Length of the complete answer body; negative if unknown.
	received      int64
}

// Start stores the answer's status and header in the run.
func (s *runSink) Start(status int, header []cleat.HeaderField) error {
	s.contentLength = parseContentLength(header)
	s.run.setHead(status, header)
	return nil
}

// Data writes the next bytes of the body; it blocks while the run's buffer is full.
func (s *runSink) Data(b []byte) error {
	if !s.gotFirstData {
		s.gotFirstData = true
		s.recordFirstToken()
	}
	s.received += int64(len(b))
	return s.run.write(b, s.received == s.contentLength)
}

// parseContentLength returns the value of the Content-Length field, or -1 if there is
// none that can be parsed.
func parseContentLength(header []cleat.HeaderField) int64 {
	for _, f := range header {
		if f.Name != "Content-Length" {
			continue
		}
		if n, err := strconv.ParseInt(f.Value, 10, 64); err == nil {
			return n
		}
	}
	return -1
}

// ReportUsage charges the request's usage so far, at most once in each chargeInterval.
func (s *runSink) ReportUsage(u cleat.Usage) {
	now := s.agent.clock.Now()
	if now.Sub(s.chargedAt) < chargeInterval {
		return
	}
	s.chargedAt = now
	s.agent.mu.Lock()
	defer s.agent.mu.Unlock()
	s.agent.slots.RecordProgress(now, s.run.attempt(), u)
}

func (s *runSink) recordFirstToken() {
	now := s.agent.clock.Now()
	s.agent.mu.Lock()
	s.agent.slots.RecordFirstToken(now, s.run.attempt())
	s.agent.mu.Unlock()
	stream := s.run.dispatch.Stream
	s.agent.metrics.Series(stream.Workspace, stream.Class).FirstToken(now.Sub(s.run.startedAt))
}
