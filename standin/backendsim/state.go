package backendsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// state is the state of one server. The lock of its shard in Host.states guards
// it. Its methods decide on requests and do no I/O.
type state struct {
	config      Config
	mode        Mode
	modeSince   time.Time // start of the first flap period
	incarnation int
	startedAt   time.Time
	warm        bool
	successes   int // served requests since startedAt
	counters    Counters
	rng         *rand.Rand
	// previousResponse is the last complete response to a served request. The
	// server repeats it when it injects a response mismatch.
	previousResponse response
	lastReport       report
}

// report is the content of a response to /health or /load.
type report struct {
	at      time.Time
	healthy bool
	load    float64 // requests in flight per slot, times Mode.LoadFactor
}

// admissionDecision is what the server does with a request.
type admissionDecision int

const (
	execute admissionDecision = iota
	rejectNoSlot
	rejectDraining
	closeStaleConnection // an earlier incarnation accepted the connection
	crashOverloaded      // the request exceeds the concurrency limit of a cold server
)

// fault is the fault that the server injects into one execution.
type fault int

const (
	noFault fault = iota
	faultError
	faultTruncated
	faultLate
	faultResponseMismatch
	faultReset
	faultHang
)

// admission is the decision on one request, with the state that it is based on.
// Only executed requests have a fault, a service time and an in-flight count.
type admission struct {
	decision         admissionDecision
	incarnation      int
	fault            fault
	mode             Mode
	serviceTime      time.Duration
	inFlight         int
	concurrencyLimit int
	cold             bool
}

// newState returns the state of a server that starts at now. Its random numbers
// depend only on the seed and the ID of the server.
func newState(c Config, now time.Time) *state {
	seed := c.Seed
	for _, b := range []byte(c.ID) {
		seed = seed*1099511628211 + uint64(b)
	}
	return &state{
		config: c, modeSince: now, startedAt: now, warm: c.StartWarm, incarnation: 1,
		rng: rand.New(rand.NewPCG(seed, 1)),
	}
}

// instance returns the name of the current incarnation: ID-seed-incarnation.
func (s *state) instance() string {
	return fmt.Sprintf("%s-%d-%d", s.config.ID, s.config.Seed, s.incarnation)
}

// concurrencyLimit returns how many requests the server can execute at a time
// now. The limit grows from Config.ColdSlots to Config.Slots; the server is warm
// when it reaches Slots.
func (s *state) concurrencyLimit(now time.Time) int {
	if s.warm {
		return s.config.Slots
	}
	steps := min(s.successes/s.config.WarmSuccesses,
		int(now.Sub(s.startedAt).Milliseconds())/s.config.WarmStepMillis)
	if s.config.ColdSlots+steps >= s.config.Slots {
		s.warm = true
		return s.config.Slots
	}
	return s.config.ColdSlots + steps
}

// admit decides on a request. incarnation is the one that accepted the
// connection of the request.
func (s *state) admit(now time.Time, incarnation int) admission {
	limit := s.concurrencyLimit(now)
	a := admission{incarnation: s.incarnation, mode: s.mode, concurrencyLimit: limit, cold: !s.warm}
	switch {
	case incarnation != s.incarnation:
		a.decision = closeStaleConnection
	case s.mode.Draining:
		a.decision = rejectDraining
		s.counters.RefusedDraining++
	case s.counters.InFlight < limit:
		s.startExecution(now, &a)
	case a.cold:
		a.decision = crashOverloaded
		s.startExecution(now, &a)
		s.counters.Overloads++
	default:
		a.decision = rejectNoSlot
		s.counters.Shed++
	}
	return a
}

// startExecution takes a slot, counts the execution and sets the in-flight count,
// the fault and the service time of the admission.
func (s *state) startExecution(now time.Time, a *admission) {
	s.counters.InFlight++
	s.counters.Executions++
	s.counters.MaxInFlight = max(s.counters.MaxInFlight, s.counters.InFlight)
	a.inFlight = s.counters.InFlight
	median := float64(s.config.MedianMicros) * float64(time.Microsecond)
	service := median * math.Exp(s.config.Sigma*s.rng.NormFloat64())
	sample := s.rng.Float64()
	if s.faultsActive(now) {
		a.fault = s.mode.faultFor(sample)
		if s.mode.SlowFactor > 0 {
			service *= s.mode.SlowFactor
		}
	}
	a.serviceTime = time.Duration(service)
}

// faultsActive reports whether the faults of the mode apply now. If
// Mode.FlapMillis is set, they apply in every second period of this length.
func (s *state) faultsActive(now time.Time) bool {
	if s.mode.FlapMillis <= 0 {
		return true
	}
	return now.Sub(s.modeSince).Milliseconds()/int64(s.mode.FlapMillis)%2 == 0
}

// faultFor returns the fault of a request for a uniform random sample from
// [0, 1), according to the shares of the mode.
func (m Mode) faultFor(sample float64) fault {
	for _, entry := range []struct {
		share float64
		fault fault
	}{
		{m.ErrorShare, faultError}, {m.TruncatedShare, faultTruncated}, {m.LateShare, faultLate},
		{m.ResponseMismatchShare, faultResponseMismatch}, {m.ResetShare, faultReset}, {m.HangShare, faultHang},
	} {
		if sample < entry.share {
			return entry.fault
		}
		sample -= entry.share
	}
	return noFault
}

// finishExecution releases the slot of a request and returns its final result.
// A request of an earlier incarnation has no slot any more, because
// stopIncarnation released all of them; its result is ServerStopped.
func (s *state) finishExecution(incarnation int, result ExecutionResult) ExecutionResult {
	if incarnation != s.incarnation {
		return ServerStopped
	}
	s.counters.InFlight--
	switch result {
	case Served:
		s.successes++
	case Canceled:
		s.counters.Canceled++
	}
	return result
}

// swapPreviousResponse stores r as the previous response and returns the one
// that it replaces.
func (s *state) swapPreviousResponse(r response) response {
	previous := s.previousResponse
	s.previousResponse = r
	return previous
}

// stopIncarnation ends the given incarnation and releases all slots. It returns
// false if the incarnation has ended already.
func (s *state) stopIncarnation(incarnation int) bool {
	if incarnation != s.incarnation {
		return false
	}
	s.incarnation++
	s.counters.InFlight = 0
	return true
}

// startCold marks the current incarnation as started at now and cold.
func (s *state) startCold(now time.Time) {
	s.startedAt, s.warm, s.successes = now, false, 0
	s.lastReport = report{}
}

// addConnection counts a new connection and returns the current incarnation. It
// returns false if the connection limit is reached.
func (s *state) addConnection() (incarnation int, ok bool) {
	if s.counters.Connections >= s.config.Connections {
		s.counters.RefusedConnections++
		return 0, false
	}
	s.counters.Connections++
	s.counters.MaxConnections = max(s.counters.MaxConnections, s.counters.Connections)
	return s.incarnation, true
}

// currentReport returns the report for /health and /load. It repeats the last
// report for Config.LagMillis. Gray failures do not change the report.
func (s *state) currentReport(now time.Time) report {
	lag := time.Duration(s.config.LagMillis) * time.Millisecond
	if s.lastReport.at.IsZero() || now.Sub(s.lastReport.at) >= lag {
		load := float64(s.counters.InFlight) / float64(s.config.Slots)
		if s.mode.LoadFactor > 0 {
			load *= s.mode.LoadFactor
		}
		s.lastReport = report{now, !s.mode.HealthFails && !s.mode.Draining, load}
	}
	return s.lastReport
}
