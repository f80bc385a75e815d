package ctrl

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/role/admin"
	"marigoldcleat.example/cleat/state/config"
)

// Defaults and limits of query parameters.
const (
	defaultHistoryEntries = 20
	maxWatchWait          = 10 * time.Second
)

// subtreeParam returns the subtree given by the query parameter "under", "/" by default.
func subtreeParam(c echo.Context) string {
	under := strings.TrimSuffix(c.QueryParam("under"), "/")
	if under == "" {
		return config.FleetSubtree
	}
	return under
}

func (r *Role) getSetting(c echo.Context, p principal) error {
	if err := r.confirmRead(c); err != nil {
		return err
	}
	path := c.QueryParam("path")
	var setting cleat.Setting
	found := false
	r.machine.read(func(s *config.State) { setting, found = s.Get(path) })
	if !p.token.CanRead(path) {
		return newProblemError(http.StatusForbidden, admin.CodeForbidden, "the token may not read "+path)
	}
	if !found {
		return newProblemError(http.StatusNotFound, admin.CodeNotFound, "nothing is set at "+path)
	}
	return c.JSON(http.StatusOK, setting)
}

func (r *Role) listSettings(c echo.Context, p principal) error {
	if err := r.confirmRead(c); err != nil {
		return err
	}
	var list admin.Settings
	r.machine.read(func(s *config.State) {
		list = admin.Settings{Revision: s.Revision(), Settings: s.List(p.token, subtreeParam(c))}
	})
	return c.JSON(http.StatusOK, list)
}

func (r *Role) postChange(c echo.Context, p principal) error {
	var change cleat.Change
	if err := decodeBody(c, &change); err != nil {
		return err
	}
	result, err := r.Change(c.Request().Context(), change, p.tokenHash)
	return writeChangeResult(c, result, err)
}

func decodeBody(c echo.Context, into any) error {
	dec := json.NewDecoder(c.Request().Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return newProblemError(http.StatusBadRequest, admin.CodeInvalid, "the body can't be read: "+err.Error())
	}
	return nil
}

func (r *Role) getHistory(c echo.Context, p principal) error {
	if err := r.confirmRead(c); err != nil {
		return err
	}
	n := defaultHistoryEntries
	if requested, err := strconv.Atoi(c.QueryParam("n")); err == nil {
		n = min(max(requested, 1), config.MaxHistory)
	}
	var h admin.History
	r.machine.read(func(s *config.State) { h.Entries = s.History(p.token, subtreeParam(c), n) })
	return c.JSON(http.StatusOK, h)
}

// getWatch is a long poll: it answers once the settings are newer than the caller's
// revision, or with an empty delta when the wait ends.
func (r *Role) getWatch(c echo.Context, p principal) error {
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil {
		return newProblemError(http.StatusBadRequest, admin.CodeInvalid, "after must be a revision")
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), watchWait(c))
	defer cancel()
	for r.machine.Revision() <= cleat.Revision(after) {
		changed := r.machine.Changed()
		if r.machine.Revision() > cleat.Revision(after) {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return c.JSON(http.StatusOK, admin.Watch{From: cleat.Revision(after), To: cleat.Revision(after)})
		case <-r.ctx.Done():
			return newProblemError(http.StatusServiceUnavailable, admin.CodeNotAccepted, "shutting down")
		}
	}
	return c.JSON(http.StatusOK, visibleDelta(r.machine.Delta(cleat.Revision(after)), p.token, subtreeParam(c)))
}

func watchWait(c echo.Context) time.Duration {
	seconds, err := strconv.ParseFloat(c.QueryParam("wait"), 64)
	if err != nil || seconds < 0 {
		return maxWatchWait
	}
	return min(time.Duration(seconds*float64(time.Second)), maxWatchWait)
}

// visibleDelta returns the settings of a delta that lie under a subtree and that the
// token may read.
func visibleDelta(m *cleat.Settings, t config.Token, under string) admin.Watch {
	w := admin.Watch{From: m.From, To: m.To, Complete: m.Complete, Written: []cleat.Setting{}, Deleted: []string{}}
	for _, s := range m.Written {
		if config.InSubtree(s.Path, under) && t.CanRead(s.Path) {
			w.Written = append(w.Written, s)
		}
	}
	for _, path := range m.Deleted {
		if config.InSubtree(path, under) && t.CanRead(path) {
			w.Deleted = append(w.Deleted, path)
		}
	}
	return w
}

// getExport answers with a change that would set every setting the token may read.
func (r *Role) getExport(c echo.Context, p principal) error {
	if err := r.confirmRead(c); err != nil {
		return err
	}
	var change cleat.Change
	r.machine.read(func(s *config.State) { change.Ops = s.Export(p.token, subtreeParam(c)) })
	return c.JSON(http.StatusOK, change)
}

func (r *Role) getTokens(c echo.Context, p principal) error {
	if err := r.confirmRead(c); err != nil {
		return err
	}
	var list admin.Tokens
	r.machine.read(func(s *config.State) { list.Tokens = s.Tokens(p.token) })
	return c.JSON(http.StatusOK, list)
}

func (r *Role) postToken(c echo.Context, p principal) error {
	var change admin.TokenChange
	if err := decodeBody(c, &change); err != nil {
		return err
	}
	result, err := r.ChangeToken(c.Request().Context(), config.TokenCommand{
		Operation: change.Operation, By: p.tokenHash, Hash: change.Hash, Create: change.Create, Revoke: change.Revoke,
	})
	return writeChangeResult(c, result, err)
}
