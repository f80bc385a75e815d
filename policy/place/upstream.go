package place

import (
	"math"
	"slices"
	"time"

	"marigoldcleat.example/cleat"
)

const (
	// initialSpeed is the reading speed assumed before any is seen, in tokens/ms;
	// low enough that a first burst doesn't build a backlog.
	initialSpeed = 30.0
	// minSpeed and maxSpeed bound the learnt speed, in tokens/ms.
	minSpeed, maxSpeed = 2.0, 1000.0
	// fasterStep and slowerStep are by how much one observation moves the speed: it
	// settles where one in three is faster.
	fasterStep, slowerStep = 0.04, 0.02
	// paceSmoothing is the weight of one event in the pace of an upstream's streams.
	paceSmoothing = 0.05
	// paceInterval is how long the pace that streams need is taken to hold.
	paceInterval = 50 * time.Millisecond
	// paceQuantile is the part of the streams whose pace counts: the most urgent
	// few, of which the hints are often wrong, would keep all prompts away.
	paceQuantile = 0.8
	// readWindow is the time over which tokens sent to be read are counted.
	readWindow = 2 * time.Second
	// minSpeedTokens is the least number of tokens from which a speed is learnt: below it
	// the fixed part of the time to the first event dominates.
	minSpeedTokens = 1500
	// failureSmoothing is the weight of one request's outcome in the failure rate.
	failureSmoothing = 0.15
	// failurePenalty is added to the expected wait at a failure rate of one.
	failurePenalty = 2 * time.Second
	// failureHalfLife is the time in which the failure rate halves by itself.
	failureHalfLife = 3 * time.Second
	// leastFailureRate is the rate below which an upstream counts as sound.
	leastFailureRate = 0.02
	// firstBackoff and maxBackoff bound how long an upstream that can't be reached is avoided.
	firstBackoff, maxBackoff = 200 * time.Millisecond, 3 * time.Second
	// cacheShare is the part of an engine's memory assumed to keep shared parts of prompts.
	cacheShare = 0.5
	// memoryShare is the part of an engine's memory that running requests may take; the
	// rest is left to shared parts, since an engine out of memory starts its newest request anew.
	memoryShare = 0.8
	// peerMaxAge is the age at which another entry's report counts no more.
	peerMaxAge = 2 * time.Second
)

// upstream is what the planner knows of one upstream.
type upstream struct {
	record cleat.UpstreamRecord
	engine *cleat.ModelEngine // Nil at a plain service.
	cache  *partCache
	jobs   map[uint64]*Job // Of this entry.

	unread     int // Prompt tokens of own jobs without a first event.
	memory     int // Tokens of own jobs.
	peers      peerLoad
	speed      float64 // Tokens/ms.
	streamPace float64 // Tokens/s that its streams get; zero until seen.
	read       window  // Prompt tokens sent to be read.
	pace       float64 // What ownPace found at pacedAt.
	pacedAt    time.Time
	failing    float64 // Failure rate, 0 to 1, when it was last moved.
	movedAt    time.Time
	sentAt     time.Time // When it was sent a job last.
	hash       uint64    // Of its name.
	lane       float64   // See laneOf.

	strikes    int // Failures to reach it in a row.
	avoidUntil time.Time
}

func newUpstream(r cleat.UpstreamRecord, speed float64) *upstream {
	h := hashOf(string(r.Upstream))
	return &upstream{record: r, jobs: make(map[uint64]*Job), speed: speed, hash: h, lane: laneOf(h)}
}

// setEngine takes what the service's manifest says of its engines.
func (u *upstream) setEngine(e *cleat.ModelEngine) {
	u.engine = e
	if e == nil {
		u.cache = nil
		return
	}
	limit := int(cacheShare * float64(e.MemoryTokens))
	if u.cache == nil {
		u.cache = newPartCache(limit)
	}
	u.cache.limit = limit
}

func (u *upstream) running() int { return len(u.jobs) + u.peers.running }

func (u *upstream) backlog() int { return u.unread + u.peers.prefill }

// cached returns how many tokens of a prompt the upstream is believed to keep.
func (u *upstream) cached(parts []cleat.PrefixBlock) int {
	n := 0
	for _, p := range parts {
		if u.cache == nil || !u.cache.has(p.Digest) {
			break
		}
		n += p.Tokens
	}
	return n
}

// wait returns the expected time until the first event of a prompt with so many unread tokens.
func (u *upstream) wait(unread int) time.Duration {
	return time.Duration(float64(u.backlog()+unread)/u.speed) * time.Millisecond
}

// add notes that a job is sent.
func (u *upstream) add(now time.Time, j *Job) {
	j.upstream = u
	u.sentAt = now
	j.sent, j.last, j.begun = now, now, false
	j.unread = max(0, j.Prompt-u.cached(j.Parts))
	j.memory = j.unread + j.Output
	j.ahead = u.backlog()
	u.read.add(now, j.unread)
	j.made = 0
	u.jobs[j.ID] = j
	u.unread += j.unread
	u.memory += j.memory
	if u.cache != nil {
		for _, p := range j.Parts {
			u.cache.use(p.Digest, p.Tokens)
		}
	}
}

// begin notes a job's first event, from which the reading speed is learnt: only
// from a prompt that was alone and whose shared parts were kept, and only of its
// own last part, which nobody else can have sent. What ran beside it slowed the
// reading, so the speed follows the upper of what is seen, in small steps that no
// single observation can exceed.
func (u *upstream) begin(now time.Time, j *Job) {
	if j.begun {
		return
	}
	j.begun = true
	u.unread -= j.unread
	own := j.ownTokens()
	ms := float64(now.Sub(j.sent)) / float64(time.Millisecond)
	if own < minSpeedTokens || j.unread > own || j.ahead > 0 || ms <= 0 {
		return
	}
	if float64(own)/ms > u.speed {
		u.speed *= 1 + fasterStep
	} else {
		u.speed *= 1 - slowerStep
	}
	u.speed = min(max(u.speed, minSpeed), maxSpeed)
}

// event notes further events of a stream, from which the pace of streams is learnt.
func (u *upstream) event(now time.Time, j *Job, events int) {
	gap := now.Sub(j.last)
	j.last = now
	if u.engine == nil || u.engine.EventTokens == 0 || gap <= 0 {
		return
	}
	j.made += events * u.engine.EventTokens
	seen := float64(events*u.engine.EventTokens) / gap.Seconds()
	if u.streamPace == 0 {
		u.streamPace = seen
	}
	u.streamPace += paceSmoothing * (seen - u.streamPace)
}

// needed returns the tokens/s that all but the most urgent few of the streams
// here need to end in time.
func (u *upstream) needed(now time.Time) float64 {
	return max(u.peers.pace, u.ownPace(now))
}

// ownPace is needed for this entry's streams; it is worked out anew at intervals.
func (u *upstream) ownPace(now time.Time) float64 {
	if now.Sub(u.pacedAt) < paceInterval {
		return u.pace
	}
	u.pacedAt, u.pace = now, 0
	paces := make([]float64, 0, len(u.jobs))
	for _, j := range u.jobs {
		paces = append(paces, j.paceLeft(now))
	}
	if len(paces) > 0 {
		slices.Sort(paces)
		u.pace = paces[int(paceQuantile*float64(len(paces)-1))]
	}
	return u.pace
}

// duty returns the part of the time that the upstream spends on reading prompts,
// were it sent so many more tokens.
func (u *upstream) duty(now time.Time, unread int) float64 {
	tokens := u.read.sum(now) + u.peers.read + unread
	return float64(tokens) / (u.speed * float64(readWindow/time.Millisecond))
}

// remove notes that a job ended.
func (u *upstream) remove(j *Job) {
	if _, ok := u.jobs[j.ID]; !ok {
		return
	}
	delete(u.jobs, j.ID)
	if !j.begun {
		u.unread -= j.unread
	}
	u.memory -= j.memory
	j.upstream = nil
}

// noteOutcome moves the failure rate.
func (u *upstream) noteOutcome(now time.Time, failed bool) {
	seen := 0.0
	if failed {
		seen = 1
	}
	u.failing = u.failureRate(now)
	u.failing += failureSmoothing * (seen - u.failing)
	u.movedAt = now
}

// failureRate returns the part of requests that fail. It falls with time, so
// that an upstream that is avoided for its failures is tried again.
func (u *upstream) failureRate(now time.Time) float64 {
	rate := u.failing * math.Exp2(-now.Sub(u.movedAt).Seconds()/failureHalfLife.Seconds())
	if rate < leastFailureRate {
		return 0
	}
	return rate
}

// unreachable avoids the upstream for a while that doubles with each failure in a row.
func (u *upstream) unreachable(now time.Time) {
	pause := firstBackoff << min(u.strikes, 8)
	u.strikes++
	u.avoidUntil = now.Add(min(pause, maxBackoff))
	u.noteOutcome(now, true)
}

func (u *upstream) reached() {
	u.strikes = 0
	u.avoidUntil = time.Time{}
}
