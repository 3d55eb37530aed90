package backend

import (
	"time"

	"almondstile/contract"
	"almondstile/request"
)

// Decision says whether a request may run at the server now.
type Decision struct {
	Admitted bool
	// Reason says why a request that is not admitted was rejected as not run.
	Reason request.Reason
}

type ticketState int

const (
	waiting ticketState = iota
	granted
	finished
)

// Ticket is one request's place at a server. Its state is guarded by the lock
// of the server's shard.
type Ticket struct {
	server   contract.ServerID
	team     contract.TeamID
	weight   int
	deadline time.Time
	noQueue  bool
	state    ticketState
	// decided has room for the single decision, so that deciding never blocks.
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

// Decided delivers exactly one decision, unless the ticket is abandoned first.
func (t *Ticket) Decided() <-chan Decision { return t.decided }

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
