package ledger

import (
	"math"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/assert"
)

// ReportInterval is the interval at which an agent reports its totals in a small fleet.
const ReportInterval = time.Second

// Thresholds for reports and sums: a change below the quantum is sent only after RefreshInterval.
const (
	ReportQuantum   = 20.0 // Cost units per share.
	SumsQuantum     = 50.0 // Cost units per share.
	RefreshInterval = 10 * time.Second
	RepeatInterval  = 30 * time.Second // Interval at which unchanged totals are resent.
	fullRateAgents  = 20               // Fleet size up to which reports are sent every ReportInterval.
	maxReportScale  = 6                // Bounds the growth of the report interval and the quanta in large fleets.
	repeatBatch     = 16               // Accounts checked for resending per report.
)

// reportSlack tolerates timers that fire slightly before the interval has passed.
const reportSlack = 100 * time.Millisecond

// Account holds what one agent knows of a workspace's service, in cost units per share.
type Account struct {
	workspace      cleat.WorkspaceID
	service        float64 // Used at this agent since it started.
	inFlight       float64 // Estimated remaining service of requests running here.
	othersService  float64 // Used at other agents and earlier incarnations of this one, as last received.
	othersInFlight float64 // Estimated remaining service of requests running at other agents, as last received.
	floor          float64 // Service credited after idle time or a long lag.
	partialFloor   float64 // Service credited while the view was partial; reset when the view is complete.
	changed        bool    // Listed in Book.changed.
	reported       cell    // As of the last report.
	reportedFloor  float64
	reportedAt     time.Time // Time of the last report that included the account.
}

// Workspace returns the workspace of the account.
func (a *Account) Workspace() cleat.WorkspaceID { return a.workspace }

// Virtual returns the received service plus the estimated remaining service of
// running requests at all agents.
func (a *Account) Virtual() float64 {
	return a.Received() + a.inFlight + a.othersInFlight
}

// Received returns the service received across the fleet plus the service floor.
func (a *Account) Received() float64 {
	return a.service + a.othersService + a.floor + a.partialFloor
}

// Own returns the service used at this agent.
func (a *Account) Own() float64 { return a.service }

// InFlight returns the estimated remaining service of requests running at this agent.
func (a *Account) InFlight() float64 { return a.inFlight }

// ServiceFloor returns the service credited to the workspace after idle time or a long lag.
func (a *Account) ServiceFloor() float64 { return a.floor }

// Book is an agent's part of the ledger. It is not safe for concurrent use.
type Book struct {
	self             cleat.Peer
	accounts         map[cleat.WorkspaceID]*Account
	accountOrder     []*Account // In order of creation.
	changed          []*Account // Changed since their last report.
	affected         []*Account // Reused by Sums and Expire for their results.
	dueList          []*Account // Reused by dueAccounts for its result.
	lastReportAt     time.Time
	nextRepeat       int              // Position in accountOrder at which the search for accounts to resend continues.
	seq              uint64           // Sequence number of the last report.
	needComplete     bool             // The next report includes every account.
	relay            cleat.InstanceID // Relay whose sums were last accepted.
	relayIncarnation cleat.Incarnation
	lastSumsSeq      uint64 // Sequence number of the last sums from relay.
	ready            bool
	contiguous       bool      // No sums were missed since the last complete ones.
	lastSumsAt       time.Time // Time of the last sums; zero once their in-flight service has expired.
	partial          bool      // The last sums lacked recent reports of agents that may return.
	agentCount       uint32    // Agents in the fleet, as last received.
}

// NewBook returns an empty Book. Its first report is sent even without accounts,
// to register the agent with a relay.
func NewBook(self cleat.Peer) *Book {
	return &Book{self: self, accounts: map[cleat.WorkspaceID]*Account{}, needComplete: true}
}

// Account returns the workspace's account and creates it if absent.
func (b *Book) Account(w cleat.WorkspaceID) *Account {
	if a, ok := b.accounts[w]; ok {
		return a
	}
	a := &Account{workspace: w}
	b.accounts[w] = a
	b.accountOrder = append(b.accountOrder, a)
	return a
}

// Accounts returns all accounts in order of creation. The caller must not modify the slice.
func (b *Book) Accounts() []*Account { return b.accountOrder }

// Charge adds service, which must not be negative, to an account.
func (b *Book) Charge(a *Account, service float64) {
	if !(service >= 0) {
		assert.Fail("totals-never-fall", "charge of %v to %s", service, a.workspace)
		return
	}
	a.service += service
	b.markChanged(a)
}

// Expect adds service, which may be negative, to the account's estimated in-flight service.
func (b *Book) Expect(a *Account, service float64) {
	a.inFlight += service
	if a.inFlight < -roundingTolerance(a.service) {
		assert.Fail("service-accounted", "%s has %v in flight", a.workspace, a.inFlight)
	}
	a.inFlight = max(0, a.inFlight)
	b.markChanged(a)
}

// Raise raises the account's service floor so that its received service is at least v.
func (b *Book) Raise(a *Account, v float64) {
	shortfall := v - a.Received()
	if shortfall <= 0 {
		return
	}
	if b.partial {
		a.partialFloor += shortfall
		return
	}
	a.floor += shortfall
	b.markChanged(a)
}

// Ready reports whether the fleet's totals were received completely, so that a
// workspace with little service here has received little in the fleet.
func (b *Book) Ready() bool { return b.ready }

// Report returns the accounts that changed since the last report, or nil if none is due.
func (b *Book) Report(now time.Time) *cleat.LedgerReport {
	if now.Sub(b.lastReportAt) < time.Duration(reportScale(b.agentCount)*float64(ReportInterval))-reportSlack && !b.needComplete {
		return nil
	}
	list := b.dueAccounts(now)
	if len(list) == 0 && !b.needComplete {
		return nil
	}
	b.seq++
	b.lastReportAt = now
	m := &cleat.LedgerReport{Agent: b.self.Instance, Incarnation: b.self.Incarnation, Seq: b.seq, Complete: b.needComplete}
	m.Totals = make([]cleat.WorkspaceTotal, 0, len(list))
	for _, a := range list {
		a.reported, a.reportedAt = cell{a.service, a.inFlight}, now
		m.Totals = append(m.Totals, a.total(b.needComplete))
	}
	b.needComplete = b.relay == "" // Complete reports are resent until a relay answers.
	return m
}

// dueAccounts returns the accounts to report; other changed accounts remain queued.
func (b *Book) dueAccounts(now time.Time) []*Account {
	if b.needComplete {
		for _, a := range b.changed {
			a.changed = false
		}
		b.changed = b.changed[:0]
		return b.accountOrder
	}
	b.dueList = b.dueList[:0]
	kept := b.changed[:0]
	for _, a := range b.changed {
		if !a.isDue(now, ReportQuantum*reportScale(b.agentCount)) {
			kept = append(kept, a)
			continue
		}
		a.changed, a.reportedAt = false, now
		b.dueList = append(b.dueList, a)
	}
	b.changed = kept
	b.appendRepeats(now)
	return b.dueList
}

// appendRepeats adds unchanged accounts that were not reported for RepeatInterval,
// which repairs the loss of a report between relays.
func (b *Book) appendRepeats(now time.Time) {
	for range min(repeatBatch, len(b.accountOrder)) {
		a := b.accountOrder[b.nextRepeat%len(b.accountOrder)]
		b.nextRepeat++
		if !a.changed && a.service+a.floor > 0 && now.Sub(a.reportedAt) >= RepeatInterval {
			b.dueList = append(b.dueList, a)
		}
	}
}

// isDue reports whether the account changed by at least quantum, or was last
// reported RefreshInterval ago.
func (a *Account) isDue(now time.Time, quantum float64) bool {
	delta := math.Abs(a.service + a.inFlight - a.reported.service - a.reported.inFlight)
	return delta >= quantum || a.floor != a.reportedFloor || now.Sub(a.reportedAt) >= RefreshInterval
}

// Sums merges the fleet's sums and returns the accounts that changed. The slice is
// valid until the next call.
func (b *Book) Sums(now time.Time, m *cleat.LedgerSums) []*Account {
	b.affected = b.affected[:0]
	if !b.acceptSums(m) {
		return nil
	}
	b.lastSumsAt = now
	b.agentCount = m.Agents
	b.setPartial(m.Partial)
	for i := range m.Totals {
		a := b.Account(m.Totals[i].Workspace)
		if a.merge(&m.Totals[i]) {
			b.affected = append(b.affected, a)
		}
	}
	return b.affected
}

// setPartial records whether the view is partial. A floor raised in a partial view
// compensates for the unknown service of missing agents, so it is reset when their
// totals arrive.
func (b *Book) setPartial(partial bool) {
	if b.partial && !partial {
		for _, a := range b.accountOrder {
			if a.partialFloor > 0 {
				a.partialFloor = 0
				b.affected = append(b.affected, a)
			}
		}
	}
	b.partial = partial
}

// acceptSums reports whether the sums are newer than the last ones from their relay,
// and decides whether the relay needs a complete report.
func (b *Book) acceptSums(m *cleat.LedgerSums) bool {
	switch {
	case m.Relay != b.relay || m.Incarnation > b.relayIncarnation:
		b.relay, b.relayIncarnation = m.Relay, m.Incarnation
		b.needComplete, b.contiguous = true, false
	case m.Incarnation < b.relayIncarnation || (m.Seq <= b.lastSumsSeq && !m.Complete):
		return false
	case m.Seq > b.lastSumsSeq+1 && !m.Complete: // Sums were missed.
		b.needComplete, b.contiguous = true, false
	}
	b.contiguous = b.contiguous || m.Complete
	if m.AckedSeq == 0 { // The relay has no report of this agent or missed one.
		b.needComplete = true
	}
	b.lastSumsSeq = m.Seq
	b.ready = b.ready || (m.Ready && b.contiguous)
	return true
}

// Expire clears the in-flight service of other agents when no sums arrived for
// InFlightTimeout, and returns the accounts that changed. The slice is valid until
// the next call.
func (b *Book) Expire(now time.Time) []*Account {
	b.affected = b.affected[:0]
	if b.lastSumsAt.IsZero() || now.Sub(b.lastSumsAt) < InFlightTimeout {
		return nil
	}
	b.lastSumsAt = time.Time{}
	for _, a := range b.accountOrder {
		if a.othersInFlight > 0 {
			a.othersInFlight = 0
			b.affected = append(b.affected, a)
		}
	}
	return b.affected
}

func (b *Book) markChanged(a *Account) {
	if !a.changed {
		a.changed = true
		b.changed = append(b.changed, a)
	}
}

func (a *Account) total(complete bool) cleat.WorkspaceTotal {
	a.reportedFloor = a.floor
	t := cleat.WorkspaceTotal{
		Workspace: a.workspace, Service: math.Floor(a.service),
		InFlight: math.Round(a.inFlight), ServiceFloor: math.Ceil(a.floor),
	}
	if complete {
		t.OthersService = math.Floor(a.othersService)
	}
	return t
}

// merge takes the maximum of each counter: a relay may not have every report, so
// the largest value is the closest to the actual total. The in-flight gauge is
// replaced.
func (a *Account) merge(t *cleat.WorkspaceTotal) bool {
	before := a.Virtual()
	a.othersService = max(a.othersService, t.Service)
	a.othersInFlight = t.InFlight
	a.floor = max(a.floor, t.ServiceFloor)
	return a.Virtual() != before
}

// reportScale returns the factor by which the report interval and the quanta grow in
// a fleet of n agents, which keeps the traffic of each instance nearly constant.
func reportScale(n uint32) float64 {
	return min(max(1, float64(n)/fullRateAgents), maxReportScale)
}

// roundingTolerance bounds the rounding error of a long sum.
func roundingTolerance(total float64) float64 {
	return 1e-6 + total*1e-9
}
