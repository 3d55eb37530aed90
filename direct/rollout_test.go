package direct

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"almondstile/catalog"
	"almondstile/contract"
	"almondstile/history"
	"almondstile/request"
	"almondstile/rollout"
	"almondstile/rollout/replica"
	"almondstile/tally"
	"almondstile/upstream"
	"almondstile/vm"
)

// rolloutOrder is an order for the service of newSource, whose server "c" has its target.
var rolloutOrder = rollout.Order{Service: "service-1", Target: "v2", Duration: 20 * time.Second, Row: history.Position{Version: 7}}

// newRolloutDispatcher returns a dispatcher of a deployment with roll-outs and an order.
// Its servers answer every request.
func newRolloutDispatcher(t *testing.T, ordered bool) (*Dispatcher, *source, *fakeServers) {
	t.Helper()
	s := newSource(contract.Idempotent)
	for _, r := range s.view.ByService["service-1"] {
		r.Version = "v1"
		if r.Server.ID == "c" {
			r.Version = "v2"
		}
	}
	servers := &fakeServers{respond: func(int, contract.ServerID) upstream.Exchange {
		return upstream.Exchange{Result: request.Result{Outcome: request.Answered, Status: 200}}
	}}
	d := newDispatcher(s, servers)
	d.deps.ReplicatedState.Rollouts = replica.New(vm.VM{ID: "vm-1"}, rollout.Bounds{ExposedShare: 0.1, ExposedSlack: 50}, time.Second)
	if ordered {
		s.view.Rollouts = map[contract.ServiceID]*rollout.Order{"service-1": &rolloutOrder}
		syncRollouts(d, s)
	}
	return d, s, servers
}

// syncRollouts lets the replica take over the view.
func syncRollouts(d *Dispatcher, s *source) {
	state := replica.ServiceState{Service: "service-1", Order: s.view.Rollouts["service-1"], Stored: s.view.RolloutStates["service-1"], Servers: map[rollout.Version]int{}}
	for _, r := range s.view.ByService["service-1"] {
		state.Servers[r.Version]++
	}
	d.deps.ReplicatedState.Rollouts.Sync(time.Now().Add(-10*time.Second), replica.Copies{StatesKnown: true, Orders: history.Position{Version: 100}, Services: []replica.ServiceState{state}})
	d.deps.ReplicatedState.Rollouts.Refresh(time.Now())
}

// sentTo sends requests and returns how many of them each server got.
func sentTo(t *testing.T, d *Dispatcher, servers *fakeServers) map[contract.ServerID]int {
	t.Helper()
	servers.sentTo = nil
	for range 60 {
		if result := send(d); result.Outcome != request.Answered {
			t.Fatalf("a request got %+v", result)
		}
	}
	count := make(map[contract.ServerID]int)
	for _, id := range servers.sentTo {
		count[id]++
	}
	return count
}

// Guards against requests that a roll-out keeps from servers that may have them, and that
// go to servers that may not: by an order, a verdict of another VM and a stored status.
func TestRolloutSelectsServers(t *testing.T) {
	for _, c := range []struct {
		name     string
		prepare  func(*Dispatcher, *source)
		old, new bool
	}{
		{"nothing decided", func(*Dispatcher, *source) {}, true, false},
		{"another VM completes", func(d *Dispatcher, _ *source) { announceToReplica(d, tally.Completions) }, false, true},
		{"another VM rolls back", func(d *Dispatcher, _ *source) { announceToReplica(d, tally.RollBacks) }, true, false},
		{"completed", func(d *Dispatcher, s *source) { store(d, s, rollout.Completed) }, false, true},
		{"rolled back", func(d *Dispatcher, s *source) { store(d, s, rollout.RolledBack) }, true, false},
		{"old servers drain", func(d *Dispatcher, s *source) {
			store(d, s, rollout.Completed)
			s.view.ByService["service-1"][0].Draining = true
		}, false, true},
		{"withdrawn without old servers", func(d *Dispatcher, s *source) {
			store(d, s, rollout.RolledBack)
			s.view.Rollouts, s.view.ByService["service-1"] = nil, s.view.ByService["service-1"][2:]
			syncRollouts(d, s)
		}, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, s, servers := newRolloutDispatcher(t, true)
			c.prepare(d, s)
			count := sentTo(t, d, servers)
			if (count["a"]+count["b"] > 0) != c.old || (count["c"] > 0) != c.new {
				t.Errorf("the servers got %v requests; old servers may get any: %v, the new one: %v", count, c.old, c.new)
			}
		})
	}
}

// Guards against a request that goes to a new server although none may have it, and is
// not rejected as not run.
func TestRolledBackVersionAloneGetsNothing(t *testing.T) {
	d, s, servers := newRolloutDispatcher(t, true)
	store(d, s, rollout.RolledBack)
	s.view.ByService["service-1"] = s.view.ByService["service-1"][2:]
	if result := send(d); result.Outcome != request.NotRun || len(servers.sentTo) > 0 {
		t.Errorf("the request got %+v and was sent to %v", result, servers.sentTo)
	}
}

// Guards against an order that needs the next round of the roll-outs to be followed.
func TestOrderInTheViewIsFollowedAtOnce(t *testing.T) {
	d, s, servers := newRolloutDispatcher(t, false)
	syncRollouts(d, s)
	if count := sentTo(t, d, servers); count["c"] == 0 {
		t.Errorf("without an order the servers got %v requests", count)
	}
	s.view.Rollouts = map[contract.ServiceID]*rollout.Order{"service-1": &rolloutOrder}
	if count := sentTo(t, d, servers); count["c"] > 0 {
		t.Errorf("with an order the servers got %v requests", count)
	}
}

// Guards against a repeat that goes to a server that has failed the request, although one
// of a version that is held because no order is known yet could have it.
func TestHeldVersionGetsRepeats(t *testing.T) {
	d, s, servers := newRolloutDispatcher(t, false)
	all := s.view.ByService["service-1"]
	s.view.ByService["service-1"] = all[:1]
	syncRollouts(d, s)
	s.view.ByService["service-1"] = []*catalog.Registration{all[0], all[2]}
	rollouts := d.deps.ReplicatedState.Rollouts
	rollouts.Sync(time.Now(), replica.Copies{Services: []replica.ServiceState{{Service: "service-1", Servers: map[rollout.Version]int{"v1": 1, "v2": 1}}}})
	servers.respond = func(_ int, id contract.ServerID) upstream.Exchange {
		if id == "c" {
			return upstream.Exchange{Result: request.Result{Outcome: request.Answered, Status: 200}}
		}
		return upstream.Exchange{Result: request.Rejected(request.ReasonConnectFailed), ConnectFailed: true}
	}
	if result := send(d); result.Status != 200 || servers.sentTo[0] != "a" {
		t.Errorf("got %+v from servers %v, want a response of the held version after the other failed", result, servers.sentTo)
	}
}

// announceToReplica applies an announcement of another VM.
func announceToReplica(d *Dispatcher, f tally.Field) {
	var c tally.Counts
	c[f] = 1
	d.deps.ReplicatedState.Observe(time.Now(), replica.OrderSubject(&rolloutOrder), c, false)
}

// store lets the store have a status of the order.
func store(d *Dispatcher, s *source, status rollout.Status) {
	s.view.RolloutStates = map[contract.ServiceID]*rollout.State{"service-1": {Service: "service-1", OrderVersion: rolloutOrder.Row.Version,
		Target: rolloutOrder.Target, Status: status, Replaced: []rollout.Version{"v1"}, Row: history.Position{Version: 9}}}
	syncRollouts(d, s)
}

// Guards against evidence from attempts that say nothing about a version: of a server that
// was not reached or is full, or whose caller left.
func TestOnlyResponsesAreEvidence(t *testing.T) {
	answered := func(status int) upstream.Exchange {
		return upstream.Exchange{Result: request.Result{Outcome: request.Answered, Status: status}, Latency: 100 * time.Millisecond}
	}
	for name, c := range map[string]struct {
		exchange upstream.Exchange
		hedged   bool
		class    rollout.Class
		counts   bool
	}{
		"success":     {answered(200), false, rollout.SuccessClass(100 * time.Millisecond), true},
		"error":       {answered(500), false, rollout.FailureClass(100 * time.Millisecond), true},
		"no response": {upstream.Exchange{Result: request.UnknownResult(request.ReasonDeadline)}, false, rollout.FailureClass(0), true},
		"caller left": {upstream.Exchange{Result: request.UnknownResult(request.ReasonCanceled)}, false, 0, false},
		"hedged": {upstream.Exchange{Result: request.UnknownResult(request.ReasonCanceled), Latency: 400 * time.Millisecond}, true,
			rollout.SuccessClass(400 * time.Millisecond), true},
		"shed":        {upstream.Exchange{Result: request.Rejected(request.ReasonShed)}, false, 0, false},
		"not reached": {upstream.Exchange{Result: request.Rejected(request.ReasonConnectFailed), ConnectFailed: true}, false, 0, false},
	} {
		if class, counts := responseClass(c.exchange, c.hedged); class != c.class || counts != c.counts {
			t.Errorf("%s: class %d, counts %v, want %d, %v", name, class, counts, c.class, c.counts)
		}
	}
}

// Guards against draining and leaving servers that count as able to take requests.
func TestRolloutServersMayGetRequests(t *testing.T) {
	d, s, _ := newRolloutDispatcher(t, true)
	s.view.ByService["service-1"][0].Draining = true
	servers := d.RolloutServers(time.Now(), rolloutOrder)
	if servers.OldServers != 1 || servers.OldSlots != 2 || len(servers.Targets) != 1 || servers.Targets[0].Slots != 2 {
		t.Errorf("servers %+v, want one of each version with 2 slots", servers)
	}
	s.view.ByService["service-1"][2] = &catalog.Registration{Service: "service-1", Version: "v2", Server: contract.Server{ID: "c"}, ColdUntil: 2 * time.Hour}
	if targets := d.RolloutServers(time.Now(), rolloutOrder).Targets; len(targets) != 1 || !targets[0].Cold || targets[0].RampPerSecond != 10 {
		t.Errorf("targets %+v, want a cold one at 10 requests a second", targets)
	}
}

// slowUntilCanceled answers at once, but for the first request that it gets, which it keeps
// until it is canceled.
type slowUntilCanceled struct{ requests atomic.Int32 }

func (s *slowUntilCanceled) Do(ctx context.Context, _ *contract.Server, _ *request.Request) upstream.Exchange {
	if s.requests.Add(1) > 1 {
		return upstream.Exchange{Result: request.Result{Outcome: request.Answered, Status: 200}}
	}
	started := time.Now()
	<-ctx.Done()
	return upstream.Exchange{Result: request.UnknownResult(request.ReasonCanceled), Latency: time.Since(started)}
}

func (s *slowUntilCanceled) RefusesConnections(context.Context, *contract.Server) bool { return false }

// Guards against a version that is several times slower and is not found to be, because
// its slow attempts are hedged and canceled.
func TestHedgedAttemptIsEvidence(t *testing.T) {
	d, s, _ := newRolloutDispatcher(t, true)
	d.deps.Exchanger = &slowUntilCanceled{}
	rollouts := d.deps.ReplicatedState.Rollouts
	servers := replica.Servers{Targets: []rollout.TargetServer{{Key: "c", Slots: 2}}, OldServers: 2, OldSlots: 4}
	decide := func(now time.Time) replica.Step {
		step, _ := rollouts.Decide(now, *s.view.Rollouts["service-1"], replica.Fleet{ConnectedShare: 1, ConnectedVMs: 1}, servers)
		return step
	}
	decide(time.Now())
	if result := send(d); result.Status != 200 {
		t.Fatalf("got %+v", result)
	}
	if f := decide(time.Now().Add(time.Second)).Decision.Figures; f.OldResponses+f.Responses != 2 {
		t.Errorf("%v responses are evidence, want those of the attempt that was hedged and of the hedge", f.OldResponses+f.Responses)
	}
}

// Guards against a copy of all servers for each request of a deployment with roll-outs
// while none is under way.
func TestPreferenceWithoutARolloutDoesNotAllocate(t *testing.T) {
	d, s, _ := newRolloutDispatcher(t, false)
	syncRollouts(d, s)
	rule := d.rolloutRule(time.Now(), &s.view, "service-1", nil)
	var available []selection
	for _, r := range s.view.ByService["service-1"] {
		available = append(available, selection{server: r})
	}
	if n := testing.AllocsPerRun(100, func() { preferredByRollout(&rule, available, nil) }); n > 0 {
		t.Errorf("%g allocations", n)
	}
}
