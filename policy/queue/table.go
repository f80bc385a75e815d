package queue

import (
	"math/rand"
	"sort"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/cost"
	"marigoldcleat.example/cleat/policy/fair"
)

// Table holds an entry's decisions.
type Table struct {
	cfg        Config
	self       cleat.Peer
	rnd        *rand.Rand
	fleet      *cleat.Fleet
	limits     cleat.Limits
	costs      *cost.Estimator
	requests   map[cleat.RequestID]*request
	deadlines  fair.Heap // Of waiting requests.
	delayed    []*request
	workspaces map[cleat.WorkspaceID]*workspace
	streams    map[cleat.Stream]*stream
	active     []*stream // With requests waiting, by when they began to.
	pools      map[poolKey]*pool
	agents     map[cleat.InstanceID]*agent
	order      []*agent // By id.
	waiting    int
	running    int
	draining   bool
	reviewAt   time.Time
	epoch      uint64 // Rises when the agents to choose from may have changed.
}

// New returns an empty table of an entry; cfg must be valid.
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

// Waiting returns the number of requests that are not dispatched.
func (t *Table) Waiting() int { return t.waiting }

// Running returns the number of dispatched requests.
func (t *Table) Running() int { return t.running }

// Status returns what this entry knows of each workspace, sorted by id.
func (t *Table) Status() []cleat.WorkspaceStatus {
	list := make([]cleat.WorkspaceStatus, 0, len(t.workspaces))
	for _, w := range t.workspaces {
		list = append(list, w.status())
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Workspace < list[j].Workspace })
	return list
}

// Configure puts new settings in force for waiting and later requests.
func (t *Table) Configure(now time.Time, f *cleat.Fleet) cleat.Effects {
	t.fleet = f
	t.limits = f.Limits()
	for _, s := range t.active {
		w := s.workspace
		w.configure(f, t.cfg)
		for _, o := range s.adverts {
			o.dirty = o.dirty || o.left > 0
		}
	}
	for _, w := range t.workspaces {
		w.configure(f, t.cfg)
	}
	return t.plan(now)
}

// Drain refuses new requests; those that wait or run go on.
func (t *Table) Drain(time.Time) { t.draining = true }

// Tick refuses what is late, gives up on lost agents, and sends batched offers;
// the role calls it every 10 ms.
func (t *Table) Tick(now time.Time) cleat.Effects {
	var e cleat.Effects
	t.expireDeadlines(now, &e)
	t.expireAgents(now, &e)
	if now.Sub(t.reviewAt) >= t.cfg.ReviewInterval {
		t.reviewAt = now
		t.expirePools(now, &e)
		t.refuseLate(now, &e)
	}
	t.resubmit(now)
	t.widen(now)
	e.Add(t.plan(now))
	return e
}
