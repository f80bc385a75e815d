package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"marigoldcleat.example/cleat"
)

// Headers that the entry sets on its answers.
const (
	HeaderRan      = "Marigoldcleat-Ran"
	HeaderReason   = "Marigoldcleat-Reason"
	HeaderRequest  = "Marigoldcleat-Request"
	HeaderReplayed = "Marigoldcleat-Replayed" // "yes" on the recorded answer of an earlier request.
)

// refusalResponse is the HTTP status and message for a refusal reason.
type refusalResponse struct {
	status  int
	message string
}

var refusalResponses = map[cleat.Reason]refusalResponse{
	cleat.ReasonQueueFull:            {http.StatusTooManyRequests, "too many requests of this workspace are waiting"},
	cleat.ReasonFleetFull:            {http.StatusServiceUnavailable, "too many requests are waiting"},
	cleat.ReasonDeadline:             {http.StatusGatewayTimeout, "the deadline passed"},
	cleat.ReasonUnattainableDeadline: {http.StatusGatewayTimeout, "the deadline can't be met at the present pace"},
	cleat.ReasonNoUpstream:           {http.StatusServiceUnavailable, "no upstream serves the model or pool"},
	cleat.ReasonNoQuorum:             {http.StatusServiceUnavailable, "the idempotency key could not be claimed durably"},
	cleat.ReasonInDoubt:              {http.StatusConflict, "an earlier request with this idempotency key may have run; its outcome is not known"},
	cleat.ReasonKeyInUse:             {http.StatusConflict, "an earlier request with this idempotency key is still running"},
	cleat.ReasonKeyMismatch:          {http.StatusUnprocessableEntity, "the idempotency key was used before for another request"},
	cleat.ReasonAnswerNotKept:        {http.StatusConflict, "an earlier request with this idempotency key ran; its answer was too large to be kept"},
	cleat.ReasonUpstreamFailed:       {http.StatusBadGateway, "the upstream failed"},
	cleat.ReasonAgentLost:            {http.StatusBadGateway, "the agent beside the upstream was lost"},
	cleat.ReasonBufferOverrun:        {http.StatusBadGateway, "the answer outran its buffer"},
	cleat.ReasonRetriesSpent:         {http.StatusServiceUnavailable, "all retries failed or the retry budget is used up"},
	cleat.ReasonShutdown:             {http.StatusServiceUnavailable, "this entry is shutting down"},
	cleat.ReasonUnauthorised:         {http.StatusUnauthorized, "the workspace key is missing or unknown"},
	cleat.ReasonNoRule:               {http.StatusNotFound, "no rule matches the request"},
	cleat.ReasonMalformed:            {http.StatusBadRequest, "the request can't be understood"},
	cleat.ReasonTooLarge:             {http.StatusRequestEntityTooLarge, "the request is too large"},
	cleat.ReasonCallerSlow:           {http.StatusRequestTimeout, "the request's body did not arrive in time"},
	cleat.ReasonNotReady:             {http.StatusServiceUnavailable, "this entry has no confirmed settings yet"},
	cleat.ReasonStaleGrant:           {http.StatusServiceUnavailable, "the grant was void"},
}

func responseFor(reason cleat.Reason) refusalResponse {
	res, ok := refusalResponses[reason]
	if !ok {
		return refusalResponse{http.StatusBadGateway, "the request failed"}
	}
	return res
}

// RefusalBody is the JSON body of a refusal.
type RefusalBody struct {
	Error RefusalDetail `json:"error"`
}

// RefusalDetail holds the reason for a refusal and whether an upstream ran the
// request.
type RefusalDetail struct {
	Code    cleat.Reason    `json:"code"`
	Message string          `json:"message"`
	Ran     cleat.Ran       `json:"ran"`
	Request cleat.RequestID `json:"request"`
}

func newRefusalBody(r cleat.Refusal, detail string) RefusalBody {
	message := responseFor(r.Reason).message
	if detail != "" {
		message += ": " + detail
	}
	return RefusalBody{Error: RefusalDetail{Code: r.Reason, Message: message, Ran: r.Ran, Request: r.Request}}
}

// writeRefusal writes a refusal as the answer; no part of an answer may have been
// written before.
func writeRefusal(w http.ResponseWriter, r cleat.Refusal, detail string) error {
	body, err := json.Marshal(newRefusalBody(r, detail))
	if err != nil {
		return err
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderRan, string(r.Ran))
	h.Set(HeaderReason, string(r.Reason))
	h.Set(HeaderRequest, string(r.Request))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", retryAfterSeconds(r.RetryAfter))
	}
	if r.Reason == cleat.ReasonUnauthorised {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(responseFor(r.Reason).status)
	_, err = w.Write(body)
	return err
}

// retryAfterSeconds rounds up to full seconds, the unit of the Retry-After header.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// errorEvent returns the last event of a stream that can't be completed.
func errorEvent(r cleat.Refusal) ([]byte, error) {
	body, err := json.Marshal(newRefusalBody(r, ""))
	if err != nil {
		return nil, err
	}
	event := append([]byte("event: error\ndata: "), body...)
	return append(event, "\n\n"...), nil
}
