package bench

import (
	"fmt"
	"math"
	"math/rand"
	"sort"
	"time"

	"marigoldcleat.example/cleat"
)

// arrival is one caller's request with the sizes that only its end reveals.
type arrival struct {
	work    cleat.Work
	input   uint64
	output  uint64
	busy    time.Duration
	entry   int
	heavy   bool // Its workspace asks for more than its share.
	served  bool
	ended   bool
	queued  bool // It waits: the caller sent it and no engine has it.
	first   time.Time
	started time.Time
}

// cost is the request's true cost without any cached prefix.
func (a *arrival) cost() float64 {
	u := cleat.Usage{InputTokens: a.input, OutputTokens: a.output, Busy: a.busy}
	return float64(u.Cost(a.work.Kind))
}

const (
	homePart       = 0.7 // Of a workspace's requests that reach its home entry.
	templatesEach  = 4   // Prompt prefixes of a workspace.
	templateBlocks = 3
	lightPart      = 0.25 // Of capacity that all workspaces without backlog ask for.
	floodFactor    = 10.0
)

// Options are the settings of a run.
type Options struct {
	Deployment Deployment
	Seed       int64
	Duration   time.Duration
	Load       float64 // Offered service over capacity.
	Backlogged float64 // Part of the workspaces that ask for more than they get.
	Faults     []Fault
}

// arrivals draws all requests of a run; every policy sees the same ones.
func arrivals(o *Options, start time.Time) []*arrival {
	rnd := rand.New(rand.NewSource(o.Seed*7919 + 1))
	d := &o.Deployment
	heavy := max(2, int(math.Round(o.Backlogged*float64(d.workspaces))))
	var all []*arrival
	order := rnd.Perm(d.workspaces)
	for i, n := range order {
		g := newGenerator(o, rnd, n, start)
		g.rate = g.light(d.workspaces - heavy)
		if i < heavy {
			g.rate = g.heavy(o.Load, order[:heavy])
		}
		for _, a := range g.draw() {
			a.heavy = i < heavy
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
	o         *Options
	d         *Deployment
	rnd       *rand.Rand
	n         int
	home      int
	start     time.Time
	rate      float64 // Requests a second.
	meanCost  float64
	templates [][]uint64
	model     cleat.ModelID
}

func newGenerator(o *Options, rnd *rand.Rand, n int, start time.Time) *generator {
	g := &generator{o: o, d: &o.Deployment, rnd: rnd, n: n, start: start}
	g.home = rnd.Intn(g.d.entries)
	g.model = g.d.model(rnd.Intn(g.d.models))
	for range templatesEach {
		blocks := make([]uint64, templateBlocks)
		for i := range blocks {
			blocks[i] = rnd.Uint64()
		}
		g.templates = append(g.templates, blocks)
	}
	for _, c := range g.d.classes {
		g.meanCost += c.part * meanCost(c)
	}
	return g
}

// meanCost is the mean cost of a class's requests; a log-normal's mean is
// exp(sigma²/2) times its median.
func meanCost(c classMix) float64 {
	if c.kind == cleat.KindPlain {
		return 0
	}
	raise := math.Exp(c.spread * c.spread / 2)
	return raise * (c.inputMid*float64(cleat.CostPerInputToken) + c.outputMid)
}

func (g *generator) light(others int) float64 {
	return lightPart * g.d.tokensPerSecond() / g.meanCost / float64(max(1, others))
}

// heavy spreads the rest of the load over the backlogged workspaces by share.
func (g *generator) heavy(load float64, all []int) float64 {
	sum := 0.0
	for _, n := range all {
		sum += g.d.share(n)
	}
	return math.Max(0.1, load-lightPart) * g.d.tokensPerSecond() / g.meanCost * g.d.share(g.n) / sum
}

func (g *generator) draw() []*arrival {
	var list []*arrival
	for at := time.Duration(0); ; {
		rate := g.rate * g.floodAt(at)
		at += time.Duration(g.rnd.ExpFloat64() / rate * float64(time.Second))
		if at >= g.o.Duration {
			return list
		}
		list = append(list, g.one(at))
	}
}

// floodAt returns how much faster the workspace asks during a flood.
func (g *generator) floodAt(at time.Duration) float64 {
	for _, f := range g.o.Faults {
		if f.Kind == FaultFlood && g.n == g.d.flooder() && at >= f.From && at < f.To {
			return floodFactor
		}
	}
	return 1
}

func (g *generator) one(at time.Duration) *arrival {
	c := g.class()
	a := &arrival{entry: g.home}
	if g.rnd.Float64() > homePart {
		a.entry = g.rnd.Intn(g.d.entries)
	}
	now := g.start.Add(at)
	a.work = cleat.Work{
		Workspace: g.d.workspace(g.n), Class: c.name, Rank: c.rank, Kind: c.kind, Model: g.model,
		Received: now, Deadline: now.Add(c.deadline), Repeatable: c.repeatable,
	}
	size := math.Exp(g.rnd.NormFloat64() * c.spread)
	if c.kind == cleat.KindPlain {
		a.work.Model = plainPool
		a.busy = time.Duration(float64(c.busyMid) * size)
		return a
	}
	a.input = uint64(c.inputMid*math.Exp(g.rnd.NormFloat64()*c.spread)) + 1
	a.output = uint64(c.outputMid*size) + 1
	a.work.Prefix = g.prompt(a.input)
	a.work.Hint = cleat.Cost(a.cost() * math.Exp(g.rnd.NormFloat64()))
	if g.wrongHint(at) {
		a.work.Hint /= 10
	}
	return a
}

func (g *generator) wrongHint(at time.Duration) bool {
	for _, f := range g.o.Faults {
		if f.Kind == FaultWrongHints && at >= f.From && at < f.To && g.n%2 == 0 {
			return true
		}
	}
	return false
}

func (g *generator) class() classMix {
	x := g.rnd.Float64()
	for _, c := range g.d.classes {
		if x < c.part {
			return c
		}
		x -= c.part
	}
	return g.d.classes[0]
}

// prompt returns the block digests of a prompt that starts with a template.
func (g *generator) prompt(input uint64) []uint64 {
	t := g.templates[g.rnd.Intn(len(g.templates))]
	blocks := append([]uint64(nil), t...)
	if n := int(input / tokensPerBlock); n < len(blocks) {
		return blocks[:n]
	}
	return blocks
}
