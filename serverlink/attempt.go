package serverlink

import (
	"time"

	"almondstile/vm"
)

// Evidence is what one attempt shows about the path to the server.
type Evidence string

// The kinds of evidence.
const (
	// NoEvidence means that the attempt shows nothing, for instance because the
	// caller canceled the request or the attempt had too little time.
	NoEvidence Evidence = "none"
	// ServerResponded means that something was received from the server's side: a response,
	// a part of one, or the close of the connection.
	ServerResponded Evidence = "heard"
	// Refused means that the server's machine refused the connection. The server's
	// process is at fault; the link works, because packets passed in both
	// directions.
	Refused Evidence = "refused"
	// ConnectFailed means that no connection was made, but not because it was
	// refused.
	ConnectFailed Evidence = "connect-failed"
	// Silent means that the request was written, at least in part, and that nothing
	// was received before the deadline or a network error.
	Silent Evidence = "no-response"
	// RelayFailed means that the relay did not run the exchange or that its reply
	// did not arrive. It shows nothing about the server.
	RelayFailed Evidence = "relay-failed"
)

// Failed reports whether the attempt shows that nothing was received from the
// server, so that the link or the server is at fault.
func (e Evidence) Failed() bool { return e == ConnectFailed || e == Silent }

// PlanInput is the input for planning the next attempt of a request.
type PlanInput struct {
	// Idempotent says that the request may be executed more than once.
	Idempotent bool
	// DirectFailed says that a direct attempt of this request failed. A further
	// attempt then goes over a relay only.
	DirectFailed bool
	// Deadline is the request's deadline.
	Deadline time.Time
	// Relays are the VMs that can relay, in order of preference. VMs that failed
	// to relay this request are left out.
	Relays []vm.ID
}

// Attempt is the path and the deadline chosen for one attempt.
type Attempt struct {
	// Relay is the VM that runs the exchange. It is empty for a direct attempt.
	Relay vm.ID
	// Probe marks a direct attempt that checks whether a bad link works again.
	// At most one probe of a link is in flight.
	Probe bool
	// Deadline is the time by which the server's response must have arrived. It
	// is earlier than the request's deadline in two cases: a relay needs time
	// to send its reply, and the probe of an idempotent request leaves time for
	// a further attempt over a relay.
	Deadline time.Time
	started  time.Time // when the attempt was planned
}

// Direct reports whether the attempt goes to the server without a relay.
func (a Attempt) Direct() bool { return a.Relay == "" }

// Change names a state transition or another event of a link, for counters and
// logs.
type Change string

// The changes of a link.
const (
	NoChange Change = ""
	// Suspected means that a direct attempt failed and its cause is not known yet.
	Suspected Change = "suspected"
	// Relaying means that an exchange over a relay succeeded after direct attempts
	// failed. Further exchanges use the relay.
	Relaying Change = "relaying"
	// Restored means that a direct attempt succeeded and the link is direct again.
	Restored Change = "restored"
	// ServerBlamed means that the exchange over the relay failed as well, so the
	// failures count against the server.
	ServerBlamed Change = "server-blamed"
	// ProbeFailed means that a probe of the direct path failed.
	ProbeFailed Change = "probe-failed"
	// RelaySwitched means that the relay in use failed and the next attempt uses
	// another one.
	RelaySwitched Change = "relay-switched"
)

// AttemptResult says how the result of an attempt counts for the server's health.
type AttemptResult struct {
	// Deferred says that this attempt's failure does not count against the server,
	// or not yet.
	Deferred bool
	// CountNow are earlier deferred failures that now count against the server.
	CountNow []Evidence
	// Change is the change of the link that the attempt caused, if any.
	Change Change
}
