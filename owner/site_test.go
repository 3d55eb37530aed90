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

// view is what one VM knows: its configuration and the member list.
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

// newView describes the server at the address at which this VM reaches it.
func newView(self vm.VM, list vm.MemberList, address string) *view {
	return &view{self, list, contract.NewIndex(&contract.Configuration{
		Version: 1, Zones: []zone.AvailabilityZone{{ID: "z1"}},
		Services: []contract.Service{{ID: "loandesk", Servers: []contract.Server{
			{ID: serverID, Zone: "z1", Address: address, Slots: 3, ColdSlots: 3, MaxConnections: 330}}}},
	})}
}

type noCrashes struct{ t *testing.T }

func (c noCrashes) ReportCrash(context.Context, outlier.Crash) error {
	c.t.Error("a crash was reported")
	return nil
}

// site is the owner vm1, whose connections to its server pass a faulty link, and
// vm2 and vm3, which reach the server without it.
type site struct {
	t       *testing.T
	ctx     context.Context // of the callers
	host    *backendsim.Host
	network netfault.Network
	link    *netfault.Link // from the owner to the server
	list    vm.MemberList
	peers   *link.Links
	direct  *upstream.Client
	relays  *forward.ExchangeClient
	servers *backend.Servers
	owner   *owner.Owner
	metrics *telemetry.Metrics
	sent    int
	// clock is the owner's clock.
	clock func() time.Time
	// patience is how long a caller waits for the answer after its deadline. It
	// keeps the word of a relay from coming too late on a busy machine.
	patience time.Duration
	// once holds the outcomes of the requests that must not run twice.
	once map[string]request.Outcome
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{
		t: t, ctx: context.Background(), host: backendsim.NewHost(), servers: backend.NewServers(backend.DefaultOptions()),
		peers: &link.Links{}, direct: upstream.NewClient(httpconn.DefaultOptions()),
		metrics: telemetry.New(), once: make(map[string]request.Outcome), clock: time.Now,
	}
	t.Cleanup(s.host.Close)
	t.Cleanup(s.network.Close)
	server, err := s.host.Start(backendsim.Config{ID: serverID, StartWarm: true, MedianMicros: 1000})
	if err != nil {
		t.Fatal(err)
	}
	s.link = s.listen("server", server.Address())
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
	s.startOwner(s.link.Address(), s.direct, s.relays)
	return s
}

func (s *site) listen(name netfault.LinkName, target string) *netfault.Link {
	l, err := s.network.Listen(name, "127.0.0.1:0", target)
	if err != nil {
		s.t.Fatal(err)
	}
	return l
}

// observer counts as the daemon does.
type observer struct{ *telemetry.Metrics }

func (o observer) OwnerRoleTakenOver()           {}
func (o observer) ServerLinkEvent(change string) { o.Count("serverlink." + change) }

// startOwner starts vm1, or replaces it, with its own address of the server.
func (s *site) startOwner(address string, direct owner.Exchanger, relays owner.RelayExchanger) {
	v := newView(s.list.VMs[0], s.list, address)
	s.owner = owner.New(owner.Dependencies{
		Source: v, Members: v, Servers: s.servers, Exchanger: direct,
		Quarantine: &outlier.Quarantine{}, CrashReporter: noCrashes{s.t},
		Relays: relays, Peers: s.peers, Observer: observer{s.metrics}, Clock: func() time.Time { return s.clock() }, Log: logging.Discard().Part("owner"),
	})
	s.owner.Sync(time.Now())
}

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
		_ = listener.Close() // Serve may have started after Shutdown
		client.CloseIdle(true)
		wg.Wait()
	})
}

func (s *site) send(idempotent bool, timeout time.Duration) request.Result {
	s.sent++
	req := &request.Request{
		ID: fmt.Sprintf("r%d", s.sent), Service: "loandesk", Server: serverID, Weight: 1,
		Method: "POST", Target: "/loans", Idempotent: idempotent, Deadline: time.Now().Add(timeout),
	}
	ctx, cancel := context.WithDeadline(s.ctx, req.Deadline.Add(s.patience))
	defer cancel()
	result := s.owner.Run(ctx, req)
	if !idempotent {
		s.once[req.ID] = result.Outcome
	}
	return result
}

// mustAnswer sends requests that have to succeed.
func (s *site) mustAnswer(what string, idempotent ...bool) {
	s.t.Helper()
	for _, i := range idempotent {
		if r := s.send(i, 2*time.Second); r.Outcome != request.Answered {
			s.t.Fatalf("%s, idempotent %v: got %s, %s", what, i, r.Outcome, r.Reason)
		}
	}
}

// until waits for the condition and calls between before each further look.
func (s *site) until(what string, condition func() bool, between func()) {
	s.t.Helper()
	for range 3000 {
		if condition() {
			return
		}
		between()
		time.Sleep(10 * time.Millisecond)
	}
	s.t.Errorf("still not true: %s; links %+v", what, s.owner.ServerLinks())
}

// executed counts the executions with the result.
func (s *site) executed(result backendsim.ExecutionResult) int {
	return len(s.host.Executions(func(e backendsim.Execution) bool { return e.Result == result }))
}

func (s *site) counter(change string) int64 {
	counter, ok := s.metrics.Registry().Get("decision.serverlink." + change).(metrics.Counter)
	if !ok {
		return 0
	}
	return counter.Count()
}

func (s *site) counts() backend.Counts { return s.servers.CollectAndReset(time.Now())[0].Counts }

// checkExecutions compares the server's own log with what the owner said.
func (s *site) checkExecutions() {
	s.t.Helper()
	runs := make(map[string]int)
	for _, e := range s.host.Executions(nil) {
		runs[e.RequestID]++
	}
	for id, outcome := range s.once {
		if n := runs[id]; n > 1 || outcome == request.Answered && n != 1 || outcome == request.NotRun && n != 0 {
			s.t.Errorf("request %s ran %d times, outcome %s", id, n, outcome)
		}
	}
	if c, err := s.host.Counters(serverID); err != nil || c.MaxInFlight > 3 {
		s.t.Errorf("%d requests at a time at 3 slots, error %v", c.MaxInFlight, err)
	}
}
