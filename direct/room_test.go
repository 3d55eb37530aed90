package direct

import (
	"context"
	"testing"
	"time"

	"almondstile/catalog"
	"almondstile/contract"
	"almondstile/entry"
	"almondstile/evidence"
	"almondstile/request"
	"almondstile/tally"
	"almondstile/upstream"

	"github.com/sourcegraph/conc"
)

// newRankedSource returns a source with a route of rank 0, and one of rank 1 with the path
// /later/, both to the same service.
func newRankedSource() *source {
	s := newSource(contract.NotIdempotent)
	config := *s.view.Index.Configuration()
	later := config.Routes[0]
	later.ID, later.PathPrefix, later.Rank, later.TimeoutMillis, later.TargetLatencyMillis = "later", "/later/", 1, 5000, 5000
	config.Routes = append(config.Routes, later)
	s.view.Index = contract.NewIndex(&config)
	return s
}

// newLoadedDispatcher returns a dispatcher whose service has the given requests in flight for
// each of its 6 slots, and gets the given requests a second. Requests take 400 ms.
func newLoadedDispatcher(s *source, e Exchanger, load, perSecond float64) *Dispatcher {
	d := newDispatcher(s, e)
	now, state := time.Now(), d.deps.ReplicatedState
	for _, route := range []contract.RouteID{"route-1", "later"} {
		state.Routes.RecordResponses(now, evidence.RouteSubject(route), 10, 4000)
	}
	setLoad(d, load)
	counts := tally.Counts{tally.OfferedUrgent: uint64(perSecond / 2), tally.OfferedLeast: uint64(perSecond / 2)}
	state.Room.RecordRemote(now, tally.SubjectOf(tally.Service, "service-1"), counts)
	return d
}

// setLoad lets other VMs report requests at the servers.
func setLoad(d *Dispatcher, load float64) {
	for _, r := range d.deps.Source.View().ByService["service-1"] {
		d.deps.ReplicatedState.Servers.RecordRemoteCounts(d.deps.Clock(), evidence.ServerSubject(r.Server.ID),
			tally.Counts{tally.Started: uint64(load * float64(r.Server.Slots))})
	}
}

// laterRequest returns a request of the less urgent rank.
func laterRequest() entry.IncomingRequest {
	in := incoming()
	in.Path, in.Target = "/later/x", "/later/x"
	return in
}

func serving() *fakeServers {
	return &fakeServers{respond: func(int, contract.ServerID) upstream.Exchange { return succeeded }}
}

// Guards against urgent requests that are turned away while less urgent ones are served, and
// against rejected callers without a return time, or of requests that were sent.
func TestServiceWithoutRoomTurnsAwayTheLeastUrgent(t *testing.T) {
	servers := serving()
	d := newLoadedDispatcher(newRankedSource(), servers, 2, 40)
	now := time.Now()
	d.deps.Clock = func() time.Time { // the same arrivals on any machine
		now = now.Add(10 * time.Millisecond)
		return now
	}
	served := make(map[string]int)
	const requests = 200
	for range requests {
		if d.roomOf(now, d.deps.Source.View(), "service-1").Load() < 2 {
			setLoad(d, 0.5) // what has ended is replaced by other requests
		}
		d.deps.ReplicatedState.Room.RecordRemote(now, tally.SubjectOf(tally.Service, "service-1"),
			tally.Counts{tally.OfferedUrgent: 4, tally.OfferedLeast: 4})
		for name, in := range map[string]entry.IncomingRequest{"urgent": incoming(), "later": laterRequest()} {
			in.ReceivedAt = now
			_, result := d.Do(context.Background(), in)
			switch {
			case result.Outcome == request.Answered:
				served[name]++
			case result.Outcome != request.NotRun || result.Reason != request.ReasonBusy || result.RetryAfter <= 0:
				t.Fatalf("%s: %+v, want a rejection with a return time", name, result)
			}
		}
	}
	if served["urgent"] <= 2*served["later"] {
		t.Errorf("%d of %d urgent requests are served, and %d of the others", served["urgent"], requests, served["later"])
	}
	if sent := len(servers.sentTo); sent != served["urgent"]+served["later"] {
		t.Errorf("%d requests were sent and %d served", sent, served["urgent"]+served["later"])
	}
}

// Guards against a change for services whose requests all have one rank.
func TestServiceWithOneRankTurnsNoRequestAway(t *testing.T) {
	d := newLoadedDispatcher(newSource(contract.NotIdempotent), serving(), 10, 100)
	for range 50 {
		if result := send(d); result.Outcome != request.Answered {
			t.Fatalf("got %+v, want a response", result)
		}
	}
	rejecting := &fakeServers{respond: func(int, contract.ServerID) upstream.Exchange { return shed }}
	if result := send(newDispatcher(newSource(contract.NotIdempotent), rejecting)); result.RetryAfter != rejectedRetryAfter {
		t.Errorf("the caller returns after %s, want %s", result.RetryAfter, rejectedRetryAfter)
	}
}

// Guards against requests that are sent after they waited although their caller has gone,
// the VM stops or their key was withdrawn meanwhile, and against ones that wait on.
func TestWaitingRequestsThatMayNoLongerBeSent(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Dispatcher, *source, context.CancelFunc)
		want   request.Reason
	}{
		"caller gone": {func(_ *Dispatcher, _ *source, leave context.CancelFunc) { leave() }, request.ReasonCanceled},
		"stop": {func(d *Dispatcher, _ *source, _ context.CancelFunc) {
			d.BeginDrain(time.Now(), time.Now().Add(100*time.Millisecond))
		}, request.ReasonStopping},
		"room again": {func(d *Dispatcher, _ *source, _ context.CancelFunc) {
			for _, r := range d.deps.Source.View().ByService["service-1"] {
				d.deps.ReplicatedState.Servers.RecordRemoteCounts(time.Now(), evidence.ServerSubject(r.Server.ID), tally.Counts{tally.Succeeded: 100})
			}
		}, request.ReasonNone},
	} {
		s, servers := newRankedSource(), serving()
		d := newLoadedDispatcher(s, servers, 3, 1)
		ctx, leave := context.WithCancel(context.Background())
		var result request.Result
		var wg conc.WaitGroup
		wg.Go(func() { _, result = d.Do(ctx, laterRequest()) })
		service := tally.SubjectOf(tally.Service, "service-1")
		for range 2000 {
			if d.deps.ReplicatedState.Room.Waiting(service) > 0 {
				break
			}
			time.Sleep(time.Millisecond)
		}
		if d.deps.ReplicatedState.Room.Waiting(service) == 0 {
			t.Errorf("%s: the request does not wait while the service is short of room", name)
		}
		c.change(d, s, leave)
		wg.Wait()
		leave()
		sent := len(servers.sentTo)
		if result.Reason != c.want || (sent == 1) != (c.want == request.ReasonNone) {
			t.Errorf("%s: sent %d times, result %+v, want reason %q", name, sent, result, c.want)
		}
		if n := d.deps.ReplicatedState.Room.Waiting(service); n != 0 {
			t.Errorf("%s: %d requests still wait", name, n)
		}
	}
}

// Guards against a retry budget that less urgent requests use up while urgent ones fail for
// lack of it.
func TestUrgentRequestsGetTheLastRetries(t *testing.T) {
	servers := &fakeServers{respond: func(int, contract.ServerID) upstream.Exchange { return shed }}
	d := newDispatcher(newRankedSource(), servers)
	retries := func(in func() entry.IncomingRequest, requests int) int {
		before := len(servers.sentTo)
		for range requests {
			d.Do(context.Background(), in())
		}
		return len(servers.sentTo) - before - requests
	}
	retries(laterRequest, 200)
	for left := 20; retries(laterRequest, 1) > 0; left-- { // each request adds to the budget
		if left == 0 {
			t.Fatal("less urgent requests are retried although the budget is used")
		}
	}
	if more := retries(incoming, 1); more == 0 {
		t.Error("no retry of an urgent request: the less urgent ones have used the whole budget")
	}
}

// newSplitSource returns a source whose two routes divide their requests among service-1, with
// the servers a, b and c, and service-2, with the servers x, y and z.
func newSplitSource(weight1, weight2 int) *source {
	s := newRankedSource()
	config := *s.view.Index.Configuration()
	config.Services = append(config.Services[:1:1], contract.Service{ID: "service-2"})
	config.Routes = append([]contract.Route(nil), config.Routes...)
	for i := range config.Routes {
		config.Routes[i].Split = []contract.WeightedService{{Service: "service-1", Weight: weight1}, {Service: "service-2", Weight: weight2}}
	}
	s.view.Index = contract.NewIndex(&config)
	for _, id := range []contract.ServerID{"x", "y", "z"} {
		r := &catalog.Registration{Service: "service-2", Server: contract.Server{ID: id, Zone: "zone-a", Slots: 2}}
		s.view.ByService["service-2"] = append(s.view.ByService["service-2"], r)
	}
	return s
}

// Guards against requests that move to the other part of a split because theirs is short of
// room, down, or slow, and against shares off the weights after they have changed twice. What
// does not fit a part is rejected.
func TestPartsOfASplitKeepTheirRequests(t *testing.T) {
	const requests = 200
	for name, c := range map[string]struct {
		prepare func(*Dispatcher, *source)
		respond func(server contract.ServerID) upstream.Exchange
		share   float64 // of service-1, by the weights
		rejects bool    // whether requests of service-1 are rejected
	}{
		"calm": {func(*Dispatcher, *source) {}, nil, 0.75, false},
		"part short of room": {func(d *Dispatcher, _ *source) {
			for _, route := range []contract.RouteID{"route-1", "later"} {
				d.deps.ReplicatedState.Routes.RecordResponses(time.Now(), evidence.RouteSubject(route), 10, 4000)
			}
			setLoad(d, 5)
		}, nil, 0.75, true},
		// Requests that cost six times as much are in flight for six times as long.
		"part with dear requests": {func(d *Dispatcher, _ *source) {
			for _, route := range []contract.RouteID{"route-1", "later"} {
				d.deps.ReplicatedState.Routes.RecordResponses(time.Now(), evidence.RouteSubject(route), 10, 1000)
			}
			setLoad(d, 6)
		}, nil, 0.75, true},
		"part down": {func(_ *Dispatcher, s *source) { s.view.ByService["service-1"] = nil }, nil, 0.75, true},
		"part cut off": {func(*Dispatcher, *source) {}, func(id contract.ServerID) upstream.Exchange {
			if id < "x" {
				return connectFailed
			}
			return succeeded
		}, 0.75, true},
		"weights that changed twice": {func(_ *Dispatcher, s *source) {
			s.view.Index = newSplitSource(1, 9).view.Index
			s.view.Index = newSplitSource(1, 1).view.Index
		}, nil, 0.5, false},
	} {
		s := newSplitSource(3, 1)
		respond := c.respond
		if respond == nil {
			respond = func(contract.ServerID) upstream.Exchange { return succeeded }
		}
		servers := &fakeServers{respond: func(_ int, id contract.ServerID) upstream.Exchange { return respond(id) }}
		d := newDispatcher(s, servers)
		c.prepare(d, s)
		picked, rejected := 0, 0
		for i := range requests {
			in, req := incoming(), &request.Request{ID: "id"}
			if i%2 == 0 {
				in = laterRequest()
			}
			before := len(servers.sentTo)
			result, _ := d.serve(context.Background(), in, req)
			if req.Service == "service-1" {
				picked++
				if result.Outcome == request.NotRun {
					rejected++
				}
			}
			for _, id := range servers.sentTo[before:] {
				if (id < "x") != (req.Service == "service-1") {
					t.Fatalf("%s: a request for %s was sent to server %s", name, req.Service, id)
				}
			}
		}
		if share := float64(picked) / requests; share < c.share-0.1 || share > c.share+0.1 {
			t.Errorf("%s: a share of %.2f goes to the first part, want %.2f", name, share, c.share)
		}
		if (rejected > 0) != c.rejects {
			t.Errorf("%s: %d requests of the first part are rejected", name, rejected)
		}
	}
}

// Guards against a request that is sent after it waited although its key was withdrawn, or may
// have been because the operators' table is old.
func TestWaitingRequestsWhoseKeyIsWithdrawn(t *testing.T) {
	service := tally.SubjectOf(tally.Service, "service-1")
	for name, withdraw := range map[string]func(*source){
		"withdrawn": func(s *source) {
			config := *s.view.Index.Configuration()
			config.Keys = nil
			s.view.Index = contract.NewIndex(&config)
		},
		"old table": func(s *source) { s.tableAge = time.Minute },
	} {
		s, servers := newRankedSource(), serving()
		d := newLoadedDispatcher(s, servers, 3, 1)
		waited := false
		d.deps.Clock = func() time.Time { // the request's own goroutine, after it began to wait
			if !waited && d.deps.ReplicatedState.Room.Waiting(service) > 0 {
				waited = true
				withdraw(s)
				for _, r := range s.view.ByService["service-1"] { // room again
					d.deps.ReplicatedState.Servers.RecordRemoteCounts(time.Now(), evidence.ServerSubject(r.Server.ID), tally.Counts{tally.Succeeded: 100})
				}
			}
			return time.Now()
		}
		_, result := d.Do(context.Background(), laterRequest())
		if !waited || result.Outcome != request.NotRun || len(servers.sentTo) != 0 {
			t.Errorf("%s: waited %v, sent %d times, result %+v", name, waited, len(servers.sentTo), result)
		}
		if n := d.deps.ReplicatedState.Room.Waiting(service); n != 0 {
			t.Errorf("%s: %d requests still wait", name, n)
		}
	}
}

// Guards against requests that are held back or turned away where the settings do not call
// for it.
func TestRoomIsOffUnlessTheSettingsCallForIt(t *testing.T) {
	d := newDispatcher(newRankedSource(), &fakeServers{})
	view := d.deps.Source.View()
	if ranks := d.termsOf(view, "service-1").Ranks; len(ranks) < 2 {
		t.Fatalf("ranks %v, want several", ranks)
	}
	d.deps.HoldForRoom = false
	if ranks := d.termsOf(view, "service-1").Ranks; len(ranks) > 0 {
		t.Errorf("ranks %v although the settings do not call for them", ranks)
	}
}
