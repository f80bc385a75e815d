package proxy

import (
	"sync"
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
	series  sync.Map // Of answerSeries by answerKey; bounded by the services of manifests.
}

func newMeasures(scope tally.Scope) *measures {
	return &measures{
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
	series := m.of(s, outcome)
	series.count.Inc(1)
	series.time.RecordDuration(took)
}

// firstEvent records the time to the first event of a stream.
func (m *measures) firstEvent(s cleat.ServiceName, took time.Duration) {
	m.of(s, "").time.RecordDuration(took)
}

// of returns the series of a service and an outcome; without an outcome, those of
// first events. Finding one by its tags costs more than the rest of a refusal's numbers.
func (m *measures) of(s cleat.ServiceName, outcome string) answerSeries {
	key := answerKey{s, outcome}
	if v, ok := m.series.Load(key); ok {
		return v.(answerSeries)
	}
	tags, name := map[string]string{"service": string(s)}, "first_event_seconds"
	if outcome != "" {
		tags["outcome"], name = outcome, "answer_seconds"
	}
	scope := m.scope.Tagged(tags)
	series := answerSeries{time: scope.Histogram(name, latencyBuckets)}
	if outcome != "" {
		series.count = scope.Counter("answers")
	}
	m.series.Store(key, series)
	return series
}

type answerKey struct {
	service cleat.ServiceName
	outcome string
}

type answerSeries struct {
	count tally.Counter // Nil for first events.
	time  tally.Histogram
}
