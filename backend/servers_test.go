package backend

import (
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"almondstile/contract"
	"almondstile/request"
	_ "almondstile/standin/seeded" // fixes the seed of rapid

	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"
)

const testServer contract.ServerID = "loandesk-1"

var start = time.Unix(1_700_000_000, 0)

func terms(slots, cold int) contract.Server {
	return contract.Server{ID: testServer, Address: "127.0.0.1:9000", Slots: slots, ColdSlots: cold, MaxConnections: 330}
}

func ask(team string, weight int, deadline time.Time) *request.Request {
	return &request.Request{Server: testServer, Team: contract.TeamID(team), Weight: weight, Deadline: deadline}
}

// schedule drives one server through random events and keeps its own account
// of what runs and of the most that a cold server may run.
type schedule struct {
	servers  *Servers
	now      time.Time
	terms    contract.Server
	takes    bool
	running  []*Ticket
	waiting  []*Ticket
	instance int
	// Since the last restart of the ramp.
	coldSince time.Time
	successes int
}

func newSchedule(slots, cold int) *schedule {
	s := &schedule{servers: NewServers(DefaultOptions()), now: start, terms: terms(slots, cold)}
	s.change(true)
	return s
}

func (s *schedule) change(takes bool) {
	if takes && !s.takes {
		s.restart()
	}
	s.takes = takes
	s.servers.Configure(s.now, "loandesk", s.terms, takes)
}

func (s *schedule) restart() { s.coldSince, s.successes = s.now, 0 }

// settle reads the decisions that were made and checks each grant's limits.
func (s *schedule) settle(t *rapid.T) {
	still := s.waiting[:0]
	grants := 0
	for _, k := range s.waiting {
		select {
		case d := <-k.Decided():
			if d.Admitted {
				s.running = append(s.running, k)
				grants++
			} else if d.Reason == request.ReasonNone {
				t.Fatal("rejected without a reason")
			}
		default:
			still = append(still, k)
		}
	}
	s.waiting = still
	if grants > 0 {
		s.checkLimits(t)
	}
	s.checkAccount(t)
}

func (s *schedule) checkLimits(t *rapid.T) {
	o := s.servers.options.Ramp
	byTime := s.terms.ColdSlots + int(s.now.Sub(s.coldSince)/o.MinStepInterval)
	bySuccess := s.terms.ColdSlots + s.successes/o.SuccessesPerStep
	if n, most := len(s.running), min(s.terms.Slots, byTime, bySuccess); n > most {
		t.Fatalf("a grant made %d run, at most %d may (slots %d, by time %d, by successes %d)",
			n, most, s.terms.Slots, byTime, bySuccess)
	}
	if st, _ := s.servers.Status(s.now, testServer); !s.takes || st.HealthState == Ejected {
		t.Fatal("granted while the server takes no new work or is ejected")
	}
}

func (s *schedule) checkAccount(t *rapid.T) {
	st, _ := s.servers.Status(s.now, testServer)
	if st.InFlight != len(s.running) || st.Queued != len(s.waiting) {
		t.Fatalf("record has %d running and %d waiting, the account %d and %d",
			st.InFlight, st.Queued, len(s.running), len(s.waiting))
	}
	if st.Queued > 0 && st.InFlight < st.ConcurrencyLimit {
		t.Fatalf("lost slot: %d wait while %d of %d run", st.Queued, st.InFlight, st.ConcurrencyLimit)
	}
	if wantDrained := !s.takes && len(s.running) == 0; wantDrained != (st.DrainState == Drained) {
		t.Fatalf("drain state %q with %d running", st.DrainState, len(s.running))
	}
}

func (s *schedule) enter(t *rapid.T) {
	team := rapid.IntRange(0, 3).Draw(t, "team")
	deadline := s.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "deadline")) * time.Millisecond)
	s.waiting = append(s.waiting, s.servers.RequestSlot(s.now, ask(strconv.Itoa(team), 1+team*3, deadline)))
}

func (s *schedule) leave(t *rapid.T) {
	if len(s.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.running)-1).Draw(t, "running")
	k := s.running[i]
	s.running = append(s.running[:i], s.running[i+1:]...)
	outcome := rapid.SampledFrom([]Outcome{OK, OK, OK, OK, OK, OK, ErrorStatus, Truncated, Lost, Crash,
		Shed, ConnectFailed, Inconclusive}).Draw(t, "outcome")
	if outcome == OK {
		s.successes++
	}
	if rapid.IntRange(0, 30).Draw(t, "process") == 0 {
		s.instance++
		s.restart()
	}
	if outcome == ConnectFailed || outcome == Crash {
		s.restart()
	}
	sample := Sample{Outcome: outcome, Latency: time.Millisecond, Instance: strconv.Itoa(s.instance)}
	s.servers.ReleaseSlot(s.now, k, sample)
	s.servers.ReleaseSlot(s.now, k, sample) // A second call must not free another slot.
}

func (s *schedule) abandon(t *rapid.T) {
	if len(s.waiting) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.waiting)-1).Draw(t, "waiting")
	s.servers.Abandon(s.now, s.waiting[i])
	s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
}

func (s *schedule) verdict(t *rapid.T) {
	standing := rapid.SampledFrom([]HealthState{Normal, LowWeight, Ejected, Probing}).Draw(t, "standing")
	st, _ := s.servers.Status(s.now, testServer)
	if st.HealthState == Ejected && standing != Ejected {
		s.restart()
	}
	s.servers.ApplyHealthState(s.now, testServer, standing, time.Second)
}

func (s *schedule) advance(t *rapid.T) {
	before, _ := s.servers.Status(s.now, testServer)
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
	after, _ := s.servers.Status(s.now, testServer)
	if before.HealthState == Ejected && after.HealthState == Normal {
		s.restart()
	}
	s.servers.Expire(s.now)
}

// Guards against more running requests than the slots or the ramp allow, slots
// that are lost when waiters give up, and waiters left behind.
func TestRandomSchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		s := newSchedule(slots, rapid.IntRange(1, slots).Draw(t, "cold"))
		steps := []func(*rapid.T){s.enter, s.enter, s.enter, s.leave, s.leave, s.abandon, s.advance, s.verdict,
			func(t *rapid.T) { s.change(rapid.IntRange(0, 3).Draw(t, "takes") > 0) }}
		for n := rapid.IntRange(20, 200).Draw(t, "steps"); n > 0; n-- {
			rapid.SampledFrom(steps).Draw(t, "step")(t)
			s.settle(t)
		}
		for len(s.running) > 0 {
			s.leave(t)
			s.settle(t)
		}
		if len(s.waiting) > 0 {
			t.Fatalf("%d waiters were left behind", len(s.waiting))
		}
	})
}

// Guards against a team that gets more than its weight by asking more often.
// Start-time fair queueing bounds the difference of two backlogged teams'
// service per weight by one request of each.
func TestFairnessByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := NewServers(Options{Ramp: RampOptions{Disabled: true}, MaxQueue: 64, MaxQueuePerTeam: 16})
		servers.Configure(start, "loandesk", terms(3, 1), true)
		weights := rapid.SliceOfN(rapid.IntRange(1, 10), 2, 4).Draw(t, "weights")
		served := make([]int, len(weights))
		running := map[*Ticket]int{}
		pending := map[*Ticket]int{}
		refill := func(team, arrivals int) {
			for i := 0; i < arrivals; i++ {
				pending[servers.RequestSlot(start, ask(strconv.Itoa(team), weights[team], time.Time{}))] = team
			}
		}
		collect := func(count bool) {
			for k, team := range pending {
				select {
				case d := <-k.Decided():
					delete(pending, k)
					if d.Admitted {
						running[k] = team
						if count {
							served[team]++
						}
					}
				default:
				}
			}
		}
		for team := range weights {
			refill(team, 12)
		}
		collect(false) // The first slots go by arrival: nobody was waiting.
		for i := 0; i < 300; i++ {
			for k := range running {
				delete(running, k)
				servers.ReleaseSlot(start, k, Sample{Outcome: OK})
				break
			}
			for team := range weights {
				refill(team, 1+2*team) // Later teams ask more often.
			}
			collect(true)
		}
		for i, a := range weights {
			for j, b := range weights {
				gap := float64(served[i])/float64(a) - float64(served[j])/float64(b)
				if bound := 1/float64(a) + 1/float64(b) + 1e-9; gap > bound {
					t.Fatalf("weights %v got %v: gap %.3f over %.3f", weights, served, gap, bound)
				}
			}
		}
	})
}

// Guards against races between grants, cancellations and changes of terms, and
// against slots that stay taken after everyone has left.
func TestConcurrentWaiters(t *testing.T) {
	servers := NewServers(Options{Ramp: RampOptions{Disabled: true}, MaxQueue: 64, MaxQueuePerTeam: 64})
	servers.Configure(start, "loandesk", terms(3, 1), true)
	var running, most, admitted atomic.Int64
	one := func(g, i int) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		k := servers.RequestSlot(start, ask(strconv.Itoa(g%3), 1, time.Time{}))
		if i%4 == 0 {
			cancel()
		}
		if d := servers.Wait(ctx, k, func() time.Time { return start }); !d.Admitted {
			return
		}
		if n := running.Add(1); n > most.Load() {
			most.Store(n)
		}
		admitted.Add(1)
		running.Add(-1)
		servers.ReleaseSlot(start, k, Sample{Outcome: OK})
	}
	var wg conc.WaitGroup
	for g := 0; g < 16; g++ {
		wg.Go(func() {
			for i := 0; i < 200; i++ {
				one(g, i)
				if g == 0 {
					servers.Configure(start, "loandesk", terms(3, 1), i%5 != 0)
				}
			}
		})
	}
	wg.Wait()
	st, _ := servers.Status(start, testServer)
	if most.Load() > 3 || st.InFlight != 0 || st.Queued != 0 || admitted.Load() == 0 {
		t.Fatalf("at most %d ran, status %+v, %d admitted", most.Load(), st, admitted.Load())
	}
}

// Guards against loading a server that restarted between two requests: a lost
// response limits it to its cold slots until a response names the process.
func TestLostResponseLimitsUntilProcessIsKnown(t *testing.T) {
	servers := NewServers(DefaultOptions())
	servers.Configure(start, "loandesk", terms(3, 1), true)
	servers.servers.DoExisting(testServer, func(v *Server) { v.ramp.allowed, v.instance = 3, "a" })
	for _, c := range []struct {
		sample Sample
		want   int
	}{
		{Sample{Outcome: Lost}, 1},
		{Sample{Outcome: OK, Instance: "a"}, 3},
		{Sample{Outcome: Lost}, 1},
		{Sample{Outcome: OK, Instance: "b"}, 1},
	} {
		servers.ReleaseSlot(start, servers.RequestSlot(start, ask("t", 1, time.Time{})), c.sample)
		if st, _ := servers.Status(start, testServer); st.ConcurrencyLimit != c.want {
			t.Fatalf("after %+v %d slots, want %d", c.sample, st.ConcurrencyLimit, c.want)
		}
	}
}

// Guards against a ramp that does not protect a cold server. The server warms
// up by one slot for each 8 answered requests and 1 s; requests above that are
// overload. Without the ramp the same load overloads it.
func TestRampKeepsColdServerWithinCapacity(t *testing.T) {
	overload := map[bool]int{}
	for _, off := range []bool{false, true} {
		o := DefaultOptions()
		o.Ramp.Disabled = off
		servers := NewServers(o)
		servers.Configure(start, "loandesk", terms(3, 1), true)
		var running []*Ticket
		for step, answered := 0, 0; step < 100; step++ {
			now := start.Add(time.Duration(step) * 50 * time.Millisecond)
			for i := 0; i < 4; i++ {
				if k := servers.RequestSlot(now, ask("t", 1, now)); k.state == granted {
					running = append(running, k)
				}
				if k := servers.RequestSlot(now, ask("t", 1, now.Add(time.Millisecond))); k.state == granted {
					running = append(running, k)
				} else {
					servers.Abandon(now, k)
				}
			}
			capacity := 1 + min(2, answered/8, step/20)
			overload[off] += max(0, len(running)-capacity)
			for _, k := range running {
				servers.ReleaseSlot(now, k, Sample{Outcome: OK, Instance: "a"})
				answered++
			}
			running = running[:0]
		}
	}
	t.Logf("requests above a cold server's capacity in 5 s: %d with the ramp, %d without", overload[false], overload[true])
	if overload[false] != 0 || overload[true] == 0 {
		t.Fatalf("overload %v", overload)
	}
}

// Guards against states that change on their way to the entry VM, and against
// malformed bytes that stop it.
func TestStateEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var states []ServerState
		for i := rapid.IntRange(0, 5).Draw(t, "n"); i > 0; i-- {
			states = append(states, ServerState{
				Server:  contract.ServerID(rapid.String().Draw(t, "id")),
				Ejected: rapid.Bool().Draw(t, "ejected"), LowWeight: rapid.Bool().Draw(t, "low"), Probing: rapid.Bool().Draw(t, "probing"),
				Warm: rapid.Bool().Draw(t, "warm"), Load: float64(rapid.IntRange(0, 4000).Draw(t, "load")) / loadUnit,
			})
		}
		encoded := EncodeStates(states)
		decoded, err := DecodeStates(encoded)
		if err != nil || fmt.Sprint(decoded) != fmt.Sprint(states) {
			t.Fatalf("%v became %v (%v)", states, decoded, err)
		}
		cut := rapid.IntRange(0, len(encoded)).Draw(t, "cut")
		_, _ = DecodeStates(encoded[:cut])
		_, _ = DecodeStates(append([]byte{stateVersion}, rapid.SliceOf(rapid.Byte()).Draw(t, "noise")...))
	})
}
