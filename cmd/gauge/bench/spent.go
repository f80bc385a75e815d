package bench

import (
	"runtime"
	"time"

	"marigoldcleat.example/cleat"
)

// spent adds up the processor time of deciding code and encoding by role; a
// nil one measures nothing, so that results depend on the seed alone.
type spent struct {
	byRole map[cleat.Role]time.Duration
}

func (s *spent) begin() time.Time {
	if s == nil {
		return time.Time{}
	}
	return time.Now()
}

func (s *spent) end(role cleat.Role, began time.Time) {
	if s != nil {
		s.byRole[role] += time.Since(began)
	}
}

// RoleCost is what one node of a role costs at a deployment's size.
type RoleCost struct {
	Role  cleat.Role `json:"role"`
	Nodes int        `json:"nodes"`
	Core  float64    `json:"core"` // Part of one core: deciding code and encoding.
	Bytes Traffic    `json:"traffic"`
}

// Cost is what a deployment's size costs.
type Cost struct {
	Deployment string     `json:"deployment"`
	Nodes      int        `json:"nodes"`
	Requests   float64    `json:"requests_per_s"`
	Tokens     float64    `json:"units_per_s"`
	HeapBytes  uint64     `json:"heap_bytes"` // Of all nodes' tables and the model of the engines.
	Roles      []RoleCost `json:"roles"`
}

// MeasureCost plays the fleet's own policy and measures what its nodes cost.
func MeasureCost(o Options) Cost {
	s := newSim(&o)
	sp := &spent{byRole: make(map[cleat.Role]time.Duration)}
	p := newOurs(s, sp)
	s.play(p)
	c := Cost{Deployment: o.Deployment.name, HeapBytes: heapInUse()}
	counts := map[cleat.Role]int{
		cleat.RoleEntry: len(p.entries), cleat.RoleAgent: len(p.agents), cleat.RoleControl: len(p.controls),
	}
	seconds := o.Duration.Seconds()
	for _, t := range p.traffic() {
		n := counts[t.Role]
		c.Nodes += n
		c.Roles = append(c.Roles, RoleCost{Role: t.Role, Nodes: n, Bytes: t, Core: sp.byRole[t.Role].Seconds() / seconds / float64(n)})
	}
	c.Requests = float64(len(s.arrivals)) / seconds
	c.Tokens = s.m.tokens / seconds
	return c
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
