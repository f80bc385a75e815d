package ctrl

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/state/claim"
	"marigoldcleat.example/cleat/state/config"
)

// propose commits a command to the replicated log and decodes its result.
func (r *Role) propose(ctx context.Context, c command, timeout time.Duration, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return decodeResult(ctx, r.host.StartPropose(encode(&c)), result)
}

// decodeResult waits for the result of a proposed command and decodes it.
func decodeResult(ctx context.Context, await func(context.Context) ([]byte, error), result any) error {
	b, err := await(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := msgpack.Unmarshal(b, result); err != nil {
		return trace.ConnectionProblem(err, "decodeResult: the result can't be read")
	}
	return nil
}

const (
	// resendAfter is the time after which a command that got no answer is proposed again: the
	// leader may be lost. A command takes a few milliseconds otherwise.
	resendAfter = 150 * time.Millisecond
	// retryPause is the pause before a command is proposed again that was not accepted, mostly
	// because a leader is being elected.
	retryPause = 20 * time.Millisecond
)

// proposeUntilAnswered proposes a command that may be committed more than once, until it is
// answered or ctx ends. Callers try the next instance only after a second, so a change of leader
// is bridged here. When a result calls for it, next returns the command to propose instead.
func proposeUntilAnswered[T any](ctx context.Context, r *Role, c command, next func(T) (command, bool)) (T, error) {
	type answer struct {
		result T
		err    error
	}
	var none T
	answers := make(chan answer)
	propose := func() {
		await := r.host.StartPropose(encode(&c))
		go func() {
			var a answer
			a.err = decodeResult(ctx, await, &a.result)
			select {
			case answers <- a:
			case <-ctx.Done():
			}
		}()
	}
	propose()
	unanswered := 1 // Proposals that may still be committed.
	resend := time.NewTimer(resendAfter)
	defer resend.Stop()
	for {
		select {
		case a := <-answers:
			if a.err == nil {
				following, again := next(a.result)
				if !again {
					return a.result, nil
				}
				c = following
				propose()
				resend.Reset(resendAfter)
			} else if trace.IsLimitExceeded(a.err) {
				if unanswered--; unanswered == 0 && !r.expectsQuorum() {
					return none, a.err
				}
				resend.Reset(retryPause)
			}
		case <-resend.C:
			if !r.expectsQuorum() {
				return none, trace.ConnectionProblem(nil, "proposeUntilAnswered: no quorum answers; the outcome is unknown")
			}
			propose()
			unanswered++
			resend.Reset(resendAfter)
		case <-ctx.Done():
			if unanswered > 0 {
				return none, trace.ConnectionProblem(ctx.Err(), "proposeUntilAnswered: no quorum answered in time; the outcome is unknown")
			}
			return none, trace.LimitExceeded("proposeUntilAnswered: no leader accepted the command")
		}
	}
}

// Change proposes a change of the settings, authorised by the token with the given hash.
// A trace.ConnectionProblem error means that the outcome is unknown, a
// trace.LimitExceeded error that the change was certainly not accepted.
func (r *Role) Change(ctx context.Context, c cleat.Change, token string) (cleat.ChangeResult, error) {
	var result cleat.ChangeResult
	if err := config.CheckChange(&c); err != nil {
		return cleat.ChangeResult{Code: cleat.ChangeInvalid, Problem: trace.UserMessage(err), Revision: r.machine.Revision()}, nil
	}
	cmd := command{Change: &config.ChangeCommand{Change: c, Token: token, At: r.clock.Now()}}
	err := r.propose(ctx, cmd, r.cfg.ChangeTimeout, &result)
	if err != nil {
		r.instruments.countChange("not_answered")
		return result, err
	}
	r.instruments.countChange(string(result.Code))
	r.instruments.change.RecordDuration(r.clock.Now().Sub(cmd.Change.At))
	return result, nil
}

// ChangeToken proposes a change of the tokens; errors are those of Change.
func (r *Role) ChangeToken(ctx context.Context, c config.TokenCommand) (cleat.ChangeResult, error) {
	var result cleat.ChangeResult
	if err := config.CheckToken(c); err != nil {
		return cleat.ChangeResult{Code: cleat.ChangeInvalid, Problem: trace.UserMessage(err), Revision: r.machine.Revision()}, nil
	}
	c.At = r.clock.Now()
	err := r.propose(ctx, command{Token: &c}, r.cfg.ChangeTimeout, &result)
	return result, err
}

// startClaim proposes a command of the claim table and returns a function that waits
// for its result.
func (r *Role) startClaim(c claim.Command) func() (cleat.ClaimResult, error) {
	started := r.clock.Now()
	c.Elapsed = r.machine.Elapsed(started)
	await := r.host.StartPropose(encode(&command{Claim: &c}))
	return func() (cleat.ClaimResult, error) {
		ctx, cancel := context.WithTimeout(r.ctx, r.cfg.ClaimTimeout)
		defer cancel()
		var result cleat.ClaimResult
		if err := decodeResult(ctx, await, &result); err != nil {
			r.instruments.countClaim(cleat.ClaimNoQuorum)
			return result, err
		}
		r.instruments.countClaim(result.State)
		r.instruments.claim.RecordDuration(r.clock.Now().Sub(started))
		return result, nil
	}
}

func (r *Role) handleClaim(l cleat.Link, m *cleat.Claim) {
	if len(m.Key) > claim.MaxKeyBytes || len(m.Digest) > claim.MaxDigestBytes {
		r.sendOrLog(l, &cleat.ClaimResult{Call: m.Call, State: cleat.ClaimInDoubt, Mismatch: true})
		return
	}
	r.answerClaim(l, m.Call, claim.Command{Holder: holderOf(l), Claim: m})
}

func (r *Role) handleClaimOutcome(l cleat.Link, m *cleat.ClaimOutcome) {
	m.Answer = claim.TrimAnswer(m.Answer)
	r.answerClaim(l, m.Call, claim.Command{Holder: holderOf(l), Outcome: m})
}

func holderOf(l cleat.Link) claim.Holder {
	return claim.Holder{Instance: l.Peer().Instance, Incarnation: l.Peer().Incarnation}
}

// answerClaim proposes at once, so that a claim follows the outcomes that its node sent
// before, and waits in a new goroutine, so that concurrent claims share a disk sync.
// Above MaxClaimsInFlight the node is answered at once with no_quorum.
func (r *Role) answerClaim(l cleat.Link, call uint64, c claim.Command) {
	select {
	case r.claimSlots <- struct{}{}:
	default:
		r.sendOrLog(l, &cleat.ClaimResult{Call: call, State: cleat.ClaimNoQuorum})
		return
	}
	await := r.startClaim(c)
	go func() {
		defer func() { <-r.claimSlots }()
		result, err := await()
		if err != nil {
			r.log.Debug("claim not answered", "node", l.Peer().Instance, "err", err)
			result = cleat.ClaimResult{Call: call, State: cleat.ClaimNoQuorum}
		}
		r.sendOrLog(l, &result)
	}()
}
