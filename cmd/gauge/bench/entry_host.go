package bench

import (
	"math/rand"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/queue"
)

// entryHost simulates an entry: the real queue table without callers' connections.
type entryHost struct {
	policy   *fleetPolicy
	n        int
	peer     cleat.Peer
	endpoint *endpoint
	table    *queue.Table
	running  map[cleat.Attempt]*entryRun
}

type entryRun struct {
	arrival     *arrival
	agent       cleat.InstanceID
	incarnation cleat.Incarnation
}

func newEntryHost(p *fleetPolicy, n int) *entryHost {
	h := &entryHost{policy: p, n: n}
	h.peer = p.peer(cleat.RoleEntry, n)
	h.endpoint = p.net.addEndpoint(h.peer, p.sim.opts.Deployment.domain(n), h)
	h.reset()
	p.sim.sched.every(time.Duration(n+1)*time.Millisecond, tickInterval, func() { h.callPolicy(func() cleat.Effects { return h.table.Tick(h.now()) }) })
	p.sim.sched.every(registerInterval, registerInterval, func() { p.sendRegister(h.endpoint) })
	return h
}

func (h *entryHost) now() time.Time { return h.policy.sim.sched.now }

func (h *entryHost) reset() {
	cfg := queue.Config{}
	cfg.Defaults()
	h.table = queue.New(cfg, h.peer, rand.New(rand.NewSource(h.policy.sim.opts.Seed+int64(h.n))))
	h.running = make(map[cleat.Attempt]*entryRun)
	h.callPolicy(func() cleat.Effects { return h.table.Configure(h.now(), h.policy.sim.opts.Deployment.settings()) })
}

// restart discards the entry's state; all its callers lose their connections.
func (h *entryHost) restart() {
	for _, a := range h.policy.sim.arrivals {
		if a.entry == h.n && !a.work.Received.After(h.now()) {
			h.policy.sim.meter.recordCallerLost(a)
		}
	}
	h.peer.Incarnation = cleat.NewIncarnation(h.now())
	h.endpoint.peer = h.peer
	h.policy.net.resetAll(h.peer.Instance)
	h.reset()
}

func (h *entryHost) submit(a *arrival) {
	h.policy.sim.meter.enqueue(a)
	h.callPolicy(func() cleat.Effects { return h.table.Submit(h.now(), a.work) })
}

// callPolicy calls f, adds the time that it takes to the role's processor time, and
// applies the effects that it returns.
func (h *entryHost) callPolicy(f func() cleat.Effects) {
	start := h.policy.cpu.start()
	e := f()
	h.policy.cpu.stop(cleat.RoleEntry, start)
	h.applyEffects(e)
}

func (h *entryHost) applyEffects(e cleat.Effects) {
	for _, s := range e.Sends {
		h.policy.net.send(h.peer.Instance, s.To, s.Message)
	}
	for _, s := range e.Starts {
		h.sendDispatch(s)
	}
	for _, s := range e.Stops {
		h.policy.net.send(h.peer.Instance, s.Agent, &cleat.Cancel{Attempt: s.Attempt})
	}
	for _, r := range e.Refusals {
		h.policy.sim.meter.recordRefusal(h.policy.byID[r.Request], r)
	}
}

func (h *entryHost) sendDispatch(s cleat.Start) {
	d := &cleat.Dispatch{
		Incarnation: s.Incarnation, Grant: s.Grant.ID, Attempt: s.Attempt, Stream: s.Grant.Stream, Estimate: s.Work.Estimate,
		Share: s.Share, Prefix: s.Work.Prefix, Repeatable: s.Work.Repeatable, Timeout: s.Work.Deadline.Sub(h.now()),
	}
	h.running[s.Attempt] = &entryRun{arrival: h.policy.byID[s.Work.ID], agent: s.Agent, incarnation: s.Incarnation}
	if !h.policy.net.send(h.peer.Instance, s.Agent, d) {
		delete(h.running, s.Attempt)
		h.callPolicy(func() cleat.Effects { return h.table.DispatchNotSent(h.now(), s.Attempt) })
	}
}

func (h *entryHost) linkUp(p cleat.Peer) {
	if p.Role != cleat.RoleAgent {
		return
	}
	h.callPolicy(func() cleat.Effects { return h.table.AgentUp(h.now(), p) })
	for _, a := range sortedAttempts(h.running) {
		if r := h.running[a]; r.agent == p.Instance && r.incarnation == p.Incarnation {
			h.policy.net.send(h.peer.Instance, p.Instance, &cleat.Resume{Attempt: a})
		}
	}
}

func (h *entryHost) linkDown(id cleat.InstanceID) {
	if h.policy.net.endpoints[id].peer.Role == cleat.RoleAgent {
		h.callPolicy(func() cleat.Effects { return h.table.AgentDown(h.now(), id) })
	}
}

func (h *entryHost) handleMessage(from cleat.InstanceID, m cleat.Message) {
	switch m := m.(type) {
	case *cleat.Grants:
		h.callPolicy(func() cleat.Effects { return h.table.Grants(h.now(), from, m) })
	case *cleat.AgentState:
		h.callPolicy(func() cleat.Effects { return h.table.AgentState(h.now(), from, m) })
	case *cleat.Ask:
		h.callPolicy(func() cleat.Effects { return h.table.Ask(h.now(), from, m) })
	case *cleat.Refused:
		delete(h.running, m.Attempt)
		h.callPolicy(func() cleat.Effects { return h.table.Refused(h.now(), from, m) })
	case *cleat.Part:
		h.handlePart(m)
	}
}

func (h *entryHost) handlePart(m *cleat.Part) {
	r := h.running[m.Attempt]
	if r == nil {
		return
	}
	if !m.End {
		h.policy.sim.meter.recordFirstToken(r.arrival)
		h.table.AnswerStarted(h.now(), m.Attempt)
		return
	}
	delete(h.running, m.Attempt)
	if m.Outcome.Kind == cleat.OutcomeDone {
		h.policy.sim.meter.recordFinish(r.arrival)
	}
	h.callPolicy(func() cleat.Effects { return h.table.AttemptFinished(h.now(), m.Attempt, m.Outcome) })
	if m.Outcome.Kind != cleat.OutcomeDone && !r.arrival.ended {
		h.policy.sim.meter.enqueue(r.arrival)
	}
}
