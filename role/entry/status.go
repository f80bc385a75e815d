package entry

import (
	"maps"
	"sort"
	"sync"

	"marigoldcleat.example/cleat"
)

// earlyRefusals counts the requests refused before they were submitted to the
// table.
type earlyRefusals struct {
	mu     sync.Mutex
	counts map[cleat.WorkspaceID]map[cleat.Reason]uint64
}

func newEarlyRefusals() *earlyRefusals {
	return &earlyRefusals{counts: make(map[cleat.WorkspaceID]map[cleat.Reason]uint64)}
}

// record counts a refusal; one without a known workspace is counted in the metrics
// only.
func (r *earlyRefusals) record(w cleat.WorkspaceID, reason cleat.Reason) {
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
	listed := make(map[cleat.WorkspaceID]bool, len(list))
	for i := range list {
		listed[list[i].Workspace] = true
		list[i].Refused = sumCounts(list[i].Refused, r.counts[list[i].Workspace])
	}
	for w, counts := range r.counts {
		if !listed[w] {
			list = append(list, cleat.WorkspaceStatus{Workspace: w, Refused: maps.Clone(counts)})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Workspace < list[j].Workspace })
	return list
}

func sumCounts(a, b map[cleat.Reason]uint64) map[cleat.Reason]uint64 {
	if len(b) == 0 {
		return a
	}
	total := maps.Clone(b)
	for reason, n := range a {
		total[reason] += n
	}
	return total
}

// Status returns this entry's counts for each workspace.
func (e *Entry) Status() []cleat.WorkspaceStatus {
	e.mu.Lock()
	list := e.table.Status()
	e.mu.Unlock()
	return e.earlyRefusals.merge(list)
}
