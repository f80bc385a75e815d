package bench

import (
	"time"

	"marigoldcleat.example/cleat"
)

// sim is one simulation run: a deployment's engines, its arrivals and one policy.
type sim struct {
	sched             *scheduler
	opts              *Options
	meter             *meter
	policy            policy
	engines           []*engine
	enginesByModel    map[cleat.ModelID][]*engine
	enginesByAgent    [][]*engine
	shares            map[cleat.WorkspaceID]float64
	arrivals          []*arrival
	partitionedDomain int // Failure domain that is partitioned off, or -1.
	lossy             bool
}

func newSim(opts *Options) *sim {
	sched := newScheduler(opts.Seed)
	s := &sim{sched: sched, opts: opts, enginesByModel: make(map[cleat.ModelID][]*engine), shares: make(map[cleat.WorkspaceID]float64), partitionedDomain: -1}
	s.arrivals = drawArrivals(opts, sched.start)
	s.meter = newMeter(sched, &opts.Deployment, s.arrivals, opts.Faults)
	for n := range opts.Deployment.workspaces {
		s.shares[opts.Deployment.workspace(n)] = opts.Deployment.share(n)
	}
	s.addEngines()
	return s
}

func (s *sim) share(id cleat.WorkspaceID) float64 { return s.shares[id] }

func (s *sim) addEngines() {
	d := &s.opts.Deployment
	for agent := range d.agents + d.plainAgents {
		var list []*engine
		n := 1
		if agent < d.agents {
			n = d.enginesPerAgent
		}
		for range n {
			list = append(list, s.addEngine(agent >= d.agents))
		}
		s.enginesByAgent = append(s.enginesByAgent, list)
	}
}

func (s *sim) addEngine(plain bool) *engine {
	d := &s.opts.Deployment
	n := len(s.engines)
	e := &engine{sched: s.sched, meter: s.meter, index: n, id: cleat.UpstreamID("u" + itoa(n)), slowdown: 1, advancedAt: s.sched.now}
	e.kind, e.model, e.slots = cleat.KindModel, d.model(n), d.slots
	if plain {
		e.kind, e.model, e.slots = cleat.KindPlain, plainPool, d.plainSlots
	}
	s.engines = append(s.engines, e)
	s.enginesByModel[e.model] = append(s.enginesByModel[e.model], e)
	s.meter.addEngine(e)
	return e
}

func (s *sim) agentEngines(n int) []*engine { return s.enginesByAgent[n] }

// agentOf returns the index of the agent beside an engine, or -1.
func (s *sim) agentOf(e *engine) int {
	for n, list := range s.enginesByAgent {
		for _, other := range list {
			if other == e {
				return n
			}
		}
	}
	return -1
}

// connected reports whether messages pass between two failure domains.
func (s *sim) connected(a, b int) bool {
	return a == b || (a != s.partitionedDomain && b != s.partitionedDomain)
}

func (s *sim) reachable(entry int, e *engine) bool {
	d := &s.opts.Deployment
	return s.partitionedDomain < 0 || s.connected(d.domain(entry), d.domain(s.agentOf(e)))
}

// runPolicy runs the arrivals and faults under the policy.
func (s *sim) runPolicy(p policy) {
	s.policy = p
	for _, e := range s.engines {
		e.observer = p
	}
	for _, a := range s.arrivals {
		s.sched.at(a.work.Received, func() { p.submit(a) })
	}
	for _, f := range s.opts.Faults {
		s.sched.at(s.sched.start.Add(f.From), func() { s.startFault(f) })
		s.sched.at(s.sched.start.Add(f.To), func() { s.endFault(f) })
	}
	s.sched.run(s.sched.start.Add(s.opts.Duration))
	s.meter.finalize(s.arrivals)
}

const slowFactor = 4

func (s *sim) startFault(f Fault) {
	switch f.Kind {
	case FaultPartition:
		s.partitionedDomain = s.opts.Deployment.domains - 1
	case FaultRestartEntry:
		s.policy.restartEntry(0)
	case FaultRestartAgent:
		s.policy.restartAgent(0)
	case FaultRestartControl:
		s.policy.restartControl()
	case FaultSlow:
		s.accountPools()
		s.engines[1].setSlowdown(slowFactor)
	case FaultLossy:
		s.lossy = true
	case FaultLeave:
		s.accountPools()
		s.engines[2].leaving = true
		s.policy.setLeaving(s.engines[2], true)
	case FaultFlood, FaultWrongHints:
		// drawArrivals applies these.
	}
}

func (s *sim) endFault(f Fault) {
	switch f.Kind {
	case FaultPartition:
		s.partitionedDomain = -1
	case FaultSlow:
		s.accountPools()
		s.engines[1].setSlowdown(1)
	case FaultLossy:
		s.lossy = false
	case FaultLeave:
		s.accountPools()
		s.engines[2].leaving = false
		s.policy.setLeaving(s.engines[2], false)
	default:
	}
}

func (s *sim) accountPools() {
	for _, model := range sortedModels(s.meter.pools) {
		s.meter.accountPool(model)
	}
}

// delayBetween returns a one-way delay between two failure domains, with random
// jitter of up to a fifth.
func (s *sim) delayBetween(a, b int) time.Duration {
	d := s.opts.Deployment.delay(a, b)
	return d + time.Duration(s.sched.rnd.Int63n(int64(d)/5+1))
}
