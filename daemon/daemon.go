package daemon

import (
	"cmp"
	"sync/atomic"
	"time"

	"almondstile/backend"
	"almondstile/claim"
	"almondstile/configstore"
	"almondstile/entry"
	"almondstile/entry/httpfront"
	"almondstile/forward"
	"almondstile/httpconn"
	"almondstile/link"
	"almondstile/logging"
	"almondstile/membership"
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

// Daemon is one entry VM's process.
type Daemon struct {
	settings *settings.Settings
	self     vm.VM
	log      *logging.Log
	metrics  *telemetry.Metrics
	sockets  *listeners
	stopping atomic.Bool
	vmList   store.VMList

	fleet *membership.Manager
	// gone is closed when the VM is off the member list for good; its error is
	// set before.
	gone     chan struct{}
	goneErr  error
	follower *configstore.Follower
	planner  *configstore.Planner

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
	front         *httpfront.Server
	operators     *operator.Server
}

const (
	// forwardIdle is above the idle timeout of the pools that connect to it.
	forwardIdle = 30 * time.Second
	// envelopeBytes is room for a forwarded request's fields beside its body.
	envelopeBytes = 256 << 10
)

// New binds the VM's listeners and builds its parts. Run starts them.
func New(s *settings.Settings, p Platform, log *logging.Log) (*Daemon, error) {
	sockets, err := listen(&s.Listen)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: s, log: log, gone: make(chan struct{}), sockets: sockets, metrics: telemetry.New(), vmList: p.VMs,
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

func (d *Daemon) secret() link.Secret { return link.Secret(d.settings.Security.PeerSecret.Reveal()) }

// buildFleet builds what agrees with the other VMs: links, member list,
// configuration.
func (d *Daemon) buildFleet(p Platform) {
	d.control = link.NewServer(d.self.ID, d.secret(), d.links, d.traffic, d.log.Part("link"))
	d.caller = link.NewClient(d.self, d.secret(), d.links, d.control, d.traffic)
	d.fleet = membership.NewManager(membership.Config{
		Self: d.self, Table: p.Table, Caller: d.caller, Log: d.log.Part("membership"),
		Observer:      decisions{d.metrics},
		ConfigVersion: func() uint64 { return d.follower.Index().Version() },
		OnHeartbeat: func(peer vm.VM, heartbeat membership.Heartbeat) {
			d.follower.RecordPeerVersion(peer, heartbeat.ConfigVersion, time.Now())
		},
	})
	d.follower = configstore.NewFollower(p.Table, p.Objects, d.caller, peers{d.fleet}, d.log.Part("config"),
		configstore.Options{Observer: decisions{d.metrics}})
	d.planner = configstore.NewPlanner(p.Table, p.Objects, d.follower, d.log.Part("config"))
}

// buildOwner builds what this VM does for the servers and services it holds.
func (d *Daemon) buildOwner() {
	options := backend.DefaultOptions()
	options.MaxQueue = d.settings.Limits.QueueLength
	options.MaxQueuePerTeam = max(1, d.settings.Limits.QueueLength/2)
	d.servers = backend.NewServers(options)
	quarantine := &outlier.Quarantine{Observer: decisions{d.metrics}}
	log := d.log.Part("outlier")
	d.reporter = outlier.NewReporter(d.servers, quarantine, d.fleet, d.follower, d.caller, time.Now, log)
	d.homes = outlier.NewHomes(quarantine, d.fleet, d.follower, d.caller, time.Now, log)
	d.homes.SetObserver(decisions{d.metrics})
	pool := httpconn.DefaultOptions()
	pool.MaxResponseBytes = d.settings.Limits.ResponseBytes
	d.upstream = upstream.NewClient(pool)
	pool.MaxResponseBytes += envelopeBytes
	d.relays = forward.NewExchangeClient(d.self.ID, d.secret(), d.links, pool)
	d.owner = owner.New(owner.Dependencies{
		Source: d.follower, Members: d.fleet, Servers: d.servers, Exchanger: d.upstream,
		Quarantine: quarantine, CrashReporter: d.reporter, Observer: decisions{d.metrics},
		Relays: d.relays, Peers: d.links,
		Clock: time.Now, Log: d.log.Part("owner"),
	})
}

func (d *Daemon) buildQuota(p Platform) {
	d.buckets = quota.NewHomes(d.fleet, d.follower, d.caller, time.Now)
	d.tokens = quota.NewTokenClient(d.self, d.fleet, d.caller, time.Now)
	d.claims = claim.New(d.self, p.Table, time.Now)
}

func (d *Daemon) buildRequestPath() {
	limits := &d.settings.Limits
	pool := httpconn.DefaultOptions()
	pool.MaxResponseBytes = limits.ResponseBytes + envelopeBytes
	d.forwardClient = forward.NewClient(d.self.ID, d.secret(), d.links, d.owner, pool)
	d.forwardServer = forward.NewServer(d.self.ID, d.secret(), d.links, d.fleet, d.owner, d.forwardClient,
		forward.Options{MaxMessageBytes: limits.BodyBytes + envelopeBytes, IdleTimeout: forwardIdle}, d.log.Part("forward"))
	d.forwardServer.SetExchangeRelay(owner.NewRelay(d.follower, d.fleet, d.upstream, time.Now))
	dispatcher := entry.NewDispatcher(entry.Dependencies{
		ConfigSource: d.follower, Membership: readiness{d}, Tokens: d.tokens, Claims: claims{d.claims, d.log.Part("claim")},
		Forwarder: d.forwardClient, Links: d.links, Observer: decisions{d.metrics}, Clock: time.Now,
		Limits: entry.Limits{MaxInFlight: limits.Requests, MaxInFlightPerTeam: limits.RequestsPerTeam},
	})
	d.front = httpfront.New(dispatcher, httpfront.Options{
		MaxHeaderBytes: limits.HeaderBytes, MaxBodyBytes: limits.BodyBytes, MaxConnections: limits.Connections,
		ReadTimeout: limits.ReadTimeout(), WriteTimeout: limits.WriteTimeout(), IdleTimeout: limits.IdleTimeout(),
	}, d.log.Part("callers"))
}

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

// Self returns the VM's identity with its bound addresses.
func (d *Daemon) Self() vm.VM { return d.self }

// CallersAddress and OperatorAddress return the bound addresses.
func (d *Daemon) CallersAddress() string { return d.sockets.callers.Addr().String() }

// OperatorAddress returns the IP:port of the operators' listener.
func (d *Daemon) OperatorAddress() string { return d.sockets.operator.Addr().String() }

// Ready reports whether the balancer may send callers here, or why not.
func (d *Daemon) Ready(now time.Time) (bool, string) {
	switch {
	case d.stopping.Load():
		return false, "shutting down"
	case !d.follower.Loaded():
		return false, "no configuration yet"
	}
	return d.fleet.Ready(now)
}

// readiness is the fleet as the entry side sees it: a VM that is shutting down
// still serves the requests that reach it.
type readiness struct{ d *Daemon }

func (r readiness) List() vm.MemberList { return r.d.fleet.List() }
func (r readiness) Self() vm.VM         { return r.d.self }
func (r readiness) Ready(now time.Time) (bool, string) {
	if !r.d.follower.Loaded() {
		return false, "no configuration yet"
	}
	return r.d.fleet.Ready(now)
}

// peers names the other VMs to the configuration's follower.
type peers struct{ fleet *membership.Manager }

func (p peers) Peers() []vm.VM {
	self := p.fleet.Self().ID
	var others []vm.VM
	for _, v := range p.fleet.List().VMs {
		if v.ID != self {
			others = append(others, v)
		}
	}
	return others
}

// Planner returns the planner of the operators' listener.
func (d *Daemon) Planner() *configstore.Planner { return d.planner }

// ConfigurationVersion returns the version in force at this VM.
func (d *Daemon) ConfigurationVersion() uint64 { return d.follower.Index().Version() }

// MemberCount returns the number of VMs in this VM's member list.
func (d *Daemon) MemberCount() int { return len(d.fleet.List().VMs) }
