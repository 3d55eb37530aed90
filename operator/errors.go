package operator

import (
	"strings"

	"almondstile/configstore"
	"almondstile/contract"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
)

// ErrorCode tells programs what went wrong.
type ErrorCode string

// The codes of error bodies.
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

// ErrorBody is the JSON body of every response that is not a success.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what went wrong.
type ErrorDetail struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// Faults lists each fault of an intent.
	Faults []string `json:"faults,omitempty"`
	// Effect is what a refused plan would have changed.
	Effect *contract.Effect `json:"effect,omitempty"`
	// Current is the version in force, with CodeBaseChanged.
	Current uint64 `json:"current,omitempty"`
}

// apiError is an error with its HTTP status.
type apiError struct {
	status int
	detail ErrorDetail
}

func (e *apiError) Error() string { return e.detail.Message }

func failure(status int, code ErrorCode, message string) *apiError {
	return &apiError{status, ErrorDetail{Code: code, Message: message}}
}

var errOutcomeUnknown = failure(fiber.StatusGatewayTimeout, CodeOutcomeUnknown,
	"the plan may have been accepted; confirm it again, which never applies it twice")

// planFailure translates the errors of the packages below.
func planFailure(err error) *apiError {
	var invalid *contract.ValidationError
	var document *contract.DocumentError
	var refused *contract.PlanRefusedError
	switch {
	case errors.As(err, &document):
		e := failure(fiber.StatusBadRequest, CodeInvalidIntent, "the intent cannot be read")
		for _, f := range document.Faults {
			e.detail.Faults = append(e.detail.Faults, f.String())
		}
		return e
	case errors.As(err, &invalid):
		e := failure(fiber.StatusUnprocessableEntity, CodeInvalidIntent, "the intent leads to an invalid configuration")
		for _, f := range invalid.Faults {
			e.detail.Faults = append(e.detail.Faults, f.String())
		}
		return e
	case errors.As(err, &refused):
		e := failure(fiber.StatusUnprocessableEntity, CodeRefused,
			"the plan is refused: "+strings.Join(refused.Effect.Refusals, "; "))
		e.detail.Effect = &refused.Effect
		return e
	case errors.Is(err, contract.ErrEmptyIntent):
		return failure(fiber.StatusBadRequest, CodeInvalidIntent, "the intent contains no change")
	case errors.Is(err, configstore.ErrIntentTooLarge):
		return failure(fiber.StatusRequestEntityTooLarge, CodeTooLarge, "the intent is too large for one plan; split it")
	case errors.Is(err, configstore.ErrUnknownPlan):
		return failure(fiber.StatusNotFound, CodeUnknownPlan, "there is no such plan, or it has expired")
	case errors.Is(err, configstore.ErrUnavailable):
		return failure(fiber.StatusServiceUnavailable, CodeUnavailable, "the store is unavailable; nothing was changed")
	}
	return failure(fiber.StatusInternalServerError, CodeInternal, "internal error; see the VM's log")
}

// outcomeFailure translates an outcome that is not accepted.
func outcomeFailure(o configstore.Outcome) *apiError {
	switch o.Kind {
	case configstore.BaseChanged:
		e := failure(fiber.StatusConflict, CodeBaseChanged,
			"another plan was accepted since this one was made; make the plan again")
		e.detail.Current = o.CurrentVersion
		return e
	case configstore.UnknownPlan:
		return planFailure(configstore.ErrUnknownPlan)
	}
	return errOutcomeUnknown
}

// handleError writes the body of an error that a handler returned.
func (s *Server) handleError(c fiber.Ctx, err error) error {
	var api *apiError
	var http *fiber.Error
	switch {
	case errors.As(err, &api):
	case errors.As(err, &http) && http.Code == fiber.StatusNotFound:
		api = failure(http.Code, CodeNotFound, "no such path")
	case errors.As(err, &http) && http.Code == fiber.StatusRequestEntityTooLarge:
		api = failure(http.Code, CodeTooLarge, http.Message)
	case errors.As(err, &http):
		api = failure(http.Code, CodeBadRequest, http.Message)
	default:
		s.log.WithError(err).Error("request failed")
		api = planFailure(err)
	}
	return c.Status(api.status).JSON(ErrorBody{Error: api.detail})
}
