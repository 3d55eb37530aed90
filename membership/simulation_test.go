package membership

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"almondstile/link"
	"almondstile/standin/platformsim"
	"almondstile/store"
	"almondstile/vm"
)

// simulation runs Members in simulated time against the platform's stand-in. It
// replaces only Manager and simulates clocks, the network and pauses of processes.
type simulation struct {
	now      time.Duration // true time
	events   eventQueue
	random   *rand.Rand
	platform *platformsim.Platform
	vms      []*simulatedVM
	roles    []vm.Role
	// storeDown makes every call to the store fail: with a timeout if storeHangs is
	// set, otherwise with an error at once.
	storeDown, storeHangs bool
	// delayedShare is the share (0 to 1) of messages that take up to 4 s instead of
	// up to 20 ms.
	delayedShare float64
	// violation describes the first moment at which two VMs could act in one role.
	// It is empty if there was none.
	violation string
}

// simulatedVM is one VM of a simulation with its clock and its faults.
type simulatedVM struct {
	sim                *simulation
	index              int
	member             *Member
	incarnation        int
	alive              bool
	pausedUntil        time.Duration
	clockRate          float64 // clock seconds per true second
	clockOffset        time.Duration
	storeRequestsLost  bool // requests to the store are lost
	storeResponsesLost bool // responses from the store are lost
	// dropAfterWrite disconnects the VM from the store at its next session write:
	// the write takes effect, and the response and all later requests are lost.
	dropAfterWrite bool
	// blockedTo holds the indexes of the VMs to which messages of this VM are lost.
	blockedTo map[int]bool
}

// event is a function that runs at a point of true time. sequence is the length
// of the queue when the event was scheduled.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// eventQueue is a heap of events ordered by time, then by sequence.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	// simulationStep is the time between two rounds of ticks and checks.
	simulationStep = 50 * time.Millisecond
	// callTimeout is the timeout of simulated heartbeats and store calls.
	callTimeout = time.Second
)

// newSimulation returns a simulation of size VMs, none of them started, and 8
// roles. The seed determines clocks, delays and ticks.
func newSimulation(seed uint64, size int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), platform: platformsim.New()}
	for i := range 8 {
		s.roles = append(s.roles, vm.Role{Kind: vm.TeamHome, Name: fmt.Sprint(i)})
	}
	for i := range size {
		v := &simulatedVM{
			sim: s, index: i, blockedTo: map[int]bool{}, clockRate: 1,
			clockOffset: time.Duration(s.random.Int64N(int64(time.Hour))),
		}
		s.vms = append(s.vms, v)
	}
	return s
}

// startSimulation returns a simulation in which the first running of size VMs have
// joined.
func startSimulation(seed uint64, size, running int) *simulation {
	s := newSimulation(seed, size)
	for _, v := range s.vms[:running] {
		v.start()
	}
	s.run(12 * time.Second)
	return s
}

// spreadClocks gives each clock a random rate. Any two rates differ by up to 10%.
func (s *simulation) spreadClocks() {
	const slowestRate = 0.954 // 0.954 × 1.1 × 0.953 ≈ 1
	for _, v := range s.vms {
		v.clockRate = slowestRate * (1 + 0.1*s.random.Float64())
	}
}

// start starts a new process on the VM, with the next incarnation.
func (v *simulatedVM) start() {
	v.incarnation++
	v.alive, v.pausedUntil = true, 0
	id := vm.ID(fmt.Sprintf("vm%02d", v.index))
	v.member = NewMember(vm.VM{ID: id, Incarnation: fmt.Sprint("i", v.incarnation)}, Options{})
}

// localTime returns the time on the VM's clock.
func (v *simulatedVM) localTime() time.Time {
	return time.Unix(1_000_000, 0).Add(v.clockOffset + time.Duration(float64(v.sim.now)*v.clockRate))
}

// schedule runs a function after a delay of true time.
func (s *simulation) schedule(delay time.Duration, run func()) {
	heap.Push(&s.events, event{s.now + delay, len(s.events), run})
}

// networkDelay returns a random delay for one message.
func (s *simulation) networkDelay() time.Duration {
	if s.random.Float64() < s.delayedShare {
		return time.Duration(s.random.Int64N(int64(4 * time.Second)))
	}
	return time.Duration(s.random.Int64N(int64(20 * time.Millisecond)))
}

// onVM runs fn in the VM's process of this incarnation. If the process is paused,
// fn runs at the end of the pause. If the process has ended, fn does not run.
func (v *simulatedVM) onVM(incarnation int, fn func()) {
	if !v.alive || v.incarnation != incarnation {
		return
	}
	if v.sim.now < v.pausedUntil {
		v.sim.schedule(v.pausedUntil-v.sim.now, func() { v.onVM(incarnation, fn) })
		return
	}
	fn()
}

// perform carries out actions and the actions that follow from their results. A
// call without a result ends with the error of a timeout.
func (v *simulatedVM) perform(actions []Action) {
	for _, a := range actions {
		incarnation, finished := v.incarnation, false
		finish := func(r Result) {
			v.onVM(incarnation, func() {
				if !finished {
					finished = true
					v.perform(v.member.HandleResult(v.localTime(), a, r))
				}
			})
		}
		v.sim.schedule(callTimeout, func() { finish(Result{Err: timeoutError(a.Kind)}) })
		if a.Kind == SendHeartbeat {
			v.sendHeartbeat(a, finish)
		} else {
			v.callStore(a, finish)
		}
	}
}

// timeoutError returns the error that a call of this kind returns after a timeout.
func timeoutError(kind ActionKind) error {
	switch kind {
	case SendHeartbeat:
		return link.ErrNoReply
	case WriteSession, UpdateRoster:
		return store.ErrUnknownOutcome
	default:
		return store.ErrNotDone
	}
}

// sendHeartbeat delivers a heartbeat request to the peer and its response back,
// unless one of them is lost.
func (v *simulatedVM) sendHeartbeat(a Action, finish func(Result)) {
	s := v.sim
	for _, peer := range s.vms {
		if !peer.alive || peer.member.self.ID != a.Peer.ID {
			continue
		}
		incarnation := peer.incarnation
		s.schedule(s.networkDelay(), func() {
			if v.blockedTo[peer.index] {
				return
			}
			peer.onVM(incarnation, func() {
				response := peer.member.AnswerHeartbeat(peer.localTime(), a.HeartbeatRequest)
				if !peer.blockedTo[v.index] {
					s.schedule(s.networkDelay(), func() { finish(Result{Heartbeat: response}) })
				}
			})
		})
	}
}

// callStore makes a call to the store, subject to the faults of the VM and the
// store.
func (v *simulatedVM) callStore(a Action, finish func(Result)) {
	s := v.sim
	self := v.member.self.ID
	s.schedule(s.networkDelay(), func() {
		switch {
		case v.storeRequestsLost || s.storeDown && s.storeHangs:
			return
		case s.storeDown:
			finish(Result{Err: store.ErrNotDone})
			return
		}
		result := storeClient{s.platform.Client(string(self))}.run(context.Background(), self, a)
		if v.dropAfterWrite && a.Kind == WriteSession {
			v.dropAfterWrite, v.storeRequestsLost = false, true
			return
		}
		if !v.storeResponsesLost {
			s.schedule(s.networkDelay(), func() { finish(result) })
		}
	})
}

// run advances true time by d in steps of simulationStep. After each step it checks
// that no role has two VMs that may act, and it stops at a violation.
func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end && s.violation == ""; {
		next := s.now + simulationStep
		for len(s.events) > 0 && s.events[0].at <= next {
			e := heap.Pop(&s.events).(event)
			s.now = max(s.now, e.at)
			e.run()
		}
		s.now = next
		for _, v := range s.vms {
			v.onVM(v.incarnation, func() {
				// Random ticks keep the VMs from running in lockstep.
				if s.random.IntN(4) > 0 {
					v.perform(v.member.Tick(v.localTime()))
				}
			})
		}
		s.check()
	}
}

// holders returns the VMs that may act in a role now. A paused VM counts, because
// it may resume at this moment.
func (s *simulation) holders(role vm.Role) (holders []*simulatedVM) {
	for _, v := range s.vms {
		if !v.alive {
			continue
		}
		if _, ok := v.member.MayAct(v.localTime(), role); ok {
			holders = append(holders, v)
		}
	}
	return holders
}

// check records a violation if two VMs may act in one role now.
func (s *simulation) check() {
	for _, role := range s.roles {
		if h := s.holders(role); len(h) > 1 {
			s.violation = fmt.Sprintf("at %v role %v: vm%02d with list %d and vm%02d with list %d may act", s.now, role,
				h[0].index, h[0].member.Roster().List.Version, h[1].index, h[1].member.Roster().List.Version)
		}
	}
}

// rolesWithoutHolder returns the number of roles in which no VM may act.
func (s *simulation) rolesWithoutHolder() (n int) {
	for _, role := range s.roles {
		if len(s.holders(role)) == 0 {
			n++
		}
	}
	return n
}

// endFaults ends all faults and starts a new process on each VM that does not run or
// that is leaving.
func (s *simulation) endFaults() {
	s.storeDown, s.delayedShare = false, 0
	for _, v := range s.vms {
		v.blockedTo, v.storeRequestsLost, v.storeResponsesLost, v.dropAfterWrite, v.pausedUntil = map[int]bool{}, false, false, false, 0
		if !v.alive || v.member.AnswerHeartbeat(v.localTime(), HeartbeatRequest{}).Leaving {
			v.start()
		}
	}
}

// fatalTest is a *testing.T or a *rapid.T.
type fatalTest interface {
	Helper()
	Fatalf(format string, args ...any)
}

// requireOneHolderEach fails the test if two VMs could act in one role, or if a role
// has no holder now. at says in the failure message when that was checked.
func (s *simulation) requireOneHolderEach(t fatalTest, at string) {
	t.Helper()
	if s.violation != "" {
		t.Fatalf("%s: %s", at, s.violation)
	}
	if n := s.rolesWithoutHolder(); n > 0 {
		t.Fatalf("%s: %d roles have no holder", at, n)
	}
}

// runUntil advances true time until the condition holds and returns how long that
// took. It fails the test at a violation, or if the condition does not hold within
// limit.
func (s *simulation) runUntil(t *testing.T, limit time.Duration, expected string, condition func() bool) time.Duration {
	t.Helper()
	start := s.now
	for !condition() {
		s.run(simulationStep)
		if s.violation != "" {
			t.Fatal(s.violation)
		}
		if s.now-start > limit {
			t.Fatalf("%s: not within %v", expected, limit)
		}
	}
	return s.now - start
}
