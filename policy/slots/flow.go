package slots

import (
	"math"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/fair"
	"marigoldcleat.example/cleat/policy/ledger"
	"marigoldcleat.example/cleat/stand/assert"
)

// flow is the scheduling state of one workspace at this agent.
type flow struct {
	id           cleat.WorkspaceID
	account      *ledger.Account
	share        float64
	backlogItem  *fair.Item // In Table.backlog while any queue has offers.
	queues       []*queue
	pendingCost  float64 // Of live grants, per share.
	usedCost     float64 // By all attempts at this agent, per share.
	expectedCost float64 // Still expected of running attempts, per share.
	running      int
	served       uint64

	servedAt time.Time // When it last received service at any agent, or began to wait here.
	starved  bool      // Scheduled first until it gets a grant.
}

// queue holds a workspace's offers for one upstream kind and model.
type queue struct {
	flow   *flow
	key    poolKey
	item   *fair.Item
	offers []*offer // From any entry, if they have ungranted requests.
}

// offer is the latest offer that one entry sent for one stream.
type offer struct {
	entry        *entry
	queue        *queue
	stream       cleat.Stream
	waiting      int // Requests last reported by the entry, minus dispatches since; unseenGrants are not subtracted.
	unseenGrants int // Number of live grants that the entry had not received when it sent the offer.
	headCost     cleat.Cost
	rank         int
	waitingSince time.Time // When its oldest request began to wait.
	affinity     uint8
	queued       bool
}

func (t *Table) flowFor(w cleat.WorkspaceID) *flow {
	if f, ok := t.flows[w]; ok {
		return f
	}
	f := &flow{id: w, account: t.ledger.Account(w), share: cleat.DefaultShare}
	f.backlogItem = fair.NewItem(string(w), f)
	t.flows[w] = f
	t.flowOrder = append(t.flowOrder, f)
	return f
}

func (f *flow) queueFor(k poolKey) *queue {
	for _, q := range f.queues {
		if q.key == k {
			return q
		}
	}
	q := &queue{flow: f, key: k}
	q.item = fair.NewItem(string(f.id), q)
	f.queues = append(f.queues, q)
	return q
}

// virtualService is the workspace's fleet-wide service per share, with the
// expected cost of its live grants.
func (f *flow) virtualService() float64 {
	return f.account.VirtualService() + f.pendingCost
}

func (f *flow) waiting() uint32 {
	n := 0
	for _, q := range f.queues {
		for _, o := range q.offers {
			n += o.ungranted()
		}
	}
	return uint32(n)
}

// ungranted returns how many requests of the offer may still be granted.
func (o *offer) ungranted() int {
	return max(0, o.waiting-o.unseenGrants)
}

// updateKeys moves the workspace and its queues to the heap positions that
// follow from its service.
func (t *Table) updateKeys(f *flow) {
	v, backlogged := f.virtualService(), false
	key := v
	if f.starved {
		key = starvedKey
	}
	for _, q := range f.queues {
		h := t.poolHeap(q.key)
		if len(q.offers) == 0 {
			h.Remove(q.item)
			continue
		}
		backlogged = true
		h.Set(q.item, key-fair.ClassCredit(t.cfg.ClassCredit, q.bestRank()))
	}
	if backlogged {
		t.backlog.Set(f.backlogItem, f.account.Received())
	} else {
		t.backlog.Remove(f.backlogItem)
	}
}

func (t *Table) poolHeap(k poolKey) *fair.Heap {
	h, ok := t.pools[k]
	if !ok {
		h = &fair.Heap{}
		t.pools[k] = h
	}
	return h
}

// updateMembership adds an offer to its queue or removes it, depending on
// whether it has ungranted requests.
func (t *Table) updateMembership(o *offer) {
	wantQueued := o.ungranted() > 0
	if wantQueued == o.queued {
		return
	}
	o.queued = wantQueued
	q := o.queue
	if wantQueued {
		q.offers = append(q.offers, o)
		return
	}
	for i, other := range q.offers {
		if other == o {
			q.offers = append(q.offers[:i], q.offers[i+1:]...)
			return
		}
	}
}

func (q *queue) bestRank() int {
	best := q.offers[0].rank
	for _, o := range q.offers[1:] {
		best = min(best, o.rank)
	}
	return best
}

// nextOffer returns the workspace's offer to serve next: the one with the best
// aged rank, and among equals the one that has waited longest.
func (q *queue) nextOffer(now time.Time, ageing time.Duration) *offer {
	var best *offer
	for _, o := range q.offers {
		if best == nil || o.precedes(best, now, ageing) {
			best = o
		}
	}
	return best
}

// precedes reports whether o is served before other; entry id and class break
// ties.
func (o *offer) precedes(other *offer, now time.Time, ageing time.Duration) bool {
	a, b := o.agedRank(now, ageing), other.agedRank(now, ageing)
	if a != b {
		return a < b
	}
	if !o.waitingSince.Equal(other.waitingSince) {
		return o.waitingSince.Before(other.waitingSince)
	}
	if o.entry.id != other.entry.id {
		return o.entry.id < other.entry.id
	}
	return o.stream.Class < other.stream.Class
}

// agedRank is the rank minus one for each full ageing period waited; lower
// ranks are served first.
func (o *offer) agedRank(now time.Time, ageing time.Duration) int {
	return o.rank - int(now.Sub(o.waitingSince)/ageing)
}

// activate raises the service of a workspace that was not backlogged here to
// the least that any backlogged workspace has received, not counting running
// attempts. A workspace that is not newly active may have waited at other
// agents, so it is raised only to ActivationSlack/share below that level.
func (t *Table) activate(now time.Time, f *flow, newlyActive bool) {
	f.servedAt = now
	if !t.ledger.Ready() && now.Sub(t.started) < t.cfg.RelayTimeout {
		return
	}
	floor := t.serviceFloor
	if least := t.backlog.Min(); least != nil {
		floor = least.Key()
	}
	if !newlyActive {
		floor -= float64(t.cfg.ActivationSlack) / f.share
	}
	t.ledger.RaiseFloor(f.account, floor)
}

// prioritizeStarved schedules workspaces that have waited for StarvationTimeout
// without any service before all others until their next grant, whatever their
// totals are.
func (t *Table) prioritizeStarved(now time.Time) {
	if now.Sub(t.starvationCheckedAt) < starvationCheckInterval {
		return
	}
	t.starvationCheckedAt = now
	t.updateServiceFloor(now)
	for _, f := range t.flowOrder {
		if f.backlogItem.Queued() && !f.starved && now.Sub(f.servedAt) > t.cfg.StarvationTimeout {
			f.starved = true
			t.updateKeys(f)
		}
	}
}

// updateServiceFloor raises serviceFloor to the minimum received by any workspace
// served recently. A workspace that becomes active while no other is backlogged
// here is raised to this level. The maximum would be harmless with correct totals,
// but would spread a wrong total to other workspaces.
func (t *Table) updateServiceFloor(now time.Time) {
	least := math.Inf(1)
	for _, f := range t.flowOrder {
		if now.Sub(f.servedAt) <= serviceFloorWindow {
			least = min(least, f.account.Received())
		}
	}
	if !math.IsInf(least, 1) {
		t.serviceFloor = max(t.serviceFloor, least)
	}
}

// serviceFloorWindow is how recently a workspace must have been served to count
// for the service floor.
const serviceFloorWindow = 3 * time.Second

// starvationCheckInterval is the time between two checks for starved workspaces.
const starvationCheckInterval = time.Second

// starvedKey sorts before every key that results from service.
const starvedKey = -1e18

// checkAccounting asserts that the ledger's values for a workspace agree with what
// attempts here have used and what running ones are still expected to use.
func (t *Table) checkAccounting(f *flow) {
	if !nearlyEqual(f.account.OwnService(), f.usedCost) || !nearlyEqual(f.account.InFlight(), f.expectedCost) {
		assert.Fail("service-accounted", "%s: ledger has %v used and %v in flight, attempts have %v used and %v expected",
			f.id, f.account.OwnService(), f.account.InFlight(), f.usedCost, f.expectedCost)
	}
}

// grantsPerGapCheck is the number of grants between two calls of
// checkServiceGap, which visits every workspace.
const grantsPerGapCheck = 1024

// checkServiceGap asserts that the workspace about to get a slot is not ahead
// of any workspace waiting for the same upstream by more than ClassCredit. The
// bound on the service gap between workspaces is derived from this invariant.
func (t *Table) checkServiceGap(u *upstream, f *flow) {
	minService := f.virtualService() - float64(t.cfg.ClassCredit)
	for _, other := range t.flowOrder {
		if f.starved || other.virtualService() >= minService-roundingSlack || !other.waitsFor(u) {
			continue
		}
		assert.Fail("gap-bound", "%s gets a slot at service %v while %s waits at %v", f.id, f.virtualService(), other.id, other.virtualService())
	}
}

// roundingSlack allows for rounding in comparisons of virtual service.
const roundingSlack = 1e-3

// waitsFor reports whether the workspace has offers that the upstream can serve.
func (f *flow) waitsFor(u *upstream) bool {
	for _, q := range f.queues {
		for _, model := range u.models {
			if q.item.Queued() && q.key == (poolKey{u.kind, model}) {
				return true
			}
		}
	}
	return false
}

func nearlyEqual(a, b float64) bool {
	return math.Abs(a-b) <= 1e-3+1e-9*math.Abs(a)
}
