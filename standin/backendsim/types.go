package backendsim

import (
	"time"

	"almondstile/contract"
)

// Headers that a server reads or writes.
const (
	HeaderRequestID   = "Almondstile-Request-Id"
	HeaderTeam        = "Almondstile-Team"
	HeaderDeadline    = "Almondstile-Deadline-Ms"
	HeaderNotRun      = "Almondstile-Not-Run"
	HeaderInstance    = "Almondstile-Server-Instance"
	HeaderOperationID = "X-Operation-Id"
	// HeaderAttempt numbers a caller's own attempts at one operation.
	HeaderAttempt = "X-Operation-Attempt"
	// HeaderPoison marks a request that crashes the server that runs it.
	HeaderPoison = "X-Poison"
	// BodyPoison marks such a request in its body.
	BodyPoison = "poison-request"
)

// DefaultAnswerBytes is the least length of an answer's body.
const DefaultAnswerBytes = 256

// Config describes one server. Zero values get the defaults of withDefaults.
type Config struct {
	ID      contract.ServerID `json:"id"`
	Address string            `json:"address"` // "127.0.0.1:0" if empty
	Seed    uint64            `json:"seed"`
	// Slots is the number of requests that run at a time; others are shed.
	Slots int `json:"slots"`
	// ColdSlots is what a freshly started server bears before it falls over.
	ColdSlots int `json:"cold_slots"`
	// A cold server bears one more request after each WarmSuccesses successful
	// ones, but at most one more for each WarmStepMillis since its start.
	WarmSuccesses  int `json:"warm_successes"`
	WarmStepMillis int `json:"warm_step_ms"`
	// StartWarm skips the cold start of the first instance.
	StartWarm bool `json:"start_warm"`
	// RestartMillis is how long connections are refused after a crash.
	RestartMillis int `json:"restart_ms"`
	Connections   int `json:"connections"`
	// The service time is log-normal with this median and this sigma of its
	// logarithm.
	MedianMicros int     `json:"median_us"`
	Sigma        float64 `json:"sigma"`
	AnswerBytes  int     `json:"answer_bytes"`
	// LagMillis is the age up to which /health and /load repeat an old answer.
	LagMillis int `json:"lag_ms"`
	// Secrets are looked for in the headers, target and body of each request.
	Secrets []string `json:"secrets"`
}

func (c Config) withDefaults() Config {
	setDefault(&c.Address, "127.0.0.1:0")
	setDefault(&c.ID, "server")
	setDefault(&c.Slots, 3)
	setDefault(&c.ColdSlots, 1)
	setDefault(&c.WarmSuccesses, 5)
	setDefault(&c.WarmStepMillis, 200)
	setDefault(&c.RestartMillis, 500)
	setDefault(&c.Connections, 330)
	setDefault(&c.MedianMicros, 10_000)
	setDefault(&c.AnswerBytes, DefaultAnswerBytes)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Mode is how a server misbehaves. The zero value is a healthy server. The
// shares are disjoint parts of all requests and must not sum to more than 1.
type Mode struct {
	// SlowFactor multiplies the service time if above 0.
	SlowFactor float64 `json:"slow_factor"`
	// ErrorShare of the requests is answered with 500.
	ErrorShare float64 `json:"error_share"`
	// TruncatedShare of the responses ends early: the declared length is longer
	// than the body, or with TruncatedChunked the last chunk is missing.
	TruncatedShare   float64 `json:"truncated_share"`
	TruncatedChunked bool    `json:"truncated_chunked"`
	// LateShare of the responses is sent LateMillis after the work is done.
	LateShare  float64 `json:"late_share"`
	LateMillis int     `json:"late_ms"`
	// CrossedShare of the requests gets the response of the request before.
	CrossedShare float64 `json:"crossed_share"`
	// ResetShare of the requests runs, and then the connection is reset.
	ResetShare float64 `json:"reset_share"`
	// HangShare of the requests never gets a response.
	HangShare float64 `json:"hang_share"`
	// FlapMillis, if above 0, makes the server healthy in every second period
	// of this length, starting with a faulty one.
	FlapMillis int `json:"flap_ms"`
	// Draining servers finish running requests and refuse new ones as not run.
	Draining bool `json:"draining"`
	// HealthFails makes /health report a failure although requests succeed.
	HealthFails bool `json:"health_fails"`
	// LoadFactor multiplies what /load reports if above 0.
	LoadFactor float64 `json:"load_factor"`
}

// ExecutionResult is how an execution ended.
type ExecutionResult string

// Results of executions. All of them count as "has run".
const (
	Running     ExecutionResult = "running"
	Served      ExecutionResult = "served"
	Failed      ExecutionResult = "failed"
	Truncated   ExecutionResult = "truncated"
	Crossed     ExecutionResult = "crossed"
	ResetAfter  ExecutionResult = "reset-after-execution"
	Canceled    ExecutionResult = "canceled"
	PastLimit   ExecutionResult = "deadline-passed"
	ServerEnded ExecutionResult = "server-ended"
)

// Execution is the record of one request that started to run.
type Execution struct {
	Server      contract.ServerID `json:"server"`
	Instance    string            `json:"instance"`
	RequestID   string            `json:"request_id"`
	OperationID string            `json:"operation_id"`
	// Attempt is what the caller sent in HeaderAttempt.
	Attempt string    `json:"attempt,omitempty"`
	Team    string    `json:"team"`
	Method  string    `json:"method"`
	Target  string    `json:"target"`
	Start   time.Time `json:"start"`
	End     time.Time `json:"end"`
	// InFlight counts the running requests at the start, with this one.
	InFlight int  `json:"in_flight"`
	Cold     bool `json:"cold"`
	// Bearable is how many requests the server could run at the start.
	Bearable int `json:"bearable"`
	// Draining says that the server had been told to drain before the start.
	Draining bool `json:"draining"`
	// Secrets names the headers (or "target", "body") that held a secret.
	Secrets []string        `json:"secrets,omitempty"`
	Result  ExecutionResult `json:"result"`
}

// Counters count what happened at one server since its first start.
type Counters struct {
	Executions         int64 `json:"executions"`
	Shed               int64 `json:"shed"`
	RefusedDraining    int64 `json:"refused_draining"`
	Canceled           int64 `json:"canceled"`
	Overloads          int64 `json:"overloads"` // times it fell over while cold
	Crashes            int64 `json:"crashes"`   // times a marked request or the admin API crashed it
	RefusedConnections int64 `json:"refused_connections"`
	Connections        int   `json:"connections"` // open now
	InFlight           int   `json:"in_flight"`   // now
	MaxConnections     int   `json:"max_connections"`
	MaxInFlight        int   `json:"max_in_flight"`
}
