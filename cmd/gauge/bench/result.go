package bench

import (
	"sort"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/cost"
)

// Quantiles holds quantiles of a latency distribution, in seconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

func newQuantiles(values []float64) Quantiles {
	return Quantiles{P50: quantile(values, 0.5), P95: quantile(values, 0.95), P99: quantile(values, 0.99)}
}

// ClassResult holds the latencies of one class of requests.
type ClassResult struct {
	Class      cleat.ClassName `json:"class"`
	Count      int             `json:"count"`
	Wait       Quantiles       `json:"wait_s"`
	FirstToken Quantiles       `json:"first_token_s"`
}

// Traffic is the control traffic of a role's nodes in bytes per second, sent and received.
type Traffic struct {
	Role  cleat.Role    `json:"role"`
	Mean  float64       `json:"mean_bytes_per_s"`
	Worst float64       `json:"worst_bytes_per_s"`
	Kinds []KindTraffic `json:"kinds"`

	kinds map[cleat.MessageKind]float64
}

// KindTraffic is the traffic of one kind of message in bytes per second, the mean over a
// role's nodes.
type KindTraffic struct {
	Kind  string  `json:"kind"`
	Bytes float64 `json:"mean_bytes_per_s"`
}

// RefusalCount is the number of refusals for a reason.
type RefusalCount struct {
	Reason cleat.Reason `json:"reason"`
	Count  int          `json:"count"`
}

// Result holds the measurements of one run.
type Result struct {
	Policy             PolicyName     `json:"policy"`
	Seed               int64          `json:"seed"`
	GapLargest         float64        `json:"gap_largest"` // Cost units per unit of share.
	GapP99             float64        `json:"gap_p99"`
	GapSeconds         float64        `json:"gap_largest_s"` // GapLargest as seconds of service at the fair rate.
	GapAfterFaults     float64        `json:"gap_after"`     // Largest over intervals that start 10 s or more after the last fault.
	Utilisation        float64        `json:"utilisation"`
	Idle               float64        `json:"idle_while_waiting"` // Fraction of all slot time that was idle while requests waited.
	Units              float64        `json:"units"`              // Cost units served.
	Traffic            []Traffic      `json:"traffic,omitempty"`
	Classes            []ClassResult  `json:"classes"`
	NonFloodP95        float64        `json:"others_wait_p95_s"` // Of workspaces other than the flooding one.
	LightP95           float64        `json:"light_wait_p95_s"`  // Of workspaces that request less than their share.
	Served             int            `json:"served"`
	Refused            []RefusalCount `json:"refused,omitempty"`
	Retried            int            `json:"retried"`
	CallersLost        int            `json:"caller_lost"`
	LongestWaitSeconds float64        `json:"longest_wait_s"`
	PastDeadline       int            `json:"past_deadline"`
	Duplicates         int            `json:"ran_or_answered_twice"`
	FalseNotRun        int            `json:"untrue_not_run"`
}

// Run simulates one policy on the arrivals of the options and measures it.
func Run(o Options, name PolicyName) Result {
	s := newSim(&o)

	var traffic func() []Traffic
	if name == PolicyFleet {
		p := newFleetPolicy(s, nil)
		traffic = p.traffic
		s.runPolicy(p)
	} else {
		s.runPolicy(newCentralPolicy(s, name, cost.NewEstimator()))
	}
	r := s.result(name)
	if traffic != nil {
		r.Traffic = traffic()
	}

	return r
}

func (s *sim) result(name PolicyName) Result {
	m := s.meter
	r := Result{
		Policy: name, Seed: s.opts.Seed, GapLargest: m.overall.largest, GapP99: quantile(m.overall.values, 0.99), GapAfterFaults: m.afterFaults.largest,
		Utilisation: m.utilisation(), Idle: m.idleWaiting(), Units: m.units, NonFloodP95: quantile(m.nonFloodWaits, 0.95), LightP95: quantile(m.lightWaits, 0.95), Served: m.served, Retried: m.retried,
		CallersLost: m.callersLost, LongestWaitSeconds: m.longestWait.Seconds(), PastDeadline: m.pastDeadline, Duplicates: m.duplicates, FalseNotRun: m.falseNotRun,
	}
	r.GapSeconds = r.GapLargest / s.fairRate()
	for _, c := range s.opts.Deployment.classes {
		r.Classes = append(r.Classes, ClassResult{
			Class: c.name, Count: len(m.waits[c.name]), Wait: newQuantiles(m.waits[c.name]), FirstToken: newQuantiles(m.firstTokenWaits[c.name]),
		})
	}
	for reason, n := range m.refusals {
		r.Refused = append(r.Refused, RefusalCount{Reason: reason, Count: n})
	}
	sort.Slice(r.Refused, func(i, j int) bool { return r.Refused[i].Reason < r.Refused[j].Reason })
	return r
}

// fairRate returns the cost units per second that a share of 1 receives when all
// workspaces are backlogged.
func (s *sim) fairRate() float64 {
	sum := 0.0
	for n := range s.opts.Deployment.workspaces {
		sum += s.opts.Deployment.share(n)
	}
	return s.opts.Deployment.tokensPerSecond() / sum
}

// MaxDuration is the longest virtual time of a run.
const MaxDuration = 24 * time.Hour
