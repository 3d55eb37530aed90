package entry

import (
	"context"
	"slices"
	"testing"
	"time"

	"almondstile/contract"
	"almondstile/link"
	"almondstile/quota"
	"almondstile/request"
	"almondstile/retry"
	"almondstile/vm"
	"almondstile/zone"
)

// fakeFleet implements all dependencies of a Dispatcher. Forward returns the
// results in order, the last one repeatedly, and records the attempts.
type fakeFleet struct {
	index           *contract.Index
	results         []request.Result
	attempts        []request.Request
	tokenErr        error
	decisions       []retry.Decision
	tokenRejections int
}

// newFakeFleet returns a fleet with one service of four servers, s1 to s4.
func newFakeFleet(results ...request.Result) *fakeFleet {
	service := contract.Service{ID: "shelfview", FloorShare: 0.5}
	for _, id := range []contract.ServerID{"s1", "s2", "s3", "s4"} {
		service.Servers = append(service.Servers, contract.Server{ID: id, Zone: "a", Slots: 3, ColdSlots: 1})
	}
	return &fakeFleet{results: results, index: contract.NewIndex(&contract.Configuration{
		Version: 1, Services: []contract.Service{service},
		Teams: []contract.Team{{ID: "counter", RatePerSecond: 10, Burst: 10, Weight: 1}},
		Keys:  []contract.Key{{ID: "k", Team: "counter", SecretHash: contract.HashSecret("secret")}},
		Routes: []contract.Route{{ID: "stock", PathPrefix: "/stock", Service: "shelfview", Teams: []contract.TeamID{"counter"},
			IdempotentMethods: []string{"GET"}, TimeoutMillis: 10_000}},
		Zones: []zone.AvailabilityZone{{ID: "a"}},
	})}
}

func (s *fakeFleet) Index() *contract.Index { return s.index }
func (s *fakeFleet) List() vm.MemberList {
	return vm.MemberList{Version: 1, VMs: []vm.VM{{ID: "vm1", Zone: "a"}, {ID: "vm2", Zone: "a"}}}
}
func (s *fakeFleet) Self() vm.VM                    { return vm.VM{ID: "vm1", Zone: "a"} }
func (s *fakeFleet) Ready(time.Time) (bool, string) { return true, "" }
func (s *fakeFleet) Take(context.Context, *contract.Team) (quota.Grant, error) {
	return quota.Grant{}, s.tokenErr
}
func (s *fakeFleet) Forward(_ context.Context, _ vm.VM, _ *vm.VM, req *request.Request) request.Result {
	s.attempts = append(s.attempts, *req)
	return s.results[min(len(s.attempts), len(s.results))-1]
}
func (s *fakeFleet) Finished(*request.Request, request.Result, int, time.Duration) {}
func (s *fakeFleet) RetriedOrRedirected(d retry.Decision)                          { s.decisions = append(s.decisions, d) }
func (s *fakeFleet) TokenRejected()                                                { s.tokenRejections++ }

// send dispatches a request of the team "counter" with the given method.
func (s *fakeFleet) send(method string) request.Result {
	d := NewDispatcher(Dependencies{ConfigSource: s, Membership: s, Tokens: s, Forwarder: s, Links: &link.Links{}, Observer: s, Clock: time.Now})
	_, result := d.Do(context.Background(), IncomingRequest{
		Method: method, Path: "/stock/1", Target: "/stock/1", Credential: "k.secret", ReceivedAt: time.Now(),
		Header: []request.HeaderField{{Name: "Authorization", Value: "Bearer k.secret"}, {Name: "X-Note", Value: "n"}},
	})
	return result
}

func responseWithStatus(code int) request.Result {
	return request.Result{Outcome: request.Answered, Status: code}
}

// Guards against a false "not run": the response to the first attempt is lost, so
// the request may have been executed, and a later attempt is rejected.
func TestNotRunIsNotSaidAfterAnAttemptThatMayHaveRun(t *testing.T) {
	for _, later := range []request.Reason{request.ReasonConnectFailed, request.ReasonBusy, request.ReasonQuarantined, request.ReasonNotOwner} {
		s := newFakeFleet(request.UnknownResult(request.ReasonLostResponse), request.Rejected(later))
		if got := s.send("GET"); got.Outcome != request.Unknown {
			t.Errorf("lost, then %s: got %s", later, got.Outcome)
		}
	}
}

// Guards against a second execution of a non-idempotent request: an attempt whose
// response is lost or that failed at the server may have been executed.
func TestNonIdempotentRequestIsNotRetriedAfterPossibleExecution(t *testing.T) {
	for _, first := range []request.Result{request.UnknownResult(request.ReasonLostResponse), request.UnknownResult(request.ReasonTruncated), responseWithStatus(500), responseWithStatus(200)} {
		s := newFakeFleet(first, responseWithStatus(200))
		if got := s.send("POST"); len(s.attempts) != 1 || got.Outcome != first.Outcome || got.Status != first.Status {
			t.Errorf("after %+v: %d attempts, got %+v", first, len(s.attempts), got)
		}
	}
}

// Guards against failures that callers see although another server would have
// succeeded, and against a retry at a server that was tried before.
func TestRetriesGoToOtherServers(t *testing.T) {
	for name, c := range map[string]struct {
		method  string
		results []request.Result
		want    request.Result
	}{
		"not run, two servers":       {"POST", []request.Result{request.Rejected(request.ReasonConnectFailed), request.Rejected(request.ReasonShed), responseWithStatus(201)}, responseWithStatus(201)},
		"lost, idempotent":           {"GET", []request.Result{request.UnknownResult(request.ReasonLostResponse), responseWithStatus(200)}, responseWithStatus(200)},
		"error, idempotent":          {"GET", []request.Result{responseWithStatus(500), responseWithStatus(200)}, responseWithStatus(200)},
		"errors everywhere":          {"GET", []request.Result{responseWithStatus(503)}, responseWithStatus(503)},
		"error, then connect failed": {"GET", []request.Result{responseWithStatus(500), request.Rejected(request.ReasonConnectFailed)}, responseWithStatus(500)},
	} {
		s := newFakeFleet(c.results...)
		got := s.send(c.method)
		if got.Outcome != c.want.Outcome || got.Status != c.want.Status {
			t.Errorf("%s: got %+v", name, got)
		}
		tried := map[contract.ServerID]bool{}
		for _, a := range s.attempts {
			if tried[a.Server] {
				t.Errorf("%s: server %s was tried twice", name, a.Server)
			}
			tried[a.Server] = true
		}
	}
}

// Guards against retries, redirects and rejected tokens that are not reported to
// the Observer and so are missing from the metrics.
func TestRetriesRedirectsAndTokenRejectionsAreCounted(t *testing.T) {
	s := newFakeFleet(request.Rejected(request.ReasonNotOwner), request.Rejected(request.ReasonConnectFailed), responseWithStatus(200))
	s.send("GET")
	if !slices.Equal(s.decisions, []retry.Decision{retry.Redirect, retry.Retry}) {
		t.Errorf("counted %v, want a redirect and a retry", s.decisions)
	}
	s.tokenErr = &quota.RejectedError{Bucket: "counter"}
	if s.send("GET"); s.tokenRejections != 1 {
		t.Errorf("counted %d requests over the team's rate, want 1", s.tokenRejections)
	}
}

// Guards against a caller's key that is sent on to a backend server, and against
// a request that is sent although its team has no token left.
func TestKeysAndRejectedRequestsStayInTheEntryVM(t *testing.T) {
	s := newFakeFleet(responseWithStatus(200))
	s.send("GET")
	for _, f := range s.attempts[0].Header {
		if f.Name != "X-Note" {
			t.Errorf("the attempt carries %s: %s", f.Name, f.Value)
		}
	}
	s = newFakeFleet(responseWithStatus(200))
	s.tokenErr = &quota.RejectedError{Bucket: "counter", RetryAfter: time.Second}
	if got := s.send("GET"); got.Outcome != request.NotRun || got.Reason != request.ReasonRateLimited || got.RetryAfter != time.Second || len(s.attempts) > 0 {
		t.Errorf("over the rate: got %+v after %d attempts", got, len(s.attempts))
	}
}

// Guards against a team whose slow requests use all of the VM's memory and
// sockets, so that requests of other teams are rejected.
func TestRequestsInFlightAreLimitedPerTeam(t *testing.T) {
	f := inFlightLimiter{limits: Limits{MaxInFlight: 5, MaxInFlightPerTeam: 3}}
	for i := range 4 {
		if got, want := f.acquire("slow"), i < 3; got != want {
			t.Errorf("request %d of the slow team: admitted %v", i, got)
		}
	}
	for range 2 {
		if f.acquire("other") {
			continue
		}
		t.Error("a request of the other team is rejected although the team is within its limit")
	}
	if f.acquire("third") {
		t.Error("a request beyond the VM's limit is admitted")
	}
	f.release("slow")
	if !f.acquire("slow") || f.acquire("third") {
		t.Error("after one request finished, not exactly one more is admitted")
	}
}
