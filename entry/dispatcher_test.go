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

// script is a fake of everything around a Dispatcher. Forward returns the
// results in order and records the attempts.
type script struct {
	index    *contract.Index
	results  []request.Result
	attempts []request.Request
	tokenErr error
	repeated []retry.Decision
	refused  int // tokens
}

func newScript(results ...request.Result) *script {
	service := contract.Service{ID: "shelfview", FloorShare: 0.5}
	for _, id := range []contract.ServerID{"s1", "s2", "s3", "s4"} {
		service.Servers = append(service.Servers, contract.Server{ID: id, Zone: "a", Slots: 3, ColdSlots: 1})
	}
	return &script{results: results, index: contract.NewIndex(&contract.Configuration{
		Version: 1, Services: []contract.Service{service},
		Teams: []contract.Team{{ID: "counter", RatePerSecond: 10, Burst: 10, Weight: 1}},
		Keys:  []contract.Key{{ID: "k", Team: "counter", SecretHash: contract.HashSecret("secret")}},
		Routes: []contract.Route{{ID: "stock", PathPrefix: "/stock", Service: "shelfview", Teams: []contract.TeamID{"counter"},
			IdempotentMethods: []string{"GET"}, TimeoutMillis: 10_000}},
		Zones: []zone.AvailabilityZone{{ID: "a"}},
	})}
}

func (s *script) Index() *contract.Index { return s.index }
func (s *script) List() vm.MemberList {
	return vm.MemberList{Version: 1, VMs: []vm.VM{{ID: "vm1", Zone: "a"}, {ID: "vm2", Zone: "a"}}}
}
func (s *script) Self() vm.VM                    { return vm.VM{ID: "vm1", Zone: "a"} }
func (s *script) Ready(time.Time) (bool, string) { return true, "" }
func (s *script) Take(context.Context, *contract.Team) (quota.Grant, error) {
	return quota.Grant{}, s.tokenErr
}
func (s *script) Forward(_ context.Context, _ vm.VM, _ *vm.VM, req *request.Request) request.Result {
	s.attempts = append(s.attempts, *req)
	return s.results[min(len(s.attempts), len(s.results))-1]
}
func (s *script) Finished(*request.Request, request.Result, int, time.Duration) {}
func (s *script) RetriedOrRedirected(d retry.Decision)                          { s.repeated = append(s.repeated, d) }
func (s *script) TokenRejected()                                                { s.refused++ }

func (s *script) do(method string) request.Result {
	d := NewDispatcher(Dependencies{ConfigSource: s, Membership: s, Tokens: s, Forwarder: s, Links: &link.Links{}, Observer: s, Clock: time.Now})
	_, result := d.Do(context.Background(), IncomingRequest{
		Method: method, Path: "/stock/1", Target: "/stock/1", Credential: "k.secret", ReceivedAt: time.Now(),
		Header: []request.HeaderField{{Name: "Authorization", Value: "Bearer k.secret"}, {Name: "X-Note", Value: "n"}},
	})
	return result
}

func status(code int) request.Result {
	return request.Result{Outcome: request.Answered, Status: code}
}

// Guards against a false "not run": an attempt that may have run stays that way
// when a later attempt of the same request is rejected.
func TestNotRunIsNotSaidAfterAnAttemptThatMayHaveRun(t *testing.T) {
	for _, later := range []request.Reason{request.ReasonConnectFailed, request.ReasonBusy, request.ReasonQuarantined, request.ReasonNotOwner} {
		s := newScript(request.UnknownResult(request.ReasonLostResponse), request.Rejected(later))
		if got := s.do("GET"); got.Outcome != request.Unknown {
			t.Errorf("lost, then %s: got %s", later, got.Outcome)
		}
	}
}

// Guards against a second run of a request that must run at most once.
func TestNonIdempotentRequestIsNotRepeatedAfterAnUnknownOutcome(t *testing.T) {
	for _, first := range []request.Result{request.UnknownResult(request.ReasonLostResponse), request.UnknownResult(request.ReasonTruncated), status(500), status(200)} {
		s := newScript(first, status(200))
		if got := s.do("POST"); len(s.attempts) != 1 || got.Outcome != first.Outcome || got.Status != first.Status {
			t.Errorf("after %+v: %d attempts, got %+v", first, len(s.attempts), got)
		}
	}
}

// Guards against callers that see a fault which another server would not have,
// and against the same server being asked again.
func TestRepeatsGoToOtherServers(t *testing.T) {
	for name, c := range map[string]struct {
		method  string
		results []request.Result
		want    request.Result
	}{
		"not run elsewhere":  {"POST", []request.Result{request.Rejected(request.ReasonConnectFailed), request.Rejected(request.ReasonShed), status(201)}, status(201)},
		"lost, idempotent":   {"GET", []request.Result{request.UnknownResult(request.ReasonLostResponse), status(200)}, status(200)},
		"error, idempotent":  {"GET", []request.Result{status(500), status(200)}, status(200)},
		"errors everywhere":  {"GET", []request.Result{status(503)}, status(503)},
		"error, then no one": {"GET", []request.Result{status(500), request.Rejected(request.ReasonConnectFailed)}, status(500)},
	} {
		s := newScript(c.results...)
		got := s.do(c.method)
		if got.Outcome != c.want.Outcome || got.Status != c.want.Status {
			t.Errorf("%s: got %+v", name, got)
		}
		seen := map[contract.ServerID]bool{}
		for _, a := range s.attempts {
			if seen[a.Server] {
				t.Errorf("%s: %s was asked twice", name, a.Server)
			}
			seen[a.Server] = true
		}
	}
}

// Guards against retries, redirects and rejections that no metric shows.
func TestDecisionsAreCounted(t *testing.T) {
	s := newScript(request.Rejected(request.ReasonNotOwner), request.Rejected(request.ReasonConnectFailed), status(200))
	s.do("GET")
	if !slices.Equal(s.repeated, []retry.Decision{retry.Redirect, retry.Retry}) {
		t.Errorf("counted %v, want a redirect and a retry", s.repeated)
	}
	s.tokenErr = &quota.RejectedError{Bucket: "counter"}
	if s.do("GET"); s.refused != 1 {
		t.Errorf("counted %d rejected tokens, want 1", s.refused)
	}
}

// Guards against a key that reaches a backend server, and against requests
// without a token being sent.
func TestKeysAndRejectedRequestsStayInTheEntryVM(t *testing.T) {
	s := newScript(status(200))
	s.do("GET")
	for _, f := range s.attempts[0].Header {
		if f.Name != "X-Note" {
			t.Errorf("the attempt carries %s: %s", f.Name, f.Value)
		}
	}
	s = newScript(status(200))
	s.tokenErr = &quota.RejectedError{Bucket: "counter", RetryAfter: time.Second}
	if got := s.do("GET"); got.Outcome != request.NotRun || got.Reason != request.ReasonRateLimited || got.RetryAfter != time.Second || len(s.attempts) > 0 {
		t.Errorf("over the rate: got %+v after %d attempts", got, len(s.attempts))
	}
}

// Guards against one team's slow requests using up the VM for the others.
func TestRequestsUnderWayAreBoundedPerTeam(t *testing.T) {
	f := inFlight{limits: Limits{MaxInFlight: 5, MaxInFlightPerTeam: 3}}
	for i := range 4 {
		if got, want := f.enter("slow"), i < 3; got != want {
			t.Errorf("request %d of the slow team: admitted %v", i, got)
		}
	}
	for range 2 {
		if f.enter("other") {
			continue
		}
		t.Error("the other team is rejected although it is within its limit")
	}
	if f.enter("third") {
		t.Error("a request over the limit of the VM is admitted")
	}
	f.leave("slow")
	if !f.enter("slow") || f.enter("third") {
		t.Error("a place that was left is not the next request's")
	}
}
