package bench

import (
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/route"
)

// Timing of the roles around the deciding code.
const (
	tickEvery     = 10 * time.Millisecond
	announceEvery = time.Second
	registerEvery = time.Second
	cancelGrace   = 5 * time.Second // Before an agent cancels what a lost entry left.
	cacheDelay    = 200 * time.Millisecond
	cacheGapPart  = 0.02
	loadDelay     = time.Second
)

// ours drives the real deciding code over the fake network.
type ours struct {
	s        *sim
	net      *network
	entries  []*entryHost
	agents   []*agentHost
	controls []*controlHost
	byID     map[cleat.RequestID]*arrival
	started  time.Time
	spent    *spent
}

func newOurs(s *sim, sp *spent) *ours {
	p := &ours{s: s, spent: sp, byID: make(map[cleat.RequestID]*arrival, len(s.arrivals)), started: s.w.now}
	p.net = newNetwork(s, sp)
	for _, a := range s.arrivals {
		p.byID[a.work.ID] = a
	}
	d := &s.o.Deployment
	for n := range d.controls {
		p.controls = append(p.controls, newControlHost(p, n))
	}
	for n := range d.agents + d.plains {
		p.agents = append(p.agents, newAgentHost(p, n))
	}
	for n := range d.entries {
		p.entries = append(p.entries, newEntryHost(p, n))
	}
	p.connect()
	return p
}

func (p *ours) peer(role cleat.Role, n int) cleat.Peer {
	return cleat.Peer{
		Instance:    cleat.InstanceID(string(role) + "-" + itoa(n)),
		Incarnation: cleat.NewIncarnation(p.s.w.now),
		Role:        role,
		Domain:      cleat.DomainID("d" + itoa(p.s.o.Deployment.domain(n))),
	}
}

// connect links every entry to its subset of agents and every instance to the
// control instances.
func (p *ours) connect() {
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

// members lists the agents as control tells entries of them.
func (p *ours) members() []cleat.Member {
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

func (p *ours) traffic() []Traffic { return p.net.traffic(p.s.w.now.Sub(p.started)) }

func (p *ours) submit(a *arrival) { p.entries[a.entry].submit(a) }

func (p *ours) host(e *engine) *agentHost { return p.agents[p.s.agentOf(e)] }

func (p *ours) firstToken(e *engine, r *run) { p.host(e).firstToken(r) }

func (p *ours) progress(e *engine, r *run) { p.host(e).progress(r) }

func (p *ours) ended(e *engine, r *run) { p.host(e).ended(r) }

func (p *ours) cached(e *engine, added, evicted []uint64) { p.host(e).cached(e, added, evicted) }

func (p *ours) restartEntry(n int) { p.entries[n].restart() }

func (p *ours) restartAgent(n int) { p.agents[n].restart() }

func (p *ours) restartControl() {
	for _, c := range p.controls {
		c.restart()
	}
}

func (p *ours) setLeaving(e *engine, _ bool) { p.host(e).announce(e) }

// register sends an instance's heartbeat.
func (p *ours) register(st *station) {
	for i := range p.controls {
		c := p.controls[i].peer.Instance
		if p.net.linked(st.peer.Instance, c) {
			p.net.send(st.peer.Instance, c, &cleat.Register{Peer: st.peer, Revision: 1})
			return
		}
	}
}
