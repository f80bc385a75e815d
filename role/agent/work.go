package agent

import (
	"strconv"
	"time"

	"marigoldcleat.example/cleat"
)

// dispatch starts a request under its grant, or refuses it as not run. A copy
// of one that is here already is dropped.
func (a *Agent) dispatch(l cleat.Link, m *cleat.Dispatch) {
	now := a.clock.Now()
	a.mu.Lock()
	if a.runs[m.Attempt] != nil {
		a.mu.Unlock()
		return
	}
	id, refused := a.table.AcceptDispatch(now, l.Peer().Instance, m)
	if refused != nil {
		a.mu.Unlock()
		a.refuse(l, refused)
		return
	}
	r := newRun(m, id, l, a.cfg.BufferBytes, now)
	a.runs[m.Attempt] = r
	u := a.engines[id]
	a.mu.Unlock()
	a.workers.Go(func() { a.execute(r, u) })
}

// execute runs a request at its upstream and settles it.
func (a *Agent) execute(r *run, u *upstream) {
	defer r.close()
	timeout := r.dispatch.Timeout
	if !r.dispatch.Repeatable {
		timeout += a.cfg.FinishGrace
	}
	deadline := time.AfterFunc(timeout, func() { r.cancel(errDeadline) })
	defer deadline.Stop()
	o := a.attempt(r, u)
	now := a.clock.Now()
	o.AnswerStarted = r.started()
	a.mu.Lock()
	a.commit(a.table.FinishAttempt(now, r.attempt(), o))
	r.finish(o)
	a.record(r, o, now)
}

func (a *Agent) attempt(r *run, u *upstream) cleat.Outcome {
	body, ok := r.wholeBody()
	if !ok || u == nil {
		return cleat.Outcome{Kind: cleat.OutcomeNotRun, Reason: cleat.ReasonCallerGone}
	}
	m := r.dispatch
	return u.engine.Run(r.ctx, cleat.Call{
		Attempt: m.Attempt, Kind: m.Stream.Kind, Repeatable: m.Repeatable,
		Method: m.Method, Target: m.Target, Header: m.Header, Body: body,
	}, &sink{agent: a, run: r})
}

func (a *Agent) record(r *run, o cleat.Outcome, now time.Time) {
	stream := r.dispatch.Stream
	series := a.metrics.Series(stream.Workspace, stream.Class)
	series.Whole(now.Sub(r.begun))
	series.Cost(o.Usage.Cost(stream.Kind))
	a.metrics.Scope().Tagged(map[string]string{"outcome": string(o.Kind)}).Counter("runs").Inc(1)
	if o.Kind == cleat.OutcomeDone {
		a.log.Debug("request done", "attempt", r.attempt(), "workspace", stream.Workspace, "upstream", r.upstream)
		return
	}
	a.log.Info("request not done", "attempt", r.attempt(), "workspace", stream.Workspace, "upstream", r.upstream, "outcome", o.Kind, "reason", o.Reason)
}

// sink feeds an upstream's answer to its run and charges the workspace meanwhile.
type sink struct {
	agent   *Agent
	run     *run
	first   bool
	charged time.Time
	length  int64 // Of the whole answer; negative when unknown.
	seen    int64
}

// Start passes the answer's status and header.
func (s *sink) Start(status int, header []cleat.HeaderField) error {
	s.length = answerLength(header)
	s.run.start(status, header)
	return nil
}

// Data passes a piece of the body; it blocks while the resume buffer is full.
func (s *sink) Data(b []byte) error {
	if !s.first {
		s.first = true
		s.firstToken()
	}
	s.seen += int64(len(b))
	return s.run.write(b, s.seen == s.length)
}

// answerLength returns the length that the upstream announced, or -1.
func answerLength(header []cleat.HeaderField) int64 {
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

// ReportUsage charges what the request consumed so far, at most once in an interval.
func (s *sink) ReportUsage(u cleat.Usage) {
	now := s.agent.clock.Now()
	if now.Sub(s.charged) < chargeInterval {
		return
	}
	s.charged = now
	s.agent.mu.Lock()
	defer s.agent.mu.Unlock()
	s.agent.table.RecordProgress(now, s.run.attempt(), u)
}

func (s *sink) firstToken() {
	now := s.agent.clock.Now()
	s.agent.mu.Lock()
	s.agent.table.RecordFirstToken(now, s.run.attempt())
	s.agent.mu.Unlock()
	stream := s.run.dispatch.Stream
	s.agent.metrics.Series(stream.Workspace, stream.Class).FirstToken(now.Sub(s.run.begun))
}
