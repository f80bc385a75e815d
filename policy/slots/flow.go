package slots

import (
	"math"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/fair"
	"marigoldcleat.example/cleat/policy/ledger"
	"marigoldcleat.example/cleat/stand/assert"
)

// flow is one workspace at this agent.
type flow struct {
	id      cleat.WorkspaceID
	account *ledger.Account
	share   float64
	item    *fair.Item // In the backlog, while any lane has offers.
	lanes   []*lane
	pending float64 // Of live grants, for one share.
	used    float64 // By all attempts here, for one share.
	rest    float64 // Estimated of running attempts, for one share.
	running int
	served  uint64

	servedAt time.Time // When it last got service anywhere, or began to wait here.
	starved  bool      // It goes first until it gets a grant.
}

// lane is a workspace's offers for one model or pool.
type lane struct {
	flow   *flow
	key    poolKey
	item   *fair.Item
	offers []*offer // Of all entries, with some waiting.
}

// offer is the latest word of one entry on one stream.
type offer struct {
	entry    *entry
	lane     *lane
	stream   cleat.Stream
	waiting  int // Not counting what was granted since.
	granted  int // Live grants that the entry had not seen when it sent the offer.
	head     cleat.Cost
	rank     int
	since    time.Time // When its first request began to wait.
	affinity uint8
	listed   bool
}

func (t *Table) flow(w cleat.WorkspaceID) *flow {
	if f, ok := t.flows[w]; ok {
		return f
	}
	f := &flow{id: w, account: t.book.Account(w), share: cleat.DefaultShare}
	f.item = fair.NewItem(string(w), f)
	t.flows[w] = f
	t.flowOrder = append(t.flowOrder, f)
	return f
}

func (f *flow) lane(k poolKey) *lane {
	for _, l := range f.lanes {
		if l.key == k {
			return l
		}
	}
	l := &lane{flow: f, key: k}
	l.item = fair.NewItem(string(f.id), l)
	f.lanes = append(f.lanes, l)
	return l
}

// virtual is the workspace's service over the fleet with the grants that are out.
func (f *flow) virtual() float64 {
	return f.account.Virtual() + f.pending
}

func (f *flow) waiting() uint32 {
	n := 0
	for _, l := range f.lanes {
		for _, o := range l.offers {
			n += o.left()
		}
	}
	return uint32(n)
}

// left is how many requests of the offer may still be granted.
func (o *offer) left() int {
	return max(0, o.waiting-o.granted)
}

// place moves the workspace and its lanes to where its service puts them.
func (t *Table) place(f *flow) {
	v, backlogged := f.virtual(), false
	first := v
	if f.starved {
		first = starvedKey
	}
	for _, l := range f.lanes {
		h := t.pool(l.key)
		if len(l.offers) == 0 {
			h.Remove(l.item)
			continue
		}
		backlogged = true
		h.Set(l.item, first-fair.ClassCredit(t.cfg.ClassCredit, l.bestRank()))
	}
	if backlogged {
		t.backlog.Set(f.item, f.account.Received())
	} else {
		t.backlog.Remove(f.item)
	}
}

func (t *Table) pool(k poolKey) *fair.Heap {
	h, ok := t.pools[k]
	if !ok {
		h = &fair.Heap{}
		t.pools[k] = h
	}
	return h
}

// list puts an offer into its lane or takes it out, by whether any of it is left.
func (t *Table) list(o *offer) {
	want := o.left() > 0
	if want == o.listed {
		return
	}
	o.listed = want
	l := o.lane
	if want {
		l.offers = append(l.offers, o)
		return
	}
	for i, other := range l.offers {
		if other == o {
			l.offers = append(l.offers[:i], l.offers[i+1:]...)
			return
		}
	}
}

func (l *lane) bestRank() int {
	best := l.offers[0].rank
	for _, o := range l.offers[1:] {
		best = min(best, o.rank)
	}
	return best
}

// best returns the offer that goes first in the workspace: by class, raised by
// its waiting time, then the longest wait.
func (l *lane) best(now time.Time, ageing time.Duration) *offer {
	var best *offer
	for _, o := range l.offers {
		if best == nil || o.before(best, now, ageing) {
			best = o
		}
	}
	return best
}

func (o *offer) before(other *offer, now time.Time, ageing time.Duration) bool {
	a, b := o.aged(now, ageing), other.aged(now, ageing)
	if a != b {
		return a < b
	}
	if !o.since.Equal(other.since) {
		return o.since.Before(other.since)
	}
	if o.entry.id != other.entry.id {
		return o.entry.id < other.entry.id
	}
	return o.stream.Class < other.stream.Class
}

// aged is the rank less one for each ageing period waited.
func (o *offer) aged(now time.Time, ageing time.Duration) int {
	return o.rank - int(now.Sub(o.since)/ageing)
}

// arrive raises a workspace that was not backlogged here: to the least that
// one of the backlogged received, what runs for it not counted, when it just began to wait, else only to within the slack
// of them, since it may have waited at other agents.
func (t *Table) arrive(now time.Time, f *flow, fresh bool) {
	f.servedAt = now
	if !t.book.Ready() && now.Sub(t.started) < t.cfg.AloneAfter {
		return
	}
	floor := t.level
	if least := t.backlog.Min(); least != nil {
		floor = least.Key()
	}
	if !fresh {
		floor -= float64(t.cfg.ReturnSlack) / f.share
	}
	t.book.Raise(f.account, floor)
}

// raiseStarved lets a workspace go first once that has waited long without any
// service, whatever its totals say.
func (t *Table) raiseStarved(now time.Time) {
	if now.Sub(t.auditAt) < auditInterval {
		return
	}
	t.auditAt = now
	t.findLevel(now)
	for _, f := range t.flowOrder {
		if f.item.Queued() && !f.starved && now.Sub(f.servedAt) > t.cfg.StarveAfter {
			f.starved = true
			t.place(f)
		}
	}
}

// findLevel finds what a workspace is raised to that returns while nothing
// waits here: the least that any workspace received which is being served. The
// most would do no harm with true totals, but spreads one that is wrong.
func (t *Table) findLevel(now time.Time) {
	least := math.Inf(1)
	for _, f := range t.flowOrder {
		if now.Sub(f.servedAt) <= levelWindow {
			least = min(least, f.account.Received())
		}
	}
	if !math.IsInf(least, 1) {
		t.level = max(t.level, least)
	}
}

// levelWindow is how lately a workspace was served to count for the level.
const levelWindow = 3 * time.Second

// auditInterval is the time between two searches for starved workspaces.
const auditInterval = time.Second

// starvedKey lies below every key that service can give.
const starvedKey = -1e18

// audit checks that what is accounted is what ran, and what is expected is
// what runs.
func (t *Table) audit(f *flow) {
	if !near(f.account.Own(), f.used) || !near(f.account.InFlight(), f.rest) {
		assert.Fail("service-accounted", "%s: accounted %v and %v in flight, ran %v and %v expected",
			f.id, f.account.Own(), f.account.InFlight(), f.used, f.rest)
	}
}

// gapCheckEvery is the number of grants between two searches for a workspace
// that should have gone first.
const gapCheckEvery = 1024

// checkGap asserts that a workspace which is about to get a slot leads none that
// waits for it by more than the class credit: the step from which the bound on
// the gap is derived.
func (t *Table) checkGap(u *upstream, f *flow) {
	lead := f.virtual() - float64(t.cfg.ClassCredit)
	for _, other := range t.flowOrder {
		if f.starved || other.virtual() >= lead-slackUnits || !other.waitsFor(u) {
			continue
		}
		assert.Fail("gap-bound", "%s is picked at %v while %s waits at %v", f.id, f.virtual(), other.id, other.virtual())
	}
}

// slackUnits allows for rounding in comparisons of virtual service.
const slackUnits = 1e-3

func (f *flow) waitsFor(u *upstream) bool {
	for _, l := range f.lanes {
		for _, model := range u.models {
			if l.item.Queued() && l.key == (poolKey{u.kind, model}) {
				return true
			}
		}
	}
	return false
}

func near(a, b float64) bool {
	return math.Abs(a-b) <= 1e-3+1e-9*math.Abs(a)
}
