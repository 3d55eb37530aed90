package direct

import (
	"context"
	"time"

	"almondstile/catalog"
	"almondstile/contract"
	"almondstile/evidence"
	"almondstile/request"
	"almondstile/upstream"

	"github.com/sourcegraph/conc"
)

const (
	// firstServerError is the lowest status that blames the server.
	firstServerError = 500
	// maxSends bounds the servers that one request is sent to, those that did
	// not run it included.
	maxSends = 4
	// minTimeLeft is the time below which another attempt is pointless.
	minTimeLeft = 20 * time.Millisecond
	// refusedRetryAfter is when callers may come again after every server that
	// was asked had refused: a slot is free after part of a usual request.
	refusedRetryAfter = 300 * time.Millisecond
	// suspectFactor is the multiple of the usual latency after which a server
	// that has not answered is suspected.
	suspectFactor = 4
	// hedgeFactor is the multiple of the usual latency after which a second
	// server gets a request that may run twice.
	hedgeFactor = 2.5
	// minHedgeDelay keeps short requests from being sent twice because of the
	// usual spread of latencies.
	minHedgeDelay = 150 * time.Millisecond
)

// ended is the result of one attempt.
type ended struct {
	server   *catalog.Registration
	exchange upstream.Exchange
}

// run is one request's attempts.
type run struct {
	d       *Dispatcher
	ctx     context.Context
	route   *contract.Route
	req     *request.Request
	results chan ended
	wg      conc.WaitGroup
	tried   map[contract.ServerID]bool
	sends   int // attempts made
	ran     int // attempts that may have run
	running int
	usual   time.Duration // mean latency of the route, 0 if not known
	best    *request.Result
}

// run sends the request to servers until one attempt settles it. It returns the
// result and the number of attempts.
func (d *Dispatcher) run(ctx context.Context, route *contract.Route, req *request.Request) (request.Result, int) {
	ctx, cancel := context.WithCancel(ctx)
	r := &run{
		d: d, ctx: ctx, route: route, req: req,
		results: make(chan ended, maxSends), tried: make(map[contract.ServerID]bool),
		usual: d.parts.ReplicatedState.Routes.TypicalLatency(evidence.RouteSubject(route.ID)),
	}
	defer func() {
		cancel() // closes the connections of attempts that are not needed
		r.wg.Wait()
	}()
	if !r.send() {
		rejected := request.Rejected(request.ReasonNoServer)
		rejected.RetryAfter = refusedRetryAfter
		return rejected, 0
	}
	result := r.settle()
	if result.Outcome == request.NotRun && result.RetryAfter == 0 {
		result.RetryAfter = refusedRetryAfter
	}
	return result, r.sends
}

// settle waits for attempts and makes more of them as allowed.
func (r *run) settle() request.Result {
	hedge := time.NewTimer(r.hedgeDelay())
	defer hedge.Stop()
	for r.running > 0 {
		select {
		case e := <-r.results:
			r.running--
			if r.take(e) {
				return *r.best
			}
			if r.running == 0 && r.mayRepeat() {
				r.send()
			}
		case <-hedge.C:
			if r.mayHedge() {
				r.d.parts.Observer.Count("hedged")
				r.send()
			}
		}
	}
	return *r.best
}

// take keeps the better result and reports whether the request is settled.
func (r *run) take(e ended) bool {
	result := e.exchange.Result
	if result.Outcome != request.NotRun {
		r.ran++
	}
	if r.best == nil || rank(result) > rank(*r.best) {
		r.best = &result
	}
	return rank(result) == rankSuccess
}

// The order of results: what tells a caller more goes first.
const (
	rankNotRun = iota
	rankUnknown
	rankFailure
	rankSuccess
)

func rank(result request.Result) int {
	switch {
	case result.Outcome == request.NotRun:
		return rankNotRun
	case result.Outcome == request.Unknown:
		return rankUnknown
	case result.Status >= firstServerError:
		return rankFailure
	default:
		return rankSuccess
	}
}

// mayRepeat decides whether another attempt follows after all have failed.
func (r *run) mayRepeat() bool {
	allowed := r.req.Idempotent && r.ran < max(r.route.Attempts, 1) || r.ran == 0
	return allowed && r.withinBudget()
}

// mayHedge decides whether a second server gets the request beside the first.
func (r *run) mayHedge() bool {
	return r.req.Idempotent && r.sends < max(r.route.Attempts, 1) && r.withinBudget()
}

func (r *run) withinBudget() bool {
	now := r.d.parts.Clock()
	if r.ctx.Err() != nil || r.sends >= maxSends || r.req.Deadline.Sub(now) < minTimeLeft {
		return false
	}
	if !r.d.counters.repeat(now, r.req.Service, r.d.parts.Fleet.ConnectedShare(now)) {
		r.d.parts.Observer.Count("budget_exhausted")
		return false
	}
	return true
}

// hedgeDelay is how long the first attempt may take alone.
func (r *run) hedgeDelay() time.Duration {
	if r.usual == 0 {
		return r.route.TargetLatency() / 2
	}
	return max(time.Duration(hedgeFactor*float64(r.usual)), minHedgeDelay)
}

// send starts an attempt and reports whether there was a server for it.
func (r *run) send() bool {
	now := r.d.parts.Clock()
	// The view is read anew for each attempt: keys, servers and zones may have
	// changed while the last one ran.
	view := r.d.parts.Source.View()
	if r.req.Key != "" && !view.Index.KeyValid(r.req.Key, r.req.Team) {
		return r.sends > 0
	}
	c, ok := r.d.choose(now, view, r.req, r.tried)
	if !ok {
		return r.sends > 0
	}
	if r.sends == 0 {
		r.d.counters.first(now, r.req.Service)
	}
	r.tried[c.server.Server.ID] = true
	r.sends++
	r.running++
	r.wg.Go(func() { r.results <- ended{c.server, r.exchange(c)} })
	return true
}

// exchange runs one attempt and takes in what it says about the server.
func (r *run) exchange(c chosen) upstream.Exchange {
	d, server := r.d, &c.server.Server
	subject := evidence.ServerSubject(server.ID)
	d.counters.started(d.parts.Clock(), subject)
	suspected := make(chan struct{})
	timer := time.AfterFunc(max(r.route.TargetLatency(), suspectFactor*r.usual), func() {
		defer close(suspected)
		d.counters.suspect(d.parts.Clock(), subject)
	})
	e := d.parts.Exchanger.Do(r.ctx, server, r.req)
	verdict := judge(e)
	if !timer.Stop() {
		<-suspected
		if verdict == evidence.Failure {
			verdict = evidence.Neutral // counted by the timer
		}
	}
	d.counters.finished(d.parts.Clock(), subject, evidence.RouteSubject(r.route.ID), verdict, e.Latency)
	d.afterExchange(c, r.req, e, verdict)
	return e
}

// judge tells what an exchange says about its server.
func judge(e upstream.Exchange) evidence.Result {
	result := e.Result
	switch {
	case result.Reason == request.ReasonCanceled:
		return evidence.Neutral
	case result.Outcome == request.NotRun && result.Reason == request.ReasonShed:
		return evidence.Refused
	case result.Outcome != request.Answered || result.Status >= firstServerError:
		return evidence.Failure
	default:
		return evidence.Success
	}
}

// afterExchange logs what was not simply good and looks whether the server
// crashed on the request.
func (d *Dispatcher) afterExchange(c chosen, req *request.Request, e upstream.Exchange, verdict evidence.Result) {
	if verdict == evidence.Success {
		return
	}
	d.parts.Log.WithField("request", req.ID).WithField("server", c.server.Server.ID).WithField("zone", c.server.Server.Zone).
		WithField("service", req.Service).WithField("outcome", e.Result.Outcome).WithField("reason", e.Result.Reason).
		WithField("status", e.Result.Status).WithField("shed", e.Result.ShedStatus).WithField("latency_ms", e.Latency.Milliseconds()).
		WithField("failing", c.state.FailureRate).WithField("faulty", c.state.FaultProbability).WithField("running", c.state.InFlight).
		WithField("row_version", c.server.Version()).Info("An attempt did not succeed.")
	if !e.ClosedWithoutResponse {
		return
	}
	fingerprint := request.FingerprintOf(req)
	server := c.server.Server
	d.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if d.parts.Exchanger.RefusesConnections(ctx, &server) {
			d.counters.crashed(d.parts.Clock(), fingerprint)
			d.parts.Log.WithField("request", req.ID).WithField("server", server.ID).Warn("A server crashed while it ran a request.")
		}
	})
}
