package bench

import (
	"sort"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/cost"
)

// Spread is a distribution by its quantiles, in seconds.
type Spread struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

func newSpread(values []float64) Spread {
	return Spread{P50: quantile(values, 0.5), P95: quantile(values, 0.95), P99: quantile(values, 0.99)}
}

// ClassResult is what one class of requests saw.
type ClassResult struct {
	Class cleat.ClassName `json:"class"`
	Count int             `json:"count"`
	Wait  Spread          `json:"wait_s"`
	First Spread          `json:"first_token_s"`
}

// Traffic is control traffic in bytes a second, sent and received, for the nodes of a role.
type Traffic struct {
	Role  cleat.Role    `json:"role"`
	Mean  float64       `json:"mean_bytes_per_s"`
	Worst float64       `json:"worst_bytes_per_s"`
	Kinds []KindTraffic `json:"kinds"`

	kinds map[cleat.MessageKind]float64
}

// KindTraffic is the part of one kind of message, the mean over a role's nodes.
type KindTraffic struct {
	Kind  string  `json:"kind"`
	Bytes float64 `json:"mean_bytes_per_s"`
}

// RefusalCount counts refusals by reason.
type RefusalCount struct {
	Reason cleat.Reason `json:"reason"`
	Count  int          `json:"count"`
}

// Result is one policy's row.
type Result struct {
	Policy       PolicyName     `json:"policy"`
	Seed         int64          `json:"seed"`
	GapLargest   float64        `json:"gap_largest"` // Cost units for one share.
	GapP99       float64        `json:"gap_p99"`
	GapSeconds   float64        `json:"gap_largest_s"` // Of fair share.
	GapAfter     float64        `json:"gap_after"`     // Largest over intervals that begin 10 s after the last fault.
	Utilisation  float64        `json:"utilisation"`
	Idle         float64        `json:"idle_while_waiting"` // Part of all slot time.
	Units        float64        `json:"units"`              // Cost units served.
	Traffic      []Traffic      `json:"traffic,omitempty"`
	Classes      []ClassResult  `json:"classes"`
	OthersP95    float64        `json:"others_wait_p95_s"` // Workspaces other than a flooding one.
	LightP95     float64        `json:"light_wait_p95_s"`  // Workspaces that ask for less than their share.
	Served       int            `json:"served"`
	Refused      []RefusalCount `json:"refused,omitempty"`
	Retried      int            `json:"retried"`
	Lost         int            `json:"caller_lost"`
	StarvedS     float64        `json:"longest_wait_s"`
	PastDeadline int            `json:"past_deadline"`
	Twice        int            `json:"ran_or_answered_twice"`
	Untrue       int            `json:"untrue_not_run"`
}

// Run plays one policy over the options' arrivals and measures it.
func Run(o Options, name PolicyName) Result {
	s := newSim(&o)

	var traffic func() []Traffic
	if name == PolicyOurs {
		p := newOurs(s, nil)
		traffic = p.traffic
		s.play(p)
	} else {
		s.play(newCentral(s, name, cost.NewEstimator()))
	}
	r := s.result(name)
	if traffic != nil {
		r.Traffic = traffic()
	}

	return r
}

func (s *sim) result(name PolicyName) Result {
	m := s.m
	r := Result{
		Policy: name, Seed: s.o.Seed, GapLargest: m.whole.largest, GapP99: quantile(m.whole.values, 0.99), GapAfter: m.after.largest,
		Utilisation: m.utilisation(), Idle: m.idleWaiting(), Units: m.tokens, OthersP95: quantile(m.others, 0.95), LightP95: quantile(m.light, 0.95), Served: m.served, Retried: m.retried,
		Lost: m.lost, StarvedS: m.longest.Seconds(), PastDeadline: m.starved, Twice: m.twice, Untrue: m.untrue,
	}
	r.GapSeconds = r.GapLargest / s.fairRate()
	for _, c := range s.o.Deployment.classes {
		r.Classes = append(r.Classes, ClassResult{
			Class: c.name, Count: len(m.waits[c.name]), Wait: newSpread(m.waits[c.name]), First: newSpread(m.firsts[c.name]),
		})
	}
	for reason, n := range m.refused {
		r.Refused = append(r.Refused, RefusalCount{Reason: reason, Count: n})
	}
	sort.Slice(r.Refused, func(i, j int) bool { return r.Refused[i].Reason < r.Refused[j].Reason })
	return r
}

// fairRate returns the cost units a second that one share receives when all
// workspaces are backlogged.
func (s *sim) fairRate() float64 {
	sum := 0.0
	for n := range s.o.Deployment.workspaces {
		sum += s.o.Deployment.share(n)
	}
	return s.o.Deployment.tokensPerSecond() / sum
}

// MaxDuration bounds a run, in virtual time.
const MaxDuration = 24 * time.Hour
