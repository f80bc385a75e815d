package place

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/cost"
	"marigoldcleat.example/cleat/policy/permit"
)

// Defaults of Config.
const (
	DefaultUsageWindow   = 4 * time.Second
	DefaultMargin        = 30 * time.Millisecond // Covers the network and an engine's first step.
	DefaultRemotePenalty = 15 * time.Millisecond // Covers two crossings between failure domains and the transfer of the bytes.
	DefaultLateBacklog   = 150 * time.Millisecond
	DefaultMaxRetryAfter = 4 * time.Second
)

// Config holds the settings of a planner.
type Config struct {
	Self          cleat.InstanceID // The entry.
	Domain        cleat.DomainID   // Of the entry.
	UsageWindow   time.Duration    // Window over which workspaces' use of capacity is accounted.
	Margin        time.Duration    // Kept between the expected first event and the objective.
	RemotePenalty time.Duration    // Added to the wait at an upstream in another failure domain.
	LateBacklog   time.Duration    // Backlog of an upstream up to which a late request is sent there.
	MaxRetryAfter time.Duration    // Longest Retry-After that a refused caller gets.
	ColdOvershoot float64          // Bound on a cold upstream's requests/s, as a multiple of what it tolerates; zero for 1.
	ColdSlack     float64          // Requests in a second on top of that bound.

	Outputs *cost.OutputEstimator // Estimates the output of streams; without one, placement doesn't depend on it.
}

// Defaults sets the fields that are zero.
func (c *Config) Defaults() {
	cleat.SetDefault(&c.UsageWindow, DefaultUsageWindow)
	cleat.SetDefault(&c.Margin, DefaultMargin)
	cleat.SetDefault(&c.RemotePenalty, DefaultRemotePenalty)
	cleat.SetDefault(&c.LateBacklog, DefaultLateBacklog)
	cleat.SetDefault(&c.MaxRetryAfter, DefaultMaxRetryAfter)
}

// peer holds another entry's newest report.
type peer struct {
	seq        uint64
	receivedAt time.Time
	loads      []cleat.UpstreamLoad
	outputs    []byte // See cleat.PlacementReport.
	usage      []cleat.WorkspaceUsage
	clock      clock
}

// Planner places the requests of one entry.
type Planner struct {
	cfg            Config
	upstreams      map[cleat.UpstreamID]*upstream
	services       map[cleat.ServiceName][]*upstream // Sorted by upstream id.
	engines        map[cleat.ServiceName]*cleat.ModelEngine
	jobs           map[uint64]*Job // Sent and not ended.
	waiting        []*Job          // In order of arrival.
	usage          usageTable
	refusals       refusalHistory
	bestStreamRate map[cleat.ServiceName]float64 // The best token rate of streams seen recently, in tokens/s.
	peers          map[cleat.InstanceID]*peer
	newBlocks      []cleat.CachedBlock // Assumed cached since the last report.
	seq            uint64              // Of the last report.
	limits         *permit.Table
	fetches        uint64                        // Jobs sent with a source of cached blocks.
	leaving        bool                          // The entry shuts down.
	promptTokens   map[cleat.ServiceName]float64 // Moving average of the prompts' tokens.
	evacuated      map[cleat.DomainID]bool       // Domains to whose upstreams nothing is sent.
	speeds         map[cleat.ServiceName]*serviceSpeeds
	ignoreSpeeds   bool // Every upstream counts as of usual speed; for comparisons in tests.
	outputMeans    map[cleat.ServiceName]*outputMean
	outputStats    OutputStats
	stalls         stallChecks
	firstReportAt  time.Time // When the clock of reports begins.
}

// New returns a planner that knows no upstream.
func New(cfg Config) *Planner {
	cfg.Defaults()
	p := &Planner{
		cfg:            cfg,
		upstreams:      make(map[cleat.UpstreamID]*upstream),
		services:       make(map[cleat.ServiceName][]*upstream),
		engines:        make(map[cleat.ServiceName]*cleat.ModelEngine),
		jobs:           make(map[uint64]*Job),
		usage:          newUsageTable(cfg.Self, cfg.UsageWindow),
		refusals:       newRefusalHistory(),
		bestStreamRate: make(map[cleat.ServiceName]float64),
		peers:          make(map[cleat.InstanceID]*peer),
		limits:         permit.New(cfg.Self),
		promptTokens:   make(map[cleat.ServiceName]float64),
		speeds:         make(map[cleat.ServiceName]*serviceSpeeds),
		outputMeans:    make(map[cleat.ServiceName]*outputMean),
	}
	p.limits.SetColdBounds(cfg.ColdOvershoot, cfg.ColdSlack)
	return p
}

// SetServices replaces the services with those of a manifest; tokensPerSec is the
// capacity of all engines, in cost units per second, or zero when the manifest does
// not state it.
func (p *Planner) SetServices(list []cleat.Service, tokensPerSec float64) {
	p.usage.capacity = tokensPerSec * p.cfg.UsageWindow.Seconds()
	p.setColdServices(list)
	clear(p.engines)
	for i := range list {
		p.engines[list[i].Name] = list[i].Engine
	}
	for _, u := range p.upstreams {
		u.setEngine(p.engines[u.record.Service])
	}
}

// SetUpstreams replaces the upstreams that may be used. A new incarnation of one
// starts without load, cache and history.
func (p *Planner) SetUpstreams(list []cleat.UpstreamRecord) {
	known := make(map[cleat.UpstreamID]*upstream, len(list))
	clear(p.services)
	for _, r := range list {
		u, ok := p.upstreams[r.Upstream]
		if !ok || u.record.StartedAtMillis != r.StartedAtMillis || u.record.Address != r.Address {
			u = newUpstream(r, p.meanPrefillRate(r.Service))
			u.ramp = p.coldRamp(r.Upstream)
		}
		u.record, u.evacuated = r, p.evacuated[r.Domain]
		u.setEngine(p.engines[r.Service])
		known[r.Upstream] = u
		p.services[r.Service] = append(p.services[r.Service], u)
	}
	p.upstreams = known
	p.limits.SetUpstreams(list)
	for _, list := range p.services {
		slices.SortFunc(list, func(a, b *upstream) int {
			return strings.Compare(string(a.record.Upstream), string(b.record.Upstream))
		})
	}
	p.recomputePeerSums()
	p.resetSpeeds()
}

// meanPrefillRate returns the mean prefill rate of a service's upstreams, which a
// new one starts with.
func (p *Planner) meanPrefillRate(s cleat.ServiceName) float64 {
	sum, n := 0.0, 0
	for _, u := range p.upstreams {
		if u.record.Service == s {
			sum += u.learnedRate
			n++
		}
	}
	if n == 0 {
		return initialPrefillRate
	}
	return sum / float64(n)
}

// Waiting returns how many jobs wait.
func (p *Planner) Waiting() int { return len(p.waiting) }

// Fetches returns how many jobs were sent with a source from which their upstream
// fetches cached prefix blocks.
func (p *Planner) Fetches() uint64 { return p.fetches }

// Running returns how many jobs are sent and not ended.
func (p *Planner) Running() int { return len(p.jobs) }

// Submit decides on a new job, or on one that is to be retried at another upstream;
// it returns its verdict, or false when the job waits.
func (p *Planner) Submit(now time.Time, j *Job) (Verdict, bool) {
	p.updateJoining(now)
	if len(j.Tried) == 0 {
		p.countRequest(now, j)
		p.countPrompt(j)
		p.refusals.restoreArrival(j)
	}
	v, decided := p.decide(now, j)
	if decided && !v.Placed() {
		p.usage.countRefused(now, j, v.Reason)
		j.refund()
		p.refusals.record(now, j)
	}
	return v, decided
}

func (p *Planner) decide(now time.Time, j *Job) (Verdict, bool) {
	p.updateSpeeds(now, j.Service)
	if v, refused := p.refuseUnplaceable(now, j); refused {
		return v, true
	}
	p.extendLongTarget(now, j)
	if v, refused := p.enforceShare(now, j); refused {
		return v, true
	}
	if len(p.waiting) == 0 || !p.isBehindQueue(j) {
		if u := p.chooseUpstream(now, j); u != nil {
			return p.assign(now, j, u), true
		}
	}
	if v, refused := p.checkOverload(now, j, p.serviceLoadOf(now, j.Service), p.queueAhead(now, j)); refused {
		return v, true
	}
	p.waiting = append(p.waiting, j)
	return Verdict{}, false
}

// longPromptFactor is the objective of a prompt that is too long for the regular
// one, as a multiple of its prefill time at an idle engine. It exceeds the safety
// factor waitSafetyTenths, so that an idle engine can take the prompt.
const longPromptFactor = 1.6

// extendLongTarget extends the objective of a prompt that even an idle engine might
// not prefill in time: with the usual safety factor it would fit nowhere, wait until
// it is late, and then go behind all other jobs.
func (p *Planner) extendLongTarget(now time.Time, j *Job) {
	idle := p.idleWait(now, j)
	if j.Arrived.Add(waitSafetyTenths*idle/10 + p.cfg.Margin).After(j.Target) {
		j.Target = j.Arrived.Add(time.Duration(longPromptFactor*float64(idle)) + p.cfg.Margin)
	}
}

// enforceShare decides on a job whose workspace has used its share of the capacity:
// it is sent only to engines with spare prefill time, and only while no job of its
// service waits. A retry that is already late is refused when its workspace is
// oversubscribed, so that the share goes to requests that can still be on time.
func (p *Planner) enforceShare(now time.Time, j *Job) (Verdict, bool) {
	if p.engines[j.Service] == nil {
		return Verdict{}, false
	}
	if len(j.Tried) > 0 || j.Version != "" { // A job that was admitted keeps its admission when it is retried or its stream is resumed.
		c, _ := p.usage.withinShare(now, j)
		j.charge(c)
		return Verdict{}, false
	}
	if j.isRetry && p.usage.isOversubscribed(now, j.Workspace) && !p.usage.isWorstServed(now, j.Workspace) && p.isLate(now, j) {
		return Verdict{Job: j, Reason: ReasonLateRetry, RetryAfter: p.shareRetryAfter(now, j)}, true
	}
	if c, ok := p.usage.withinShare(now, j); ok {
		j.charge(c)
		return Verdict{}, false
	}
	if c, ok := p.usage.withinSpare(now, j); ok && !p.isBehindQueue(j) {
		if u := p.chooseUpstream(now, j); u != nil && u.prefillUtilization(now, 0) <= maxOverShareUtilization {
			j.charge(c)
			return p.assign(now, j, u), true
		}
	}
	return Verdict{Job: j, Reason: ReasonOverShare, RetryAfter: p.shareRetryAfter(now, j)}, true
}

// minShareRetryAfter and maxShareRetryAfter bound the Retry-After of a caller that
// is refused for its workspace's share: short enough for the retry to be on time,
// and spread so that callers don't retry together. A caller that can't be on time
// any more retries after a longer time, when the accounting window has moved on and
// a burst may be over.
const minShareRetryAfter, maxShareRetryAfter = 100 * time.Millisecond, 300 * time.Millisecond

func (p *Planner) shareRetryAfter(now time.Time, j *Job) time.Duration {
	least, most := minShareRetryAfter, maxShareRetryAfter
	if p.isLate(now.Add(least), j) {
		least, most = p.cfg.MaxRetryAfter/4, p.cfg.MaxRetryAfter
	}
	return least + time.Duration(hashToUnit(j.ID)*float64(most-least))
}

// isBehindQueue reports whether jobs of the same service wait already.
func (p *Planner) isBehindQueue(j *Job) bool {
	return slices.ContainsFunc(p.waiting, func(w *Job) bool { return w.Service == j.Service })
}

// maxFailedTries bounds for how many jobs of a service one dispatch round looks for an
// upstream in vain, so that the cost of a round doesn't grow with a queue that no
// engine can take.
const maxFailedTries = 8

// Dispatch returns the verdicts on waiting jobs that can be decided now.
func (p *Planner) Dispatch(now time.Time) []Verdict {
	if len(p.waiting) == 0 {
		return nil
	}
	var verdicts []Verdict
	var stillWaiting []*Job
	ahead := make(map[cleat.ServiceName]queue)
	failedTries := make(map[cleat.ServiceName]int)
	loads := make(map[cleat.ServiceName]serviceLoad)
	for _, j := range p.dispatchOrder(now) {
		p.updateSpeeds(now, j.Service)
		if v, refused := p.refuseUnplaceable(now, j); refused {
			p.usage.countRefused(now, j, v.Reason)
			j.refund()
			verdicts = append(verdicts, v)
			continue
		}
		if failedTries[j.Service] < maxFailedTries {
			if u := p.chooseUpstream(now, j); u != nil {
				verdicts = append(verdicts, p.assign(now, j, u))
				continue
			}
			failedTries[j.Service]++
		}
		l, ok := loads[j.Service]
		if !ok {
			l = p.serviceLoadOf(now, j.Service)
			loads[j.Service] = l
		}
		if v, refused := p.checkOverload(now, j, l, ahead[j.Service]); refused {
			p.usage.countRefused(now, j, v.Reason)
			j.refund()
			p.refusals.record(now, j)
			verdicts = append(verdicts, v)
			continue
		}
		ahead[j.Service] = ahead[j.Service].with(j)
		stillWaiting = append(stillWaiting, j)
	}
	p.waiting = stillWaiting
	return verdicts
}

// dispatchOrder returns the waiting jobs in the order in which they are tried: those
// that can still be on time first, then by what was recently started for their
// workspace, least first, then by rank and objective.
func (p *Planner) dispatchOrder(now time.Time) []*Job {
	list := slices.Clone(p.waiting)
	served := make(map[cleat.WorkspaceID]float64)
	for _, j := range list {
		j.late = p.isLate(now, j)
		if _, ok := served[j.Workspace]; !ok {
			served[j.Workspace] = p.usage.row(now, j.Workspace).served()
		}
	}
	slices.SortStableFunc(list, func(a, b *Job) int {
		if late := compareBool(a.late, b.late); late != 0 {
			return late
		}
		if d := cmp.Compare(served[a.Workspace], served[b.Workspace]); d != 0 {
			return d
		}
		if a.Rank != b.Rank {
			return a.Rank - b.Rank
		}
		return a.Target.Compare(b.Target)
	})
	return list
}

// assign records that a job is to be sent to an upstream, and returns the verdict.
func (p *Planner) assign(now time.Time, j *Job, u *upstream) Verdict {
	for _, block := range j.Blocks {
		if u.cache != nil && !u.cache.has(block.Digest) {
			p.newBlocks = append(p.newBlocks, cleat.CachedBlock{Upstream: u.record.Upstream, Digest: block.Digest, Tokens: uint32(block.Tokens)})
		}
	}
	j.hasPermit = p.limits.Use(now, u.record.Upstream)
	fetchFrom := ""
	j.fetches = u.engine != nil && u.canFetch(j.source, u.cached(j.Blocks))
	if j.fetches {
		fetchFrom = j.source.upstream.record.Address
		p.fetches++
	}
	p.takeColdToken(now, j, u)
	u.addJob(now, j)
	p.jobs[j.ID] = j
	p.usage.addAdmitted(now, j.Workspace, j.costUnits())
	p.usage.setPending(now, j, true)
	return Verdict{Job: j, Upstream: u.record, FetchFrom: fetchFrom, PrefillTokens: j.prefill, ExpectedOutput: int(j.output.remaining), BacklogTokens: j.backlogAhead}
}

// ExpirePeers drops the reports of other entries that have timed out.
func (p *Planner) ExpirePeers(now time.Time) {
	p.expirePeers(now)
	p.updateJoining(now)
	p.limits.Expire(now)
}

// CancelWaiting removes a waiting job whose caller left.
func (p *Planner) CancelWaiting(j *Job) {
	j.refund()
	p.waiting = slices.DeleteFunc(p.waiting, func(w *Job) bool { return w == j })
}
