package place

import (
	"hash/fnv"
	"time"

	"marigoldcleat.example/cleat"
)

// plainRequestsPerSlot is how many requests may be in flight for each slot of an
// upstream of a plain service, which is one without a model engine.
const plainRequestsPerSlot = 2

// chooseUpstream returns the upstream with the lowest cost that can take a job now,
// or nil.
func (p *Planner) chooseUpstream(now time.Time, j *Job) *upstream {
	late := p.isLate(now, j)
	j.headroom = p.usage.headroom(now, j.Workspace)
	j.source = p.findSource(now, j)
	p.estimateOutput(now, j)
	var best *upstream
	var bestCost time.Duration
	var limited []candidate // Upstreams that could take the job with a permit.
	for _, u := range p.services[j.Service] {
		if !isUsable(u, j) || !u.isOpen(now) {
			continue
		}
		cost, ok := p.cost(now, j, u, late)
		if ok && !p.limits.AllowsCold(now, u.record.Upstream) {
			continue
		}
		if ok && !p.limits.Allows(now, u.record.Upstream) {
			limited = append(limited, candidate{u, cost})
			continue
		}
		if ok && (best == nil || cost < bestCost || (cost == bestCost && u.lastSentAt.Before(best.lastSentAt))) {
			best, bestCost = u, cost
		}
	}
	p.wantPermits(now, j, limited, best, bestCost)
	if best == nil {
		return p.fallbackUpstream(now, j)
	}
	return best
}

// fallbackUpstream returns the upstream whose back-off ends first when all usable
// upstreams of the service are avoided: holding the job back would help no request.
// It returns nil while that upstream runs another request.
func (p *Planner) fallbackUpstream(now time.Time, j *Job) *upstream {
	var best *upstream
	for _, u := range p.services[j.Service] {
		if !isUsable(u, j) || u.isPaused(now) || !p.limits.AllowsCold(now, u.record.Upstream) || !p.limits.Allows(now, u.record.Upstream) {
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

// cost returns the expected wait at an upstream plus its penalties, and whether the
// upstream can take the job now. An engine takes a late job only while its backlog
// is short.
func (p *Planner) cost(now time.Time, j *Job, u *upstream, late bool) (time.Duration, bool) {
	penalty := time.Duration(u.failureRate(now) * float64(failurePenalty))
	if u.record.Domain != p.cfg.Domain {
		penalty += p.cfg.RemotePenalty
	}
	if u.engine == nil {
		return p.plainCost(now, j, u) + penalty, u.running() < plainRequestsPerSlot*u.record.Slots
	}
	cached, transfer := u.withFetch(j.source, u.cached(j.Blocks))
	prefill := max(0, j.PromptTokens-cached)
	if u.running() >= u.engine.Slots {
		return 0, false
	}
	if u.running() > 0 && u.expectedMemory()+j.expectedMemory(prefill) > int(runMemoryShare*float64(u.engine.MemoryTokens)) {
		return 0, false
	}
	wait := u.expectedWait(prefill) + u.decodeDelay(j, prefill) + transfer
	interference, ok := p.interferenceCost(now, j, u, prefill, wait)
	if !ok {
		return 0, false
	}
	cost := wait + penalty + interference + cacheMissCost(j, u, cached) + p.permitCost(now, u, prefill) + u.outputCost(j, prefill)
	queued := time.Duration(float64(u.expectedWait(0)) / j.headroom)
	if late {
		return cost, queued <= p.cfg.LateBacklog
	}
	wait += queued - u.expectedWait(0)
	return cost, !now.Add(waitSafetyTenths*wait/10 + p.cfg.Margin).After(j.Target)
}

// waitSafetyTenths is the safety factor on an expected wait, in tenths: what other
// entries send concurrently is not known yet.
const waitSafetyTenths = 14

const (
	// sustainedRateShare is the fraction of the best observed token rate that a
	// stream gets beside others.
	sustainedRateShare = 0.6
	// maxPrefillUtilization bounds the fraction of its time that an engine may spend
	// on prefill.
	maxPrefillUtilization = 0.8
	// maxOverShareUtilization is the prefill utilization up to which requests beyond
	// a workspace's share are admitted.
	maxOverShareUtilization = 0.4
	// prefillImpactWeight multiplies a prompt's prefill time at an engine that runs
	// the most urgent streams.
	prefillImpactWeight = 2
	// utilizationWeight is the cost, for the most urgent stream, of an engine that
	// spends all its time on prefill; it keeps urgent streams and long prompts
	// apart.
	utilizationWeight = 1500 * time.Millisecond
	// affinityWeight is the additional wait that the most urgent stream accepts in
	// order to avoid an engine with a prefill affinity of 1, which long prompts fill
	// first.
	affinityWeight = 600 * time.Millisecond
	// maxPromptPrefillMillis bounds the prefill time that a single prompt adds to
	// the utilization: a prompt whose prefill takes longer than the window would
	// otherwise fit nowhere.
	maxPromptPrefillMillis = 250
)

// interferenceCost returns a cost that keeps long prompts away from engines whose
// streams need a high token rate, and such streams away from engines with a high
// prefill utilization: prefill slows all streams of an engine. It also reports
// whether the streams there would still meet their deadlines.
func (p *Planner) interferenceCost(now time.Time, j *Job, u *upstream, prefill int, wait time.Duration) (time.Duration, bool) {
	sustained := sustainedRateShare * p.bestStreamRate[j.Service]
	if sustained == 0 {
		return 0, true
	}
	needed := u.neededRate(now)
	ownUrgency := min(1, j.neededRate(now.Add(wait))/sustained)
	peakUrgency := min(1, needed/sustained)
	utilization := u.prefillUtilization(now, min(prefill, int(u.prefillRate*maxPromptPrefillMillis)))
	if u.running() > 0 && (utilization > maxPrefillUtilization || (u.streamRate > 0 && u.streamRate < needed)) {
		return 0, false
	}
	prefillTime := time.Duration(float64(prefill)/u.prefillRate) * time.Millisecond
	urgencyCost := time.Duration(ownUrgency * (utilization*float64(utilizationWeight) + u.prefillAffinity*float64(affinityWeight)))
	return urgencyCost + time.Duration((prefillImpactWeight*peakUrgency+1-u.prefillAffinity)*float64(prefillTime)), true
}

// hashName returns a hash of a name that is the same at all entries.
func hashName(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // Hash.Write never returns an error.
	return h.Sum64()
}

// hashToUnit maps a hash to a number from 0 to 1 by Fibonacci hashing: the
// multiplier is 2^64 divided by the golden ratio.
func hashToUnit(hash uint64) float64 {
	return float64(hash*0x9E3779B97F4A7C15>>40) / (1 << 24)
}

// prefillAffinityOf returns an upstream's rank from 0 to 1, which is the same at all
// entries: urgent streams fill the upstreams near 0 first, long prompts those near 1.
func prefillAffinityOf(hash uint64) float64 { return hashToUnit(hash ^ affinitySalt) }

// affinitySalt makes an upstream's prefill affinity independent of its rendezvous
// rank.
const affinitySalt = 0x6c616e65

// cacheMissWeight multiplies the prefill time of a shared prefix at an upstream that
// doesn't have it cached: prefilling it again takes engine time from all other
// requests.
const cacheMissWeight = 3

// cacheMissCost favours the upstreams that have a request's shared prefix blocks
// cached. Among the others a hash decides, so that entries choose the same one
// before they have received each other's reports.
func cacheMissCost(j *Job, u *upstream, cached int) time.Duration {
	if len(j.Blocks) < 2 {
		return 0
	}
	shared := j.PromptTokens - j.Blocks[len(j.Blocks)-1].Tokens
	missing := max(0, shared-cached)
	if missing == 0 {
		return 0
	}
	prefillMillis := float64(missing) / u.prefillRate
	return time.Duration(prefillMillis*cacheMissWeight*(1+rendezvousRank(j, u))) * time.Millisecond
}

// rendezvousRank returns an upstream's rank for a prompt's shared prefix blocks, from
// 0 (preferred) to 1, by rendezvous hashing. It is the same at all entries.
func rendezvousRank(j *Job, u *upstream) float64 {
	return hashToUnit(u.hash ^ j.Blocks[len(j.Blocks)-2].Digest)
}

// plainCost spreads requests over the upstreams of a plain service by their load.
// The more entries there are, the more requests are in flight that no report shows
// yet: jitter then keeps the entries from all choosing the same upstream.
func (p *Planner) plainCost(now time.Time, j *Job, u *upstream) time.Duration {
	load := time.Duration(u.running()) * fullUpstreamCost / time.Duration(max(1, u.record.Slots))
	load = u.slowedLoad(load)
	jitter := min(time.Duration(p.livePeers(now))*jitterPerPeer, maxJitter)
	return load + time.Duration(hashToUnit(u.hash^j.ID)*float64(jitter))
}

const (
	fullUpstreamCost = 100 * time.Millisecond // The cost of an upstream whose slots are all taken.
	jitterPerPeer    = 3 * time.Millisecond   // For each entry whose report is current.
	maxJitter        = 50 * time.Millisecond  // Equals the cost of three requests at an upstream of six slots.
)

// queue is the sum of waiting jobs.
type queue struct {
	jobs, promptTokens int
}

func (q queue) with(j *Job) queue { return queue{q.jobs + 1, q.promptTokens + max(1, j.PromptTokens)} }

// queueAhead returns the waiting jobs that would go before a new job.
func (p *Planner) queueAhead(now time.Time, j *Job) queue {
	own := p.usage.row(now, j.Workspace).served()
	var q queue
	for _, w := range p.waiting {
		if w.Service == j.Service && p.usage.row(now, w.Workspace).served() <= own {
			q = q.with(w)
		}
	}
	return q
}

// checkOverload refuses a job that can't be served in time behind the jobs ahead of it.
func (p *Planner) checkOverload(now time.Time, j *Job, l serviceLoad, ahead queue) (Verdict, bool) {
	reason, wait := ReasonOverload, l.prefillDelay(ahead.promptTokens)
	if permitDelay := l.permitDelay(ahead.jobs); permitDelay > wait {
		reason, wait = ReasonRateLimit, permitDelay
	}
	if l.isCold {
		reason = ReasonWarmingUp
	}
	idle := p.idleWait(now, j)
	limit := j.Target
	if now.Add(idle + p.cfg.Margin).After(j.Target) {
		limit = j.Target.Add(j.Deadline.Sub(j.Target) / lateWaitDivisor)
	}
	wait = time.Duration(float64(wait) / p.usage.headroom(now, j.Workspace))
	if now.Add(wait + idle).After(limit) {
		retry := min(max(wait, p.cfg.MaxRetryAfter/8), p.cfg.MaxRetryAfter)
		return Verdict{Job: j, Reason: reason, RetryAfter: retry}, true
	}
	return Verdict{}, false
}

// lateWaitDivisor divides the time between objective and deadline: a late job waits
// for at most the resulting time after its objective.
const lateWaitDivisor = 5

// serviceLoad is the prefill backlog of a service's upstreams and the rate at which
// they work it off.
type serviceLoad struct {
	plain         bool          // A plain service has no prompts to prefill.
	prefillRate   float64       // Tokens/ms; zero when no upstream can be used.
	backlog       int           // Prompt tokens that the upstreams have yet to prefill.
	share         float64       // Fraction of the prefill rate that this entry may count on.
	fallbackDelay time.Duration // Delay assumed when no upstream can be used.
	permitRate    float64       // Requests/s that this entry may send; zero unless all upstreams that can be used have a rate limit.
	isCold        bool          // All upstreams that this entry can use are cold.
}

func (p *Planner) serviceLoadOf(now time.Time, s cleat.ServiceName) serviceLoad {
	// Callers may be spread unevenly over the entries.
	share := max(1/float64(1+p.livePeers(now)), p.usage.admittedPart(now))
	l := serviceLoad{share: share, fallbackDelay: p.cfg.MaxRetryAfter, plain: p.engines[s] == nil}
	unlimited, warm := false, false
	for _, u := range p.services[s] {
		if u.record.Phase != cleat.UpstreamReady || u.evacuated || u.isPaused(now) || now.Before(u.avoidUntil) {
			continue
		}
		if p.limits.IsCold(now, u.record.Upstream) {
			p.addCold(now, &l, u)
			continue
		}
		warm = true
		rate := u.prefillRate
		if limit := p.limits.Rate(u.record.Upstream); limit > 0 {
			rate = min(rate, limit*p.promptTokens[s]/1000)
			l.permitRate += p.limits.OwnRate(now, u.record.Upstream)
		} else {
			unlimited = true
		}
		l.prefillRate += rate
		l.backlog += u.backlog()
	}
	if unlimited {
		l.permitRate = 0
	}
	if l.isCold = l.isCold && !warm; l.isCold {
		l.share = 1 // No other entry sends there.
	}
	return l
}

// permitDelay returns the expected time until a job gets a permit after the given
// number of waiting ones.
func (l serviceLoad) permitDelay(ahead int) time.Duration {
	if l.permitRate == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / l.permitRate * float64(time.Second))
}

// prefillDelay returns the expected time until the upstreams have prefilled their
// backlog and then the given number of waiting prompt tokens of this entry.
func (l serviceLoad) prefillDelay(ahead int) time.Duration {
	switch {
	case l.plain:
		return 0
	case l.prefillRate == 0:
		return l.fallbackDelay
	}
	return time.Duration((float64(l.backlog)+float64(ahead)/l.share)/l.prefillRate) * time.Millisecond
}

func (p *Planner) livePeers(now time.Time) int {
	n := 0
	for _, q := range p.peers {
		if now.Sub(q.receivedAt) < peerMaxAge {
			n++
		}
	}
	return n
}
