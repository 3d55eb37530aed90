package direct

import (
	"time"

	"almondstile/placement"
	"almondstile/request"
	"almondstile/work"
)

// expectation is what this VM expected of an attempt when it selected the server.
type expectation struct {
	kind     work.Kind
	estimate work.Estimate
	// wait is the expected wait for a slot.
	wait time.Duration
	// startedAt identifies the incarnation of the server by its start.
	startedAt int64
	// byCost is true if the choice follows likely costs.
	byCost bool
	// showsCost is true if the latency of the attempt shows the cost of its kind, because
	// the server had a free slot and was not in slow start.
	showsCost bool
}

// workTenths returns the likely cost as it is reported to other VMs. It is 0 while the
// requests of the service cost alike.
func (x expectation) workTenths() uint64 {
	if x.estimate.Relative == 1 {
		return 0
	}
	return max(1, uint64(workTenthsPerUnit*x.estimate.Relative+0.5))
}

// workTenthsPerUnit is the number of units of tally.WorkTenths of a request that costs the
// mean of its service.
const workTenthsPerUnit = 10

// estimateCost returns what the request is likely to cost its server.
func (d *Dispatcher) estimateCost(now time.Time, req *request.Request) (work.Kind, work.Estimate) {
	kind := work.Kind{Route: req.Route, Service: req.Service, Method: req.Method, BodyBytes: req.Body.Len()}
	if d.deps.IgnoreCosts {
		return kind, work.Estimate{Relative: 1}
	}
	estimate := d.deps.ReplicatedState.Costs.Estimate(now, kind)
	if estimate.TurnedUneven {
		d.deps.Observer.Count("cost_uneven")
		d.deps.Log.WithField("service", req.Service).WithField("route", req.Route).
			WithField("cost_ms", estimate.Mean.Milliseconds()).WithField("service_cost_ms", estimate.ServiceMean.Milliseconds()).
			Info("The requests of a service cost different amounts of work. The choice of servers follows their costs.")
	}
	return kind, estimate
}

// weighWork sets the inputs of placement.Pick that follow from likely costs.
func (d *Dispatcher) weighWork(c *placement.Candidate, s *selection, estimate work.Estimate) {
	if d.deps.IgnoreCosts {
		return
	}
	c.Work, c.RelativeLatency, c.Urgency = s.state.Work, s.state.Slowness, estimate.Urgency()
}

// expect returns what this VM expects of an attempt at the selected server.
func (d *Dispatcher) expect(s *selection, kind work.Kind, estimate work.Estimate) expectation {
	slots := s.server.Server.Slots
	return expectation{
		kind: kind, estimate: estimate, startedAt: s.server.StartedAt, byCost: !d.deps.IgnoreCosts,
		wait:      work.Wait(s.state.Work, slots, estimate.ServiceMean),
		showsCost: !d.deps.IgnoreCosts && work.StartsAtOnce(s.state.InFlight, slots) && !d.inSlowStart(s.server),
	}
}
