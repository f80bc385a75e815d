package node

import (
	"maps"
	"slices"
	"time"

	"marigoldcleat.example/cleat"
)

// calls are claims and outcomes that wait for an answer.
type calls struct {
	next    uint64
	claims  map[uint64]*pendingClaim
	records map[uint64]*pendingRecord
}

type pendingClaim struct {
	claim cleat.Claim
	done  chan cleat.ClaimResult
	sent  time.Time
	last  cleat.InstanceID // The control instance it was last sent to.
}

type pendingRecord struct {
	outcome cleat.ClaimOutcome
	since   time.Time
	sent    time.Time
	last    cleat.InstanceID
}

func newCalls() calls {
	return calls{claims: make(map[uint64]*pendingClaim), records: make(map[uint64]*pendingRecord)}
}

// Claim asks for the durable claim until it is answered or the deadline
// passes; then a late grant is given back and the result is ClaimNoQuorum.
func (c *Client) Claim(m cleat.Claim, deadline time.Time) cleat.ClaimResult {
	p := &pendingClaim{claim: m, done: make(chan cleat.ClaimResult, 1)}
	c.mu.Lock()
	c.calls.next++
	p.claim.Call = c.calls.next
	c.calls.claims[p.claim.Call] = p
	c.mu.Unlock()
	c.sendClaim(p)

	timer := time.NewTimer(deadline.Sub(c.clock.Now()))
	defer timer.Stop()
	select {
	case r := <-p.done:
		return r
	case <-timer.C:
	}
	return c.abandon(p)
}

// abandon gives up a claim whose fate is unknown.
func (c *Client) abandon(p *pendingClaim) cleat.ClaimResult {
	c.mu.Lock()
	delete(c.calls.claims, p.claim.Call)
	c.mu.Unlock()
	select {
	case r := <-p.done:
		return r
	default:
	}
	c.Record(cleat.ClaimOutcome{
		Workspace: p.claim.Workspace, Key: p.claim.Key, Request: p.claim.Request, Outcome: cleat.OutcomeNotRun,
	})
	return cleat.ClaimResult{Call: p.claim.Call, State: cleat.ClaimNoQuorum}
}

// Record stores how a claimed request ended; it is retried until a quorum has
// it or it is too old.
func (c *Client) Record(o cleat.ClaimOutcome) {
	c.mu.Lock()
	if len(c.calls.records) >= MaxRecords {
		c.mu.Unlock()
		c.log.Error("an outcome is dropped because too many wait", "workspace", o.Workspace, "request", o.Request)
		return
	}
	c.calls.next++
	o.Call = c.calls.next
	p := &pendingRecord{outcome: o, since: c.clock.Now()}
	c.calls.records[o.Call] = p
	c.mu.Unlock()
	c.sendRecord(p)
}

func (c *Client) sendClaim(p *pendingClaim) {
	c.mu.Lock()
	link := c.linkAfter(p.last)
	if link != nil {
		p.last, p.sent = link.Peer().Instance, c.clock.Now()
	}
	m := p.claim
	c.mu.Unlock()
	if link != nil {
		c.send(link, &m)
	}
}

func (c *Client) sendRecord(p *pendingRecord) {
	c.mu.Lock()
	link := c.linkAfter(p.last)
	if link != nil {
		p.last, p.sent = link.Peer().Instance, c.clock.Now()
	}
	m := p.outcome
	c.mu.Unlock()
	if link != nil {
		c.send(link, &m)
	}
}

// linkAfter returns the link to use after the one to last: the primary one
// first, then the others in turn.
func (c *Client) linkAfter(last cleat.InstanceID) cleat.Link {
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

// takeResult answers a waiting call. A control instance without a quorum is no
// answer while the deadline allows to ask another.
func (c *Client) takeResult(m *cleat.ClaimResult) {
	if m.State == cleat.ClaimNoQuorum {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls.records, m.Call)
	if p, ok := c.calls.claims[m.Call]; ok {
		delete(c.calls.claims, m.Call)
		p.done <- *m
	}
}

// retry sends again what was not answered in time.
func (c *Client) retry() {
	now := c.clock.Now()
	c.mu.Lock()
	var claims []*pendingClaim
	for _, p := range c.calls.claims {
		if now.Sub(p.sent) >= c.cfg.RetryInterval {
			claims = append(claims, p)
		}
	}
	records := c.dueRecords(now)
	c.mu.Unlock()
	for _, p := range claims {
		c.sendClaim(p)
	}
	for _, p := range records {
		c.sendRecord(p)
	}
}

func (c *Client) dueRecords(now time.Time) []*pendingRecord {
	var due []*pendingRecord
	for call, p := range c.calls.records {
		switch {
		case now.Sub(p.since) >= c.cfg.AbandonAfter:
			c.log.Error("an outcome could not be stored", "workspace", p.outcome.Workspace, "request", p.outcome.Request)
			delete(c.calls.records, call)
		case now.Sub(p.sent) >= c.cfg.RetryInterval:
			due = append(due, p)
		}
	}
	return due
}

// Pending returns how many outcomes are not yet known to be stored.
func (c *Client) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls.records)
}
