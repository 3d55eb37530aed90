package backend

import (
	"context"
	"time"

	"almondstile/contract"
	"almondstile/request"
	"almondstile/shard"

	"github.com/cockroachdb/errors"
)

// Options holds the limits that operators cannot set per server.
type Options struct {
	Ramp RampOptions
	// MaxQueue and MaxQueuePerTeam limit the number of requests that wait for a
	// slot of one server, in total and for one team.
	MaxQueue        int
	MaxQueuePerTeam int
}

// Deadlines bound the time that requests wait. The queue lengths bound the memory,
// and the time for which the shard's lock is held to choose the next waiter.
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

// Servers holds the records of the backend servers that this VM owns, and the last
// known states of services' servers. It is safe for concurrent use.
type Servers struct {
	options       Options
	servers       shard.Map[contract.ServerID, *Server]
	states        shard.Map[contract.ServiceID, []byte]
	faultObserved chan struct{}
}

// NewServers returns a Servers without records.
func NewServers(options Options) *Servers {
	return &Servers{options: options, faultObserved: make(chan struct{}, 1)}
}

// Configure applies the configuration of a server that this VM owns, and creates
// the server's record if there is none. If the server accepts no new requests, its
// waiters are rejected as not executed, and its running requests finish. A server
// that is new here, returns to service or moves to another address starts with its
// cold slots.
func (s *Servers) Configure(now time.Time, service contract.ServiceID, config contract.Server, acceptsNewRequests bool) {
	create := func() *Server { return &Server{service: service, config: config} }
	s.servers.Do(config.ID, create, func(v *Server) {
		v.service = service
		v.configure(now, config, acceptsNewRequests, s.options)
	})
}

// EndOwnership ends this VM's ownership of a server. The server's waiters are
// rejected as not executed. The record is kept until the running requests have
// finished, so that they still count if this VM becomes the owner again.
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

// RequestSlot requests a slot at the server r.Server. The decision arrives on the
// returned ticket; Wait waits for it. The caller must call ReleaseSlot after an
// admitted request, or Abandon if it stops waiting. Wait calls Abandon itself.
func (s *Servers) RequestSlot(now time.Time, r *request.Request) *Ticket {
	t := newTicket(r)
	if !s.servers.DoExisting(t.server, func(v *Server) { v.requestSlot(now, t, s.options) }) {
		t.reject(request.ReasonNotOwner)
	}
	return t
}

// Wait blocks until the ticket is decided or the context ends. In the latter case
// it abandons the ticket and returns a rejection, even if the slot was granted at
// the same time.
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

// Abandon removes a waiter. If a slot was already granted to it, the slot goes to
// the next waiter and no sample is recorded.
func (s *Servers) Abandon(now time.Time, t *Ticket) {
	s.finishTicket(now, t, func(*Server) {})
}

// ReleaseSlot frees the slot of an admitted request, records the sample of its
// exchange and grants the slot to the next waiter. A second call for the same
// ticket does not release or record anything.
func (s *Servers) ReleaseSlot(now time.Time, t *Ticket, sample Sample) {
	s.finishTicket(now, t, func(v *Server) { v.recordSample(now, sample, s.options) })
	if sample.isFault() {
		s.signalFault()
	}
}

// finishTicket ends a ticket once. It removes a waiter from the queue, or frees a
// granted slot and calls onRelease. The record is deleted if this VM no longer owns
// the server and no request runs at it.
func (s *Servers) finishTicket(now time.Time, t *Ticket, onRelease func(*Server)) {
	s.servers.Update(t.server, func(v *Server, exists bool) (*Server, bool) {
		if !exists {
			return nil, false
		}
		switch t.state {
		case waiting:
			v.queue.remove(t)
		case granted:
			v.inFlight--
			onRelease(v)
		}
		t.state = finished
		v.expireHealthState(now)
		v.dispatch(now, s.options)
		return v, v.owned || v.inFlight > 0
	})
}

// RecordSample records a sample of an exchange whose slot was already released, for
// instance because it was not known then whether the server or the link failed.
func (s *Servers) RecordSample(now time.Time, id contract.ServerID, sample Sample) {
	s.servers.DoExisting(id, func(v *Server) { v.recordSample(now, sample, s.options) })
	if sample.isFault() {
		s.signalFault()
	}
}

// RecordConnectionLoss limits the server to its cold slots until a response
// identifies its process, which may have restarted. It is called after a failed
// connection or a missing response that may be a fault of the server or of the
// link, and for which no sample is recorded yet.
func (s *Servers) RecordConnectionLoss(id contract.ServerID) {
	s.servers.DoExisting(id, func(v *Server) { v.instanceUnconfirmed = true })
}

// Expire resets expired health states and rejects waiters whose deadline has
// passed. Other calls for a server do the same for that server; the reporter calls
// Expire before each report for servers without such calls.
func (s *Servers) Expire(now time.Time) {
	s.servers.Range(func(_ contract.ServerID, v *Server) bool {
		v.expireHealthState(now)
		v.rejectExpired(now)
		v.dispatch(now, s.options)
		return true
	})
}

// ApplyHealthState sets the health state of a server as classified by the service
// home. It is granted for the time validFor; after that the server counts as
// Normal again. Unknown servers are ignored.
func (s *Servers) ApplyHealthState(now time.Time, id contract.ServerID, state HealthState, validFor time.Duration) {
	s.servers.DoExisting(id, func(v *Server) { v.applyHealthState(now, state, validFor, s.options) })
}

// Status returns the state of one server, without Counts and Latencies. ok is false
// if the server is unknown.
func (s *Servers) Status(now time.Time, id contract.ServerID) (st Status, ok bool) {
	ok = s.servers.DoExisting(id, func(v *Server) { st = v.status(now, s.options) })
	return st, ok
}

// CollectAndReset returns the state of all owned servers with their windows, and
// starts new windows.
func (s *Servers) CollectAndReset(now time.Time) []Status {
	var all []Status
	s.servers.Range(func(_ contract.ServerID, v *Server) bool {
		if v.owned {
			st := v.status(now, s.options)
			st.Counts, st.Latencies = v.window.takeAndReset()
			all = append(all, st)
		}
		return true
	})
	return all
}

// RestoreWindows adds windows that certainly did not reach the service home back to
// the current ones, so that the next report contains them.
func (s *Servers) RestoreWindows(undelivered []Status) {
	for _, st := range undelivered {
		s.servers.DoExisting(st.Server, func(v *Server) { v.window.restore(st.Counts, st.Latencies) })
	}
}

// FaultObserved returns a channel that delivers a value after a sample showed a
// fault, so that the next report need not wait for its interval. Faults in quick
// succession share one value.
func (s *Servers) FaultObserved() <-chan struct{} { return s.faultObserved }

// signalFault sends a value on the channel of FaultObserved. It does not block.
func (s *Servers) signalFault() {
	select {
	case s.faultObserved <- struct{}{}:
	default: // A value is already waiting.
	}
}
