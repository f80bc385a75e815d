package slots

import (
	"math/rand"
	"sort"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/fair"
	"marigoldcleat.example/cleat/policy/ledger"
)

// poolKey names what requests and upstreams are matched by.
type poolKey struct {
	kind  cleat.UpstreamKind
	model cleat.ModelID
}

// Table holds an agent's decisions.
type Table struct {
	cfg       Config
	self      cleat.Peer
	rnd       *rand.Rand
	book      *ledger.Book
	flows     map[cleat.WorkspaceID]*flow
	flowOrder []*flow // By first sight.
	backlog   fair.Heap
	pools     map[poolKey]*fair.Heap // Of lanes with offers.
	upstreams map[cleat.UpstreamID]*upstream
	ups       []*upstream // By id.
	entries   map[cleat.InstanceID]*entry
	ents      []*entry // By id.
	grants    map[uint64]*grant
	live      []*grant // By expiry.
	lastGrant uint64
	runs      map[cleat.Attempt]*run
	past      memory
	level     float64 // Least received of the workspaces lately served anywhere.
	draining  bool
	started   time.Time // First tick.
	auditAt   time.Time
	askAt     time.Time
	askPause  time.Duration
	nextAsk   int
	stateAt   time.Time
	nextState int
}

// New returns an empty table of an agent; cfg must be valid.
func New(cfg Config, self cleat.Peer, rnd *rand.Rand) *Table {
	return &Table{
		cfg:       cfg,
		self:      self,
		rnd:       rnd,
		book:      ledger.NewBook(self),
		flows:     map[cleat.WorkspaceID]*flow{},
		pools:     map[poolKey]*fair.Heap{},
		upstreams: map[cleat.UpstreamID]*upstream{},
		entries:   map[cleat.InstanceID]*entry{},
		grants:    map[uint64]*grant{},
		runs:      map[cleat.Attempt]*run{},
		past:      newMemory(cfg),
	}
}

// Running returns the number of attempts that run.
func (t *Table) Running() int { return len(t.runs) }

// Upstreams returns the state of every upstream, sorted by id.
func (t *Table) Upstreams() []cleat.UpstreamState {
	list := make([]cleat.UpstreamState, 0, len(t.ups))
	for _, u := range t.ups {
		list = append(list, u.state())
	}
	return list
}

// Status returns what this agent knows of each workspace, sorted by id.
func (t *Table) Status() []cleat.WorkspaceStatus {
	list := make([]cleat.WorkspaceStatus, 0, len(t.flowOrder))
	for _, f := range t.flowOrder {
		list = append(list, cleat.WorkspaceStatus{
			Workspace: f.id,
			Waiting:   f.waiting(),
			Running:   uint32(f.running),
			Served:    f.served,
			Service:   f.account.Virtual(),
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Workspace < list[j].Workspace })
	return list
}

// Tick expires grants, frees lost upstreams, asks for work and tells entries
// what changed; the role calls it every 10 ms.
func (t *Table) Tick(now time.Time) cleat.Effects {
	if t.started.IsZero() {
		t.started = now
	}
	t.expireGrants(now)
	t.expireUpstreams(now)
	t.past.expire(now)
	for _, a := range t.book.Expire(now) {
		if f, ok := t.flows[a.Workspace()]; ok {
			t.place(f)
		}
	}
	t.raiseStarved(now)
	e := t.grant(now)
	t.ask(now, &e)
	t.sendStates(now, &e)
	return e
}

// Drain takes no more work; running work goes on.
func (t *Table) Drain(now time.Time) cleat.Effects {
	t.draining = true
	var e cleat.Effects
	for _, u := range t.ups {
		e.Add(t.DrainUpstream(now, u.id))
	}
	return e
}

// Report returns the totals that changed since the last report, or nil.
func (t *Table) Report(now time.Time) *cleat.LedgerReport {
	return t.book.Report(now)
}

// Sums takes in the fleet's totals.
func (t *Table) Sums(now time.Time, m *cleat.LedgerSums) cleat.Effects {
	for _, a := range t.book.Sums(now, m) {
		if f, ok := t.flows[a.Workspace()]; ok {
			f.servedAt = now
			t.place(f)
		}
	}
	return t.grant(now)
}
