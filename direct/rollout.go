package direct

import (
	"math/rand/v2"
	"time"

	"almondstile/catalog"
	"almondstile/contract"
	"almondstile/evidence"
	"almondstile/request"
	"almondstile/rollout"
	"almondstile/rollout/replica"
	"almondstile/tally"
	"almondstile/upstream"
)

// rolloutRule returns the rule of the service's roll-out for the next attempt of a request.
// tried holds the servers of its earlier attempts.
func (d *Dispatcher) rolloutRule(now time.Time, view *catalog.View, service contract.ServiceID, tried map[contract.ServerID]bool) replica.Rule {
	rollouts := d.deps.ReplicatedState.Rollouts
	if rollouts == nil {
		return replica.Rule{}
	}
	triedVersion := func(v rollout.Version) bool {
		for _, r := range view.ByService[service] {
			if r.Version == v && tried[r.Server.ID] {
				return true
			}
		}
		return false
	}
	return rollouts.Rule(now, service, view.Rollouts[service], triedVersion, rand.Float64())
}

// preferredByRollout returns the servers that the rule prefers, or all if it prefers none
// of them. A version that is only held does not wait if the request has tried all others.
func preferredByRollout(rule *replica.Rule, available []selection, tried map[contract.ServerID]bool) []selection {
	if rule.PrefersAll() {
		return available
	}
	count, untried := 0, false
	for i := range available {
		if server := available[i].server; rule.Prefers(versionedServer(server)) {
			count++
			untried = untried || !tried[server.Server.ID]
		}
	}
	if count == 0 || count == len(available) || rule.OnlyHolds() && !untried {
		return available
	}
	preferred := make([]selection, 0, count)
	for _, s := range available {
		if rule.Prefers(versionedServer(s.server)) {
			preferred = append(preferred, s)
		}
	}
	return preferred
}

// versionedServer returns what a roll-out needs to know of a registered server.
func versionedServer(r *catalog.Registration) replica.Server {
	return replica.Server{ID: r.Server.ID, StartedAt: r.StartedAt, Version: r.Version}
}

// sendOf returns the record of an attempt for the service's roll-out.
func (c counters) sendOf(req *request.Request, r *catalog.Registration) replica.Send {
	send := replica.Send{Service: req.Service, Version: r.Version, Repeatable: req.Idempotent}
	send.Sampled = c.state.Rollouts.Sample(send, rand.Float64())
	return send
}

// recordRolloutSend counts an attempt that is about to be sent.
func (c counters) recordRolloutSend(now time.Time, send replica.Send) {
	if subject, counts := c.state.Rollouts.RecordStart(now, send); counts {
		c.ledger.Add(now, subject, tally.TargetSends, 1)
	}
}

// recordRolloutResult records the end of an attempt, and its response as evidence about
// the server's version. hedged is true if a hedge was faster.
func (c counters) recordRolloutResult(now time.Time, send replica.Send, route contract.RouteID, server *catalog.Registration, e upstream.Exchange, hedged bool) {
	c.state.Rollouts.RecordEnd(send)
	class, ok := responseClass(e, hedged)
	if !ok {
		return
	}
	subject, recorded := c.state.Rollouts.RecordResponse(now, send, route, versionedServer(server), class)
	if recorded {
		c.ledger.Add(now, subject, tally.Sampled, 1)
	}
}

// responseClass returns the class of an attempt's response. It returns false if the attempt
// says nothing about the server's version: the server was not reached or did not run the
// request, or the caller left. An attempt that was hedged counts as a success that took as
// long as it had until the hedge answered; otherwise slow versions would show few slow
// responses. A hedge that was slower says nothing, as it had less time.
func responseClass(e upstream.Exchange, hedged bool) (rollout.Class, bool) {
	switch result := classify(e); {
	case e.ConnectFailed:
		return 0, false
	case hedged && e.Result.Reason == request.ReasonCanceled:
		return rollout.SuccessClass(e.Latency), true
	case result == evidence.Success:
		return rollout.SuccessClass(e.Latency), true
	case result == evidence.Failure:
		return rollout.FailureClass(e.Latency), true
	default:
		return 0, false
	}
}

// RolloutServers returns the servers between which an order moves the requests, as far as
// they may get any.
func (d *Dispatcher) RolloutServers(now time.Time, order rollout.Order) replica.Servers {
	view, state := d.deps.Source.View(), d.deps.ReplicatedState
	servers := replica.Servers{ArrivalsPerSecond: state.RetryBudgets.SendRate(now, order.Service)}
	ramp := 0.0
	if view.Index != nil {
		if service := view.Index.Service(order.Service); service != nil {
			ramp = service.ColdRatePerSecond
		}
	}
	for _, r := range view.ByService[order.Service] {
		if !view.AcceptsNewRequests(r) || state.Notices.Leaving(incarnationOf(r)) {
			continue
		}
		if r.Version != order.Target {
			servers.OldServers++
			servers.OldSlots += r.Server.Slots
			continue
		}
		servers.Targets = append(servers.Targets, rollout.TargetServer{
			Key: replica.ServerKey(r.Server.ID, r.StartedAt), Slots: r.Server.Slots, Cold: d.inSlowStart(r), RampPerSecond: ramp,
		})
	}
	return servers
}
