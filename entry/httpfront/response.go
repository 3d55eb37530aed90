package httpfront

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"almondstile/header"
	"almondstile/request"

	"github.com/valyala/fasthttp"
)

// errorBody is the JSON body of a response that no backend server sent.
type errorBody struct {
	Outcome request.Outcome `json:"outcome"`
	Reason  request.Reason  `json:"reason"`
	Message string          `json:"message"`
	// RetryAfterMillis is when the caller may retry, 0 if unknown.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// writeResult writes the backend server's response, or an error body if there is
// none. id is the request's ID.
func writeResult(ctx *fasthttp.RequestCtx, id string, result request.Result) {
	if result.Outcome != request.Answered {
		writeError(ctx, id, withRetryAfter(result), "")
		return
	}
	ctx.SetStatusCode(result.Status)
	for _, f := range result.Header {
		ctx.Response.Header.Add(f.Name, f.Value)
	}
	setOutcomeFields(ctx, id, result)
	ctx.Response.SetBodyRaw(result.Body)
}

// setOutcomeFields sets the header fields for the outcome, the reason and the
// request's ID.
func setOutcomeFields(ctx *fasthttp.RequestCtx, id string, result request.Result) {
	h := &ctx.Response.Header
	h.Set(header.Outcome, string(result.Outcome))
	if result.Reason != request.ReasonNone {
		h.Set(header.Reason, string(result.Reason))
	}
	if id != "" {
		h.Set(header.RequestID, id)
	}
}

// writeError writes a result without a backend server's response. detail, if not
// empty, replaces the message of reasonMessages.
func writeError(ctx *fasthttp.RequestCtx, id string, result request.Result, detail string) {
	if detail == "" {
		detail = reasonMessages[result.Reason]
	}
	body := errorBody{
		Outcome: result.Outcome, Reason: result.Reason, Message: detail,
		RetryAfterMillis: result.RetryAfter.Milliseconds(),
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(StatusOf(result))
	setOutcomeFields(ctx, id, result)
	if result.RetryAfter > 0 {
		seconds := int(math.Ceil(result.RetryAfter.Seconds()))
		ctx.Response.Header.Set(header.RetryAfter, strconv.Itoa(seconds))
	}
	if result.Reason == request.ReasonNoKey || result.Reason == request.ReasonBadKey {
		ctx.Response.Header.Set("WWW-Authenticate", `Bearer realm="almondstile"`)
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

// StatusOf returns the HTTP status of a result without a backend server's
// response. 429 and 503 are used only for requests that were certainly not
// executed.
func StatusOf(result request.Result) int {
	switch result.Reason {
	case request.ReasonIdempotencyKeyReused:
		return fasthttp.StatusUnprocessableEntity
	case request.ReasonDuplicate, request.ReasonInProgress:
		return fasthttp.StatusConflict
	}
	if result.Outcome == request.Unknown {
		if result.Reason == request.ReasonDeadline {
			return fasthttp.StatusGatewayTimeout
		}
		return fasthttp.StatusBadGateway
	}
	switch result.Reason {
	case request.ReasonNoKey, request.ReasonBadKey:
		return fasthttp.StatusUnauthorized
	case request.ReasonWrongTeam:
		return fasthttp.StatusForbidden
	case request.ReasonNoRoute:
		return fasthttp.StatusNotFound
	case request.ReasonMalformed:
		return fasthttp.StatusBadRequest
	case request.ReasonTooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case request.ReasonRateLimited:
		return fasthttp.StatusTooManyRequests
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

// reasonMessages explains each reason to a person who reads the response.
var reasonMessages = map[request.Reason]string{
	request.ReasonNoKey:                "The request carries no key. Send it as \"Authorization: Bearer KEY\".",
	request.ReasonBadKey:               "The key is not known or was withdrawn.",
	request.ReasonWrongTeam:            "The key's team may not use this route.",
	request.ReasonNoRoute:              "No route matches the path.",
	request.ReasonMalformed:            "The request is malformed.",
	request.ReasonTooLarge:             "The request is larger than the limit.",
	request.ReasonRateLimited:          "The team is over its rate.",
	request.ReasonNoServer:             "No backend server of the service takes requests now.",
	request.ReasonNoSlot:               "No backend server that was asked has a free slot.",
	request.ReasonBusy:                 "All backend servers of the service are busy.",
	request.ReasonDeadline:             "The request did not finish in the time that its route allows.",
	request.ReasonEjected:              "The backend server is ejected.",
	request.ReasonNotOwner:             "The backend server has no owner at the moment.",
	request.ReasonLeaving:              "The backend server is leaving.",
	request.ReasonQuarantined:          "The same request crashed backend servers and is refused for a time.",
	request.ReasonShed:                 "The backend server shed the request.",
	request.ReasonMisdirected:          "Another backend server has the address.",
	request.ReasonConnectFailed:        "The backend server or its owner cannot be reached.",
	request.ReasonLostResponse:         "The connection to the backend server was lost before its response.",
	request.ReasonTruncated:            "The backend server's response was incomplete.",
	request.ReasonResponseMismatch:     "The backend server sent another request's response.",
	request.ReasonResponseTooLarge:     "The backend server's response is larger than the limit.",
	request.ReasonServerCrashed:        "The backend server crashed.",
	request.ReasonStoreUnavailable:     "Idempotency keys cannot be recorded at the moment.",
	request.ReasonDuplicate:            "A request with this idempotency key was sent before and its response is not known.",
	request.ReasonInProgress:           "A request with this idempotency key is still running.",
	request.ReasonIdempotencyKeyReused: "The idempotency key was used for another request.",
	request.ReasonNotReady:             "This VM does not serve requests at the moment.",
	request.ReasonStopping:             "This VM is being stopped. Send the request on a new connection.",
	request.ReasonCanceled:             "The caller closed the connection.",
	request.ReasonOverloaded:           "This VM is overloaded.",
	request.ReasonInternal:             "An internal error occurred.",
}

// defaultRetryAfter is the Retry-After time of a temporary rejection that does not
// set one.
const defaultRetryAfter = time.Second

// withRetryAfter sets defaultRetryAfter on a result with status 503 that was not
// executed and has no Retry-After time.
func withRetryAfter(result request.Result) request.Result {
	if result.RetryAfter == 0 && result.Outcome == request.NotRun && StatusOf(result) == fasthttp.StatusServiceUnavailable {
		result.RetryAfter = defaultRetryAfter
	}
	return result
}
