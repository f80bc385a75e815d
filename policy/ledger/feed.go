package ledger

import (
	"math"
	"time"

	"marigoldcleat.example/cleat"
)

// feed tracks which sums were sent to one agent.
type feed struct {
	seq          uint64 // Sequence number of the last sums.
	sent         []cell // Totals as last sent, by workspace index.
	sentFloors   []float64
	sentTimes    []time.Time // When each total was last sent.
	nextIndex    int         // Index of the workspace at which the next sums start.
	ackDue       bool        // The next sums are due at once, even without changes.
	ready        bool        // As in the last sums.
	partial      bool        // As in the last sums.
	sentAt       time.Time   // Time of the last sums.
	needComplete bool        // The next sums are the first since the feed was created or reset.
}

// NextSums returns the totals that changed since the last sums to an agent, without the
// total of the agent's current incarnation, or nil if nothing is due.
func (r *Relay) NextSums(now time.Time, agent cleat.InstanceID) *cleat.LedgerSums {
	r.expireInFlight(now)
	r.limitLag(now)
	f, ok := r.feeds[agent]
	if !ok {
		f = &feed{ackDue: true, needComplete: true}
		r.feeds[agent] = f
	}
	f.grow(len(r.names))
	own := r.newestRow(agent)
	if own != nil && own.gap {
		f.ackDue = true
	}
	if now.Sub(f.sentAt) < time.Duration(reportScale(r.agentCount())*float64(ReportInterval))-reportSlack && !f.ackDue && !f.needComplete {
		return nil
	}
	totals := r.changedTotals(now, f, own)
	ready := len(totals) < MaxSumsTotals && now.Sub(r.started) > AdoptWindow && !r.started.IsZero()
	partial := !r.allReportedRecently(now)
	if len(totals) == 0 && !f.ackDue && ready == f.ready && partial == f.partial {
		return nil
	}
	f.seq++
	f.ackDue, f.ready, f.partial = false, ready, partial
	m := &cleat.LedgerSums{
		Relay: r.self.Instance, Incarnation: r.self.Incarnation,
		Seq: f.seq, Complete: f.needComplete, Ready: ready, Agents: r.agentCount(), Totals: totals, Partial: partial,
	}
	f.needComplete, f.sentAt = false, now
	if own != nil && !own.gap {
		m.AckedSeq = own.seq
	}
	return m
}

// ResetFeed resets an agent's feed after its link closed. The sequence numbers continue,
// because the agent rejects incomplete sums with lower ones.
func (r *Relay) ResetFeed(agent cleat.InstanceID) {
	if f, ok := r.feeds[agent]; ok {
		f.reset()
	}
}

// changedTotals returns the totals of at most MaxSumsTotals changed workspaces,
// round-robin over the calls.
func (r *Relay) changedTotals(now time.Time, f *feed, own *row) []cleat.WorkspaceTotal {
	var totals []cleat.WorkspaceTotal
	n := len(r.names)
	for step := 0; step < n && len(totals) < MaxSumsTotals; step++ {
		i := f.nextIndex % n
		f.nextIndex = i + 1
		c := r.othersTotal(i, own)
		delta := math.Abs(c.service + c.inFlight - f.sent[i].service - f.sent[i].inFlight)
		overdue := delta > 0 && now.Sub(f.sentTimes[i]) >= RefreshInterval
		if delta < SumsQuantum*reportScale(r.agentCount()) && r.floors[i] == f.sentFloors[i] && !overdue {
			continue
		}
		t := cleat.WorkspaceTotal{Workspace: r.names[i], Service: c.service, InFlight: c.inFlight}
		if r.floors[i] != f.sentFloors[i] {
			t.ServiceFloor = r.floors[i]
		}
		f.sent[i], f.sentFloors[i], f.sentTimes[i] = c, r.floors[i], now
		totals = append(totals, t)
	}
	return totals
}

// agentCount returns the number of agents whose reports arrived, directly or
// through other relays.
func (r *Relay) agentCount() uint32 { return uint32(len(r.agentOrder)) }

func (r *Relay) othersTotal(i int, own *row) cell {
	c := cell{service: r.sums[i].service + r.unattributed[i], inFlight: max(0, r.sums[i].inFlight)}
	if own != nil && i < len(own.cells) {
		c.service -= own.cells[i].service
		c.inFlight = max(0, c.inFlight-own.cells[i].inFlight)
	}
	return c
}

func (f *feed) grow(n int) {
	for len(f.sent) < n {
		f.sent = append(f.sent, cell{})
		f.sentFloors = append(f.sentFloors, 0)
		f.sentTimes = append(f.sentTimes, time.Time{})
	}
}

func (f *feed) reset() {
	clear(f.sent)
	clear(f.sentFloors)
	clear(f.sentTimes)
	f.needComplete = true
	f.ackDue = true
}
