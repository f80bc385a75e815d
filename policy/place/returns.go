package place

import (
	"time"

	"marigoldcleat.example/cleat"
)

// Bounds of what is remembered of refused jobs.
const (
	// returnWithin is how long after its first refusal a caller is known when it comes
	// back: callers wait as told, for MaxRetry at most, and then for a connection.
	returnWithin = 6 * time.Second
	// maxRefused bounds the memory, at about 50 bytes for each.
	maxRefused = 16384
)

// returns remembers refused jobs by their prompts, so that a caller that comes
// back is known, and since when it has waited.
type returns struct {
	first map[returnKey]time.Time // When the caller came first.
	order []refusal               // The oldest first.
}

type refusal struct {
	key returnKey
	at  time.Time
}

// returnKey tells a caller's request from others: the digest covers all parts of
// the prompt, and the last part is the request's own.
type returnKey struct {
	workspace cleat.WorkspaceID
	digest    uint64
	tokens    int
}

func newReturns() returns { return returns{first: make(map[returnKey]time.Time)} }

func keyOf(j *Job) (returnKey, bool) {
	if len(j.Parts) == 0 {
		return returnKey{}, false
	}
	return returnKey{workspace: j.Workspace, digest: j.Parts[len(j.Parts)-1].Digest, tokens: j.Prompt}, true
}

// note remembers a job that is refused.
func (r *returns) note(now time.Time, j *Job) {
	k, ok := keyOf(j)
	if !ok {
		return
	}
	for len(r.order) > 0 && (len(r.order) >= maxRefused || now.Sub(r.order[0].at) >= returnWithin) {
		delete(r.first, r.order[0].key)
		r.order = r.order[1:]
	}
	if _, known := r.first[k]; !known {
		r.first[k] = j.Arrived
		r.order = append(r.order, refusal{key: k, at: now})
	}
}

// meet gives a job whose caller was refused before the times of its first coming,
// from which its objective counts.
func (r *returns) meet(j *Job) {
	k, ok := keyOf(j)
	if !ok {
		return
	}
	if first, known := r.first[k]; known && first.Before(j.Arrived) {
		j.returned = true
		j.Target = j.Target.Add(first.Sub(j.Arrived))
		j.Arrived = first
	}
}
