package request

import (
	"time"

	"almondstile/contract"
)

// Field is one header field.
type HeaderField struct {
	Name  string `json:"n"`
	Value string `json:"v"`
}

// Request is a caller's request after authentication. The caller's key and all
// headers that almondstile sets itself have been removed.
type Request struct {
	ID      string
	Route   contract.RouteID
	Service contract.ServiceID
	Team    contract.TeamID // empty on a route open to all
	Key     contract.KeyID  // empty on a route open to all
	Weight  int             // the team's weight, at least 1
	Method  string
	Target  string // path and query
	Header  []HeaderField
	Body    []byte
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// IdempotencyKey is the caller's Idempotency-Key header, if any.
	IdempotencyKey string
	// Deadline is on this VM's clock. Between VMs the time left is sent.
	Deadline time.Time
	// Server is the backend server of this attempt.
	Server contract.ServerID
	// NoQueue asks the server's owner to reject the attempt at once if no slot
	// is free, because another server may have one.
	NoQueue bool
}

// Outcome says whether a request took effect.
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

// Reason says why a request has its outcome, in a form that programs read.
type Reason string

// Reasons of rejections and failures.
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
	ReasonCanceled             Reason = "canceled"
	ReasonOverloaded           Reason = "overloaded"
	ReasonInternal             Reason = "internal"
)

// Result is what became of a request or of one attempt.
type Result struct {
	Outcome Outcome
	Reason  Reason
	// Status, Header and Body are the backend server's response if Answered.
	Status int
	Header []HeaderField
	Body   []byte
	// Shed is the server's own status if it said that it did not run the request.
	ShedStatus int
	// RetryAfter tells a rejected caller when to come again; 0 if not known.
	RetryAfter time.Duration
	// ServiceState is the owner's newest view of the service, opaque here.
	ServiceState []byte
}

// Rejected returns a result for a request that certainly did not run.
func Rejected(reason Reason) Result {
	return Result{Outcome: NotRun, Reason: reason}
}

// Lost returns a result for a request that may have run.
func UnknownResult(reason Reason) Result {
	return Result{Outcome: Unknown, Reason: reason}
}
