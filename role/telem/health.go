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

// Draining is why a process that shuts down is not ready.
const Draining = "shutting down"

// Health answers whether the process lives and whether it takes new work.
type Health struct {
	mu       sync.Mutex
	ready    func() (bool, string)
	draining bool
}

// NewHealth returns a Health that asks ready each time; the string says what is missing.
func NewHealth(ready func() (bool, string)) *Health {
	return &Health{ready: ready}
}

// Drain makes the process answer that it takes no new work.
func (h *Health) Drain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
}

// Ready reports whether the process takes new work and, when not, why.
func (h *Health) Ready() (bool, string) {
	h.mu.Lock()
	draining := h.draining
	h.mu.Unlock()
	if draining {
		return false, Draining
	}
	return h.ready()
}

// Mount serves the health and metrics endpoints on e.
func Mount(e *echo.Echo, h *Health, m *Metrics) {
	e.GET(PathHealth, func(c echo.Context) error {
		return c.String(http.StatusOK, "ok\n")
	})
	e.GET(PathReady, func(c echo.Context) error {
		if ok, why := h.Ready(); !ok {
			return c.String(http.StatusServiceUnavailable, why+"\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	e.GET(PathMetrics, echo.WrapHandler(m.Handler()))
}
