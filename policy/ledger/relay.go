package ledger

import (
	"time"

	"marigoldcleat.example/cleat"
)

// Bounds of a relay's state and messages.
const (
	MaxSumsTotals = 96 // Workspaces in one LedgerSums; the rest follow in the next.
	AdoptWindow   = 10 * time.Second
	FlightBound   = 10 * time.Second // After which the level of a silent agent counts no more.
	FoldAfter     = 10 * time.Minute // After a newer incarnation was heard.
	MaxLag        = 4000.0           // Cost units for one share by which a workspace that is served may lag.
	FreshBound    = 3 * time.Second  // Within which all agents must have reported before a lag is limited.
	AbsentBound   = 2 * time.Hour    // After which a silent agent is not waited for.
	SilentBound   = 24 * time.Hour   // After which a silent agent's totals are folded.
)

// Relay merges agents' totals at a control instance; all of it is soft state.
// It is not safe for concurrent use.
type Relay struct {
	self    cleat.Peer
	started time.Time
	index   map[cleat.WorkspaceID]int
	names   []cleat.WorkspaceID
	sums    []cell    // Over rows and base.
	base    []float64 // Service known to exist but held in no row.
	lifts   []float64
	rows    map[cleat.InstanceID][]*row // Newest incarnation last.
	order   []cleat.InstanceID          // By first report.
	expired time.Time
	level   time.Time // When lags were last looked at.
	folded  map[cleat.InstanceID]cleat.Incarnation
	feeds   map[cleat.InstanceID]*feed
}

// NewRelay returns an empty relay.
func NewRelay(self cleat.Peer) *Relay {
	return &Relay{
		self:   self,
		index:  map[cleat.WorkspaceID]int{},
		rows:   map[cleat.InstanceID][]*row{},
		folded: map[cleat.InstanceID]cleat.Incarnation{},
		feeds:  map[cleat.InstanceID]*feed{},
	}
}

// Report merges an agent's report, which may be doubled, late or out of order,
// and returns whether it was news that other relays should hear.
func (r *Relay) Report(now time.Time, m *cleat.LedgerReport) bool {
	if r.started.IsZero() {
		r.started = now
	}
	if m.Incarnation <= r.folded[m.Agent] {
		return false
	}
	w := r.row(m)
	w.heard = now
	if f, ok := r.feeds[m.Agent]; ok {
		f.ackDue = f.ackDue || w.gap
		if m.Complete {
			f.reset()
		}
	}
	if m.Seq <= w.seq && !(m.Complete && w.gap) {
		return false
	}
	switch {
	case m.Complete:
		w.gap = false
	case m.Seq != w.seq+1:
		w.gap = true
	}
	w.seq = max(w.seq, m.Seq)
	for i := range m.Totals {
		r.merge(w, &m.Totals[i], m.Complete || m.Seq >= w.seq)
	}
	w.ended = w.superseded
	if m.Complete && now.Sub(r.started) <= AdoptWindow {
		r.adopt(w, m.Totals)
	}
	return true
}

// Whole returns all that the relay holds, as reports that another relay can
// merge; it is sent when a link between relays comes up.
func (r *Relay) Whole() []*cleat.LedgerReport {
	var list []*cleat.LedgerReport
	for _, id := range r.order {
		for _, w := range r.rows[id] {
			list = append(list, r.report(w))
		}
	}
	return list
}

// Total returns the fleet's service of a workspace, as known here.
func (r *Relay) Total(w cleat.WorkspaceID) cleat.WorkspaceTotal {
	t := cleat.WorkspaceTotal{Workspace: w}
	if i, ok := r.index[w]; ok {
		t.Service, t.InFlight, t.ServiceFloor = r.sums[i].service+max(0, r.base[i]), r.sums[i].inFlight, r.lifts[i]
	}
	return t
}

// Len returns the number of totals held.
func (r *Relay) Len() int {
	n := 0
	for _, rows := range r.rows {
		n += len(rows)
	}
	return n * len(r.names)
}

// merge raises one cell; a cell heard for the first time, of an agent older
// than this relay, leaves the base, which already counted it.
func (r *Relay) merge(w *row, t *cleat.WorkspaceTotal, latest bool) {
	i := r.place(t.Workspace)
	for len(w.cells) <= i {
		w.cells = append(w.cells, cell{})
	}
	c := &w.cells[i]
	if *c == (cell{}) && w.incarnation < r.self.Incarnation {
		r.base[i] -= min(max(0, r.base[i]), t.Service)
	}
	if t.Service > c.service {
		r.sums[i].service += t.Service - c.service
		c.service = t.Service
	}
	if latest && !w.superseded {
		r.sums[i].inFlight += t.InFlight - c.inFlight
		c.inFlight = t.InFlight
	}
	r.lifts[i] = max(r.lifts[i], t.ServiceFloor)
}

func (r *Relay) place(w cleat.WorkspaceID) int {
	if i, ok := r.index[w]; ok {
		return i
	}
	i := len(r.names)
	r.index[w] = i
	r.names = append(r.names, w)
	r.sums = append(r.sums, cell{})
	r.base = append(r.base, 0)
	r.lifts = append(r.lifts, 0)
	return i
}
