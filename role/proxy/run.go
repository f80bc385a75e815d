package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/place"
)

// result is how one attempt ended.
type result uint8

const (
	resultDone   result = iota // The caller has its final answer, or is gone.
	resultNotRun               // Nothing ran; another upstream may be asked.
	resultFailed               // It may have run, and nothing was passed to the caller.
	resultBroken               // A stream ended early after events were passed to the caller.
)

// defaultOutput is how many tokens an answer is taken to have when nothing is said.
const defaultOutput = 128

// run sends the request to upstreams until it has a final answer.
func (x *exchange) run() {
	x.role.count(x.service)
	x.job = x.newJob()
	for {
		v, waits := x.role.submit(x.job)
		if waits != nil || v.Placed() {
			x.follow()
		}
		if waits != nil {
			var ok bool
			if v, ok = x.role.await(x.ctx, x.job, waits); !ok {
				x.ended()
				return
			}
		}
		if !v.Placed() {
			x.giveUp(string(v.Reason), v.RetryAfter)
			return
		}
		if x.ctx.Err() != nil {
			x.role.end(x.job, place.OutcomeCanceled)
			x.ended()
			return
		}
		x.decide("placed", "upstream", v.Upstream.Upstream, "phase", v.Upstream.Phase, "sequence", v.Upstream.Sequence,
			"prompt", x.job.PromptTokens, "unread", v.PrefillTokens, "output", x.job.OutputTokens, "backlog", v.BacklogTokens)
		res, last := x.attempt(v.Upstream)
		if res == resultDone {
			return
		}
		if !x.again(res, v.Upstream) {
			x.fail(last)
			return
		}
	}
}

// count notes a request for a service, which allows repeats later.
func (r *Role) count(s cleat.ServiceName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.RecordRequest(r.clock.Now(), s)
}

func (x *exchange) newJob() *place.Job {
	j := &place.Job{
		Service: x.service, Workspace: x.owner, Rank: x.rank, Arrived: x.began,
		Target: x.began.Add(x.route.Target), Deadline: x.until,
	}
	if p := x.info.Prompt; p != nil {
		j.Blocks, j.PromptTokens = p.Blocks, p.Tokens
		if j.OutputTokens = p.ExpectedOutput; j.OutputTokens == 0 {
			j.OutputTokens = p.MaxOutput
		}
		if j.OutputTokens == 0 {
			j.OutputTokens = defaultOutput
		}
	}
	return j
}

// again decides whether the request goes to another upstream.
func (x *exchange) again(res result, tried cleat.UpstreamRecord) bool {
	if x.ctx.Err() != nil || x.attempts >= x.route.MaxAttempts {
		return false
	}
	if res != resultNotRun && !x.route.Idempotent() {
		return false
	}
	x.job.Tried = append(x.job.Tried, tried.Upstream)
	if x.attempts == 0 {
		return true
	}
	x.role.mu.Lock()
	allowed := x.role.budget.AllowRetry(x.role.clock.Now(), x.service)
	x.role.mu.Unlock()
	x.decide("repeat", "upstream", tried.Upstream, "attempts", x.attempts, "allowed", allowed, "after_event", x.events.last)
	return allowed
}

// ended answers when the caller left or its time was up while nothing ran.
func (x *exchange) ended() {
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		x.giveUp("deadline", 0)
		return
	}
	x.decide("caller_left", "attempts", x.attempts)
	x.role.measures.answered(x.service, "caller_left", x.role.clock.Now().Sub(x.began))
	// A caller that has only stopped sending may still read: to return would end
	// the answer as if it were complete.
	panic(http.ErrAbortHandler)
}

// giveUp answers a request that can't go to any, or any further, upstream.
func (x *exchange) giveUp(why string, retryAfter time.Duration) {
	switch {
	case x.events.started:
		x.cut(why)
	case x.mayRan:
		x.refuse(http.StatusBadGateway, why, 0)
	default:
		x.refuse(http.StatusServiceUnavailable, why, retryAfter)
	}
}

// fail gives the final answer after the last attempt failed; answer is what the
// upstream said, if that can be passed on.
func (x *exchange) fail(answer *buffered) {
	switch {
	case x.events.started:
		x.cut("upstream_broke_off")
	case answer != nil:
		x.deliver(answer)
	case x.mayRan && errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		x.refuse(http.StatusGatewayTimeout, "timeout", 0)
	case x.mayRan:
		x.refuse(http.StatusBadGateway, "upstream_failed", 0)
	default:
		x.refuse(http.StatusServiceUnavailable, "not_run", x.spreadRetry())
	}
}

// Bounds of the time after which a caller whose request an upstream had no room
// for returns: about as long as a request runs there.
const (
	minFullRetry = 100 * time.Millisecond
	maxFullRetry = 500 * time.Millisecond
)

// spreadRetry draws when a caller returns, so that those refused together don't
// return together.
func (x *exchange) spreadRetry() time.Duration {
	x.role.mu.Lock()
	defer x.role.mu.Unlock()
	return minFullRetry + time.Duration(x.role.rnd.Int63n(int64(maxFullRetry-minFullRetry)))
}

// cut ends an answer that can't be completed, so that it doesn't look complete.
func (x *exchange) cut(why string) {
	x.decide("answer_cut", "why", why, "attempts", x.attempts, "after_event", x.events.last)
	x.role.measures.answered(x.service, "cut", x.role.clock.Now().Sub(x.began))
	panic(http.ErrAbortHandler)
}
