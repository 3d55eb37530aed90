package direct

import (
	"context"
	"testing"
	"time"

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
		d.deps.ReplicatedState.Servers.RecordRemoteCounts(time.Now(), evidence.ServerSubject(r.Server.ID),
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
	d := newLoadedDispatcher(newRankedSource(), servers, 3, 60)
	served := make(map[string]int)
	const requests = 40
	for range requests {
		for name, in := range map[string]entry.IncomingRequest{"urgent": incoming(), "later": laterRequest()} {
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
