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

// Members tells whether this VM may act in a role now.
type Members interface {
	MayAct(now time.Time, role vm.Role) (since time.Time, ok bool)
	List() vm.MemberList
	Self() vm.VM
}

// Exchanger runs one attempt at a backend server.
type Exchanger interface {
	Do(ctx context.Context, server *contract.Server, req *request.Request) upstream.Exchange
	// Refuses reports whether the server refuses connections.
	RefusesConnections(ctx context.Context, server *contract.Server) bool
}

// Quarantine rejects requests that crashed servers.
type Quarantine interface {
	Rejects(now time.Time, req *request.Request) bool
}

// CrashReporter tells the service's home and the other owners of a crash. It
// returns when they know, or with an error if some may not.
type CrashReporter interface {
	ReportCrash(ctx context.Context, crash outlier.Crash) error
}

// Observer counts the servers that this VM takes over. It must not block.
type Observer interface {
	OwnerRoleTakenOver()
	// ServerLinkEvent gets what was decided about the link to a server, for
	// instance "relaying".
	ServerLinkEvent(change string)
}

// Parts are what an Owner needs.
type Dependencies struct {
	Source        entry.ConfigSource
	Members       Members
	Servers       *backend.Servers
	Exchanger     Exchanger
	Quarantine    Quarantine
	CrashReporter CrashReporter
	Observer      Observer
	// Relays and Peers reach servers whose link to this VM is bad. Without
	// Relays every exchange is direct.
	Relays RelayExchanger
	Peers  Peers
	Clock  func() time.Time
	Log    logging.Logger
}

// Owner runs requests at the backend servers that this VM owns.
type Owner struct {
	parts Dependencies
	roles ownedServers
	links serverlink.Links
}

// New returns an owner.
func New(parts Dependencies) *Owner { return &Owner{parts: parts} }

// Run runs one attempt at the server that the request names.
func (o *Owner) Run(ctx context.Context, req *request.Request) (result request.Result) {
	defer func() {
		// A panic in one request must not end the process. Whether the request
		// had been written is not known at this point.
		if p := recover(); p != nil {
			o.parts.Log.WithField("panic", p).Error("Running a request panicked.")
			result = request.UnknownResult(request.ReasonInternal)
		}
		result.ServiceState = o.parts.Servers.ServiceStateWithServer(o.parts.Clock(), req.Service, req.Server)
	}()
	if reason := o.check(req); reason != request.ReasonNone {
		return request.Rejected(reason)
	}
	ticket := o.parts.Servers.RequestSlot(o.parts.Clock(), req)
	if d := o.parts.Servers.Wait(ctx, ticket, o.parts.Clock); !d.Admitted {
		return request.Rejected(d.Reason)
	}
	return o.runAdmitted(ctx, req, ticket)
}

// check decides whether the request may run here now. It is asked again after
// the request waited, because the key may be withdrawn, the server leave, the
// zone go out or the lease expire meanwhile.
func (o *Owner) check(req *request.Request) request.Reason {
	now := o.parts.Clock()
	index := o.parts.Source.Index()
	server := index.Server(req.Server)
	switch {
	case server == nil || !index.AcceptsNewRequests(server):
		return request.ReasonLeaving
	case req.Team != "" && !index.KeyValid(req.Key, req.Team):
		return request.ReasonBadKey
	case o.parts.Quarantine.Rejects(now, req):
		return request.ReasonQuarantined
	case !now.Before(req.Deadline):
		return request.ReasonDeadline
	}
	if _, ok := o.parts.Members.MayAct(now, server.OwnerRole()); !ok {
		return request.ReasonNotOwner
	}
	return request.ReasonNone
}

func (o *Owner) runAdmitted(ctx context.Context, req *request.Request, ticket *backend.Ticket) request.Result {
	sample := backend.Sample{Outcome: backend.Inconclusive}
	defer func() { o.parts.Servers.ReleaseSlot(o.parts.Clock(), ticket, sample) }()
	if reason := o.check(req); reason != request.ReasonNone {
		return request.Rejected(reason)
	}
	server := o.parts.Source.Index().Server(req.Server)
	var exchange upstream.Exchange
	exchange, sample = o.exchange(ctx, server, req)
	if sample.Outcome == backend.Crash {
		o.reportCrash(ctx, req)
	}
	return exchange.Result
}

// reportCrash makes the crash known before the caller gets its response and may
// send the request again. The caller's going away does not stop it.
func (o *Owner) reportCrash(ctx context.Context, req *request.Request) {
	crash := outlier.Crash{
		Service: req.Service, Server: req.Server,
		// A request that is repeated at another server is another crash there.
		RequestID:   req.ID + "@" + string(req.Server),
		Fingerprint: request.FingerprintOf(req),
	}
	if err := o.parts.CrashReporter.ReportCrash(context.WithoutCancel(ctx), crash); err != nil {
		o.parts.Log.WithError(err).WithField("server", req.Server).Warn("A crash was not reported to all owners.")
	}
}

// judge turns an exchange into evidence about its server.
func judge(e upstream.Exchange) backend.Sample {
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
