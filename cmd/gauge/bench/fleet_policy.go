package bench

import (
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/route"
)

// Timing of the simulated instances outside the policy code, and loss of cache events.
const (
	tickInterval           = 10 * time.Millisecond
	announceInterval       = time.Second
	registerInterval       = time.Second
	cancelGrace            = 5 * time.Second // Before an agent cancels the runs of a disconnected entry.
	cacheEventDelay        = 200 * time.Millisecond
	cacheEventLossFraction = 0.02
	loadReportDelay        = time.Second
)

// fleetPolicy runs the fleet's real policy code over the simulated network.
type fleetPolicy struct {
	sim       *sim
	net       *network
	entries   []*entryHost
	agents    []*agentHost
	controls  []*controlHost
	byID      map[cleat.RequestID]*arrival
	startedAt time.Time
	cpu       *cpuMeter
}

func newFleetPolicy(sim *sim, cpu *cpuMeter) *fleetPolicy {
	p := &fleetPolicy{sim: sim, cpu: cpu, byID: make(map[cleat.RequestID]*arrival, len(sim.arrivals)), startedAt: sim.sched.now}
	p.net = newNetwork(sim, cpu)
	for _, a := range sim.arrivals {
		p.byID[a.work.ID] = a
	}
	d := &sim.opts.Deployment
	for n := range d.controls {
		p.controls = append(p.controls, newControlHost(p, n))
	}
	for n := range d.agents + d.plainAgents {
		p.agents = append(p.agents, newAgentHost(p, n))
	}
	for n := range d.entries {
		p.entries = append(p.entries, newEntryHost(p, n))
	}
	p.connectAll()
	return p
}

func (p *fleetPolicy) peer(role cleat.Role, n int) cleat.Peer {
	return cleat.Peer{
		Instance:    cleat.InstanceID(string(role) + "-" + itoa(n)),
		Incarnation: cleat.NewIncarnation(p.sim.sched.now),
		Role:        role,
		Domain:      cleat.DomainID("d" + itoa(p.sim.opts.Deployment.domain(n))),
	}
}

// connectAll links every entry to its subset of agents and to one control
// instance, every agent to two control instances, and all control instances to each other.
func (p *fleetPolicy) connectAll() {
	members := p.members()
	for _, e := range p.entries {
		for _, id := range route.Subset(e.peer.Instance, members) {
			p.net.connect(e.peer.Instance, id)
		}
		p.net.connect(e.peer.Instance, p.controls[e.n%len(p.controls)].peer.Instance)
	}
	for _, a := range p.agents {
		for i := range min(2, len(p.controls)) {
			p.net.connect(a.peer.Instance, p.controls[(a.n+i)%len(p.controls)].peer.Instance)
		}
	}
	for i, c := range p.controls {
		for _, other := range p.controls[i+1:] {
			p.net.connect(c.peer.Instance, other.peer.Instance)
		}
	}
}

// members returns the agents in the form in which control sends them to entries.
func (p *fleetPolicy) members() []cleat.Member {
	var list []cleat.Member
	for _, a := range p.agents {
		m := cleat.Member{Peer: a.peer}
		for _, e := range a.engines {
			m.Models = append(m.Models, e.model)
		}
		list = append(list, m)
	}
	return list
}

func (p *fleetPolicy) traffic() []Traffic { return p.net.traffic(p.sim.sched.now.Sub(p.startedAt)) }

func (p *fleetPolicy) submit(a *arrival) { p.entries[a.entry].submit(a) }

func (p *fleetPolicy) agentHost(e *engine) *agentHost { return p.agents[p.sim.agentOf(e)] }

func (p *fleetPolicy) onFirstToken(e *engine, r *run) { p.agentHost(e).onFirstToken(r) }

func (p *fleetPolicy) onProgress(e *engine, r *run) { p.agentHost(e).onProgress(r) }

func (p *fleetPolicy) onEnd(e *engine, r *run) { p.agentHost(e).onEnd(r) }

func (p *fleetPolicy) onCacheChange(e *engine, added, evicted []uint64) {
	p.agentHost(e).onCacheChange(e, added, evicted)
}

func (p *fleetPolicy) restartEntry(n int) { p.entries[n].restart() }

func (p *fleetPolicy) restartAgent(n int) { p.agents[n].restart() }

func (p *fleetPolicy) restartControl() {
	for _, c := range p.controls {
		c.restart()
	}
}

func (p *fleetPolicy) setLeaving(e *engine, _ bool) { p.agentHost(e).announce(e) }

// sendRegister sends an instance's heartbeat to the first control instance to which
// its link is up.
func (p *fleetPolicy) sendRegister(ep *endpoint) {
	for i := range p.controls {
		c := p.controls[i].peer.Instance
		if p.net.isLinked(ep.peer.Instance, c) {
			p.net.send(ep.peer.Instance, c, &cleat.Register{Peer: ep.peer, Revision: 1})
			return
		}
	}
}
