package direct

import (
	"context"
	"math/rand/v2"
	"time"

	"almondstile/catalog"
	"almondstile/contract"
	"almondstile/entry"
	"almondstile/logging"
	"almondstile/request"
	"almondstile/tally"
	"almondstile/upstream"
	"almondstile/vm"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
)

// Source gives what is known of the deployment.
type Source interface {
	View() *catalog.View
	Age(catalog.Table) time.Duration
	// Known reports whether the table was ever read.
	Loaded(catalog.Table) bool
}

// Exchanger runs one attempt at a server.
type Exchanger interface {
	Do(ctx context.Context, server *contract.Server, req *request.Request) upstream.Exchange
	RefusesConnections(ctx context.Context, server *contract.Server) bool
}

// Connected tells with which part of the fleet this VM is connected.
type Fleet interface {
	ConnectedShare(now time.Time) float64
	// Size is the number of VMs of the fleet.
	Size() int
}

// Observer counts results. Its methods must not block.
type Observer interface {
	Finished(req *request.Request, result request.Result, attempts int, elapsed time.Duration)
	Count(decision string)
}

// Limits bound what the VM does with old knowledge.
type Limits struct {
	// MaxKeyDataAge is the age of the operators' table beyond which requests with a
	// key are rejected, because the key may have been withdrawn.
	MaxKeyDataAge time.Duration
}

// Parts are what a Dispatcher needs.
type Dependencies struct {
	Self            vm.VM
	Source          Source
	ReplicatedState *ReplicatedState
	Ledger          *tally.Ledger
	Exchanger       Exchanger
	Fleet           Fleet
	Observer        Observer
	Limits          Limits
	Log             logging.Logger
	Clock           func() time.Time
	BootTime        func() time.Duration
}

// Dispatcher takes callers' requests to backend servers.
type Dispatcher struct {
	parts    Dependencies
	counters counters
	started  time.Time
	// background holds what outlives a request: looking whether a server crashed.
	background conc.WaitGroup
}

// NewDispatcher returns a dispatcher.
func NewDispatcher(parts Dependencies) *Dispatcher {
	return &Dispatcher{parts: parts, counters: counters{parts.ReplicatedState, parts.Ledger}, started: parts.Clock()}
}

// Do serves one request. The context ends when the caller goes away. The first
// result is the request's ID.
func (d *Dispatcher) Do(ctx context.Context, in entry.IncomingRequest) (string, request.Result) {
	req := &request.Request{ID: in.ID}
	if req.ID == "" {
		req.ID = uuid.NewString()
	}
	result, attempts := d.serve(ctx, in, req)
	elapsed := d.parts.Clock().Sub(in.ReceivedAt)
	d.parts.Observer.Finished(req, result, attempts, elapsed)
	d.logResult(req, result, attempts, elapsed)
	return req.ID, result
}

// Close waits for what outlives requests.
func (d *Dispatcher) Close() { d.background.Wait() }

// Ready reports whether the VM can serve, and why not.
func (d *Dispatcher) Ready() (ready bool, reason request.Reason) {
	switch {
	case d.parts.Source.View().Index == nil || !d.parts.Source.Loaded(catalog.ServerTable):
		return false, request.ReasonNotReady
	case d.parts.Source.Age(catalog.OperatorTable) > d.parts.Limits.MaxKeyDataAge:
		return false, request.ReasonStoreUnavailable
	default:
		return true, request.ReasonNone
	}
}

func (d *Dispatcher) serve(ctx context.Context, in entry.IncomingRequest, req *request.Request) (request.Result, int) {
	view := d.parts.Source.View()
	if view.Index == nil {
		return request.Rejected(request.ReasonNotReady), 0
	}
	route, err := entry.Authorize(view.Index, in, req)
	if err != nil {
		return request.Rejected(entry.ReasonOf(err)), 0
	}
	if req.Key != "" && d.parts.Source.Age(catalog.OperatorTable) > d.parts.Limits.MaxKeyDataAge {
		return request.Rejected(request.ReasonStoreUnavailable), 0
	}
	req.Service = route.PickService(rand.Float64())
	req.Deadline = in.ReceivedAt.Add(route.Timeout())
	if in.CallerTimeout > 0 && in.CallerTimeout < route.Timeout() {
		req.Deadline = in.ReceivedAt.Add(in.CallerTimeout)
	}
	now := d.parts.Clock()
	if d.parts.ReplicatedState.Crashes.quarantined(now, request.FingerprintOf(req)) {
		return request.Rejected(request.ReasonQuarantined), 0
	}
	if team := view.Index.Team(req.Team); team != nil {
		if rejected := d.admit(now, team, req); rejected != nil {
			return *rejected, 0
		}
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	return d.run(ctx, route, req)
}

// admit takes a token of the team, or returns the rejection.
func (d *Dispatcher) admit(now time.Time, team *contract.Team, req *request.Request) *request.Result {
	decision := d.counters.admit(now, team)
	if decision.Admitted {
		return nil
	}
	d.parts.Log.WithField("request", req.ID).WithField("team", team.ID).WithField("tokens", decision.Level).
		WithField("rate_per_s", decision.RatePerSecond).WithField("burst", decision.Burst).
		WithField("share", decision.ConnectedShare).WithField("held_back", decision.StartupThrottled).
		WithField("config_version", d.parts.Source.View().Index.Version()).
		Info("A team is over its rate.")
	rejected := request.Rejected(request.ReasonRateLimited)
	rejected.RetryAfter = decision.RetryAfter
	return &rejected
}

// logResult writes a line for each request that did not simply succeed.
func (d *Dispatcher) logResult(req *request.Request, result request.Result, attempts int, elapsed time.Duration) {
	if result.Outcome == request.Answered && result.Status < firstServerError && attempts <= 1 {
		return
	}
	d.parts.Log.WithField("request", req.ID).WithField("route", req.Route).WithField("service", req.Service).
		WithField("team", req.Team).WithField("idempotent", req.Idempotent).
		WithField("outcome", result.Outcome).WithField("reason", result.Reason).WithField("status", result.Status).
		WithField("attempts", attempts).WithField("elapsed_ms", elapsed.Milliseconds()).
		WithField("operator_age_ms", d.parts.Source.Age(catalog.OperatorTable).Milliseconds()).
		Info("A request ended.")
}
