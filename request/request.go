package request

import (
	"time"

	"almondstile/contract"
	"almondstile/memory"
)

// HeaderField is one HTTP header field.
type HeaderField struct {
	Name  string `json:"n"`
	Value string `json:"v"`
}

// Request is a caller's request after authentication. Header contains neither the
// caller's key nor fields that almondstile sets itself.
type Request struct {
	ID      string
	Route   contract.RouteID
	Service contract.ServiceID
	Team    contract.TeamID // empty on a route that is open to all
	Key     contract.KeyID  // empty on a route that is open to all
	Weight  int             // the team's weight, at least 1
	Rank    contract.Rank   // urgency, 0 for the most urgent
	Method  string
	Target  string // path and query
	Header  []HeaderField
	Body    *memory.Body
	// Idempotent means that the request may be executed more than once.
	Idempotent bool
	// IdempotencyKey is the value of the caller's Idempotency-Key field, "" if
	// there is none or the request is idempotent.
	IdempotencyKey string
	// Deadline is a time of this VM's clock. VMs send each other the remaining
	// time instead, because their clocks differ.
	Deadline time.Time
	// Server is the backend server of the current attempt.
	Server contract.ServerID
	// NoQueue makes the server's owner reject the attempt at once if no slot is
	// free. The entry VM sets it while another server may have a free slot.
	NoQueue bool
}

// Outcome states whether a request took effect.
type Outcome string

// The outcomes of a request.
const (
	// Answered means that the backend server's whole response was received.
	Answered Outcome = "answered"
	// NotRun means that the request certainly did not take effect.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have taken effect.
	Unknown Outcome = "unknown"
)

// Reason is the machine-readable cause of an outcome.
type Reason string

// The reasons for rejections and failures.
const (
	ReasonNone                 Reason = ""
	ReasonNoKey                Reason = "no-key"
	ReasonBadKey               Reason = "bad-key"
	ReasonWrongTeam            Reason = "wrong-team"
	ReasonNoRoute              Reason = "no-route"
	ReasonMalformed            Reason = "malformed"
	ReasonTooLarge             Reason = "too-large"
	ReasonRateLimited          Reason = "rate-limited"
	ReasonNoServer             Reason = "no-server"
	ReasonNoSlot               Reason = "no-free-slot"
	ReasonBusy                 Reason = "busy"
	ReasonDeadline             Reason = "deadline"
	ReasonEjected              Reason = "ejected"
	ReasonNotOwner             Reason = "not-owner"
	ReasonLeaving              Reason = "leaving"
	ReasonQuarantined          Reason = "quarantined"
	ReasonShed                 Reason = "shed-by-server"
	ReasonMisdirected          Reason = "misdirected"
	ReasonConnectFailed        Reason = "connect-failed"
	ReasonLostResponse         Reason = "response-lost"
	ReasonTruncated            Reason = "response-truncated"
	ReasonResponseMismatch     Reason = "response-crossed"
	ReasonResponseTooLarge     Reason = "response-too-large"
	ReasonServerCrashed        Reason = "server-crashed"
	ReasonStoreUnavailable     Reason = "store-away"
	ReasonDuplicate            Reason = "duplicate"
	ReasonIdempotencyKeyReused Reason = "idempotency-key-reused"
	ReasonInProgress           Reason = "in-progress"
	ReasonNotReady             Reason = "not-ready"
	ReasonStopping             Reason = "stopping"
	ReasonCanceled             Reason = "canceled"
	ReasonOverloaded           Reason = "overloaded"
	ReasonInternal             Reason = "internal"
)

// Result is the result of a request or of one attempt.
type Result struct {
	Outcome Outcome
	Reason  Reason
	// Status, Header and Body are the backend server's response. They are set only
	// if the outcome is Answered.
	Status int
	Header []HeaderField
	Body   []byte
	// ShedStatus is the HTTP status of a response in which the server stated that
	// it did not execute the request, 0 if unknown.
	ShedStatus int
	// RetryAfter is when a rejected caller may retry, 0 if unknown.
	RetryAfter time.Duration
	// ServiceState is the newest state of the service's servers that the owner
	// knows. Package backend encodes and decodes it.
	ServiceState []byte
}

// Rejected returns the result of a request that was certainly not executed.
func Rejected(reason Reason) Result {
	return Result{Outcome: NotRun, Reason: reason}
}

// UnknownResult returns the result of a request that may have been executed.
func UnknownResult(reason Reason) Result {
	return Result{Outcome: Unknown, Reason: reason}
}
