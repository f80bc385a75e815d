package ledger

import (
	"math"
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
	FreshBound    = 3 * time.Second  // Within which all agents must have reported before a lag is forgiven.
	AbsentBound   = 2 * time.Hour    // After which a silent agent is not waited for.
	SilentBound   = 24 * time.Hour   // After which a silent agent's totals are folded.
)

// cell is one agent's total for one workspace.
type cell struct {
	service  float64
	inFlight float64
}

// row is what one incarnation of an agent reported.
type row struct {
	agent       cleat.InstanceID
	incarnation cleat.Incarnation
	seq         uint64
	gap         bool // A report was missed; the whole is needed.
	cells       []cell
	heard       time.Time
	superseded  bool
	landed      bool // Its levels count no more.
}

// feed is what one agent was told.
type feed struct {
	seq    uint64
	sent   []cell
	lifts  []float64
	at     []time.Time
	next   int // Workspace to go on with.
	ackDue bool
	ready  bool
	sentAt time.Time
	whole  bool // The next sums are the first since all was forgotten.
}

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
		if m.Whole {
			f.reset()
		}
	}
	if m.Seq <= w.seq && !(m.Whole && w.gap) {
		return false
	}
	switch {
	case m.Whole:
		w.gap = false
	case m.Seq != w.seq+1:
		w.gap = true
	}
	w.seq = max(w.seq, m.Seq)
	for i := range m.Totals {
		r.merge(w, &m.Totals[i], m.Whole || m.Seq >= w.seq)
	}
	w.landed = w.superseded
	if m.Whole && now.Sub(r.started) <= AdoptWindow {
		r.adopt(w, m.Totals)
	}
	return true
}

// Sums returns what changed since the last sums to an agent, without the
// agent's own present total, or nil when nothing did.
func (r *Relay) Sums(now time.Time, agent cleat.InstanceID) *cleat.LedgerSums {
	r.expire(now)
	r.forgive(now)
	f, ok := r.feeds[agent]
	if !ok {
		f = &feed{ackDue: true, whole: true}
		r.feeds[agent] = f
	}
	f.grow(len(r.names))
	own := r.newest(agent)
	if own != nil && own.gap {
		f.ackDue = true
	}
	if now.Sub(f.sentAt) < time.Duration(scale(r.agents())*float64(ReportInterval))-reportSlack && !f.ackDue && !f.whole {
		return nil
	}
	totals := r.changed(now, f, own)
	ready := len(totals) < MaxSumsTotals && now.Sub(r.started) > AdoptWindow && !r.started.IsZero()
	if len(totals) == 0 && !f.ackDue && ready == f.ready {
		return nil
	}
	f.seq++
	f.ackDue, f.ready = false, ready
	m := &cleat.LedgerSums{
		Relay: r.self.Instance, Incarnation: r.self.Incarnation,
		Seq: f.seq, Whole: f.whole, Ready: ready, Agents: r.agents(), Totals: totals,
	}
	f.whole, f.sentAt = false, now
	if own != nil && !own.gap {
		m.Seen = own.seq
	}
	return m
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

// Unlink forgets what an agent was told, because its link broke; the numbers of
// its sums go on, so that it takes the next ones.
func (r *Relay) Unlink(agent cleat.InstanceID) {
	if f, ok := r.feeds[agent]; ok {
		f.reset()
	}
}

// Forget folds the totals of ended incarnations into the sums' base and drops
// what is held of them one by one.
func (r *Relay) Forget(now time.Time) {
	kept := r.order[:0]
	for _, id := range r.order {
		rows := r.rows[id][:0]
		for _, w := range r.rows[id] {
			if !w.stale(now) {
				rows = append(rows, w)
				continue
			}
			r.fold(w)
		}
		if len(rows) == 0 {
			delete(r.rows, id)
			delete(r.feeds, id)
			continue
		}
		r.rows[id] = rows
		kept = append(kept, id)
	}
	r.order = kept
}

// Total returns the fleet's service of a workspace, as known here.
func (r *Relay) Total(w cleat.WorkspaceID) cleat.WorkspaceTotal {
	t := cleat.WorkspaceTotal{Workspace: w}
	if i, ok := r.index[w]; ok {
		t.Service, t.InFlight, t.Lift = r.sums[i].service+max(0, r.base[i]), r.sums[i].inFlight, r.lifts[i]
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

func (r *Relay) row(m *cleat.LedgerReport) *row {
	rows := r.rows[m.Agent]
	for _, w := range rows {
		if w.incarnation == m.Incarnation {
			return w
		}
	}
	w := &row{agent: m.Agent, incarnation: m.Incarnation}
	if f, ok := r.feeds[m.Agent]; ok {
		f.reset() // The new incarnation was told nothing.
	}
	if len(rows) == 0 {
		r.order = append(r.order, m.Agent)
	}
	at := len(rows)
	for at > 0 && rows[at-1].incarnation > m.Incarnation {
		at--
	}
	rows = append(rows, nil)
	copy(rows[at+1:], rows[at:])
	rows[at] = w
	for _, older := range rows[:len(rows)-1] {
		older.superseded = true
		r.land(older)
	}
	r.rows[m.Agent] = rows
	return w
}

func (r *Relay) newest(agent cleat.InstanceID) *row {
	rows := r.rows[agent]
	if len(rows) == 0 {
		return nil
	}
	return rows[len(rows)-1]
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
	r.lifts[i] = max(r.lifts[i], t.Lift)
}

// adopt takes over what an agent knows of service that no row here holds: the
// totals of agents that are gone, or have not yet reported to a new relay.
func (r *Relay) adopt(w *row, totals []cleat.WorkspaceTotal) {
	for i := range totals {
		t := &totals[i]
		p := r.place(t.Workspace)
		known := t.Known + w.cells[p].service
		held := r.sums[p].service + max(0, r.base[p])
		if known > held {
			r.base[p] = max(0, r.base[p]) + known - held
		}
	}
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

// changed lists at most MaxSumsTotals workspaces that moved, going round.
func (r *Relay) changed(now time.Time, f *feed, own *row) []cleat.WorkspaceTotal {
	var totals []cleat.WorkspaceTotal
	n := len(r.names)
	for step := 0; step < n && len(totals) < MaxSumsTotals; step++ {
		i := f.next % n
		f.next = i + 1
		c := r.others(i, own)
		moved := math.Abs(c.service + c.inFlight - f.sent[i].service - f.sent[i].inFlight)
		late := moved > 0 && now.Sub(f.at[i]) >= RefreshInterval
		if moved < SumsQuantum*scale(r.agents()) && r.lifts[i] == f.lifts[i] && !late {
			continue
		}
		t := cleat.WorkspaceTotal{Workspace: r.names[i], Service: c.service, InFlight: c.inFlight}
		if r.lifts[i] != f.lifts[i] {
			t.Lift = r.lifts[i]
		}
		f.sent[i], f.lifts[i], f.at[i] = c, r.lifts[i], now
		totals = append(totals, t)
	}
	return totals
}

// agents returns how many agents reported here, through other relays included.
func (r *Relay) agents() uint32 { return uint32(len(r.order)) }

func (r *Relay) others(i int, own *row) cell {
	c := cell{service: r.sums[i].service + r.base[i], inFlight: max(0, r.sums[i].inFlight)}
	if own != nil && i < len(own.cells) {
		c.service -= own.cells[i].service
		c.inFlight = max(0, c.inFlight-own.cells[i].inFlight)
	}
	return c
}

func (r *Relay) report(w *row) *cleat.LedgerReport {
	m := &cleat.LedgerReport{Agent: w.agent, Incarnation: w.incarnation, Seq: w.seq, Whole: true}
	for i, c := range w.cells {
		if c == (cell{}) && r.lifts[i] == 0 {
			continue
		}
		m.Totals = append(m.Totals, cleat.WorkspaceTotal{
			Workspace: r.names[i], Service: c.service, InFlight: c.inFlight, Lift: r.lifts[i],
		})
	}
	return m
}

// fold drops a row and leaves what it counted in the sums.
func (r *Relay) fold(w *row) {
	r.folded[w.agent] = max(r.folded[w.agent], w.incarnation)
}

// land stops counting what a row expects of running work.
func (r *Relay) land(w *row) {
	for i := range w.cells {
		r.sums[i].inFlight -= w.cells[i].inFlight
		w.cells[i].inFlight = 0
	}
	w.landed = true
}

// expire lands the rows of agents that are silent.
func (r *Relay) expire(now time.Time) {
	if now.Sub(r.expired) < time.Second {
		return
	}
	r.expired = now
	for _, id := range r.order {
		if w := r.newest(id); !w.landed && now.Sub(w.heard) > FlightBound {
			r.land(w)
		}
	}
}

// forgive bounds how far a workspace that is being served lags behind another, so
// that what a long cut did is not repaid by shutting others out for as long. It
// waits until every agent was heard: a partial view would raise who does not lag.
func (r *Relay) forgive(now time.Time) {
	if now.Sub(r.level) < time.Second || now.Sub(r.started) < AdoptWindow {
		return
	}
	r.level = now
	if !r.hearsAll(now) {
		return
	}
	most := math.Inf(-1)
	for i := range r.names {
		if r.sums[i].inFlight > 0 {
			most = max(most, r.received(i))
		}
	}
	for i := range r.names {
		if short := most - MaxLag - r.received(i); r.sums[i].inFlight > 0 && short > 0 {
			r.lifts[i] += math.Ceil(short)
		}
	}
}

func (r *Relay) received(i int) float64 {
	return r.sums[i].service + r.base[i] + r.lifts[i]
}

// hearsAll reports whether no agent is silent that may come back.
func (r *Relay) hearsAll(now time.Time) bool {
	for _, id := range r.order {
		quiet := now.Sub(r.newest(id).heard)
		if quiet > FreshBound && quiet < AbsentBound {
			return false
		}
	}
	return true
}

func (w *row) stale(now time.Time) bool {
	quiet := now.Sub(w.heard)
	return (w.superseded && quiet > FoldAfter) || quiet > SilentBound
}

func (f *feed) grow(n int) {
	for len(f.sent) < n {
		f.sent = append(f.sent, cell{})
		f.lifts = append(f.lifts, 0)
		f.at = append(f.at, time.Time{})
	}
}

func (f *feed) reset() {
	clear(f.sent)
	clear(f.lifts)
	clear(f.at)
	f.whole = true
	f.ackDue = true
}
