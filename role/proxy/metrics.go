package proxy

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/place"
)

// latencyBuckets are the bounds of the latency histograms.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 14)

// requestMetrics are the metrics of the requests that this entry handles.
type requestMetrics struct {
	scope   tally.Scope
	waiting tally.Gauge
	running tally.Gauge
	held    tally.Gauge
	conns   tally.Gauge
	lag     tally.Gauge
	shed    tally.Gauge
	failed  tally.Gauge
	left    tally.Gauge
	turned  tally.Gauge
	denied  tally.Gauge
	blocks  tally.Gauge
	limited tally.Gauge
	poison  tally.Gauge
	fetches tally.Gauge
	cold    tally.Gauge
	owned   tally.Gauge
	sent    tally.Gauge
	evacs   tally.Gauge
	stalled tally.Gauge

	badLoads tally.Counter // Answers whose load can't be read completely.
	uneven   tally.Gauge   // Upstreams whose speed is not the usual one.
	speeds   map[cleat.UpstreamID]tally.Gauge
	output   *outputMetrics
	series   sync.Map // answerSeries by answerKey; bounded by the services of manifests.
}

func newRequestMetrics(scope tally.Scope) *requestMetrics {
	return &requestMetrics{
		scope: scope, waiting: scope.Gauge("waiting"), running: scope.Gauge("running"), held: scope.Gauge("held_bytes"),
		conns: scope.Gauge("caller_connections"), lag: scope.Gauge("lag_seconds"), shed: scope.Gauge("shed_requests"), failed: scope.Gauge("failed_accepts"),
		left: scope.Gauge("abandoned_connections"), turned: scope.Gauge("turned_away_connections"), denied: scope.Gauge("denied_connections"),
		blocks: scope.Gauge("quarantined_blocks"), limited: scope.Gauge("rate_limited_upstreams"), poison: scope.Gauge("quarantined_requests"),
		fetches: scope.Gauge("prefix_fetches"),
		cold:    scope.Gauge("cold_upstreams"), owned: scope.Gauge("owned_cold_upstreams"), sent: scope.Gauge("cold_requests"),
		evacs: scope.Gauge("evacuated_domains"), stalled: scope.Gauge("stalled_requests"),
		badLoads: scope.Counter("malformed_loads"), uneven: scope.Gauge("uneven_upstreams"), speeds: make(map[cleat.UpstreamID]tally.Gauge),
		output: newOutputMetrics(scope),
	}
}

// updateGauges sets the gauges of r. The caller holds r.mu.
func (m *requestMetrics) updateGauges(r *Role) {
	m.waiting.Update(float64(r.planner.Waiting()))
	m.running.Update(float64(r.planner.Running()))
	m.held.Update(float64(r.callers.Held()))
	m.conns.Update(float64(r.server.Conns()))
	m.lag.Update(r.lag.value(r.clock.Now()).Seconds())
	m.shed.Update(float64(r.shed.Load()))
	m.blocks.Update(float64(r.poison.Quarantined()))
	m.poison.Update(float64(r.requests.Quarantined()))
	m.limited.Update(float64(r.planner.RateLimited()))
	m.fetches.Update(float64(r.planner.Fetches()))
	m.evacs.Update(float64(r.planner.Evacuated()))
	m.stalled.Update(float64(r.stalled))
	m.output.update(r.planner)
	m.failed.Update(float64(r.server.AcceptFailures()))
	m.left.Update(float64(r.server.Abandoned()))
	m.turned.Update(float64(r.server.TurnedAway()))
	m.denied.Update(float64(r.server.Denied()))
	cold := r.planner.ColdCounts(r.clock.Now())
	m.cold.Update(float64(cold.Cold))
	m.owned.Update(float64(cold.Owned))
	m.sent.Update(float64(cold.Sent))
}

// maxSpeedSeries bounds the series of upstreams' speeds, since upstreams come and go under new names.
const maxSpeedSeries = 256

// updateSpeeds sets the gauges of the upstreams' speeds; only loadLoop calls it.
func (m *requestMetrics) updateSpeeds(list []place.UpstreamSpeed) {
	uneven := 0
	for i := range list {
		s := &list[i]
		if s.Lasting != 1 || s.Momentary != 1 {
			uneven++
		}
		g, ok := m.speeds[s.Upstream]
		if !ok {
			if len(m.speeds) >= maxSpeedSeries {
				continue
			}
			g = m.scope.Tagged(map[string]string{"upstream": string(s.Upstream), "service": string(s.Service)}).Gauge("upstream_speed")
			m.speeds[s.Upstream] = g
		}
		g.Update(s.Lasting * s.Momentary)
	}
	m.uneven.Update(float64(uneven))
}

// recordAnswer counts a final answer and records how long it took.
func (m *requestMetrics) recordAnswer(s cleat.ServiceName, outcome string, took time.Duration) {
	series := m.seriesFor(s, outcome)
	series.count.Inc(1)
	series.time.RecordDuration(took)
}

// recordFirstEvent records the time to the first event of a stream.
func (m *requestMetrics) recordFirstEvent(s cleat.ServiceName, took time.Duration) {
	m.seriesFor(s, "").time.RecordDuration(took)
}

// seriesFor returns the series of a service and an outcome; an empty outcome means
// first events. The series are cached because the look-up by tags costs more than all
// other metrics of a refusal.
func (m *requestMetrics) seriesFor(s cleat.ServiceName, outcome string) answerSeries {
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

// countLookup counts a resumption whose version is known, by where it was found.
func (m *requestMetrics) countLookup(found string) {
	m.scope.Tagged(map[string]string{"found": found}).Counter("resumptions").Inc(1)
}

// countUnknown counts a resumption that is refused as unknown_stream, by its cause.
func (m *requestMetrics) countUnknown(cause string) {
	m.scope.Tagged(map[string]string{"cause": cause}).Counter("unknown_streams").Inc(1)
}

type answerKey struct {
	service cleat.ServiceName
	outcome string
}

type answerSeries struct {
	count tally.Counter // Nil for first events.
	time  tally.Histogram
}
