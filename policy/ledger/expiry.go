package ledger

import (
	"math"
	"time"

	"marigoldcleat.example/cleat"
)

// FoldExpired folds the rows of superseded and long unresponsive incarnations: the rows
// are dropped and their totals remain in the sums.
func (r *Relay) FoldExpired(now time.Time) {
	kept := r.agentOrder[:0]
	for _, id := range r.agentOrder {
		rows := r.rows[id][:0]
		for _, w := range r.rows[id] {
			if !w.isExpired(now) {
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
	r.agentOrder = kept
}

// adoptTotals adds service that an agent knows of but no row here holds: the totals of
// agents that are gone, or that have not yet reported to a new relay.
func (r *Relay) adoptTotals(w *row, totals []cleat.WorkspaceTotal) {
	for i := range totals {
		t := &totals[i]
		p := r.workspaceIndex(t.Workspace)
		known := t.OthersService + w.cells[p].service
		held := r.sums[p].service + max(0, r.unattributed[p])
		if known > held {
			r.unattributed[p] = max(0, r.unattributed[p]) + known - held
		}
	}
}

// fold marks a row's incarnation as folded, so that later reports of it are ignored.
// Its totals remain in the sums.
func (r *Relay) fold(w *row) {
	r.foldedThrough[w.agent] = max(r.foldedThrough[w.agent], w.incarnation)
}

// discardInFlight removes a row's in-flight service from the sums.
func (r *Relay) discardInFlight(w *row) {
	for i := range w.cells {
		r.sums[i].inFlight -= w.cells[i].inFlight
		w.cells[i].inFlight = 0
	}
	w.inFlightDiscarded = true
}

// expireInFlight removes the in-flight service of unresponsive agents.
func (r *Relay) expireInFlight(now time.Time) {
	if now.Sub(r.inFlightCheckedAt) < time.Second {
		return
	}
	r.inFlightCheckedAt = now
	for _, id := range r.agentOrder {
		if w := r.newestRow(id); !w.inFlightDiscarded && now.Sub(w.lastReportAt) > InFlightTimeout {
			r.discardInFlight(w)
		}
	}
}

// limitLag raises service floors so that no workspace with running requests lags more
// than MaxLag behind another. Otherwise, a workspace that lagged during a long
// partition would starve the others for as long afterwards. It requires recent reports
// from every agent: a partial view would raise workspaces that do not lag.
func (r *Relay) limitLag(now time.Time) {
	if now.Sub(r.lagCheckedAt) < time.Second || now.Sub(r.started) < AdoptWindow {
		return
	}
	r.lagCheckedAt = now
	if !r.allReportedRecently(now) {
		return
	}
	highest := math.Inf(-1)
	for i := range r.names {
		if r.sums[i].inFlight > 0 {
			highest = max(highest, r.received(i))
		}
	}
	for i := range r.names {
		if shortfall := highest - MaxLag - r.received(i); r.sums[i].inFlight > 0 && shortfall > 0 {
			r.floors[i] += math.Ceil(shortfall)
		}
	}
}

func (r *Relay) received(i int) float64 {
	return r.sums[i].service + r.unattributed[i] + r.floors[i]
}

// allReportedRecently reports whether every agent has reported within
// FreshnessWindow. Agents silent for AbsenceTimeout or longer are ignored.
func (r *Relay) allReportedRecently(now time.Time) bool {
	for _, id := range r.agentOrder {
		silence := now.Sub(r.newestRow(id).lastReportAt)
		if silence > FreshnessWindow && silence < AbsenceTimeout {
			return false
		}
	}
	return true
}
