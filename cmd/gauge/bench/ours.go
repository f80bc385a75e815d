package bench

import (
	"math/rand"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/ledger"
	"marigoldcleat.example/cleat/queue"
	"marigoldcleat.example/cleat/route"
	"marigoldcleat.example/cleat/slots"
)

// Timing of the roles around the deciding code.
const (
	tickEvery     = 10 * time.Millisecond
	announceEvery = time.Second
	registerEvery = time.Second
	cancelGrace   = 5 * time.Second // Before an agent cancels what a lost entry left.
	cacheDelay    = 200 * time.Millisecond
	cacheGapPart  = 0.02
	loadDelay     = time.Second
)

// ours drives the real deciding code over the fake network.
type ours struct {
	s        *sim
	net      *network
	entries  []*entryHost
	agents   []*agentHost
	controls []*controlHost
	byID     map[cleat.RequestID]*arrival
	started  time.Time
	spent    *spent
}

func newOurs(s *sim, sp *spent) *ours {
	p := &ours{s: s, spent: sp, byID: make(map[cleat.RequestID]*arrival, len(s.arrivals)), started: s.w.now}
	p.net = newNetwork(s, sp)
	for _, a := range s.arrivals {
		p.byID[a.work.ID] = a
	}
	d := &s.o.Deployment
	for n := range d.controls {
		p.controls = append(p.controls, newControlHost(p, n))
	}
	for n := range d.agents + d.plains {
		p.agents = append(p.agents, newAgentHost(p, n))
	}
	for n := range d.entries {
		p.entries = append(p.entries, newEntryHost(p, n))
	}
	p.connect()
	return p
}

func (p *ours) peer(role cleat.Role, n int) cleat.Peer {
	return cleat.Peer{
		Instance:    cleat.InstanceID(string(role) + "-" + itoa(n)),
		Incarnation: cleat.NewIncarnation(p.s.w.now),
		Role:        role,
		Domain:      cleat.DomainID("d" + itoa(p.s.o.Deployment.domain(n))),
	}
}

// connect links every entry to its subset of agents and every instance to the
// control instances.
func (p *ours) connect() {
	members := p.members()
	for _, e := range p.entries {
		for _, id := range route.Subset(e.peer.Instance, members) {
			p.net.connect(e.peer.Instance, id)
		}
		p.net.connect(e.peer.Instance, p.controls[e.n%len(p.controls)].peer.Instance)
	}
	for _, a := range p.agents {
		for i := range min(2, len(p.controls)) {
			p.net.connect(a.peer.Instance, p.controls[(a.n+i)%len(p.controls)].peer.Instance)
		}
	}
	for i, c := range p.controls {
		for _, other := range p.controls[i+1:] {
			p.net.connect(c.peer.Instance, other.peer.Instance)
		}
	}
}

// members lists the agents as control tells entries of them.
func (p *ours) members() []cleat.Member {
	var list []cleat.Member
	for _, a := range p.agents {
		m := cleat.Member{Peer: a.peer}
		for _, e := range a.engines {
			m.Models = append(m.Models, e.model)
		}
		list = append(list, m)
	}
	return list
}

func (p *ours) traffic() []Traffic { return p.net.traffic(p.s.w.now.Sub(p.started)) }

func (p *ours) submit(a *arrival) { p.entries[a.entry].submit(a) }

func (p *ours) host(e *engine) *agentHost { return p.agents[p.s.agentOf(e)] }

func (p *ours) firstToken(e *engine, r *run) { p.host(e).firstToken(r) }

func (p *ours) progress(e *engine, r *run) { p.host(e).progress(r) }

func (p *ours) ended(e *engine, r *run) { p.host(e).ended(r) }

func (p *ours) cached(e *engine, added, evicted []uint64) { p.host(e).cached(e, added, evicted) }

func (p *ours) restartEntry(n int) { p.entries[n].restart() }

func (p *ours) restartAgent(n int) { p.agents[n].restart() }

func (p *ours) restartControl() {
	for _, c := range p.controls {
		c.restart()
	}
}

func (p *ours) setLeaving(e *engine, _ bool) { p.host(e).announce(e) }

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
		h.call(func() cleat.Effects { return h.table.NotSent(h.now(), s.Attempt) })
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
		h.table.Begun(h.now(), m.Attempt)
		return
	}
	delete(h.running, m.Attempt)
	if m.Outcome.Kind == cleat.OutcomeDone {
		h.p.s.m.finished(r.a)
	}
	h.call(func() cleat.Effects { return h.table.Finished(h.now(), m.Attempt, m.Outcome) })
	if m.Outcome.Kind != cleat.OutcomeDone && !r.a.ended {
		h.p.s.m.enqueue(r.a)
	}
}

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
		h.p.s.w.after(loadDelay, func() { h.table.LoadReport(h.now(), report) })
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
		if m := h.table.Report(h.now()); m != nil {
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
	h.call(func() cleat.Effects { return h.table.EntryUp(h.now(), p) })
}

func (h *agentHost) linkDown(id cleat.InstanceID) {
	if h.p.net.stations[id].peer.Role != cleat.RoleEntry {
		return
	}
	h.call(func() cleat.Effects { return h.table.EntryDown(h.now(), id) })
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
		h.call(func() cleat.Effects { return h.table.Offers(h.now(), from, m) })
	case *cleat.Decline:
		h.call(func() cleat.Effects { return h.table.Decline(h.now(), from, m) })
	case *cleat.Dispatch:
		h.dispatch(from, m)
	case *cleat.Cancel:
		h.cancel(from, m)
	case *cleat.Resume:
		h.resume(from, m)
	case *cleat.LedgerSums:
		h.call(func() cleat.Effects { return h.table.Sums(h.now(), m) })
	}
}

func (h *agentHost) dispatch(from cleat.InstanceID, m *cleat.Dispatch) {
	u, refused := h.table.Dispatch(h.now(), from, m)
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
		h.table.Void(h.now(), m.Attempt)
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
		ran := h.table.Void(h.now(), m.Attempt)
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
	h.table.FirstToken(h.now(), r.attempt)
	h.p.net.send(h.peer.Instance, r.ctx.(*agentRun).entry, &cleat.Part{Attempt: r.attempt})
}

func (h *agentHost) progress(r *run) {
	h.table.Progress(h.now(), r.attempt, r.usage())
}

func (h *agentHost) ended(r *run) {
	run := r.ctx.(*agentRun)
	h.finish(run, cleat.Outcome{Kind: cleat.OutcomeDone, Usage: r.usage(), Begun: true})
	h.p.net.send(h.peer.Instance, run.entry, &cleat.Part{Attempt: r.attempt, End: true, Outcome: run.outcome})
}

func (h *agentHost) finish(r *agentRun, o cleat.Outcome) {
	r.done, r.outcome = true, o
	h.call(func() cleat.Effects { return h.table.Finish(h.now(), r.attempt, o) })
}

// cached passes cache events on late, some of them lost.
func (h *agentHost) cached(e *engine, added, evicted []uint64) {
	h.cache[e]++
	ev := cleat.CacheEvent{Upstream: e.id, Seq: h.cache[e], Added: added, Evicted: evicted}
	if h.p.s.w.rnd.Float64() < cacheGapPart {
		return
	}
	h.p.s.w.after(cacheDelay, func() { h.table.CacheEvent(h.now(), ev) })
}

// controlHost is a control instance's part in the ledger.
type controlHost struct {
	p       *ours
	n       int
	peer    cleat.Peer
	station *station
	relay   *ledger.Relay
	serves  map[cleat.InstanceID]time.Time // Agents that report here.
}

func newControlHost(p *ours, n int) *controlHost {
	h := &controlHost{p: p, n: n}
	h.peer = p.peer(cleat.RoleControl, n)
	h.station = p.net.add(h.peer, p.s.o.Deployment.domain(n), h)
	h.reset()
	p.s.w.every(ledger.ReportInterval/2, ledger.ReportInterval, h.sums)
	return h
}

func (h *controlHost) reset() {
	h.relay = ledger.NewRelay(h.peer)
	h.serves = make(map[cleat.InstanceID]time.Time)
}

func (h *controlHost) restart() {
	h.peer.Incarnation = cleat.NewIncarnation(h.p.s.w.now)
	h.station.peer = h.peer
	h.p.net.resetAll(h.peer.Instance)
	h.reset()
}

func (h *controlHost) sums() {
	h.relay.Forget(h.p.s.w.now)
	for _, id := range sortedInstances(h.serves) {
		began := h.p.spent.begin()
		m := h.relay.Sums(h.p.s.w.now, id)
		h.p.spent.end(cleat.RoleControl, began)
		if m != nil {
			h.p.net.send(h.peer.Instance, id, m)
		}
	}
}

func (h *controlHost) linkUp(p cleat.Peer) {
	if p.Role != cleat.RoleControl {
		return
	}
	for _, m := range h.relay.Whole() {
		h.p.net.send(h.peer.Instance, p.Instance, m)
	}
}

func (h *controlHost) linkDown(id cleat.InstanceID) {
	delete(h.serves, id)
	h.relay.Unlink(id)
}

func (h *controlHost) message(from cleat.InstanceID, m cleat.Message) {
	report, ok := m.(*cleat.LedgerReport)
	if !ok {
		return
	}
	direct := h.p.net.stations[from].peer.Role == cleat.RoleAgent
	if direct {
		h.serves[from] = h.p.s.w.now
	}
	began := h.p.spent.begin()
	news := h.relay.Report(h.p.s.w.now, report)
	h.p.spent.end(cleat.RoleControl, began)
	if !news || !direct {
		return
	}
	for _, c := range h.p.controls {
		if c != h {
			h.p.net.send(h.peer.Instance, c.peer.Instance, report)
		}
	}
}

// register sends an instance's heartbeat.
func (p *ours) register(st *station) {
	for i := range p.controls {
		c := p.controls[i].peer.Instance
		if p.net.linked(st.peer.Instance, c) {
			p.net.send(st.peer.Instance, c, &cleat.Register{Peer: st.peer, Revision: 1})
			return
		}
	}
}
