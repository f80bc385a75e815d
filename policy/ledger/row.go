package ledger

import (
	"time"

	"marigoldcleat.example/cleat"
)

// cell is a total for one workspace.
type cell struct {
	service  float64
	inFlight float64
}

// row holds the totals reported by one incarnation of an agent.
type row struct {
	agent             cleat.InstanceID
	incarnation       cleat.Incarnation
	seq               uint64 // Highest sequence number received.
	gap               bool   // A report was missed; a complete report is needed.
	cells             []cell
	lastReportAt      time.Time
	superseded        bool // A newer incarnation of the agent has reported.
	inFlightDiscarded bool // Its in-flight service is no longer counted.
}

func (r *Relay) rowFor(m *cleat.LedgerReport) *row {
	rows := r.rows[m.Agent]
	for _, w := range rows {
		if w.incarnation == m.Incarnation {
			return w
		}
	}
	w := &row{agent: m.Agent, incarnation: m.Incarnation}
	if f, ok := r.feeds[m.Agent]; ok {
		f.reset() // Nothing was sent to the new incarnation yet.
	}
	if len(rows) == 0 {
		r.agentOrder = append(r.agentOrder, m.Agent)
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
		r.discardInFlight(older)
	}
	r.rows[m.Agent] = rows
	return w
}

func (r *Relay) newestRow(agent cleat.InstanceID) *row {
	rows := r.rows[agent]
	if len(rows) == 0 {
		return nil
	}
	return rows[len(rows)-1]
}

func (r *Relay) completeReport(w *row) *cleat.LedgerReport {
	m := &cleat.LedgerReport{Agent: w.agent, Incarnation: w.incarnation, Seq: w.seq, Complete: true}
	for i, c := range w.cells {
		if c == (cell{}) && r.floors[i] == 0 {
			continue
		}
		m.Totals = append(m.Totals, cleat.WorkspaceTotal{
			Workspace: r.names[i], Service: c.service, InFlight: c.inFlight, ServiceFloor: r.floors[i],
		})
	}
	return m
}

func (w *row) isExpired(now time.Time) bool {
	silence := now.Sub(w.lastReportAt)
	return (w.superseded && silence > SupersededRetention) || silence > UnresponsiveRetention
}
