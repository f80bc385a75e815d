package ledger

import (
	"math"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/assert"
)

// ReportInterval is how often an agent reports its totals.
const ReportInterval = time.Second

// Thresholds of what is worth a report or sums before RefreshInterval.
const (
	ReportQuantum   = 20.0 // Cost units for one share.
	SumsQuantum     = 50.0 // Cost units for one share.
	RefreshInterval = 10 * time.Second
	RepeatInterval  = 30 * time.Second // After which unchanged totals are reported again.
	smallFleet      = 20               // Agents up to which reports go out at ReportInterval.
	maxScale        = 6                // Of the interval and the quanta in larger fleets.
	repeatStep      = 16               // Accounts looked at for that in one report.
)

// reportSlack lets a report through that a timer asks for a little early.
const reportSlack = 100 * time.Millisecond

// Account is what one agent knows of a workspace's service, all in cost units for one share.
type Account struct {
	workspace    cleat.WorkspaceID
	service      float64 // Used at this agent's present incarnation.
	inFlight     float64 // Estimated rest of what runs here.
	others       float64 // Used at all others, as last heard.
	elsewhere    float64 // Estimated rest of what runs at all others, as last heard.
	lift         float64
	private      float64 // Raised while the view was partial; ends with that.
	changed      bool
	reported     cell
	liftReported float64
	at           time.Time // Of the last report that named it.
}

// Workspace returns whose account it is.
func (a *Account) Workspace() cleat.WorkspaceID { return a.workspace }

// Virtual returns the service received over the fleet and lifts, with the
// estimated rest of running work.
func (a *Account) Virtual() float64 {
	return a.Received() + a.inFlight + a.elsewhere
}

// Received returns the service received over the fleet and lifts.
func (a *Account) Received() float64 {
	return a.service + a.others + a.lift + a.private
}

// Own returns the service used at this agent.
func (a *Account) Own() float64 { return a.service }

// InFlight returns the estimated rest of what runs here.
func (a *Account) InFlight() float64 { return a.inFlight }

// Lift returns how far the workspace was raised on its returns from idle.
func (a *Account) Lift() float64 { return a.lift }

// Book is an agent's part of the ledger; it is not safe for concurrent use.
type Book struct {
	self     cleat.Peer
	accounts map[cleat.WorkspaceID]*Account
	order    []*Account // By creation.
	changed  []*Account
	touched  []*Account // Scratch for Sums.
	list     []*Account // Scratch for reports.
	reportAt time.Time
	next     int // Account to go on with repeating.
	seq      uint64
	whole    bool
	relay    cleat.InstanceID
	life     cleat.Incarnation // The relay's.
	heard    uint64            // Last sums of that relay.
	ready    bool
	unbroken bool // No sums of the relay were missed since its last whole ones.
	heardAt  time.Time
	partial  bool   // The relay misses agents that may come back.
	agents   uint32 // In the fleet, as last heard.
}

// NewBook returns an empty book of an agent, whose first report names it to a
// relay even when it is empty.
func NewBook(self cleat.Peer) *Book {
	return &Book{self: self, accounts: map[cleat.WorkspaceID]*Account{}, whole: true}
}

// Account returns the workspace's account, made when absent.
func (b *Book) Account(w cleat.WorkspaceID) *Account {
	if a, ok := b.accounts[w]; ok {
		return a
	}
	a := &Account{workspace: w}
	b.accounts[w] = a
	b.order = append(b.order, a)
	return a
}

// Accounts returns all accounts in the order they were made; the slice is not to be changed.
func (b *Book) Accounts() []*Account { return b.order }

// Charge adds service to an account; it must not be negative.
func (b *Book) Charge(a *Account, service float64) {
	if !(service >= 0) {
		assert.Fail("totals-never-fall", "charge of %v to %s", service, a.workspace)
		return
	}
	a.service += service
	b.mark(a)
}

// Expect changes the estimated rest of what runs here by service.
func (b *Book) Expect(a *Account, service float64) {
	a.inFlight += service
	if a.inFlight < -slack(a.service) {
		assert.Fail("service-accounted", "%s has %v in flight", a.workspace, a.inFlight)
	}
	a.inFlight = max(0, a.inFlight)
	b.mark(a)
}

// Raise lifts the account so that its received service is at least v.
func (b *Book) Raise(a *Account, v float64) {
	short := v - a.Received()
	if short <= 0 {
		return
	}
	if b.partial {
		a.private += short
		return
	}
	a.lift += short
	b.mark(a)
}

// Ready reports whether the fleet's totals were heard in full, so that a
// workspace with little service here is known to have received little.
func (b *Book) Ready() bool { return b.ready }

// Report returns what changed since the last report, or nil.
func (b *Book) Report(now time.Time) *cleat.LedgerReport {
	if now.Sub(b.reportAt) < time.Duration(scale(b.agents)*float64(ReportInterval))-reportSlack && !b.whole {
		return nil
	}
	list := b.due(now)
	if len(list) == 0 && !b.whole {
		return nil
	}
	b.seq++
	b.reportAt = now
	m := &cleat.LedgerReport{Agent: b.self.Instance, Incarnation: b.self.Incarnation, Seq: b.seq, Complete: b.whole}
	m.Totals = make([]cleat.WorkspaceTotal, 0, len(list))
	for _, a := range list {
		a.reported, a.at = cell{a.service, a.inFlight}, now
		m.Totals = append(m.Totals, a.total(b.whole))
	}
	b.whole = b.relay == "" // Until a relay answers.
	return m
}

// due lists the accounts to report and keeps the others that changed for later.
func (b *Book) due(now time.Time) []*Account {
	if b.whole {
		for _, a := range b.changed {
			a.changed = false
		}
		b.changed = b.changed[:0]
		return b.order
	}
	b.list = b.list[:0]
	kept := b.changed[:0]
	for _, a := range b.changed {
		if !a.due(now, ReportQuantum*scale(b.agents)) {
			kept = append(kept, a)
			continue
		}
		a.changed, a.at = false, now
		b.list = append(b.list, a)
	}
	b.changed = kept
	b.repeat(now)
	return b.list
}

// repeat adds the next accounts that were not reported for long, so that a
// report lost between relays is made good.
func (b *Book) repeat(now time.Time) {
	for range min(repeatStep, len(b.order)) {
		a := b.order[b.next%len(b.order)]
		b.next++
		if !a.changed && a.service+a.lift > 0 && now.Sub(a.at) >= RepeatInterval {
			b.list = append(b.list, a)
		}
	}
}

// due reports whether the account moved enough, or long ago.
func (a *Account) due(now time.Time, quantum float64) bool {
	moved := math.Abs(a.service + a.inFlight - a.reported.service - a.reported.inFlight)
	return moved >= quantum || a.lift != a.liftReported || now.Sub(a.at) >= RefreshInterval
}

// Sums takes in the fleet's sums and returns the accounts that they moved; the
// slice is valid until the next call.
func (b *Book) Sums(now time.Time, m *cleat.LedgerSums) []*Account {
	b.touched = b.touched[:0]
	if !b.fresh(m) {
		return nil
	}
	b.heardAt = now
	b.agents = m.Agents
	b.see(m.Partial)
	for i := range m.Totals {
		a := b.Account(m.Totals[i].Workspace)
		if a.merge(&m.Totals[i]) {
			b.touched = append(b.touched, a)
		}
	}
	return b.touched
}

// see notes whether the view is partial; what was raised in a partial view
// stood for service that was not heard of, and ends with it.
func (b *Book) see(partial bool) {
	if b.partial && !partial {
		for _, a := range b.order {
			if a.private > 0 {
				a.private = 0
				b.touched = append(b.touched, a)
			}
		}
	}
	b.partial = partial
}

// fresh tells whether the sums are newer than those heard of their relay, and
// decides whether the relay needs the whole of the totals.
func (b *Book) fresh(m *cleat.LedgerSums) bool {
	switch {
	case m.Relay != b.relay || m.Incarnation > b.life:
		b.relay, b.life = m.Relay, m.Incarnation
		b.whole, b.unbroken = true, false
	case m.Incarnation < b.life || (m.Seq <= b.heard && !m.Complete):
		return false
	case m.Seq > b.heard+1 && !m.Complete:
		b.whole, b.unbroken = true, false
	}
	b.unbroken = b.unbroken || m.Complete
	if m.AckedSeq == 0 {
		b.whole = true
	}
	b.heard = m.Seq
	b.ready = b.ready || (m.Ready && b.unbroken)
	return true
}

// Expire drops the levels heard of others when no relay was heard for
// FlightBound, and returns the accounts that it moved.
func (b *Book) Expire(now time.Time) []*Account {
	b.touched = b.touched[:0]
	if b.heardAt.IsZero() || now.Sub(b.heardAt) < FlightBound {
		return nil
	}
	b.heardAt = time.Time{}
	for _, a := range b.order {
		if a.elsewhere > 0 {
			a.elsewhere = 0
			b.touched = append(b.touched, a)
		}
	}
	return b.touched
}

func (b *Book) mark(a *Account) {
	if !a.changed {
		a.changed = true
		b.changed = append(b.changed, a)
	}
}

func (a *Account) total(whole bool) cleat.WorkspaceTotal {
	a.liftReported = a.lift
	t := cleat.WorkspaceTotal{
		Workspace: a.workspace, Service: math.Floor(a.service),
		InFlight: math.Round(a.inFlight), ServiceFloor: math.Ceil(a.lift),
	}
	if whole {
		t.OthersService = math.Floor(a.others)
	}
	return t
}

// merge takes each counter by maximum: what relays know is a part of the truth,
// so the largest is the nearest to it. The level is replaced.
func (a *Account) merge(t *cleat.WorkspaceTotal) bool {
	before := a.Virtual()
	a.others = max(a.others, t.Service)
	a.elsewhere = t.InFlight
	a.lift = max(a.lift, t.ServiceFloor)
	return a.Virtual() != before
}

// scale is how much rarer and coarser reports are in a fleet of n agents, so that
// what each instance sends and hears stays nearly the same.
func scale(n uint32) float64 {
	return min(max(1, float64(n)/smallFleet), maxScale)
}

// slack allows for the rounding of long sums.
func slack(total float64) float64 {
	return 1e-6 + total*1e-9
}
