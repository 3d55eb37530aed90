package direct

import (
	"context"
	"math/rand/v2"
	"time"

	"almondstile/catalog"
	"almondstile/contract"
	"almondstile/entry"
	"almondstile/guard"
	"almondstile/logging"
	"almondstile/request"
	"almondstile/tally"
	"almondstile/upstream"
	"almondstile/vm"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
)

// Source provides the VM's copies of the configuration and of the backend server
// table.
type Source interface {
	// View returns the current view; its Index is nil without a configuration.
	View() *catalog.View
	// Age returns the age of the VM's copy of the table.
	Age(catalog.Table) time.Duration
	// Loaded reports whether this VM has a copy of the table.
	Loaded(catalog.Table) bool
}

// Exchanger sends requests to backend servers.
type Exchanger interface {
	// Do makes one attempt.
	Do(ctx context.Context, server *contract.Server, req *request.Request) upstream.Exchange
	// RefusesConnections reports whether the server refuses a new connection.
	RefusesConnections(ctx context.Context, server *contract.Server) bool
}

// Fleet provides the size of the fleet and this VM's connection to it.
type Fleet interface {
	// ConnectedShare returns the part of the fleet (0 to 1) with which this VM
	// exchanges messages in both directions.
	ConnectedShare(now time.Time) float64
	// Size is the number of VMs of the fleet.
	Size() int
}

// Observer records metrics. Its methods must not block.
type Observer interface {
	// Finished records the result of a request.
	Finished(req *request.Request, result request.Result, attempts int, elapsed time.Duration)
	// Count counts one decision, such as a hedge.
	Count(decision string)
}

// Limits bound the age of the data that the VM acts on.
type Limits struct {
	// MaxKeyDataAge is the age of the operators' table beyond which requests with a
	// key are rejected, because the key may have been withdrawn.
	MaxKeyDataAge time.Duration
}

// Dependencies holds what a Dispatcher needs. All fields but IgnoreCosts
// and HoldForRoom are required.
type Dependencies struct {
	Self            vm.VM
	Source          Source
	ReplicatedState *ReplicatedState
	Ledger          *tally.Ledger
	Exchanger       Exchanger
	Fleet           Fleet
	Observer        Observer
	Guard           *guard.Guard
	Limits          Limits
	// IgnoreCosts makes the choice of servers count requests instead of weighing what they
	// are likely to cost.
	IgnoreCosts bool
	// HoldForRoom makes requests wait at this VM, or turns them away, by rank and team while
	// their service is short of room.
	HoldForRoom bool
	Log         logging.Logger
	Clock       func() time.Time
	BootTime    func() time.Duration
}

// Dispatcher authorizes callers' requests, applies the limits of teams and sends
// the requests to backend servers.
type Dispatcher struct {
	deps      Dependencies
	counters  counters
	startedAt time.Time
	drain     entry.Drain
	// background holds the checks for crashed servers, which outlive the request.
	background conc.WaitGroup
}

// NewDispatcher returns a dispatcher.
func NewDispatcher(deps Dependencies) *Dispatcher {
	return &Dispatcher{deps: deps, counters: counters{deps.ReplicatedState, deps.Ledger}, startedAt: deps.Clock()}
}

// Do serves one request. The context ends when the caller goes away. The first
// result is the request's ID.
func (d *Dispatcher) Do(ctx context.Context, in entry.IncomingRequest) (string, request.Result) {
	req := &request.Request{ID: in.ID}
	if req.ID == "" {
		req.ID = uuid.NewString()
	}
	result, summary := d.serve(ctx, in, req)
	now := d.deps.Clock()
	elapsed := now.Sub(in.ReceivedAt)
	if unserved(req, result, summary) {
		d.counters.recordUnserved(now, req.Service, summary.attempts > 0)
	}
	d.deps.Observer.Finished(req, result, summary.attempts, elapsed)
	d.logResult(req, result, summary, elapsed)
	return req.ID, result
}

// unserved reports whether a request for a known service was not served although its caller
// waited. A failed trial request does not count: it is the price of the trial, and would
// prolong the state in which there are trials.
func unserved(req *request.Request, result request.Result, summary attemptSummary) bool {
	return req.Service != "" && result.Reason != request.ReasonCanceled && rank(result) != rankSuccess && !summary.trial
}

// BeginDrain announces a planned stop of this VM: from rejectFrom on, it rejects requests
// that may be running still at cutAt, and makes no attempts that would.
func (d *Dispatcher) BeginDrain(rejectFrom, cutAt time.Time) { d.drain.Begin(rejectFrom, cutAt) }

// Close waits for the background checks for crashed servers.
func (d *Dispatcher) Close() { d.background.Wait() }

// Ready reports whether the VM can serve requests, and otherwise the reason why
// not.
func (d *Dispatcher) Ready() (ready bool, reason request.Reason) {
	switch {
	case d.deps.Source.View().Index == nil || !d.deps.Source.Loaded(catalog.ServerTable):
		return false, request.ReasonNotReady
	case d.deps.Source.Age(catalog.OperatorTable) > d.deps.Limits.MaxKeyDataAge:
		return false, request.ReasonStoreUnavailable
	default:
		return true, request.ReasonNone
	}
}

// serve checks the request and sends it to servers. It fills in req, and returns
// the result and a summary of the attempts.
func (d *Dispatcher) serve(ctx context.Context, in entry.IncomingRequest, req *request.Request) (request.Result, attemptSummary) {
	view := d.deps.Source.View()
	if view.Index == nil {
		return request.Rejected(request.ReasonNotReady), attemptSummary{}
	}
	route, err := entry.Authorize(view.Index, in, req)
	if err != nil {
		return request.Rejected(entry.ReasonOf(err)), attemptSummary{}
	}
	req.Service = route.PickService(rand.Float64())
	if d.keyDataTooOld(req) {
		return request.Rejected(request.ReasonStoreUnavailable), attemptSummary{}
	}
	req.Deadline = in.ReceivedAt.Add(route.Timeout())
	if in.CallerTimeout > 0 && in.CallerTimeout < route.Timeout() {
		req.Deadline = in.ReceivedAt.Add(in.CallerTimeout)
	}
	now := d.deps.Clock()
	if rejected := d.drain.Reject(now, req.Deadline); rejected != nil {
		return *rejected, attemptSummary{}
	}
	if d.deps.ReplicatedState.Crashes.quarantined(now, request.FingerprintOf(req)) {
		return request.Rejected(request.ReasonQuarantined), attemptSummary{}
	}
	if team := view.Index.Team(req.Team); team != nil {
		if rejected := d.admit(now, team, req); rejected != nil {
			return *rejected, attemptSummary{}
		}
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	if rejected := d.waitForRoom(ctx, view, route, req); rejected != nil {
		return *rejected, attemptSummary{stopped: stoppedWithoutRoom}
	}
	return d.runAttempts(ctx, route, req)
}

// keyDataTooOld reports whether the request's key may have been withdrawn since this VM
// last read the operators' table.
func (d *Dispatcher) keyDataTooOld(req *request.Request) bool {
	return req.Key != "" && d.deps.Source.Age(catalog.OperatorTable) > d.deps.Limits.MaxKeyDataAge
}

// admit takes a token out of the team's bucket. It returns nil if the request is
// admitted, and otherwise the rejection.
func (d *Dispatcher) admit(now time.Time, team *contract.Team, req *request.Request) *request.Result {
	decision := d.counters.admit(now, team)
	if decision.Admitted {
		return nil
	}
	d.deps.Log.WithField("request", req.ID).WithField("team", team.ID).WithField("tokens", decision.Level).
		WithField("rate_per_s", decision.RatePerSecond).WithField("burst", decision.Burst).
		WithField("share", decision.ConnectedShare).WithField("held_back", decision.StartupThrottled).
		WithField("config_version", d.deps.Source.View().Index.Version()).
		Info("A team is over its rate.")
	rejected := request.Rejected(request.ReasonRateLimited)
	rejected.RetryAfter = decision.RetryAfter
	return &rejected
}

// logResult logs each request that did not succeed at the first attempt.
func (d *Dispatcher) logResult(req *request.Request, result request.Result, summary attemptSummary, elapsed time.Duration) {
	if result.Outcome == request.Answered && result.Status < minServerErrorStatus && summary.attempts <= 1 {
		return
	}
	now := d.deps.Clock()
	d.deps.Log.WithField("request", req.ID).WithField("route", req.Route).WithField("service", req.Service).
		WithField("team", req.Team).WithField("idempotent", req.Idempotent).
		WithField("outcome", result.Outcome).WithField("reason", result.Reason).WithField("status", result.Status).
		WithField("attempts", summary.attempts).WithField("stopped", summary.stopped).
		WithField("retries_left", d.deps.ReplicatedState.RetryBudgets.Left(now, req.Service, d.deps.Fleet.ConnectedShare(now))).WithField("elapsed_ms", elapsed.Milliseconds()).
		WithField("operator_age_ms", d.deps.Source.Age(catalog.OperatorTable).Milliseconds()).
		WithField("servers_age_ms", d.deps.Source.Age(catalog.ServerTable).Milliseconds()).
		Info("A request ended.")
}
