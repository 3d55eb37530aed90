package backend

import (
	"time"

	"almondstile/contract"
	"almondstile/request"
)

// Standing is what the service home decided about a server.
type HealthState string

// The standings of a server.
const (
	Normal HealthState = ""
	// LowWeight marks an outlier that the floor does not let the home eject.
	LowWeight HealthState = "low-weight"
	// Ejected servers get no requests.
	Ejected HealthState = "ejected"
	// Probing servers run one request at a time until the home trusts them.
	Probing HealthState = "probing"
)

// Drain says whether a server takes new work.
type DrainState string

// The stages of taking a server out of service.
const (
	Serving DrainState = "serving"
	// Draining servers get no new work and still run old work.
	Draining DrainState = "draining"
	// Drained servers run nothing.
	Drained DrainState = "drained"
)

// Server is the owner's record of one backend server. It is guarded by the lock
// of its shard.
type Server struct {
	service      contract.ServiceID
	terms        contract.Server
	takesNewWork bool
	owned        bool

	inFlight int
	ramp     Ramp
	queue    fairQueue

	standing      HealthState
	standingUntil time.Time
	instance      string
	// unconfirmed says that a connection was lost and no response has named the
	// process since. The process may have restarted cold, so the server gets its
	// cold slots until a response shows which process runs.
	unconfirmed bool
	window      window
}

// limit is the number of requests that the server may run at a time.
func (s *Server) limit(o Options) int {
	l := s.terms.Slots
	if !o.Ramp.Disabled {
		l = min(l, s.ramp.Limit())
		if s.unconfirmed {
			l = min(l, max(1, s.terms.ColdSlots))
		}
	}
	if s.terms.MaxConnections > 0 { // 0 means that no limit was set
		l = min(l, s.terms.MaxConnections)
	}
	if s.standing == Probing {
		l = min(l, 1)
	}
	return l
}

func (s *Server) warm(o Options) bool {
	return o.Ramp.Disabled || s.ramp.Limit() >= s.terms.Slots
}

// refresh drops a standing whose grant has run out. A server whose ejection
// runs out unconfirmed returns with the ramp.
func (s *Server) refresh(now time.Time) {
	if s.standing == Normal || now.Before(s.standingUntil) {
		return
	}
	if s.standing == Ejected {
		s.ramp.Restart(now, s.terms.ColdSlots)
	}
	s.standing = Normal
}

// closedFor returns why the server takes no request now.
func (s *Server) closedFor() request.Reason {
	switch {
	case !s.owned:
		return request.ReasonNotOwner
	case !s.takesNewWork:
		return request.ReasonLeaving
	case s.standing == Ejected:
		return request.ReasonEjected
	case s.terms.Slots < 1:
		return request.ReasonBusy
	}
	return request.ReasonNone
}

// enter admits, queues or rejects a request.
func (s *Server) enter(now time.Time, t *Ticket, o Options) {
	s.refresh(now)
	if reason := s.closedFor(); reason != request.ReasonNone {
		t.reject(reason)
		return
	}
	if t.expired(now) {
		t.reject(request.ReasonDeadline)
		return
	}
	if t.noQueue && s.inFlight+s.queue.length >= s.limit(o) {
		t.reject(request.ReasonNoSlot)
		return
	}
	if rejected := s.queue.push(t, o); rejected != nil {
		rejected.reject(request.ReasonBusy)
	}
	s.dispatch(now, o)
}

// dispatch grants free slots to the waiters that are next in turn.
func (s *Server) dispatch(now time.Time, o Options) {
	for s.queue.length > 0 && s.inFlight < s.limit(o) {
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

// rejectQueue rejects all waiters as not run.
func (s *Server) rejectQueue(reason request.Reason) {
	for _, t := range s.queue.drain() {
		t.reject(reason)
	}
}

// expire rejects waiters whose deadline has passed.
func (s *Server) expire(now time.Time) {
	for _, t := range s.queue.expired(func(t *Ticket) bool { return t.expired(now) }) {
		s.queue.remove(t)
		t.reject(request.ReasonDeadline)
	}
}

// observe updates the ramp and the window with a sample.
func (s *Server) observe(now time.Time, sample Sample, o Options) {
	s.window.add(sample)
	restarted := sample.Instance != "" && s.instance != "" && sample.Instance != s.instance
	if sample.Instance != "" {
		s.instance = sample.Instance
	}
	if sample.Instance != "" || sample.Outcome == OK {
		s.unconfirmed = false
	}
	if sample.Outcome == Lost {
		s.unconfirmed = true
	}
	switch {
	case restarted, sample.Outcome == ConnectFailed, sample.Outcome == Crash:
		s.ramp.Restart(now, s.terms.ColdSlots)
	case sample.Outcome == OK:
		s.ramp.RecordSuccess(now, s.terms.Slots, o.Ramp)
	case sample.Outcome != Inconclusive:
		s.ramp.RecordFailure()
	}
}

// change applies the operators' terms.
func (s *Server) change(now time.Time, terms contract.Server, takesNewWork bool, o Options) {
	returns := takesNewWork && (!s.takesNewWork || !s.owned)
	moved := terms.Address != s.terms.Address
	wasWarm := s.warm(o)
	grows := terms.Slots > s.terms.Slots
	s.terms, s.takesNewWork, s.owned = terms, takesNewWork, true
	switch {
	case returns || moved:
		s.instance, s.unconfirmed = "", false
		s.ramp.Restart(now, terms.ColdSlots)
	case grows && wasWarm:
		// A warm server bears the new slots at once: its process did not restart.
		s.ramp.allowed = terms.Slots
	}
	s.refresh(now)
	if reason := s.closedFor(); reason != request.ReasonNone {
		s.rejectQueue(reason)
	}
	s.dispatch(now, o)
}

// apply takes over a verdict of the service home.
func (s *Server) apply(now time.Time, standing HealthState, validFor time.Duration, o Options) {
	s.refresh(now)
	if s.standing == Ejected && standing != Ejected {
		s.ramp.Restart(now, s.terms.ColdSlots)
		s.window.take() // Old evidence must not count for or against the probes.
	}
	s.standing, s.standingUntil = standing, now.Add(validFor)
	if standing == Ejected {
		s.rejectQueue(request.ReasonEjected)
	}
	s.dispatch(now, o)
}

func (s *Server) drain() DrainState {
	switch {
	case s.takesNewWork:
		return Serving
	case s.inFlight > 0:
		return Draining
	}
	return Drained
}

func (s *Server) status(now time.Time, o Options) Status {
	s.refresh(now)
	st := Status{
		Server: s.terms.ID, Service: s.service,
		InFlight: s.inFlight, Queued: s.queue.length, ConcurrencyLimit: s.limit(o),
		Warm: s.warm(o), DrainState: s.drain(), HealthState: s.standing,
	}
	if s.standing != Normal {
		st.HealthStateValidFor = s.standingUntil.Sub(now)
	}
	return st
}
