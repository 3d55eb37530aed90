package load

import (
	"time"

	"almondstile/request"
	"almondstile/vm"
)

// BodyState is the result of a caller's check of the response body.
type BodyState string

// Results of the check of a response body.
const (
	// BodyNone means that there was no complete response.
	BodyNone BodyState = ""
	// BodyRight means a success response with the correct body for the caller's
	// operation.
	BodyRight BodyState = "right"
	// BodyError means a complete response with a status of 300 or above, from the
	// fleet or from a server.
	BodyError BodyState = "error"
	// BodyWrong means a success response whose body is incomplete or belongs to
	// another operation.
	BodyWrong BodyState = "wrong"
)

// Failure says why a call got no complete response.
type Failure string

// Reasons why a call got no complete response.
const (
	NoFailure Failure = ""
	// NotSent means that no VM accepted a connection.
	NotSent Failure = "not-sent"
	// ConnectionClosed means that the connection was closed before the response
	// was complete.
	ConnectionClosed Failure = "cut"
	// NoResponse means that the caller's timeout expired.
	NoResponse Failure = "no-response"
)

// Call is a caller's record of one attempt at an operation.
type Call struct {
	Arrival
	Attempt int
	VM      vm.ID
	// Intended, Sent and Done are times on the clock of the bench: when the
	// attempt was due, when the caller started to send it, and when the call
	// ended. Sent is noticeably later than Intended only if the bench lags.
	Intended, Sent, Done time.Time
	Status               int
	Outcome              request.Outcome // empty if the response has no outcome header
	Reason               request.Reason
	RequestID            string
	Body                 BodyState
	Failure              Failure
	Error                string
}

// Latency returns the time from Intended to Done.
func (c Call) Latency() time.Duration { return c.Done.Sub(c.Intended) }

// Answered reports whether the caller got the correct response to its request.
func (c Call) Answered() bool { return c.Body == BodyRight }

// NotRun reports whether the response says that the request was not executed.
func (c Call) NotRun() bool { return c.Outcome == request.NotRun }

// RateLimited reports whether the call was rejected because of its team's rate
// limit (status 429).
func (c Call) RateLimited() bool { return c.Status == 429 }
