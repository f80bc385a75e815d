package bench

import (
	"math/rand"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/queue"
)

// entryHost is an entry without its callers' connections.
type entryHost struct {
	p       *ours
	n       int
	peer    cleat.Peer
	station *station
	table   *queue.Table
	running map[cleat.Attempt]*entryRun
}

type entryRun struct {
	a           *arrival
	agent       cleat.InstanceID
	incarnation cleat.Incarnation
}

func newEntryHost(p *ours, n int) *entryHost {
	h := &entryHost{p: p, n: n}
	h.peer = p.peer(cleat.RoleEntry, n)
	h.station = p.net.add(h.peer, p.s.o.Deployment.domain(n), h)
	h.reset()
	p.s.w.every(time.Duration(n+1)*time.Millisecond, tickEvery, func() { h.call(func() cleat.Effects { return h.table.Tick(h.now()) }) })
	p.s.w.every(registerEvery, registerEvery, func() { p.register(h.station) })
	return h
}

func (h *entryHost) now() time.Time { return h.p.s.w.now }

func (h *entryHost) reset() {
	cfg := queue.Config{}
	cfg.Defaults()
	h.table = queue.New(cfg, h.peer, rand.New(rand.NewSource(h.p.s.o.Seed+int64(h.n))))
	h.running = make(map[cleat.Attempt]*entryRun)
	h.call(func() cleat.Effects { return h.table.Configure(h.now(), h.p.s.o.Deployment.settings()) })
}

// restart loses the entry's state; its callers' connections break.
func (h *entryHost) restart() {
	for _, a := range h.p.s.arrivals {
		if a.entry == h.n && !a.work.Received.After(h.now()) {
			h.p.s.m.callerLost(a)
		}
	}
	h.peer.Incarnation = cleat.NewIncarnation(h.now())
	h.station.peer = h.peer
	h.p.net.resetAll(h.peer.Instance)
	h.reset()
}

func (h *entryHost) submit(a *arrival) {
	h.p.s.m.enqueue(a)
	h.call(func() cleat.Effects { return h.table.Submit(h.now(), a.work) })
}

// call times a call of the deciding code and carries out its effects.
func (h *entryHost) call(f func() cleat.Effects) {
	began := h.p.spent.begin()
	e := f()
	h.p.spent.end(cleat.RoleEntry, began)
	h.do(e)
}

func (h *entryHost) do(e cleat.Effects) {
	for _, s := range e.Sends {
		h.p.net.send(h.peer.Instance, s.To, s.Message)
	}
	for _, s := range e.Starts {
		h.dispatch(s)
	}
	for _, s := range e.Stops {
		h.p.net.send(h.peer.Instance, s.Agent, &cleat.Cancel{Attempt: s.Attempt})
	}
	for _, r := range e.Refusals {
		h.p.s.m.refuse(h.p.byID[r.Request], r)
	}
}

func (h *entryHost) dispatch(s cleat.Start) {
	d := &cleat.Dispatch{
		Incarnation: s.Incarnation, Grant: s.Grant.ID, Attempt: s.Attempt, Stream: s.Grant.Stream, Estimate: s.Work.Estimate,
		Share: s.Share, Prefix: s.Work.Prefix, Repeatable: s.Work.Repeatable, Timeout: s.Work.Deadline.Sub(h.now()),
	}
	h.running[s.Attempt] = &entryRun{a: h.p.byID[s.Work.ID], agent: s.Agent, incarnation: s.Incarnation}
	if !h.p.net.send(h.peer.Instance, s.Agent, d) {
		delete(h.running, s.Attempt)
		h.call(func() cleat.Effects { return h.table.DispatchNotSent(h.now(), s.Attempt) })
	}
}

func (h *entryHost) linkUp(p cleat.Peer) {
	if p.Role != cleat.RoleAgent {
		return
	}
	h.call(func() cleat.Effects { return h.table.AgentUp(h.now(), p) })
	for _, a := range sortedAttempts(h.running) {
		if r := h.running[a]; r.agent == p.Instance && r.incarnation == p.Incarnation {
			h.p.net.send(h.peer.Instance, p.Instance, &cleat.Resume{Attempt: a})
		}
	}
}

func (h *entryHost) linkDown(id cleat.InstanceID) {
	if h.p.net.stations[id].peer.Role == cleat.RoleAgent {
		h.call(func() cleat.Effects { return h.table.AgentDown(h.now(), id) })
	}
}

func (h *entryHost) message(from cleat.InstanceID, m cleat.Message) {
	switch m := m.(type) {
	case *cleat.Grants:
		h.call(func() cleat.Effects { return h.table.Grants(h.now(), from, m) })
	case *cleat.AgentState:
		h.call(func() cleat.Effects { return h.table.AgentState(h.now(), from, m) })
	case *cleat.Ask:
		h.call(func() cleat.Effects { return h.table.Ask(h.now(), from, m) })
	case *cleat.Refused:
		delete(h.running, m.Attempt)
		h.call(func() cleat.Effects { return h.table.Refused(h.now(), from, m) })
	case *cleat.Part:
		h.part(m)
	}
}

func (h *entryHost) part(m *cleat.Part) {
	r := h.running[m.Attempt]
	if r == nil {
		return
	}
	if !m.End {
		h.p.s.m.firstToken(r.a)
		h.table.AnswerStarted(h.now(), m.Attempt)
		return
	}
	delete(h.running, m.Attempt)
	if m.Outcome.Kind == cleat.OutcomeDone {
		h.p.s.m.finished(r.a)
	}
	h.call(func() cleat.Effects { return h.table.AttemptFinished(h.now(), m.Attempt, m.Outcome) })
	if m.Outcome.Kind != cleat.OutcomeDone && !r.a.ended {
		h.p.s.m.enqueue(r.a)
	}
}
