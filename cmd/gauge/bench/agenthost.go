package bench

import (
	"math/rand"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/ledger"
	"marigoldcleat.example/cleat/policy/slots"
)

// agentHost is an agent with its engines.
type agentHost struct {
	p       *ours
	n       int
	peer    cleat.Peer
	station *station
	table   *slots.Table
	engines []*engine
	runs    map[cleat.Attempt]*agentRun
	cache   map[*engine]uint64
}

type agentRun struct {
	r        *run
	e        *engine
	attempt  cleat.Attempt
	entry    cleat.InstanceID
	entryInc cleat.Incarnation
	done     bool
	outcome  cleat.Outcome
}

func newAgentHost(p *ours, n int) *agentHost {
	h := &agentHost{p: p, n: n, engines: p.s.agentEngines(n), cache: make(map[*engine]uint64)}
	h.peer = p.peer(cleat.RoleAgent, n)
	h.station = p.net.add(h.peer, p.s.o.Deployment.domain(n), h)
	h.reset()
	first := time.Duration(n+1) * 700 * time.Microsecond
	p.s.w.every(first, tickEvery, func() { h.call(func() cleat.Effects { return h.table.Tick(h.now()) }) })
	p.s.w.every(first, announceEvery, h.announceAll)
	p.s.w.every(first+time.Duration(n)*17*time.Millisecond%ledger.ReportInterval, ledger.ReportInterval, h.report)
	p.s.w.every(registerEvery, registerEvery, func() { p.register(h.station) })
	return h
}

func (h *agentHost) now() time.Time { return h.p.s.w.now }

func (h *agentHost) reset() {
	cfg := slots.Config{}
	cfg.Defaults()
	h.table = slots.New(cfg, h.peer, rand.New(rand.NewSource(h.p.s.o.Seed*31+int64(h.n))))
	h.runs = make(map[cleat.Attempt]*agentRun)
	h.announceAll()
}

func (h *agentHost) restart() {
	lost := h.runs
	for _, e := range h.engines {
		e.cancelAll()
	}
	for _, a := range sortedAttempts(lost) {
		if r := lost[a]; !r.done && !r.r.a.ended {
			h.p.s.m.enqueue(r.r.a)
		}
	}
	h.peer.Incarnation = cleat.NewIncarnation(h.now())
	h.station.peer = h.peer
	h.p.net.resetAll(h.peer.Instance)
	h.reset()
}

func (h *agentHost) announceAll() {
	for _, e := range h.engines {
		h.announce(e)
		report := cleat.LoadReport{Upstream: e.id, Running: uint32(e.busy())}
		h.p.s.w.after(loadDelay, func() { h.table.ApplyLoadReport(h.now(), report) })
	}
}

func (h *agentHost) announce(e *engine) {
	h.call(func() cleat.Effects {
		return h.table.Announce(h.now(), cleat.Announcement{
			Upstream: e.id, Kind: e.kind, Models: []cleat.ModelID{e.model}, Slots: uint32(e.slots), Leaving: e.leaving,
		})
	})
}

// call times a call of the deciding code and carries out its effects.
func (h *agentHost) call(f func() cleat.Effects) {
	began := h.p.spent.begin()
	e := f()
	h.p.spent.end(cleat.RoleAgent, began)
	h.do(e)
}

func (h *agentHost) do(e cleat.Effects) {
	for _, s := range e.Sends {
		h.p.net.send(h.peer.Instance, s.To, s.Message)
	}
}

// report sends the agent's totals to the first control instance it reaches.
func (h *agentHost) report() {
	for i := range h.p.controls {
		c := h.p.controls[(h.n+i)%len(h.p.controls)]
		if !h.p.net.linked(h.peer.Instance, c.peer.Instance) {
			continue
		}
		if m := h.table.LedgerReport(h.now()); m != nil {
			h.p.net.send(h.peer.Instance, c.peer.Instance, m)
		}
		return
	}
}

func (h *agentHost) linkUp(p cleat.Peer) {
	if p.Role != cleat.RoleEntry {
		return
	}
	for _, a := range sortedAttempts(h.runs) {
		if r := h.runs[a]; r.entry == p.Instance && r.entryInc != p.Incarnation {
			h.abandon(r)
		}
	}
	h.call(func() cleat.Effects { return h.table.ConnectEntry(h.now(), p) })
}

func (h *agentHost) linkDown(id cleat.InstanceID) {
	if h.p.net.stations[id].peer.Role != cleat.RoleEntry {
		return
	}
	h.call(func() cleat.Effects { return h.table.DisconnectEntry(h.now(), id) })
	inc := h.peer.Incarnation
	h.p.s.w.after(cancelGrace, func() {
		if h.peer.Incarnation != inc || h.p.net.linked(h.peer.Instance, id) {
			return
		}
		for _, a := range sortedAttempts(h.runs) {
			if r := h.runs[a]; r.entry == id {
				h.abandon(r)
			}
		}
	})
}

// abandon cancels a repeatable run that nobody waits for.
func (h *agentHost) abandon(r *agentRun) {
	if r.done {
		delete(h.runs, r.attempt)
		return
	}
	if r.r.a.work.Repeatable && r.e.cancel(r.r) {
		h.finish(r, cleat.Outcome{Kind: cleat.OutcomeCanceled, Usage: r.r.usage()})
	}
}

func (h *agentHost) message(from cleat.InstanceID, m cleat.Message) {
	switch m := m.(type) {
	case *cleat.Offers:
		h.call(func() cleat.Effects { return h.table.ApplyOffers(h.now(), from, m) })
	case *cleat.Decline:
		h.call(func() cleat.Effects { return h.table.ApplyDecline(h.now(), from, m) })
	case *cleat.Dispatch:
		h.dispatch(from, m)
	case *cleat.Cancel:
		h.cancel(from, m)
	case *cleat.Resume:
		h.resume(from, m)
	case *cleat.LedgerSums:
		h.call(func() cleat.Effects { return h.table.ApplyLedgerSums(h.now(), m) })
	}
}

func (h *agentHost) dispatch(from cleat.InstanceID, m *cleat.Dispatch) {
	u, refused := h.table.AcceptDispatch(h.now(), from, m)
	if refused != nil {
		h.p.net.send(h.peer.Instance, from, refused)
		return
	}
	e := h.engine(u)
	a := h.p.byID[m.Attempt.Request]
	r := &agentRun{r: &run{a: a, attempt: m.Attempt}, e: e, attempt: m.Attempt, entry: from, entryInc: h.p.net.stations[from].peer.Incarnation}
	r.r.ctx = r
	h.runs[m.Attempt] = r
	h.p.s.m.started(a)
	e.start(r.r)
}

func (h *agentHost) engine(id cleat.UpstreamID) *engine {
	for _, e := range h.engines {
		if e.id == id {
			return e
		}
	}
	return h.engines[0]
}

func (h *agentHost) cancel(from cleat.InstanceID, m *cleat.Cancel) {
	r := h.runs[m.Attempt]
	if r == nil {
		h.table.InvalidateAttempt(h.now(), m.Attempt)
		return
	}
	if !r.done && r.e.cancel(r.r) {
		h.finish(r, cleat.Outcome{Kind: cleat.OutcomeCanceled, Usage: r.r.usage()})
		h.p.net.send(h.peer.Instance, from, &cleat.Part{Attempt: m.Attempt, End: true, Outcome: r.outcome})
	}
}

func (h *agentHost) resume(from cleat.InstanceID, m *cleat.Resume) {
	r := h.runs[m.Attempt]
	if r == nil {
		ran := h.table.InvalidateAttempt(h.now(), m.Attempt)
		h.p.net.send(h.peer.Instance, from, &cleat.Refused{Attempt: m.Attempt, Reason: cleat.ReasonStaleGrant, Ran: ran})
		return
	}
	if r.r.begun {
		h.p.net.send(h.peer.Instance, from, &cleat.Part{Attempt: m.Attempt})
	}
	if r.done {
		h.p.net.send(h.peer.Instance, from, &cleat.Part{Attempt: m.Attempt, End: true, Outcome: r.outcome})
	}
}

func (h *agentHost) firstToken(r *run) {
	h.table.RecordFirstToken(h.now(), r.attempt)
	h.p.net.send(h.peer.Instance, r.ctx.(*agentRun).entry, &cleat.Part{Attempt: r.attempt})
}

func (h *agentHost) progress(r *run) {
	h.table.RecordProgress(h.now(), r.attempt, r.usage())
}

func (h *agentHost) ended(r *run) {
	run := r.ctx.(*agentRun)
	h.finish(run, cleat.Outcome{Kind: cleat.OutcomeDone, Usage: r.usage(), AnswerStarted: true})
	h.p.net.send(h.peer.Instance, run.entry, &cleat.Part{Attempt: r.attempt, End: true, Outcome: run.outcome})
}

func (h *agentHost) finish(r *agentRun, o cleat.Outcome) {
	r.done, r.outcome = true, o
	h.call(func() cleat.Effects { return h.table.FinishAttempt(h.now(), r.attempt, o) })
}

// cached passes cache events on late, some of them lost.
func (h *agentHost) cached(e *engine, added, evicted []uint64) {
	h.cache[e]++
	ev := cleat.CacheEvent{Upstream: e.id, Seq: h.cache[e], Added: added, Evicted: evicted}
	if h.p.s.w.rnd.Float64() < cacheGapPart {
		return
	}
	h.p.s.w.after(cacheDelay, func() { h.table.ApplyCacheEvent(h.now(), ev) })
}
