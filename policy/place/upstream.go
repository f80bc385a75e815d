package place

import (
	"math"
	"slices"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/speed"
)

const (
	// initialPrefillRate is the prefill rate assumed before any observation, in
	// tokens/ms; it is low enough that a first burst doesn't build a backlog.
	initialPrefillRate = 30.0
	// minPrefillRate and maxPrefillRate bound the learnt prefill rate, in tokens/ms.
	minPrefillRate, maxPrefillRate = 2.0, 1000.0
	// rateStepUp and rateStepDown are the relative steps by which one observation
	// moves the prefill rate: it settles where one observation in three is faster.
	rateStepUp, rateStepDown = 0.04, 0.02
	// streamRateSmoothing is the EWMA weight of one event in the token rate of an
	// upstream's streams.
	streamRateSmoothing = 0.05
	// neededRateInterval is how long a result of ownNeededRate is reused.
	neededRateInterval = 50 * time.Millisecond
	// neededRateQuantile is the quantile of its streams' needed token rates that an
	// upstream has to reach: the few most urgent streams, whose expected output is
	// often wrong, would otherwise keep all prompts away.
	neededRateQuantile = 0.8
	// prefillWindow is the sliding window over which prefill tokens are counted.
	prefillWindow = 2 * time.Second
	// minRateSampleTokens is the smallest prompt from which the prefill rate is
	// learnt: below it the fixed part of the time to the first event dominates.
	minRateSampleTokens = 1500
	// failureSmoothing is the EWMA weight of one request's outcome in the failure
	// rate.
	failureSmoothing = 0.15
	// failurePenalty is added to the expected wait at a failure rate of one.
	failurePenalty = 2 * time.Second
	// failureHalfLife is the time in which the failure rate halves without new
	// outcomes.
	failureHalfLife = 3 * time.Second
	// negligibleFailureRate is the rate below which an upstream counts as healthy.
	negligibleFailureRate = 0.02
	// initialBackoff and maxBackoff bound how long an upstream that can't be reached
	// is avoided.
	initialBackoff, maxBackoff = 200 * time.Millisecond, 3 * time.Second
	// maxBackoffFailures is the number of failures in a row after which the back-off is
	// maxBackoff.
	maxBackoffFailures = 4
	// cacheMemoryShare is the fraction of an engine's memory that is assumed to
	// cache shared prefix blocks.
	cacheMemoryShare = 0.5
	// runMemoryShare is the fraction of an engine's memory that running requests may
	// take; the rest is left to shared prefix blocks, since an engine out of memory
	// restarts its newest request.
	runMemoryShare = 0.8
	// peerMaxAge is the age at which another entry's report expires.
	peerMaxAge = 2 * time.Second
)

// upstream is the planner's state of one upstream.
type upstream struct {
	record cleat.UpstreamRecord
	engine *cleat.ModelEngine // Nil at a plain service.
	cache  *blockCache
	jobs   map[uint64]*Job // Jobs of this entry.

	pendingPrefill  int // Prefill tokens of this entry's jobs without a first event.
	memory          int // Tokens that this entry's jobs take of the engine's memory.
	output          outputLoad
	peers           peerLoad // Load from other entries.
	prefillRate     float64  // Tokens/ms: learnedRate, corrected by speed.
	learnedRate     float64  // Tokens/ms, learnt by this entry alone.
	speed           speed.Estimate
	loggedSpeed     float64 // Lasting speed that was last returned as changed; zero for none.
	streamRate      float64 // Tokens/s that each of its streams gets; zero until observed.
	recentPrefill   window  // Prefill tokens of jobs that this entry sent.
	ownRate         float64 // Result of ownNeededRate at ownRateAt.
	ownRateAt       time.Time
	lastFailureRate float64 // Failure rate at failureRateAt, 0 to 1.
	failureRateAt   time.Time
	lastSentAt      time.Time // When a job was last sent to it.
	begunSentAt     time.Time // When the newest job that has begun was sent, at any entry.
	ownBegunSentAt  time.Time // The same at this entry.
	heardAt         time.Time // When an event or an answer last came from it.
	hash            uint64    // Of its name.
	prefillAffinity float64   // See prefillAffinityOf.

	consecutiveFailures int // Failed connections in a row.
	avoidUntil          time.Time

	pausedUntil time.Time // Until then it wants no request from this entry.
	ramp        int       // Jobs of this entry that it may run at once after a pause; zero for no such bound.

	evacuated bool // Its domain is evacuated.
}

func newUpstream(r cleat.UpstreamRecord, prefillRate float64) *upstream {
	h := hashName(string(r.Upstream))
	return &upstream{record: r, jobs: make(map[uint64]*Job), prefillRate: prefillRate, learnedRate: prefillRate, hash: h, prefillAffinity: prefillAffinityOf(h)}
}

// setEngine applies the service's engine settings in the manifest.
func (u *upstream) setEngine(e *cleat.ModelEngine) {
	u.engine = e
	if e == nil {
		u.cache = nil
		return
	}
	limit := int(cacheMemoryShare * float64(e.MemoryTokens))
	if u.cache == nil {
		u.cache = newBlockCache(limit)
	}
	u.cache.limit = limit
}

func (u *upstream) running() int { return len(u.jobs) + u.peers.running }

func (u *upstream) backlog() int { return u.pendingPrefill + u.peers.pendingPrefill }

// cached returns how many tokens of a prompt the upstream is assumed to have cached.
func (u *upstream) cached(blocks []cleat.PrefixBlock) int {
	n := 0
	for _, b := range blocks {
		if u.cache == nil || !u.cache.has(b.Digest) {
			break
		}
		n += b.Tokens
	}
	return n
}

// expectedWait returns the expected time until the first event of a job with the given
// number of prefill tokens, if it were sent now.
func (u *upstream) expectedWait(prefill int) time.Duration {
	return time.Duration(float64(u.backlog()+prefill)/u.prefillRate) * time.Millisecond
}

// addJob records that a job is sent to the upstream.
func (u *upstream) addJob(now time.Time, j *Job) {
	j.upstream = u
	u.lastSentAt = now
	j.sentAt, j.lastEventAt, j.hasFirstEvent, j.stalled, j.ended = now, now, false, false, false
	cached, _ := u.withFetch(j.source, u.cached(j.Blocks))
	j.prefill = max(0, j.PromptTokens-cached)
	j.memory = j.prefill + j.OutputTokens
	j.backlogAhead = u.backlog()
	u.recentPrefill.add(now, j.prefill)
	j.generated, j.stretchAt = 0, time.Time{}
	u.addOutput(j)
	u.jobs[j.ID] = j
	u.pendingPrefill += j.prefill
	u.memory += j.memory
	if u.cache != nil {
		for _, b := range j.Blocks {
			u.cache.touch(b.Digest, b.Tokens, now.Add(u.expectedWait(0)))
		}
	}
}

// recordFirstEvent records a job's first event, from which the prefill rate is
// learnt: only from a prompt that had no backlog before it and whose shared blocks
// were cached, and only from its own last block, which no other request can have
// sent. Requests running beside it slow the prefill, so the rate follows the upper
// observations, in small steps that bound the effect of a single observation.
func (u *upstream) recordFirstEvent(now time.Time, j *Job) {
	if j.hasFirstEvent {
		return
	}
	j.hasFirstEvent = true
	u.removeBacklog(j)
	own := j.lastBlockTokens()
	ms := float64(now.Sub(j.sentAt)) / float64(time.Millisecond)
	if own < minRateSampleTokens || j.prefill > own || j.backlogAhead > 0 || ms <= 0 {
		return
	}
	if float64(own)/ms > u.prefillRate {
		u.stepRate(1 + rateStepUp)
	} else {
		u.stepRate(1 - rateStepDown)
	}
}

// recordEvents records further events of a stream, from which the upstream's stream
// rate is learnt.
func (u *upstream) recordEvents(now time.Time, j *Job, events int) {
	gap := now.Sub(j.lastEventAt)
	j.lastEventAt = now
	if u.engine == nil || u.engine.EventTokens == 0 || gap <= 0 {
		return
	}
	j.generated += events * u.engine.EventTokens
	u.recordSteps(now, j, events*u.engine.EventTokens)
	u.recordOutput(j, events)
	observed := float64(events*u.engine.EventTokens) / gap.Seconds()
	if u.streamRate == 0 {
		u.streamRate = observed
	}
	u.streamRate += streamRateSmoothing * (observed - u.streamRate)
}

// neededRate returns the tokens/s that all but the most urgent few of the streams
// here need to meet their deadlines.
func (u *upstream) neededRate(now time.Time) float64 {
	return max(u.peers.neededRate, u.ownNeededRate(now))
}

// ownNeededRate returns the needed rate of this entry's streams; it is cached for
// neededRateInterval.
func (u *upstream) ownNeededRate(now time.Time) float64 {
	if now.Sub(u.ownRateAt) < neededRateInterval {
		return u.ownRate
	}
	u.ownRateAt, u.ownRate = now, 0
	rates := make([]float64, 0, len(u.jobs))
	for _, j := range u.jobs {
		rates = append(rates, j.neededRate(now))
	}
	if len(rates) > 0 {
		slices.Sort(rates)
		u.ownRate = rates[int(neededRateQuantile*float64(len(rates)-1))]
	}
	return u.ownRate
}

// prefillUtilization returns the fraction of its time that the upstream would spend
// on prefill if it were sent the given number of additional tokens.
func (u *upstream) prefillUtilization(now time.Time, prefill int) float64 {
	tokens := u.recentPrefill.sum(now) + u.peers.recentPrefill + prefill
	return float64(tokens) / (u.prefillRate * float64(prefillWindow/time.Millisecond))
}

// removeBacklog removes a job from the backlog, unless it is stalled: that has removed it.
func (u *upstream) removeBacklog(j *Job) {
	if !j.stalled {
		u.pendingPrefill -= j.prefill
	}
}

// removeJob removes a job that ended.
func (u *upstream) removeJob(j *Job) {
	if _, ok := u.jobs[j.ID]; !ok {
		return
	}
	delete(u.jobs, j.ID)
	if !j.hasFirstEvent {
		u.removeBacklog(j)
	}
	u.memory -= j.memory
	u.removeOutput(j)
	j.upstream = nil
}

// recordOutcome adds a request's outcome to the failure rate.
func (u *upstream) recordOutcome(now time.Time, failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	u.lastFailureRate = u.failureRate(now)
	u.lastFailureRate += failureSmoothing * (sample - u.lastFailureRate)
	u.failureRateAt = now
}

// failureRate returns the fraction of requests that fail. It decays with time, so
// that an upstream that is avoided for its failures is tried again.
func (u *upstream) failureRate(now time.Time) float64 {
	rate := u.lastFailureRate * math.Exp2(-now.Sub(u.failureRateAt).Seconds()/failureHalfLife.Seconds())
	if rate < negligibleFailureRate {
		return 0
	}
	return rate
}

// recordUnreachable backs off from the upstream for a time that doubles with each
// failure in a row.
func (u *upstream) recordUnreachable(now time.Time) {
	pause := initialBackoff << min(u.consecutiveFailures, 8)
	u.consecutiveFailures++
	u.avoidUntil = now.Add(min(pause, maxBackoff))
	u.recordOutcome(now, true)
}

func (u *upstream) recordReachable() {
	u.consecutiveFailures = 0
	u.avoidUntil = time.Time{}
}
