package load

import (
	"time"

	"almondstile/request"
	"almondstile/vm"
)

// BodyState says what a caller found when it checked the body of an answer.
type BodyState string

// States of a body.
const (
	// BodyNone means that there was no complete response.
	BodyNone BodyState = ""
	// BodyRight is the answer to the caller's own operation.
	BodyRight BodyState = "right"
	// BodyError is a complete error response, of the fleet or of a server.
	BodyError BodyState = "error"
	// BodyWrong is a success with another or an incomplete body.
	BodyWrong BodyState = "wrong"
)

// Failure says where a call without a complete response ended.
type Failure string

// Failures of calls.
const (
	NoFailure Failure = ""
	// NotSent means that no VM accepted the connection.
	NotSent Failure = "not-sent"
	// Cut means that the connection ended before the response.
	ConnectionClosed Failure = "cut"
	// NoResponse means that the caller gave up waiting.
	NoResponse Failure = "no-response"
)

// Call is a caller's record of one attempt at an operation.
type Call struct {
	Arrival
	Attempt int
	VM      vm.ID
	// Intended, Sent and Done are on the bench's clock. Sent is when the caller
	// started to send, which is later than Intended only if the bench is late.
	Intended, Sent, Done time.Time
	Status               int
	Outcome              request.Outcome // empty if the response did not say
	Reason               request.Reason
	RequestID            string
	Body                 BodyState
	Failure              Failure
	Error                string
}

// Latency counts from the intended time.
func (c Call) Latency() time.Duration { return c.Done.Sub(c.Intended) }

// Answered reports whether the caller got the right answer to its request.
func (c Call) Answered() bool { return c.Body == BodyRight }

// NotRun reports whether the fleet said that the request did not run.
func (c Call) NotRun() bool { return c.Outcome == request.NotRun }

// RateLimited reports whether the call was rejected for its team's rate.
func (c Call) RateLimited() bool { return c.Status == 429 }
