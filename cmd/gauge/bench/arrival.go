package bench

import (
	"fmt"
	"math"
	"math/rand"
	"sort"
	"time"

	"marigoldcleat.example/cleat"
)

// arrival is one caller's request, with its true sizes, which policies learn
// only when it ends, and its progress under the policy.
type arrival struct {
	work         cleat.Work
	inputTokens  uint64
	outputTokens uint64
	busyTime     time.Duration
	entry        int
	backlogged   bool // Its workspace requests more than its share.
	served       bool
	ended        bool
	queued       bool // Sent by the caller and not on an engine.
	firstTokenAt time.Time
	startedAt    time.Time
}

// cost returns the request's true cost with no prefix cached.
func (a *arrival) cost() float64 {
	u := cleat.Usage{InputTokens: a.inputTokens, OutputTokens: a.outputTokens, Busy: a.busyTime}
	return float64(u.Cost(a.work.Kind))
}

const (
	homeFraction          = 0.7 // Fraction of a workspace's requests sent to its home entry; the rest go to random entries.
	templatesPerWorkspace = 4   // Distinct prompt prefixes of a workspace.
	templateBlocks        = 3
	lightFraction         = 0.25 // Fraction of capacity that all workspaces without backlog request together.
	floodFactor           = 10.0
)

// Options configures a run.
type Options struct {
	Deployment Deployment
	Seed       int64
	Duration   time.Duration
	Load       float64 // Offered service divided by capacity.
	Backlogged float64 // Fraction of the workspaces that request more than their share.
	Faults     []Fault
}

// drawArrivals draws all requests of a run. They depend on the options alone,
// so that every policy gets the same ones.
func drawArrivals(o *Options, start time.Time) []*arrival {
	rnd := rand.New(rand.NewSource(o.Seed*7919 + 1))
	d := &o.Deployment
	backlogged := max(2, int(math.Round(o.Backlogged*float64(d.workspaces))))
	var all []*arrival
	order := rnd.Perm(d.workspaces)
	for i, n := range order {
		g := newGenerator(o, rnd, n, start)
		g.rate = g.lightRate(d.workspaces - backlogged)
		if i < backlogged {
			g.rate = g.backloggedRate(o.Load, order[:backlogged])
		}
		for _, a := range g.drawArrivals() {
			a.backlogged = i < backlogged
			all = append(all, a)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].work.Received.Before(all[j].work.Received) })
	for i, a := range all {
		a.work.ID = cleat.RequestID(fmt.Sprintf("r%d", i))
	}
	return all
}

// generator draws the requests of one workspace.
type generator struct {
	opts      *Options
	d         *Deployment
	rnd       *rand.Rand
	workspace int
	homeEntry int
	start     time.Time
	rate      float64 // Requests per second.
	meanCost  float64
	templates [][]uint64
	model     cleat.ModelID
}

func newGenerator(opts *Options, rnd *rand.Rand, n int, start time.Time) *generator {
	g := &generator{opts: opts, d: &opts.Deployment, rnd: rnd, workspace: n, start: start}
	g.homeEntry = rnd.Intn(g.d.entries)
	g.model = g.d.model(rnd.Intn(g.d.models))
	for range templatesPerWorkspace {
		blocks := make([]uint64, templateBlocks)
		for i := range blocks {
			blocks[i] = rnd.Uint64()
		}
		g.templates = append(g.templates, blocks)
	}
	for _, c := range g.d.classes {
		g.meanCost += c.fraction * meanCost(c)
	}
	return g
}

// meanCost returns the mean cost of a class's requests on model servers, which is 0 for
// plain requests. The mean of a log-normal distribution is exp(sigma²/2) times its median.
func meanCost(c classMix) float64 {
	if c.kind == cleat.KindPlain {
		return 0
	}
	meanOverMedian := math.Exp(c.sigma * c.sigma / 2)
	return meanOverMedian * (c.inputMedian*float64(cleat.CostPerInputToken) + c.outputMedian)
}

// lightRate returns the request rate of each of the workspaces without backlog.
func (g *generator) lightRate(workspaces int) float64 {
	return lightFraction * g.d.tokensPerSecond() / g.meanCost / float64(max(1, workspaces))
}

// backloggedRate returns the request rate of a backlogged workspace. The backlogged
// workspaces divide the rest of the load in proportion to their shares.
func (g *generator) backloggedRate(load float64, backlogged []int) float64 {
	sum := 0.0
	for _, n := range backlogged {
		sum += g.d.share(n)
	}
	return math.Max(0.1, load-lightFraction) * g.d.tokensPerSecond() / g.meanCost * g.d.share(g.workspace) / sum
}

func (g *generator) drawArrivals() []*arrival {
	var list []*arrival
	for at := time.Duration(0); ; {
		rate := g.rate * g.floodFactorAt(at)
		at += time.Duration(g.rnd.ExpFloat64() / rate * float64(time.Second))
		if at >= g.opts.Duration {
			return list
		}
		list = append(list, g.drawArrival(at))
	}
}

// floodFactorAt returns the factor by which a flood raises the workspace's
// request rate at this time.
func (g *generator) floodFactorAt(at time.Duration) float64 {
	for _, f := range g.opts.Faults {
		if f.Kind == FaultFlood && g.workspace == g.d.flooder() && at >= f.From && at < f.To {
			return floodFactor
		}
	}
	return 1
}

func (g *generator) drawArrival(at time.Duration) *arrival {
	c := g.drawClass()
	a := &arrival{entry: g.homeEntry}
	if g.rnd.Float64() > homeFraction {
		a.entry = g.rnd.Intn(g.d.entries)
	}
	now := g.start.Add(at)
	a.work = cleat.Work{
		Workspace: g.d.workspace(g.workspace), Class: c.name, Rank: c.rank, Kind: c.kind, Model: g.model,
		Received: now, Deadline: now.Add(c.deadline), Repeatable: c.repeatable,
	}
	sizeFactor := math.Exp(g.rnd.NormFloat64() * c.sigma)
	if c.kind == cleat.KindPlain {
		a.work.Model = plainPool
		a.busyTime = time.Duration(float64(c.busyMedian) * sizeFactor)
		return a
	}
	a.inputTokens = uint64(c.inputMedian*math.Exp(g.rnd.NormFloat64()*c.sigma)) + 1
	a.outputTokens = uint64(c.outputMedian*sizeFactor) + 1
	a.work.Prefix = g.drawPrefix(a.inputTokens)
	a.work.CostHint = cleat.Cost(a.cost() * math.Exp(g.rnd.NormFloat64()))
	if g.hasWrongHint(at) {
		a.work.CostHint /= 10
	}
	return a
}

func (g *generator) hasWrongHint(at time.Duration) bool {
	for _, f := range g.opts.Faults {
		if f.Kind == FaultWrongHints && at >= f.From && at < f.To && g.workspace%2 == 0 {
			return true
		}
	}
	return false
}

func (g *generator) drawClass() classMix {
	x := g.rnd.Float64()
	for _, c := range g.d.classes {
		if x < c.fraction {
			return c
		}
		x -= c.fraction
	}
	return g.d.classes[0]
}

// drawPrefix returns the prefix block digests of a prompt that starts with one of
// the workspace's templates.
func (g *generator) drawPrefix(input uint64) []uint64 {
	t := g.templates[g.rnd.Intn(len(g.templates))]
	blocks := append([]uint64(nil), t...)
	if n := int(input / tokensPerBlock); n < len(blocks) {
		return blocks[:n]
	}
	return blocks
}
