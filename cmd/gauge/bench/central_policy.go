package bench

import (
	"math"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/cost"
)

// PolicyName names a policy that Run can measure.
type PolicyName string

// PolicyFleet is the fleet's own code; PolicyOracle has a complete and current
// view of all requests; the others are baselines.
const (
	PolicyFleet      PolicyName = "ours"
	PolicyOracle     PolicyName = "oracle"
	PolicyFIFO       PolicyName = "fifo-least-loaded"
	PolicyRoundRobin PolicyName = "round-robin"
	PolicyLocalFair  PolicyName = "local-fair"
)

// Policies returns all policies, the fleet's own first.
func Policies() []PolicyName {
	return []PolicyName{PolicyFleet, PolicyOracle, PolicyFIFO, PolicyRoundRobin, PolicyLocalFair}
}

// policy decides when and on which engine each request of a run starts.
type policy interface {
	engineObserver
	submit(a *arrival)
	restartEntry(n int)
	restartAgent(n int)
	restartControl()
	setLeaving(e *engine, leaving bool)
}

// centralPolicy decides in one place, without message delay. With one table of all
// workspaces it is the oracle; with one table per entry it is local-fair. The other
// baselines don't decide by a table; they assign each request to an engine on arrival.
type centralPolicy struct {
	sim          *sim
	name         PolicyName
	estimator    *cost.Estimator
	tables       []*serviceTable // One for the fleet, or one per entry under local-fair.
	waiting      []*arrival      // In arrival order.
	engineQueues map[*engine][]*arrival
	nextEngine   int
	nextEntry    int
}

// serviceTable records the workspaces' received service per unit of share and
// their waiting requests, counted over the whole fleet or at one entry.
type serviceTable struct {
	received map[cleat.WorkspaceID]float64
	waiting  map[cleat.WorkspaceID]int
}

func newServiceTable() *serviceTable {
	return &serviceTable{received: make(map[cleat.WorkspaceID]float64), waiting: make(map[cleat.WorkspaceID]int)}
}

// enqueue counts one more waiting request. A workspace that was idle is raised to
// the least service of the waiting ones, so that it accumulates no credit.
func (t *serviceTable) enqueue(id cleat.WorkspaceID) {
	if t.waiting[id] == 0 {
		least := math.Inf(1)
		for other, n := range t.waiting {
			if n > 0 {
				least = math.Min(least, t.received[other])
			}
		}
		if !math.IsInf(least, 1) {
			t.received[id] = math.Max(t.received[id], least)
		}
	}
	t.waiting[id]++
}

// runCharge is the amount that a central policy has charged for a run, and the
// table it was charged to.
type runCharge struct {
	table  *serviceTable
	amount float64
}

func newCentralPolicy(sim *sim, name PolicyName, est *cost.Estimator) *centralPolicy {
	c := &centralPolicy{sim: sim, name: name, estimator: est, engineQueues: make(map[*engine][]*arrival)}
	n := 1
	if name == PolicyLocalFair {
		n = sim.opts.Deployment.entries
	}
	for range n {
		c.tables = append(c.tables, newServiceTable())
	}
	return c
}

func (c *centralPolicy) table(a *arrival) *serviceTable {
	if len(c.tables) == 1 {
		return c.tables[0]
	}
	return c.tables[a.entry]
}

// assignsOnArrival reports whether requests are assigned to an engine on arrival,
// instead of when a slot becomes free.
func (c *centralPolicy) assignsOnArrival() bool {
	return c.name == PolicyFIFO || c.name == PolicyRoundRobin
}

func (c *centralPolicy) submit(a *arrival) {
	c.sim.meter.enqueue(a)
	if c.assignsOnArrival() {
		c.enqueueAtEngine(a)
		return
	}
	c.table(a).enqueue(a.work.Workspace)
	c.waiting = append(c.waiting, a)
	for _, e := range c.sim.enginesByModel[a.work.Model] {
		c.fillSlots(e)
	}
}

// enqueueAtEngine puts the request into one engine's queue on arrival.
func (c *centralPolicy) enqueueAtEngine(a *arrival) {
	var best *engine
	list := c.sim.enginesByModel[a.work.Model]
	for i := range list {
		e := list[(i+c.nextEngine)%len(list)]
		if e.leaving || !c.sim.reachable(a.entry, e) {
			continue
		}
		if c.name == PolicyRoundRobin {
			best = e
			break
		}
		if best == nil || c.engineLoad(e) < c.engineLoad(best) {
			best = e
		}
	}
	c.nextEngine++
	if best == nil {
		best = list[0]
	}
	c.engineQueues[best] = append(c.engineQueues[best], a)
	c.fillSlots(best)
}

func (c *centralPolicy) engineLoad(e *engine) int { return len(c.engineQueues[e]) + e.running() }

// fillSlots starts waiting requests on an engine's free slots.
func (c *centralPolicy) fillSlots(e *engine) {
	for e.running() < e.slots && !e.leaving {
		a := c.nextRequest(e)
		if a == nil {
			return
		}
		c.startRun(e, a)
	}
}

func (c *centralPolicy) nextRequest(e *engine) *arrival {
	if c.assignsOnArrival() {
		list := c.engineQueues[e]
		if len(list) == 0 {
			return nil
		}
		c.engineQueues[e] = list[1:]
		return list[0]
	}
	if c.name == PolicyLocalFair {
		return c.nextLocalRequest(e)
	}
	return c.removeWaiting(c.pickWaiting(e, -1))
}

// nextLocalRequest serves the entries round-robin; each picks by its own table.
func (c *centralPolicy) nextLocalRequest(e *engine) *arrival {
	for range c.tables {
		entry := c.nextEntry
		c.nextEntry = (c.nextEntry + 1) % len(c.tables)
		if a := c.removeWaiting(c.pickWaiting(e, entry)); a != nil {
			return a
		}
	}
	return nil
}

// pickWaiting returns the index of the waiting request to start on the engine, or -1 if
// there is none. It picks the workspace with the least received service, and the
// workspace's request of the lowest rank, which is that of the class of highest
// precedence. If entry is -1, it considers the requests of all entries.
func (c *centralPolicy) pickWaiting(e *engine, entry int) int {
	best := -1
	leastService := math.Inf(1)
	for i, a := range c.waiting {
		if a.work.Model != e.model || (entry >= 0 && a.entry != entry) || !c.sim.reachable(a.entry, e) {
			continue
		}
		received := c.table(a).received[a.work.Workspace]
		if received < leastService || (received == leastService && best >= 0 && a.work.Rank < c.waiting[best].work.Rank && a.work.Workspace == c.waiting[best].work.Workspace) {
			best, leastService = i, received
		}
	}
	return best
}

func (c *centralPolicy) removeWaiting(i int) *arrival {
	if i < 0 {
		return nil
	}
	a := c.waiting[i]
	c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
	c.table(a).waiting[a.work.Workspace]--
	return a
}

func (c *centralPolicy) startRun(e *engine, a *arrival) {
	r := &run{arrival: a, policyState: &runCharge{table: c.table(a)}}
	c.sim.meter.recordStart(a)
	c.setCharge(r, float64(c.estimator.Estimate(&a.work)))
	e.start(r)
}

// setCharge replaces the amount charged for a run so far.
func (c *centralPolicy) setCharge(r *run, amount float64) {
	state := r.policyState.(*runCharge)
	state.table.received[r.arrival.work.Workspace] += (amount - state.amount) / c.sim.share(r.arrival.work.Workspace)
	state.amount = amount
}

func (c *centralPolicy) onFirstToken(_ *engine, r *run) { c.sim.meter.recordFirstToken(r.arrival) }

func (c *centralPolicy) onProgress(_ *engine, r *run) {
	used := float64(r.usage().Cost(r.arrival.work.Kind))
	if used > r.policyState.(*runCharge).amount {
		c.setCharge(r, used)
	}
}

func (c *centralPolicy) onEnd(e *engine, r *run) {
	used := r.usage().Cost(r.arrival.work.Kind)
	c.setCharge(r, float64(used))
	c.estimator.Learn(&r.arrival.work, used)
	c.sim.meter.recordFinish(r.arrival)
	c.fillSlots(e)
}

func (*centralPolicy) onCacheChange(*engine, []uint64, []uint64) {}

func (c *centralPolicy) restartEntry(n int) {
	kept := c.waiting[:0]
	for _, a := range c.waiting {
		if a.entry == n {
			c.table(a).waiting[a.work.Workspace]--
			c.sim.meter.recordCallerLost(a)
			continue
		}
		kept = append(kept, a)
	}
	c.waiting = kept
	for _, e := range c.sim.engines {
		c.cancelEntryRequests(e, n)
	}
}

// cancelEntryRequests removes the requests of a restarted entry from an engine: all
// that are queued, and the runs that are repeatable.
func (c *centralPolicy) cancelEntryRequests(e *engine, n int) {
	kept := c.engineQueues[e][:0]
	for _, a := range c.engineQueues[e] {
		if a.entry == n {
			c.sim.meter.recordCallerLost(a)
			continue
		}
		kept = append(kept, a)
	}
	c.engineQueues[e] = kept
	for _, r := range append([]*run(nil), e.runs...) {
		if r.arrival.entry == n && r.arrival.work.Repeatable {
			e.cancel(r)
			c.setCharge(r, float64(r.usage().Cost(r.arrival.work.Kind)))
			c.sim.meter.recordCallerLost(r.arrival)
		}
	}
	c.fillSlots(e)
}

func (c *centralPolicy) restartAgent(n int) {
	for _, e := range c.sim.agentEngines(n) {
		for _, r := range e.cancelAll() {
			c.setCharge(r, float64(r.usage().Cost(r.arrival.work.Kind)))
			c.retry(r.arrival)
		}
		c.fillSlots(e)
	}
}

// retry submits the request of a canceled run again, or refuses it if it isn't
// repeatable, since it may have run.
func (c *centralPolicy) retry(a *arrival) {
	if !a.work.Repeatable {
		c.sim.meter.recordRefusal(a, cleat.Refusal{Request: a.work.ID, Reason: cleat.ReasonAgentLost, Ran: cleat.RanUnknown})
		return
	}
	c.submit(a)
}

func (*centralPolicy) restartControl() {}

func (c *centralPolicy) setLeaving(e *engine, _ bool) { c.fillSlots(e) }
