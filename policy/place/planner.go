package place

import (
	"math"
	"slices"
	"strings"
	"time"

	"marigoldcleat.example/cleat"
)

// Defaults of Config.
const (
	DefaultUseWindow   = 4 * time.Second
	DefaultMargin      = 30 * time.Millisecond // Network and the first step of an engine.
	DefaultAwayPenalty = 15 * time.Millisecond // Two crossings and the bytes between failure domains.
	DefaultLateBacklog = 150 * time.Millisecond
	DefaultMaxRetry    = 4 * time.Second
)

// Config sets up a planner.
type Config struct {
	Domain      cleat.DomainID // Of the entry.
	UseWindow   time.Duration  // Over which workspaces' use of capacity is accounted.
	Margin      time.Duration  // Kept between the expected first event and the objective.
	AwayPenalty time.Duration  // Added to the wait at an upstream in another failure domain.
	LateBacklog time.Duration  // Backlog of an upstream up to which a late request is sent there.
	MaxRetry    time.Duration  // Longest time after which a refused caller is asked to return.
}

// Defaults sets what was left out.
func (c *Config) Defaults() {
	cleat.SetDefault(&c.UseWindow, DefaultUseWindow)
	cleat.SetDefault(&c.Margin, DefaultMargin)
	cleat.SetDefault(&c.AwayPenalty, DefaultAwayPenalty)
	cleat.SetDefault(&c.LateBacklog, DefaultLateBacklog)
	cleat.SetDefault(&c.MaxRetry, DefaultMaxRetry)
}

// peer is another entry's newest report.
type peer struct {
	seq   uint64
	heard time.Time
	loads []cleat.UpstreamLoad
	uses  []cleat.WorkspaceUsage
}

// Planner places the requests of one entry.
type Planner struct {
	cfg       Config
	upstreams map[cleat.UpstreamID]*upstream
	services  map[cleat.ServiceName][]*upstream // Sorted by name.
	engines   map[cleat.ServiceName]*cleat.ModelEngine
	jobs      map[uint64]*Job // Sent and not ended.
	waiting   []*Job          // In order of arrival.
	uses      uses
	returns   returns
	bestPace  map[cleat.ServiceName]float64 // The best pace of streams seen lately, in tokens/s.
	peers     map[cleat.InstanceID]*peer
	parts     []cleat.CachedBlock // Sent since the last report.
	seq       uint64
}

// New returns a planner that knows no upstream.
func New(cfg Config) *Planner {
	cfg.Defaults()
	return &Planner{
		cfg:       cfg,
		upstreams: make(map[cleat.UpstreamID]*upstream),
		services:  make(map[cleat.ServiceName][]*upstream),
		engines:   make(map[cleat.ServiceName]*cleat.ModelEngine),
		jobs:      make(map[uint64]*Job),
		uses:      newUses(cfg.UseWindow),
		returns:   newReturns(),
		bestPace:  make(map[cleat.ServiceName]float64),
		peers:     make(map[cleat.InstanceID]*peer),
	}
}

// SetServices takes the services of a manifest and the tokens that all engines
// produce in a second; zero when that is not stated.
func (p *Planner) SetServices(list []cleat.Service, tokensPerSec float64) {
	p.uses.capacity = tokensPerSec * p.cfg.UseWindow.Seconds()
	clear(p.engines)
	for i := range list {
		p.engines[list[i].Name] = list[i].Engine
	}
	for _, u := range p.upstreams {
		u.setEngine(p.engines[u.record.Service])
	}
}

// SetUpstreams replaces the upstreams that may be used. A new life of one
// begins without load, cache and history.
func (p *Planner) SetUpstreams(list []cleat.UpstreamRecord) {
	known := make(map[cleat.UpstreamID]*upstream, len(list))
	clear(p.services)
	for _, r := range list {
		u, ok := p.upstreams[r.Upstream]
		if !ok || u.record.StartedAtMillis != r.StartedAtMillis || u.record.Address != r.Address {
			u = newUpstream(r, p.usualSpeed(r.Service))
		}
		u.record = r
		u.setEngine(p.engines[r.Service])
		known[r.Upstream] = u
		p.services[r.Service] = append(p.services[r.Service], u)
	}
	p.upstreams = known
	for _, list := range p.services {
		slices.SortFunc(list, func(a, b *upstream) int {
			return strings.Compare(string(a.record.Upstream), string(b.record.Upstream))
		})
	}
	p.sumPeers()
}

// usualSpeed returns the mean reading speed of a service's upstreams, which a new
// one begins with.
func (p *Planner) usualSpeed(s cleat.ServiceName) float64 {
	sum, n := 0.0, 0
	for _, u := range p.upstreams {
		if u.record.Service == s {
			sum += u.speed
			n++
		}
	}
	if n == 0 {
		return initialSpeed
	}
	return sum / float64(n)
}

// Waiting returns how many jobs wait.
func (p *Planner) Waiting() int { return len(p.waiting) }

// Running returns how many jobs are sent and not ended.
func (p *Planner) Running() int { return len(p.jobs) }

// Submit takes a new job, or one that is to be sent once more; it returns its
// verdict, or false when the job waits.
func (p *Planner) Submit(now time.Time, j *Job) (Verdict, bool) {
	if len(j.Avoid) == 0 {
		p.uses.ask(now, j.Workspace, j.costUnits())
		p.returns.meet(j)
	}
	v, decided := p.decide(now, j)
	if decided && !v.Placed() {
		p.returns.note(now, j)
	}
	return v, decided
}

func (p *Planner) decide(now time.Time, j *Job) (Verdict, bool) {
	if !p.mayWaitFor(j) {
		return Verdict{Job: j, Reason: ReasonNoUpstream, RetryAfter: p.cfg.MaxRetry / 4}, true
	}
	p.allowLong(now, j)
	if v, refused := p.limit(now, j); refused {
		return v, true
	}
	if len(p.waiting) == 0 || !p.blockedBy(j) {
		if u := p.choose(now, j); u != nil {
			return p.send(now, j, u), true
		}
	}
	if v, refused := p.judge(now, j, p.drainOf(now, j.Service), p.aheadOf(now, j)); refused {
		return v, true
	}
	p.waiting = append(p.waiting, j)
	return Verdict{}, false
}

// longAllowance is how many times the time to read it alone a prompt gets that is
// too long for its objective; above waitSafety, so that an idle engine can take it.
const longAllowance = 1.6

// allowLong gives a prompt an objective of its own that even an idle engine might
// not read in time: planned with the usual safety it would fit nowhere, wait until
// it is late, and then go behind everything.
func (p *Planner) allowLong(now time.Time, j *Job) {
	idle := p.idleWait(now, j)
	if j.Arrived.Add(waitSafety*idle/10 + p.cfg.Margin).After(j.Target) {
		j.Target = j.Arrived.Add(time.Duration(longAllowance*float64(idle)) + p.cfg.Margin)
	}
}

// limit judges a job whose workspace was sent its share of the capacity: it goes
// only where engines have time to spare and nothing waits for them. A caller that
// came back too late gets nothing of what others of a crowding workspace can still
// use in time.
func (p *Planner) limit(now time.Time, j *Job) (Verdict, bool) {
	if p.engines[j.Service] == nil {
		return Verdict{}, false
	}
	over := p.uses.exceeds(now, j.Workspace, 1)
	if j.returned && p.uses.crowded(now, j.Workspace) && p.late(now, j) {
		return Verdict{Job: j, Reason: ReasonLate, RetryAfter: p.shareRetry(now, j)}, true
	}
	if !over {
		return Verdict{}, false
	}
	if !p.blockedBy(j) && !p.uses.exceeds(now, j.Workspace, spareShare) {
		if u := p.choose(now, j); u != nil && u.duty(now, 0) <= spareDuty {
			return p.send(now, j, u), true
		}
	}
	return Verdict{Job: j, Reason: ReasonShare, RetryAfter: p.shareRetry(now, j)}, true
}

// minShareRetry and maxShareRetry bound when a caller refused for its workspace's
// share returns: soon enough to be on time still, spread so that callers don't
// return together. One that can't be on time any more returns once the accounting
// has moved on, when a burst may be over.
const minShareRetry, maxShareRetry = 100 * time.Millisecond, 300 * time.Millisecond

func (p *Planner) shareRetry(now time.Time, j *Job) time.Duration {
	least, most := minShareRetry, maxShareRetry
	if p.late(now.Add(least), j) {
		least, most = p.cfg.MaxRetry/4, p.cfg.MaxRetry
	}
	return least + time.Duration(unit(j.ID)*float64(most-least))
}

// spareShare bounds what a workspace is sent in all while others want more than
// their share too, in shares.
const spareShare = 1.5

// blockedBy reports whether jobs of the same service wait already.
func (p *Planner) blockedBy(j *Job) bool {
	return slices.ContainsFunc(p.waiting, func(w *Job) bool { return w.Service == j.Service })
}

// mayWaitFor reports whether an upstream that was not tried exists.
func (p *Planner) mayWaitFor(j *Job) bool {
	return slices.ContainsFunc(p.services[j.Service], func(u *upstream) bool { return usable(u, j) })
}

func usable(u *upstream, j *Job) bool {
	return u.record.Phase == cleat.UpstreamReady && !slices.Contains(j.Avoid, u.record.Upstream)
}

// triesPerDispatch bounds how many jobs of a service are tried in one look, so
// that its cost doesn't grow with what waits.
const triesPerDispatch = 8

// Dispatch returns verdicts on jobs that waited.
func (p *Planner) Dispatch(now time.Time) []Verdict {
	if len(p.waiting) == 0 {
		return nil
	}
	var verdicts []Verdict
	var left []*Job
	ahead := make(map[cleat.ServiceName]int)
	tries := make(map[cleat.ServiceName]int)
	drains := make(map[cleat.ServiceName]drain)
	for _, j := range p.inOrder(now) {
		if !p.mayWaitFor(j) {
			verdicts = append(verdicts, Verdict{Job: j, Reason: ReasonNoUpstream, RetryAfter: p.cfg.MaxRetry / 4})
			continue
		}
		if tries[j.Service]++; tries[j.Service] <= triesPerDispatch {
			if u := p.choose(now, j); u != nil {
				verdicts = append(verdicts, p.send(now, j, u))
				continue
			}
		}
		d, ok := drains[j.Service]
		if !ok {
			d = p.drainOf(now, j.Service)
			drains[j.Service] = d
		}
		if v, refused := p.judge(now, j, d, ahead[j.Service]); refused {
			p.returns.note(now, j)
			verdicts = append(verdicts, v)
			continue
		}
		ahead[j.Service] += max(1, j.Prompt)
		left = append(left, j)
	}
	p.waiting = left
	return verdicts
}

// inOrder returns the waiting jobs in the order in which they are tried: those
// that can still be on time first, then by the workspace that was sent the least
// lately, then by rank and objective.
func (p *Planner) inOrder(now time.Time) []*Job {
	list := slices.Clone(p.waiting)
	sent := make(map[cleat.WorkspaceID]int)
	for _, j := range list {
		j.late = p.late(now, j)
		if _, ok := sent[j.Workspace]; !ok {
			sent[j.Workspace] = p.uses.admitted(now, j.Workspace)
		}
	}
	slices.SortStableFunc(list, func(a, b *Job) int {
		if late := compareBool(a.late, b.late); late != 0 {
			return late
		}
		if d := sent[a.Workspace] - sent[b.Workspace]; d != 0 {
			return d
		}
		if a.Rank != b.Rank {
			return a.Rank - b.Rank
		}
		return a.Target.Compare(b.Target)
	})
	return list
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// late reports whether a job can no longer be on time at an idle upstream.
func (p *Planner) late(now time.Time, j *Job) bool {
	return now.Add(p.idleWait(now, j) + p.cfg.Margin).After(j.Target)
}

// idleWait is the time to read a job's prompt at the fastest upstream of the
// service. It is worked out anew at intervals, since many jobs may wait.
func (p *Planner) idleWait(now time.Time, j *Job) time.Duration {
	if now.Sub(j.idleAt) < idleInterval {
		return j.idle
	}
	j.idleAt, j.idle = now, 0
	if p.engines[j.Service] == nil {
		return 0
	}
	best := math.MaxFloat64
	for _, u := range p.services[j.Service] {
		best = min(best, float64(j.Prompt-u.cached(j.Parts))/u.speed)
	}
	if best < math.MaxFloat64 {
		j.idle = time.Duration(max(0, best)) * time.Millisecond
	}
	return j.idle
}

// idleInterval is how long an idleWait is taken to hold.
const idleInterval = 250 * time.Millisecond

func (p *Planner) send(now time.Time, j *Job, u *upstream) Verdict {
	for _, part := range j.Parts {
		if u.cache != nil && !u.cache.has(part.Digest) {
			p.parts = append(p.parts, cleat.CachedBlock{Upstream: u.record.Upstream, Digest: part.Digest, Tokens: uint32(part.Tokens)})
		}
	}
	u.add(now, j)
	p.jobs[j.ID] = j
	p.uses.admit(now, j.Workspace, j.costUnits())
	return Verdict{Job: j, Upstream: u.record, Unread: j.unread, Backlog: j.ahead}
}

// Tick drops what other entries said when they fell silent.
func (p *Planner) Tick(now time.Time) {
	p.expire(now)
}

// Cancel forgets a job that waits, because its caller left.
func (p *Planner) Cancel(j *Job) {
	p.waiting = slices.DeleteFunc(p.waiting, func(w *Job) bool { return w == j })
}
