package owner

import (
	"context"
	"time"

	"almondstile/backend"
	"almondstile/contract"
	"almondstile/request"
	"almondstile/serverlink"
	"almondstile/upstream"
	"almondstile/vm"
)

// RelayExchanger runs exchanges with backend servers through other VMs. An
// exchange is one request to a server and its response.
type RelayExchanger interface {
	// Exchange asks the relay to run one attempt, which ends at the request's
	// deadline at the latest, and waits for the relay's reply until the context
	// ends. If ran is false, the relay did not run the attempt or its reply did
	// not arrive, and e says nothing about the server.
	Exchange(ctx context.Context, relay vm.VM, req *request.Request) (e upstream.Exchange, ran bool)
}

// Peers reports which other VMs are reachable.
type Peers interface {
	// Usable reports whether requests can be sent to the peer now.
	Usable(peer vm.ID, now time.Time) bool
}

const (
	// maxAttempts bounds the attempts of one admitted request: one direct
	// attempt and one over each of two relays.
	maxAttempts = 3
	// minRetryTime is the shortest time before the deadline in which another
	// attempt is made: two hops between zones and back take about 6 ms.
	minRetryTime = 10 * time.Millisecond
	// minConclusiveSilence is the shortest duration of an attempt after which a
	// missing response counts as evidence. Requests that leave the queue just
	// before their deadline have less time.
	minConclusiveSilence = 50 * time.Millisecond
)

// ServerLinks returns the status of the links to servers that are suspect or
// whose exchanges go over a relay.
func (o *Owner) ServerLinks() []serverlink.Status { return o.links.Status() }

// admittedRequest is a request that holds a slot at the server, with the state
// of its attempts.
type admittedRequest struct {
	owner     *Owner
	server    *contract.Server
	req       *request.Request
	planInput serverlink.PlanInput
	relays    []vm.VM
	// deferred is the number of failures of this request that are not counted
	// against the server yet.
	deferred int
}

// runAttempts runs the request at the server, directly or over a relay, and
// retries it where that is safe. It returns the exchange that determines the
// caller's response, and the sample to record for the server.
func (o *Owner) runAttempts(ctx context.Context, server *contract.Server, req *request.Request) (upstream.Exchange, backend.Sample) {
	a := &admittedRequest{owner: o, server: server, req: req}
	a.planInput = serverlink.PlanInput{Idempotent: req.Idempotent, Deadline: req.Deadline}
	if o.links.HasRecentFailure(server.ID) {
		a.findRelays()
	}
	final := upstream.Exchange{Result: request.Rejected(request.ReasonConnectFailed)}
	sample := backend.Sample{Outcome: backend.Inconclusive}
	for n := 0; n < maxAttempts; n++ {
		attempt, ok := o.links.Plan(o.deps.Clock(), server.ID, a.planInput)
		if !ok {
			break
		}
		e, evidence := a.runAttempt(ctx, attempt)
		sample = a.recordAttempt(attempt, e, evidence)
		final = finalExchange(final, e)
		if !a.prepareRetry(ctx, attempt, e, evidence) {
			break
		}
	}
	return final, sample
}

// finalExchange returns the exchange that determines the request's outcome. That
// is the last one, unless it was rejected as not executed while the earlier one
// may have executed: a rejection says nothing about the earlier attempt.
func finalExchange(earlier, last upstream.Exchange) upstream.Exchange {
	if last.Result.Outcome == request.NotRun && earlier.Result.Outcome != request.NotRun {
		return earlier
	}
	return last
}

// findRelays lists the VMs that can relay now, those in the server's zone first.
// All VMs compute the same order for a server, so its requests go over few relays.
func (a *admittedRequest) findRelays() {
	a.relays, a.planInput.Relays = nil, nil
	deps := &a.owner.deps
	if deps.Relays == nil {
		return
	}
	now, self := deps.Clock(), deps.Members.Self().ID
	for _, v := range deps.Members.List().Rank(a.server.OwnerRole()) {
		if v.ID != self && deps.Peers.Usable(v.ID, now) {
			a.relays = append(a.relays, v)
			a.planInput.Relays = append(a.planInput.Relays, v.ID)
		}
	}
}

// runAttempt runs one attempt, directly or over the attempt's relay. It returns
// the exchange and its evidence about the link to the server.
func (a *admittedRequest) runAttempt(ctx context.Context, attempt serverlink.Attempt) (upstream.Exchange, serverlink.Evidence) {
	req := *a.req
	req.Deadline = attempt.Deadline
	if attempt.Direct() {
		e := exchangeWithCrashCheck(ctx, a.owner.deps.Exchanger, a.server, &req)
		return e, linkEvidence(&e)
	}
	a.owner.countLinkEvent("relay-exchange")
	for _, v := range a.relays {
		if v.ID == attempt.Relay {
			e, ran := a.owner.deps.Relays.Exchange(ctx, v, &req)
			if !ran && e.Result.Reason != request.ReasonCanceled {
				return e, serverlink.RelayFailed
			}
			return e, linkEvidence(&e)
		}
	}
	return upstream.Exchange{Result: request.Rejected(request.ReasonConnectFailed)}, serverlink.RelayFailed
}

// exchangeWithCrashCheck runs one attempt at the server. If the server closed the
// connection without a response and refuses connections afterwards, the exchange
// is marked as a crash of the server's process.
func exchangeWithCrashCheck(ctx context.Context, exchanger Exchanger, server *contract.Server, req *request.Request) upstream.Exchange {
	e := exchanger.Do(ctx, server, req)
	if e.ClosedWithoutResponse && exchanger.RefusesConnections(ctx, server) {
		e.Crashed = true
		e.Result.Reason = request.ReasonServerCrashed
	}
	return e
}

// linkEvidence returns what a finished exchange shows about the link to the
// server. A server that sent anything proves that the link works.
func linkEvidence(e *upstream.Exchange) serverlink.Evidence {
	switch {
	case e.Result.Reason == request.ReasonCanceled:
		return serverlink.NoEvidence
	case e.ConnectionRefused:
		return serverlink.Refused
	case !e.ConnectFailed && !e.Silent:
		return serverlink.ServerResponded
	case e.Result.Reason == request.ReasonDeadline && e.Latency < minConclusiveSilence:
		return serverlink.NoEvidence
	case e.ConnectFailed:
		return serverlink.ConnectFailed
	default:
		return serverlink.Silent
	}
}

// recordAttempt records the attempt in the state of the server's link and returns
// the sample for the server. The sample is inconclusive if it is not known yet
// whether the link or the server failed.
func (a *admittedRequest) recordAttempt(attempt serverlink.Attempt, e upstream.Exchange, evidence serverlink.Evidence) backend.Sample {
	o := a.owner
	if e.Violation != "" {
		o.deps.Observer.MalformedResponse(string(e.Violation))
		o.deps.Log.WithField("request", a.req.ID).WithField("server", a.server.ID).WithField("violation", e.Violation).
			Info("A response of a server is malformed.")
	}
	if evidence.Failed() && attempt.Direct() {
		a.findRelays()
	}
	now := o.deps.Clock()
	decision := o.links.RecordResult(now, a.server.ID, attempt, evidence, a.planInput.Relays)
	o.reportLinkChange(a.server.ID, attempt, evidence, decision.Change)
	a.countDeferred(now, decision.CountNow)
	switch {
	case !decision.Deferred:
		return sampleOf(e)
	case evidence.Failed() && !attempt.Probe:
		a.deferred++
		// The server's process may have restarted without this VM noticing.
		// Until a response identifies the process, the server is limited to its
		// cold slots. A failed probe needs no such limit, because the responses
		// over relays identify the process.
		o.deps.Servers.RecordConnectionLoss(a.server.ID)
	}
	return backend.Sample{Outcome: backend.Inconclusive}
}

// countDeferred counts failures against the server whose counting was deferred
// until now. It skips as many as this request deferred itself, because the
// sample of its last attempt counts for the request.
func (a *admittedRequest) countDeferred(now time.Time, failures []serverlink.Evidence) {
	for _, e := range failures[min(a.deferred, len(failures)):] {
		outcome := backend.Lost
		if e == serverlink.ConnectFailed {
			outcome = backend.ConnectFailed
		}
		a.owner.deps.Servers.RecordSample(now, a.server.ID, backend.Sample{Outcome: outcome})
	}
}

// prepareRetry reports whether another attempt follows, and updates planInput for
// it. A retry follows a direct attempt that failed, a probe that ended without
// evidence and an attempt whose relay failed; in all three cases no response
// arrived. A request that may have been executed is retried only if it is
// idempotent.
func (a *admittedRequest) prepareRetry(ctx context.Context, attempt serverlink.Attempt, e upstream.Exchange, evidence serverlink.Evidence) bool {
	left := a.req.Deadline.Sub(a.owner.deps.Clock())
	if ctx.Err() != nil || left < minRetryTime || (e.Result.Outcome != request.NotRun && !a.req.Idempotent) {
		return false
	}
	switch {
	case attempt.Probe && evidence == serverlink.NoEvidence, attempt.Direct() && evidence.Failed():
		a.planInput.DirectFailed = true
		return true
	case evidence == serverlink.RelayFailed:
		a.excludeRelay(attempt.Relay)
		return true
	}
	return false
}

// excludeRelay removes a relay from the candidates for the next attempts.
func (a *admittedRequest) excludeRelay(id vm.ID) {
	var kept []vm.ID
	for _, relay := range a.planInput.Relays {
		if relay != id {
			kept = append(kept, relay)
		}
	}
	a.planInput.Relays = kept
}

// reportLinkChange counts and logs a change of the state of a server's link.
func (o *Owner) reportLinkChange(server contract.ServerID, attempt serverlink.Attempt, evidence serverlink.Evidence, change serverlink.Change) {
	if change == serverlink.NoChange {
		return
	}
	o.countLinkEvent(string(change))
	o.deps.Log.WithField("server", server).WithField("relay", attempt.Relay).WithField("evidence", evidence).
		WithField("change", change).Info("The state of the link to a server changed.")
}

// countLinkEvent reports a link change or a relayed exchange to the Observer.
func (o *Owner) countLinkEvent(event string) {
	o.deps.Observer.ServerLinkEvent(event)
}
