package bench

import (
	"time"

	"marigoldcleat.example/cleat"
)

// sim is one run: a deployment's engines, its arrivals and one policy.
type sim struct {
	w        *world
	o        *Options
	m        *meter
	p        policy
	engines  []*engine
	byModel  map[cleat.ModelID][]*engine
	byAgent  [][]*engine
	shares   map[cleat.WorkspaceID]float64
	arrivals []*arrival
	cut      int // Failure domain that is cut off, or -1.
	lossy    bool
}

func newSim(o *Options) *sim {
	w := newWorld(o.Seed)
	s := &sim{w: w, o: o, byModel: make(map[cleat.ModelID][]*engine), shares: make(map[cleat.WorkspaceID]float64), cut: -1}
	s.arrivals = arrivals(o, w.start)
	s.m = newMeter(w, &o.Deployment, s.arrivals, o.Faults)
	for n := range o.Deployment.workspaces {
		s.shares[o.Deployment.workspace(n)] = o.Deployment.share(n)
	}
	s.makeEngines()
	return s
}

func (s *sim) share(id cleat.WorkspaceID) float64 { return s.shares[id] }

func (s *sim) makeEngines() {
	d := &s.o.Deployment
	for agent := range d.agents + d.plains {
		var list []*engine
		n := 1
		if agent < d.agents {
			n = d.perAgent
		}
		for range n {
			list = append(list, s.makeEngine(agent >= d.agents))
		}
		s.byAgent = append(s.byAgent, list)
	}
}

func (s *sim) makeEngine(plain bool) *engine {
	d := &s.o.Deployment
	n := len(s.engines)
	e := &engine{w: s.w, m: s.m, index: n, id: cleat.UpstreamID("u" + itoa(n)), slow: 1, last: s.w.now}
	e.kind, e.model, e.slots = cleat.KindModel, d.model(n), d.slots
	if plain {
		e.kind, e.model, e.slots = cleat.KindPlain, plainPool, d.plainSlots
	}
	s.engines = append(s.engines, e)
	s.byModel[e.model] = append(s.byModel[e.model], e)
	s.m.addEngine(e)
	return e
}

func (s *sim) agentEngines(n int) []*engine { return s.byAgent[n] }

// agentOf returns the agent beside an engine.
func (s *sim) agentOf(e *engine) int {
	for n, list := range s.byAgent {
		for _, other := range list {
			if other == e {
				return n
			}
		}
	}
	return -1
}

// connected reports whether two failure domains reach each other.
func (s *sim) connected(a, b int) bool {
	return a == b || (a != s.cut && b != s.cut)
}

func (s *sim) reachable(entry int, e *engine) bool {
	d := &s.o.Deployment
	return s.cut < 0 || s.connected(d.domain(entry), d.domain(s.agentOf(e)))
}

// play runs the arrivals and faults under the policy.
func (s *sim) play(p policy) {
	s.p = p
	for _, e := range s.engines {
		e.user = p
	}
	for _, a := range s.arrivals {
		s.w.at(a.work.Received, func() { p.submit(a) })
	}
	for _, f := range s.o.Faults {
		s.w.at(s.w.start.Add(f.From), func() { s.begin(f) })
		s.w.at(s.w.start.Add(f.To), func() { s.heal(f) })
	}
	s.w.run(s.w.start.Add(s.o.Duration))
	s.m.close(s.arrivals)
}

const slowFactor = 4

func (s *sim) begin(f Fault) {
	switch f.Kind {
	case FaultPartition:
		s.cut = s.o.Deployment.domains - 1
	case FaultRestartEntry:
		s.p.restartEntry(0)
	case FaultRestartAgent:
		s.p.restartAgent(0)
	case FaultRestartCtrl:
		s.p.restartControl()
	case FaultSlow:
		s.touchAll()
		s.engines[1].setSlow(slowFactor)
	case FaultLossy:
		s.lossy = true
	case FaultLeave:
		s.touchAll()
		s.engines[2].leaving = true
		s.p.setLeaving(s.engines[2], true)
	case FaultFlood, FaultWrongHints:
		// The arrivals hold these already.
	}
}

func (s *sim) heal(f Fault) {
	switch f.Kind {
	case FaultPartition:
		s.cut = -1
	case FaultSlow:
		s.touchAll()
		s.engines[1].setSlow(1)
	case FaultLossy:
		s.lossy = false
	case FaultLeave:
		s.touchAll()
		s.engines[2].leaving = false
		s.p.setLeaving(s.engines[2], false)
	default:
	}
}

func (s *sim) touchAll() {
	for _, model := range sortedModels(s.m.pools) {
		s.m.touch(model)
	}
}

// delayBetween returns the one-way delay between two failure domains now.
func (s *sim) delayBetween(a, b int) time.Duration {
	d := s.o.Deployment.delay(a, b)
	return d + time.Duration(s.w.rnd.Int63n(int64(d)/5+1))
}
