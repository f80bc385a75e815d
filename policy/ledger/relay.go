package ledger

import (
	"time"

	"marigoldcleat.example/cleat"
)

// Limits on a relay's state and messages.
const (
	MaxSumsTotals         = 96               // Workspaces in one LedgerSums; the rest are deferred to the next.
	AdoptWindow           = 10 * time.Second // Time after the first report during which agents' totals are adopted.
	InFlightTimeout       = 10 * time.Second // How long after the last report of an agent, or the last sums, in-flight service is discarded.
	SupersededRetention   = 10 * time.Minute // How long after its last report a superseded incarnation is folded.
	MaxLag                = 4000.0           // Cost units per share that a workspace with running requests may lag behind another.
	FreshnessWindow       = 3 * time.Second  // Lags are limited only if every agent has reported within this time.
	AbsenceTimeout        = 2 * time.Hour    // An agent that has not reported for this long is exempt from FreshnessWindow.
	UnresponsiveRetention = 24 * time.Hour   // How long after its last report any incarnation is folded.
)

// Relay merges agents' totals at a control instance. All of its state is soft: it is
// rebuilt from the agents' reports. It is not safe for concurrent use.
type Relay struct {
	self              cleat.Peer
	started           time.Time                 // Time of the first report.
	index             map[cleat.WorkspaceID]int // Of each workspace, into names, sums, unattributed and floors.
	names             []cleat.WorkspaceID
	sums              []cell                      // Over all rows, folded ones included.
	unattributed      []float64                   // Service known from agents but held in no row.
	floors            []float64                   // Service floors.
	rows              map[cleat.InstanceID][]*row // By ascending incarnation.
	agentOrder        []cleat.InstanceID          // In order of first report.
	inFlightCheckedAt time.Time
	lagCheckedAt      time.Time
	foldedThrough     map[cleat.InstanceID]cleat.Incarnation // Highest folded incarnation.
	feeds             map[cleat.InstanceID]*feed
}

// NewRelay returns an empty relay.
func NewRelay(self cleat.Peer) *Relay {
	return &Relay{
		self:          self,
		index:         map[cleat.WorkspaceID]int{},
		rows:          map[cleat.InstanceID][]*row{},
		foldedThrough: map[cleat.InstanceID]cleat.Incarnation{},
		feeds:         map[cleat.InstanceID]*feed{},
	}
}

// MergeReport merges an agent's report, which may be duplicated, late or out of order,
// and reports whether it must be forwarded to other relays.
func (r *Relay) MergeReport(now time.Time, m *cleat.LedgerReport) bool {
	if r.started.IsZero() {
		r.started = now
	}
	if m.Incarnation <= r.foldedThrough[m.Agent] {
		return false
	}
	w := r.rowFor(m)
	w.lastReportAt = now
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
	w.inFlightDiscarded = w.superseded
	if m.Complete && now.Sub(r.started) <= AdoptWindow {
		r.adoptTotals(w, m.Totals)
	}
	return true
}

// CompleteReports returns the relay's state as complete reports for another relay to merge.
// It is sent when a link between relays comes up.
func (r *Relay) CompleteReports() []*cleat.LedgerReport {
	var list []*cleat.LedgerReport
	for _, id := range r.agentOrder {
		for _, w := range r.rows[id] {
			list = append(list, r.completeReport(w))
		}
	}
	return list
}

// Total returns the fleet's total for a workspace, as known here.
func (r *Relay) Total(w cleat.WorkspaceID) cleat.WorkspaceTotal {
	t := cleat.WorkspaceTotal{Workspace: w}
	if i, ok := r.index[w]; ok {
		t.Service, t.InFlight, t.ServiceFloor = r.sums[i].service+max(0, r.unattributed[i]), r.sums[i].inFlight, r.floors[i]
	}
	return t
}

// Len returns an upper bound of the totals held: rows times workspaces.
func (r *Relay) Len() int {
	n := 0
	for _, rows := range r.rows {
		n += len(rows)
	}
	return n * len(r.names)
}

// merge updates a row's cell and the sums from a reported total. The first total from
// an incarnation older than this relay is deducted from the unattributed service,
// which already includes it. In-flight service is replaced only if latest is set.
func (r *Relay) merge(w *row, t *cleat.WorkspaceTotal, latest bool) {
	i := r.workspaceIndex(t.Workspace)
	for len(w.cells) <= i {
		w.cells = append(w.cells, cell{})
	}
	c := &w.cells[i]
	if *c == (cell{}) && w.incarnation < r.self.Incarnation {
		r.unattributed[i] -= min(max(0, r.unattributed[i]), t.Service)
	}
	if t.Service > c.service {
		r.sums[i].service += t.Service - c.service
		c.service = t.Service
	}
	if latest && !w.superseded {
		r.sums[i].inFlight += t.InFlight - c.inFlight
		c.inFlight = t.InFlight
	}
	r.floors[i] = max(r.floors[i], t.ServiceFloor)
}

func (r *Relay) workspaceIndex(w cleat.WorkspaceID) int {
	if i, ok := r.index[w]; ok {
		return i
	}
	i := len(r.names)
	r.index[w] = i
	r.names = append(r.names, w)
	r.sums = append(r.sums, cell{})
	r.unattributed = append(r.unattributed, 0)
	r.floors = append(r.floors, 0)
	return i
}
