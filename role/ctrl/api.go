package ctrl

import (
	"errors"
	"net/http"
	"strings"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/role/admin"
	"marigoldcleat.example/cleat/role/telem"
	"marigoldcleat.example/cleat/state/config"
)

// fleetToken marks calls that need a token for the whole fleet.
const fleetToken = true

// principal is the authenticated caller of an API request.
type principal struct {
	tokenHash string
	token     config.Token
}

type handler func(c echo.Context, p principal) error

func (r *Role) newAPI() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = r.writeError
	e.Use(middleware.Recover(), middleware.BodyLimit("4M"))
	telem.Mount(e, r.health, r.metrics)
	e.GET(admin.PathSetting, r.requireToken(r.getSetting, !fleetToken))
	e.GET(admin.PathSettings, r.requireToken(r.listSettings, !fleetToken))
	e.POST(admin.PathChanges, r.requireToken(r.postChange, !fleetToken))
	e.GET(admin.PathHistory, r.requireToken(r.getHistory, !fleetToken))
	e.GET(admin.PathWatch, r.requireToken(r.getWatch, !fleetToken))
	e.GET(admin.PathExport, r.requireToken(r.getExport, !fleetToken))
	e.GET(admin.PathTokens, r.requireToken(r.getTokens, !fleetToken))
	e.POST(admin.PathTokens, r.requireToken(r.postToken, !fleetToken))
	e.GET(admin.PathStatus, r.requireToken(r.getStatus, fleetToken))
	e.GET(admin.PathWorkspace, r.requireToken(r.getWorkspace, !fleetToken))
	e.GET(admin.PathControl, r.requireToken(r.getControl, fleetToken))
	e.POST(admin.PathReplicas, r.requireToken(r.postReplicas, fleetToken))
	e.GET(admin.PathState, r.requireToken(r.getState, fleetToken))
	e.POST(admin.PathSnapshot, r.requireToken(r.postSnapshot, fleetToken))
	e.GET(admin.PathEvacuations, r.requireToken(r.getEvacuations, fleetToken))
	e.POST(admin.PathEvacuations, r.requireToken(r.postEvacuation, fleetToken))
	return e
}

// problemError is an error that is answered with a status and a problem document.
type problemError struct {
	status  int
	problem admin.Problem
}

// Error returns the problem's message.
func (e *problemError) Error() string { return e.problem.Message }

func newProblemError(status int, code admin.Code, message string) error {
	return &problemError{status: status, problem: admin.Problem{Code: code, Message: message}}
}

// writeError is the server's error handler; it answers each failed call with a problem.
func (r *Role) writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var known *problemError
	var echoErr *echo.HTTPError
	switch {
	case errors.As(err, &known):
	case errors.As(err, &echoErr):
		known = &problemError{status: echoErr.Code, problem: admin.Problem{Code: admin.CodeInvalid, Message: http.StatusText(echoErr.Code)}}
	default:
		r.log.Error("operator request failed", "path", c.Path(), "err", err)
		known = &problemError{status: http.StatusInternalServerError, problem: admin.Problem{Code: admin.CodeInvalid, Message: "internal error"}}
	}
	if err := c.JSON(known.status, known.problem); err != nil {
		r.log.Debug("error response not written to operator", "err", err)
	}
}

// requireToken rejects calls without a known token. Before a token counts as
// unknown, a confirmed read brings the local state up to date.
func (r *Role) requireToken(h handler, wholeFleet bool) echo.HandlerFunc {
	return func(c echo.Context) error {
		secret, ok := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		if !ok || secret == "" {
			return newProblemError(http.StatusUnauthorized, admin.CodeUnauthorised, "a token is needed")
		}
		p := principal{tokenHash: cleat.HashKey(secret)}
		if p.token, ok = r.machine.Token(p.tokenHash); !ok {
			if err := r.confirmRead(c); err != nil {
				return err
			}
			p.token, ok = r.machine.Token(p.tokenHash)
		}
		if !ok {
			return newProblemError(http.StatusUnauthorized, admin.CodeUnauthorised, "the token is unknown")
		}
		if wholeFleet && !p.token.IsFleetWide() {
			return newProblemError(http.StatusForbidden, admin.CodeForbidden, "a token for the whole fleet is needed")
		}
		return h(c, p)
	}
}

// confirmRead waits until the local state includes everything committed before the
// call, or fails the call when no quorum answers.
func (r *Role) confirmRead(c echo.Context) error {
	if err := r.host.ReadBarrier(c.Request().Context()); err != nil {
		return newProblemError(http.StatusServiceUnavailable, admin.CodeNotAccepted, "no quorum confirms the read: "+trace.UserMessage(err))
	}
	return nil
}

// proposalError maps a proposal's error to a response that says whether the change
// was certainly not accepted or its outcome is unknown.
func proposalError(err error) error {
	if trace.IsLimitExceeded(err) {
		return newProblemError(http.StatusServiceUnavailable, admin.CodeNotAccepted, "nothing was changed: "+trace.UserMessage(err))
	}
	if trace.IsBadParameter(err) || trace.IsNotFound(err) {
		return newProblemError(http.StatusUnprocessableEntity, admin.CodeInvalid, trace.UserMessage(err))
	}
	return newProblemError(http.StatusGatewayTimeout, admin.CodeOutcomeUnknown, "the outcome of the change is unknown; send it again with its operation id: "+trace.UserMessage(err))
}

// writeChangeResult writes the outcome of a proposed change.
func writeChangeResult(c echo.Context, result cleat.ChangeResult, err error) error {
	if err != nil {
		return proposalError(err)
	}
	if result.Accepted {
		return c.JSON(http.StatusOK, result)
	}
	return &problemError{
		status:  refusalStatus(result.Code),
		problem: admin.Problem{Code: admin.CodeRefused, Message: result.Problem, Result: &result},
	}
}

func refusalStatus(code cleat.ChangeCode) int {
	switch code {
	case cleat.ChangeConflict, cleat.ChangeReused:
		return http.StatusConflict
	case cleat.ChangeForbidden:
		return http.StatusForbidden
	case cleat.ChangeUnauthorised:
		return http.StatusUnauthorized
	}
	return http.StatusUnprocessableEntity
}
