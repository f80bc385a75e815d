package place

import (
	"time"

	"marigoldcleat.example/cleat"
)

// SetEvacuated replaces the domains to whose upstreams nothing is sent any more. Jobs
// that run there go on.
func (p *Planner) SetEvacuated(now time.Time, domains []cleat.DomainID) {
	before := p.evacuated
	p.evacuated = make(map[cleat.DomainID]bool, len(domains))
	for _, d := range domains {
		p.evacuated[d] = true
	}
	for _, u := range p.upstreams {
		u.evacuated = p.evacuated[u.record.Domain]
	}
	for d := range before {
		if !p.evacuated[d] {
			p.endEvacuation(now, d)
		}
	}
}

// Evacuated returns how many domains are evacuated.
func (p *Planner) Evacuated() int { return len(p.evacuated) }

// endEvacuation makes the upstreams of a domain get requests again. They may be cold, so
// each begins with firstRamp further jobs of this entry, as after a pause.
func (p *Planner) endEvacuation(now time.Time, d cleat.DomainID) {
	p.MarkDomainCold(now, d)
	for _, u := range p.upstreams {
		if u.record.Domain == d {
			u.ramp = len(u.jobs) + firstRamp
		}
	}
}
