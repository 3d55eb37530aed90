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

// Guards against blaming a healthy server for a failed link to its owner, losing
// requests while another VM can reach the server, executing a request twice, and
// using the relay after the link has recovered. The link drops all packets in one
// direction or in both.
func TestRequestsUseRelayWhileLinkDropsPackets(t *testing.T) {
	for name, directions := range map[string][]netfault.Direction{
		"requests": {netfault.ToTarget}, "responses": {netfault.ToClient}, "both": {netfault.ToTarget, netfault.ToClient},
	} {
		for _, firstIsIdempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/%v", name, firstIsIdempotent), func(t *testing.T) {
				t.Parallel()
				testDroppedPackets(t, directions, firstIsIdempotent)
			})
		}
	}
}

// testDroppedPackets drops the packets on the owner's link to the server in the
// given directions, checks that requests go over a relay, and restores the link.
func testDroppedPackets(t *testing.T, directions []netfault.Direction, firstIsIdempotent bool) {
	s := newSetup(t)
	s.mustSucceed("before the link failed", true, false)
	for _, d := range directions {
		s.serverLink.SetFault(d, netfault.Fault{Drop: true})
	}
	// A relay cannot help this request: its deadline is the first sign that the
	// link fails.
	if r := s.send(firstIsIdempotent, 300*time.Millisecond); r.Outcome != request.Unknown {
		t.Errorf("first request after the link failed: got outcome %s, reason %s; want unknown", r.Outcome, r.Reason)
	}
	s.mustSucceed("while the link fails", true, false, true, false)
	if status := s.owner.ServerLinks(); len(status) != 1 || status[0].State != serverlink.Relayed || status[0].Cause != serverlink.Silent {
		t.Errorf("got link status %+v, want one relayed link whose server was silent", status)
	}
	sendOne := func() { s.mustSucceed("while the link is relayed", true) }
	s.waitFor("a probe of the failed link has failed", func() bool { return s.linkEventCount("probe-failed") > 0 }, sendOne)
	if err := s.serverLink.Heal(); err != nil {
		t.Fatal(err)
	}
	s.waitFor("requests go directly to the server again", func() bool { return len(s.owner.ServerLinks()) == 0 }, sendOne)
	relayExchanges := s.linkEventCount("relay-exchange")
	s.mustSucceed("after the link recovered", true, false)
	if s.linkEventCount("relay-exchange") != relayExchanges {
		t.Error("a relay was used after the link recovered")
	}
	if c := s.sampleCounts(); c.Lost+c.ConnectFailed+c.ErrorStatus+c.Truncated > 0 {
		t.Errorf("evidence against a healthy server: %+v", c)
	}
	s.checkExecutions()
}

// Guards against failures of a faulty server that are attributed to its link and
// never counted: every failure must count if the server is silent over the relay
// as well, or if it refuses connections. The test advances the owner's clock by
// one request timeout after each request, because failures count without a trial
// over a relay for one second after the server was blamed, and a slow machine
// must not exceed that second.
func TestFaultyServerIsBlamed(t *testing.T) {
	const timeout = 300 * time.Millisecond
	s := newSetup(t)
	now := time.Now()
	s.clock = func() time.Time { return now }
	s.extraWait = time.Minute
	if err := s.host.SetMode(serverID, backendsim.Mode{HangShare: 1}); err != nil {
		t.Fatal(err)
	}
	for _, idempotent := range []bool{false, true, true, false} {
		if r := s.send(idempotent, timeout); r.Outcome != request.Unknown {
			t.Errorf("silent server: got outcome %s, reason %s; want unknown", r.Outcome, r.Reason)
		}
		now = now.Add(timeout)
	}
	relayExchanges := s.linkEventCount("relay-exchange")
	s.serverLink.Reset()
	if err := s.serverLink.SetRefuse(true); err != nil {
		t.Fatal(err)
	}
	if r := s.send(false, 2*time.Second); r.Outcome != request.NotRun || r.Reason != request.ReasonConnectFailed {
		t.Errorf("refused connection: got outcome %s, reason %s; want not-run, connect-failed", r.Outcome, r.Reason)
	}
	if c := s.sampleCounts(); c.Lost != 4 || c.ConnectFailed != 1 || s.linkEventCount("server-blamed") != 1 || s.linkEventCount("relay-exchange") != relayExchanges {
		t.Errorf("counted %+v, blamed the server %d times, %d exchanges over relays", c, s.linkEventCount("server-blamed"), s.linkEventCount("relay-exchange"))
	}
	s.checkExecutions()
}

// newSetupWithoutDirectConnection returns a setup whose owner cannot connect to
// the server and uses a relay, and the owner's link to that relay.
func newSetupWithoutDirectConnection(t *testing.T) (s *setup, relay *netfault.Link) {
	address, stop, err := netfault.ListenSilent()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	s = newSetup(t)
	s.startOwner(address, s.direct, s.relays)
	s.mustSucceed("the owner cannot connect to the server", false, true)
	status := s.owner.ServerLinks()
	if len(status) != 1 || status[0].Cause != serverlink.ConnectFailed {
		t.Fatalf("got link status %+v, want one link with cause connect-failed", status)
	}
	relay, err = s.network.Link(netfault.LinkName(status[0].Relay))
	if err != nil {
		t.Fatal(err)
	}
	return s, relay
}

// Guards against losing requests when the relay in use becomes unreachable. The
// relay refuses connections, and the owner must switch to the other one.
func TestRelayIsSwitched(t *testing.T) {
	s, relay := newSetupWithoutDirectConnection(t)
	relay.Reset()
	if err := relay.SetRefuse(true); err != nil {
		t.Fatal(err)
	}
	s.mustSucceed("the relay refuses connections", false, true, false)
	if c := s.sampleCounts(); c.Lost+c.ConnectFailed > 0 {
		t.Errorf("evidence against a healthy server: %+v", c)
	}
	s.checkExecutions()
}

// interruptWhileRunning sends a request and calls interrupt as soon as the server
// executes it.
func (s *setup) interruptWhileRunning(idempotent bool, interrupt func()) request.Result {
	before := s.executionCount(backendsim.Running)
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		defer interrupt()
		s.waitFor("the server executes the request", func() bool { return s.executionCount(backendsim.Running) > before }, func() {})
	})
	return s.send(idempotent, time.Minute)
}

// Guards against retrying a request, or reporting it as not executed, after the
// connection to a relay that may have executed it was lost. An idempotent request
// must be retried over the other relay.
func TestLostRelay(t *testing.T) {
	for idempotent, want := range map[bool]request.Outcome{false: request.Unknown, true: request.Answered} {
		s, relay := newSetupWithoutDirectConnection(t)
		_ = s.host.SetMode(serverID, backendsim.Mode{HangShare: 1})
		r := s.interruptWhileRunning(idempotent, func() {
			_ = s.host.SetMode(serverID, backendsim.Mode{})
			relay.Reset()
		})
		if r.Outcome != want {
			t.Errorf("idempotent %v: got outcome %s, reason %s", idempotent, r.Outcome, r.Reason)
		}
		s.checkExecutions()
	}
}

// Guards against requests that keep running at the server after their caller has
// canceled them. The cancellation must reach the server through the relay.
func TestCancellationPassesTheRelay(t *testing.T) {
	s, _ := newSetupWithoutDirectConnection(t)
	_ = s.host.SetMode(serverID, backendsim.Mode{HangShare: 1})
	var cancel context.CancelFunc
	s.ctx, cancel = context.WithCancel(s.ctx)
	if r := s.interruptWhileRunning(false, cancel); r.Outcome != request.Unknown || r.Reason != request.ReasonCanceled {
		t.Errorf("got outcome %s, reason %s; want unknown, canceled", r.Outcome, r.Reason)
	}
	s.waitFor("the server has canceled the request", func() bool { return s.executionCount(backendsim.Canceled) > 0 }, func() {})
}

// silentThenShed simulates a server that does not respond to direct attempts and
// sheds the requests that arrive over a relay.
type silentThenShed struct{}

func (silentThenShed) Do(context.Context, *contract.Server, *request.Request) upstream.Exchange {
	return upstream.Exchange{Result: request.UnknownResult(request.ReasonDeadline), Latency: time.Second, Silent: true}
}

func (silentThenShed) RefusesConnections(context.Context, *contract.Server) bool { return false }

func (silentThenShed) Exchange(context.Context, vm.VM, *request.Request) (upstream.Exchange, bool) {
	return upstream.Exchange{Result: request.Rejected(request.ReasonShed)}, true
}

// Guards against reporting a request as not executed although it may have been.
// The server rejects the attempt over the relay, but the direct attempt before it
// got no response and may have executed the request.
func TestRejectionByRelayAfterSilenceIsUnknown(t *testing.T) {
	s := newSetup(t)
	s.startOwner(s.serverLink.Address(), silentThenShed{}, silentThenShed{})
	if r := s.send(true, time.Minute); r.Outcome != request.Unknown || s.linkEventCount("relay-exchange") != 1 {
		t.Errorf("got outcome %s, reason %s after %d exchanges over relays; want unknown after 1", r.Outcome, r.Reason, s.linkEventCount("relay-exchange"))
	}
}

// Guards against a relay that runs requests which the server's owner has not
// admitted, and so exceeds the server's concurrency limit. The relay must reject
// requests from other VMs, for unknown servers and after the deadline.
func TestRelayChecksTheOwner(t *testing.T) {
	s := newSetup(t)
	v := newView(s.list.VMs[1], s.list, s.serverLink.Address())
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
			t.Errorf("case %d: ran %v, result %+v", i, ran, e.Result)
		}
	}
	if n := len(s.host.Executions(nil)); n != 1 {
		t.Errorf("the server executed %d requests, want 1", n)
	}
}
