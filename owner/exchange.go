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

// Relays runs exchanges with backend servers through other VMs.
type RelayExchanger interface {
	// Exchange asks the relay to run one attempt until the request's deadline
	// and waits for its reply until the context ends. If ran is false, the
	// result tells of the relay and not of the server.
	Exchange(ctx context.Context, relay vm.VM, req *request.Request) (e upstream.Exchange, ran bool)
}

// Peers tells which VMs can be reached.
type Peers interface {
	Usable(peer vm.ID, now time.Time) bool
}

const (
	// maxAttempts bounds the attempts of one admitted request: the direct way
	// and two relays.
	maxAttempts = 3
	// minTimeLeft is the time below which another attempt is pointless: two
	// hops between zones and back take about 6 ms.
	minTimeLeft = 10 * time.Millisecond
	// minSilence is the shortest attempt whose silence says something. Requests
	// that leave the queue just before their deadline get less.
	minSilence = 50 * time.Millisecond
)

// ServerLinks returns the links to servers that are suspect or run over a relay.
func (o *Owner) ServerLinks() []serverlink.Status { return o.links.Status() }

// admitted is one admitted request on its ways to the server.
type admitted struct {
	owner  *Owner
	server *contract.Server
	req    *request.Request
	ask    serverlink.Ask
	relays []vm.VM
	// withheld counts this request's own failures that are not judged yet.
	withheld int
}

// exchange runs the request at the server, directly or over a relay. It returns
// the exchange that settles the request and the evidence about the server.
func (o *Owner) exchange(ctx context.Context, server *contract.Server, req *request.Request) (upstream.Exchange, backend.Sample) {
	a := &admitted{owner: o, server: server, req: req}
	a.ask = serverlink.Ask{Idempotent: req.Idempotent, Deadline: req.Deadline}
	if o.links.Troubled(server.ID) {
		a.findRelays()
	}
	settled := upstream.Exchange{Result: request.Rejected(request.ReasonConnectFailed)}
	sample := backend.Sample{Outcome: backend.Inconclusive}
	for n := 0; n < maxAttempts; n++ {
		attempt, ok := o.links.Plan(o.parts.Clock(), server.ID, a.ask)
		if !ok {
			break
		}
		e, evidence := a.run(ctx, attempt)
		sample = a.judge(attempt, e, evidence)
		settled = settle(settled, e)
		if !a.mayRepeat(ctx, attempt, e, evidence) {
			break
		}
	}
	return settled, sample
}

// settle keeps an earlier attempt that may have run before a later rejection,
// which says nothing about the earlier one.
func settle(earlier, last upstream.Exchange) upstream.Exchange {
	if last.Result.Outcome == request.NotRun && earlier.Result.Outcome != request.NotRun {
		return earlier
	}
	return last
}

// findRelays lists the VMs that can relay now, those in the server's zone first.
// All VMs compute the same order, so a server's requests meet in few relays.
func (a *admitted) findRelays() {
	a.relays, a.ask.Relays = nil, nil
	parts := &a.owner.parts
	if parts.Relays == nil {
		return
	}
	now, self := parts.Clock(), parts.Members.Self().ID
	for _, v := range parts.Members.List().Rank(a.server.OwnerRole()) {
		if v.ID != self && parts.Peers.Usable(v.ID, now) {
			a.relays = append(a.relays, v)
			a.ask.Relays = append(a.ask.Relays, v.ID)
		}
	}
}

// run does one attempt and says what it showed about the way.
func (a *admitted) run(ctx context.Context, attempt serverlink.Attempt) (upstream.Exchange, serverlink.Evidence) {
	req := *a.req
	req.Deadline = attempt.Deadline
	if attempt.Direct() {
		e := exchangeAt(ctx, a.owner.parts.Exchanger, a.server, &req)
		return e, evidenceOf(&e)
	}
	a.owner.count("relay-exchange")
	for _, v := range a.relays {
		if v.ID == attempt.Relay {
			e, ran := a.owner.parts.Relays.Exchange(ctx, v, &req)
			if !ran && e.Result.Reason != request.ReasonCanceled {
				return e, serverlink.RelayFailed
			}
			return e, evidenceOf(&e)
		}
	}
	return upstream.Exchange{Result: request.Rejected(request.ReasonConnectFailed)}, serverlink.RelayFailed
}

// exchangeAt runs one attempt and looks whether a cut means a crash.
func exchangeAt(ctx context.Context, exchanger Exchanger, server *contract.Server, req *request.Request) upstream.Exchange {
	e := exchanger.Do(ctx, server, req)
	if e.ClosedWithoutResponse && exchanger.RefusesConnections(ctx, server) {
		e.Crashed = true
		e.Result.Reason = request.ReasonServerCrashed
	}
	return e
}

func evidenceOf(e *upstream.Exchange) serverlink.Evidence {
	switch {
	case e.Result.Reason == request.ReasonCanceled:
		return serverlink.NoEvidence
	case e.ConnectionRefused:
		return serverlink.Refused
	case !e.ConnectFailed && !e.Silent:
		return serverlink.Heard
	case e.Result.Reason == request.ReasonDeadline && e.Latency < minSilence:
		return serverlink.NoEvidence
	case e.ConnectFailed:
		return serverlink.ConnectFailed
	default:
		return serverlink.Silent
	}
}

// judge records the attempt and returns what it shows about the server.
func (a *admitted) judge(attempt serverlink.Attempt, e upstream.Exchange, evidence serverlink.Evidence) backend.Sample {
	o := a.owner
	if evidence.Failed() && attempt.Direct() {
		a.findRelays()
	}
	now := o.parts.Clock()
	verdict := o.links.Ended(now, a.server.ID, attempt, evidence, a.ask.Relays)
	o.changed(a.server.ID, attempt, evidence, verdict.Change)
	a.noteReleased(now, verdict.Released)
	switch {
	case !verdict.Withhold:
		return judge(e)
	case evidence.Failed() && !attempt.Probe:
		a.withheld++
		// The process may have ended unseen. Until a response names it, the
		// server gets its cold slots only. During a probe, the relays' responses
		// name it.
		o.parts.Servers.RecordConnectionLoss(a.server.ID)
	}
	return backend.Sample{Outcome: backend.Inconclusive}
}

// noteReleased counts failures against the server that were withheld before.
// Those of this request are left out: its last attempt counts instead.
func (a *admitted) noteReleased(now time.Time, released []serverlink.Evidence) {
	for _, e := range released[min(a.withheld, len(released)):] {
		outcome := backend.Lost
		if e == serverlink.ConnectFailed {
			outcome = backend.ConnectFailed
		}
		a.owner.parts.Servers.RecordSample(now, a.server.ID, backend.Sample{Outcome: outcome})
	}
}

// mayRepeat decides whether another attempt follows, and prepares it. Nothing
// came back from the server or from the relay; a request that may have run is
// sent again only if it is idempotent.
func (a *admitted) mayRepeat(ctx context.Context, attempt serverlink.Attempt, e upstream.Exchange, evidence serverlink.Evidence) bool {
	left := a.req.Deadline.Sub(a.owner.parts.Clock())
	if ctx.Err() != nil || left < minTimeLeft || (e.Result.Outcome != request.NotRun && !a.req.Idempotent) {
		return false
	}
	switch {
	case attempt.Probe && evidence == serverlink.NoEvidence, attempt.Direct() && evidence.Failed():
		a.ask.DirectFailed = true
		return true
	case evidence == serverlink.RelayFailed:
		a.dropRelay(attempt.Relay)
		return true
	}
	return false
}

func (a *admitted) dropRelay(id vm.ID) {
	var kept []vm.ID
	for _, relay := range a.ask.Relays {
		if relay != id {
			kept = append(kept, relay)
		}
	}
	a.ask.Relays = kept
}

// changed counts and logs a change of the link to a server.
func (o *Owner) changed(server contract.ServerID, attempt serverlink.Attempt, evidence serverlink.Evidence, change serverlink.Change) {
	if change == serverlink.NoChange {
		return
	}
	o.count(string(change))
	o.parts.Log.WithField("server", server).WithField("relay", attempt.Relay).WithField("evidence", evidence).
		WithField("change", change).Info("The link to a server changed.")
}

func (o *Owner) count(decision string) {
	o.parts.Observer.ServerLinkEvent(decision)
}
