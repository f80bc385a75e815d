package bench

import (
	"math/rand"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// FaultKind names a kind of injected fault.
type FaultKind string

// The kinds of faults.
const (
	FaultPartition      FaultKind = "partition"       // One failure domain is partitioned off; its links are closed only after linkTimeout.
	FaultRestartEntry   FaultKind = "restart-entry"   // An entry restarts without state.
	FaultRestartAgent   FaultKind = "restart-agent"   // An agent and its upstreams restart without state.
	FaultRestartControl FaultKind = "restart-control" // All control instances restart without their soft state.
	FaultSlow           FaultKind = "slow-upstream"   // An upstream takes four times as long.
	FaultLossy          FaultKind = "lossy"           // Links delay and duplicate messages, and are reset.
	FaultFlood          FaultKind = "flood"           // One workspace sends requests at ten times its rate.
	FaultWrongHints     FaultKind = "wrong-hints"     // Half the workspaces give a tenth of the usual cost hint.
	FaultLeave          FaultKind = "leave"           // An upstream leaves.
)

var faultKinds = []FaultKind{
	FaultPartition, FaultRestartEntry, FaultRestartAgent, FaultRestartControl,
	FaultSlow, FaultLossy, FaultFlood, FaultWrongHints, FaultLeave,
}

// Fault is an injected fault; From and To are offsets from the start of the run.
type Fault struct {
	Kind FaultKind     `json:"kind"`
	From time.Duration `json:"from"`
	To   time.Duration `json:"to"`
}

// ParseFaults parses a list such as "partition@20s-30s,flood@10s-40s", or
// "random", which draws two to four faults from the seed. duration is the length of the
// run. An unknown kind or a bad time gives a trace.BadParameter error.
func ParseFaults(s string, seed int64, duration time.Duration) ([]Fault, error) {
	if s == "" {
		return nil, nil
	}
	if s == "random" {
		return randomFaults(seed, duration), nil
	}
	var list []Fault
	for _, item := range strings.Split(s, ",") {
		f, err := parseFault(item, duration)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		list = append(list, f)
	}
	return list, nil
}

// parseFault parses one fault. A fault without times lasts from a third to half of the
// run; one without an end ends as it starts.
func parseFault(item string, duration time.Duration) (Fault, error) {
	name, span, hasTimes := strings.Cut(strings.TrimSpace(item), "@")
	f := Fault{Kind: FaultKind(name), From: duration / 3, To: duration / 2}
	if !isKnownFault(f.Kind) {
		return f, trace.BadParameter("ParseFaults: unknown fault %q", name)
	}
	if !hasTimes {
		return f, nil
	}
	from, to, hasEnd := strings.Cut(span, "-")
	var err error
	if f.From, err = time.ParseDuration(from); err != nil {
		return f, trace.BadParameter("ParseFaults: %q: %v", item, err)
	}
	f.To = f.From
	if hasEnd {
		if f.To, err = time.ParseDuration(to); err != nil {
			return f, trace.BadParameter("ParseFaults: %q: %v", item, err)
		}
	}
	return f, nil
}

func isKnownFault(k FaultKind) bool {
	for _, known := range faultKinds {
		if k == known {
			return true
		}
	}
	return false
}

func randomFaults(seed int64, duration time.Duration) []Fault {
	rnd := rand.New(rand.NewSource(seed*104729 + 3))
	n := 2 + rnd.Intn(3)
	var list []Fault
	for range n {
		from := duration/6 + time.Duration(rnd.Int63n(int64(duration/3)))
		list = append(list, Fault{
			Kind: faultKinds[rnd.Intn(len(faultKinds))],
			From: from,
			To:   from + duration/20 + time.Duration(rnd.Int63n(int64(duration/8))),
		})
	}
	return list
}

// FormatFaults formats faults in the syntax of ParseFaults, or as "none".
func FormatFaults(list []Fault) string {
	var parts []string
	for _, f := range list {
		parts = append(parts, string(f.Kind)+"@"+f.From.String()+"-"+f.To.String())
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ",")
}

// lastFaultEnd returns when the last fault ends.
func lastFaultEnd(list []Fault) time.Duration {
	last := time.Duration(0)
	for _, f := range list {
		last = max(last, f.To)
	}
	return last
}

func itoa(n int) string { return strconv.Itoa(n) }
