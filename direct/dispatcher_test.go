package direct

import (
	"context"
	"sync"
	"testing"
	"time"

	"almondstile/catalog"
	"almondstile/contract"
	"almondstile/entry"
	"almondstile/fleet"
	"almondstile/logging"
	"almondstile/request"
	"almondstile/retry"
	"almondstile/tally"
	"almondstile/upstream"
	"almondstile/vm"
)

// source is a fixed view.
type source struct {
	view    catalog.View
	age     time.Duration
	servers bool
}

func (s *source) View() *catalog.View             { return &s.view }
func (s *source) Age(catalog.Table) time.Duration { return s.age }
func (s *source) Loaded(t catalog.Table) bool     { return t == catalog.OperatorTable || s.servers }

// servers is an Exchanger that answers from a script.
type servers struct {
	mu     sync.Mutex
	answer func(attempt int, server contract.ServerID) upstream.Exchange
	sentTo []contract.ServerID
	// deadlines are those that the requests were sent with.
	deadlines []time.Time
	refuses   bool
}

func (s *servers) Do(_ context.Context, server *contract.Server, req *request.Request) upstream.Exchange {
	s.mu.Lock()
	s.deadlines = append(s.deadlines, req.Deadline)
	s.sentTo = append(s.sentTo, server.ID)
	n := len(s.sentTo)
	s.mu.Unlock()
	return s.answer(n, server.ID)
}

func (s *servers) RefusesConnections(context.Context, *contract.Server) bool { return s.refuses }

type wholeFleet struct{}

func (wholeFleet) ConnectedShare(time.Time) float64  { return 1 }
func (wholeFleet) AllStartedRecently(time.Time) bool { return false }
func (wholeFleet) ConnectionTime(now time.Time) fleet.ConnectionTime {
	return fleet.ConnectionTime{Connected: time.Duration(now.UnixNano())}
}
func (wholeFleet) Size() int { return 1 }

type quiet struct{}

func (quiet) Finished(*request.Request, request.Result, int, time.Duration) {}
func (quiet) Count(string)                                                  {}

const key = "key-1"

func newSource(idempotence contract.Idempotence) *source {
	hash := contract.HashSecret(key)
	s := &source{servers: true}
	s.view.Index = contract.NewIndex(&contract.Configuration{
		Version:  1,
		Services: []contract.Service{{ID: "service-1", ColdRatePerSecond: 10}},
		Teams:    []contract.Team{{ID: "team-1"}},
		Keys:     []contract.Key{{ID: contract.KeyID(hash), Team: "team-1", SecretHash: hash}},
		Routes: []contract.Route{{ID: "route-1", PathPrefix: "/", Host: "h", Service: "service-1", AnyTeam: true,
			Idempotence: idempotence, TimeoutMillis: 1000, TargetLatencyMillis: 500, Attempts: 2}},
	})
	s.view.ByService = map[contract.ServiceID][]*catalog.Registration{}
	for _, id := range []contract.ServerID{"a", "b", "c"} {
		r := &catalog.Registration{Service: "service-1", Server: contract.Server{ID: id, Zone: "zone-a", Slots: 2}}
		s.view.ByService["service-1"] = append(s.view.ByService["service-1"], r)
	}
	return s
}

func newDispatcher(s *source, e Exchanger) *Dispatcher { return newDispatcherIn(wholeFleet{}, s, e) }

func newDispatcherIn(connected Fleet, s *source, e Exchanger) *Dispatcher {
	knowledge := NewReplicatedState(time.Now(), wholeFleet{}, retry.BudgetLimits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second})
	return NewDispatcher(Dependencies{
		Self: vm.VM{ID: "vm-1", Zone: "zone-a"}, Source: s, ReplicatedState: knowledge,
		Ledger: tally.NewLedger(time.Now(), "origin", knowledge, nil), Exchanger: e, Fleet: connected,
		Observer: quiet{}, Limits: Limits{MaxKeyDataAge: 4 * time.Second}, Log: logging.Discard().Part("request"),
		Clock: time.Now, BootTime: func() time.Duration { return time.Hour },
	})
}

func send(d *Dispatcher) request.Result {
	_, result := d.Do(context.Background(), entry.IncomingRequest{Method: "POST", Host: "h", Path: "/x", Target: "/x",
		Credential: contract.HashSecret(key) + "." + key, ReceivedAt: time.Now(), Body: []byte("b")})
	return result
}

var (
	good  = upstream.Exchange{Result: request.Result{Outcome: request.Answered, Status: 200}}
	fails = upstream.Exchange{Result: request.Result{Outcome: request.Answered, Status: 500}}
	lost  = upstream.Exchange{Result: request.UnknownResult(request.ReasonLostResponse), ClosedWithoutResponse: true}
	shed  = upstream.Exchange{Result: request.Rejected(request.ReasonShed)}
	dark  = upstream.Exchange{Result: request.Rejected(request.ReasonConnectFailed), ConnectFailed: true}
)

// Guards against a second run of a request that may run once, and against giving
// up a request that another server may take.
func TestWhatFollowsAnAttempt(t *testing.T) {
	for _, c := range []struct {
		name        string
		idempotence contract.Idempotence
		first       upstream.Exchange
		sends       int
		outcome     request.Outcome
		status      int
	}{
		{"success", contract.NotIdempotent, good, 1, request.Answered, 200},
		{"failure once", contract.NotIdempotent, fails, 1, request.Answered, 500},
		{"lost once", contract.NotIdempotent, lost, 1, request.Unknown, 0},
		{"shed, then success", contract.NotIdempotent, shed, 2, request.Answered, 200},
		{"dark, then success", contract.NotIdempotent, dark, 2, request.Answered, 200},
		{"failure, then success", contract.Idempotent, fails, 2, request.Answered, 200},
		{"lost, then success", contract.Idempotent, lost, 2, request.Answered, 200},
	} {
		e := &servers{answer: func(n int, _ contract.ServerID) upstream.Exchange {
			if n == 1 {
				return c.first
			}
			return good
		}}
		result := send(newDispatcher(newSource(c.idempotence), e))
		if len(e.sentTo) != c.sends || result.Outcome != c.outcome || result.Status != c.status {
			t.Errorf("%s: sent %d times, result %+v", c.name, len(e.sentTo), result)
		}
		if len(e.sentTo) == 2 && e.sentTo[0] == e.sentTo[1] {
			t.Errorf("%s: sent twice to the server that failed", c.name)
		}
	}
}

// Guards against "not run" for a request of which one attempt may have run, and
// against more attempts than the route allows.
func TestFailuresAreToldAsTheyAre(t *testing.T) {
	e := &servers{answer: func(n int, _ contract.ServerID) upstream.Exchange {
		if n == 1 {
			return lost
		}
		return shed
	}}
	if result := send(newDispatcher(newSource(contract.Idempotent), e)); result.Outcome != request.Unknown {
		t.Errorf("after a lost and a shed attempt: %+v", result)
	}
	e = &servers{answer: func(int, contract.ServerID) upstream.Exchange { return fails }}
	if result := send(newDispatcher(newSource(contract.Idempotent), e)); len(e.sentTo) != 2 || result.Status != 500 {
		t.Errorf("sent %d times with 2 attempts allowed, result %+v", len(e.sentTo), result)
	}
	e = &servers{answer: func(int, contract.ServerID) upstream.Exchange { return shed }}
	result := send(newDispatcher(newSource(contract.NotIdempotent), e))
	if result.Outcome != request.NotRun || result.RetryAfter <= 0 || len(e.sentTo) != maxSends {
		t.Errorf("all shed: sent %d times, %+v", len(e.sentTo), result)
	}
}

// Guards against a key counting at a VM whose word from the store is too old:
// it may have been withdrawn.
func TestOldKnowledgeRejectsKeys(t *testing.T) {
	s := newSource(contract.NotIdempotent)
	s.age = 5 * time.Second
	e := &servers{answer: func(int, contract.ServerID) upstream.Exchange { return good }}
	d := newDispatcher(s, e)
	if result := send(d); result.Outcome != request.NotRun || len(e.sentTo) != 0 {
		t.Errorf("got %+v after %d sends", result, len(e.sentTo))
	}
	if ready, _ := d.Ready(); ready {
		t.Error("the VM counts as ready")
	}
}

// Guards against a VM that says it is ready before it knows any server: it
// rejected the first requests after its start.
func TestNotReadyWithoutServers(t *testing.T) {
	s := newSource(contract.NotIdempotent)
	s.servers = false
	d := newDispatcher(s, &servers{})
	if ready, _ := d.Ready(); ready {
		t.Error("the VM counts as ready without a copy of the servers")
	}
	s.servers = true
	if ready, reason := d.Ready(); !ready {
		t.Errorf("the VM is not ready: %s", reason)
	}
}

// Guards against a request that brings down every server that runs it: after
// the second crash it is refused, and other requests are not.
func TestRequestsThatCrashServersAreRefused(t *testing.T) {
	e := &servers{refuses: true, answer: func(int, contract.ServerID) upstream.Exchange { return lost }}
	d := newDispatcher(newSource(contract.NotIdempotent), e)
	for range quarantineCrashes {
		send(d)
		d.Close() // waits for the look at the server
	}
	if result := send(d); result.Outcome != request.NotRun || result.Reason != request.ReasonQuarantined {
		t.Errorf("after %d crashes: %+v", quarantineCrashes, result)
	}
	if len(e.sentTo) != quarantineCrashes {
		t.Errorf("sent %d times", len(e.sentTo))
	}
}

// fifthOfFleet is the standing of a VM that is cut off with a fifth of the others.
type fifthOfFleet struct{ wholeFleet }

func (fifthOfFleet) ConnectedShare(time.Time) float64 { return 0.2 }

// Guards against groups of VMs that are cut off from each other and each repeat as
// if they had the whole budget of a service.
func TestRepeatsOfACutOffVMKeepToItsPart(t *testing.T) {
	const requests = 100
	repeats := func(connected Fleet) int {
		e := &servers{answer: func(int, contract.ServerID) upstream.Exchange { return fails }}
		d := newDispatcherIn(connected, newSource(contract.Idempotent), e)
		for range requests {
			send(d)
		}
		return len(e.sentTo) - requests
	}
	whole, part := repeats(wholeFleet{}), repeats(fifthOfFleet{})
	// The ratio of 0.2 counts what each VM sends itself, the slack of 50 is shared.
	if most := 0.2*requests + 0.2*50; float64(part) > most || part >= whole {
		t.Errorf("%d repeats with a fifth of the fleet, at most %.0f, and %d with all", part, most, whole)
	}
}

// Guards against servers that are told more time than is left: the deadline is the
// caller's or the route's time limit, whichever ends first, and a second attempt
// has the same one.
func TestDeadlineIsTheEarlierOfCallerAndRoute(t *testing.T) {
	const routeLimit = time.Second
	for patience, want := range map[time.Duration]time.Duration{
		0: routeLimit, 300 * time.Millisecond: 300 * time.Millisecond, time.Minute: routeLimit,
	} {
		e := &servers{answer: func(n int, _ contract.ServerID) upstream.Exchange {
			if n == 1 {
				return fails
			}
			return good
		}}
		arrived := time.Now()
		d := newDispatcher(newSource(contract.Idempotent), e)
		_, result := d.Do(context.Background(), entry.IncomingRequest{Method: "POST", Host: "h", Path: "/x", Target: "/x",
			Credential: contract.HashSecret(key) + "." + key, ReceivedAt: arrived, CallerTimeout: patience, Body: []byte("b")})
		if result.Status != 200 || len(e.deadlines) != 2 {
			t.Fatalf("patience %s: sent %d times, result %+v", patience, len(e.deadlines), result)
		}
		for _, got := range e.deadlines {
			if !got.Equal(arrived.Add(want)) {
				t.Errorf("patience %s: sent with %s left, want %s", patience, got.Sub(arrived), want)
			}
		}
	}
}
