package queue

import (
	"math"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/retry"
)

// workspace holds this entry's limits and counts for one workspace.
type workspace struct {
	id         cleat.WorkspaceID
	share      float64
	maxWaiting int
	waiting    int
	running    int
	served     uint64
	refused    map[cleat.Reason]uint64
	budget     retry.Budget
	busySince  time.Time // Start of the current period in which requests have been waiting.
}

func (t *Table) workspace(id cleat.WorkspaceID) *workspace {
	if w, ok := t.workspaces[id]; ok {
		return w
	}
	w := &workspace{id: id, refused: map[cleat.Reason]uint64{}, budget: retry.NewBudget()}
	w.configure(t.fleet, t.cfg)
	t.workspaces[id] = w
	return w
}

func (w *workspace) configure(f *cleat.Fleet, cfg Config) {
	w.share, w.maxWaiting = cleat.DefaultShare, cfg.DefaultMaxQueue
	if f == nil {
		return
	}
	if set, ok := f.Workspaces().ByID(w.id); ok {
		w.share, w.maxWaiting = set.Share, set.MaxWaiting
	}
}

func (w *workspace) status() cleat.WorkspaceStatus {
	s := cleat.WorkspaceStatus{
		Workspace: w.id, Waiting: uint32(w.waiting), Running: uint32(w.running), Served: w.served,
		Refused: make(map[cleat.Reason]uint64, len(w.refused)),
	}
	for reason, n := range w.refused {
		s.Refused[reason] = n
	}
	return s
}

// dispatchRate measures how fast requests of one workspace get slots of one pool while
// some wait.
type dispatchRate struct {
	dispatches float64 // Exponentially decayed count over Config.RateWindow.
	updatedAt  time.Time
	busySince  time.Time // Start of the current period in which requests have been waiting; zero if none wait.

	streams []*stream // Streams with waiting requests.
}

// waitingAhead returns the number of waiting requests in other streams whose rank is equal
// to or lower than that of s.
func (r *dispatchRate) waitingAhead(s *stream) int {
	n := 0
	for _, other := range r.streams {
		if other != s && other.rank <= s.rank {
			n += other.waiting
		}
	}
	return n
}

func (r *dispatchRate) recordDispatch(now time.Time, window time.Duration) {
	r.decay(now, window)
	r.dispatches++
}

func (r *dispatchRate) decay(now time.Time, window time.Duration) {
	if !r.updatedAt.IsZero() {
		r.dispatches *= math.Exp(-now.Sub(r.updatedAt).Seconds() / window.Seconds())
	}
	r.updatedAt = now
}

// estimateWait returns the estimated time until the request at a position, counted from
// 1, gets its slot; zero if requests have been waiting for less than RateWindow or there
// were fewer than MinRateDispatches.
func (r *dispatchRate) estimateWait(now time.Time, position int, cfg Config) time.Duration {
	r.decay(now, cfg.RateWindow)
	if r.busySince.IsZero() || now.Sub(r.busySince) < cfg.RateWindow || r.dispatches < cfg.MinRateDispatches {
		return 0
	}
	secondsPerDispatch := cfg.RateWindow.Seconds() / r.dispatches
	return time.Duration(float64(position) * secondsPerDispatch * float64(time.Second))
}
