package hosted

import (
	"context"
	"net"
	"time"

	"almondstile/boottime"
	"almondstile/callrate"
	"almondstile/catalog"
	"almondstile/contract"
	"almondstile/direct"
	"almondstile/entry/httpfront"
	"almondstile/fleet"
	"almondstile/gossip"
	"almondstile/guard"
	"almondstile/history"
	"almondstile/httpconn"
	"almondstile/logging"
	"almondstile/memory"
	"almondstile/request"
	"almondstile/rollout/replica"
	"almondstile/tally"
	"almondstile/telemetry"
	"almondstile/upstream"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
)

// CallLimiter decides when calls to the store may be made.
type CallLimiter interface {
	// Wait blocks until a call of the kind may be made. It returns an error if it may not be
	// made before the context ends.
	Wait(ctx context.Context, kind callrate.Kind) error
	// RecordOverload records that the store rejected a call because of the rate of calls.
	RecordOverload(kind callrate.Kind)
}

// Store is the part of the platform's store that a VM uses.
type Store interface {
	catalog.Store
	RolloutStore
	// LimitCalls makes all calls wait for the limiter.
	LimitCalls(limiter CallLimiter)
	// VMs returns the VMs that are announced in the store, and the number that the store
	// gives the era of its history.
	VMs(ctx context.Context) (vms []vm.VM, era uint64, err error)
	// Announce adds a VM to those that VMs returns. Announcing a VM again has no
	// further effect.
	Announce(ctx context.Context, v vm.VM) error
}

// Platform holds the parts of a process that differ from platform to platform: the
// store, the format of its rows and the protocols of callers and backend servers.
type Platform struct {
	Store          Store
	Decoder        catalog.Decoder
	CallerProtocol httpfront.Protocol
	ServerProtocol upstream.Protocol
}

// Limits of callers' connections. The first two and callerIdleTimeout apply where the
// configuration in force states no limit; no head may be larger than maxHeaderBytes.
const (
	maxHeaderBytes = 32 << 10
	maxBodyBytes   = 64 << 20
	// readTimeout bounds receiving one request.
	readTimeout = 20 * time.Second
	// writeTimeout bounds sending one response to a slow caller.
	writeTimeout = 20 * time.Second
	// callerIdleTimeout bounds how long a connection without requests is kept. It is
	// longer than callers keep theirs.
	callerIdleTimeout = 90 * time.Second
)

// Connections to backend servers.
const (
	// serverIdleTimeout bounds how long an idle connection is kept.
	serverIdleTimeout = 8 * time.Second
	// unannouncedServerIdleTimeout applies to servers that do not announce how long
	// they keep idle connections. Servers announce whole seconds only, so such a
	// server may keep them for less than 1 s.
	unannouncedServerIdleTimeout = 400 * time.Millisecond
	// serverConnectTimeout bounds opening a connection. Servers are in the same
	// region, a few milliseconds away. If a server does not respond in this time, it
	// is unreachable, and another one may still serve the request in time.
	serverConnectTimeout = 200 * time.Millisecond
	// maxIdleConnectionsPerServer bounds the idle connections of this VM to one
	// server. It is small because all VMs keep connections to the same servers.
	maxIdleConnectionsPerServer = 6
)

// serverConnectionOptions returns the options of connections to backend servers.
func serverConnectionOptions(s *Settings, budget *memory.Budget) httpconn.Options {
	options := httpconn.DefaultOptions()
	options.Budget = budget
	options.MaxIdle = s.maxIdleServerConnections()
	options.IdleTimeout, options.IdleTimeoutWithoutKeepAlive = serverIdleTimeout, unannouncedServerIdleTimeout
	options.MaxIdlePerAddress = maxIdleConnectionsPerServer
	options.ConnectTimeout = serverConnectTimeout
	options.AllowCloseDelimitedBodies = true
	return options
}

// Process is the process of one VM.
type Process struct {
	settings       *Settings
	urgentSend     chan struct{} // makes node send at once
	log            *logging.Log
	metrics        *telemetry.Metrics
	guard          *guard.Guard
	catalog        *catalog.Catalog
	roster         *fleet.Roster
	ledger         *tally.Ledger
	state          *direct.ReplicatedState
	node           *gossip.Node
	upstream       *upstream.Client
	dispatcher     *direct.Dispatcher
	budget         *memory.Budget // of the bytes held for callers
	front          *httpfront.Server
	callerListener net.Listener
	readyServer    *statusServer
	metricsServer  *statusServer
	store          Store
	// rollouts is nil in a deployment without roll-outs.
	rollouts *rolloutKeeper
}

// New assembles the process and opens its listeners. Run starts it.
func New(s *Settings, p Platform, log *logging.Log) (*Process, error) {
	now := time.Now()
	v := &Process{
		urgentSend: make(chan struct{}, 1),
		settings:   s, log: log, store: p.Store, metrics: telemetry.New(),
		catalog: catalog.New(p.Decoder, boottime.Now, log.Part("catalog")),
		roster:  fleet.NewRoster(now, s.Self),
	}
	v.store.LimitCalls(callrate.NewShare(s.StoreLimits, v.roster.Size, boottime.Now))
	v.budget = v.newBudget()
	v.upstream = upstream.NewClientWithProtocol(p.ServerProtocol, serverConnectionOptions(s, v.budget))
	v.guard = guard.New(log.Part("guard"), v.metrics)
	v.catalog.Observer = catalogObserver{v.metrics}
	v.catalog.Rollouts = s.Rollout.Enabled()
	v.state = direct.NewReplicatedState(now, v.roster, s.RetryBudget)
	v.state.Rollouts = replica.New(s.Self, s.Rollout, s.changeDelay())
	v.ledger = tally.NewLedger(now, tally.OriginOf(s.Self.ID, s.Self.Incarnation), v.state, v.notifyUrgent)
	v.dispatcher = direct.NewDispatcher(direct.Dependencies{
		Self: s.Self, Source: v.catalog, ReplicatedState: v.state, Ledger: v.ledger, Exchanger: v.upstream,
		Fleet: v.roster, Observer: v.metrics, Guard: v.guard, Limits: direct.Limits{MaxKeyDataAge: s.maxKeyAge()}, IgnoreCosts: s.IgnoreCosts, HoldForRoom: s.HoldForRoom,
		Log: log.Part("request"), Clock: time.Now, BootTime: boottime.Now,
	})
	if v.state.Rollouts != nil {
		v.rollouts = &rolloutKeeper{
			rollouts: v.state.Rollouts, servers: v.dispatcher.RolloutServers, catalog: v.catalog, roster: v.roster, ledger: v.ledger,
			store: p.Store, startedAt: now, guard: v.guard, metrics: v.metrics, log: log.Part("rollout"),
			logged: make(map[contract.ServiceID]loggedDecision), open: make(map[contract.ServiceID]bool),
		}
	}
	v.front = httpfront.New(v.dispatcher, httpfront.Options{
		MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: maxBodyBytes, MaxConnections: s.maxCallerConnections(),
		Limits: v.callerLimits, Budget: v.budget,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: callerIdleTimeout,
		Protocol: p.CallerProtocol, Guard: v.guard,
	}, log.Part("callers"))
	return v, v.listen()
}

// catalogObserver records the ages of the catalog's copies and the calls to the store in
// the metrics.
type catalogObserver struct{ metrics *telemetry.Metrics }

// CopyAge implements catalog.Observer.
func (o catalogObserver) CopyAge(t catalog.Table, age time.Duration) {
	o.metrics.CopyAge(t.String(), age)
}

// StoreCall implements catalog.Observer.
func (o catalogObserver) StoreCall(t catalog.Table, kind catalog.CallKind, result catalog.Result) {
	o.metrics.StoreCall(t.String(), string(kind), string(result))
}

// NewEra implements catalog.Observer.
func (o catalogObserver) NewEra(t catalog.Table, era history.Era) {
	o.metrics.Count("store_new_era." + t.String())
	o.metrics.Gauge("store."+t.String()+".stated_era", int64(era.Stated))
	o.metrics.Gauge("store."+t.String()+".found_era", int64(era.Found))
}

// notifyUrgent lets the gossip node send its counters at once. It does not block.
func (v *Process) notifyUrgent() {
	select {
	case v.urgentSend <- struct{}{}:
	default: // an urgent send is already pending
	}
}

// listen opens the listeners for VMs, callers, readiness and metrics.
func (v *Process) listen() error {
	node, err := gossip.Listen(gossip.Dependencies{
		Roster: v.roster, Ledger: v.ledger, Catalog: v.catalog, Attempts: v.state.RetryBudgets, Seeds: v.settings.Seeds, Log: v.log.Part("gossip"),
		UrgentSignal: v.urgentSend, Guard: v.guard, Observer: v.metrics, LinkBytesPerSecond: v.settings.LinkBytesPerSecond,
	})
	if err != nil {
		return err
	}
	v.node = node
	if v.callerListener, err = net.Listen("tcp4", v.settings.CallersAddress); err != nil {
		return errors.Wrapf(err, "listening for callers on %s", v.settings.CallersAddress)
	}
	if v.readyServer, err = newStatusServer(v.settings.ReadyAddress, v.isReady, v.metrics, v.guard, v.budget, v.log.Part("status")); err != nil {
		return err
	}
	v.metricsServer, err = newStatusServer(v.settings.MetricsAddress, v.isReady, v.metrics, v.guard, v.budget, v.log.Part("status"))
	return err
}

// isReady reports whether the VM can serve requests, and otherwise the reason why
// not.
func (v *Process) isReady() (bool, request.Reason) {
	select {
	case <-v.guard.Failed():
		return false, request.ReasonInternal
	default:
	}
	if !v.front.Accepting() {
		return false, request.ReasonOverloaded
	}
	return v.dispatcher.Ready()
}
