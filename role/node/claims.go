package node

import (
	"maps"
	"slices"
	"time"

	"marigoldcleat.example/cleat"
)

// pendingCalls holds the claims and outcomes that no control instance has answered yet.
type pendingCalls struct {
	lastCall uint64
	claims   map[uint64]*pendingClaim
	outcomes map[uint64]*pendingOutcome
}

type pendingClaim struct {
	claim       cleat.Claim
	result      chan cleat.ClaimResult
	sentAt      time.Time
	lastControl cleat.InstanceID // The control instance it was last sent to.
}

type pendingOutcome struct {
	outcome     cleat.ClaimOutcome
	createdAt   time.Time
	sentAt      time.Time
	lastControl cleat.InstanceID
}

func newPendingCalls() pendingCalls {
	return pendingCalls{claims: make(map[uint64]*pendingClaim), outcomes: make(map[uint64]*pendingOutcome)}
}

// Claim requests the durable claim m and resends it until it is answered or the
// deadline passes. After the deadline the result is ClaimNoQuorum, and the outcome
// OutcomeNotRun is recorded, so that a claim granted late is released.
func (c *Client) Claim(m cleat.Claim, deadline time.Time) cleat.ClaimResult {
	p := &pendingClaim{claim: m, result: make(chan cleat.ClaimResult, 1)}
	c.mu.Lock()
	c.calls.lastCall++
	p.claim.Call = c.calls.lastCall
	c.calls.claims[p.claim.Call] = p
	c.mu.Unlock()
	c.sendClaim(p)

	timer := time.NewTimer(deadline.Sub(c.clock.Now()))
	defer timer.Stop()
	select {
	case r := <-p.result:
		return r
	case <-timer.C:
	}
	return c.abandonClaim(p)
}

// abandonClaim stops waiting for a claim and returns its result if it arrived in the
// meantime. An unanswered claim may have been granted, so it is released with
// OutcomeNotRun.
func (c *Client) abandonClaim(p *pendingClaim) cleat.ClaimResult {
	c.mu.Lock()
	delete(c.calls.claims, p.claim.Call)
	c.mu.Unlock()
	select {
	case r := <-p.result:
		return r
	default:
	}
	c.Record(cleat.ClaimOutcome{
		Workspace: p.claim.Workspace, Key: p.claim.Key, Request: p.claim.Request, Outcome: cleat.OutcomeNotRun,
	})
	return cleat.ClaimResult{Call: p.claim.Call, State: cleat.ClaimNoQuorum}
}

// Record sends the outcome of a claimed request to a control instance and returns
// immediately. The outcome is resent until a quorum has stored it or it is older than
// Config.AbandonAfter. It is dropped with an error in the log when MaxPendingOutcomes
// are pending already.
func (c *Client) Record(o cleat.ClaimOutcome) {
	c.mu.Lock()
	if len(c.calls.outcomes) >= MaxPendingOutcomes {
		c.mu.Unlock()
		c.log.Error("claim outcome dropped: too many outcomes are pending", "workspace", o.Workspace, "request", o.Request)
		return
	}
	c.calls.lastCall++
	o.Call = c.calls.lastCall
	p := &pendingOutcome{outcome: o, createdAt: c.clock.Now()}
	c.calls.outcomes[o.Call] = p
	c.mu.Unlock()
	c.sendOutcome(p)
}

func (c *Client) sendClaim(p *pendingClaim) {
	c.mu.Lock()
	link := c.nextLink(p.lastControl)
	if link != nil {
		p.lastControl, p.sentAt = link.Peer().Instance, c.clock.Now()
	}
	m := p.claim
	c.mu.Unlock()
	if link != nil {
		c.send(link, &m)
	}
}

func (c *Client) sendOutcome(p *pendingOutcome) {
	c.mu.Lock()
	link := c.nextLink(p.lastControl)
	if link != nil {
		p.lastControl, p.sentAt = link.Peer().Instance, c.clock.Now()
	}
	m := p.outcome
	c.mu.Unlock()
	if link != nil {
		c.send(link, &m)
	}
}

// nextLink returns the link for the next try of a call, given the control instance it
// was last sent to: the primary for the first try, then all in rotation. It
// returns nil when there is no link to use; Client.mu is held.
func (c *Client) nextLink(last cleat.InstanceID) cleat.Link {
	if last == "" {
		return c.primaryLink()
	}
	ids := slices.Sorted(maps.Keys(c.links))
	if len(ids) == 0 {
		return nil
	}
	i, found := slices.BinarySearch(ids, last)
	if found {
		i++
	}
	return c.links[ids[i%len(ids)]].link
}

// handleClaimResult completes the pending call that m answers. ClaimNoQuorum is
// ignored, because the call is resent to another control instance: a claim until
// its deadline, an outcome until Config.AbandonAfter.
func (c *Client) handleClaimResult(m *cleat.ClaimResult) {
	if m.State == cleat.ClaimNoQuorum {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls.outcomes, m.Call)
	if p, ok := c.calls.claims[m.Call]; ok {
		delete(c.calls.claims, m.Call)
		p.result <- *m
	}
}

// resendUnanswered resends claims and outcomes that were not answered within
// Config.RetryInterval.
func (c *Client) resendUnanswered() {
	now := c.clock.Now()
	c.mu.Lock()
	var claims []*pendingClaim
	for _, p := range c.calls.claims {
		if now.Sub(p.sentAt) >= c.cfg.RetryInterval {
			claims = append(claims, p)
		}
	}
	outcomes := c.dueOutcomes(now)
	c.mu.Unlock()
	for _, p := range claims {
		c.sendClaim(p)
	}
	for _, p := range outcomes {
		c.sendOutcome(p)
	}
}

// dueOutcomes returns the outcomes to resend and drops those older than
// Config.AbandonAfter; Client.mu is held.
func (c *Client) dueOutcomes(now time.Time) []*pendingOutcome {
	var due []*pendingOutcome
	for call, p := range c.calls.outcomes {
		switch {
		case now.Sub(p.createdAt) >= c.cfg.AbandonAfter:
			c.log.Error("claim outcome not stored in time; giving up", "workspace", p.outcome.Workspace, "request", p.outcome.Request)
			delete(c.calls.outcomes, call)
		case now.Sub(p.sentAt) >= c.cfg.RetryInterval:
			due = append(due, p)
		}
	}
	return due
}

// PendingOutcomes returns the number of outcomes whose storage is not yet acknowledged.
func (c *Client) PendingOutcomes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls.outcomes)
}
