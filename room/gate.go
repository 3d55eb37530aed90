package room

import (
	"math"
	"slices"
	"time"

	"almondstile/contract"
	"almondstile/shard"
	"almondstile/tally"
)

const (
	// serviceTimeWeight is the weight of one request in the mean service time.
	serviceTimeWeight = 0.1
	// leastUrgentHoldLoad is the load above TargetLoad from which on requests of the least
	// urgent rank wait at the VM, and nextUrgentHoldLoad the one for the second most urgent
	// rank. The ranks between wait from loads between. The most urgent rank never waits here.
	// TargetLoad is kept with fewer requests, so they wait only until a burst is over.
	leastUrgentHoldLoad = 0.75
	nextUrgentHoldLoad  = 1.5
	// maxHoldShare is the largest part of the target latency for which a request waits here.
	maxHoldShare = 0.5
	// recheckInterval is the time after which a waiting request asks again.
	recheckInterval = 25 * time.Millisecond
	// retention is the time for which the state of a service is kept without requests.
	retention = 5 * time.Minute
	// maxWaiting is the number of requests of one service that wait at a VM.
	maxWaiting = 64
)

// Request is a request as far as its service's room concerns it.
type Request struct {
	Service tally.Subject
	Rank    contract.Rank
	Team    tally.Subject // empty on a route that is open to all
	// Deadline is when the caller gives up, and Target the time within which it expects the
	// response.
	Deadline time.Time
	Target   time.Duration
	// TypicalLatency is the mean latency of the request's route, 0 if it is not known.
	TypicalLatency time.Duration
}

// Action is what becomes of a request now.
type Action int

// The actions.
const (
	// Go sends the request to a server.
	Go Action = iota
	// Wait holds it back until Decision.Until, when it asks again.
	Wait
	// Reject turns it away. It has not run.
	Reject
)

// Cause is why a request is not sent at once.
type Cause string

// The causes.
const (
	NoCause      Cause = ""
	BeyondShare  Cause = "team"     // its team is beyond its share
	LessUrgent   Cause = "rank"     // more urgent requests need the room
	TooLate      Cause = "deadline" // it could not finish in time
	WaitersAhead Cause = "queue"    // too many requests wait at this VM
)

// Decision is what becomes of a request.
type Decision struct {
	Action Action
	Cause  Cause
	// Until is when a waiting request asks again.
	Until time.Time
	// RetryAfter is when the caller of a rejected request should return.
	RetryAfter time.Duration
	// Shortage and Load describe the service at the time.
	Shortage, Load float64
}

// Gate decides what becomes of each request. The zero value is ready to use. It is safe for
// concurrent use. The lock of a service's shard is taken before those of Demand.
type Gate struct {
	Demand   Demand
	services shard.Map[tally.Subject, *serviceState]
}

// serviceState is what a VM knows of the requests of one service.
type serviceState struct {
	offered     offered
	serviceTime time.Duration
	waiting     []*Ticket // in the order in which they go
}

// Ticket is one request at the gate.
type Ticket struct {
	request Request
	ranks   []contract.Rank
	target  time.Duration
	// holdUntil is when the request is sent even if the load is still high.
	holdUntil time.Time
	waiting   bool
}

// NewTicket returns the ticket of a request to a service with the terms.
func NewTicket(request Request, terms contract.ServiceTerms) *Ticket {
	return &Ticket{request: request, ranks: terms.Ranks, target: terms.TargetLatency}
}

// position returns the number of more urgent ranks at the service.
func (t *Ticket) position() int {
	i, _ := slices.BinarySearch(t.ranks, t.request.Rank)
	return min(i, len(t.ranks)-1)
}

// before orders waiting requests by rank and then deadline.
func (t *Ticket) before(other *Ticket) bool {
	if t.request.Rank != other.request.Rank {
		return t.request.Rank < other.request.Rank
	}
	return t.request.Deadline.Before(other.request.Deadline)
}

// holdLoad returns the load from which on the request waits.
func (s *serviceState) holdLoad(t *Ticket) float64 {
	return TargetLoad(s.serviceTime, t.target) + t.holdLoadAboveTarget()
}

// holdLoadAboveTarget returns the part of holdLoad that depends on the rank.
func (t *Ticket) holdLoadAboveTarget() float64 {
	position, last := t.position(), len(t.ranks)-1
	switch {
	case position == 0:
		return math.Inf(1)
	case position == last:
		return leastUrgentHoldLoad
	default:
		part := float64(position-1) / float64(last-1)
		return nextUrgentHoldLoad - part*(nextUrgentHoldLoad-leastUrgentHoldLoad)
	}
}

// Enter decides on a request that has just arrived. random returns uniformly distributed
// numbers in [0, 1).
func (g *Gate) Enter(now time.Time, t *Ticket, room Room, random func() float64) (decision Decision) {
	if len(t.ranks) < 2 {
		return Decision{Action: Go}
	}
	g.services.Do(t.request.Service, newServiceState, func(s *serviceState) {
		s.recordArrival(now, t, room.Load())
		if !s.offered.competing() {
			decision = Decision{Action: Go}
			return
		}
		shortage := s.shortage(now, t, room)
		decision = Decision{Shortage: shortage, Load: room.Load()}
		if cause := g.drawRejection(now, s, t, shortage, random); cause != NoCause {
			s.reject(&decision, now, t, room, cause, random())
			return
		}
		s.hold(&decision, now, t, room, random())
	})
	return decision
}

// Recheck decides on a request whose wait has ended.
func (g *Gate) Recheck(now time.Time, t *Ticket, room Room, random func() float64) (decision Decision) {
	g.services.Do(t.request.Service, newServiceState, func(s *serviceState) {
		decision = Decision{Shortage: s.shortage(now, t, room), Load: room.Load()}
		if !t.waiting { // another request took its place
			s.reject(&decision, now, t, room, WaitersAhead, random())
			return
		}
		s.recheck(&decision, now, t, room, random())
	})
	return decision
}

// RecordRemote adds the counts of a service that another VM reports.
func (g *Gate) RecordRemote(now time.Time, service tally.Subject, counts tally.Counts) {
	n := [offeredClasses]float64{float64(counts[tally.OfferedUrgent]), float64(counts[tally.OfferedMiddle]), float64(counts[tally.OfferedLeast])}
	if n == [offeredClasses]float64{} {
		return
	}
	g.services.Do(service, newServiceState, func(s *serviceState) {
		for class := range n {
			s.offered.add(now, class, n[class])
		}
	})
}

// Competing reports whether requests of different ranks compete for the service's room.
func (g *Gate) Competing(now time.Time, service tally.Subject) bool {
	competing := true
	g.services.DoExisting(service, func(s *serviceState) {
		s.offered.decay(now)
		competing = s.offered.competing()
	})
	return competing
}

// Leave removes a waiting request whose caller has gone, or that must not go any more.
func (g *Gate) Leave(t *Ticket) {
	g.services.DoExisting(t.request.Service, func(s *serviceState) { s.remove(t) })
}

// ReturnAfterRefusal returns when the caller of a request that servers refused should
// return.
func (g *Gate) ReturnAfterRefusal(now time.Time, t *Ticket, room Room, random float64) (after time.Duration) {
	g.services.Do(t.request.Service, newServiceState, func(s *serviceState) {
		after = s.returnOf(now, t, room).After(room, random)
	})
	return after
}

// Waiting returns the number of requests of the service that wait at this VM.
func (g *Gate) Waiting(service tally.Subject) (n int) {
	g.services.DoExisting(service, func(s *serviceState) { n = len(s.waiting) })
	return n
}

// Sweep deletes the state of services without requests for retention, and that of teams that
// are gone.
func (g *Gate) Sweep(now time.Time) {
	g.Demand.sweep(now)
	g.services.Range(func(_ tally.Subject, s *serviceState) bool {
		return len(s.waiting) > 0 || now.Sub(s.offered.updatedAt) < retention
	})
}

// drawRejection draws whether the request is one of those that are turned away: first those
// of teams beyond their share, then the least urgent ones. Every kind of request keeps its
// part of what all get.
func (g *Gate) drawRejection(now time.Time, s *serviceState, t *Ticket, shortage float64, random func() float64) Cause {
	if shortage <= 0 {
		return NoCause
	}
	cut, left := 0.0, shortage
	if t.request.Team != "" {
		cut, left = g.Demand.Cut(now, t.request.Team, shortage)
	}
	share := AdmitShares(s.offered.mix(len(t.ranks)), left)[t.position()]
	admitted := max((1-cut)*share, minKindShare*(1-shortage))
	switch {
	case random() < admitted:
		return NoCause
	case cut > 1-share:
		return BeyondShare
	default:
		return LessUrgent
	}
}

// hold decides whether an admitted request goes or waits.
func (s *serviceState) hold(d *Decision, now time.Time, t *Ticket, room Room, random float64) {
	timeLeft := t.request.Deadline.Sub(now)
	queueTime := room.QueueTime(s.serviceTime)
	if queueTime > 0 && queueTime+s.executionTime(t) > timeLeft {
		s.reject(d, now, t, room, TooLate, random)
		return
	}
	over := room.Load() - s.holdLoad(t)
	if over < 0 && (len(s.waiting) == 0 || t.before(s.waiting[0])) {
		return
	}
	maxHold := min(time.Duration(maxHoldShare*float64(t.request.Target)), timeLeft-queueTime-s.executionTime(t))
	// The second most urgent rank is the measure for all: none goes at once where it waits.
	excess := room.Load() - TargetLoad(s.serviceTime, t.target) - nextUrgentHoldLoad
	if maxHold <= 0 || excess*float64(s.serviceTime) > float64(maxHold) {
		return // it would wait here in vain
	}
	t.holdUntil = now.Add(maxHold)
	if !s.insert(t) {
		s.reject(d, now, t, room, WaitersAhead, random)
		return
	}
	s.wait(d, now, t)
}

// recheck decides on a request that waits.
func (s *serviceState) recheck(d *Decision, now time.Time, t *Ticket, room Room, random float64) {
	switch {
	case s.executionTime(t) > t.request.Deadline.Sub(now):
		s.remove(t)
		s.reject(d, now, t, room, TooLate, random)
	case !now.Before(t.holdUntil), s.waiting[0] == t && room.Load() < s.holdLoad(t):
		s.remove(t)
	default:
		s.wait(d, now, t)
	}
}

// executionTime returns how long the request is expected to take in a slot. The mean of the
// service does not count for a route with shorter requests.
func (s *serviceState) executionTime(t *Ticket) time.Duration {
	if typical := t.request.TypicalLatency; typical > 0 {
		return min(typical, s.serviceTime)
	}
	return s.serviceTime
}

// wait fills in the decision of a request that waits.
func (s *serviceState) wait(d *Decision, now time.Time, t *Ticket) {
	d.Action, d.Cause, d.Until = Wait, LessUrgent, now.Add(recheckInterval)
	if t.holdUntil.Before(d.Until) {
		d.Until = t.holdUntil
	}
}

// reject fills in the decision of a request that is turned away.
func (s *serviceState) reject(d *Decision, now time.Time, t *Ticket, room Room, cause Cause, random float64) {
	d.Action, d.Cause = Reject, cause
	d.RetryAfter = s.returnOf(now, t, room).After(room, random)
}

// returnOf describes the return of the request's caller.
func (s *serviceState) returnOf(now time.Time, t *Ticket, room Room) Return {
	return Return{
		Position: t.position(), Ranks: len(t.ranks), ServiceTime: s.serviceTime,
		TimeLeft: t.request.Deadline.Sub(now), Shortage: s.shortage(now, t, room),
	}
}

// insert adds a request to those that wait. If there are too many, the last one has to go.
// insert reports whether that is another one.
func (s *serviceState) insert(t *Ticket) bool {
	i := len(s.waiting)
	for i > 0 && t.before(s.waiting[i-1]) {
		i--
	}
	s.waiting = slices.Insert(s.waiting, i, t)
	t.waiting = true
	if len(s.waiting) > maxWaiting {
		s.remove(s.waiting[maxWaiting])
	}
	return t.waiting
}

// remove removes a request from those that wait, if it is one of them.
func (s *serviceState) remove(t *Ticket) {
	if i := slices.Index(s.waiting, t); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
	t.waiting = false
}

// recordArrival counts a request of this VM, and learns the service time while requests wait
// nowhere.
func (s *serviceState) recordArrival(now time.Time, t *Ticket, load float64) {
	s.offered.add(now, classOf(t.position(), len(t.ranks)), 1)
	typical := t.request.TypicalLatency
	switch {
	case typical <= 0:
	case s.serviceTime == 0:
		s.serviceTime = typical
	case load <= freeLoad:
		s.serviceTime += time.Duration(serviceTimeWeight * float64(typical-s.serviceTime))
	}
}

// shortage returns the share of the service's requests that must be turned away.
func (s *serviceState) shortage(now time.Time, t *Ticket, room Room) float64 {
	return room.Shortage(s.serviceTime, t.target, s.offered.perSecond(now))
}

func newServiceState() *serviceState { return &serviceState{} }
