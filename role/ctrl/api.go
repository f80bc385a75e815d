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

// fleetToken marks calls that only a token for the whole fleet may make.
const fleetToken = true

// caller is who makes a call to the API.
type caller struct {
	hash  string
	token config.Token
}

type handler func(c echo.Context, who caller) error

func (r *Role) newAPI() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = r.answerError
	e.Use(middleware.Recover(), middleware.BodyLimit("4M"))
	telem.Mount(e, r.health, r.metrics)
	e.GET(admin.PathSetting, r.authorised(r.getSetting, !fleetToken))
	e.GET(admin.PathSettings, r.authorised(r.listSettings, !fleetToken))
	e.POST(admin.PathChanges, r.authorised(r.postChange, !fleetToken))
	e.GET(admin.PathHistory, r.authorised(r.getHistory, !fleetToken))
	e.GET(admin.PathWatch, r.authorised(r.getWatch, !fleetToken))
	e.GET(admin.PathExport, r.authorised(r.getExport, !fleetToken))
	e.GET(admin.PathTokens, r.authorised(r.getTokens, !fleetToken))
	e.POST(admin.PathTokens, r.authorised(r.postToken, !fleetToken))
	e.GET(admin.PathStatus, r.authorised(r.getStatus, fleetToken))
	e.GET(admin.PathWorkspace, r.authorised(r.getWorkspace, !fleetToken))
	e.GET(admin.PathControl, r.authorised(r.getControl, fleetToken))
	e.POST(admin.PathReplicas, r.authorised(r.postReplicas, fleetToken))
	e.GET(admin.PathState, r.authorised(r.getState, fleetToken))
	e.POST(admin.PathSnapshot, r.authorised(r.postSnapshot, fleetToken))
	return e
}

// problemError is a call that ends with a problem.
type problemError struct {
	status  int
	problem admin.Problem
}

// Error returns the problem's message.
func (e *problemError) Error() string { return e.problem.Message }

func failed(status int, code admin.Code, message string) error {
	return &problemError{status: status, problem: admin.Problem{Code: code, Message: message}}
}

// answerError writes every failure as a problem.
func (r *Role) answerError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var known *problemError
	var byEcho *echo.HTTPError
	switch {
	case errors.As(err, &known):
	case errors.As(err, &byEcho):
		known = &problemError{status: byEcho.Code, problem: admin.Problem{Code: admin.CodeInvalid, Message: http.StatusText(byEcho.Code)}}
	default:
		r.log.Error("operator call failed", "path", c.Path(), "err", err)
		known = &problemError{status: http.StatusInternalServerError, problem: admin.Problem{Code: admin.CodeInvalid, Message: "internal error"}}
	}
	if err := c.JSON(known.status, known.problem); err != nil {
		r.log.Debug("operator not answered", "err", err)
	}
}

// authorised lets a call through whose token is known; the log of the fleet is
// asked again before a token counts as unknown.
func (r *Role) authorised(h handler, wholeFleet bool) echo.HandlerFunc {
	return func(c echo.Context) error {
		secret, ok := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		if !ok || secret == "" {
			return failed(http.StatusUnauthorized, admin.CodeUnauthorised, "a token is needed")
		}
		who := caller{hash: cleat.HashKey(secret)}
		if who.token, ok = r.machine.Token(who.hash); !ok {
			if err := r.confirm(c); err != nil {
				return err
			}
			who.token, ok = r.machine.Token(who.hash)
		}
		if !ok {
			return failed(http.StatusUnauthorized, admin.CodeUnauthorised, "the token is unknown")
		}
		if wholeFleet && !who.token.Fleet() {
			return failed(http.StatusForbidden, admin.CodeForbidden, "a token for the whole fleet is needed")
		}
		return h(c, who)
	}
}

// confirm makes the local state hold all that was committed, or fails the call.
func (r *Role) confirm(c echo.Context) error {
	if err := r.host.ReadBarrier(c.Request().Context()); err != nil {
		return failed(http.StatusServiceUnavailable, admin.CodeNotAccepted, "no quorum confirms the read: "+trace.UserMessage(err))
	}
	return nil
}

// proposalError tells a caller honestly what is known of a proposal's fate.
func proposalError(err error) error {
	if trace.IsLimitExceeded(err) {
		return failed(http.StatusServiceUnavailable, admin.CodeNotAccepted, "nothing was changed: "+trace.UserMessage(err))
	}
	if trace.IsBadParameter(err) || trace.IsNotFound(err) {
		return failed(http.StatusUnprocessableEntity, admin.CodeInvalid, trace.UserMessage(err))
	}
	return failed(http.StatusGatewayTimeout, admin.CodeFateUnknown, "the change may be accepted; send it again with its operation id: "+trace.UserMessage(err))
}

// answerChange writes the fleet's answer to a change.
func answerChange(c echo.Context, result cleat.ChangeResult, err error) error {
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
