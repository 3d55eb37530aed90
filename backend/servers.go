package backend

import (
	"context"
	"time"

	"almondstile/contract"
	"almondstile/request"
	"almondstile/shard"

	"github.com/cockroachdb/errors"
)

// Options sets the limits that operators do not set per server.
type Options struct {
	Ramp RampOptions
	// MaxQueue and MaxQueuePerTeam bound the waiters of one server.
	MaxQueue        int
	MaxQueuePerTeam int
}

// Queues are bounded by the deadlines as well; these lengths bound the memory
// and the time that the shard's lock is held for choosing the next waiter.
const (
	defaultMaxQueue        = 128
	defaultMaxQueuePerTeam = 64
)

// DefaultOptions returns the options that the daemon uses.
func DefaultOptions() Options {
	return Options{
		Ramp:            RampOptions{SuccessesPerStep: defaultRampSuccesses, MinStepInterval: defaultRampStepTime},
		MaxQueue:        defaultMaxQueue,
		MaxQueuePerTeam: defaultMaxQueuePerTeam,
	}
}

// Servers holds the records of the backend servers that this VM owns. It is
// safe for concurrent use.
type Servers struct {
	options Options
	servers shard.Map[contract.ServerID, *Server]
	states  shard.Map[contract.ServiceID, []byte]
	wake    chan struct{}
}

// NewServers returns an empty record.
func NewServers(options Options) *Servers {
	return &Servers{options: options, wake: make(chan struct{}, 1)}
}

// Changed applies the operators' terms to a server that this VM owns, which
// starts a record at first contact. If the server takes no new work, its
// waiters are rejected as not run and its running work finishes. A server that
// returns, moves to another address or is new here starts with the ramp.
func (s *Servers) Configure(now time.Time, service contract.ServiceID, terms contract.Server, takesNewWork bool) {
	create := func() *Server { return &Server{service: service, terms: terms} }
	s.servers.Do(terms.ID, create, func(v *Server) {
		v.service = service
		v.change(now, terms, takesNewWork, s.options)
	})
}

// Released gives up the ownership of a server: waiters are rejected as not run.
// The record is kept until running work has finished, so that a VM that becomes
// the owner again still counts it.
func (s *Servers) EndOwnership(id contract.ServerID) {
	s.servers.Update(id, func(v *Server, exists bool) (*Server, bool) {
		if !exists {
			return nil, false
		}
		v.owned = false
		v.rejectQueue(request.ReasonNotOwner)
		return v, v.inFlight > 0
	})
}

// Enter asks for a slot at the server that the request names. The returned
// ticket delivers the decision. An admitted request must end with Leave; a
// waiter that gives up must call Abandon. Wait does the latter.
func (s *Servers) RequestSlot(now time.Time, r *request.Request) *Ticket {
	t := newTicket(r)
	if !s.servers.DoExisting(t.server, func(v *Server) { v.enter(now, t, s.options) }) {
		t.reject(request.ReasonNotOwner)
	}
	return t
}

// Wait blocks until the ticket is decided or the context ends. It gives the
// place back in the latter case, even if a grant crossed with the end.
func (s *Servers) Wait(ctx context.Context, t *Ticket, clock func() time.Time) Decision {
	select {
	case d := <-t.decided:
		return d
	case <-ctx.Done():
	}
	s.Abandon(clock(), t)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Decision{Reason: request.ReasonDeadline}
	}
	return Decision{Reason: request.ReasonCanceled}
}

// Abandon removes a waiter. If it was granted a slot that it did not use, the
// slot is handed on.
func (s *Servers) Abandon(now time.Time, t *Ticket) {
	s.finish(now, t, func(*Server) {})
}

// Leave frees the slot of an admitted request, records what the exchange showed
// about the server, and grants the slot to the next waiter. A second call for
// the same ticket has no effect.
func (s *Servers) ReleaseSlot(now time.Time, t *Ticket, sample Sample) {
	s.finish(now, t, func(v *Server) { v.observe(now, sample, s.options) })
	if sample.bad() {
		s.wakeUp()
	}
}

func (s *Servers) finish(now time.Time, t *Ticket, observe func(*Server)) {
	s.servers.Update(t.server, func(v *Server, exists bool) (*Server, bool) {
		if !exists {
			return nil, false
		}
		switch t.state {
		case waiting:
			v.queue.remove(t)
		case granted:
			v.inFlight--
			observe(v)
		}
		t.state = finished
		v.refresh(now)
		v.dispatch(now, s.options)
		return v, v.owned || v.inFlight > 0
	})
}

// Note records evidence about a server whose exchange has left its slot already,
// for instance because it was not known whether the server or the link failed.
func (s *Servers) RecordSample(now time.Time, id contract.ServerID, sample Sample) {
	s.servers.DoExisting(id, func(v *Server) { v.observe(now, sample, s.options) })
	if sample.bad() {
		s.wakeUp()
	}
}

// RecordConnectionLoss tells that the server closed a connection on which no request
// was running. Its process may have restarted, so the server gets its cold slots
// until a response names the process.
func (s *Servers) RecordConnectionLoss(id contract.ServerID) {
	s.servers.DoExisting(id, func(v *Server) { v.unconfirmed = true })
}

// Expire ends grants that have run out and rejects waiters whose deadline has
// passed. Both also happen at the next event of a server; the report's ticker
// calls this for servers without events.
func (s *Servers) Expire(now time.Time) {
	s.servers.Range(func(_ contract.ServerID, v *Server) bool {
		v.refresh(now)
		v.expire(now)
		v.dispatch(now, s.options)
		return true
	})
}

// Apply takes over a verdict of the service home, granted for a limited time.
// After that the server counts as normal again.
func (s *Servers) ApplyHealthState(now time.Time, id contract.ServerID, standing HealthState, validFor time.Duration) {
	s.servers.DoExisting(id, func(v *Server) { v.apply(now, standing, validFor, s.options) })
}

// Status returns the state of one server without its window.
func (s *Servers) Status(now time.Time, id contract.ServerID) (st Status, ok bool) {
	ok = s.servers.DoExisting(id, func(v *Server) { st = v.status(now, s.options) })
	return st, ok
}

// Collect returns the state of all owned servers and starts their next window.
func (s *Servers) CollectAndReset(now time.Time) []Status {
	var all []Status
	s.servers.Range(func(_ contract.ServerID, v *Server) bool {
		if v.owned {
			st := v.status(now, s.options)
			st.Counts, st.Latencies = v.window.take()
			all = append(all, st)
		}
		return true
	})
	return all
}

// RestoreWindows adds windows that certainly did not reach the service home to the
// current ones.
func (s *Servers) RestoreWindows(undelivered []Status) {
	for _, st := range undelivered {
		s.servers.DoExisting(st.Server, func(v *Server) { v.window.giveBack(st.Counts, st.Latencies) })
	}
}

// Wake delivers a token soon after a sample shows a fault, so that the report
// need not wait for its interval.
func (s *Servers) FaultObserved() <-chan struct{} { return s.wake }

func (s *Servers) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default: // A token is already waiting.
	}
}
