package queue_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/ledger"
	"marigoldcleat.example/cleat/policy/queue"
	"marigoldcleat.example/cleat/policy/slots"
)

// event is a function to run at a virtual time.
type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// fleet simulates entries, agents and ledger relays on virtual time, over links that may
// fail. The tables and relays are the real ones.
type fleet struct {
	now           time.Time
	seq           int
	queue         events
	rnd           *rand.Rand
	entries       map[cleat.InstanceID]*entryNode
	agents        map[cleat.InstanceID]*agentNode
	relays        []*relayNode
	cut           map[[2]cleat.InstanceID]bool
	lossRate      float64       // Fraction of control messages that are lost.
	duplicateRate float64       // Fraction of messages that are delivered twice.
	jitter        time.Duration // Largest extra delay of control messages, which reorders them.
	slots         uint32
	serviceTime   time.Duration                 // Default duration of a request at its upstream.
	fails         func(u cleat.UpstreamID) bool // Whether attempts at an upstream fail.
	slowdowns     map[cleat.InstanceID]float64  // By agent; see slowdown.

	refusals map[cleat.RequestID][]cleat.Refusal
	done     map[cleat.RequestID]int       // Successful outcomes delivered to the entry.
	ran      map[cleat.RequestID]int       // Attempts started at an upstream.
	served   map[cleat.WorkspaceID]float64 // Output tokens.
	busy     time.Duration                 // Time in use, summed over all slots.
	lost     int                           // Requests lost with restarted entries.

	lastRequest int
}

type entryNode struct {
	peer         cleat.Peer
	table        *queue.Table
	liveAttempts map[cleat.Attempt]cleat.InstanceID
}

type agentNode struct {
	peer     cleat.Peer
	table    *slots.Table
	relay    int
	finished map[cleat.Attempt]cleat.Outcome
	leaving  bool
}

type relayNode struct {
	peer  cleat.Peer
	relay *ledger.Relay
}

func newFleet(seed int64, entries, agents, relays int) *fleet {
	f := &fleet{
		now: time.Unix(1e9, 0), rnd: rand.New(rand.NewSource(seed)),
		entries: map[cleat.InstanceID]*entryNode{}, agents: map[cleat.InstanceID]*agentNode{},
		cut: map[[2]cleat.InstanceID]bool{}, slots: 4, serviceTime: time.Second,
		refusals: map[cleat.RequestID][]cleat.Refusal{}, done: map[cleat.RequestID]int{},
		ran: map[cleat.RequestID]int{}, served: map[cleat.WorkspaceID]float64{},
	}
	f.addRelays(relays)
	for i := range agents {
		f.startAgent(cleat.InstanceID(fmt.Sprintf("agent-%d", i)), i)
	}
	for i := range entries {
		f.startEntry(cleat.InstanceID(fmt.Sprintf("entry-%d", i)))
	}
	f.every(10*time.Millisecond, f.tick)
	f.every(ledger.ReportInterval, f.report)
	return f
}

func (f *fleet) addRelays(n int) {
	for i := range n {
		p := cleat.Peer{Instance: cleat.InstanceID(fmt.Sprintf("ctrl-%d", i)), Incarnation: f.newIncarnation(), Role: cleat.RoleControl}
		f.relays = append(f.relays, &relayNode{peer: p, relay: ledger.NewRelay(p)})
	}
}

func (f *fleet) newIncarnation() cleat.Incarnation {
	f.seq++
	return cleat.Incarnation(f.now.UnixNano()) + cleat.Incarnation(f.seq)
}

func (f *fleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.queue, event{at: f.now.Add(d), seq: f.seq, run: run})
}

func (f *fleet) every(d time.Duration, run func()) {
	f.after(d, func() {
		run()
		f.every(d, run)
	})
}

func (f *fleet) advance(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		ev := heap.Pop(&f.queue).(event)
		f.now = ev.at
		ev.run()
	}
	f.now = end
}

func (f *fleet) startAgent(id cleat.InstanceID, n int) {
	var cfg slots.Config
	cfg.Defaults()
	p := cleat.Peer{Instance: id, Incarnation: f.newIncarnation(), Role: cleat.RoleAgent}
	a := &agentNode{peer: p, table: slots.New(cfg, p, rand.New(rand.NewSource(f.rnd.Int63()))), finished: map[cleat.Attempt]cleat.Outcome{}}
	if len(f.relays) > 0 {
		a.relay = n % len(f.relays)
	}
	f.agents[id] = a
	f.announce(a, false)
	for _, id := range sortedEntries(f) {
		f.link(f.entries[id], a)
	}
}

func (f *fleet) startEntry(id cleat.InstanceID) {
	var cfg queue.Config
	cfg.Defaults()
	p := cleat.Peer{Instance: id, Incarnation: f.newIncarnation(), Role: cleat.RoleEntry}
	e := &entryNode{peer: p, table: queue.New(cfg, p, rand.New(rand.NewSource(f.rnd.Int63()))), liveAttempts: map[cleat.Attempt]cleat.InstanceID{}}
	f.entries[id] = e
	for _, id := range sortedAgents(f) {
		f.link(e, f.agents[id])
	}
}

func (f *fleet) link(e *entryNode, a *agentNode) {
	if f.cut[[2]cleat.InstanceID{e.peer.Instance, a.peer.Instance}] {
		return
	}
	f.applyAgentEffects(a, a.table.ConnectEntry(f.now, e.peer))
	f.applyEntryEffects(e, e.table.AgentUp(f.now, a.peer))
	f.resume(e, a)
}

// resume asks an agent for the outcome of the attempts that an entry still has in flight,
// as the roles do when a link comes up.
func (f *fleet) resume(e *entryNode, a *agentNode) {
	for _, at := range slices.SortedFunc(maps.Keys(e.liveAttempts), func(x, y cleat.Attempt) int {
		return strings.Compare(x.String(), y.String())
	}) {
		if e.liveAttempts[at] != a.peer.Instance {
			continue
		}
		if o, ok := a.finished[at]; ok {
			f.send(a.peer.Instance, e.peer.Instance, &cleat.Part{Attempt: at, End: true, Outcome: o})
			continue
		}
		if ran := a.table.InvalidateAttempt(f.now, at); ran != cleat.RanYes {
			f.send(a.peer.Instance, e.peer.Instance, &cleat.Refused{Attempt: at, Ran: ran})
		}
	}
}

// cutLink drops all messages between an entry and an agent; both detect the failure
// after detectAfter.
func (f *fleet) cutLink(e, a cleat.InstanceID, detectAfter time.Duration) {
	f.cut[[2]cleat.InstanceID{e, a}], f.cut[[2]cleat.InstanceID{a, e}] = true, true
	f.after(detectAfter, func() {
		if f.cut[[2]cleat.InstanceID{e, a}] {
			f.unlink(f.entries[e], f.agents[a])
		}
	})
}

func (f *fleet) healLink(e, a cleat.InstanceID) {
	if !f.cut[[2]cleat.InstanceID{e, a}] {
		return
	}
	delete(f.cut, [2]cleat.InstanceID{e, a})
	delete(f.cut, [2]cleat.InstanceID{a, e})
	f.unlink(f.entries[e], f.agents[a])
	f.link(f.entries[e], f.agents[a])
}

func (f *fleet) restartAgent(id cleat.InstanceID) {
	for _, e := range sortedEntries(f) {
		f.applyEntryEffects(f.entries[e], f.entries[e].table.AgentDown(f.now, id))
	}
	f.startAgent(id, f.agents[id].relay)
}

func (f *fleet) restartEntry(id cleat.InstanceID) {
	for _, a := range sortedAgents(f) {
		f.applyAgentEffects(f.agents[a], f.agents[a].table.DisconnectEntry(f.now, id))
	}
	f.lost += f.entries[id].table.Waiting() + f.entries[id].table.Running()
	f.startEntry(id)
}

func (f *fleet) restartRelay(i int) {
	p := f.relays[i].peer
	p.Incarnation = f.newIncarnation()
	f.relays[i] = &relayNode{peer: p, relay: ledger.NewRelay(p)}
	for _, other := range f.relays {
		if other.peer.Instance == p.Instance {
			continue
		}
		for _, m := range other.relay.CompleteReports() {
			f.relays[i].relay.MergeReport(f.now, m)
		}
	}
}

func (f *fleet) unlink(e *entryNode, a *agentNode) {
	f.applyAgentEffects(a, a.table.DisconnectEntry(f.now, e.peer.Instance))
	f.applyEntryEffects(e, e.table.AgentDown(f.now, a.peer.Instance))
}

func (f *fleet) announce(a *agentNode, leaving bool) {
	f.applyAgentEffects(a, a.table.Announce(f.now, cleat.Announcement{
		Upstream: cleat.UpstreamID("up-" + a.peer.Instance), Kind: cleat.KindModel,
		Models: []cleat.ModelID{"m"}, Slots: f.slots, Leaving: leaving,
	}))
}

func (f *fleet) tick() {
	for _, id := range sortedAgents(f) {
		a := f.agents[id]
		f.announce(a, a.leaving)
		f.applyAgentEffects(a, a.table.Tick(f.now))
	}
	for _, id := range sortedEntries(f) {
		e := f.entries[id]
		f.applyEntryEffects(e, e.table.Tick(f.now))
	}
}

func (f *fleet) report() {
	if len(f.relays) == 0 {
		return
	}
	for _, id := range sortedAgents(f) {
		a := f.agents[id]
		r := f.relays[a.relay]
		m := a.table.LedgerReport(f.now)
		if f.cut[[2]cleat.InstanceID{id, r.peer.Instance}] {
			continue
		}
		if m != nil && r.relay.MergeReport(f.now, m) {
			f.forward(r, m)
		}
		if s := r.relay.NextSums(f.now, id); s != nil {
			f.after(time.Millisecond, func() { f.applyAgentEffects(a, a.table.ApplyLedgerSums(f.now, s)) })
		}
	}
}

func (f *fleet) forward(from *relayNode, m *cleat.LedgerReport) {
	for _, r := range f.relays {
		if r != from && !f.cut[[2]cleat.InstanceID{from.peer.Instance, r.peer.Instance}] {
			f.after(time.Millisecond, func() { r.relay.MergeReport(f.now, m) })
		}
	}
}

// send delivers a message between an entry and an agent, subject to the link's faults.
func (f *fleet) send(from, to cleat.InstanceID, m cleat.Message) {
	if f.cut[[2]cleat.InstanceID{from, to}] {
		return
	}
	control := true
	switch m.(type) {
	case *cleat.Dispatch, *cleat.Part, *cleat.Refused:
		control = false
	}
	if control && f.rnd.Float64() < f.lossRate {
		return
	}
	n := 1
	if f.rnd.Float64() < f.duplicateRate {
		n = 2
	}
	for range n {
		delay := time.Millisecond
		if control && f.jitter > 0 {
			delay += time.Duration(f.rnd.Int63n(int64(f.jitter)))
		}
		incarnation := f.incarnationOf(from)
		f.after(delay, func() {
			if f.incarnationOf(from) == incarnation { // Messages of an earlier incarnation are lost with its link.
				f.deliver(from, to, m)
			}
		})
	}
}

func (f *fleet) incarnationOf(id cleat.InstanceID) cleat.Incarnation {
	if a, ok := f.agents[id]; ok {
		return a.peer.Incarnation
	}
	if e, ok := f.entries[id]; ok {
		return e.peer.Incarnation
	}
	return 0
}

func (f *fleet) deliver(from, to cleat.InstanceID, m cleat.Message) {
	if f.cut[[2]cleat.InstanceID{from, to}] {
		return
	}
	if a, ok := f.agents[to]; ok {
		f.deliverToAgent(a, from, m)
		return
	}
	e, ok := f.entries[to]
	if !ok {
		return
	}
	switch m := m.(type) {
	case *cleat.AgentState:
		f.applyEntryEffects(e, e.table.AgentState(f.now, from, m))
	case *cleat.Ask:
		f.applyEntryEffects(e, e.table.Ask(f.now, from, m))
	case *cleat.Grants:
		f.applyEntryEffects(e, e.table.Grants(f.now, from, m))
	case *cleat.Refused:
		if m.Ran != cleat.RanYes {
			delete(e.liveAttempts, m.Attempt)
		}
		f.applyEntryEffects(e, e.table.Refused(f.now, from, m))
	case *cleat.Part:
		if _, ok := e.liveAttempts[m.Attempt]; ok && m.Outcome.Kind == cleat.OutcomeDone {
			f.done[m.Attempt.Request]++
		}
		delete(e.liveAttempts, m.Attempt)
		f.applyEntryEffects(e, e.table.AttemptFinished(f.now, m.Attempt, m.Outcome))
	}
}

func (f *fleet) deliverToAgent(a *agentNode, from cleat.InstanceID, m cleat.Message) {
	switch m := m.(type) {
	case *cleat.Offers:
		f.applyAgentEffects(a, a.table.ApplyOffers(f.now, from, m))
	case *cleat.Decline:
		f.applyAgentEffects(a, a.table.ApplyDecline(f.now, from, m))
	case *cleat.Dispatch:
		u, refused := a.table.AcceptDispatch(f.now, from, m)
		if refused != nil {
			f.send(a.peer.Instance, from, refused)
			return
		}
		f.serve(a, from, u, m)
	}
}

// serve runs a dispatched request at 10 ms a token; its Timeout carries the true number of
// output tokens, as one hour for each.
func (f *fleet) serve(a *agentNode, from cleat.InstanceID, u cleat.UpstreamID, m *cleat.Dispatch) {
	f.ran[m.Attempt.Request]++
	tokens := uint64(m.Timeout / time.Hour)
	duration := time.Duration(float64(tokens) * f.slowdown(a.peer.Instance) * float64(10*time.Millisecond))
	for part := 1; part <= 4; part++ {
		used := cleat.Usage{OutputTokens: tokens * uint64(part) / 4}
		f.after(duration*time.Duration(part)/4-time.Microsecond, func() {
			f.busy += duration / 4
			a.table.RecordProgress(f.now, m.Attempt, used)
		})
	}
	f.after(duration, func() {
		if f.agents[a.peer.Instance] != a {
			return
		}
		o := cleat.Outcome{Kind: cleat.OutcomeDone, Usage: cleat.Usage{OutputTokens: tokens}}
		if f.fails != nil && f.fails(u) {
			o.Kind = cleat.OutcomeFailed
		}
		f.served[m.Stream.Workspace] += float64(tokens)
		a.finished[m.Attempt] = o
		f.applyAgentEffects(a, a.table.FinishAttempt(f.now, m.Attempt, o))
		f.send(a.peer.Instance, from, &cleat.Part{Attempt: m.Attempt, End: true, Outcome: o})
	})
}

func (f *fleet) applyAgentEffects(a *agentNode, e cleat.Effects) {
	for _, s := range e.Sends {
		f.send(a.peer.Instance, s.To, s.Message)
	}
}

func (f *fleet) applyEntryEffects(n *entryNode, e cleat.Effects) {
	for _, s := range e.Sends {
		f.send(n.peer.Instance, s.To, s.Message)
	}
	for _, s := range e.Starts {
		n.liveAttempts[s.Attempt] = s.Agent
		f.send(n.peer.Instance, s.Agent, &cleat.Dispatch{
			Incarnation: s.Incarnation, Grant: s.Grant.ID, Attempt: s.Attempt, Stream: s.Grant.Stream,
			Estimate: s.Work.Estimate, Share: s.Share, Repeatable: s.Work.Repeatable,
			Timeout: time.Duration(tokensOf(s.Work.ID)) * time.Hour,
		})
	}
	for _, r := range e.Refusals {
		f.refusals[r.Request] = append(f.refusals[r.Request], r)
		for at := range n.liveAttempts {
			if at.Request == r.Request {
				delete(n.liveAttempts, at)
			}
		}
	}
}

// slowdown returns the factor by which an agent's upstream is slower than others.
func (f *fleet) slowdown(id cleat.InstanceID) float64 {
	if s, ok := f.slowdowns[id]; ok {
		return s
	}
	return 1
}

// tokensOf parses the true number of output tokens out of a request's id.
func tokensOf(id cleat.RequestID) int {
	var n, tokens int
	var w string
	if _, err := fmt.Sscanf(string(id), "%d/%d/%s", &n, &tokens, &w); err != nil {
		panic(err)
	}
	return tokens
}

// submit submits a request with the given number of output tokens to an entry and returns
// its id.
func (f *fleet) submit(e cleat.InstanceID, w cleat.WorkspaceID, tokens int, modify func(*cleat.Work)) cleat.RequestID {
	f.lastRequest++
	work := cleat.Work{
		ID:        cleat.RequestID(fmt.Sprintf("%d/%d/%s", f.lastRequest, tokens, w)),
		Workspace: w, Class: "c", Kind: cleat.KindModel, Model: "m",
		Received: f.now, Deadline: f.now.Add(10 * time.Minute), Repeatable: true,
	}
	if modify != nil {
		modify(&work)
	}
	n := f.entries[e]
	f.applyEntryEffects(n, n.table.Submit(f.now, work))
	return work.ID
}

func sortedAgents(f *fleet) []cleat.InstanceID {
	return sortedKeys(f.agents)
}

func sortedEntries(f *fleet) []cleat.InstanceID {
	return sortedKeys(f.entries)
}
