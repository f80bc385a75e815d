package bench

import (
	"runtime"
	"time"

	"marigoldcleat.example/cleat"
)

// cpuMeter sums the processor time of policy code and message encoding by role. It
// measures wall time, which is close to processor time, as a simulation uses one goroutine.
// A nil cpuMeter measures nothing, so that results depend on the seed alone.
type cpuMeter struct {
	byRole map[cleat.Role]time.Duration
}

func (m *cpuMeter) start() time.Time {
	if m == nil {
		return time.Time{}
	}
	return time.Now()
}

func (m *cpuMeter) stop(role cleat.Role, start time.Time) {
	if m != nil {
		m.byRole[role] += time.Since(start)
	}
}

// RoleCost is the cost of one node of a role in a deployment.
type RoleCost struct {
	Role    cleat.Role `json:"role"`
	Nodes   int        `json:"nodes"`
	Core    float64    `json:"core"` // Fraction of one core spent on policy code and encoding.
	Traffic Traffic    `json:"traffic"`
}

// Cost is the measured cost of a deployment.
type Cost struct {
	Deployment        string     `json:"deployment"`
	Nodes             int        `json:"nodes"`
	RequestsPerSecond float64    `json:"requests_per_s"`
	UnitsPerSecond    float64    `json:"units_per_s"` // Cost units served.
	HeapBytes         uint64     `json:"heap_bytes"`  // Tables of all nodes, and the simulated engines.
	Roles             []RoleCost `json:"roles"`
}

// MeasureCost runs the fleet's own policy and measures the cost of its nodes.
func MeasureCost(o Options) Cost {
	s := newSim(&o)
	cpu := &cpuMeter{byRole: make(map[cleat.Role]time.Duration)}
	p := newFleetPolicy(s, cpu)
	s.runPolicy(p)
	c := Cost{Deployment: o.Deployment.name, HeapBytes: heapAlloc()}
	counts := map[cleat.Role]int{
		cleat.RoleEntry: len(p.entries), cleat.RoleAgent: len(p.agents), cleat.RoleControl: len(p.controls),
	}
	seconds := o.Duration.Seconds()
	for _, t := range p.traffic() {
		n := counts[t.Role]
		c.Nodes += n
		c.Roles = append(c.Roles, RoleCost{Role: t.Role, Nodes: n, Traffic: t, Core: cpu.byRole[t.Role].Seconds() / seconds / float64(n)})
	}
	c.RequestsPerSecond = float64(len(s.arrivals)) / seconds
	c.UnitsPerSecond = s.meter.units / seconds
	return c
}

func heapAlloc() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
