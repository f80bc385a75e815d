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

const maxReportBody = "1M" // Limit for the body of an announcement, load report or cache event.

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
	a.slots.ApplyLoadReport(a.clock.Now(), m)
	return c.NoContent(http.StatusNoContent)
}

func (a *Agent) handleCache(c echo.Context) error {
	var m cleat.CacheEvent
	if err := c.Bind(&m); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots.ApplyCacheEvent(a.clock.Now(), m)
	return c.NoContent(http.StatusNoContent)
}

// Announce registers an upstream or updates its registration. It returns a
// trace.BadParameter error if the announcement is invalid, and a
// trace.LimitExceeded error if the upstream is new and there are maxUpstreams already.
func (a *Agent) Announce(m cleat.Announcement) error {
	if m.Upstream == "" || len(m.Models) == 0 || (m.Kind != cleat.KindModel && m.Kind != cleat.KindPlain) {
		return trace.BadParameter("Agent.Announce: upstream, models and kind (model or plain) must be set")
	}
	a.mu.Lock()
	if err := a.addEngine(m); err != nil {
		a.mu.Unlock()
		return trace.Wrap(err)
	}
	a.unlockAndSend(a.slots.Announce(a.clock.Now(), m))
	return nil
}

// addEngine creates the client of a new upstream, or of one whose address or support
// for resumption changed. a.mu is held.
func (a *Agent) addEngine(m cleat.Announcement) error {
	u := a.engines[m.Upstream]
	if u != nil && u.announced.Address == m.Address && u.announced.CanResume == m.CanResume {
		u.announced = m
		return nil
	}
	if u == nil && len(a.engines) >= maxUpstreams {
		a.closeRemovedEngines()
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

// closeRemovedEngines closes and removes the clients of upstreams that are no longer
// in the slots table. a.mu is held.
func (a *Agent) closeRemovedEngines() {
	known := a.slots.Upstreams()
	for id, u := range a.engines {
		removed := !slices.ContainsFunc(known, func(s cleat.UpstreamState) bool { return s.Upstream == id })
		if removed {
			u.engine.Close()
			delete(a.engines, id)
		}
	}
}

// ApplyLedgerSums applies the fleet's service totals, received from a control instance.
func (a *Agent) ApplyLedgerSums(m *cleat.LedgerSums) {
	a.mu.Lock()
	a.unlockAndSend(a.slots.ApplyLedgerSums(a.clock.Now(), m))
}

// Registration returns the state that the agent registers with control instances.
func (a *Agent) Registration() cleat.Register {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := cleat.Register{Leaving: a.draining, Status: a.slots.Status()}
	for _, u := range a.slots.Upstreams() {
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
