package backendsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// state is the condition of one server. It is guarded by its shard of the
// host's map, and it decides without doing I/O.
type state struct {
	config      Config
	mode        Mode
	modeSince   time.Time
	incarnation int
	startedAt   time.Time
	warm        bool
	successes   int
	counters    Counters
	random      *rand.Rand
	// previous is what a crossed response repeats.
	previous response
	reported report
}

// report is what /health and /load said last.
type report struct {
	at      time.Time
	healthy bool
	load    float64
}

type verdict int

const (
	run verdict = iota
	shed
	refuseDraining
	staleConnection // accepted by an earlier instance
	fallOver
)

type fault int

const (
	noFault fault = iota
	faultError
	faultTruncated
	faultLate
	faultCrossed
	faultReset
	faultHang
)

// admission is the decision on one request.
type admission struct {
	verdict     verdict
	incarnation int
	fault       fault
	mode        Mode
	serviceTime time.Duration
	inFlight    int
	bearable    int
	cold        bool
}

func newState(c Config, now time.Time) *state {
	seed := c.Seed
	for _, b := range []byte(c.ID) {
		seed = seed*1099511628211 + uint64(b)
	}
	return &state{
		config: c, modeSince: now, startedAt: now, warm: c.StartWarm, incarnation: 1,
		random: rand.New(rand.NewPCG(seed, 1)),
	}
}

func (s *state) instance() string {
	return fmt.Sprintf("%s-%d-%d", s.config.ID, s.config.Seed, s.incarnation)
}

// bearable returns how many requests the server can run now.
func (s *state) bearable(now time.Time) int {
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

// admit decides on a request that arrived over a connection of the given
// incarnation.
func (s *state) admit(now time.Time, incarnation int) admission {
	bearable := s.bearable(now)
	a := admission{incarnation: s.incarnation, mode: s.mode, bearable: bearable, cold: !s.warm}
	switch {
	case incarnation != s.incarnation:
		a.verdict = staleConnection
	case s.mode.Draining:
		a.verdict = refuseDraining
		s.counters.RefusedDraining++
	case s.counters.InFlight < bearable:
		s.start(now, &a)
	case a.cold:
		a.verdict = fallOver
		s.start(now, &a)
		s.counters.Overloads++
	default:
		a.verdict = shed
		s.counters.Shed++
	}
	return a
}

// start fills in the parts of an admission that only a running request has.
func (s *state) start(now time.Time, a *admission) {
	s.counters.InFlight++
	s.counters.Executions++
	s.counters.MaxInFlight = max(s.counters.MaxInFlight, s.counters.InFlight)
	a.inFlight = s.counters.InFlight
	median := float64(s.config.MedianMicros) * float64(time.Microsecond)
	service := median * math.Exp(s.config.Sigma*s.random.NormFloat64())
	draw := s.random.Float64()
	if s.faulty(now) {
		a.fault = s.mode.faultFor(draw)
		if s.mode.SlowFactor > 0 {
			service *= s.mode.SlowFactor
		}
	}
	a.serviceTime = time.Duration(service)
}

// faulty reports whether the mode's faults apply now, which a flapping server
// alternates.
func (s *state) faulty(now time.Time) bool {
	if s.mode.FlapMillis <= 0 {
		return true
	}
	return now.Sub(s.modeSince).Milliseconds()/int64(s.mode.FlapMillis)%2 == 0
}

// faultFor maps a draw from [0, 1) to the fault of a request.
func (m Mode) faultFor(draw float64) fault {
	for _, part := range []struct {
		share float64
		fault fault
	}{
		{m.ErrorShare, faultError}, {m.TruncatedShare, faultTruncated}, {m.LateShare, faultLate},
		{m.CrossedShare, faultCrossed}, {m.ResetShare, faultReset}, {m.HangShare, faultHang},
	} {
		if draw < part.share {
			return part.fault
		}
		draw -= part.share
	}
	return noFault
}

// finish releases the slot of a request. A request of an earlier incarnation
// lost its slot when the server went down.
func (s *state) finish(incarnation int, result ExecutionResult) ExecutionResult {
	if incarnation != s.incarnation {
		return ServerEnded
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

// swapPrevious keeps r for later crossed responses and returns the one before.
func (s *state) swapPrevious(r response) response {
	before := s.previous
	s.previous = r
	return before
}

// goDown ends the incarnation unless that has happened already.
func (s *state) goDown(incarnation int) bool {
	if incarnation != s.incarnation {
		return false
	}
	s.incarnation++
	s.counters.InFlight = 0
	return true
}

// comeUp starts the current incarnation cold.
func (s *state) comeUp(now time.Time) {
	s.startedAt, s.warm, s.successes = now, false, 0
	s.reported = report{}
}

// connect counts a new connection unless the limit is reached.
func (s *state) connect() (incarnation int, ok bool) {
	if s.counters.Connections >= s.config.Connections {
		s.counters.RefusedConnections++
		return 0, false
	}
	s.counters.Connections++
	s.counters.MaxConnections = max(s.counters.MaxConnections, s.counters.Connections)
	return s.incarnation, true
}

// currentReport returns what /health and /load say: an answer that may be as
// old as the configured lag and that gray faults do not change.
func (s *state) currentReport(now time.Time) report {
	lag := time.Duration(s.config.LagMillis) * time.Millisecond
	if s.reported.at.IsZero() || now.Sub(s.reported.at) >= lag {
		load := float64(s.counters.InFlight) / float64(s.config.Slots)
		if s.mode.LoadFactor > 0 {
			load *= s.mode.LoadFactor
		}
		s.reported = report{now, !s.mode.HealthFails && !s.mode.Draining, load}
	}
	return s.reported
}
