package slots

import (
	"math/rand"
	"sort"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/fair"
	"marigoldcleat.example/cleat/policy/ledger"
)

// poolKey matches queues of requests with the upstreams that can serve them.
type poolKey struct {
	kind  cleat.UpstreamKind
	model cleat.ModelID
}

// Table holds an agent's scheduling state.
type Table struct {
	cfg                 Config
	self                cleat.Peer
	rnd                 *rand.Rand
	ledger              *ledger.AgentLedger
	flows               map[cleat.WorkspaceID]*flow
	flowOrder           []*flow                // In order of first use.
	backlog             fair.Heap              // Of workspaces with offers, by service received.
	pools               map[poolKey]*fair.Heap // Of queues with offers.
	upstreams           map[cleat.UpstreamID]*upstream
	sortedUpstreams     []*upstream // Sorted by id.
	entries             map[cleat.InstanceID]*entry
	sortedEntries       []*entry // Sorted by id.
	grants              map[uint64]*grant
	liveGrants          []*grant // In order of expiry.
	lastGrant           uint64   // Id of the newest grant.
	runs                map[cleat.Attempt]*run
	history             attemptHistory
	serviceFloor        float64 // Service to which a workspace is raised if no other is backlogged here; it never falls.
	draining            bool
	started             time.Time // Time of the first tick or entry connection.
	starvationCheckedAt time.Time
	nextAskAt           time.Time
	askInterval         time.Duration
	nextAskEntry        int // Round-robin counter over sortedEntries, as is nextStateEntry.
	lastStateAt         time.Time
	nextStateEntry      int
}

// New returns an empty table for the agent self; cfg must be valid.
func New(cfg Config, self cleat.Peer, rnd *rand.Rand) *Table {
	return &Table{
		cfg:       cfg,
		self:      self,
		rnd:       rnd,
		ledger:    ledger.NewAgentLedger(self),
		flows:     map[cleat.WorkspaceID]*flow{},
		pools:     map[poolKey]*fair.Heap{},
		upstreams: map[cleat.UpstreamID]*upstream{},
		entries:   map[cleat.InstanceID]*entry{},
		grants:    map[uint64]*grant{},
		runs:      map[cleat.Attempt]*run{},
		history:   newAttemptHistory(cfg),
	}
}

// Running returns the number of running attempts.
func (t *Table) Running() int { return len(t.runs) }

// Upstreams returns the state of every upstream, sorted by id.
func (t *Table) Upstreams() []cleat.UpstreamState {
	list := make([]cleat.UpstreamState, 0, len(t.sortedUpstreams))
	for _, u := range t.sortedUpstreams {
		list = append(list, u.state())
	}
	return list
}

// Status returns this agent's status of each workspace, sorted by id.
func (t *Table) Status() []cleat.WorkspaceStatus {
	list := make([]cleat.WorkspaceStatus, 0, len(t.flowOrder))
	for _, f := range t.flowOrder {
		list = append(list, cleat.WorkspaceStatus{
			Workspace: f.id,
			Waiting:   f.waiting(),
			Running:   uint32(f.running),
			Served:    f.served,
			Service:   f.account.VirtualService(),
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Workspace < list[j].Workspace })
	return list
}

// Tick expires grants, upstreams and attempt records, grants free slots, asks
// entries for offers and sends them changed states. The agent role calls it every
// 10 ms.
func (t *Table) Tick(now time.Time) cleat.Effects {
	if t.started.IsZero() {
		t.started = now
	}
	t.expireGrants(now)
	t.expireUpstreams(now)
	t.history.expire(now)
	for _, a := range t.ledger.ExpireInFlight(now) {
		if f, ok := t.flows[a.Workspace()]; ok {
			t.updateKeys(f)
		}
	}
	t.prioritizeStarved(now)
	e := t.grantFreeSlots(now)
	t.askForOffers(now, &e)
	t.sendStates(now, &e)
	return e
}

// Drain stops new work on all upstreams; running attempts continue.
func (t *Table) Drain(now time.Time) cleat.Effects {
	t.draining = true
	var e cleat.Effects
	for _, u := range t.sortedUpstreams {
		e.Add(t.DrainUpstream(now, u.id))
	}
	return e
}

// LedgerReport returns the ledger totals that changed since the last report, or nil.
func (t *Table) LedgerReport(now time.Time) *cleat.LedgerReport {
	return t.ledger.NextReport(now)
}

// ApplyLedgerSums applies the fleet's totals and grants free slots.
func (t *Table) ApplyLedgerSums(now time.Time, m *cleat.LedgerSums) cleat.Effects {
	for _, a := range t.ledger.MergeSums(now, m) {
		if f, ok := t.flows[a.Workspace()]; ok {
			f.servedAt = now
			t.updateKeys(f)
		}
	}
	return t.grantFreeSlots(now)
}
