package telem

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"marigoldcleat.example/cleat"
)

// Bounds of the metrics.
const (
	// MaxSeries is how many pairs of workspace and class get histograms of
	// their own; all further ones share the pair ("other", "other").
	MaxSeries = 64
	// ReportInterval is how often recorded values move to the endpoint.
	ReportInterval = time.Second
	// OtherLabel is the value of the labels of pairs beyond MaxSeries.
	OtherLabel = "other"
)

// Metrics is the root of a daemon's metrics, with the endpoint that shows them.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
	mu       sync.RWMutex
	series   map[seriesKey]*Series
	refusals map[refusalKey]tally.Counter
}

type seriesKey struct {
	workspace cleat.WorkspaceID
	class     cleat.ClassName
}

type refusalKey struct {
	workspace cleat.WorkspaceID
	reason    cleat.Reason
}

// NewMetrics returns the metrics of a daemon in role; names start with "cleat_<role>_".
func NewMetrics(role cleat.Role, logger *log.Logger) *Metrics {
	reg := prom.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:      reg,
		Gatherer:        reg,
		OnRegisterError: func(err error) { logger.Error("metric not registered", "err", err) },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "cleat_" + string(role),
		Separator:              prometheus.DefaultSeparator,
		CachedReporter:         reporter,
		SanitizeOptions:        sanitizeOptions(),
		OmitCardinalityMetrics: true,
	}, ReportInterval)
	return &Metrics{
		scope:    scope,
		closer:   closer,
		reporter: reporter,
		series:   make(map[seriesKey]*Series),
		refusals: make(map[refusalKey]tally.Counter),
	}
}

// sanitizeOptions keeps the slash and the dash of workspace names, so that
// different workspaces never share a label.
func sanitizeOptions() *tally.SanitizeOptions {
	o := prometheus.DefaultSanitizerOpts
	o.ValueCharacters.Characters = append([]rune{'/', '-', '.', ':'}, o.ValueCharacters.Characters...)
	return &o
}

// Scope returns the root scope, for counters and gauges of the role's own.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Handler returns the endpoint in the prometheus text form.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close reports what was recorded last and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// Refused counts a refusal by workspace and reason; workspaces beyond the cap count as "other".
func (m *Metrics) Refused(w cleat.WorkspaceID, reason cleat.Reason) {
	m.refusalCounter(refusalKey{workspace: w, reason: reason}).Inc(1)
}

func (m *Metrics) refusalCounter(k refusalKey) tally.Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c, ok := m.refusals[k]; ok {
		return c
	}
	if len(m.refusals) >= MaxSeries*refusalReasons {
		k.workspace = OtherLabel
	}
	c := m.scope.Tagged(map[string]string{"workspace": string(k.workspace), "reason": string(k.reason)}).Counter("refusals")
	if k.workspace != OtherLabel {
		m.refusals[k] = c
	}
	return c
}

// refusalReasons is about how many reasons one workspace is refused for.
const refusalReasons = 8

// Series returns the histograms of a workspace and class.
func (m *Metrics) Series(w cleat.WorkspaceID, c cleat.ClassName) *Series {
	k := seriesKey{workspace: w, class: c}
	m.mu.RLock()
	s, ok := m.series[k]
	m.mu.RUnlock()
	if ok {
		return s
	}
	return m.addSeries(k)
}

func (m *Metrics) addSeries(k seriesKey) *Series {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.series[k]; ok {
		return s
	}
	if len(m.series) >= MaxSeries {
		k = seriesKey{workspace: OtherLabel, class: OtherLabel}
	}
	if s, ok := m.series[k]; ok {
		return s
	}
	s := newSeries(m.scope.Tagged(map[string]string{"workspace": string(k.workspace), "class": string(k.class)}))
	m.series[k] = s
	return s
}
