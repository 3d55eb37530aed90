package owner_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"almondstile/contract"
	"almondstile/httpconn"
	"almondstile/owner"
	"almondstile/request"
	"almondstile/serverlink"
	"almondstile/standin/backendsim"
	"almondstile/standin/netfault"
	"almondstile/upstream"
	"almondstile/vm"

	"github.com/sourcegraph/conc"
)

// Guards against blaming a healthy server for its owner's link, losing requests
// while another VM can reach the server, running any of them twice, and staying
// on the relay after the link works again.
func TestRequestsTakeARelayWhileTheLinkIsCut(t *testing.T) {
	for name, cut := range map[string][]netfault.Direction{
		"requests": {netfault.ToTarget}, "responses": {netfault.ToClient}, "both": {netfault.ToTarget, netfault.ToClient},
	} {
		for _, firstIdempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/%v", name, firstIdempotent), func(t *testing.T) {
				t.Parallel()
				testCut(t, cut, firstIdempotent)
			})
		}
	}
}

func testCut(t *testing.T, cut []netfault.Direction, firstIdempotent bool) {
	s := newSite(t)
	s.mustAnswer("before the cut", true, false)
	for _, d := range cut {
		s.link.SetFault(d, netfault.Fault{Drop: true})
	}
	// A relay cannot help this one: its deadline is the first sign of the cut.
	if r := s.send(firstIdempotent, 300*time.Millisecond); r.Outcome != request.Unknown {
		t.Errorf("first request after the cut: %s, %s", r.Outcome, r.Reason)
	}
	s.mustAnswer("during the cut", true, false, true, false)
	if status := s.owner.ServerLinks(); len(status) != 1 || status[0].State != serverlink.Relayed || status[0].Cause != serverlink.Silent {
		t.Errorf("status %+v", status)
	}
	sendOne := func() { s.mustAnswer("until the direct way is tried", true) }
	s.until("the cut way was tried", func() bool { return s.counter("probe-failed") > 0 }, sendOne)
	if err := s.link.Heal(); err != nil {
		t.Fatal(err)
	}
	s.until("the direct way is used", func() bool { return len(s.owner.ServerLinks()) == 0 }, sendOne)
	relayed := s.counter("relay-exchange")
	s.mustAnswer("after the cut", true, false)
	if s.counter("relay-exchange") != relayed {
		t.Error("a relay was used after the cut")
	}
	if c := s.counts(); c.Lost+c.ConnectFailed+c.ErrorStatus+c.Truncated > 0 {
		t.Errorf("evidence against a healthy server: %+v", c)
	}
	s.checkExecutions()
}

// Guards against hiding a faulty server behind its link: when the relay finds it
// silent as well, or it refuses connections, every failure counts. The owner's
// clock moves by the time of one request between requests only: after a blame,
// failures count at once for a second, however long the machine takes.
func TestFaultyServerIsBlamed(t *testing.T) {
	const timeout = 300 * time.Millisecond
	s := newSite(t)
	now := time.Now()
	s.clock = func() time.Time { return now }
	s.patience = time.Minute
	if err := s.host.SetMode(serverID, backendsim.Mode{HangShare: 1}); err != nil {
		t.Fatal(err)
	}
	for _, idempotent := range []bool{false, true, true, false} {
		if r := s.send(idempotent, timeout); r.Outcome != request.Unknown {
			t.Errorf("silent server: got %s, %s", r.Outcome, r.Reason)
		}
		now = now.Add(timeout)
	}
	relayed := s.counter("relay-exchange")
	s.link.Reset()
	if err := s.link.SetRefuse(true); err != nil {
		t.Fatal(err)
	}
	if r := s.send(false, 2*time.Second); r.Outcome != request.NotRun || r.Reason != request.ReasonConnectFailed {
		t.Errorf("refused connection: got %s, %s", r.Outcome, r.Reason)
	}
	if c := s.counts(); c.Lost != 4 || c.ConnectFailed != 1 || s.counter("server-blamed") != 1 || s.counter("relay-exchange") != relayed {
		t.Errorf("counted %+v, blamed %d times, %d exchanges over relays", c, s.counter("server-blamed"), s.counter("relay-exchange"))
	}
	s.checkExecutions()
}

// notConnected returns a site whose owner cannot connect to the server and runs
// over a relay.
func notConnected(t *testing.T) (s *site, relay *netfault.Link) {
	address, stop, err := netfault.ListenSilent()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	s = newSite(t)
	s.startOwner(address, s.direct, s.relays)
	s.mustAnswer("not connected", false, true)
	status := s.owner.ServerLinks()
	if len(status) != 1 || status[0].Cause != serverlink.ConnectFailed {
		t.Fatalf("status %+v", status)
	}
	relay, err = s.network.Link(netfault.LinkName(status[0].Relay))
	if err != nil {
		t.Fatal(err)
	}
	return s, relay
}

// Guards against losing requests when the relay in use cannot be reached.
func TestRelayIsSwitched(t *testing.T) {
	s, relay := notConnected(t)
	relay.Reset()
	if err := relay.SetRefuse(true); err != nil {
		t.Fatal(err)
	}
	s.mustAnswer("relay stopped", false, true, false)
	if c := s.counts(); c.Lost+c.ConnectFailed > 0 {
		t.Errorf("evidence against a healthy server: %+v", c)
	}
	s.checkExecutions()
}

// whileRunning sends a request and calls interrupt as soon as it runs.
func (s *site) whileRunning(idempotent bool, interrupt func()) request.Result {
	before := s.executed(backendsim.Running)
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		defer interrupt()
		s.until("running", func() bool { return s.executed(backendsim.Running) > before }, func() {})
	})
	return s.send(idempotent, time.Minute)
}

// Guards against sending a request again, or calling it not run, after a relay
// that may have run it was lost; an idempotent one is run by the other relay.
func TestLostRelay(t *testing.T) {
	for idempotent, want := range map[bool]request.Outcome{false: request.Unknown, true: request.Answered} {
		s, relay := notConnected(t)
		_ = s.host.SetMode(serverID, backendsim.Mode{HangShare: 1})
		r := s.whileRunning(idempotent, func() {
			_ = s.host.SetMode(serverID, backendsim.Mode{})
			relay.Reset()
		})
		if r.Outcome != want {
			t.Errorf("idempotent %v: got %s, %s", idempotent, r.Outcome, r.Reason)
		}
		s.checkExecutions()
	}
}

// Guards against requests that run on at the server after their caller left.
func TestCancellationPassesTheRelay(t *testing.T) {
	s, _ := notConnected(t)
	_ = s.host.SetMode(serverID, backendsim.Mode{HangShare: 1})
	var cancel context.CancelFunc
	s.ctx, cancel = context.WithCancel(s.ctx)
	if r := s.whileRunning(false, cancel); r.Outcome != request.Unknown || r.Reason != request.ReasonCanceled {
		t.Errorf("got %s, %s", r.Outcome, r.Reason)
	}
	s.until("canceled", func() bool { return s.executed(backendsim.Canceled) > 0 }, func() {})
}

// script is a server that is silent on the direct way and sheds over a relay.
type script struct{}

func (script) Do(context.Context, *contract.Server, *request.Request) upstream.Exchange {
	return upstream.Exchange{Result: request.UnknownResult(request.ReasonDeadline), Latency: time.Second, Silent: true}
}

func (script) RefusesConnections(context.Context, *contract.Server) bool { return false }

func (script) Exchange(context.Context, vm.VM, *request.Request) (upstream.Exchange, bool) {
	return upstream.Exchange{Result: request.Rejected(request.ReasonShed)}, true
}

// Guards against a false "not run": what a relay rejects may have run before, on
// the direct way.
func TestRejectionAfterSilenceIsUnknown(t *testing.T) {
	s := newSite(t)
	s.startOwner(s.link.Address(), script{}, script{})
	if r := s.send(true, time.Minute); r.Outcome != request.Unknown || s.counter("relay-exchange") != 1 {
		t.Errorf("got %s, %s after %d exchanges over relays", r.Outcome, r.Reason, s.counter("relay-exchange"))
	}
}

// Guards against a relay running what the server's owner did not admit.
func TestRelayChecksTheOwner(t *testing.T) {
	s := newSite(t)
	v := newView(s.list.VMs[1], s.list, s.link.Address())
	relay := owner.NewRelay(v, v, upstream.NewClient(httpconn.DefaultOptions()), time.Now)
	now := time.Now()
	later := now.Add(5 * time.Second)
	for i, c := range []struct {
		from     vm.ID
		server   contract.ServerID
		deadline time.Time
		ran      bool
	}{{"vm1", serverID, later, true}, {"vm2", serverID, later, false}, {"vm1", "loandesk-9", later, false}, {"vm1", serverID, now, false}} {
		req := &request.Request{ID: fmt.Sprintf("x%d", i), Server: c.server, Method: "GET", Target: "/", Deadline: c.deadline}
		if e, ran := relay.Exchange(s.ctx, c.from, req); ran != c.ran || (e.Result.Outcome == request.NotRun) == c.ran {
			t.Errorf("case %d: ran %v, %+v", i, ran, e.Result)
		}
	}
	if n := len(s.host.Executions(nil)); n != 1 {
		t.Errorf("%d executions, want 1", n)
	}
}
