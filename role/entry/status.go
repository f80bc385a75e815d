package entry

import (
	"maps"
	"sort"
	"sync"

	"marigoldcleat.example/cleat"
)

// earlyRefusals counts what was refused before the table saw it.
type earlyRefusals struct {
	mu     sync.Mutex
	counts map[cleat.WorkspaceID]map[cleat.Reason]uint64
}

func newEarlyRefusals() *earlyRefusals {
	return &earlyRefusals{counts: make(map[cleat.WorkspaceID]map[cleat.Reason]uint64)}
}

// add counts a refusal; one without a known workspace shows in the metrics only.
func (r *earlyRefusals) add(w cleat.WorkspaceID, reason cleat.Reason) {
	if w == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts[w] == nil {
		r.counts[w] = make(map[cleat.Reason]uint64)
	}
	r.counts[w][reason]++
}

// merge returns list with the early refusals added, sorted by workspace.
func (r *earlyRefusals) merge(list []cleat.WorkspaceStatus) []cleat.WorkspaceStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := make(map[cleat.WorkspaceID]bool, len(list))
	for i := range list {
		known[list[i].Workspace] = true
		list[i].Refused = sum(list[i].Refused, r.counts[list[i].Workspace])
	}
	for w, counts := range r.counts {
		if !known[w] {
			list = append(list, cleat.WorkspaceStatus{Workspace: w, Refused: maps.Clone(counts)})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Workspace < list[j].Workspace })
	return list
}

func sum(a, b map[cleat.Reason]uint64) map[cleat.Reason]uint64 {
	if len(b) == 0 {
		return a
	}
	all := maps.Clone(b)
	for reason, n := range a {
		all[reason] += n
	}
	return all
}

// Status returns what this entry knows of each workspace.
func (e *Entry) Status() []cleat.WorkspaceStatus {
	e.mu.Lock()
	list := e.table.Status()
	e.mu.Unlock()
	return e.early.merge(list)
}
