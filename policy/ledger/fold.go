package ledger

import (
	"math"
	"time"

	"marigoldcleat.example/cleat"
)

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

// adopt takes over what an agent knows of service that no row here holds: the
// totals of agents that are gone, or have not yet reported to a new relay.
func (r *Relay) adopt(w *row, totals []cleat.WorkspaceTotal) {
	for i := range totals {
		t := &totals[i]
		p := r.place(t.Workspace)
		known := t.OthersService + w.cells[p].service
		held := r.sums[p].service + max(0, r.base[p])
		if known > held {
			r.base[p] = max(0, r.base[p]) + known - held
		}
	}
}

// fold drops a row and leaves what it counted in the sums.
func (r *Relay) fold(w *row) {
	r.folded[w.agent] = max(r.folded[w.agent], w.incarnation)
}

// endInFlight stops counting what a row expects of running work.
func (r *Relay) endInFlight(w *row) {
	for i := range w.cells {
		r.sums[i].inFlight -= w.cells[i].inFlight
		w.cells[i].inFlight = 0
	}
	w.ended = true
}

// expire ends the work in flight of agents that are silent.
func (r *Relay) expire(now time.Time) {
	if now.Sub(r.expired) < time.Second {
		return
	}
	r.expired = now
	for _, id := range r.order {
		if w := r.newest(id); !w.ended && now.Sub(w.heard) > FlightBound {
			r.endInFlight(w)
		}
	}
}

// limitLag bounds how far a workspace that is being served lags behind another, so
// that what a long cut did is not repaid by shutting others out for as long. It
// waits until every agent was heard: a partial view would raise who does not lag.
func (r *Relay) limitLag(now time.Time) {
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
