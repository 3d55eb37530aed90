package backendsim

import (
	"time"

	"almondstile/contract"
)

// Headers that a server reads or writes, and the body mark of a poison request.
const (
	HeaderRequestID   = "Almondstile-Request-Id"
	HeaderTeam        = "Almondstile-Team"
	HeaderDeadline    = "Almondstile-Deadline-Ms" // milliseconds from receipt
	HeaderNotExecuted = "Almondstile-Not-Run"
	HeaderInstance    = "Almondstile-Server-Instance"
	HeaderOperationID = "X-Operation-Id"
	// HeaderAttempt is the number of the caller's attempt at an operation.
	HeaderAttempt = "X-Operation-Attempt"
	// HeaderPoison marks a poison request, which crashes the server that
	// executes it.
	HeaderPoison = "X-Poison"
	// BodyPoison is the text that marks a poison request in its body.
	BodyPoison = "poison-request"
)

// DefaultAnswerBytes is the default of Config.AnswerBytes, in bytes.
const DefaultAnswerBytes = 256

// Config is the configuration of one server. withDefaults replaces zero values
// by defaults.
type Config struct {
	ID      contract.ServerID `json:"id"`
	Address string            `json:"address"` // IP:port; "127.0.0.1:0" if empty
	Seed    uint64            `json:"seed"`    // of the service times and faults
	// Slots is the number of requests that a warm server executes at a time. It
	// rejects further requests as not executed.
	Slots int `json:"slots"`
	// ColdSlots is the number of requests that a server can execute at a time
	// just after a cold start. One request more crashes a cold server.
	ColdSlots int `json:"cold_slots"`
	// The limit of a cold server grows by one request for each WarmSuccesses
	// served requests, but by at most one for each WarmStepMillis since its start.
	WarmSuccesses  int `json:"warm_successes"`
	WarmStepMillis int `json:"warm_step_ms"`
	// StartWarm makes the first incarnation start warm, with all slots.
	StartWarm bool `json:"start_warm"`
	// RestartMillis is the time in milliseconds for which the server refuses
	// connections after it crashed because of a request.
	RestartMillis int `json:"restart_ms"`
	// Connections is the maximum number of open connections.
	Connections int `json:"connections"`
	// The service time has a log-normal distribution. MedianMicros is its median
	// in microseconds, Sigma the standard deviation of its natural logarithm.
	MedianMicros int     `json:"median_us"`
	Sigma        float64 `json:"sigma"`
	// AnswerBytes is the minimum length of a response body in bytes.
	AnswerBytes int `json:"answer_bytes"`
	// LagMillis is the age in milliseconds up to which /health and /load repeat
	// the last report.
	LagMillis int `json:"lag_ms"`
	// Secrets are searched for in the headers, target and body of each executed
	// request. Execution.Secrets records where they were found.
	Secrets []string `json:"secrets"`
}

// withDefaults returns c with defaults in place of zero values. Zero values of
// Seed, StartWarm, Sigma, LagMillis and Secrets stay.
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

// setDefault sets the field to value if it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Mode is the set of faults that a server injects. The zero value is a healthy
// server. The fields named Share are probabilities (0 to 1) per executed
// request. At most one of these faults applies to a request, so the sum of the
// shares must not exceed 1.
type Mode struct {
	// SlowFactor is the factor of the service time if it is above 0.
	SlowFactor float64 `json:"slow_factor"`
	// ErrorShare is the share of requests that get a response with status 500.
	ErrorShare float64 `json:"error_share"`
	// TruncatedShare is the share of responses that end early. Content-Length is
	// longer than the body or, with TruncatedChunked, the terminating chunk of
	// the body is missing.
	TruncatedShare   float64 `json:"truncated_share"`
	TruncatedChunked bool    `json:"truncated_chunked"`
	// LateShare is the share of responses that are sent LateMillis milliseconds
	// after the service time.
	LateShare  float64 `json:"late_share"`
	LateMillis int     `json:"late_ms"`
	// ResponseMismatchShare is the share of requests with a response mismatch: they get
	// the last complete response of the server, which belongs to another request.
	ResponseMismatchShare float64 `json:"crossed_share"`
	// ResetShare is the share of requests after whose execution the server resets
	// the connection instead of sending a response.
	ResetShare float64 `json:"reset_share"`
	// HangShare is the share of requests that never get a response and keep their
	// slot until the connection closes.
	HangShare float64 `json:"hang_share"`
	// FlapMillis, if above 0, is the length in milliseconds of alternating
	// periods with and without SlowFactor and the faults above. The first period
	// starts when the mode is set and has the faults.
	FlapMillis int `json:"flap_ms"`
	// Draining makes the server finish the requests in flight and reject new ones
	// as not executed. /health then reports a failure.
	Draining bool `json:"draining"`
	// HealthFails makes /health report a failure; requests still succeed.
	HealthFails bool `json:"health_fails"`
	// LoadFactor is the factor of the load that /load reports if it is above 0.
	LoadFactor float64 `json:"load_factor"`
}

// ExecutionResult is the result of an execution.
type ExecutionResult string

// Results of executions. With each of them the request counts as executed.
const (
	Running             ExecutionResult = "running"
	Served              ExecutionResult = "served"
	Failed              ExecutionResult = "failed"
	Truncated           ExecutionResult = "truncated"
	ResponseMismatch    ExecutionResult = "crossed"
	ResetAfterExecution ExecutionResult = "reset-after-execution"
	Canceled            ExecutionResult = "canceled"
	DeadlinePassed      ExecutionResult = "deadline-passed"
	ServerStopped       ExecutionResult = "server-ended"
)

// Execution is the record of one request that started to execute.
type Execution struct {
	Server      contract.ServerID `json:"server"`
	Instance    string            `json:"instance"`
	RequestID   string            `json:"request_id"`
	OperationID string            `json:"operation_id"`
	// Attempt is the value of HeaderAttempt in the request.
	Attempt string    `json:"attempt,omitempty"`
	Team    string    `json:"team"`
	Method  string    `json:"method"`
	Target  string    `json:"target"`
	Start   time.Time `json:"start"`
	End     time.Time `json:"end"`
	// InFlight is the number of requests in flight at the start, including this
	// one.
	InFlight int  `json:"in_flight"`
	Cold     bool `json:"cold"`
	// ConcurrencyLimit is the server's concurrency limit at the start.
	ConcurrencyLimit int `json:"bearable"`
	// Draining reports whether the server was draining at the start.
	Draining bool `json:"draining"`
	// Secrets lists the names of the headers that contained a secret, and
	// "target" or "body" if these did.
	Secrets []string        `json:"secrets,omitempty"`
	Result  ExecutionResult `json:"result"`
}

// Counters are the counters of one server since its first start. Restarts do not
// reset them, except InFlight.
type Counters struct {
	Executions         int64 `json:"executions"`
	Shed               int64 `json:"shed"` // rejected because all slots were in use
	RefusedDraining    int64 `json:"refused_draining"`
	Canceled           int64 `json:"canceled"`
	Overloads          int64 `json:"overloads"` // crashes of the cold server by a request above its limit
	Crashes            int64 `json:"crashes"`   // crashes by a poison request or by Host.Crash
	RefusedConnections int64 `json:"refused_connections"`
	Connections        int   `json:"connections"` // open connections now
	InFlight           int   `json:"in_flight"`   // requests in flight now
	MaxConnections     int   `json:"max_connections"`
	MaxInFlight        int   `json:"max_in_flight"`
}
