package entry

import (
	"context"
	"time"

	"almondstile/contract"
	"almondstile/header"
	"almondstile/link"
	"almondstile/quota"
	"almondstile/request"
	"almondstile/retry"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// Source gives the configuration that is in force on this VM.
type ConfigSource interface {
	Index() *contract.Index
}

// Members tells which VMs hold roles and whether this VM may serve.
type Membership interface {
	List() vm.MemberList
	Self() vm.VM
	Ready(now time.Time) (ready bool, reason string)
}

// Tokens admits requests within the rate and burst of their team.
type TokenClient interface {
	Take(ctx context.Context, team *contract.Team) (quota.Grant, error)
}

// Forwarder hands a request to the VM that owns its backend server, if relay is
// not nil through that VM.
type Forwarder interface {
	Forward(ctx context.Context, owner vm.VM, relay *vm.VM, req *request.Request) request.Result
}

// Observer counts results and decisions. Its methods must not block.
type Observer interface {
	// TokenRejected says that a team was over its rate.
	TokenRejected()
	// Repeated says that another attempt follows: a retry or a redirect.
	RetriedOrRedirected(retry.Decision)
	Finished(req *request.Request, result request.Result, attempts int, elapsed time.Duration)
}

// Incoming is a caller's request as a front end received it.
type IncomingRequest struct {
	Method string
	Path   string
	Target string // path and query
	Header []request.HeaderField
	Body   []byte
	// Credential is what the caller presented as its key, "" if nothing.
	Credential string
	ReceivedAt time.Time
	// Host is the host that the caller asked for, "" if it does not count.
	Host string
	// ID is the caller's own ID of the request, "" if it gave none.
	ID string
	// Patience is how long the caller waits for a response, 0 if it did not say.
	CallerTimeout time.Duration
}

// Parts are what a Dispatcher needs.
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

// Dispatcher takes callers' requests through the fleet.
type Dispatcher struct {
	parts    Dependencies
	selector *selector
	budgets  retry.Budgets
	inFlight inFlight
}

// NewDispatcher returns a dispatcher.
func NewDispatcher(parts Dependencies) *Dispatcher {
	return &Dispatcher{
		parts:    parts,
		selector: newSelector(parts.Membership, parts.Links),
		inFlight: inFlight{limits: parts.Limits},
	}
}

// Do serves one request. The context ends when the caller goes away. The first
// result is the request's ID.
func (d *Dispatcher) Do(ctx context.Context, in IncomingRequest) (string, request.Result) {
	req := &request.Request{ID: uuid.NewString()}
	result, attempts := d.serve(ctx, in, req)
	d.parts.Observer.Finished(req, result, attempts, d.parts.Clock().Sub(in.ReceivedAt))
	return req.ID, result
}

func (d *Dispatcher) serve(ctx context.Context, in IncomingRequest, req *request.Request) (request.Result, int) {
	if ready, _ := d.parts.Membership.Ready(d.parts.Clock()); !ready {
		return request.Rejected(request.ReasonNotReady), 0
	}
	index := d.parts.ConfigSource.Index()
	route, err := Authorize(index, in, req)
	if err != nil {
		return request.Rejected(ReasonOf(err)), 0
	}
	if !d.inFlight.enter(req.Team) {
		return request.Rejected(request.ReasonOverloaded), 0
	}
	defer d.inFlight.leave(req.Team)
	req.Deadline = in.ReceivedAt.Add(route.Timeout())
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	if rejected := d.admit(ctx, index, req.Team); rejected != nil {
		return *rejected, 0
	}
	ticket, settled := d.claim(ctx, req)
	if settled != nil {
		return *settled, 0
	}
	result, attempts := d.attempt(ctx, req)
	ticket.Finish(context.WithoutCancel(ctx), result)
	return result, attempts
}

// Authorize fills the request from the configuration and the caller's input.
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
	if t := index.Team(team); t != nil {
		req.Weight = max(1, t.Weight)
	}
	req.Method, req.Target, req.Body = in.Method, in.Target, in.Body
	req.Header = header.Sanitize(in.Header)
	req.Idempotent = route.Idempotent(in.Method)
	if !req.Idempotent {
		req.IdempotencyKey = header.Get(in.Header, header.IdempotencyKey)
	}
	return route, nil
}

// ReasonOf returns the reason for a caller of an error of Authorize.
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

// admit takes a token of the team. Requests on open routes have no team.
func (d *Dispatcher) admit(ctx context.Context, index *contract.Index, id contract.TeamID) *request.Result {
	if id == "" {
		return nil
	}
	team := index.Team(id)
	if team == nil {
		rejected := request.Rejected(request.ReasonBadKey)
		return &rejected
	}
	_, err := d.parts.Tokens.Take(ctx, team)
	if err == nil {
		return nil
	}
	var limited *quota.RejectedError
	rejected := request.Rejected(request.ReasonNotReady)
	switch {
	case errors.As(err, &limited):
		d.parts.Observer.TokenRejected()
		rejected = request.Rejected(request.ReasonRateLimited)
		rejected.RetryAfter = limited.RetryAfter
	case errors.Is(err, context.DeadlineExceeded):
		rejected = request.Rejected(request.ReasonDeadline)
	case errors.Is(err, context.Canceled):
		rejected = request.Rejected(request.ReasonCanceled)
	}
	return &rejected
}

// maxFullServers is the number of servers without a free slot that a request
// asks before it waits in a queue. Each ask costs a hop; more of them seldom
// find a slot that the first ones did not.
const maxFullServers = 3

// attempt sends the request to servers until one attempt settles it. As long as
// a server may have a free slot, it does not wait in the queue of another one.
func (d *Dispatcher) attempt(ctx context.Context, req *request.Request) (request.Result, int) {
	tried, full := make(map[contract.ServerID]bool), make(map[contract.ServerID]bool)
	last := request.Rejected(request.ReasonNoServer)
	var ran *request.Result // the newest result of an attempt that may have run
	for attempts := 0; ; attempts++ {
		c, ok := d.next(req, tried, full)
		if !ok {
			return settle(last, ran), attempts
		}
		tried[c.server.ID] = true
		last = d.send(ctx, c, req)
		if last.Outcome != request.NotRun {
			ran = &request.Result{}
			*ran = last
		}
		if last.Outcome == request.NotRun && last.Reason == request.ReasonNoSlot {
			full[c.server.ID] = true
		}
		if !d.mayRepeat(req, last, attempts+1) {
			return settle(last, ran), attempts + 1
		}
	}
}

// settle returns the result of the whole request. If an attempt may have run,
// the rejection of a later one does not mean that the request did not run.
func settle(last request.Result, ran *request.Result) request.Result {
	if last.Outcome == request.NotRun && ran != nil {
		return *ran
	}
	return last
}

// next selects the server of the next attempt and decides whether the request
// may wait there. Servers that had no free slot may be waited for when no other
// server is left or enough of them were asked.
func (d *Dispatcher) next(req *request.Request, tried, full map[contract.ServerID]bool) (choice, bool) {
	index, now := d.parts.ConfigSource.Index(), d.parts.Clock()
	if len(full) < maxFullServers {
		if c, ok := d.selector.choose(index, req.Service, tried, now); ok {
			req.Server, req.NoQueue = c.server.ID, true
			return c, true
		}
	}
	for id := range full {
		delete(tried, id)
	}
	c, ok := d.selector.choose(index, req.Service, tried, now)
	if ok {
		req.Server, req.NoQueue = c.server.ID, false
	}
	return c, ok
}

// mayRepeat decides whether another attempt follows, and charges the service's
// retry budget for it.
func (d *Dispatcher) mayRepeat(req *request.Request, last request.Result, attempts int) bool {
	now := d.parts.Clock()
	if last.Outcome == request.Answered && last.Status < retry.FirstServerError {
		d.budgets.RecordSuccess(now, req.Service)
	}
	decision := retry.Decide(last, req.Idempotent, attempts, req.Deadline.Sub(now))
	if decision == retry.Stop || decision == retry.Retry && !d.budgets.Spend(now, req.Service) {
		return false
	}
	d.parts.Observer.RetriedOrRedirected(decision)
	return true
}

func (d *Dispatcher) send(ctx context.Context, c choice, req *request.Request) request.Result {
	d.selector.started(c.server.ID)
	defer d.selector.finished(c.server.ID)
	result := d.parts.Forwarder.Forward(ctx, c.owner, c.relay, req)
	d.selector.learn(result.ServiceState, d.parts.Clock())
	return result
}
