package direct

import (
	"context"
	"math/rand/v2"
	"time"

	"almondstile/catalog"
	"almondstile/contract"
	"almondstile/evidence"
	"almondstile/request"
	"almondstile/retry"
	"almondstile/upstream"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

const (
	// minServerErrorStatus is the lowest HTTP status that counts as a failure of the
	// server.
	minServerErrorStatus = 500
	// maxAttempts bounds the attempts of one request, including those that the
	// server did not execute.
	maxAttempts = 4
	// minTimeLeft is the time before the request's deadline below which no further
	// attempt is made, because it could not finish.
	minTimeLeft = 20 * time.Millisecond
	// rejectedRetryAfter is the Retry-After time of a request that no server
	// accepted. A slot becomes free within part of a typical request.
	rejectedRetryAfter = 300 * time.Millisecond
	// pauseSpread is the period over which callers return after a pause of all servers.
	pauseSpread = time.Second
	// suspectLatencyFactor is the multiple of the route's typical latency after
	// which an attempt without a response counts as a failure of its server.
	suspectLatencyFactor = 4
	// hedgeLatencyFactor is the multiple of the route's typical latency after
	// which an idempotent request is sent to a second server as well.
	hedgeLatencyFactor = 2.5
	// minHedgeDelay is the shortest hedge delay. The normal variation of the
	// latency would otherwise hedge many short requests.
	minHedgeDelay = 150 * time.Millisecond
)

// finishedAttempt is one attempt's server and the result of its exchange.
type finishedAttempt struct {
	server   *catalog.Registration
	exchange upstream.Exchange
}

// attemptLoop makes the attempts of one request. Only the goroutine of the
// request changes its fields; attempts report through results.
type attemptLoop struct {
	d              *Dispatcher
	ctx            context.Context
	route          *contract.Route
	req            *request.Request
	results        chan finishedAttempt
	wg             conc.WaitGroup
	tried          map[contract.ServerID]bool
	attempts       int             // attempts made
	maybeExecuted  int             // attempts that a server may have executed
	unreached      int             // attempts that did not reach their server
	inFlight       int             // attempts in flight
	typicalLatency time.Duration   // mean latency of the route, 0 if not known
	best           *request.Result // best result so far, nil before the first
	trial          bool            // the first attempt was a trial request
	stopped        stopReason      // why there was no further attempt
}

// errAnswered is the cause with which the attempts in flight are canceled once another one
// has answered the request.
var errAnswered = errors.New("another attempt answered the request")

// stopReason is why a request gets no further attempt.
type stopReason string

// The reasons for which a request gets no further attempt.
const (
	stoppedBySuccess     stopReason = ""
	stoppedByOutcome     stopReason = "may-have-run"  // and may not run twice
	stoppedByAttempts    stopReason = "attempts"      // the most that a request may have
	stoppedByTime        stopReason = "time"          // the deadline is too close
	stoppedByBudget      stopReason = "retry-budget"  // of the service
	stoppedByDrain       stopReason = "vm-stopping"   // too late for an attempt before the VM stops
	stoppedByKey         stopReason = "key-withdrawn" // during an attempt
	stoppedWithoutServer stopReason = "no-candidate"  // no server may get the request
	stoppedWithoutRoom   stopReason = "no-room"       // the service is short of room
)

// attemptSummary says how the attempts of a request went, for the log.
type attemptSummary struct {
	attempts int
	stopped  stopReason
	trial    bool // the first attempt was a trial request
}

// runAttempts sends the request to servers until one attempt succeeds or no
// further attempt is allowed. It returns the best result and a summary of the attempts.
func (d *Dispatcher) runAttempts(ctx context.Context, route *contract.Route, req *request.Request) (request.Result, attemptSummary) {
	ctx, cancel := context.WithCancelCause(ctx)
	r := &attemptLoop{
		d: d, ctx: ctx, route: route, req: req,
		results: make(chan finishedAttempt, maxAttempts), tried: make(map[contract.ServerID]bool),
		typicalLatency: d.deps.ReplicatedState.Routes.TypicalLatency(evidence.RouteSubject(route.ID)),
	}
	defer func() {
		cancel(errAnswered) // closes the connections of attempts still in flight
		r.wg.Wait()
	}()
	if !r.startAttempt() {
		return r.rejectWithoutServer(), attemptSummary{stopped: r.stopped}
	}
	result := r.waitForResult()
	if result.Outcome == request.NotRun && result.RetryAfter == 0 {
		result.RetryAfter = r.retryAfter()
	}
	return result, attemptSummary{attempts: r.attempts, stopped: r.stopped, trial: r.trial}
}

// rejectWithoutServer returns the result of a request that no server may get.
func (r *attemptLoop) rejectWithoutServer() request.Result {
	rejected := request.Rejected(request.ReasonNoServer)
	rejected.RetryAfter = r.retryAfter()
	return rejected
}

// retryAfter returns when the caller of a rejected request should retry. While all
// servers pause, callers come back when the first one accepts requests, spread over
// pauseSpread so that they don't all come at once.
func (r *attemptLoop) retryAfter() time.Duration {
	left := r.d.pauseLeft(r.d.deps.Clock(), r.d.deps.Source.View(), r.req.Service)
	if left == 0 {
		return r.d.returnAfterRefusal(r.route, r.req)
	}
	return left + time.Duration(rand.Int64N(int64(pauseSpread)))
}

// waitForResult waits for the attempts in flight and starts retries and hedges as
// far as they are allowed. It returns the best result.
func (r *attemptLoop) waitForResult() request.Result {
	hedge := time.NewTimer(r.hedgeDelay())
	defer hedge.Stop()
	for r.inFlight > 0 {
		select {
		case e := <-r.results:
			r.inFlight--
			if r.recordResult(e) {
				r.stopped = stoppedBySuccess // also if a hedge was not allowed before
				return *r.best
			}
			if r.inFlight == 0 && r.mayRetry() {
				r.startAttempt()
			}
		case <-hedge.C:
			if r.mayHedge() {
				r.d.deps.Observer.Count("hedged")
				r.startAttempt()
			}
		}
	}
	return *r.best
}

// recordResult keeps the result if it is better than the best one so far. It
// reports whether the attempt succeeded, so that no other one is needed.
func (r *attemptLoop) recordResult(e finishedAttempt) bool {
	result := e.exchange.Result
	if result.Outcome != request.NotRun {
		r.maybeExecuted++
	}
	if e.exchange.ConnectFailed {
		r.unreached++
	}
	if r.best == nil || rank(result) > rank(*r.best) {
		r.best = &result
	}
	return rank(result) == rankSuccess
}

// Ranks of results, from worst to best. The caller gets the result that tells it
// most about its request.
const (
	rankNotRun = iota
	rankUnknown
	rankFailure
	rankSuccess
)

// rank returns the rank of a result.
func rank(result request.Result) int {
	switch {
	case result.Outcome == request.NotRun:
		return rankNotRun
	case result.Outcome == request.Unknown:
		return rankUnknown
	case result.Status >= minServerErrorStatus:
		return rankFailure
	default:
		return rankSuccess
	}
}

// mayRetry decides whether another attempt follows after all have failed.
func (r *attemptLoop) mayRetry() bool {
	switch {
	case r.maybeExecuted == 0:
	case !r.req.Idempotent:
		r.stopped = stoppedByOutcome
		return false
	case r.maybeExecuted >= max(r.route.Attempts, 1):
		r.stopped = stoppedByAttempts
		return false
	}
	return r.spendExtraAttempt(r.d.retryReserve(r.route, r.req))
}

// mayHedge decides whether the request is sent to a further server while an
// attempt is in flight.
func (r *attemptLoop) mayHedge() bool {
	return r.req.Idempotent && r.attempts < max(r.route.Attempts, 1) && r.spendExtraAttempt(retry.HedgeReserve)
}

// spendExtraAttempt reports whether the time left, a planned stop of this VM, maxAttempts
// and the retry budget of the service allow another attempt. It takes the attempt out of the
// budget if an earlier one reached its server, or may reach it yet. The budget limits
// the load that retries put on servers, and a failed connection puts none on them. reserve is
// the part of the budget (0 to 1) that the attempt leaves to others.
func (r *attemptLoop) spendExtraAttempt(reserve float64) bool {
	now := r.d.deps.Clock()
	switch {
	case r.attempts >= maxAttempts:
		r.stopped = stoppedByAttempts
		return false
	case r.ctx.Err() != nil || r.req.Deadline.Sub(now) < minTimeLeft:
		r.stopped = stoppedByTime
		return false
	case !r.d.drain.AllowsAttempt(now, r.typicalLatency):
		r.stopped = stoppedByDrain
		return false
	}
	if r.attempts == r.unreached {
		return true
	}
	if !r.d.counters.spendRetry(now, r.req.Service, r.d.deps.Fleet.ConnectedShare(now), reserve) {
		r.d.deps.Observer.Count("budget_exhausted")
		r.stopped = stoppedByBudget
		return false
	}
	return true
}

// hedgeDelay returns how long the first attempt may take before the request is
// hedged.
func (r *attemptLoop) hedgeDelay() time.Duration {
	if r.typicalLatency == 0 {
		return r.route.TargetLatency() / 2
	}
	return max(time.Duration(hedgeLatencyFactor*float64(r.typicalLatency)), minHedgeDelay)
}

// startAttempt starts an attempt if the key is still valid and a server is
// available. It returns whether this request has had any attempt, including earlier
// ones.
func (r *attemptLoop) startAttempt() bool {
	now := r.d.deps.Clock()
	// Each attempt reads the current view: keys, servers and zones may have changed
	// during the previous attempt.
	view := r.d.deps.Source.View()
	if r.req.Key != "" && !view.Index.KeyValid(r.req.Key, r.req.Team) {
		r.stopped = stoppedByKey
		return r.attempts > 0
	}
	selected, ok := r.d.selectServer(now, view, r.req, r.tried)
	if !ok {
		r.stopped = stoppedWithoutServer
		return r.attempts > 0
	}
	r.stopped = stoppedBySuccess
	if r.attempts == 0 {
		r.d.counters.recordFirstAttempt(now, r.req.Service)
	}
	r.d.counters.recordLimitedSend(now, incarnationOf(selected.server))
	send := r.d.counters.sendOf(r.req, selected.server)
	r.d.counters.recordRolloutSend(now, send)
	r.tried[selected.server.Server.ID] = true
	r.attempts++
	r.inFlight++
	first := r.attempts == 1
	r.trial = r.trial || selected.trial
	r.wg.Go(func() {
		// The result if the attempt panics: the server may have got the request.
		e := upstream.Exchange{Result: request.UnknownResult(request.ReasonInternal)}
		r.d.deps.Guard.Handle("attempt", r.req.ID, func() { e = r.runAttempt(selected) })
		hedged := first && errors.Is(context.Cause(r.ctx), errAnswered)
		r.d.counters.recordRolloutResult(r.d.deps.Clock(), send, r.route.ID, selected.server, e, hedged)
		r.results <- finishedAttempt{selected.server, e}
	})
	return true
}
