package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/cost"
	"marigoldcleat.example/cleat/policy/place"
)

// result is how one attempt ended.
type result uint8

const (
	resultDone    result = iota // The caller has its final answer or has disconnected.
	resultNotRun                // The request has not run; another upstream may be tried.
	resultFailed                // The request may have run, and nothing was relayed to the caller.
	resultBroken                // A stream ended early after events were relayed to the caller.
	resultNotSent               // The request was not sent, since the upstream is no longer to be used.
)

// defaultOutputTokens is the expected length of an answer when the request states none.
const defaultOutputTokens = 128

// run submits the request and sends it to upstreams until the caller has a final answer.
func (x *exchange) run() {
	x.role.recordRequest(x.service)
	if x.isResumption() && !x.prepareResumption() {
		return
	}
	for {
		if x.refuseQuarantined(false) {
			return
		}
		x.job.LastAttempt = !x.route.Idempotent() || x.attempts+1 >= x.route.MaxAttempts
		v, pending := x.role.submit(x.job)
		if pending != nil || v.Placed() {
			x.watchCaller()
		}
		if pending != nil {
			var ok bool
			if v, ok = x.role.awaitVerdict(x.ctx, x.job, pending); !ok {
				x.endCanceled()
				return
			}
		}
		if !v.Placed() {
			x.refuseOrAbort(string(v.Reason), v.RetryAfter)
			return
		}
		if x.ctx.Err() != nil {
			x.role.recordEnd(x.job, place.OutcomeNotSent)
			x.endCanceled()
			return
		}
		if pending != nil && x.refuseQuarantined(true) {
			return
		}
		x.logDecision("placed", "upstream", v.Upstream.Upstream, "version", v.Upstream.Version, "phase", v.Upstream.Phase, "sequence", v.Upstream.Sequence, "resumes", x.info.Resumes,
			"prompt", x.job.PromptTokens, "unread", v.PrefillTokens, "output", x.job.OutputTokens, "expected_output", v.ExpectedOutput, "backlog", v.BacklogTokens, "fetch_from", v.FetchFrom)
		x.fetchFrom = v.FetchFrom
		res, answer := x.tryUpstream(v.Upstream)
		if res == resultDone {
			return
		}
		if res == resultNotSent {
			continue
		}
		if !x.allowRetry(res, v.Upstream) {
			x.answerFailure(answer)
			return
		}
	}
}

// recordRequest counts a request for a service in the retry budget.
func (r *Role) recordRequest(s cleat.ServiceName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.RecordRequest(r.clock.Now(), s)
}

func (x *exchange) newJob() *place.Job {
	j := &place.Job{
		Service: x.service, Workspace: x.workspace, Rank: x.rank, Arrived: x.arrived,
		Target: x.arrived.Add(x.route.Target), Deadline: x.deadline, Route: x.route.Name, Continues: x.info.LastEvent != "",
	}
	if p := x.info.Prompt; p != nil {
		j.Blocks, j.PromptTokens = p.Blocks, p.Tokens
		j.Hint = cost.Hint{Expected: p.ExpectedOutput, Max: p.MaxOutput}
		if j.OutputTokens = p.ExpectedOutput; j.OutputTokens == 0 {
			j.OutputTokens = p.MaxOutput
		}
		if j.OutputTokens == 0 {
			j.OutputTokens = defaultOutputTokens
		}
	}
	return j
}

// allowRetry decides whether the request is sent to another upstream. A retry is
// charged to the budget only if the request was sent before.
func (x *exchange) allowRetry(res result, tried cleat.UpstreamRecord) bool {
	if x.ctx.Err() != nil || x.attempts >= x.route.MaxAttempts {
		return false
	}
	if res != resultNotRun && !x.route.Idempotent() {
		return false
	}
	if x.events.started && !x.pinVersion() {
		return false
	}
	if res != resultNotRun && !x.allowsRepeat() {
		x.logDecision("repeat", "upstream", tried.Upstream, "attempts", x.attempts, "allowed", false, "blocks", x.blockNames())
		return false
	}
	x.job.Tried = append(x.job.Tried, tried.Upstream)
	if x.attempts == 0 {
		return true
	}
	part, allowed := x.takeRetry()
	x.logDecision("repeat", "upstream", tried.Upstream, "version", tried.Version, "attempts", x.attempts, "allowed", allowed, "part", round2(part), "after_event", x.events.lastID)
	return allowed
}

// takeRetry returns the part of the retry budget that the request's workspace may use, and
// whether that allows another attempt, which is then counted.
func (x *exchange) takeRetry() (part float64, allowed bool) {
	r := x.role
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	part = r.planner.Headroom(now, x.service, x.workspace)
	return part, r.budget.AllowRetryWithin(now, x.service, part)
}

// endCanceled ends a request whose caller disconnected, or whose deadline passed while
// no upstream ran it.
func (x *exchange) endCanceled() {
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		x.refuseOrAbort("deadline", 0)
		return
	}
	x.logDecision("caller_left", "attempts", x.attempts)
	x.role.requestMetrics.recordAnswer(x.service, "caller_left", x.role.clock.Now().Sub(x.arrived))
	// A caller that closed only its sending side may still read: returning would
	// end the answer as if it were complete.
	panic(http.ErrAbortHandler)
}

// refuseOrAbort ends a request that is not sent to an upstream, or to no further one:
// it refuses the request, or aborts the answer if one has started.
func (x *exchange) refuseOrAbort(reason string, retryAfter time.Duration) {
	switch {
	case x.events.started:
		x.abortAnswer(reason)
	case x.mayHaveRun:
		x.refuse(http.StatusBadGateway, reason, 0)
	default:
		x.refuse(http.StatusServiceUnavailable, reason, retryAfter)
	}
}

// answerFailure gives the final answer after the last attempt failed; answer is the
// upstream's, or nil if it can't be relayed.
func (x *exchange) answerFailure(answer *bufferedAnswer) {
	switch {
	case x.events.started:
		x.abortAnswer("upstream_broke_off")
	case answer != nil:
		x.deliver(answer)
	case x.mayHaveRun && errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		x.refuse(http.StatusGatewayTimeout, "timeout", 0)
	case x.mayHaveRun:
		x.refuse(http.StatusBadGateway, "upstream_failed", 0)
	default:
		x.refuse(http.StatusServiceUnavailable, "not_run", x.randomRetryAfter())
	}
}

// Bounds of the Retry-After when no upstream ran a request, or when this entry is
// short of processor time: about as long as a request runs at an upstream.
const (
	minFullRetryAfter = 100 * time.Millisecond
	maxFullRetryAfter = 500 * time.Millisecond
)

// randomRetryAfter returns a random Retry-After, so that callers refused at the same
// time don't retry at the same time.
func (x *exchange) randomRetryAfter() time.Duration {
	x.role.mu.Lock()
	defer x.role.mu.Unlock()
	return x.role.randomDuration(minFullRetryAfter, maxFullRetryAfter)
}

// randomDuration returns a random duration between two bounds. The caller holds r.mu.
func (r *Role) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(r.rnd.Int63n(int64(most-least)))
}

// abortAnswer ends an answer that can't be completed in a way that doesn't look
// complete. It panics with http.ErrAbortHandler.
func (x *exchange) abortAnswer(reason string) {
	x.logDecision("answer_cut", "why", reason, "attempts", x.attempts, "after_event", x.events.lastID)
	x.role.requestMetrics.recordAnswer(x.service, "cut", x.role.clock.Now().Sub(x.arrived))
	panic(http.ErrAbortHandler)
}
