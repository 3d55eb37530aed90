package operator

import (
	"strings"

	"almondstile/configstore"
	"almondstile/contract"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
)

// ErrorCode identifies the kind of an error for client programs.
type ErrorCode string

// The error codes that the API returns.
const (
	CodeUnauthorized   ErrorCode = "unauthorized"
	CodeForbidden      ErrorCode = "forbidden"
	CodeNotFound       ErrorCode = "not-found"
	CodeBadRequest     ErrorCode = "bad-request"
	CodeInvalidIntent  ErrorCode = "invalid-intent"
	CodeRefused        ErrorCode = "refused"
	CodeTooLarge       ErrorCode = "too-large"
	CodeUnknownPlan    ErrorCode = "unknown-plan"
	CodeBaseChanged    ErrorCode = "base-changed"
	CodeUnavailable    ErrorCode = "unavailable"
	CodeOutcomeUnknown ErrorCode = "outcome-unknown"
	CodeInternal       ErrorCode = "internal"
)

// ErrorBody is the JSON body of every response that is not a success, except
// those of /ready, which have a ReadyBody.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error: Code for programs, Message for people.
type ErrorDetail struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// Faults lists every fault of an intent, with CodeInvalidIntent.
	Faults []string `json:"faults,omitempty"`
	// Effect is what a refused plan would have changed.
	Effect *contract.Effect `json:"effect,omitempty"`
	// Current is the present version of the configuration or member list on which
	// the request was based. It is set with CodeBaseChanged.
	Current uint64 `json:"current,omitempty"`
}

// apiError is an error that is sent to the client with an HTTP status and an
// ErrorBody.
type apiError struct {
	status int
	detail ErrorDetail
}

func (e *apiError) Error() string { return e.detail.Message }

func newAPIError(status int, code ErrorCode, message string) *apiError {
	return &apiError{status, ErrorDetail{Code: code, Message: message}}
}

var errOutcomeUnknown = newAPIError(fiber.StatusGatewayTimeout, CodeOutcomeUnknown,
	"the plan may have been accepted; confirm it again, which never applies it twice")

// planError translates an error of contract or configstore into an API error.
// Other errors become CodeInternal without their text, which is not for clients.
func planError(err error) *apiError {
	var invalid *contract.ValidationError
	var document *contract.DocumentError
	var refused *contract.PlanRefusedError
	switch {
	case errors.As(err, &document):
		e := newAPIError(fiber.StatusBadRequest, CodeInvalidIntent, "the intent cannot be read")
		for _, f := range document.Faults {
			e.detail.Faults = append(e.detail.Faults, f.String())
		}
		return e
	case errors.As(err, &invalid):
		e := newAPIError(fiber.StatusUnprocessableEntity, CodeInvalidIntent, "the intent leads to an invalid configuration")
		for _, f := range invalid.Faults {
			e.detail.Faults = append(e.detail.Faults, f.String())
		}
		return e
	case errors.As(err, &refused):
		e := newAPIError(fiber.StatusUnprocessableEntity, CodeRefused,
			"the plan is refused: "+strings.Join(refused.Effect.Refusals, "; "))
		e.detail.Effect = &refused.Effect
		return e
	case errors.Is(err, contract.ErrEmptyIntent):
		return newAPIError(fiber.StatusBadRequest, CodeInvalidIntent, "the intent contains no change")
	case errors.Is(err, configstore.ErrIntentTooLarge):
		return newAPIError(fiber.StatusRequestEntityTooLarge, CodeTooLarge, "the intent is too large for one plan; split it")
	case errors.Is(err, configstore.ErrUnknownPlan):
		return newAPIError(fiber.StatusNotFound, CodeUnknownPlan, "there is no such plan, or it has expired")
	case errors.Is(err, configstore.ErrUnavailable):
		return newAPIError(fiber.StatusServiceUnavailable, CodeUnavailable, "the store is unavailable; nothing was changed")
	}
	return newAPIError(fiber.StatusInternalServerError, CodeInternal, "internal error; see the VM's log")
}

// outcomeError translates an outcome other than configstore.Accepted into an API
// error.
func outcomeError(o configstore.Outcome) *apiError {
	switch o.Kind {
	case configstore.BaseChanged:
		e := newAPIError(fiber.StatusConflict, CodeBaseChanged,
			"another plan was accepted since this one was made; make the plan again")
		e.detail.Current = o.CurrentVersion
		return e
	case configstore.UnknownPlan:
		return planError(configstore.ErrUnknownPlan)
	}
	return errOutcomeUnknown
}

// handleError writes the response for an error that a handler returned. It logs
// errors that are neither an apiError nor a fiber.Error.
func (s *Server) handleError(c fiber.Ctx, err error) error {
	var api *apiError
	var http *fiber.Error
	switch {
	case errors.As(err, &api):
	case errors.As(err, &http) && http.Code == fiber.StatusNotFound:
		api = newAPIError(http.Code, CodeNotFound, "no such path")
	case errors.As(err, &http) && http.Code == fiber.StatusRequestEntityTooLarge:
		api = newAPIError(http.Code, CodeTooLarge, http.Message)
	case errors.As(err, &http):
		api = newAPIError(http.Code, CodeBadRequest, http.Message)
	default:
		s.log.WithError(err).Error("A request of an operator failed.")
		api = planError(err)
	}
	return c.Status(api.status).JSON(ErrorBody{Error: api.detail})
}
