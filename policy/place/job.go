package place

import (
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/cost"
)

// Job is a request as the planner sees it.
type Job struct {
	ID           uint64 // Unique within the planner.
	Service      cleat.ServiceName
	Workspace    cleat.WorkspaceID
	Rank         int // Jobs with a lower rank go first.
	Blocks       []cleat.PrefixBlock
	PromptTokens int // Tokens; zero at a plain service.
	OutputTokens int // Expected output tokens.
	Arrived      time.Time
	Target       time.Time // When the answer or its first event is due by the latency objective.
	Deadline     time.Time
	Tried        []cleat.UpstreamID // Upstreams of earlier attempts that failed.
	Slowness     float64            // Of the upstream's machine, as the answer states it; zero when not stated. Set before RecordFirstEvent.
	Route        string             // Route of the request; with the workspace, the key under which its output is estimated.
	Hint         cost.Hint          // Of the output, as the request states it.
	Continues    bool               // Its stream was begun by another request, so its output is not the whole one.
	LastAttempt  bool               // The request must not be sent again after this attempt.
	Version      string             // Software version that began the job's stream; the only one that can continue it. Empty for a new job.

	counted       bool    // In the workspace's demand.
	charged       *credit // Credit that the job was charged to; nil if none.
	isRetry       bool    // The caller was refused before.
	upstream      *upstream
	source        source  // As of the last choice of an upstream.
	headroom      float64 // Fraction of the room at engines that it may use; as of the last choice of an upstream.
	prefill       int     // Prompt tokens that the upstream has to prefill.
	memory        int     // Tokens that the job takes of the engine's memory.
	output        jobOutput
	hasFirstEvent bool
	pending       bool          // It counts as pending for its workspace.
	stalled       bool          // It is no backlog of its upstream, which has passed it over or is unlikely to begin it.
	ended         bool          // Stalled has returned it.
	fetches       bool          // Its engine fetches cached blocks from another one first.
	hasPermit     bool          // It took a permit of its upstream, which has a rate limit.
	coldTokenAt   time.Time     // When it took a token of its upstream, which is cold; zero for none.
	wantedAt      time.Time     // When it last counted as demand for permits.
	idleWait      time.Duration // See Planner.idleWait.
	idleWaitAt    time.Time
	late          bool      // Result of Planner.isLate in the last dispatch round.
	lastEventAt   time.Time // When its newest events arrived.
	generated     int       // Output tokens of the current attempt.
	sentAt        time.Time
	backlogAhead  int       // Backlog of the upstream, in prefill tokens, when the job was sent.
	stretchAt     time.Time // Start of the stretch of the stream that is being measured; zero until its first event.
	stretchTokens int       // Tokens generated in it.
}

// Verdict is the decision on a job: sent to an upstream, or refused.
type Verdict struct {
	Job            *Job
	Upstream       cleat.UpstreamRecord // Where to send it; its Upstream field is empty when refused.
	FetchFrom      string               // Address of the upstream from which it fetches cached prefix blocks; empty for none.
	PrefillTokens  int                  // Prompt tokens that the upstream has to prefill.
	ExpectedOutput int                  // Output tokens still to come, as estimated; zero without an estimate.
	BacklogTokens  int                  // Prompt tokens that it has to prefill before this job.
	RetryAfter     time.Duration        // Time until capacity is expected; set when refused.
	Reason         Reason               // Set when refused.
}

// Placed reports whether the job is to be sent.
func (v Verdict) Placed() bool { return v.Upstream.Upstream != "" }

// Reason is why a job is refused.
type Reason string

// The reasons to refuse a job.
const (
	ReasonNoUpstream Reason = "no_upstream" // The service has no usable upstream that was not tried.
	ReasonPaused     Reason = "paused"      // All upstreams that could run the job asked to be left alone for a while.
	ReasonEvacuated  Reason = "evacuated"   // All upstreams that could run the job are in evacuated domains.
	ReasonNoVersion  Reason = "no_version"  // No usable upstream has the software version that began the stream.
	ReasonOverload   Reason = "overload"    // The job can't be served in time.
	ReasonOverShare  Reason = "over_share"  // The workspace has recently used its share of the capacity.
	ReasonRateLimit  Reason = "rate_limit"  // All upstreams have a rate limit, and the job can't be served in time within them.
	ReasonWarmingUp  Reason = "warming_up"  // All upstreams that could run the job are cold, and take no more requests from this entry now.
	ReasonLateRetry  Reason = "late_return" // A retry that would be late, while other requests of its workspace need the share.
)

// tokenRateMargin is the safety factor on the token rate that a stream needs.
const tokenRateMargin = 1.15

// neededRate returns the tokens/s that the job needs from now on to meet its
// deadline. At least a quarter of the tokens generated so far is assumed to remain,
// for streams longer than expected.
func (j *Job) neededRate(now time.Time) float64 {
	remaining := max(j.OutputTokens-j.generated, j.generated/4)
	return tokenRateMargin * float64(remaining) / max(j.Deadline.Sub(now), time.Second).Seconds()
}

// lastBlockTokens returns the size of the prompt's last prefix block.
func (j *Job) lastBlockTokens() int {
	if len(j.Blocks) == 0 {
		return j.PromptTokens
	}
	return j.Blocks[len(j.Blocks)-1].Tokens
}

// costUnits is the part of the fleet's capacity that a job takes: a prompt token
// counts once, an output token twice.
func (j *Job) costUnits() int { return max(1, j.PromptTokens+2*j.OutputTokens) }

// charge takes the job's cost from a credit, unless that is nil.
func (j *Job) charge(c *credit) {
	if c != nil {
		c.charge(float64(j.costUnits()))
		j.charged = c
	}
}

// refund gives back what the job was charged, if anything.
func (j *Job) refund() {
	if j.charged != nil {
		j.charged.units += float64(j.costUnits())
		j.charged = nil
	}
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
