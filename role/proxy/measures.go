package proxy

import (
	"time"

	"github.com/uber-go/tally/v4"

	"marigoldcleat.example/cleat"
)

// latencyBuckets are the bounds of the latency histograms.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 14)

// measures are the numbers that this entry shows of its work.
type measures struct {
	scope   tally.Scope
	waiting tally.Gauge
	running tally.Gauge
	held    tally.Gauge
}

func newMeasures(scope tally.Scope) measures {
	return measures{
		scope: scope, waiting: scope.Gauge("waiting"), running: scope.Gauge("running"), held: scope.Gauge("held_bytes"),
	}
}

func (m *measures) gauge(waiting, running int, held int64) {
	m.waiting.Update(float64(waiting))
	m.running.Update(float64(running))
	m.held.Update(float64(held))
}

// answered counts a final answer and how long it took.
func (m *measures) answered(s cleat.ServiceName, outcome string, took time.Duration) {
	scope := m.scope.Tagged(map[string]string{"service": string(s), "outcome": outcome})
	scope.Counter("answers").Inc(1)
	scope.Histogram("answer_seconds", latencyBuckets).RecordDuration(took)
}

// firstEvent records the time to the first event of a stream.
func (m *measures) firstEvent(s cleat.ServiceName, took time.Duration) {
	m.scope.Tagged(map[string]string{"service": string(s)}).Histogram("first_event_seconds", latencyBuckets).RecordDuration(took)
}
