package ctrl

import (
	"net/http"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"

	"marigoldcleat.example/cleat/role/admin"
)

func (r *Role) getEvacuations(c echo.Context, _ principal) error {
	list, err := r.ListEvacuations(c.Request().Context())
	if err != nil {
		return newProblemError(http.StatusServiceUnavailable, admin.CodeNotAccepted, "no quorum confirms the read: "+trace.UserMessage(err))
	}
	return c.JSON(http.StatusOK, list)
}

func (r *Role) postEvacuation(c echo.Context, p principal) error {
	var order admin.EvacuationOrder
	if err := decodeBody(c, &order); err != nil {
		return err
	}
	if !p.token.Write {
		return newProblemError(http.StatusForbidden, admin.CodeForbidden, "the token may not write")
	}
	r.log.Info("operator requested an evacuation or its end", "domain", order.Domain, "evacuate", order.Evacuate, "by", p.token.ID)
	result, err := r.orderEvacuation(c.Request().Context(), order.Domain, order.Evacuate)
	if trace.IsConnectionProblem(err) {
		return newProblemError(http.StatusGatewayTimeout, admin.CodeOutcomeUnknown, "the outcome of the order is unknown; send it again: "+trace.UserMessage(err))
	}
	if err != nil {
		return proposalError(err)
	}
	return c.JSON(http.StatusOK, result)
}
