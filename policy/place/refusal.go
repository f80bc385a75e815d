package place

import (
	"time"

	"marigoldcleat.example/cleat"
)

// Bounds of the refusal history.
const (
	// retryWindow is how long after its first refusal a retrying caller is
	// recognized: callers wait for their Retry-After, MaxRetryAfter at most, and
	// then for a connection.
	retryWindow = 6 * time.Second
	// maxRefusals bounds the memory of the history, at about 50 bytes for each
	// refusal.
	maxRefusals = 16384
)

// refusalHistory records refused jobs by their prompts, so that a retry is
// recognized and its objective counts from the first attempt.
type refusalHistory struct {
	firstSeen map[requestKey]time.Time // Arrival of the first attempt.
	order     []refusal                // Oldest first.
}

type refusal struct {
	key requestKey
	at  time.Time
}

// requestKey identifies a caller's request: the digest covers all blocks of the
// prompt, and the last block is specific to the request.
type requestKey struct {
	workspace cleat.WorkspaceID
	digest    uint64
	tokens    int
}

func newRefusalHistory() refusalHistory {
	return refusalHistory{firstSeen: make(map[requestKey]time.Time)}
}

func requestKeyOf(j *Job) (requestKey, bool) {
	if len(j.Blocks) == 0 {
		return requestKey{}, false
	}
	return requestKey{workspace: j.Workspace, digest: j.Blocks[len(j.Blocks)-1].Digest, tokens: j.PromptTokens}, true
}

// record adds a refused job, and evicts the refusals that are older than retryWindow
// or exceed maxRefusals.
func (r *refusalHistory) record(now time.Time, j *Job) {
	k, ok := requestKeyOf(j)
	if !ok {
		return
	}
	for len(r.order) > 0 && (len(r.order) >= maxRefusals || now.Sub(r.order[0].at) >= retryWindow) {
		delete(r.firstSeen, r.order[0].key)
		r.order = r.order[1:]
	}
	if _, known := r.firstSeen[k]; !known {
		r.firstSeen[k] = j.Arrived
		r.order = append(r.order, refusal{key: k, at: now})
	}
}

// restoreArrival gives the job of a retrying caller the arrival time of its first
// attempt, from which its objective counts.
func (r *refusalHistory) restoreArrival(j *Job) {
	k, ok := requestKeyOf(j)
	if !ok {
		return
	}
	if first, known := r.firstSeen[k]; known && first.Before(j.Arrived) {
		j.isRetry = true
		j.Target = j.Target.Add(first.Sub(j.Arrived))
		j.Arrived = first
	}
}
