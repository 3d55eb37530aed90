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

// simulation runs Members in simulated time against the platform's stand-in.
// It replaces only Fleet: clocks, network and pauses.
type simulation struct {
	now      time.Duration // true time
	events   eventQueue
	random   *rand.Rand
	platform *platformsim.Platform
	vms      []*simulatedVM
	roles    []vm.Role
	// storeDown makes every call to the store fail, hang says how.
	storeDown, hang bool
	// lateShare is the share of messages that take up to 4 s.
	lateShare float64
	violation string
}

type simulatedVM struct {
	sim         *simulation
	index       int
	member      *Member
	incarnation int
	alive       bool
	pausedUntil time.Duration
	rate        float64 // of the clock
	offset      time.Duration
	toStore     bool // cut: requests to the store are lost
	fromStore   bool // cut: responses of the store are lost
	// dropAfterWrite cuts the VM off the store with the response of its next write.
	dropAfterWrite bool
	cutTo          map[int]bool
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	simulatedStep    = 50 * time.Millisecond
	simulatedTimeout = time.Second
)

func newSimulation(seed uint64, size int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), platform: platformsim.New()}
	for i := range 8 {
		s.roles = append(s.roles, vm.Role{Kind: vm.TeamHome, Name: fmt.Sprint(i)})
	}
	for i := range size {
		v := &simulatedVM{
			sim: s, index: i, cutTo: map[int]bool{}, rate: 1,
			offset: time.Duration(s.random.Int64N(int64(time.Hour))),
		}
		s.vms = append(s.vms, v)
	}
	return s
}

// spreadClocks makes the rates of any two clocks differ by up to 10%.
func (s *simulation) spreadClocks() {
	const slowest = 0.954 // 0.954 × 1.1 × 0.953 ≈ 1
	for _, v := range s.vms {
		v.rate = slowest * (1 + 0.1*s.random.Float64())
	}
}

func (v *simulatedVM) start() {
	v.incarnation++
	v.alive, v.pausedUntil = true, 0
	id := vm.ID(fmt.Sprintf("vm%02d", v.index))
	v.member = NewMember(vm.VM{ID: id, Incarnation: fmt.Sprint("i", v.incarnation)}, Options{})
}

func (v *simulatedVM) clock() time.Time {
	return time.Unix(1_000_000, 0).Add(v.offset + time.Duration(float64(v.sim.now)*v.rate))
}

func (s *simulation) at(delay time.Duration, run func()) {
	heap.Push(&s.events, event{s.now + delay, len(s.events), run})
}

func (s *simulation) delay() time.Duration {
	if s.random.Float64() < s.lateShare {
		return time.Duration(s.random.Int64N(int64(4 * time.Second)))
	}
	return time.Duration(s.random.Int64N(int64(20 * time.Millisecond)))
}

// onVM runs fn on the VM's process of this incarnation, after a pause if any.
func (v *simulatedVM) onVM(incarnation int, fn func()) {
	if !v.alive || v.incarnation != incarnation {
		return
	}
	if v.sim.now < v.pausedUntil {
		v.sim.at(v.pausedUntil-v.sim.now, func() { v.onVM(incarnation, fn) })
		return
	}
	fn()
}

func (v *simulatedVM) perform(actions []Action) {
	for _, a := range actions {
		incarnation, finished := v.incarnation, false
		finish := func(r Result) {
			v.onVM(incarnation, func() {
				if !finished {
					finished = true
					v.perform(v.member.HandleResult(v.clock(), a, r))
				}
			})
		}
		v.sim.at(simulatedTimeout, func() { finish(Result{Err: timeoutError(a.Kind)}) })
		if a.Kind == SendHeartbeat {
			v.ask(a, finish)
		} else {
			v.callStore(a, finish)
		}
	}
}

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

func (v *simulatedVM) ask(a Action, finish func(Result)) {
	s := v.sim
	for _, peer := range s.vms {
		if !peer.alive || peer.member.self.ID != a.Peer.ID {
			continue
		}
		incarnation := peer.incarnation
		s.at(s.delay(), func() {
			if v.cutTo[peer.index] {
				return
			}
			peer.onVM(incarnation, func() {
				answer := peer.member.AnswerHeartbeat(peer.clock(), a.HeartbeatRequest)
				if !peer.cutTo[v.index] {
					s.at(s.delay(), func() { finish(Result{Heartbeat: answer}) })
				}
			})
		})
	}
}

func (v *simulatedVM) callStore(a Action, finish func(Result)) {
	s := v.sim
	self := v.member.self.ID
	s.at(s.delay(), func() {
		switch {
		case v.toStore || s.storeDown && s.hang:
			return
		case s.storeDown:
			finish(Result{Err: store.ErrNotDone})
			return
		}
		result := storeActions{s.platform.Client(string(self))}.run(context.Background(), self, a)
		if v.dropAfterWrite && a.Kind == WriteSession {
			v.dropAfterWrite, v.toStore = false, true
			return
		}
		if !v.fromStore {
			s.at(s.delay(), func() { finish(result) })
		}
	})
}

// run advances true time and checks after each event that no role has two
// VMs that may act.
func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end && s.violation == ""; {
		next := s.now + simulatedStep
		for len(s.events) > 0 && s.events[0].at <= next {
			e := heap.Pop(&s.events).(event)
			s.now = max(s.now, e.at)
			e.run()
		}
		s.now = next
		for _, v := range s.vms {
			v.onVM(v.incarnation, func() {
				// The spread of ticks keeps VMs from acting in lockstep.
				if s.random.IntN(4) > 0 {
					v.perform(v.member.Tick(v.clock()))
				}
			})
		}
		s.check()
	}
}

// holders returns the VMs that may act in a role now. A paused VM counts: it
// may resume at this moment.
func (s *simulation) holders(role vm.Role) (holders []*simulatedVM) {
	for _, v := range s.vms {
		if !v.alive {
			continue
		}
		if _, ok := v.member.MayAct(v.clock(), role); ok {
			holders = append(holders, v)
		}
	}
	return holders
}

func (s *simulation) check() {
	for _, role := range s.roles {
		if h := s.holders(role); len(h) > 1 {
			s.violation = fmt.Sprintf("at %v role %v: vm%02d with list %d and vm%02d with list %d may act", s.now, role,
				h[0].index, h[0].member.Roster().List.Version, h[1].index, h[1].member.Roster().List.Version)
		}
	}
}

// unheld returns the number of roles in which no VM may act.
func (s *simulation) unheld() (n int) {
	for _, role := range s.roles {
		if len(s.holders(role)) == 0 {
			n++
		}
	}
	return n
}

// until runs until the condition holds and returns how long that took.
func (s *simulation) until(t *testing.T, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	start := s.now
	for !condition() {
		s.run(simulatedStep)
		if s.violation != "" {
			t.Fatal(s.violation)
		}
		if s.now-start > limit {
			t.Fatalf("%s: not within %v", what, limit)
		}
	}
	return s.now - start
}
