package place

import (
	"hash/fnv"
	"time"

	"marigoldcleat.example/cleat"
)

// plainQueue is how many requests may wait at a plain upstream beyond its slots.
const plainQueue = 2

// choose returns the upstream to send a job to now, or nil.
func (p *Planner) choose(now time.Time, j *Job) *upstream {
	late := p.late(now, j)
	var best *upstream
	var least time.Duration
	for _, u := range p.services[j.Service] {
		if !usable(u, j) || now.Before(u.avoidUntil) {
			continue
		}
		cost, ok := p.cost(now, j, u, late)
		if ok && (best == nil || cost < least) {
			best, least = u, cost
		}
	}
	if best == nil {
		return p.lastResort(now, j)
	}
	return best
}

// lastResort returns an upstream that is avoided when all of the service are:
// holding the job back would serve nobody.
func (p *Planner) lastResort(now time.Time, j *Job) *upstream {
	var best *upstream
	for _, u := range p.services[j.Service] {
		if !usable(u, j) {
			continue
		}
		if !now.Before(u.avoidUntil) {
			return nil
		}
		if best == nil || u.avoidUntil.Before(best.avoidUntil) {
			best = u
		}
	}
	if best == nil || best.running() > 0 {
		return nil
	}
	return best
}

// cost returns the expected wait at an upstream with its penalties, and whether
// the upstream can take the job now.
func (p *Planner) cost(now time.Time, j *Job, u *upstream, late bool) (time.Duration, bool) {
	penalty := time.Duration(u.failing * float64(failurePenalty))
	if u.record.Domain != p.cfg.Domain {
		penalty += p.cfg.AwayPenalty
	}
	if u.engine == nil {
		return p.plainCost(u) + penalty, u.running() < u.record.Slots+plainQueue
	}
	unread := max(0, j.Prompt-u.cached(j.Parts))
	if u.running() >= u.engine.Slots {
		return 0, false
	}
	limit := int(memoryShare * float64(u.engine.MemoryTokens))
	if u.running() > 0 && u.memory+int(u.peers.Memory)+unread+j.Output > limit {
		return 0, false
	}
	wait := u.wait(unread)
	if late {
		return wait + penalty, u.wait(0) <= p.cfg.LateBacklog
	}
	return wait + penalty + spread(j, u), !now.Add(wait + p.cfg.Margin).After(j.Target)
}

// plainCost spreads requests over the upstreams of a plain service by their load.
func (p *Planner) plainCost(u *upstream) time.Duration {
	return time.Duration(u.running()) * 100 * time.Millisecond / time.Duration(max(1, u.record.Slots))
}

// spreadRange bounds by how much the hash of a prompt's shared parts moves its
// choice among upstreams that keep none of it: entries then choose alike without
// having heard of each other's choices.
const spreadRange = 40 * time.Millisecond

func spread(j *Job, u *upstream) time.Duration {
	if len(j.Parts) < 2 {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(u.record.Upstream)) // It never fails.
	shared := j.Parts[len(j.Parts)-2].Digest
	x := (h.Sum64() ^ shared) * 0x9E3779B97F4A7C15
	return time.Duration(x>>40) * spreadRange / (1 << 24)
}

// aheadOf returns the prompt tokens that would go before a new job.
func (p *Planner) aheadOf(now time.Time, j *Job) int {
	own := p.uses.admitted(now, j.Workspace)
	n := 0
	for _, w := range p.waiting {
		if w.Service == j.Service && p.uses.admitted(now, w.Workspace) <= own {
			n += max(1, w.Prompt)
		}
	}
	return n
}

// judge refuses a job that can't be served in time behind so many prompt tokens.
func (p *Planner) judge(now time.Time, j *Job, ahead int) (Verdict, bool) {
	wait := p.drainTime(now, j.Service, ahead)
	limit := j.Target
	if p.late(now, j) {
		limit = j.Target.Add(j.Deadline.Sub(j.Target) / lateShare)
	}
	if now.Add(wait + p.idleWait(j)).After(limit) {
		retry := min(max(wait, p.cfg.MaxRetry/8), p.cfg.MaxRetry)
		return Verdict{Job: j, Reason: ReasonOverload, RetryAfter: retry}, true
	}
	return Verdict{}, false
}

// lateShare divides the time between objective and deadline: a late job waits
// for this part of it at most.
const lateShare = 4

// drainTime is how long it takes to get so many waiting prompt tokens, behind
// what the upstreams have, read.
func (p *Planner) drainTime(now time.Time, s cleat.ServiceName, ahead int) time.Duration {
	speed, backlog := 0.0, 0
	for _, u := range p.services[s] {
		if u.engine == nil {
			return 0
		}
		if u.record.Phase == cleat.UpstreamReady && !now.Before(u.avoidUntil) {
			speed += u.speed
			backlog += u.backlog()
		}
	}
	if speed == 0 {
		return p.cfg.MaxRetry
	}
	share := 1 / float64(1+p.livePeers(now))
	return time.Duration((float64(backlog)+float64(ahead)/share)/speed) * time.Millisecond
}

func (p *Planner) livePeers(now time.Time) int {
	n := 0
	for _, q := range p.peers {
		if now.Sub(q.heard) < peerMaxAge {
			n++
		}
	}
	return n
}
