package cleat

import "time"

// UpstreamKind distinguishes model engines from plain services.
type UpstreamKind string

// The kinds of upstream.
const (
	KindModel UpstreamKind = "model"
	KindPlain UpstreamKind = "plain"
)

// Cost is an amount of service in cost units: weighted tokens for model engines,
// milliseconds of busy time for plain services.
type Cost float64

// Work is the metadata of a request that scheduling decisions are based on: everything but its bytes.
type Work struct {
	ID             RequestID
	Workspace      WorkspaceID
	Class          ClassName
	Rank           int // Precedence of the class inside its workspace; lower is served first.
	Kind           UpstreamKind
	Model          ModelID
	Estimate       Cost
	CostHint       Cost     // Cost derived from the caller's token limits; zero when absent.
	Prefix         []uint64 // Prefix digests of the prompt.
	Received       time.Time
	Deadline       time.Time
	Repeatable     bool   // The request may run more than once.
	IdempotencyKey string // Empty when the request has none.
}

// Ran states whether an upstream ran a request.
type Ran string

// The values of Ran, as in the Marigoldcleat-Ran header.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Reason is the code that a refusal carries.
type Reason string

// The reason codes of refusals and failures.
const (
	ReasonQueueFull            Reason = "queue_full"       // The workspace has too many waiting requests.
	ReasonFleetFull            Reason = "fleet_full"       // The entry has too many waiting requests.
	ReasonDeadline             Reason = "deadline"         // The deadline passed, or would pass before the next attempt.
	ReasonUnattainableDeadline Reason = "would_be_late"    // The deadline can't be met at the current rate of service.
	ReasonNoUpstream           Reason = "no_upstream"      // No upstream serves the model or pool.
	ReasonNoQuorum             Reason = "no_quorum"        // A durable claim could not be made.
	ReasonInDoubt              Reason = "in_doubt"         // An earlier request with the idempotency key may have run; its outcome is not recorded.
	ReasonKeyInUse             Reason = "key_in_use"       // An earlier request with the idempotency key is still running.
	ReasonUpstreamFailed       Reason = "upstream_failed"  // The upstream failed or could not be reached.
	ReasonAgentLost            Reason = "agent_lost"       // The agent was lost while the request ran.
	ReasonRetriesSpent         Reason = "retries_spent"    // The retry budget is used up.
	ReasonShutdown             Reason = "shutting_down"    // The entry is shutting down and accepts no new requests.
	ReasonUnauthorised         Reason = "unauthorised"     // The workspace key is missing or unknown.
	ReasonNoRule               Reason = "no_rule"          // No rule matches the request.
	ReasonMalformed            Reason = "malformed"        // The request can't be parsed.
	ReasonTooLarge             Reason = "too_large"        // The body or header exceeds its limit.
	ReasonNotReady             Reason = "settings_unknown" // The entry has no confirmed settings yet.
	ReasonStaleGrant           Reason = "stale_grant"      // The grant is invalid or of another incarnation.
	ReasonCallerGone           Reason = "caller_gone"      // The caller closed its connection.
	ReasonCallerSlow           Reason = "caller_slow"      // The request's body did not arrive in time.
	ReasonKeyMismatch          Reason = "key_mismatch"     // The idempotency key was used before for a request with another digest.
	ReasonAnswerNotKept        Reason = "answer_not_kept"  // An earlier request with the idempotency key ran; its answer was too large to be recorded.
	ReasonBufferOverrun        Reason = "buffer_overrun"   // The answer overflowed the resume buffer.
)

// Refusal is a final answer that comes from the fleet rather than from an upstream.
type Refusal struct {
	Request    RequestID
	Reason     Reason
	Ran        Ran
	RetryAfter time.Duration // Zero when a retry would not help.
}

// Error returns the reason and whether the request ran.
func (r Refusal) Error() string {
	return "request " + string(r.Request) + " refused: " + string(r.Reason) + " (ran: " + string(r.Ran) + ")"
}

// Usage is the amount of service that a request has consumed so far, as measured by its agent.
type Usage struct {
	InputTokens  uint64        `msgpack:"i"`
	CachedTokens uint64        `msgpack:"c"`
	OutputTokens uint64        `msgpack:"o"`
	Busy         time.Duration `msgpack:"b"`
}

// Weights of the components of Usage, in cost units.
const (
	CostPerInputToken  Cost = 0.05
	CostPerCachedToken Cost = 0.005
	CostPerOutputToken Cost = 1
	CostPerBusyMilli   Cost = 1
)

// Cost returns the usage in cost units, for an upstream of kind k.
func (u Usage) Cost(k UpstreamKind) Cost {
	if k == KindPlain {
		return Cost(float64(u.Busy)/float64(time.Millisecond)) * CostPerBusyMilli
	}
	uncached := u.InputTokens - min(u.CachedTokens, u.InputTokens)
	return Cost(uncached)*CostPerInputToken +
		Cost(u.CachedTokens)*CostPerCachedToken +
		Cost(u.OutputTokens)*CostPerOutputToken
}

// OutcomeKind states how an attempt ended.
type OutcomeKind string

// The ways an attempt ends.
const (
	OutcomeDone     OutcomeKind = "done"     // The upstream's complete answer was received.
	OutcomeNotRun   OutcomeKind = "not_run"  // No byte of the request reached the upstream, and none will.
	OutcomeFailed   OutcomeKind = "failed"   // The attempt failed, or its deadline passed, after a connection to the upstream was obtained.
	OutcomeUnknown  OutcomeKind = "unknown"  // The upstream may have run the request: the agent was lost, or a non-repeatable request got no status.
	OutcomeCanceled OutcomeKind = "canceled" // The entry canceled the attempt or was lost.
)

// Outcome is the result of an attempt, with its usage.
type Outcome struct {
	Kind          OutcomeKind `msgpack:"k"`
	Reason        Reason      `msgpack:"r,omitempty"`
	Usage         Usage       `msgpack:"u"`
	AnswerStarted bool        `msgpack:"b"` // Some of the answer reached the entry.
}
