package ctrl

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/assert"
)

const gaugeInterval = time.Second

// latencyBuckets are the histogram buckets of changes, claims and exits.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// instruments are the metrics that this instance records.
type instruments struct {
	scope  tally.Scope
	change tally.Histogram
	claim  tally.Histogram
	exit   tally.Histogram
}

func newInstruments(scope tally.Scope) instruments {
	return instruments{
		scope:  scope,
		change: scope.Histogram("change_seconds", latencyBuckets),
		claim:  scope.Histogram("claim_seconds", latencyBuckets),
		exit:   scope.Histogram("upstream_exit_seconds", latencyBuckets),
	}
}

// countClaim counts a command of the claim table by the state in its result, which is
// empty for lost holders and ticks.
func (m *instruments) countClaim(s cleat.ClaimState) {
	m.scope.Tagged(map[string]string{"state": string(s)}).Counter("claims").Inc(1)
}

// countChange counts an answer to a change by its code; the empty code means accepted.
func (m *instruments) countChange(code string) {
	if code == "" {
		code = "accepted"
	}
	m.scope.Tagged(map[string]string{"code": code}).Counter("changes").Inc(1)
}

// gaugeLoop updates the gauges periodically.
func (r *Role) gaugeLoop(ctx context.Context) error {
	for sleep(ctx, gaugeInterval) {
		r.updateGauges()
	}
	return nil
}

func (r *Role) updateGauges() {
	claims, holders := r.machine.Claims()
	running := 0
	for _, n := range holders {
		running += n
	}
	leading := 0.0
	if r.isLeader() {
		leading = 1
	}
	r.mu.Lock()
	members, nodes := len(r.members.Members()), len(r.nodes)
	r.mu.Unlock()
	scope := r.instruments.scope
	r.updateStreamGauges(scope)
	scope.Gauge("settings_revision").Update(float64(r.machine.Revision()))
	scope.Gauge("claims_kept").Update(float64(claims))
	scope.Gauge("claims_running").Update(float64(running))
	scope.Gauge("claims_in_flight").Update(float64(len(r.claimSlots)))
	scope.Gauge("members").Update(float64(members))
	scope.Gauge("nodes_linked").Update(float64(nodes))
	r.updateEvacuationGauges()
	scope.Gauge("upstream_exits_kept").Update(float64(r.machine.exitCount()))
	scope.Gauge("leads").Update(leading)
	scope.Gauge("invariant_violations").Update(float64(assert.Total()))
}
