package ledger

import (
	"time"

	"marigoldcleat.example/cleat"
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
	ended       bool // Its levels count no more.
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
		r.endInFlight(older)
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

func (r *Relay) report(w *row) *cleat.LedgerReport {
	m := &cleat.LedgerReport{Agent: w.agent, Incarnation: w.incarnation, Seq: w.seq, Complete: true}
	for i, c := range w.cells {
		if c == (cell{}) && r.lifts[i] == 0 {
			continue
		}
		m.Totals = append(m.Totals, cleat.WorkspaceTotal{
			Workspace: r.names[i], Service: c.service, InFlight: c.inFlight, ServiceFloor: r.lifts[i],
		})
	}
	return m
}

func (w *row) stale(now time.Time) bool {
	quiet := now.Sub(w.heard)
	return (w.superseded && quiet > FoldAfter) || quiet > SilentBound
}
