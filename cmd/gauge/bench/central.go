package bench

import (
	"math"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/cost"
)

// PolicyName names a policy that a run may be measured under.
type PolicyName string

// The policies.
const (
	PolicyOurs       PolicyName = "ours"
	PolicyOracle     PolicyName = "oracle"
	PolicyFIFO       PolicyName = "fifo-least-loaded"
	PolicyRoundRobin PolicyName = "round-robin"
	PolicyLocalFair  PolicyName = "local-fair"
)

// Policies lists all policies, ours first.
func Policies() []PolicyName {
	return []PolicyName{PolicyOurs, PolicyOracle, PolicyFIFO, PolicyRoundRobin, PolicyLocalFair}
}

// policy decides where the requests of a run go.
type policy interface {
	engineUser
	submit(a *arrival)
	restartEntry(n int)
	restartAgent(n int)
	restartControl()
	setLeaving(e *engine, leaving bool)
}

// central decides with one table that sees everything at once; it serves as
// the oracle and, with less sight, as the baselines.
type central struct {
	s        *sim
	name     PolicyName
	est      *cost.Estimator
	books    []*book    // One for all, or one for each entry under local-fair.
	waiting  []*arrival // In order of arrival.
	atEngine map[*engine][]*arrival
	next     int
	turn     int
}

// book keeps the service of workspaces as one observer counts it.
type book struct {
	v       map[cleat.WorkspaceID]float64
	waiting map[cleat.WorkspaceID]int
}

func newBook() *book {
	return &book{v: make(map[cleat.WorkspaceID]float64), waiting: make(map[cleat.WorkspaceID]int)}
}

// add notes one more waiting request; a workspace that returns from idle banks no credit.
func (b *book) add(id cleat.WorkspaceID) {
	if b.waiting[id] == 0 {
		least := math.Inf(1)
		for other, n := range b.waiting {
			if n > 0 {
				least = math.Min(least, b.v[other])
			}
		}
		if !math.IsInf(least, 1) {
			b.v[id] = math.Max(b.v[id], least)
		}
	}
	b.waiting[id]++
}

// charged is what a central policy keeps with a run.
type charged struct {
	book   *book
	amount float64
}

func newCentral(s *sim, name PolicyName, est *cost.Estimator) *central {
	c := &central{s: s, name: name, est: est, atEngine: make(map[*engine][]*arrival)}
	n := 1
	if name == PolicyLocalFair {
		n = s.o.Deployment.entries
	}
	for range n {
		c.books = append(c.books, newBook())
	}
	return c
}

func (c *central) book(a *arrival) *book {
	if len(c.books) == 1 {
		return c.books[0]
	}
	return c.books[a.entry]
}

func (c *central) bindsEarly() bool {
	return c.name == PolicyFIFO || c.name == PolicyRoundRobin
}

func (c *central) submit(a *arrival) {
	c.s.m.enqueue(a)
	if c.bindsEarly() {
		c.bind(a)
		return
	}
	c.book(a).add(a.work.Workspace)
	c.waiting = append(c.waiting, a)
	for _, e := range c.s.byModel[a.work.Model] {
		c.fill(e)
	}
}

// bind sends the request to an upstream's own queue at once.
func (c *central) bind(a *arrival) {
	var best *engine
	list := c.s.byModel[a.work.Model]
	for i := range list {
		e := list[(i+c.next)%len(list)]
		if e.leaving || !c.s.reachable(a.entry, e) {
			continue
		}
		if c.name == PolicyRoundRobin {
			best = e
			break
		}
		if best == nil || c.load(e) < c.load(best) {
			best = e
		}
	}
	c.next++
	if best == nil {
		best = list[0]
	}
	c.atEngine[best] = append(c.atEngine[best], a)
	c.fill(best)
}

func (c *central) load(e *engine) int { return len(c.atEngine[e]) + e.busy() }

// fill starts waiting requests on an engine's free slots.
func (c *central) fill(e *engine) {
	for e.busy() < e.slots && !e.leaving {
		a := c.take(e)
		if a == nil {
			return
		}
		c.start(e, a)
	}
}

func (c *central) take(e *engine) *arrival {
	if c.bindsEarly() {
		list := c.atEngine[e]
		if len(list) == 0 {
			return nil
		}
		c.atEngine[e] = list[1:]
		return list[0]
	}
	if c.name == PolicyLocalFair {
		return c.takeLocal(e)
	}
	return c.remove(c.pick(e, -1))
}

// takeLocal lets entries take turns; each picks by its own book.
func (c *central) takeLocal(e *engine) *arrival {
	for range c.books {
		entry := c.turn
		c.turn = (c.turn + 1) % len(c.books)
		if a := c.remove(c.pick(e, entry)); a != nil {
			return a
		}
	}
	return nil
}

// pick returns the index of the request that goes first on the engine: the
// workspace with the least service, in it the class of highest precedence.
func (c *central) pick(e *engine, entry int) int {
	best := -1
	bestV := math.Inf(1)
	for i, a := range c.waiting {
		if a.work.Model != e.model || (entry >= 0 && a.entry != entry) || !c.s.reachable(a.entry, e) {
			continue
		}
		v := c.book(a).v[a.work.Workspace]
		if v < bestV || (v == bestV && best >= 0 && a.work.Rank < c.waiting[best].work.Rank && a.work.Workspace == c.waiting[best].work.Workspace) {
			best, bestV = i, v
		}
	}
	return best
}

func (c *central) remove(i int) *arrival {
	if i < 0 {
		return nil
	}
	a := c.waiting[i]
	c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
	c.book(a).waiting[a.work.Workspace]--
	return a
}

func (c *central) start(e *engine, a *arrival) {
	r := &run{a: a, ctx: &charged{book: c.book(a)}}
	c.s.m.started(a)
	c.charge(r, float64(c.est.Estimate(&a.work)))
	e.start(r)
}

func (c *central) charge(r *run, amount float64) {
	ctx := r.ctx.(*charged)
	ctx.book.v[r.a.work.Workspace] += (amount - ctx.amount) / c.s.share(r.a.work.Workspace)
	ctx.amount = amount
}

func (c *central) firstToken(_ *engine, r *run) { c.s.m.firstToken(r.a) }

func (c *central) progress(_ *engine, r *run) {
	used := float64(r.usage().Cost(r.a.work.Kind))
	if used > r.ctx.(*charged).amount {
		c.charge(r, used)
	}
}

func (c *central) ended(e *engine, r *run) {
	used := r.usage().Cost(r.a.work.Kind)
	c.charge(r, float64(used))
	c.est.Learn(&r.a.work, used)
	c.s.m.finished(r.a)
	c.fill(e)
}

func (*central) cached(*engine, []uint64, []uint64) {}

func (c *central) restartEntry(n int) {
	keep := c.waiting[:0]
	for _, a := range c.waiting {
		if a.entry == n {
			c.book(a).waiting[a.work.Workspace]--
			c.s.m.callerLost(a)
			continue
		}
		keep = append(keep, a)
	}
	c.waiting = keep
	for _, e := range c.s.engines {
		c.dropCallers(e, n)
	}
}

func (c *central) dropCallers(e *engine, n int) {
	keep := c.atEngine[e][:0]
	for _, a := range c.atEngine[e] {
		if a.entry == n {
			c.s.m.callerLost(a)
			continue
		}
		keep = append(keep, a)
	}
	c.atEngine[e] = keep
	for _, r := range append([]*run(nil), e.runs...) {
		if r.a.entry == n && r.a.work.Repeatable {
			e.cancel(r)
			c.charge(r, float64(r.usage().Cost(r.a.work.Kind)))
			c.s.m.callerLost(r.a)
		}
	}
	c.fill(e)
}

func (c *central) restartAgent(n int) {
	for _, e := range c.s.agentEngines(n) {
		for _, r := range e.cancelAll() {
			c.charge(r, float64(r.usage().Cost(r.a.work.Kind)))
			c.retry(r.a)
		}
		c.fill(e)
	}
}

func (c *central) retry(a *arrival) {
	if !a.work.Repeatable {
		c.s.m.refuse(a, cleat.Refusal{Request: a.work.ID, Reason: cleat.ReasonAgentLost, Ran: cleat.RanUnknown})
		return
	}
	c.submit(a)
}

func (*central) restartControl() {}

func (c *central) setLeaving(e *engine, _ bool) { c.fill(e) }
