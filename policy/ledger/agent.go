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
	changed        bool    // Listed in AgentLedger.changed.
	reported       cell    // As of the last report.
	reportedFloor  float64
	reportedAt     time.Time // Time of the last report that included the account.
}

// Workspace returns the workspace of the account.
func (a *Account) Workspace() cleat.WorkspaceID { return a.workspace }

// VirtualService returns the received service plus the estimated remaining service of
// running requests at all agents.
func (a *Account) VirtualService() float64 {
	return a.Received() + a.inFlight + a.othersInFlight
}

// Received returns the service received across the fleet plus the service floor.
func (a *Account) Received() float64 {
	return a.service + a.othersService + a.floor + a.partialFloor
}

// OwnService returns the service used at this agent.
func (a *Account) OwnService() float64 { return a.service }

// InFlight returns the estimated remaining service of requests running at this agent.
func (a *Account) InFlight() float64 { return a.inFlight }

// ServiceFloor returns the service credited to the workspace after idle time or a long lag.
func (a *Account) ServiceFloor() float64 { return a.floor }

// AgentLedger is an agent's part of the ledger. It is not safe for concurrent use.
type AgentLedger struct {
	self             cleat.Peer
	accounts         map[cleat.WorkspaceID]*Account
	accountOrder     []*Account // In order of creation.
	changed          []*Account // Changed since their last report.
	affected         []*Account // Reused by MergeSums and ExpireInFlight for their results.
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

// NewAgentLedger returns an empty AgentLedger. Its first report is sent even without accounts,
// to register the agent with a relay.
func NewAgentLedger(self cleat.Peer) *AgentLedger {
	return &AgentLedger{self: self, accounts: map[cleat.WorkspaceID]*Account{}, needComplete: true}
}

// Account returns the workspace's account and creates it if absent.
func (l *AgentLedger) Account(w cleat.WorkspaceID) *Account {
	if a, ok := l.accounts[w]; ok {
		return a
	}
	a := &Account{workspace: w}
	l.accounts[w] = a
	l.accountOrder = append(l.accountOrder, a)
	return a
}

// Accounts returns all accounts in order of creation. The caller must not modify the slice.
func (l *AgentLedger) Accounts() []*Account { return l.accountOrder }

// Charge adds service, which must not be negative, to an account.
func (l *AgentLedger) Charge(a *Account, service float64) {
	if !(service >= 0) {
		assert.Fail("totals-never-fall", "charge of %v to %s is negative or not a number", service, a.workspace)
		return
	}
	a.service += service
	l.markChanged(a)
}

// AddInFlight adds service, which may be negative, to the account's estimated in-flight service.
func (l *AgentLedger) AddInFlight(a *Account, service float64) {
	a.inFlight += service
	if a.inFlight < -roundingTolerance(a.service) {
		assert.Fail("service-accounted", "%s has negative service in flight: %v", a.workspace, a.inFlight)
	}
	a.inFlight = max(0, a.inFlight)
	l.markChanged(a)
}

// RaiseFloor raises the account's service floor so that its received service is at least v.
func (l *AgentLedger) RaiseFloor(a *Account, v float64) {
	shortfall := v - a.Received()
	if shortfall <= 0 {
		return
	}
	if l.partial {
		a.partialFloor += shortfall
		return
	}
	a.floor += shortfall
	l.markChanged(a)
}

// Ready reports whether the fleet's totals were received completely, so that a
// workspace with little service here has received little in the fleet.
func (l *AgentLedger) Ready() bool { return l.ready }

// NextReport returns the accounts that changed since the last report, or nil if none is due.
func (l *AgentLedger) NextReport(now time.Time) *cleat.LedgerReport {
	if now.Sub(l.lastReportAt) < time.Duration(reportScale(l.agentCount)*float64(ReportInterval))-reportSlack && !l.needComplete {
		return nil
	}
	list := l.dueAccounts(now)
	if len(list) == 0 && !l.needComplete {
		return nil
	}
	l.seq++
	l.lastReportAt = now
	m := &cleat.LedgerReport{Agent: l.self.Instance, Incarnation: l.self.Incarnation, Seq: l.seq, Complete: l.needComplete}
	m.Totals = make([]cleat.WorkspaceTotal, 0, len(list))
	for _, a := range list {
		a.reported, a.reportedAt = cell{a.service, a.inFlight}, now
		m.Totals = append(m.Totals, a.total(l.needComplete))
	}
	l.needComplete = l.relay == "" // Complete reports are resent until a relay answers.
	return m
}

// dueAccounts returns the accounts to report; other changed accounts remain queued.
func (l *AgentLedger) dueAccounts(now time.Time) []*Account {
	if l.needComplete {
		for _, a := range l.changed {
			a.changed = false
		}
		l.changed = l.changed[:0]
		return l.accountOrder
	}
	l.dueList = l.dueList[:0]
	kept := l.changed[:0]
	for _, a := range l.changed {
		if !a.isDue(now, ReportQuantum*reportScale(l.agentCount)) {
			kept = append(kept, a)
			continue
		}
		a.changed, a.reportedAt = false, now
		l.dueList = append(l.dueList, a)
	}
	l.changed = kept
	l.appendRepeats(now)
	return l.dueList
}

// appendRepeats adds unchanged accounts that were not reported for RepeatInterval,
// which repairs the loss of a report between relays.
func (l *AgentLedger) appendRepeats(now time.Time) {
	for range min(repeatBatch, len(l.accountOrder)) {
		a := l.accountOrder[l.nextRepeat%len(l.accountOrder)]
		l.nextRepeat++
		if !a.changed && a.service+a.floor > 0 && now.Sub(a.reportedAt) >= RepeatInterval {
			l.dueList = append(l.dueList, a)
		}
	}
}

// isDue reports whether the account's service changed by at least quantum, its floor
// changed, or its last report is at least RefreshInterval old.
func (a *Account) isDue(now time.Time, quantum float64) bool {
	delta := math.Abs(a.service + a.inFlight - a.reported.service - a.reported.inFlight)
	return delta >= quantum || a.floor != a.reportedFloor || now.Sub(a.reportedAt) >= RefreshInterval
}

// MergeSums merges the fleet's sums and returns the accounts that changed. The slice is
// valid until the next call.
func (l *AgentLedger) MergeSums(now time.Time, m *cleat.LedgerSums) []*Account {
	l.affected = l.affected[:0]
	if !l.acceptSums(m) {
		return nil
	}
	l.lastSumsAt = now
	l.agentCount = m.Agents
	l.setPartial(m.Partial)
	for i := range m.Totals {
		a := l.Account(m.Totals[i].Workspace)
		if a.merge(&m.Totals[i]) {
			l.affected = append(l.affected, a)
		}
	}
	return l.affected
}

// setPartial records whether the view is partial. A floor raised in a partial view
// compensates for the unknown service of missing agents, so it is reset when their
// totals arrive.
func (l *AgentLedger) setPartial(partial bool) {
	if l.partial && !partial {
		for _, a := range l.accountOrder {
			if a.partialFloor > 0 {
				a.partialFloor = 0
				l.affected = append(l.affected, a)
			}
		}
	}
	l.partial = partial
}

// acceptSums reports whether the sums are newer than the last ones from their relay,
// and decides whether the relay needs a complete report.
func (l *AgentLedger) acceptSums(m *cleat.LedgerSums) bool {
	switch {
	case m.Relay != l.relay || m.Incarnation > l.relayIncarnation:
		l.relay, l.relayIncarnation = m.Relay, m.Incarnation
		l.needComplete, l.contiguous = true, false
	case m.Incarnation < l.relayIncarnation || (m.Seq <= l.lastSumsSeq && !m.Complete):
		return false
	case m.Seq > l.lastSumsSeq+1 && !m.Complete: // Sums were missed.
		l.needComplete, l.contiguous = true, false
	}
	l.contiguous = l.contiguous || m.Complete
	if m.AckedSeq == 0 { // The relay has no report of this agent or missed one.
		l.needComplete = true
	}
	l.lastSumsSeq = m.Seq
	l.ready = l.ready || (m.Ready && l.contiguous)
	return true
}

// ExpireInFlight clears the in-flight service of other agents when no sums arrived for
// InFlightTimeout, and returns the accounts that changed. The slice is valid until
// the next call.
func (l *AgentLedger) ExpireInFlight(now time.Time) []*Account {
	l.affected = l.affected[:0]
	if l.lastSumsAt.IsZero() || now.Sub(l.lastSumsAt) < InFlightTimeout {
		return nil
	}
	l.lastSumsAt = time.Time{}
	for _, a := range l.accountOrder {
		if a.othersInFlight > 0 {
			a.othersInFlight = 0
			l.affected = append(l.affected, a)
		}
	}
	return l.affected
}

func (l *AgentLedger) markChanged(a *Account) {
	if !a.changed {
		a.changed = true
		l.changed = append(l.changed, a)
	}
}

// total returns the account's total for a report and records the reported floor.
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
	before := a.VirtualService()
	a.othersService = max(a.othersService, t.Service)
	a.othersInFlight = t.InFlight
	a.floor = max(a.floor, t.ServiceFloor)
	return a.VirtualService() != before
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
