package queue

import (
	"math/rand"
	"sort"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/cost"
	"marigoldcleat.example/cleat/policy/fair"
)

// Table holds an entry's requests and its view of the agents, and decides what to send
// to them.
type Table struct {
	cfg        Config
	self       cleat.Peer
	rnd        *rand.Rand
	fleet      *cleat.Fleet
	limits     cleat.Limits
	costs      *cost.Estimator
	requests   map[cleat.RequestID]*request
	deadlines  fair.Heap // Waiting and delayed requests, by deadline.
	delayed    []*request
	workspaces map[cleat.WorkspaceID]*workspace
	streams    map[cleat.Stream]*stream
	active     []*stream // Streams with waiting requests, in the order in which they became active.
	pools      map[poolKey]*pool
	agents     map[cleat.InstanceID]*agent
	agentOrder []*agent // Sorted by id.
	waiting    int
	running    int
	draining   bool
	reviewedAt time.Time
	epoch      uint64 // Incremented when the set of eligible agents may have changed.
}

// New returns an empty table for the entry self; cfg must be valid.
func New(cfg Config, self cleat.Peer, rnd *rand.Rand) *Table {
	t := &Table{
		cfg:        cfg,
		self:       self,
		rnd:        rnd,
		costs:      cost.NewEstimator(),
		requests:   map[cleat.RequestID]*request{},
		workspaces: map[cleat.WorkspaceID]*workspace{},
		streams:    map[cleat.Stream]*stream{},
		pools:      map[poolKey]*pool{},
		agents:     map[cleat.InstanceID]*agent{},
	}
	t.limits.Defaults()
	t.epoch = 1
	return t
}

// Waiting returns the number of admitted requests that are not dispatched.
func (t *Table) Waiting() int { return t.waiting }

// Running returns the number of dispatched requests.
func (t *Table) Running() int { return t.running }

// Status returns this entry's counts of each workspace, sorted by id.
func (t *Table) Status() []cleat.WorkspaceStatus {
	list := make([]cleat.WorkspaceStatus, 0, len(t.workspaces))
	for _, w := range t.workspaces {
		list = append(list, w.status())
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Workspace < list[j].Workspace })
	return list
}

// Configure applies new settings to waiting and later requests.
func (t *Table) Configure(now time.Time, f *cleat.Fleet) cleat.Effects {
	t.fleet = f
	t.limits = f.Limits()
	for _, s := range t.active {
		w := s.workspace
		w.configure(f, t.cfg)
		for _, o := range s.adverts {
			o.dirty = o.dirty || o.remaining > 0
		}
	}
	for _, w := range t.workspaces {
		w.configure(f, t.cfg)
	}
	return t.planOffers(now)
}

// Drain refuses new requests from now on; waiting and running requests continue.
func (t *Table) Drain(time.Time) { t.draining = true }

// Tick refuses late requests, abandons the attempts of lost agents, enqueues due retries
// and returns the offers that are due. The entry role calls it every 10 ms.
func (t *Table) Tick(now time.Time) cleat.Effects {
	var e cleat.Effects
	t.refuseExpired(now, &e)
	t.expireAttempts(now, &e)
	if now.Sub(t.reviewedAt) >= t.cfg.ReviewInterval {
		t.reviewedAt = now
		t.refuseUnserved(now, &e)
		t.refuseLate(now, &e)
	}
	t.enqueueDueRetries(now)
	t.widenSpreads(now)
	e.Add(t.planOffers(now))
	return e
}
