package telem

import (
	"net/http"
	"sync"

	"github.com/labstack/echo/v4"
)

// Paths of the endpoints that every daemon serves on its HTTP address.
const (
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
)

// ReasonDraining is the reason why a process is not ready while it shuts down.
const ReasonDraining = "shutting down"

// Health answers readiness checks: whether the process accepts new work.
type Health struct {
	mu       sync.Mutex
	ready    func() (bool, string)
	draining bool
}

// NewHealth returns a Health that calls ready for each check; ready returns the
// reason when the process is not ready.
func NewHealth(ready func() (bool, string)) *Health {
	return &Health{ready: ready}
}

// Drain makes all further checks report that the process is not ready.
func (h *Health) Drain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
}

// Ready reports whether the process accepts new work, and the reason when it does not.
func (h *Health) Ready() (bool, string) {
	h.mu.Lock()
	draining := h.draining
	h.mu.Unlock()
	if draining {
		return false, ReasonDraining
	}
	return h.ready()
}

// Mount serves the health and metrics endpoints on e.
func Mount(e *echo.Echo, h *Health, m *Metrics) {
	e.GET(PathHealth, func(c echo.Context) error {
		return c.String(http.StatusOK, "ok\n")
	})
	e.GET(PathReady, func(c echo.Context) error {
		if ok, reason := h.Ready(); !ok {
			return c.String(http.StatusServiceUnavailable, reason+"\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	e.GET(PathMetrics, echo.WrapHandler(m.Handler()))
}
