package place

import (
	"time"

	"marigoldcleat.example/cleat"
)

// Job is a request as the planner sees it.
type Job struct {
	ID        uint64 // Unique within the planner.
	Service   cleat.ServiceName
	Workspace cleat.WorkspaceID
	Rank      int // Lower goes first.
	Parts     []cleat.PrefixBlock
	Prompt    int // Tokens; zero at a plain service.
	Output    int // Tokens expected.
	Arrived   time.Time
	Target    time.Time // By when the answer or its first event is on time.
	Deadline  time.Time
	Avoid     []cleat.UpstreamID // Sent to without success.

	returned bool // Its caller was refused before.
	upstream *upstream
	unread   int // Prompt tokens that the upstream has to read.
	memory   int // Tokens that it holds there.
	begun    bool
	idle     time.Duration // See Planner.idleWait.
	idleAt   time.Time
	late     bool      // As of the last look at the waiting jobs.
	last     time.Time // Its newest event.
	made     int       // Output tokens of its present attempt.
	sent     time.Time
	ahead    int // Unread tokens before it at the upstream when it was sent.
}

// Verdict tells what becomes of a job.
type Verdict struct {
	Job        *Job
	Upstream   cleat.UpstreamRecord // Where to send it; its Upstream field is empty when refused.
	Unread     int                  // Prompt tokens that the upstream has to read.
	Backlog    int                  // Prompt tokens that it has to read before.
	RetryAfter time.Duration        // When there should be room; set when refused.
	Reason     Reason               // Set when refused.
}

// Placed reports whether the job is to be sent.
func (v Verdict) Placed() bool { return v.Upstream.Upstream != "" }

// Reason tells why a job is refused.
type Reason string

// The reasons to refuse a job.
const (
	ReasonNoUpstream Reason = "no_upstream" // None of the service is known, or all were tried.
	ReasonOverload   Reason = "overload"    // It can't be served in time.
	ReasonShare      Reason = "over_share"  // The workspace was sent its share of the capacity lately.
	ReasonLate       Reason = "late_return" // It would be late, and others of its workspace need its share.
)

// paceMargin is added to the pace that a stream needs.
const paceMargin = 1.15

// paceLeft returns the tokens/s that the job needs from now on to end in time.
// One that is longer than expected is taken to have a quarter more to come.
func (j *Job) paceLeft(now time.Time) float64 {
	left := max(j.Output-j.made, j.made/4)
	return paceMargin * float64(left) / max(j.Deadline.Sub(now), time.Second).Seconds()
}

// ownTokens returns the size of the prompt's last part.
func (j *Job) ownTokens() int {
	if len(j.Parts) == 0 {
		return j.Prompt
	}
	return j.Parts[len(j.Parts)-1].Tokens
}

// costUnits is what a job takes of the fleet's capacity: a token read counts
// once, a token written twice.
func (j *Job) costUnits() int { return max(1, j.Prompt+2*j.Output) }
