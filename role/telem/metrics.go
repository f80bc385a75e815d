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

// Limits of the metrics.
const (
	// MaxSeries is the number of workspace and class pairs with histograms of their
	// own; all further pairs share ("other", "other"). It bounds label cardinality.
	MaxSeries = 64
	// ReportInterval is the interval at which recorded values are published to the endpoint.
	ReportInterval = time.Second
	// OtherLabel is the label value of pairs beyond MaxSeries.
	OtherLabel = "other"
)

// Metrics is the registry of a daemon's metrics and their endpoint.
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

// NewMetrics returns the metrics of a daemon in role, whose names start with
// "cleat_<role>_", and the standard metrics of the Go runtime and the process.
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

// sanitizeOptions keeps the characters / - . : in label values, so that different
// workspaces never share a label.
func sanitizeOptions() *tally.SanitizeOptions {
	o := prometheus.DefaultSanitizerOpts
	o.ValueCharacters.Characters = append([]rune{'/', '-', '.', ':'}, o.ValueCharacters.Characters...)
	return &o
}

// Scope returns the root scope, for counters and gauges specific to the role.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Handler returns the endpoint in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close publishes the remaining values and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// CountRefusal counts a refusal by workspace and reason. Once there are
// MaxSeries*reasonsPerWorkspace counters, the workspace of any new pair is "other".
func (m *Metrics) CountRefusal(w cleat.WorkspaceID, reason cleat.Reason) {
	m.refusalCounter(refusalKey{workspace: w, reason: reason}).Inc(1)
}

func (m *Metrics) refusalCounter(k refusalKey) tally.Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c, ok := m.refusals[k]; ok {
		return c
	}
	if len(m.refusals) >= MaxSeries*reasonsPerWorkspace {
		k.workspace = OtherLabel
	}
	c := m.scope.Tagged(map[string]string{"workspace": string(k.workspace), "reason": string(k.reason)}).Counter("refusals")
	if k.workspace != OtherLabel {
		m.refusals[k] = c
	}
	return c
}

// reasonsPerWorkspace is the approximate number of refusal reasons of one workspace;
// it sets the limit of refusal counters.
const reasonsPerWorkspace = 8

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
