package placement

import (
	"math"
	"slices"
	"time"
)

// Candidate is a server that may get the request, with its statistics.
type Candidate struct {
	// OwnZone is true for a server in the zone of this VM.
	OwnZone bool
	// InSubset is true for a server of this VM's subset.
	InSubset bool
	// Slots is the number of requests that the server executes at the same time.
	Slots int
	// Work is the estimated work that the server still has to do, in multiples of a typical
	// request; without a better estimate, the number of requests in flight.
	Work float64
	// FailureRate is the estimated share of requests that fail, from 0 to 1.
	FailureRate float64
	// FaultProbability is the probability (0 to 1) that the server is in a faulty phase.
	FaultProbability float64
	// RelativeLatency is the server's latency divided by the typical latency of the
	// same routes; 1 if it is not known.
	RelativeLatency float64
	// RecentSuccesses, RecentFailures and RecentRefusals count the recent requests that
	// the server served, failed, or refused because all of its slots were in use. Older
	// ones count less.
	RecentSuccesses, RecentFailures, RecentRefusals float64
	// IdleTime is the time since any VM sent a request to the server.
	IdleTime time.Duration
	// Urgency is the weight of a wait for a slot, 1 for a typical request. 0 counts as 1.
	Urgency float64
	// Tried is true if the server already got an attempt of this request.
	Tried bool
}

// Costs of sending a request to a server, without a unit. The probability of a
// server is proportional to exp(-cost/softmaxTemperature).
const (
	// softmaxTemperature is the additional cost that lowers the probability of a
	// server to 1/e.
	softmaxTemperature = 1.0
	// fullLoadCost is the cost of a server whose slots are all in use. It grows
	// linearly from 0 for an idle server.
	fullLoadCost = 2.0
	// queueCost is the cost of queued requests: it is added once for as many
	// requests beyond the slots as the server has slots.
	queueCost = 8.0
	// otherZoneCost keeps requests in their zone while it has free slots.
	otherZoneCost = 3.5
	// failureCost is the cost of a server with a failure rate of 1.
	failureCost = 40.0
	// retryableFailureCost replaces failureCost for a request that can be retried.
	retryableFailureCost = 20.0
	// latencyCost is the cost of a server with a relative latency of 2.
	latencyCost = 2.0
	// refusalCost is the cost of each recent refusal.
	refusalCost = 1.0
	// idleBonusPerSecond lowers the cost of a server for each second without a
	// request beyond minIdleTime, by maxIdleBonus at most. Without it, a healthy
	// server stays unused because of a past failure. maxIdleBonus is below
	// otherZoneCost, so that VMs of the server's own zone try it first.
	idleBonusPerSecond = 2.5
	maxIdleBonus       = 3.0
	minIdleTime        = 600 * time.Millisecond
	// triedCost keeps a retry away from servers that already got an attempt of the
	// request.
	triedCost = 40.0
)

// Pick selects a candidate at random, weighted by its cost, and returns its index.
// It returns -1 if there are no candidates. retryable is true if the request can be
// retried after a failure. random is uniformly distributed in [0, 1).
func Pick(candidates []Candidate, retryable bool, random float64) int {
	if len(candidates) == 0 {
		return -1
	}
	costs := make([]float64, len(candidates))
	for i := range candidates {
		costs[i] = candidates[i].cost(retryable)
	}
	addGroupCosts(candidates, costs)
	minCost := slices.Min(costs)
	reinstate(candidates, costs, minCost)
	total := 0.0
	for i, c := range costs {
		costs[i] = math.Exp((minCost - c) / softmaxTemperature)
		total += costs[i]
	}
	position := random * total
	for i, weight := range costs {
		if position -= weight; position < 0 {
			return i
		}
	}
	return len(costs) - 1
}

// cost returns the cost of sending the request to the server, without that of its group.
func (c *Candidate) cost(retryable bool) float64 {
	utilization := c.Work / float64(max(c.Slots, 1))
	cost := fullLoadCost*min(utilization, 1) + queueCost*max(utilization-1, 0)
	if c.Urgency > 0 {
		cost *= c.Urgency
	}
	if retryable {
		cost += retryableFailureCost * c.FailureRate
	} else {
		cost += failureCost * c.FailureRate
	}
	if c.RelativeLatency > 1 {
		cost += latencyCost * (c.RelativeLatency - 1)
	}
	cost += refusalCost * c.RecentRefusals
	if c.IdleTime > minIdleTime {
		cost -= min(idleBonusPerSecond*(c.IdleTime-minIdleTime).Seconds(), maxIdleBonus)
	}
	if c.Tried {
		cost += triedCost
	}
	return cost
}
