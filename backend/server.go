package backend

import (
	"time"

	"almondstile/contract"
	"almondstile/request"
)

// HealthState is the health of a server as classified by the outlier detection at
// the service home.
type HealthState string

// The health states of a server.
const (
	// Normal servers get requests without restriction.
	Normal HealthState = ""
	// LowWeight servers are outliers that the service home does not eject, because
	// the service's healthy slots would fall below the floor. They get as little
	// traffic as the other servers' capacity permits.
	LowWeight HealthState = "low-weight"
	// Ejected servers get no requests.
	Ejected HealthState = "ejected"
	// Probing servers return from an ejection. They run one request at a time until
	// the service home classifies them as normal.
	Probing HealthState = "probing"
)

// DrainState is the progress of taking a server out of service.
type DrainState string

// The drain states of a server.
const (
	// Serving servers accept new requests.
	Serving DrainState = "serving"
	// Draining servers accept no new requests and still run earlier ones.
	Draining DrainState = "draining"
	// Drained servers accept no new requests and run none.
	Drained DrainState = "drained"
)

// Server is the owner's record of one backend server. It is guarded by the lock
// of its shard.
type Server struct {
	service            contract.ServiceID
	config             contract.Server
	acceptsNewRequests bool
	owned              bool

	inFlight int
	ramp     Ramp
	queue    fairQueue

	healthState      HealthState
	healthStateUntil time.Time
	instance         string
	// instanceUnconfirmed is set when a response or connection was lost, and cleared
	// by the next response that identifies the server's process. The process may
	// have restarted cold, so until then the server is limited to its cold slots.
	instanceUnconfirmed bool
	window              window
}

// concurrencyLimit returns the number of requests that the server may run at a
// time.
func (s *Server) concurrencyLimit(o Options) int {
	l := s.config.Slots
	if !o.Ramp.Disabled {
		l = min(l, s.ramp.Limit())
		if s.instanceUnconfirmed {
			l = min(l, max(1, s.config.ColdSlots))
		}
	}
	if s.config.MaxConnections > 0 { // 0 means no limit.
		l = min(l, s.config.MaxConnections)
	}
	if s.healthState == Probing {
		l = min(l, 1)
	}
	return l
}

// warm reports whether slow start is complete.
func (s *Server) warm(o Options) bool {
	return o.Ramp.Disabled || s.ramp.Limit() >= s.config.Slots
}

// expireHealthState resets a health state whose granted time has passed to Normal.
// If the service home did not renew an ejection, the server returns with a
// restarted ramp.
func (s *Server) expireHealthState(now time.Time) {
	if s.healthState == Normal || now.Before(s.healthStateUntil) {
		return
	}
	if s.healthState == Ejected {
		s.ramp.Restart(now, s.config.ColdSlots)
	}
	s.healthState = Normal
}

// rejectionReason returns why the server accepts no requests now, or ReasonNone.
func (s *Server) rejectionReason() request.Reason {
	switch {
	case !s.owned:
		return request.ReasonNotOwner
	case !s.acceptsNewRequests:
		return request.ReasonLeaving
	case s.healthState == Ejected:
		return request.ReasonEjected
	case s.config.Slots < 1:
		return request.ReasonBusy
	}
	return request.ReasonNone
}

// requestSlot admits, queues or rejects a request. The decision is sent on the
// ticket's channel.
func (s *Server) requestSlot(now time.Time, t *Ticket, o Options) {
	s.expireHealthState(now)
	if reason := s.rejectionReason(); reason != request.ReasonNone {
		t.reject(reason)
		return
	}
	if t.expired(now) {
		t.reject(request.ReasonDeadline)
		return
	}
	if t.noQueue && s.inFlight+s.queue.length >= s.concurrencyLimit(o) {
		t.reject(request.ReasonNoSlot)
		return
	}
	if rejected := s.queue.push(t, o); rejected != nil {
		rejected.reject(request.ReasonBusy)
	}
	s.dispatch(now, o)
}

// dispatch grants free slots to waiters in the order of the fair queue, and rejects
// the waiters it finds expired.
func (s *Server) dispatch(now time.Time, o Options) {
	for s.queue.length > 0 && s.inFlight < s.concurrencyLimit(o) {
		t := s.queue.pop()
		if t.expired(now) {
			t.reject(request.ReasonDeadline)
			continue
		}
		s.queue.charge(t)
		s.inFlight++
		t.grant()
	}
}

// rejectQueue rejects all waiters as not executed.
func (s *Server) rejectQueue(reason request.Reason) {
	for _, t := range s.queue.drain() {
		t.reject(reason)
	}
}

// rejectExpired rejects the waiters whose deadline has passed.
func (s *Server) rejectExpired(now time.Time) {
	for _, t := range s.queue.find(func(t *Ticket) bool { return t.expired(now) }) {
		s.queue.remove(t)
		t.reject(request.ReasonDeadline)
	}
}

// recordSample adds a sample to the window and updates the ramp. A response from a
// new process, a failed connection or a crash restarts the ramp. Other failures end
// the current series of successes.
func (s *Server) recordSample(now time.Time, sample Sample, o Options) {
	s.window.add(sample)
	restarted := sample.Instance != "" && s.instance != "" && sample.Instance != s.instance
	if sample.Instance != "" {
		s.instance = sample.Instance
	}
	if sample.Instance != "" || sample.Outcome == OK {
		s.instanceUnconfirmed = false
	}
	if sample.Outcome == Lost {
		s.instanceUnconfirmed = true
	}
	switch {
	case restarted, sample.Outcome == ConnectFailed, sample.Outcome == Crash:
		s.ramp.Restart(now, s.config.ColdSlots)
	case sample.Outcome == OK:
		s.ramp.RecordSuccess(now, s.config.Slots, o.Ramp)
	case sample.Outcome != Inconclusive:
		s.ramp.RecordFailure()
	}
}

// configure applies the server's configuration. It restarts the ramp if the server
// is new here, returns to service or has moved to another address.
func (s *Server) configure(now time.Time, config contract.Server, acceptsNewRequests bool, o Options) {
	returning := acceptsNewRequests && (!s.acceptsNewRequests || !s.owned)
	moved := config.Address != s.config.Address
	wasWarm := s.warm(o)
	grows := config.Slots > s.config.Slots
	s.config, s.acceptsNewRequests, s.owned = config, acceptsNewRequests, true
	switch {
	case returning || moved:
		s.instance, s.instanceUnconfirmed = "", false
		s.ramp.Restart(now, config.ColdSlots)
	case grows && wasWarm:
		// A warm server gets additional slots at once, because its process did not
		// restart.
		s.ramp.limit = config.Slots
	}
	s.expireHealthState(now)
	if reason := s.rejectionReason(); reason != request.ReasonNone {
		s.rejectQueue(reason)
	}
	s.dispatch(now, o)
}

// applyHealthState sets a health state that the service home granted for the time
// validFor. The end of an ejection restarts the ramp.
func (s *Server) applyHealthState(now time.Time, state HealthState, validFor time.Duration, o Options) {
	s.expireHealthState(now)
	if s.healthState == Ejected && state != Ejected {
		s.ramp.Restart(now, s.config.ColdSlots)
		s.window.takeAndReset() // Samples from before the probes must not affect their classification.
	}
	s.healthState, s.healthStateUntil = state, now.Add(validFor)
	if state == Ejected {
		s.rejectQueue(request.ReasonEjected)
	}
	s.dispatch(now, o)
}

func (s *Server) drainState() DrainState {
	switch {
	case s.acceptsNewRequests:
		return Serving
	case s.inFlight > 0:
		return Draining
	}
	return Drained
}

// status returns the server's state, without Counts and Latencies.
func (s *Server) status(now time.Time, o Options) Status {
	s.expireHealthState(now)
	st := Status{
		Server: s.config.ID, Service: s.service,
		InFlight: s.inFlight, Queued: s.queue.length, ConcurrencyLimit: s.concurrencyLimit(o),
		Warm: s.warm(o), DrainState: s.drainState(), HealthState: s.healthState,
	}
	if s.healthState != Normal {
		st.HealthStateValidFor = s.healthStateUntil.Sub(now)
	}
	return st
}
