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

// propose puts a command through the replicated log and decodes its result.
func (r *Role) propose(ctx context.Context, c command, timeout time.Duration, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	b, err := r.host.Propose(ctx, encode(&c))
	if err != nil {
		return trace.Wrap(err)
	}
	if err := msgpack.Unmarshal(b, result); err != nil {
		return trace.ConnectionProblem(err, "Role.propose: the result can't be read")
	}
	return nil
}

// Change puts a change of the settings through the log under a token's hash. A
// trace.ConnectionProblem error means that its fate is unknown, a
// trace.LimitExceeded error that it was certainly not accepted.
func (r *Role) Change(ctx context.Context, c cleat.Change, token string) (cleat.ChangeResult, error) {
	var result cleat.ChangeResult
	if err := config.Check(&c); err != nil {
		return cleat.ChangeResult{Code: cleat.ChangeInvalid, Problem: trace.UserMessage(err), Revision: r.machine.Revision()}, nil
	}
	cmd := command{Change: &config.ChangeCommand{Change: c, Token: token, At: r.clock.Now()}}
	err := r.propose(ctx, cmd, r.cfg.ChangeTimeout, &result)
	if err != nil {
		r.measures.countChange("not_answered")
		return result, err
	}
	r.measures.countChange(string(result.Code))
	r.measures.change.RecordDuration(r.clock.Now().Sub(cmd.Change.At))
	return result, nil
}

// ChangeToken puts a change of the tokens through the log.
func (r *Role) ChangeToken(ctx context.Context, c config.TokenCommand) (cleat.ChangeResult, error) {
	var result cleat.ChangeResult
	if err := config.CheckToken(c); err != nil {
		return cleat.ChangeResult{Code: cleat.ChangeInvalid, Problem: trace.UserMessage(err), Revision: r.machine.Revision()}, nil
	}
	c.At = r.clock.Now()
	err := r.propose(ctx, command{Token: &c}, r.cfg.ChangeTimeout, &result)
	return result, err
}

// claim puts one step of the claims through the log.
func (r *Role) claim(c claim.Command) (cleat.ClaimResult, error) {
	var result cleat.ClaimResult
	began := r.clock.Now()
	c.Elapsed = r.machine.Elapsed(began)
	if err := r.propose(r.ctx, command{Claim: &c}, r.cfg.ClaimTimeout, &result); err != nil {
		r.measures.countClaim(cleat.ClaimNoQuorum)
		return result, err
	}
	r.measures.countClaim(result.State)
	r.measures.claim.RecordDuration(r.clock.Now().Sub(began))
	return result, nil
}

func (r *Role) takeClaim(l cleat.Link, m *cleat.Claim) {
	if len(m.Key) > claim.MaxKeyBytes || len(m.Digest) > claim.MaxDigestBytes {
		r.post(l, &cleat.ClaimResult{Call: m.Call, State: cleat.ClaimInDoubt, Mismatch: true})
		return
	}
	r.answerClaim(l, m.Call, claim.Command{Holder: holderOf(l), Claim: m})
}

func (r *Role) takeOutcome(l cleat.Link, m *cleat.ClaimOutcome) {
	m.Answer = claim.Trim(m.Answer)
	r.answerClaim(l, m.Call, claim.Command{Holder: holderOf(l), Outcome: m})
}

func holderOf(l cleat.Link) claim.Holder {
	return claim.Holder{Instance: l.Peer().Instance, Incarnation: l.Peer().Incarnation}
}

// answerClaim proposes in its own goroutine, so that many claims share a sync;
// beyond the bound the node hears at once that there is no answer.
func (r *Role) answerClaim(l cleat.Link, call uint64, c claim.Command) {
	select {
	case r.claims <- struct{}{}:
	default:
		r.post(l, &cleat.ClaimResult{Call: call, State: cleat.ClaimNoQuorum})
		return
	}
	go func() {
		defer func() { <-r.claims }()
		result, err := r.claim(c)
		if err != nil {
			r.log.Debug("claim not answered", "node", l.Peer().Instance, "err", err)
			result = cleat.ClaimResult{Call: call, State: cleat.ClaimNoQuorum}
		}
		r.post(l, &result)
	}()
}
