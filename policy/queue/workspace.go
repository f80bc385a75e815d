package queue

import (
	"math"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/retry"
)

// workspace is one workspace at this entry.
type workspace struct {
	id         cleat.WorkspaceID
	share      float64
	maxWaiting int
	waiting    int
	running    int
	served     uint64
	refused    map[cleat.Reason]uint64
	budget     retry.Budget
	busySince  time.Time // Since when something waits without a pause.
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

// pace is how fast requests of a workspace get slots of a pool while some wait.
type pace struct {
	rate  float64 // Dispatches in the window, fading.
	at    time.Time
	since time.Time // Since when something waits without a pause.

	streams []*stream // With requests waiting.
}

// ahead counts the waiting requests of streams that go before s.
func (p *pace) ahead(s *stream) int {
	n := 0
	for _, other := range p.streams {
		if other != s && other.rank <= s.rank {
			n += other.waiting
		}
	}
	return n
}

func (p *pace) dispatched(now time.Time, window time.Duration) {
	p.fade(now, window)
	p.rate++
}

func (p *pace) fade(now time.Time, window time.Duration) {
	if !p.at.IsZero() {
		p.rate *= math.Exp(-now.Sub(p.at).Seconds() / window.Seconds())
	}
	p.at = now
}

// wait foretells how long ahead requests take to get their slots; zero when
// too little was seen to tell.
func (p *pace) wait(now time.Time, ahead int, cfg Config) time.Duration {
	p.fade(now, cfg.PaceWindow)
	if p.since.IsZero() || now.Sub(p.since) < cfg.PaceWindow || p.rate < cfg.PaceSamples {
		return 0
	}
	each := cfg.PaceWindow.Seconds() / p.rate
	return time.Duration(float64(ahead) * each * float64(time.Second))
}
