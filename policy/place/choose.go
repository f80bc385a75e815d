package place

import (
	"hash/fnv"
	"time"

	"marigoldcleat.example/cleat"
)

// plainQueue is how many requests may be at a plain upstream, in slots.
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
		if ok && (best == nil || cost < least || (cost == least && u.sentAt.Before(best.sentAt))) {
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
	penalty := time.Duration(u.failureRate(now) * float64(failurePenalty))
	if u.record.Domain != p.cfg.Domain {
		penalty += p.cfg.AwayPenalty
	}
	if u.engine == nil {
		return p.plainCost(now, j, u) + penalty, u.running() < plainQueue*u.record.Slots
	}
	cached := u.cached(j.Parts)
	unread := max(0, j.Prompt-cached)
	if u.running() >= u.engine.Slots {
		return 0, false
	}
	limit := int(memoryShare * float64(u.engine.MemoryTokens))
	if u.running() > 0 && u.memory+u.peers.memory+unread+j.Output > limit {
		return 0, false
	}
	wait := u.wait(unread)
	pace, ok := p.paceCost(now, j, u, unread, wait)
	if !ok {
		return 0, false
	}
	cost := wait + penalty + pace + rereadCost(j, u, cached)
	if late {
		return cost, u.wait(0) <= p.cfg.LateBacklog
	}
	return cost, !now.Add(waitSafety*wait/10 + p.cfg.Margin).After(j.Target)
}

// waitSafety is the part, in tenths, of an expected wait that is planned with:
// what other entries send meanwhile is not known yet.
const waitSafety = 14

const (
	// sustained is the part of the best pace seen that streams get beside others.
	sustained = 0.6
	// maxDuty bounds the part of the time that an engine may read prompts.
	maxDuty = 0.8
	// spareDuty is the part up to which requests beyond a workspace's share are taken.
	spareDuty = 0.4
	// othersWeight is how many times over the reading of a prompt counts beside the most urgent stream.
	othersWeight = 2
	// paceWeight scales how far urgent streams and long prompts keep apart.
	paceWeight = 1500 * time.Millisecond
	// laneWeight is how much longer a wait the most urgent stream bears to be with others like it.
	laneWeight = 600 * time.Millisecond
	// dutyStep bounds what a single prompt adds to the time spent on reading, in
	// milliseconds: a prompt longer than the window could go nowhere otherwise.
	dutyStep = 250
)

// paceCost keeps long prompts away from engines whose streams must be quick, and
// such streams away from engines that read much: reading slows all streams of
// an engine. It reports whether streams there would still end in time.
func (p *Planner) paceCost(now time.Time, j *Job, u *upstream, unread int, wait time.Duration) (time.Duration, bool) {
	best := sustained * p.bestPace[j.Service]
	if best == 0 {
		return 0, true
	}
	needed := u.needed(now)
	own := min(1, j.paceLeft(now.Add(wait))/best)
	others := min(1, needed/best)
	duty := u.duty(now, min(unread, int(u.speed*dutyStep)))
	if u.running() > 0 && (duty > maxDuty || (u.streamPace > 0 && u.streamPace < needed)) {
		return 0, false
	}
	reading := time.Duration(float64(unread)/u.speed) * time.Millisecond
	urgent := time.Duration(own * (duty*float64(paceWeight) + u.lane*float64(laneWeight)))
	return urgent + time.Duration((othersWeight*others+1-u.lane)*float64(reading)), true
}

// hashOf returns a hash of a name that is the same at all entries.
func hashOf(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // It never fails.
	return h.Sum64()
}

// unit maps a hash to a number from 0 to 1.
func unit(hash uint64) float64 {
	return float64(hash*0x9E3779B97F4A7C15>>40) / (1 << 24)
}

// laneOf orders upstreams, alike at all entries, from 0 for those that urgent
// streams fill first to 1 for those that long prompts do.
func laneOf(hash uint64) float64 { return unit(hash ^ laneSalt) }

// laneSalt keeps the order of lanes apart from the one of preferences.
const laneSalt = 0x6c616e65

// rereadWeight is how many times over the reading of a shared part counts at an
// upstream that doesn't keep it: reading it again takes time from all others.
const rereadWeight = 3

// rereadCost draws requests to the upstreams that keep their shared parts. Among
// those that don't, a hash decides, so that entries choose alike without having
// heard of each other's choices.
func rereadCost(j *Job, u *upstream, cached int) time.Duration {
	if len(j.Parts) < 2 {
		return 0
	}
	shared := j.Prompt - j.Parts[len(j.Parts)-1].Tokens
	missing := max(0, shared-cached)
	if missing == 0 {
		return 0
	}
	reading := float64(missing) / u.speed
	return time.Duration(reading*rereadWeight*(1+preference(j, u))) * time.Millisecond
}

// preference orders upstreams for a prompt's shared parts, from 0 to 1.
func preference(j *Job, u *upstream) float64 {
	return unit(u.hash ^ j.Parts[len(j.Parts)-2].Digest)
}

// plainCost spreads requests over the upstreams of a plain service by their load.
// The more entries there are, the less is known of what they do at the moment:
// chance then keeps them from all choosing the same.
func (p *Planner) plainCost(now time.Time, j *Job, u *upstream) time.Duration {
	load := time.Duration(u.running()) * plainLoadCost / time.Duration(max(1, u.record.Slots))
	chance := min(time.Duration(p.livePeers(now))*peerChance, maxChance)
	return load + time.Duration(unit(u.hash^j.ID)*float64(chance))
}

const (
	plainLoadCost = 100 * time.Millisecond // The cost of an upstream whose slots are all taken.
	peerChance    = 3 * time.Millisecond   // For each entry that is heard.
	maxChance     = 50 * time.Millisecond  // Three requests at an upstream of six slots.
)

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
func (p *Planner) judge(now time.Time, j *Job, d drain, ahead int) (Verdict, bool) {
	wait := d.time(ahead)
	idle := p.idleWait(now, j)
	limit := j.Target
	if now.Add(idle + p.cfg.Margin).After(j.Target) {
		limit = j.Target.Add(j.Deadline.Sub(j.Target) / lateShare)
	}
	if now.Add(wait + idle).After(limit) {
		retry := min(max(wait, p.cfg.MaxRetry/8), p.cfg.MaxRetry)
		return Verdict{Job: j, Reason: ReasonOverload, RetryAfter: retry}, true
	}
	return Verdict{}, false
}

// lateShare divides the time between objective and deadline: a late job waits
// for this part of it at most.
const lateShare = 5

// drain is how fast a service's upstreams read what waits for them.
type drain struct {
	plain   bool    // There are no prompts to read.
	speed   float64 // Tokens/ms; zero when no upstream can be used.
	backlog int     // Tokens that the upstreams have to read.
	share   float64 // This entry's part.
	longest time.Duration
}

func (p *Planner) drainOf(now time.Time, s cleat.ServiceName) drain {
	d := drain{share: 1 / float64(1+p.livePeers(now)), longest: p.cfg.MaxRetry, plain: p.engines[s] == nil}
	for _, u := range p.services[s] {
		if u.record.Phase == cleat.UpstreamReady && !now.Before(u.avoidUntil) {
			d.speed += u.speed
			d.backlog += u.backlog()
		}
	}
	return d
}

// time is how long it takes to get so many waiting prompt tokens, behind what the
// upstreams have, read.
func (d drain) time(ahead int) time.Duration {
	switch {
	case d.plain:
		return 0
	case d.speed == 0:
		return d.longest
	}
	return time.Duration((float64(d.backlog)+float64(ahead)/d.share)/d.speed) * time.Millisecond
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
