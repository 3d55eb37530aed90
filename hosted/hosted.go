package hosted

import (
	"context"
	"net"
	"time"

	"almondstile/boottime"
	"almondstile/catalog"
	"almondstile/direct"
	"almondstile/entry/httpfront"
	"almondstile/fleet"
	"almondstile/gossip"
	"almondstile/httpconn"
	"almondstile/logging"
	"almondstile/request"
	"almondstile/tally"
	"almondstile/telemetry"
	"almondstile/upstream"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
)

// Store is what a VM needs from the platform's store.
type Store interface {
	catalog.Store
	// VMs returns the VMs that announced themselves.
	VMs(ctx context.Context) ([]vm.VM, error)
	// Announce makes a VM known to those that start later. It may be repeated.
	Announce(ctx context.Context, v vm.VM) error
}

// Platform is what differs from one platform to another.
type Platform struct {
	Store          Store
	Decoder        catalog.Decoder
	CallerProtocol httpfront.Protocol
	ServerProtocol upstream.Protocol
}

// Limits of callers' connections.
const (
	maxHeaderBytes = 32 << 10
	maxBodyBytes   = 64 << 20
	// readTimeout bounds receiving one request.
	readTimeout = 20 * time.Second
	// writeTimeout bounds sending one response to a slow caller.
	writeTimeout = 20 * time.Second
	// callerIdle is above the time for which callers keep connections.
	callerIdle = 90 * time.Second
)

// Connections to backend servers.
const (
	// serverIdle bounds how long an unused connection is kept.
	serverIdle = 8 * time.Second
	// unannouncedServerIdle applies to servers that do not say how long they
	// keep one: they announce whole seconds only.
	unannouncedServerIdle = 400 * time.Millisecond
	// serverConnect bounds opening a connection. Servers are a few milliseconds
	// away, at most a region; one that does not answer is dark, and another may
	// still serve the request in time.
	serverConnect = 200 * time.Millisecond
	// maxIdlePerServer bounds the unused connections to one server, which all
	// VMs share out among them.
	maxIdlePerServer = 6
)

func serverConnections() httpconn.Options {
	options := httpconn.DefaultOptions()
	options.IdleTimeout, options.UnannouncedIdle = serverIdle, unannouncedServerIdle
	options.MaxIdlePerAddress = maxIdlePerServer
	options.ConnectTimeout = serverConnect
	options.CloseDelimited = true
	return options
}

// VM is one VM's process.
type Process struct {
	settings   *Settings
	urgent     chan struct{}
	log        *logging.Log
	metrics    *telemetry.Metrics
	catalog    *catalog.Catalog
	roster     *fleet.Roster
	ledger     *tally.Ledger
	knowledge  *direct.ReplicatedState
	node       *gossip.Node
	upstream   *upstream.Client
	dispatcher *direct.Dispatcher
	front      *httpfront.Server
	callers    net.Listener
	ready      *readyServer
	scraped    *readyServer
	store      Store
}

// New opens the VM's listeners.
func New(s *Settings, p Platform, log *logging.Log) (*Process, error) {
	now := time.Now()
	v := &Process{
		urgent:   make(chan struct{}, 1),
		settings: s, log: log, store: p.Store, metrics: telemetry.New(),
		catalog:  catalog.New(p.Decoder, boottime.Now, log.Part("catalog")),
		roster:   fleet.NewRoster(now, s.Self),
		upstream: upstream.NewClientWithProtocol(p.ServerProtocol, serverConnections()),
	}
	v.knowledge = direct.NewReplicatedState(now, v.roster, s.RetryBudget)
	v.ledger = tally.NewLedger(now, tally.OriginOf(s.Self.ID, s.Self.Incarnation), v.knowledge, v.notifyUrgent)
	v.dispatcher = direct.NewDispatcher(direct.Dependencies{
		Self: s.Self, Source: v.catalog, ReplicatedState: v.knowledge, Ledger: v.ledger, Exchanger: v.upstream,
		Fleet: v.roster, Observer: v.metrics, Limits: direct.Limits{MaxKeyDataAge: s.maxKeyAge()},
		Log: log.Part("request"), Clock: time.Now, BootTime: boottime.Now,
	})
	v.front = httpfront.New(v.dispatcher, httpfront.Options{
		MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: maxBodyBytes,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: callerIdle,
		Protocol: p.CallerProtocol,
	}, log.Part("callers"))
	return v, v.listen()
}

// notifyUrgent makes the node send at once.
func (v *Process) notifyUrgent() {
	select {
	case v.urgent <- struct{}{}:
	default: // a send is due already
	}
}

func (v *Process) listen() error {
	node, err := gossip.Listen(gossip.Dependencies{
		Roster: v.roster, Ledger: v.ledger, Catalog: v.catalog, Seeds: v.settings.Seeds, Log: v.log.Part("gossip"),
		UrgentSignal: v.urgent,
	})
	if err != nil {
		return err
	}
	v.node = node
	if v.callers, err = net.Listen("tcp4", v.settings.CallersAddress); err != nil {
		return errors.Wrapf(err, "listening for callers on %s", v.settings.CallersAddress)
	}
	if v.ready, err = listenReady(v.settings.ReadyAddress, v.isReady, v.metrics); err != nil {
		return err
	}
	v.scraped, err = listenReady(v.settings.MetricsAddress, v.isReady, v.metrics)
	return err
}

func (v *Process) isReady() (bool, request.Reason) { return v.dispatcher.Ready() }
