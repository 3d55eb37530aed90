package entry

import (
	"context"
	"time"

	"almondstile/contract"
	"almondstile/header"
	"almondstile/link"
	"almondstile/memory"
	"almondstile/quota"
	"almondstile/request"
	"almondstile/retry"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// ConfigSource provides the configuration that is in force on this VM.
type ConfigSource interface {
	Index() *contract.Index
}

// Membership provides the member list, from which role holders are computed, and
// whether this VM may serve requests.
type Membership interface {
	List() vm.MemberList
	Self() vm.VM
	// Ready reports whether this VM may serve requests, and if not, why.
	Ready(now time.Time) (ready bool, reason string)
}

// TokenClient admits requests within the rate and burst of their team.
type TokenClient interface {
	// Take takes one token. It returns a *quota.RejectedError if the team is over
	// its rate.
	Take(ctx context.Context, team *contract.Team) (quota.Grant, error)
}

// Forwarder sends requests to the VMs that own their backend servers.
type Forwarder interface {
	// Forward sends the request to the owner and returns the result. If relay is
	// not nil, it sends the request through that VM.
	Forward(ctx context.Context, owner vm.VM, relay *vm.VM, req *request.Request) request.Result
}

// Observer counts results and decisions. Its methods must not block.
type Observer interface {
	// TokenRejected counts a request that was rejected because its team was over
	// its rate.
	TokenRejected()
	// RetriedOrRedirected counts another attempt after a failed one. The decision
	// is retry.Retry or retry.Redirect.
	RetriedOrRedirected(retry.Decision)
	// Finished counts the result of a request after the given number of attempts.
	// elapsed is the time since the request was received.
	Finished(req *request.Request, result request.Result, attempts int, elapsed time.Duration)
}

// IncomingRequest is a caller's request as a front end received it.
type IncomingRequest struct {
	Method string
	Path   string
	Target string // path and query
	Header []request.HeaderField
	Body   *memory.Body
	// Credential is the key that the caller presented, "" if none.
	Credential string
	ReceivedAt time.Time
	// Host is the host that the caller named, "" if routes do not depend on it.
	Host string
	// ID is the request ID that the caller chose, "" if none.
	ID string
	// CallerTimeout is how long the caller waits for a response, 0 if unknown.
	CallerTimeout time.Duration
}

// Dependencies holds what a Dispatcher needs. Claims may be nil; idempotency keys
// are then ignored. The other interfaces, Links and Clock are required.
type Dependencies struct {
	ConfigSource ConfigSource
	Membership   Membership
	Tokens       TokenClient
	Claims       Claims
	Forwarder    Forwarder
	Links        *link.Links
	Observer     Observer
	Limits       Limits
	Clock        func() time.Time
}

// Dispatcher authorizes callers' requests, sends them to the owners of backend
// servers and retries failed attempts.
type Dispatcher struct {
	deps     Dependencies
	selector *selector
	budgets  retry.Budgets
	inFlight inFlightLimiter
	drain    Drain
}

// NewDispatcher returns a dispatcher with the given dependencies.
func NewDispatcher(deps Dependencies) *Dispatcher {
	return &Dispatcher{
		deps:     deps,
		selector: newSelector(deps.Membership, deps.Links),
		inFlight: inFlightLimiter{limits: deps.Limits},
	}
}

// Do serves one request and returns its ID and result. The context must end when
// the caller closes the connection.
func (d *Dispatcher) Do(ctx context.Context, in IncomingRequest) (string, request.Result) {
	req := &request.Request{ID: uuid.NewString()}
	result, attempts := d.serve(ctx, in, req)
	d.deps.Observer.Finished(req, result, attempts, d.deps.Clock().Sub(in.ReceivedAt))
	return req.ID, result
}

// BeginDrain announces a planned stop of this VM: from rejectFrom on, it rejects requests
// that may be running still at cutAt, and makes no attempts that would.
func (d *Dispatcher) BeginDrain(rejectFrom, cutAt time.Time) { d.drain.Begin(rejectFrom, cutAt) }

// serve fills req and returns the result and the number of attempts.
func (d *Dispatcher) serve(ctx context.Context, in IncomingRequest, req *request.Request) (request.Result, int) {
	if ready, _ := d.deps.Membership.Ready(d.deps.Clock()); !ready {
		return request.Rejected(request.ReasonNotReady), 0
	}
	index := d.deps.ConfigSource.Index()
	route, err := Authorize(index, in, req)
	if err != nil {
		return request.Rejected(ReasonOf(err)), 0
	}
	req.Deadline = in.ReceivedAt.Add(route.Timeout())
	if rejected := d.drain.Reject(d.deps.Clock(), req.Deadline); rejected != nil {
		return *rejected, 0
	}
	if !d.inFlight.acquire(req.Team) {
		return request.Rejected(request.ReasonOverloaded), 0
	}
	defer d.inFlight.release(req.Team)
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	if rejected := d.takeToken(ctx, index, req.Team); rejected != nil {
		return *rejected, 0
	}
	claim, final := d.claim(ctx, req)
	if final != nil {
		return *final, 0
	}
	result, attempts := d.sendUntilFinal(ctx, req)
	claim.Finish(context.WithoutCancel(ctx), result)
	return result, attempts
}

// Authorize finds the route of the caller's request, checks the caller's key and
// fills req. The error is one of package contract; ReasonOf translates it.
func Authorize(index *contract.Index, in IncomingRequest, req *request.Request) (*contract.Route, error) {
	route, err := index.MatchHost(in.Host, in.Path)
	if err != nil {
		return nil, err
	}
	key, team, err := index.Authorize(route, in.Credential)
	if err != nil {
		return nil, err
	}
	req.Route, req.Service = route.ID, route.Service
	req.Key, req.Team = key, team
	req.Weight = 1
	t := index.Team(team)
	if t != nil {
		req.Weight = max(1, t.Weight)
	}
	req.Rank = contract.RankOf(t, route)
	req.Method, req.Target, req.Body = in.Method, in.Target, in.Body
	req.Header = header.Sanitize(in.Header)
	req.Idempotent = route.Idempotent(in.Method)
	if !req.Idempotent {
		req.IdempotencyKey = header.Get(in.Header, header.IdempotencyKey)
	}
	return route, nil
}

// ReasonOf translates an error of Authorize into a reason for the caller.
func ReasonOf(err error) request.Reason {
	switch {
	case errors.Is(err, contract.ErrNoRoute):
		return request.ReasonNoRoute
	case errors.Is(err, contract.ErrMissingKey):
		return request.ReasonNoKey
	case errors.Is(err, contract.ErrTeamNotAllowed):
		return request.ReasonWrongTeam
	default:
		return request.ReasonBadKey
	}
}

// takeToken takes a token of the team. It returns nil if the request may go on,
// and otherwise the rejection for the caller. Requests on open routes have no team
// and need no token.
func (d *Dispatcher) takeToken(ctx context.Context, index *contract.Index, id contract.TeamID) *request.Result {
	if id == "" {
		return nil
	}
	team := index.Team(id)
	if team == nil {
		rejected := request.Rejected(request.ReasonBadKey)
		return &rejected
	}
	_, err := d.deps.Tokens.Take(ctx, team)
	if err == nil {
		return nil
	}
	var overRate *quota.RejectedError
	rejected := request.Rejected(request.ReasonNotReady)
	switch {
	case errors.As(err, &overRate):
		d.deps.Observer.TokenRejected()
		rejected = request.Rejected(request.ReasonRateLimited)
		rejected.RetryAfter = overRate.RetryAfter
	case errors.Is(err, context.DeadlineExceeded):
		rejected = request.Rejected(request.ReasonDeadline)
	case errors.Is(err, context.Canceled):
		rejected = request.Rejected(request.ReasonCanceled)
	}
	return &rejected
}

// maxServersWithoutSlot is the number of servers without a free slot that a
// request tries before it waits in a server's queue. Each attempt costs a hop
// between VMs, and further attempts seldom find a free slot.
const maxServersWithoutSlot = 3

// sendUntilFinal makes attempts until the result of one must not be retried or no
// server is left. It returns the result of the request and the number of attempts.
// The request does not wait in a server's queue while another server may have a
// free slot.
func (d *Dispatcher) sendUntilFinal(ctx context.Context, req *request.Request) (request.Result, int) {
	tried, withoutSlot := make(map[contract.ServerID]bool), make(map[contract.ServerID]bool)
	last := request.Rejected(request.ReasonNoServer)
	var possiblyExecuted *request.Result // the newest result other than not-run
	for attempts := 0; ; attempts++ {
		c, ok := d.nextServer(req, tried, withoutSlot)
		if !ok {
			return finalResult(last, possiblyExecuted), attempts
		}
		tried[c.server.ID] = true
		last = d.send(ctx, c, req)
		if last.Outcome != request.NotRun {
			possiblyExecuted = &request.Result{}
			*possiblyExecuted = last
		}
		if last.Outcome == request.NotRun && last.Reason == request.ReasonNoSlot {
			withoutSlot[c.server.ID] = true
		}
		if !d.shouldRetry(req, last, attempts+1) {
			return finalResult(last, possiblyExecuted), attempts + 1
		}
	}
}

// finalResult returns the result of the whole request. last is the result of the
// last attempt. If an earlier attempt may have been executed, a rejection of the
// last one does not mean that the request was not executed.
func finalResult(last request.Result, possiblyExecuted *request.Result) request.Result {
	if last.Outcome == request.NotRun && possiblyExecuted != nil {
		return *possiblyExecuted
	}
	return last
}

// nextServer selects the server of the next attempt and sets req.NoQueue. The
// first attempts do not wait in queues. When no untried server is left, or
// maxServersWithoutSlot servers had no free slot, the servers without a free slot
// count as untried again and the request may wait in the selected server's queue.
// It returns false if no server can take the request.
func (d *Dispatcher) nextServer(req *request.Request, tried, withoutSlot map[contract.ServerID]bool) (candidate, bool) {
	index, now := d.deps.ConfigSource.Index(), d.deps.Clock()
	if len(withoutSlot) < maxServersWithoutSlot {
		if c, ok := d.selector.choose(index, req.Service, tried, now); ok {
			req.Server, req.NoQueue = c.server.ID, true
			return c, true
		}
	}
	for id := range withoutSlot {
		delete(tried, id)
	}
	c, ok := d.selector.choose(index, req.Service, tried, now)
	if ok {
		req.Server, req.NoQueue = c.server.ID, false
	}
	return c, ok
}

// shouldRetry reports whether another attempt follows the last one. attempts is
// the number of attempts made so far. shouldRetry charges a retry, but not a
// redirect, to the service's retry budget, and credits it with a success.
func (d *Dispatcher) shouldRetry(req *request.Request, last request.Result, attempts int) bool {
	now := d.deps.Clock()
	if !d.drain.AllowsAttempt(now, 0) {
		return false
	}
	if last.Outcome == request.Answered && last.Status < retry.FirstServerError {
		d.budgets.RecordSuccess(now, req.Service)
	}
	decision := retry.Decide(last, req.Idempotent, attempts, req.Deadline.Sub(now))
	if decision == retry.Stop || decision == retry.Retry && !d.budgets.Spend(now, req.Service) {
		return false
	}
	d.deps.Observer.RetriedOrRedirected(decision)
	return true
}

// send makes one attempt and records the server states that the owner returned.
func (d *Dispatcher) send(ctx context.Context, c candidate, req *request.Request) request.Result {
	d.selector.requestStarted(c.server.ID)
	defer d.selector.requestFinished(c.server.ID)
	result := d.deps.Forwarder.Forward(ctx, c.owner, c.relay, req)
	d.selector.recordStates(result.ServiceState, d.deps.Clock())
	return result
}
