package backend

import (
	"time"

	"almondstile/contract"
	"almondstile/request"
)

// Decision is the result of a slot request.
type Decision struct {
	// Admitted means that the request holds a slot and may run at the server now.
	Admitted bool
	// Reason is why the request was rejected as not executed, if it was.
	Reason request.Reason
}

// ticketState is the state of a slot request.
type ticketState int

const (
	waiting ticketState = iota
	granted
	finished // rejected, abandoned or released
)

// Ticket represents one request for a slot at a server, from RequestSlot until the
// slot is released or the request is rejected or abandoned. Its state is guarded by
// the lock of the server's shard.
type Ticket struct {
	server   contract.ServerID
	team     contract.TeamID
	weight   int
	deadline time.Time
	noQueue  bool
	state    ticketState
	// decided has a buffer for the single decision, so that sending never blocks.
	decided chan Decision
}

func newTicket(r *request.Request) *Ticket {
	return &Ticket{
		server:   r.Server,
		team:     r.Team,
		weight:   max(1, r.Weight),
		deadline: r.Deadline,
		noQueue:  r.NoQueue,
		decided:  make(chan Decision, 1),
	}
}

// Decided returns a channel that delivers exactly one decision, unless the ticket
// is abandoned first.
func (t *Ticket) Decided() <-chan Decision { return t.decided }

// expired reports whether the deadline has passed. A zero deadline never passes.
func (t *Ticket) expired(now time.Time) bool {
	return !t.deadline.IsZero() && !now.Before(t.deadline)
}

func (t *Ticket) grant() {
	t.state = granted
	t.decided <- Decision{Admitted: true}
}

func (t *Ticket) reject(reason request.Reason) {
	t.state = finished
	t.decided <- Decision{Reason: reason}
}
