package outlier

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"almondstile/backend"
	"almondstile/contract"
	"almondstile/link"
	"almondstile/logging"
	"almondstile/request"
	"almondstile/vm"
)

// The simulated service is the smallest one that the detection bounds apply to.
const (
	simService      contract.ServiceID = "shelfview"
	simServers                         = 6
	simRequestRate                     = 60.0 // requests/s
	simEntryVMs                        = 48
	simLatency                         = 20 * time.Millisecond // median
	simLatencySigma                    = 0.5                   // sigma of the log-normal latency distribution
	simErrorShare                      = 0.005
	simWarmup                          = 15 * time.Second
	simTimeout                         = 2 * time.Second
	simReportDelay                     = 2 * time.Millisecond
)

var simStart = time.Unix(1_700_000_000, 0)

// fault changes the behaviour of one server, or of all servers if server < 0, between
// two times since simStart.
type fault struct {
	server                     int
	from, until                time.Duration
	latencyFactor              float64
	errorShare, truncatedShare float64
}

// fleet simulates entry VMs, owners and the service's home in simulated time. It
// uses the real Reporter, Homes and Servers with a caller that needs no network.
type fleet struct {
	rng    *rand.Rand
	now    time.Time
	events eventQueue
	index  *contract.Index
	nodes  map[vm.ID]*node
	list   vm.MemberList
	faults []fault
	// views holds the server states that each entry VM knows.
	views [simEntryVMs]map[contract.ServerID]backend.ServerState
	// ejected holds the time of the first ejection of each server.
	ejected map[contract.ServerID]time.Time
	// waiting are the attempts whose owner has not decided yet, in order of arrival.
	waiting []*attempt
}

// node is one VM, with its parts as owner and as home.
type node struct {
	fleet           *fleet
	self            vm.VM
	servers         *backend.Servers
	reporter        *Reporter
	homes           *Homes
	handlers        map[string]link.Handler
	lastSent        time.Time
	reportScheduled bool
}

// attempt is one request. If it is rejected, it is dispatched again up to twice.
type attempt struct {
	entry   int
	server  int
	node    *node
	ticket  *backend.Ticket
	retries int
}

func newFleet(seed uint64, ablation Ablation, faults ...fault) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), now: simStart, faults: faults,
		nodes: map[vm.ID]*node{}, ejected: map[contract.ServerID]time.Time{},
	}
	service := contract.Service{ID: simService, FloorShare: 0.5}
	for i := 0; i < simServers; i++ {
		service.Servers = append(service.Servers, contract.Server{ID: serverID(i), Slots: 3, ColdSlots: 1, MaxConnections: 330})
	}
	f.index = contract.NewIndex(&contract.Configuration{Version: 1, Services: []contract.Service{service}})
	for i := 0; i < 12; i++ {
		f.list.VMs = append(f.list.VMs, vm.VM{ID: vm.ID(fmt.Sprintf("vm-%d", i))})
	}
	for _, v := range f.list.VMs {
		f.addNode(v, ablation)
	}
	for i := range service.Servers {
		f.owner(i).servers.Configure(f.now, simService, service.Servers[i], true)
	}
	for i := range f.views {
		f.views[i] = map[contract.ServerID]backend.ServerState{}
	}
	return f
}

func (f *fleet) addNode(v vm.VM, ablation Ablation) {
	n := &node{fleet: f, self: v, servers: backend.NewServers(backend.DefaultOptions())}
	clock, q, log := func() time.Time { return f.now }, &Quarantine{}, logging.Discard().Part("sim")
	n.reporter = NewReporter(n.servers, q, n, n, n, clock, log)
	n.homes = NewHomes(q, n, n, n, clock, log)
	n.homes.ablation = ablation
	n.handlers = n.homes.Handlers()
	for method, handler := range n.reporter.Handlers() {
		n.handlers[method] = handler
	}
	f.nodes[v.ID] = n
	phase := time.Duration(f.rng.Float64() * float64(ReportInterval))
	f.after(phase, func() { n.tick() })
}

func (n *node) List() vm.MemberList    { return n.fleet.list }
func (n *node) Self() vm.VM            { return n.self }
func (n *node) Index() *contract.Index { return n.fleet.index }
func (n *node) MayAct(_ time.Time, role vm.Role) (time.Time, bool) {
	holder, _ := n.fleet.list.Holder(role)
	return simStart, holder.ID == n.self.ID
}

// Call delivers a message encoded as JSON, as the link does.
func (n *node) Call(ctx context.Context, to vm.VM, method string, params, result any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := n.fleet.nodes[to.ID].handlers[method](ctx, n.self.ID, raw)
	if err != nil {
		return err
	}
	if raw, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

func (n *node) tick() {
	n.report()
	n.fleet.after(ReportInterval, n.tick)
}

func (n *node) report() {
	n.lastSent = n.fleet.now
	n.reporter.ReportOnce(context.Background())
	n.fleet.deliverDecisions()
	for i := 0; i < simServers; i++ {
		if st, ok := n.servers.Status(n.fleet.now, serverID(i)); ok && st.HealthState == backend.Ejected {
			if _, seen := n.fleet.ejected[st.Server]; !seen {
				n.fleet.ejected[st.Server] = n.fleet.now
			}
		}
	}
}

// reportAfterFault schedules an early report if a request showed a fault.
func (n *node) reportAfterFault() {
	select {
	case <-n.servers.FaultObserved():
	default:
		return
	}
	if n.reportScheduled {
		return
	}
	n.reportScheduled = true
	wait := max(simReportDelay, faultReportInterval-n.fleet.now.Sub(n.lastSent))
	n.fleet.after(wait, func() { n.reportScheduled = false; n.report() })
}

func serverID(i int) contract.ServerID {
	return contract.ServerID(fmt.Sprintf("%s-%d", simService, i))
}

func (f *fleet) owner(i int) *node {
	holder, _ := f.list.Holder(f.index.Server(serverID(i)).OwnerRole())
	return f.nodes[holder.ID]
}

func (f *fleet) run(length time.Duration) {
	f.after(0, f.generateRequests)
	for end := simStart.Add(length); ; {
		e := heap.Pop(&f.events).(event)
		if e.at.After(end) {
			return
		}
		f.now = e.at
		e.do()
	}
}

func (f *fleet) generateRequests() {
	f.dispatch(&attempt{entry: f.rng.IntN(simEntryVMs)})
	f.after(time.Duration(f.rng.ExpFloat64()/simRequestRate*float64(time.Second)), f.generateRequests)
}

// dispatch selects a server by the power of two choices from the states that the
// entry VM knows, and requests a slot at its owner.
func (f *fleet) dispatch(a *attempt) {
	load := func(i int) float64 {
		s := f.views[a.entry][serverID(i)]
		if s.Ejected {
			return math.Inf(1)
		}
		return s.Load
	}
	a.server = f.rng.IntN(simServers)
	if other := f.rng.IntN(simServers); load(other) < load(a.server) {
		a.server = other
	}
	a.node = f.owner(a.server)
	r := &request.Request{Server: serverID(a.server), Weight: 1, Deadline: f.now.Add(simTimeout)}
	a.ticket = a.node.servers.RequestSlot(f.now, r)
	f.waiting = append(f.waiting, a)
	f.deliverDecisions()
}

// deliverDecisions handles the decisions that are available, in order of arrival, so
// that each seed always gives the same run.
func (f *fleet) deliverDecisions() {
	f.waiting = slices.DeleteFunc(f.waiting, func(a *attempt) bool {
		select {
		case d := <-a.ticket.Decided():
			f.handleDecision(a, d)
			return true
		default:
			return false
		}
	})
}

func (f *fleet) handleDecision(a *attempt, d backend.Decision) {
	if !d.Admitted {
		f.updateView(a)
		if a.retries++; a.retries <= 2 {
			f.after(time.Millisecond, func() { f.dispatch(a) })
		}
		return
	}
	sample := f.serveRequest(a.server)
	f.after(sample.Latency, func() {
		a.node.servers.ReleaseSlot(f.now, a.ticket, sample)
		f.updateView(a)
		a.node.reportAfterFault()
		f.deliverDecisions()
	})
}

func (f *fleet) updateView(a *attempt) {
	states, _ := backend.DecodeStates(a.node.servers.ServiceState(simService))
	for _, s := range states {
		f.views[a.entry][s.Server] = s
	}
}

// serveRequest draws the latency and outcome of a request that starts now.
func (f *fleet) serveRequest(server int) backend.Sample {
	latencyFactor, errorShare, truncatedShare := 1.0, simErrorShare, 0.0
	at := f.now.Sub(simStart)
	for _, x := range f.faults {
		if (x.server < 0 || x.server == server) && at >= x.from && at < x.until {
			latencyFactor, errorShare, truncatedShare = max(latencyFactor, x.latencyFactor), max(errorShare, x.errorShare), max(truncatedShare, x.truncatedShare)
		}
	}
	s := backend.Sample{Instance: "a"}
	s.Latency = min(simTimeout, time.Duration(float64(simLatency)*latencyFactor*math.Exp(simLatencySigma*f.rng.NormFloat64())))
	switch draw := f.rng.Float64(); {
	case s.Latency >= simTimeout:
		s.Outcome = backend.Lost
	case draw < errorShare:
		s.Outcome = backend.ErrorStatus
	case draw < errorShare+truncatedShare:
		s.Outcome = backend.Truncated
	}
	return s
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue struct {
	list []event
	seq  int
}

func (f *fleet) after(d time.Duration, do func()) {
	f.events.seq++
	heap.Push(&f.events, event{f.now.Add(d), f.events.seq, do})
}

func (q *eventQueue) Len() int      { return len(q.list) }
func (q *eventQueue) Swap(i, j int) { q.list[i], q.list[j] = q.list[j], q.list[i] }
func (q *eventQueue) Push(x any)    { q.list = append(q.list, x.(event)) }
func (q *eventQueue) Less(i, j int) bool {
	a, b := q.list[i], q.list[j]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.seq < b.seq
}
func (q *eventQueue) Pop() any {
	last := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	return last
}
