package agent

import (
	"net/http"
	"slices"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/role/telem"
)

const maxReportBody = "1M" // Of an announcement, load report or cache event.

func (a *Agent) routes(e *echo.Echo) http.Handler {
	e.HideBanner, e.HidePort = true, true
	e.Use(middleware.BodyLimit(maxReportBody))
	telem.Mount(e, a.health, a.metrics)
	e.POST(cleat.PathAgentAnnounce, a.handleAnnounce)
	e.POST(cleat.PathAgentLoad, a.handleLoad)
	e.POST(cleat.PathAgentCache, a.handleCache)
	return e
}

func (a *Agent) handleAnnounce(c echo.Context) error {
	var m cleat.Announcement
	if err := c.Bind(&m); err != nil {
		return err
	}
	if err := a.Announce(m); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, trace.UserMessage(err))
	}
	return c.NoContent(http.StatusNoContent)
}

func (a *Agent) handleLoad(c echo.Context) error {
	var m cleat.LoadReport
	if err := c.Bind(&m); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.ApplyLoadReport(a.clock.Now(), m)
	return c.NoContent(http.StatusNoContent)
}

func (a *Agent) handleCache(c echo.Context) error {
	var m cleat.CacheEvent
	if err := c.Bind(&m); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.ApplyCacheEvent(a.clock.Now(), m)
	return c.NoContent(http.StatusNoContent)
}

// Announce takes what an upstream says of itself, or returns a
// trace.BadParameter error.
func (a *Agent) Announce(m cleat.Announcement) error {
	if m.Upstream == "" || len(m.Models) == 0 || (m.Kind != cleat.KindModel && m.Kind != cleat.KindPlain) {
		return trace.BadParameter("Agent.Announce: upstream, models and kind (model or plain) must be set")
	}
	a.mu.Lock()
	if err := a.addEngine(m); err != nil {
		a.mu.Unlock()
		return trace.Wrap(err)
	}
	a.commit(a.table.Announce(a.clock.Now(), m))
	return nil
}

// addEngine makes the client of a new upstream, or of one that moved.
func (a *Agent) addEngine(m cleat.Announcement) error {
	u := a.engines[m.Upstream]
	if u != nil && u.announced.Address == m.Address && u.announced.CanResume == m.CanResume {
		u.announced = m
		return nil
	}
	if u == nil && len(a.engines) >= maxUpstreams {
		a.dropGone()
	}
	if u == nil && len(a.engines) >= maxUpstreams {
		return trace.LimitExceeded("Agent.addEngine: more than %d upstreams", maxUpstreams)
	}
	e, err := NewHTTPEngine(m, a.cfg.StallTimeout, a.cfg.OrderTimeout)
	if err != nil {
		return err
	}
	a.engines[m.Upstream] = &upstream{announced: m, engine: e}
	a.log.Info("upstream announced itself", "upstream", m.Upstream, "kind", m.Kind, "models", m.Models, "address", m.Address)
	return nil
}

// dropGone forgets the clients of upstreams that the slots table no longer knows.
func (a *Agent) dropGone() {
	known := a.table.Upstreams()
	for id, u := range a.engines {
		gone := !slices.ContainsFunc(known, func(s cleat.UpstreamState) bool { return s.Upstream == id })
		if gone {
			u.engine.Close()
			delete(a.engines, id)
		}
	}
}

// Sums takes the fleet's service totals from a control instance.
func (a *Agent) Sums(m *cleat.LedgerSums) {
	a.mu.Lock()
	a.commit(a.table.ApplyLedgerSums(a.clock.Now(), m))
}

// Registration returns what the agent tells control instances of itself.
func (a *Agent) Registration() cleat.Register {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := cleat.Register{Leaving: a.draining, Status: a.table.Status()}
	for _, u := range a.table.Upstreams() {
		hosted := cleat.HostedUpstream{Upstream: u.Upstream, Kind: u.Kind, Models: u.Models, Leaving: u.Leaving}
		if known := a.engines[u.Upstream]; known != nil {
			hosted.CanLoad = known.announced.CanLoad
		}
		r.Upstreams = append(r.Upstreams, hosted)
		r.Models = append(r.Models, u.Models...)
	}
	slices.Sort(r.Models)
	r.Models = slices.Compact(r.Models)
	return r
}
