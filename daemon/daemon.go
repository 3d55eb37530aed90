package daemon

import (
	"cmp"
	"sync/atomic"
	"time"

	"almondstile/backend"
	"almondstile/claim"
	"almondstile/configstore"
	"almondstile/contract"
	"almondstile/descriptors"
	"almondstile/entry"
	"almondstile/entry/httpfront"
	"almondstile/forward"
	"almondstile/httpconn"
	"almondstile/link"
	"almondstile/logging"
	"almondstile/membership"
	"almondstile/memory"
	"almondstile/operator"
	"almondstile/outlier"
	"almondstile/owner"
	"almondstile/quota"
	"almondstile/settings"
	"almondstile/store"
	"almondstile/telemetry"
	"almondstile/upstream"
	"almondstile/vm"

	"github.com/google/uuid"
)

// Daemon is the process of one entry VM. It accepts callers' requests, forwards
// them to backend servers and holds roles for the other VMs of the fleet.
type Daemon struct {
	settings *settings.Settings
	self     vm.VM
	log      *logging.Log
	metrics  *telemetry.Metrics
	sockets  *listeners
	stopping atomic.Bool
	vmList   store.VMList

	fleet *membership.Manager
	// membershipEnded is closed when fleet.Run returns: this VM is off the member
	// list for good. membershipErr, the error of Run, is set before the close.
	membershipEnded chan struct{}
	membershipErr   error
	follower        *configstore.Follower
	planner         *configstore.Planner

	links   *link.Links
	traffic *link.Traffic
	control *link.Server
	caller  *link.Client

	upstream *upstream.Client
	servers  *backend.Servers
	owner    *owner.Owner
	relays   *forward.ExchangeClient
	reporter *outlier.Reporter
	homes    *outlier.Homes

	buckets *quota.Homes
	tokens  *quota.TokenClient
	claims  *claim.Claims

	forwardClient *forward.Client
	forwardServer *forward.Server
	dispatcher    *entry.Dispatcher
	budget        *memory.Budget // of the bytes held for callers
	front         *httpfront.Server
	operators     *operator.Server
}

const (
	// forwardIdleTimeout exceeds the idle timeout of the connection pools of other
	// VMs (5 s), so that the client closes an idle connection first.
	forwardIdleTimeout = 30 * time.Second
	// maxEnvelopeBytes is the size allowed for the fields of a forwarded request or
	// response in addition to its body.
	maxEnvelopeBytes = 256 << 10
)

// New binds the VM's listeners and creates its components. Run starts them. New
// returns an error marked ErrListen if an address cannot be bound.
func New(s *settings.Settings, p Platform, log *logging.Log) (*Daemon, error) {
	sockets, err := listen(&s.Listen)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: s, log: log, membershipEnded: make(chan struct{}), sockets: sockets, metrics: telemetry.New(), vmList: p.VMs,
		links: &link.Links{}, traffic: &link.Traffic{},
		self: vm.VM{
			ID: s.VM.ID, Zone: s.VM.Zone, Incarnation: uuid.NewString(),
			ForwardAddress: cmp.Or(s.Listen.AdvertiseForward, sockets.forward.Addr().String()),
			ControlAddress: cmp.Or(s.Listen.AdvertiseControl, sockets.control.Addr().String()),
		},
	}
	d.buildFleet(p)
	d.buildOwner()
	d.buildQuota(p)
	d.buildRequestPath()
	d.buildOperators()
	d.registerHandlers()
	return d, nil
}

// secret returns the secret that the VMs share to authenticate to each other.
func (d *Daemon) secret() link.Secret { return link.Secret(d.settings.Security.PeerSecret.Reveal()) }

// buildFleet creates the components that talk to other VMs and the store: links,
// the member list, and the follower and planner of the configuration.
func (d *Daemon) buildFleet(p Platform) {
	d.control = link.NewServer(d.self.ID, d.secret(), d.links, d.traffic, d.log.Part("link"))
	d.caller = link.NewClient(d.self, d.secret(), d.links, d.control, d.traffic)
	d.fleet = membership.NewManager(membership.Config{
		Self: d.self, Table: p.Table, Caller: d.caller, Log: d.log.Part("membership"),
		Observer:      decisionCounter{d.metrics},
		ConfigVersion: func() uint64 { return d.follower.Index().Version() },
		OnHeartbeat: func(peer vm.VM, heartbeat membership.Heartbeat) {
			d.follower.RecordPeerVersion(peer, heartbeat.ConfigVersion, time.Now())
		},
	})
	d.follower = configstore.NewFollower(p.Table, p.Objects, d.caller, peerSource{d.fleet}, d.log.Part("config"),
		configstore.Options{Observer: decisionCounter{d.metrics}})
	d.planner = configstore.NewPlanner(p.Table, p.Objects, d.follower, d.log.Part("config"))
}

// buildOwner creates the components for the servers that this VM owns and the
// services that it is the home of: queues, outlier detection, the upstream client.
func (d *Daemon) buildOwner() {
	options := backend.DefaultOptions()
	options.MaxQueue = d.settings.Limits.QueueLength
	options.MaxQueuePerTeam = max(1, d.settings.Limits.QueueLength/2)
	d.servers = backend.NewServers(options)
	quarantine := &outlier.Quarantine{Observer: decisionCounter{d.metrics}}
	log := d.log.Part("outlier")
	d.reporter = outlier.NewReporter(d.servers, quarantine, d.fleet, d.follower, d.caller, time.Now, log)
	d.homes = outlier.NewHomes(quarantine, d.fleet, d.follower, d.caller, time.Now, log)
	d.homes.SetObserver(decisionCounter{d.metrics})
	memoryBytes := int64(d.settings.Limits.MemoryBytes)
	memory.LimitRuntime(memoryBytes)
	d.budget = memory.NewBudget(memory.BudgetBytes(memoryBytes), time.Now, d.metrics)
	pool := d.poolOptions()
	pool.MaxResponseBytes = d.settings.Limits.ResponseBytes
	d.upstream = upstream.NewClient(pool)
	pool.MaxResponseBytes += maxEnvelopeBytes
	d.relays = forward.NewExchangeClient(d.self.ID, d.secret(), d.links, pool)
	d.owner = owner.New(owner.Dependencies{
		Source: d.follower, Members: d.fleet, Servers: d.servers, Exchanger: d.upstream,
		Quarantine: quarantine, CrashReporter: d.reporter, Observer: decisionCounter{d.metrics},
		Relays: d.relays, Peers: d.links,
		Clock: time.Now, Log: d.log.Part("owner"),
	})
}

// poolOptions returns the options of the pools of connections to servers and other VMs.
func (d *Daemon) poolOptions() httpconn.Options {
	options := httpconn.DefaultOptions()
	options.Budget = d.budget
	options.MaxIdle = min(descriptors.ForIdleConnections(descriptors.Limit(0)), memory.MaxIdleConnections(int64(d.settings.Limits.MemoryBytes), httpconn.BufferBytes))
	return options
}

// buildQuota creates the team token buckets, their client and the claims.
func (d *Daemon) buildQuota(p Platform) {
	d.buckets = quota.NewHomes(d.fleet, d.follower, d.caller, time.Now)
	d.tokens = quota.NewTokenClient(d.self, d.fleet, d.caller, time.Now)
	d.claims = claim.New(d.self, p.Table, time.Now)
}

// buildRequestPath creates the components that a caller's request passes: the HTTP
// front end, the dispatcher, and the client and server for forwarding between VMs.
func (d *Daemon) buildRequestPath() {
	limits := &d.settings.Limits
	pool := d.poolOptions()
	pool.MaxResponseBytes = limits.ResponseBytes + maxEnvelopeBytes
	d.forwardClient = forward.NewClient(d.self.ID, d.secret(), d.links, d.owner, pool)
	d.forwardServer = forward.NewServer(d.self.ID, d.secret(), d.links, d.fleet, d.owner, d.forwardClient,
		forward.Options{MaxMessageBytes: limits.BodyBytes + maxEnvelopeBytes, IdleTimeout: forwardIdleTimeout, Budget: d.budget}, d.log.Part("forward"))
	d.forwardServer.SetExchangeRelay(owner.NewRelay(d.follower, d.fleet, d.upstream, time.Now))
	d.dispatcher = entry.NewDispatcher(entry.Dependencies{
		ConfigSource: d.follower, Membership: entryMembership{d}, Tokens: d.tokens, Claims: claimAdapter{d.claims, d.log.Part("claim")},
		Forwarder: d.forwardClient, Links: d.links, Observer: decisionCounter{d.metrics}, Clock: time.Now,
		Limits: entry.Limits{MaxInFlight: limits.Requests, MaxInFlightPerTeam: limits.RequestsPerTeam},
	})
	maxConnections := min(limits.Connections, descriptors.ForCallers(descriptors.Limit(0)), memory.MaxConnections(int64(limits.MemoryBytes), limits.HeaderBytes))
	d.front = httpfront.New(d.dispatcher, httpfront.Options{
		Budget: d.budget,
		Limits: func() contract.CallerLimits {
			return contract.CallerLimits{HeaderTimeout: limits.HeaderTimeout()}
		},
		MaxHeaderBytes: limits.HeaderBytes, MaxBodyBytes: limits.BodyBytes, MaxConnections: maxConnections,
		ReadTimeout: limits.ReadTimeout(), WriteTimeout: limits.WriteTimeout(), IdleTimeout: limits.IdleTimeout(),
	}, d.log.Part("callers"))
}

// registerHandlers registers the methods that other VMs call on the control
// listener.
func (d *Daemon) registerHandlers() {
	d.control.Handle(membership.HeartbeatMethod, d.fleet.HeartbeatHandler())
	d.control.Handle(configstore.MethodDeltas, d.follower.DeltasHandler())
	d.buckets.Register(d.control)
	d.tokens.Register(d.control)
	for method, handler := range d.reporter.Handlers() {
		d.control.Handle(method, handler)
	}
	for method, handler := range d.homes.Handlers() {
		d.control.Handle(method, handler)
	}
}

// Self returns this VM's ID, zone, incarnation and the addresses that it
// advertises to other VMs.
func (d *Daemon) Self() vm.VM { return d.self }

// CallersAddress returns the IP:port of the callers' listener.
func (d *Daemon) CallersAddress() string { return d.sockets.callers.Addr().String() }

// OperatorAddress returns the IP:port of the operators' listener.
func (d *Daemon) OperatorAddress() string { return d.sockets.operator.Addr().String() }

// Ready reports whether the load balancer may send callers to this VM and, if
// not, the reason. The VM is not ready during the shutdown, before the first
// configuration is loaded, and while the membership is not ready.
func (d *Daemon) Ready(now time.Time) (bool, string) {
	switch {
	case d.stopping.Load():
		return false, "shutting down"
	case !d.follower.Loaded():
		return false, "no configuration yet"
	}
	return d.fleet.Ready(now)
}

// entryMembership implements entry.Membership. Unlike Daemon.Ready, its Ready does
// not depend on the shutdown, because a VM that is shutting down still serves the
// requests that reach it.
type entryMembership struct{ d *Daemon }

func (m entryMembership) List() vm.MemberList { return m.d.fleet.List() }
func (m entryMembership) Self() vm.VM         { return m.d.self }
func (m entryMembership) Ready(now time.Time) (bool, string) {
	if !m.d.follower.Loaded() {
		return false, "no configuration yet"
	}
	return m.d.fleet.Ready(now)
}

// peerSource returns the VMs that the configuration follower can ask for missing
// configuration versions: all members except this VM.
type peerSource struct{ fleet *membership.Manager }

func (p peerSource) Peers() []vm.VM {
	self := p.fleet.Self().ID
	var others []vm.VM
	for _, v := range p.fleet.List().VMs {
		if v.ID != self {
			others = append(others, v)
		}
	}
	return others
}

// Planner returns the planner that the operators' listener uses.
func (d *Daemon) Planner() *configstore.Planner { return d.planner }

// ConfigurationVersion returns the configuration version in force at this VM.
func (d *Daemon) ConfigurationVersion() uint64 { return d.follower.Index().Version() }

// MemberCount returns the number of VMs in this VM's member list.
func (d *Daemon) MemberCount() int { return len(d.fleet.List().VMs) }
