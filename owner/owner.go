package owner

import (
	"context"
	"time"

	"almondstile/backend"
	"almondstile/contract"
	"almondstile/entry"
	"almondstile/logging"
	"almondstile/outlier"
	"almondstile/request"
	"almondstile/retry"
	"almondstile/serverlink"
	"almondstile/upstream"
	"almondstile/vm"
)

// Members gives access to the membership of the fleet.
type Members interface {
	// MayAct reports whether this VM may act in the role now, and since when.
	MayAct(now time.Time, role vm.Role) (since time.Time, ok bool)
	// List returns the current member list.
	List() vm.MemberList
	// Self returns this VM.
	Self() vm.VM
}

// Exchanger communicates with backend servers.
type Exchanger interface {
	// Do sends the request to the server and waits for the response until the
	// request's deadline or the end of the context.
	Do(ctx context.Context, server *contract.Server, req *request.Request) upstream.Exchange
	// RefusesConnections reports whether the server refuses new connections.
	RefusesConnections(ctx context.Context, server *contract.Server) bool
}

// Quarantine recognizes requests that crash servers.
type Quarantine interface {
	// Rejects reports whether the request must not run because requests with the
	// same fingerprint crashed servers.
	Rejects(now time.Time, req *request.Request) bool
}

// CrashReporter reports crashes of servers to other VMs, so that they can reject
// requests that repeatedly crash servers.
type CrashReporter interface {
	// ReportCrash reports the crash to the service home and to the other owners
	// of the service's servers. It returns when all have received the report, or
	// an error if some may not have.
	ReportCrash(ctx context.Context, crash outlier.Crash) error
}

// Observer counts events for the metrics. Its methods must not block.
type Observer interface {
	// OwnerRoleTakenOver is called for each server that this VM starts to own.
	OwnerRoleTakenOver()
	// ServerLinkEvent is called for each change of the state of a server's link,
	// for instance with "relaying", and with "relay-exchange" for each exchange
	// over a relay.
	ServerLinkEvent(event string)
	// MalformedResponse is called for each response of a server that fails a check of
	// HTTP, with the name of the check.
	MalformedResponse(check string)
}

// Dependencies are what New needs to build an Owner.
type Dependencies struct {
	Source        entry.ConfigSource
	Members       Members
	Servers       *backend.Servers
	Exchanger     Exchanger
	Quarantine    Quarantine
	CrashReporter CrashReporter
	Observer      Observer
	// Relays and Peers are used for servers whose link to this VM fails. Peers
	// selects the VMs that can relay. If Relays is nil, every exchange is direct.
	Relays RelayExchanger
	Peers  Peers
	Clock  func() time.Time
	Log    logging.Logger
}

// Owner runs requests at the backend servers that this VM owns.
type Owner struct {
	deps     Dependencies
	lastSync syncState
	links    serverlink.Links
}

// New returns an Owner that owns no servers until the first call of Sync.
func New(deps Dependencies) *Owner { return &Owner{deps: deps} }

// Run runs the request at req.Server and returns its result. It waits for a free
// slot until the request's deadline, unless req.NoQueue is set. A request that
// was not sent to the server is returned as not executed, with the reason. The
// result carries the state of the service's servers for the entry VM.
func (o *Owner) Run(ctx context.Context, req *request.Request) (result request.Result) {
	defer func() {
		// A panic in one request must not end the process. The outcome is unknown,
		// because the request may have been sent before the panic.
		if p := recover(); p != nil {
			o.deps.Log.WithField("panic", p).Error("Running a request panicked.")
			result = request.UnknownResult(request.ReasonInternal)
		}
		result.ServiceState = o.deps.Servers.ServiceStateWithServer(o.deps.Clock(), req.Service, req.Server)
	}()
	if reason := o.check(req); reason != request.ReasonNone {
		return request.Rejected(reason)
	}
	ticket := o.deps.Servers.RequestSlot(o.deps.Clock(), req)
	if d := o.deps.Servers.Wait(ctx, ticket, o.deps.Clock); !d.Admitted {
		return request.Rejected(d.Reason)
	}
	return o.runAdmitted(ctx, req, ticket)
}

// check returns why the request must not run here now, or ReasonNone. It is
// called before and after the request waits for a slot: meanwhile the key can be
// withdrawn, the server or its zone taken out of service, the request's
// fingerprint quarantined, or this VM's lease expire.
func (o *Owner) check(req *request.Request) request.Reason {
	now := o.deps.Clock()
	index := o.deps.Source.Index()
	server := index.Server(req.Server)
	switch {
	case server == nil || !index.AcceptsNewRequests(server):
		return request.ReasonLeaving
	case req.Team != "" && !index.KeyValid(req.Key, req.Team):
		return request.ReasonBadKey
	case o.deps.Quarantine.Rejects(now, req):
		return request.ReasonQuarantined
	case !now.Before(req.Deadline):
		return request.ReasonDeadline
	}
	if _, ok := o.deps.Members.MayAct(now, server.OwnerRole()); !ok {
		return request.ReasonNotOwner
	}
	return request.ReasonNone
}

// runAdmitted runs a request that holds a slot, and releases the slot.
func (o *Owner) runAdmitted(ctx context.Context, req *request.Request, ticket *backend.Ticket) request.Result {
	sample := backend.Sample{Outcome: backend.Inconclusive}
	defer func() { o.deps.Servers.ReleaseSlot(o.deps.Clock(), ticket, sample) }()
	if reason := o.check(req); reason != request.ReasonNone {
		return request.Rejected(reason)
	}
	server := o.deps.Source.Index().Server(req.Server)
	var exchange upstream.Exchange
	exchange, sample = o.runAttempts(ctx, server, req)
	if sample.Outcome == backend.Crash {
		o.reportCrash(ctx, req)
	}
	return exchange.Result
}

// reportCrash reports the crash before the caller gets its response, so that the
// other owners know of it when the caller retries the request. It continues if
// the caller cancels the request.
func (o *Owner) reportCrash(ctx context.Context, req *request.Request) {
	crash := outlier.Crash{
		Service: req.Service, Server: req.Server,
		// The ID includes the server, so that a retry that crashes another server
		// counts as a second crash.
		RequestID:   req.ID + "@" + string(req.Server),
		Fingerprint: request.FingerprintOf(req),
	}
	if err := o.deps.CrashReporter.ReportCrash(context.WithoutCancel(ctx), crash); err != nil {
		o.deps.Log.WithError(err).WithField("server", req.Server).Warn("A crash was not reported to all owners.")
	}
}

// sampleOf classifies a finished exchange as a sample of the server's health.
func sampleOf(e upstream.Exchange) backend.Sample {
	sample := backend.Sample{Latency: e.Latency, Instance: e.Instance}
	switch {
	case e.Crashed:
		sample.Outcome = backend.Crash
	case e.Result.Reason == request.ReasonCanceled:
		sample.Outcome = backend.Inconclusive
	case e.Result.Outcome == request.Answered && e.Result.Status >= retry.FirstServerError:
		sample.Outcome = backend.ErrorStatus
	case e.Result.Outcome == request.Answered:
		sample.Outcome = backend.OK
	case e.ConnectFailed:
		sample.Outcome = backend.ConnectFailed
	case e.Result.Reason == request.ReasonShed:
		sample.Outcome = backend.Shed
	case e.Result.Reason == request.ReasonTruncated, e.Result.Reason == request.ReasonResponseMismatch:
		sample.Outcome = backend.Truncated
	default:
		sample.Outcome = backend.Lost
	}
	return sample
}
