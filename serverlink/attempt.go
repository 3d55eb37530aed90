package serverlink

import (
	"time"

	"almondstile/vm"
)

// Evidence is what one attempt showed about the way to the server.
type Evidence string

// The kinds of evidence.
const (
	// NoEvidence ends without telling anything, for instance because the caller
	// went away or the attempt had too little time.
	NoEvidence Evidence = "none"
	// Heard means that the server's side sent something: a response, a part of
	// one, or the end of the connection.
	Heard Evidence = "heard"
	// Refused means that the server's machine refused the connection. It tells
	// of the process; the packets passed in both directions.
	Refused Evidence = "refused"
	// ConnectFailed means that no connection was made and none was refused.
	ConnectFailed Evidence = "connect-failed"
	// Silent means that the request was written and no byte came back in time.
	Silent Evidence = "no-response"
	// RelayFailed means that the relay did not run the exchange or its reply
	// did not arrive. It tells nothing about the server.
	RelayFailed Evidence = "relay-failed"
)

// Failed reports whether nothing came back from the server.
func (e Evidence) Failed() bool { return e == ConnectFailed || e == Silent }

// Ask describes the next attempt of a request.
type Ask struct {
	// Idempotent requests may run more than once.
	Idempotent bool
	// DirectFailed says that an attempt of this request failed on the direct
	// way, so that a further one makes sense only over a relay.
	DirectFailed bool
	// Deadline is the request's.
	Deadline time.Time
	// Relays are the VMs that may relay, the best first, without those that
	// failed this request.
	Relays []vm.ID
}

// Attempt is a way that was chosen for one attempt.
type Attempt struct {
	// Relay runs the exchange; empty for a direct attempt.
	Relay vm.ID
	// Probe marks the one direct attempt that finds out whether a bad link
	// works again.
	Probe bool
	// Deadline is when the server's response must have arrived. It is earlier
	// than the request's if a relay has to report after it or, for the probe of
	// a request that may run again, if a relay is to follow.
	Deadline time.Time
	started  time.Time
}

// Direct reports whether the attempt goes to the server without a relay.
func (a Attempt) Direct() bool { return a.Relay == "" }

// Change names a step of a link's state, for counters and logs.
type Change string

// The changes of a link.
const (
	NoChange  Change = ""
	Suspected Change = "suspected"
	// Relaying begins when a relay got through where the direct way failed.
	Relaying Change = "relaying"
	// Restored means that the direct way works.
	Restored Change = "restored"
	// ServerBlamed means that the relay failed at the server as well.
	ServerBlamed Change = "server-blamed"
	// ProbeFailed means that the direct way was tried again and still fails.
	ProbeFailed Change = "probe-failed"
	// RelaySwitched means that the relay in use failed; another one is next.
	RelaySwitched Change = "relay-switched"
)

// Verdict says how an attempt counts.
type Verdict struct {
	// Withhold keeps the attempt's own failure out of the server's evidence.
	Withhold bool
	// Released are earlier withheld failures that now count against the server.
	Released []Evidence
	Change   Change
}
