package proxy

import (
	"math"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"marigoldcleat.example/cleat/policy/place"
)

// outputLogInterval is the time between the lines about estimates of the output.
const outputLogInterval = 10 * time.Second

// outputMetrics count ended streams by how far the estimates of their output were off.
type outputMetrics struct {
	deciles [10]tally.Counter
	ratios  [place.RatioBuckets]tally.Counter
	cut     tally.Counter
	keys    tally.Gauge
	last    place.OutputStats // As counted so far.
}

func newOutputMetrics(scope tally.Scope) *outputMetrics {
	m := &outputMetrics{cut: scope.Counter("output_cut"), keys: scope.Gauge("output_keys")}
	for i := range m.deciles {
		m.deciles[i] = scope.Tagged(map[string]string{"decile": strconv.Itoa(i + 1)}).Counter("output_estimates")
	}
	for i := range m.ratios {
		ratio := math.Exp2(float64(i - place.RatioBuckets/2))
		m.ratios[i] = scope.Tagged(map[string]string{"ratio": strconv.FormatFloat(ratio, 'g', -1, 64)}).Counter("output_ratios")
	}
	return m
}

// update counts what was added since the last call.
func (m *outputMetrics) update(p *place.Planner) {
	s := p.OutputStats()
	for i, n := range s.Deciles {
		m.deciles[i].Inc(int64(n - m.last.Deciles[i]))
	}
	for i, n := range s.Ratios {
		m.ratios[i].Inc(int64(n - m.last.Ratios[i]))
	}
	m.cut.Inc(int64(s.Cut - m.last.Cut))
	m.keys.Update(float64(p.OutputKeys()))
	m.last = s
}

// outputLog logs how far the estimates of the output were off.
type outputLog struct {
	at   time.Time
	last place.OutputStats // As logged so far.
}

// fields returns the fields of the next line, or nil when none is due or no stream has
// ended.
func (l *outputLog) fields(now time.Time, s place.OutputStats, keys int) []any {
	if now.Sub(l.at) < outputLogInterval || s.Ended == l.last.Ended {
		return nil
	}
	ended := s.Ended - l.last.Ended
	fields := []any{
		"ended", ended, "cut", s.Cut - l.last.Cut, "keys", keys, "error", round2((s.Error - l.last.Error) / float64(ended)),
		"lowest_tenth", round2(float64(s.Deciles[0]-l.last.Deciles[0]) / float64(ended)),
		"highest_tenth", round2(float64(s.Deciles[9]-l.last.Deciles[9]) / float64(ended)),
	}
	l.at, l.last = now, s
	return fields
}
