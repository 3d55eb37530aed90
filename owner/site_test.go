package owner_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"almondstile/backend"
	"almondstile/contract"
	"almondstile/forward"
	"almondstile/httpconn"
	"almondstile/link"
	"almondstile/logging"
	"almondstile/outlier"
	"almondstile/owner"
	"almondstile/request"
	"almondstile/standin/backendsim"
	"almondstile/standin/netfault"
	"almondstile/telemetry"
	"almondstile/upstream"
	"almondstile/vm"
	"almondstile/zone"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
)

const serverID contract.ServerID = "loandesk-1"

var testSecret = link.Secret(strings.Repeat("s", link.MinSecretBytes))

// view is one VM's view of the fleet: its configuration and its member list.
type view struct {
	self  vm.VM
	list  vm.MemberList
	index *contract.Index
}

func (v *view) Index() *contract.Index { return v.index }
func (v *view) List() vm.MemberList    { return v.list }
func (v *view) Self() vm.VM            { return v.self }
func (v *view) MayAct(_ time.Time, role vm.Role) (time.Time, bool) {
	holder, ok := v.list.Holder(role)
	return time.Time{}, ok && holder.ID == v.self.ID
}

// newView returns the view of the VM self. The address is the one at which this
// VM connects to the server.
func newView(self vm.VM, list vm.MemberList, address string) *view {
	return &view{self, list, contract.NewIndex(&contract.Configuration{
		Version: 1, Zones: []zone.AvailabilityZone{{ID: "z1"}},
		Services: []contract.Service{{ID: "loandesk", Servers: []contract.Server{
			{ID: serverID, Zone: "z1", Address: address, Slots: 3, ColdSlots: 3, MaxConnections: 330}}}},
	})}
}

// failOnCrash fails the test if the owner reports a crash.
type failOnCrash struct{ t *testing.T }

func (c failOnCrash) ReportCrash(context.Context, outlier.Crash) error {
	c.t.Error("the owner reported a crash, but no server crashed")
	return nil
}

// setup is a fleet of three VMs and one backend server. The VM vm1 owns the server
// and connects to it through serverLink, where tests inject faults. The relays vm2
// and vm3 connect to the server without that link.
type setup struct {
	t          *testing.T
	ctx        context.Context // parent of the contexts of all requests
	host       *backendsim.Host
	network    netfault.Network
	serverLink *netfault.Link // from the owner to the server
	list       vm.MemberList
	peers      *link.Links
	direct     *upstream.Client
	relays     *forward.ExchangeClient
	servers    *backend.Servers
	owner      *owner.Owner
	metrics    *telemetry.Metrics
	sent       int
	// clock is the owner's clock. It is time.Now unless a test replaces it.
	clock func() time.Time
	// extraWait is how long a caller waits for the response after the request's
	// deadline. It lets the relay's reply arrive in time on a busy machine.
	extraWait time.Duration
	// nonIdempotent holds the outcomes of the requests that must not be executed
	// twice, by request ID.
	nonIdempotent map[string]request.Outcome
}

// newSetup starts the server, the relays and the owner without faults.
func newSetup(t *testing.T) *setup {
	t.Helper()
	s := &setup{
		t: t, ctx: context.Background(), host: backendsim.NewHost(), servers: backend.NewServers(backend.DefaultOptions()),
		peers: &link.Links{}, direct: upstream.NewClient(httpconn.DefaultOptions()),
		metrics: telemetry.New(), nonIdempotent: make(map[string]request.Outcome), clock: time.Now,
	}
	t.Cleanup(s.host.Close)
	t.Cleanup(s.network.Close)
	server, err := s.host.Start(backendsim.Config{ID: serverID, StartWarm: true, MedianMicros: 1000})
	if err != nil {
		t.Fatal(err)
	}
	s.serverLink = s.listen("server", server.Address())
	// Only vm1 is in the server's zone, which makes it the owner.
	s.list = vm.MemberList{Version: 1, VMs: []vm.VM{{ID: "vm1", Zone: "z1"}}}
	listeners := make(map[vm.ID]net.Listener)
	for _, id := range []vm.ID{"vm2", "vm3"} {
		if listeners[id], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		address := s.listen(netfault.LinkName(id), listeners[id].Addr().String()).Address()
		s.list.VMs = append(s.list.VMs, vm.VM{ID: id, Zone: "z2", ForwardAddress: address})
	}
	for _, v := range s.list.VMs[1:] {
		startRelay(t, newView(v, s.list, server.Address()), listeners[v.ID])
	}
	s.relays = forward.NewExchangeClient("vm1", testSecret, s.peers, httpconn.DefaultOptions())
	t.Cleanup(func() { s.relays.CloseIdle(true); s.direct.CloseIdle(true) })
	s.startOwner(s.serverLink.Address(), s.direct, s.relays)
	return s
}

// listen opens a link to the target whose traffic tests can disturb.
func (s *setup) listen(name netfault.LinkName, target string) *netfault.Link {
	l, err := s.network.Listen(name, "127.0.0.1:0", target)
	if err != nil {
		s.t.Fatal(err)
	}
	return l
}

// observer counts link events under the same metric names as the daemon.
type observer struct{ *telemetry.Metrics }

func (o observer) OwnerRoleTakenOver()            {}
func (o observer) ServerLinkEvent(event string)   { o.Count("serverlink." + event) }
func (o observer) MalformedResponse(check string) { o.Count("malformed_response." + check) }

// startOwner starts the owner vm1, or replaces it. The address is the one at which
// it connects to the server.
func (s *setup) startOwner(address string, direct owner.Exchanger, relays owner.RelayExchanger) {
	v := newView(s.list.VMs[0], s.list, address)
	s.owner = owner.New(owner.Dependencies{
		Source: v, Members: v, Servers: s.servers, Exchanger: direct,
		Quarantine: &outlier.Quarantine{}, CrashReporter: failOnCrash{s.t},
		Relays: relays, Peers: s.peers, Observer: observer{s.metrics}, Clock: func() time.Time { return s.clock() }, Log: logging.Discard().Part("owner"),
	})
	s.owner.Sync(time.Now())
}

// startRelay starts a VM that relays exchanges received on the listener.
func startRelay(t *testing.T, v *view, listener net.Listener) {
	client := upstream.NewClient(httpconn.DefaultOptions())
	server := forward.NewServer(v.self.ID, testSecret, &link.Links{}, v, nil, nil,
		forward.Options{MaxMessageBytes: 1 << 20, IdleTimeout: time.Minute}, logging.Discard().Part("forward"))
	server.SetExchangeRelay(owner.NewRelay(v, v, client, time.Now))
	var wg conc.WaitGroup
	wg.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_ = server.Shutdown(ctx)
		_ = listener.Close() // Serve may have started after Shutdown.
		client.CloseIdle(true)
		wg.Wait()
	})
}

// send runs one request at the owner and records its outcome if the request is not
// idempotent.
func (s *setup) send(idempotent bool, timeout time.Duration) request.Result {
	s.sent++
	req := &request.Request{
		ID: fmt.Sprintf("r%d", s.sent), Service: "loandesk", Server: serverID, Weight: 1,
		Method: "POST", Target: "/loans", Idempotent: idempotent, Deadline: time.Now().Add(timeout),
	}
	ctx, cancel := context.WithDeadline(s.ctx, req.Deadline.Add(s.extraWait))
	defer cancel()
	result := s.owner.Run(ctx, req)
	if !idempotent {
		s.nonIdempotent[req.ID] = result.Outcome
	}
	return result
}

// mustSucceed sends one request for each value of idempotent and stops the test
// if one of them gets no response.
func (s *setup) mustSucceed(what string, idempotent ...bool) {
	s.t.Helper()
	for _, i := range idempotent {
		if r := s.send(i, 2*time.Second); r.Outcome != request.Answered {
			s.t.Fatalf("%s: idempotent %v: got outcome %s, reason %s; want a response", what, i, r.Outcome, r.Reason)
		}
	}
}

// waitFor waits until the condition is true, with at most 3000 checks 10 ms apart.
// It calls poll after each check that fails.
func (s *setup) waitFor(what string, condition func() bool, poll func()) {
	s.t.Helper()
	for range 3000 {
		if condition() {
			return
		}
		poll()
		time.Sleep(10 * time.Millisecond)
	}
	s.t.Errorf("timed out waiting for %q; links %+v", what, s.owner.ServerLinks())
}

// executionCount returns how many executions at the server have the result.
func (s *setup) executionCount(result backendsim.ExecutionResult) int {
	return len(s.host.Executions(func(e backendsim.Execution) bool { return e.Result == result }))
}

// linkEventCount returns the value of the metric of a link event.
func (s *setup) linkEventCount(event string) int64 {
	return s.decisionCount("serverlink." + event)
}

// decisionCount returns the value of the metric of a decision.
func (s *setup) decisionCount(decision string) int64 {
	counter, ok := s.metrics.Registry().Get("decision." + decision).(metrics.Counter)
	if !ok {
		return 0
	}
	return counter.Count()
}

// sampleCounts returns the samples recorded for the server since the last call.
func (s *setup) sampleCounts() backend.Counts { return s.servers.CollectAndReset(time.Now())[0].Counts }

// checkExecutions compares the server's log of executions with the outcomes that
// the owner returned, and checks that the server's slots were not exceeded.
func (s *setup) checkExecutions() {
	s.t.Helper()
	runs := make(map[string]int)
	for _, e := range s.host.Executions(nil) {
		runs[e.RequestID]++
	}
	for id, outcome := range s.nonIdempotent {
		if n := runs[id]; n > 1 || outcome == request.Answered && n != 1 || outcome == request.NotRun && n != 0 {
			s.t.Errorf("request %s was executed %d times, but its outcome is %s", id, n, outcome)
		}
	}
	if c, err := s.host.Counters(serverID); err != nil || c.MaxInFlight > 3 {
		s.t.Errorf("the server executed %d requests at a time with 3 slots, error %v", c.MaxInFlight, err)
	}
}
