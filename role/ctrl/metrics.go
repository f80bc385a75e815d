package ctrl

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/assert"
)

const gaugeInterval = time.Second

// latencyBuckets are the bounds of the histograms of changes and claims.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// measures are the numbers that this instance shows of its work.
type measures struct {
	scope  tally.Scope
	change tally.Histogram
	claim  tally.Histogram
}

func newMeasures(scope tally.Scope) measures {
	return measures{
		scope:  scope,
		change: scope.Histogram("change_seconds", latencyBuckets),
		claim:  scope.Histogram("claim_seconds", latencyBuckets),
	}
}

// countClaim counts the answers to claims and outcomes by their state.
func (m *measures) countClaim(s cleat.ClaimState) {
	m.scope.Tagged(map[string]string{"state": string(s)}).Counter("claims").Inc(1)
}

// countChange counts the answers to changes; an empty code is an accepted one.
func (m *measures) countChange(code string) {
	if code == "" {
		code = "accepted"
	}
	m.scope.Tagged(map[string]string{"code": code}).Counter("changes").Inc(1)
}

// gaugeLoop shows where this instance stands.
func (r *Role) gaugeLoop(ctx context.Context) error {
	for sleep(ctx, gaugeInterval) {
		r.gauge()
	}
	return nil
}

func (r *Role) gauge() {
	claims, holders := r.machine.Claims()
	running := 0
	for _, n := range holders {
		running += n
	}
	leads := 0.0
	if r.leads() {
		leads = 1
	}
	r.mu.Lock()
	members, nodes := len(r.members.Members()), len(r.nodes)
	r.mu.Unlock()
	scope := r.measures.scope
	scope.Gauge("settings_revision").Update(float64(r.machine.Revision()))
	scope.Gauge("claims_kept").Update(float64(claims))
	scope.Gauge("claims_running").Update(float64(running))
	scope.Gauge("claims_in_flight").Update(float64(len(r.claims)))
	scope.Gauge("members").Update(float64(members))
	scope.Gauge("nodes_linked").Update(float64(nodes))
	scope.Gauge("leads").Update(leads)
	scope.Gauge("invariant_violations").Update(float64(assert.Total()))
}
