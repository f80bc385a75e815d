package bench

import (
	"math/rand"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/ledger"
	"marigoldcleat.example/cleat/policy/slots"
)

// agentHost simulates an agent: the real slot table and simulated engines.
type agentHost struct {
	policy    *fleetPolicy
	n         int
	peer      cleat.Peer
	endpoint  *endpoint
	table     *slots.Table
	engines   []*engine
	runs      map[cleat.Attempt]*agentRun
	cacheSeqs map[*engine]uint64
}

type agentRun struct {
	run              *run
	engine           *engine
	attempt          cleat.Attempt
	entry            cleat.InstanceID
	entryIncarnation cleat.Incarnation
	done             bool
	outcome          cleat.Outcome
}

func newAgentHost(p *fleetPolicy, n int) *agentHost {
	h := &agentHost{policy: p, n: n, engines: p.sim.agentEngines(n), cacheSeqs: make(map[*engine]uint64)}
	h.peer = p.peer(cleat.RoleAgent, n)
	h.endpoint = p.net.addEndpoint(h.peer, p.sim.opts.Deployment.domain(n), h)
	h.reset()
	// Offsets that differ by agent keep the agents from acting at the same time.
	first := time.Duration(n+1) * 700 * time.Microsecond
	p.sim.sched.every(first, tickInterval, func() { h.callPolicy(func() cleat.Effects { return h.table.Tick(h.now()) }) })
	p.sim.sched.every(first, announceInterval, h.announceAll)
	p.sim.sched.every(first+time.Duration(n)*17*time.Millisecond%ledger.ReportInterval, ledger.ReportInterval, h.sendReport)
	p.sim.sched.every(registerInterval, registerInterval, func() { p.sendRegister(h.endpoint) })
	return h
}

func (h *agentHost) now() time.Time { return h.policy.sim.sched.now }

func (h *agentHost) reset() {
	cfg := slots.Config{}
	cfg.Defaults()
	h.table = slots.New(cfg, h.peer, rand.New(rand.NewSource(h.policy.sim.opts.Seed*31+int64(h.n))))
	h.runs = make(map[cleat.Attempt]*agentRun)
	h.announceAll()
}

// restart discards the agent's state and the runs of its engines; the requests of
// unfinished runs wait again.
func (h *agentHost) restart() {
	lostRuns := h.runs
	for _, e := range h.engines {
		e.cancelAll()
	}
	for _, a := range sortedAttempts(lostRuns) {
		if r := lostRuns[a]; !r.done && !r.run.arrival.ended {
			h.policy.sim.meter.enqueue(r.run.arrival)
		}
	}
	h.peer.Incarnation = cleat.NewIncarnation(h.now())
	h.endpoint.peer = h.peer
	h.policy.net.resetAll(h.peer.Instance)
	h.reset()
}

func (h *agentHost) announceAll() {
	for _, e := range h.engines {
		h.announce(e)
		report := cleat.LoadReport{Upstream: e.id, Running: uint32(e.running())}
		h.policy.sim.sched.after(loadReportDelay, func() { h.table.ApplyLoadReport(h.now(), report) })
	}
}

func (h *agentHost) announce(e *engine) {
	h.callPolicy(func() cleat.Effects {
		return h.table.Announce(h.now(), cleat.Announcement{
			Upstream: e.id, Kind: e.kind, Models: []cleat.ModelID{e.model}, Slots: uint32(e.slots), Leaving: e.leaving,
		})
	})
}

// callPolicy calls f, adds the time that it takes to the role's processor time, and
// applies the effects that it returns.
func (h *agentHost) callPolicy(f func() cleat.Effects) {
	start := h.policy.cpu.start()
	e := f()
	h.policy.cpu.stop(cleat.RoleAgent, start)
	h.applyEffects(e)
}

func (h *agentHost) applyEffects(e cleat.Effects) {
	for _, s := range e.Sends {
		h.policy.net.send(h.peer.Instance, s.To, s.Message)
	}
}

// sendReport sends the agent's ledger report to the first control instance to
// which its link is up.
func (h *agentHost) sendReport() {
	for i := range h.policy.controls {
		c := h.policy.controls[(h.n+i)%len(h.policy.controls)]
		if !h.policy.net.isLinked(h.peer.Instance, c.peer.Instance) {
			continue
		}
		if m := h.table.LedgerReport(h.now()); m != nil {
			h.policy.net.send(h.peer.Instance, c.peer.Instance, m)
		}
		return
	}
}

func (h *agentHost) linkUp(p cleat.Peer) {
	if p.Role != cleat.RoleEntry {
		return
	}
	for _, a := range sortedAttempts(h.runs) {
		if r := h.runs[a]; r.entry == p.Instance && r.entryIncarnation != p.Incarnation {
			h.cancelAbandoned(r)
		}
	}
	h.callPolicy(func() cleat.Effects { return h.table.ConnectEntry(h.now(), p) })
}

func (h *agentHost) linkDown(id cleat.InstanceID) {
	if h.policy.net.endpoints[id].peer.Role != cleat.RoleEntry {
		return
	}
	h.callPolicy(func() cleat.Effects { return h.table.DisconnectEntry(h.now(), id) })
	inc := h.peer.Incarnation
	h.policy.sim.sched.after(cancelGrace, func() {
		if h.peer.Incarnation != inc || h.policy.net.isLinked(h.peer.Instance, id) {
			return
		}
		for _, a := range sortedAttempts(h.runs) {
			if r := h.runs[a]; r.entry == id {
				h.cancelAbandoned(r)
			}
		}
	})
}

// cancelAbandoned is called for a run whose entry is gone or has restarted: it forgets
// a finished run and cancels an unfinished one that is repeatable.
func (h *agentHost) cancelAbandoned(r *agentRun) {
	if r.done {
		delete(h.runs, r.attempt)
		return
	}
	if r.run.arrival.work.Repeatable && r.engine.cancel(r.run) {
		h.finishRun(r, cleat.Outcome{Kind: cleat.OutcomeCanceled, Usage: r.run.usage()})
	}
}

func (h *agentHost) handleMessage(from cleat.InstanceID, m cleat.Message) {
	switch m := m.(type) {
	case *cleat.Offers:
		h.callPolicy(func() cleat.Effects { return h.table.ApplyOffers(h.now(), from, m) })
	case *cleat.Decline:
		h.callPolicy(func() cleat.Effects { return h.table.ApplyDecline(h.now(), from, m) })
	case *cleat.Dispatch:
		h.handleDispatch(from, m)
	case *cleat.Cancel:
		h.handleCancel(from, m)
	case *cleat.Resume:
		h.handleResume(from, m)
	case *cleat.LedgerSums:
		h.callPolicy(func() cleat.Effects { return h.table.ApplyLedgerSums(h.now(), m) })
	}
}

func (h *agentHost) handleDispatch(from cleat.InstanceID, m *cleat.Dispatch) {
	u, refused := h.table.AcceptDispatch(h.now(), from, m)
	if refused != nil {
		h.policy.net.send(h.peer.Instance, from, refused)
		return
	}
	e := h.engine(u)
	a := h.policy.byID[m.Attempt.Request]
	r := &agentRun{run: &run{arrival: a, attempt: m.Attempt}, engine: e, attempt: m.Attempt, entry: from, entryIncarnation: h.policy.net.endpoints[from].peer.Incarnation}
	r.run.policyState = r
	h.runs[m.Attempt] = r
	h.policy.sim.meter.recordStart(a)
	e.start(r.run)
}

func (h *agentHost) engine(id cleat.UpstreamID) *engine {
	for _, e := range h.engines {
		if e.id == id {
			return e
		}
	}
	return h.engines[0]
}

func (h *agentHost) handleCancel(from cleat.InstanceID, m *cleat.Cancel) {
	r := h.runs[m.Attempt]
	if r == nil {
		h.table.InvalidateAttempt(h.now(), m.Attempt)
		return
	}
	if !r.done && r.engine.cancel(r.run) {
		h.finishRun(r, cleat.Outcome{Kind: cleat.OutcomeCanceled, Usage: r.run.usage()})
		h.policy.net.send(h.peer.Instance, from, &cleat.Part{Attempt: m.Attempt, End: true, Outcome: r.outcome})
	}
}

func (h *agentHost) handleResume(from cleat.InstanceID, m *cleat.Resume) {
	r := h.runs[m.Attempt]
	if r == nil {
		ran := h.table.InvalidateAttempt(h.now(), m.Attempt)
		h.policy.net.send(h.peer.Instance, from, &cleat.Refused{Attempt: m.Attempt, Reason: cleat.ReasonStaleGrant, Ran: ran})
		return
	}
	if r.run.prefilled {
		h.policy.net.send(h.peer.Instance, from, &cleat.Part{Attempt: m.Attempt})
	}
	if r.done {
		h.policy.net.send(h.peer.Instance, from, &cleat.Part{Attempt: m.Attempt, End: true, Outcome: r.outcome})
	}
}

func (h *agentHost) onFirstToken(r *run) {
	h.table.RecordFirstToken(h.now(), r.attempt)
	h.policy.net.send(h.peer.Instance, r.policyState.(*agentRun).entry, &cleat.Part{Attempt: r.attempt})
}

func (h *agentHost) onProgress(r *run) {
	h.table.RecordProgress(h.now(), r.attempt, r.usage())
}

func (h *agentHost) onEnd(r *run) {
	ar := r.policyState.(*agentRun)
	h.finishRun(ar, cleat.Outcome{Kind: cleat.OutcomeDone, Usage: r.usage(), AnswerStarted: true})
	h.policy.net.send(h.peer.Instance, ar.entry, &cleat.Part{Attempt: r.attempt, End: true, Outcome: ar.outcome})
}

func (h *agentHost) finishRun(r *agentRun, o cleat.Outcome) {
	r.done, r.outcome = true, o
	h.callPolicy(func() cleat.Effects { return h.table.FinishAttempt(h.now(), r.attempt, o) })
}

// onCacheChange delivers a cache event to the slot table after cacheEventDelay; the
// fraction cacheEventLossFraction of the events is lost.
func (h *agentHost) onCacheChange(e *engine, added, evicted []uint64) {
	h.cacheSeqs[e]++
	ev := cleat.CacheEvent{Upstream: e.id, Seq: h.cacheSeqs[e], Added: added, Evicted: evicted}
	if h.policy.sim.sched.rnd.Float64() < cacheEventLossFraction {
		return
	}
	h.policy.sim.sched.after(cacheEventDelay, func() { h.table.ApplyCacheEvent(h.now(), ev) })
}
