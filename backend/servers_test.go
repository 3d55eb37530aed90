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

// serverConfig returns the configuration of the test server.
func serverConfig(slots, cold int) contract.Server {
	return contract.Server{ID: testServer, Address: "127.0.0.1:9000", Slots: slots, ColdSlots: cold, MaxConnections: 330}
}

// slotRequest returns a request to the test server; a zero deadline never passes.
func slotRequest(team string, weight int, deadline time.Time) *request.Request {
	return &request.Request{Server: testServer, Team: contract.TeamID(team), Weight: weight, Deadline: deadline}
}

// model applies random events to one server. It keeps its own count of running and
// waiting requests, and computes independently how many requests a cold server may
// run.
type model struct {
	servers            *Servers
	now                time.Time
	config             contract.Server
	acceptsNewRequests bool
	running            []*Ticket
	waiting            []*Ticket
	instance           int
	// coldSince and successes are the time of the last restart of the ramp and the
	// successes since then.
	coldSince time.Time
	successes int
}

func newModel(slots, cold int) *model {
	m := &model{servers: NewServers(DefaultOptions()), now: start, config: serverConfig(slots, cold)}
	m.configure(true)
	return m
}

// configure applies the configuration; a server that returns to service starts cold.
func (m *model) configure(acceptsNewRequests bool) {
	if acceptsNewRequests && !m.acceptsNewRequests {
		m.restartRamp()
	}
	m.acceptsNewRequests = acceptsNewRequests
	m.servers.Configure(m.now, "loandesk", m.config, acceptsNewRequests)
}

func (m *model) restartRamp() { m.coldSince, m.successes = m.now, 0 }

// readDecisions reads the decisions that were made since the last call. It checks
// the limits if a slot was granted, and the counts in any case.
func (m *model) readDecisions(t *rapid.T) {
	undecided := m.waiting[:0]
	grants := 0
	for _, ticket := range m.waiting {
		select {
		case d := <-ticket.Decided():
			if d.Admitted {
				m.running = append(m.running, ticket)
				grants++
			} else if d.Reason == request.ReasonNone {
				t.Fatal("a request was rejected without a reason")
			}
		default:
			undecided = append(undecided, ticket)
		}
	}
	m.waiting = undecided
	if grants > 0 {
		m.checkLimits(t)
	}
	m.checkCounts(t)
}

// checkLimits checks that the running requests are within the slots and the ramp, and
// that the server may run requests at all.
func (m *model) checkLimits(t *rapid.T) {
	o := m.servers.options.Ramp
	byTime := m.config.ColdSlots + int(m.now.Sub(m.coldSince)/o.MinStepInterval)
	bySuccess := m.config.ColdSlots + m.successes/o.SuccessesPerStep
	if n, limit := len(m.running), min(m.config.Slots, byTime, bySuccess); n > limit {
		t.Fatalf("%d requests run after a grant, want at most %d (slots %d, limit by time %d, by successes %d)",
			n, limit, m.config.Slots, byTime, bySuccess)
	}
	if st, _ := m.servers.Status(m.now, testServer); !m.acceptsNewRequests || st.HealthState == Ejected {
		t.Fatal("a slot was granted while the server accepts no new requests or is ejected")
	}
}

// checkCounts compares the server's status with the model.
func (m *model) checkCounts(t *rapid.T) {
	st, _ := m.servers.Status(m.now, testServer)
	if st.InFlight != len(m.running) || st.Queued != len(m.waiting) {
		t.Fatalf("the record has %d running and %d waiting requests, want %d and %d",
			st.InFlight, st.Queued, len(m.running), len(m.waiting))
	}
	if st.Queued > 0 && st.InFlight < st.ConcurrencyLimit {
		t.Fatalf("unused slot: %d requests wait while %d of at most %d run", st.Queued, st.InFlight, st.ConcurrencyLimit)
	}
	if wantDrained := !m.acceptsNewRequests && len(m.running) == 0; wantDrained != (st.DrainState == Drained) {
		t.Fatalf("drain state %q with %d running requests", st.DrainState, len(m.running))
	}
}

func (m *model) requestSlot(t *rapid.T) {
	team := rapid.IntRange(0, 3).Draw(t, "team")
	deadline := m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "deadline")) * time.Millisecond)
	m.waiting = append(m.waiting, m.servers.RequestSlot(m.now, slotRequest(strconv.Itoa(team), 1+team*3, deadline)))
}

func (m *model) releaseSlot(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "running")
	ticket := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	outcome := rapid.SampledFrom([]Outcome{OK, OK, OK, OK, OK, OK, ErrorStatus, Truncated, Lost, Crash,
		Shed, ConnectFailed, Inconclusive}).Draw(t, "outcome")
	if outcome == OK {
		m.successes++
	}
	if rapid.IntRange(0, 30).Draw(t, "process") == 0 {
		m.instance++
		m.restartRamp()
	}
	if outcome == ConnectFailed || outcome == Crash {
		m.restartRamp()
	}
	sample := Sample{Outcome: outcome, Latency: time.Millisecond, Instance: strconv.Itoa(m.instance)}
	m.servers.ReleaseSlot(m.now, ticket, sample)
	m.servers.ReleaseSlot(m.now, ticket, sample) // A second call must not free another slot.
}

func (m *model) abandon(t *rapid.T) {
	if len(m.waiting) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.waiting)-1).Draw(t, "waiting")
	m.servers.Abandon(m.now, m.waiting[i])
	m.waiting = append(m.waiting[:i], m.waiting[i+1:]...)
}

func (m *model) applyHealthState(t *rapid.T) {
	state := rapid.SampledFrom([]HealthState{Normal, LowWeight, Ejected, Probing}).Draw(t, "health state")
	st, _ := m.servers.Status(m.now, testServer)
	if st.HealthState == Ejected && state != Ejected {
		m.restartRamp()
	}
	m.servers.ApplyHealthState(m.now, testServer, state, time.Second)
}

func (m *model) advance(t *rapid.T) {
	before, _ := m.servers.Status(m.now, testServer)
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
	after, _ := m.servers.Status(m.now, testServer)
	if before.HealthState == Ejected && after.HealthState == Normal {
		m.restartRamp()
	}
	m.servers.Expire(m.now)
}

// Guards against more running requests than the slots or the ramp permit, slots
// that stay taken when a waiter is abandoned, and waiters that never get a
// decision. Random events are applied to one server and compared with a model.
func TestRandomEvents(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		m := newModel(slots, rapid.IntRange(1, slots).Draw(t, "cold"))
		steps := []func(*rapid.T){m.requestSlot, m.requestSlot, m.requestSlot, m.releaseSlot, m.releaseSlot, m.abandon, m.advance, m.applyHealthState,
			func(t *rapid.T) { m.configure(rapid.IntRange(0, 3).Draw(t, "accepts") > 0) }}
		for n := rapid.IntRange(20, 200).Draw(t, "steps"); n > 0; n-- {
			rapid.SampledFrom(steps).Draw(t, "step")(t)
			m.readDecisions(t)
		}
		for len(m.running) > 0 {
			m.releaseSlot(t)
			m.readDecisions(t)
		}
		if len(m.waiting) > 0 {
			t.Fatalf("%d waiters got no decision", len(m.waiting))
		}
	})
}

// Guards against a team that gets more than the share of its weight by sending more
// requests. With start-time fair queueing, the numbers of admitted requests per
// weight of two backlogged teams differ by at most one request of each team.
func TestFairnessByWeight(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		servers := NewServers(Options{Ramp: RampOptions{Disabled: true}, MaxQueue: 64, MaxQueuePerTeam: 16})
		servers.Configure(start, "loandesk", serverConfig(3, 1), true)
		weights := rapid.SliceOfN(rapid.IntRange(1, 10), 2, 4).Draw(t, "weights")
		served := make([]int, len(weights))
		running := map[*Ticket]int{}
		pending := map[*Ticket]int{}
		addRequests := func(team, arrivals int) {
			for i := 0; i < arrivals; i++ {
				pending[servers.RequestSlot(start, slotRequest(strconv.Itoa(team), weights[team], time.Time{}))] = team
			}
		}
		readDecisions := func(count bool) {
			for ticket, team := range pending {
				select {
				case d := <-ticket.Decided():
					delete(pending, ticket)
					if d.Admitted {
						running[ticket] = team
						if count {
							served[team]++
						}
					}
				default:
				}
			}
		}
		for team := range weights {
			addRequests(team, 12)
		}
		readDecisions(false) // Not counted: the first slots were free, so they went to the first requests.
		for i := 0; i < 300; i++ {
			for ticket := range running {
				delete(running, ticket)
				servers.ReleaseSlot(start, ticket, Sample{Outcome: OK})
				break
			}
			for team := range weights {
				addRequests(team, 1+2*team) // Teams with a higher number send more requests.
			}
			readDecisions(true)
		}
		for i, a := range weights {
			for j, b := range weights {
				difference := float64(served[i])/float64(a) - float64(served[j])/float64(b)
				if bound := 1/float64(a) + 1/float64(b) + 1e-9; difference > bound {
					t.Fatalf("weights %v: admitted %v: difference per weight %.3f, want at most %.3f", weights, served, difference, bound)
				}
			}
		}
	})
}

// Guards against races between grants, cancellations and configuration changes, and
// against slots that stay taken after all requests have ended. 16 goroutines request
// slots at the same time, and every fourth request is canceled.
func TestConcurrentWaiters(t *testing.T) {
	t.Parallel()
	servers := NewServers(Options{Ramp: RampOptions{Disabled: true}, MaxQueue: 64, MaxQueuePerTeam: 64})
	servers.Configure(start, "loandesk", serverConfig(3, 1), true)
	var running, maxRunning, admitted atomic.Int64
	runOne := func(worker, i int) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		ticket := servers.RequestSlot(start, slotRequest(strconv.Itoa(worker%3), 1, time.Time{}))
		if i%4 == 0 {
			cancel()
		}
		if d := servers.Wait(ctx, ticket, func() time.Time { return start }); !d.Admitted {
			return
		}
		if n := running.Add(1); n > maxRunning.Load() {
			maxRunning.Store(n)
		}
		admitted.Add(1)
		running.Add(-1)
		servers.ReleaseSlot(start, ticket, Sample{Outcome: OK})
	}
	var wg conc.WaitGroup
	for worker := 0; worker < 16; worker++ {
		wg.Go(func() {
			for i := 0; i < 200; i++ {
				runOne(worker, i)
				if worker == 0 {
					servers.Configure(start, "loandesk", serverConfig(3, 1), i%5 != 0)
				}
			}
		})
	}
	wg.Wait()
	st, _ := servers.Status(start, testServer)
	if maxRunning.Load() > 3 || st.InFlight != 0 || st.Queued != 0 || admitted.Load() == 0 {
		t.Fatalf("at most %d requests ran at a time, want at most 3; status %+v; %d admitted", maxRunning.Load(), st, admitted.Load())
	}
}

// Guards against overloading a server that restarted cold between two requests: a
// lost response must limit it to its cold slots until a response identifies its
// process.
func TestLostResponseLimitsUntilProcessIsKnown(t *testing.T) {
	t.Parallel()
	servers := NewServers(DefaultOptions())
	servers.Configure(start, "loandesk", serverConfig(3, 1), true)
	servers.servers.DoExisting(testServer, func(v *Server) { v.ramp.limit, v.instance = 3, "a" })
	for _, c := range []struct {
		sample Sample
		want   int
	}{
		{Sample{Outcome: Lost}, 1},
		{Sample{Outcome: OK, Instance: "a"}, 3},
		{Sample{Outcome: Lost}, 1},
		{Sample{Outcome: OK, Instance: "b"}, 1},
	} {
		servers.ReleaseSlot(start, servers.RequestSlot(start, slotRequest("t", 1, time.Time{})), c.sample)
		if st, _ := servers.Status(start, testServer); st.ConcurrencyLimit != c.want {
			t.Fatalf("after sample %+v: concurrency limit %d, want %d", c.sample, st.ConcurrencyLimit, c.want)
		}
	}
}

// Guards against a ramp that does not protect a cold server. The simulated server's
// capacity grows by one slot for each 8 responses and 1 s, and requests above the
// capacity are overload. The same load must overload the server without the ramp.
func TestRampKeepsColdServerWithinCapacity(t *testing.T) {
	t.Parallel()
	overload := map[bool]int{}
	for _, disabled := range []bool{false, true} {
		o := DefaultOptions()
		o.Ramp.Disabled = disabled
		servers := NewServers(o)
		servers.Configure(start, "loandesk", serverConfig(3, 1), true)
		var running []*Ticket
		for step, successes := 0, 0; step < 100; step++ {
			now := start.Add(time.Duration(step) * 50 * time.Millisecond)
			for i := 0; i < 4; i++ {
				if ticket := servers.RequestSlot(now, slotRequest("t", 1, now)); ticket.state == granted {
					running = append(running, ticket)
				}
				if ticket := servers.RequestSlot(now, slotRequest("t", 1, now.Add(time.Millisecond))); ticket.state == granted {
					running = append(running, ticket)
				} else {
					servers.Abandon(now, ticket)
				}
			}
			capacity := 1 + min(2, successes/8, step/20)
			overload[disabled] += max(0, len(running)-capacity)
			for _, ticket := range running {
				servers.ReleaseSlot(now, ticket, Sample{Outcome: OK, Instance: "a"})
				successes++
			}
			running = running[:0]
		}
	}
	t.Logf("requests above a cold server's capacity in 5 s: %d with the ramp, %d without", overload[false], overload[true])
	if overload[false] != 0 || overload[true] == 0 {
		t.Fatalf("requests above capacity by ramp disabled: %v; want none with the ramp and some without", overload)
	}
}

// Guards against server states that are changed by encoding and decoding, and
// against malformed bytes that make the entry VM panic.
func TestStateEncoding(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var states []ServerState
		for i := rapid.IntRange(0, 5).Draw(t, "n"); i > 0; i-- {
			states = append(states, ServerState{
				Server:  contract.ServerID(rapid.String().Draw(t, "id")),
				Ejected: rapid.Bool().Draw(t, "ejected"), LowWeight: rapid.Bool().Draw(t, "low"), Probing: rapid.Bool().Draw(t, "probing"),
				Warm: rapid.Bool().Draw(t, "warm"), Load: float64(rapid.IntRange(0, 4000).Draw(t, "load")) / loadScale,
			})
		}
		encoded := EncodeStates(states)
		decoded, err := DecodeStates(encoded)
		if err != nil || fmt.Sprint(decoded) != fmt.Sprint(states) {
			t.Fatalf("encoded %v, decoded %v, error %v", states, decoded, err)
		}
		length := rapid.IntRange(0, len(encoded)).Draw(t, "length")
		_, _ = DecodeStates(encoded[:length])
		_, _ = DecodeStates(append([]byte{stateVersion}, rapid.SliceOf(rapid.Byte()).Draw(t, "noise")...))
	})
}
