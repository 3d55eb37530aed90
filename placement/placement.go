package placement

import (
	"math"
	"time"
)

// Candidate is a server that may get the request.
type Candidate struct {
	// OwnZone says that the server is in the zone of this VM.
	OwnZone bool
	Slots   int
	// Running is the estimated number of requests at the server.
	InFlight float64
	// Failing is the estimated share of requests that fail, from 0 to 1.
	FailureRate float64
	// Slowness is the server's latency divided by that of its service, 1 if
	// not known.
	RelativeLatency float64
	// Refusals is the number of recent refusals because the server was full.
	RecentRefusals float64
	// Idle is the time since any VM sent a request to the server.
	IdleTime time.Duration
	// Tried says that an attempt of this request failed at the server.
	Tried bool
}

// Costs of sending a request to a server, in units of temperature.
const (
	// temperature is the cost at which the chance of a server falls to 1/e.
	temperature = 1.0
	// loadCost is the cost of a server whose slots are all taken.
	loadCost = 2.0
	// queueCost is the cost of each further request in units of the slots.
	queueCost = 8.0
	// distanceCost keeps requests in their zone while it has free slots.
	distanceCost = 3.5
	// failingCost is the cost of a server all of whose requests fail.
	failingCost = 40.0
	// repeatableCost is the same for a request that may be sent once more.
	repeatableCost = 20.0
	// slownessCost is the cost of a server that takes twice as long.
	slownessCost = 2.0
	// refusalCost is the cost of each recent refusal.
	refusalCost = 1.0
	// idleGain makes servers attractive that got nothing for a second, up to
	// mostIdleGain, so that no sound server stays unused because of a failure
	// that is past. It is below distanceCost: a server's own zone tries it.
	idleGain     = 2.5
	mostIdleGain = 3.0
	idleFrom     = 600 * time.Millisecond
	// triedCost keeps a repeat away from the servers that failed it.
	triedCost = 40.0
)

// Pick returns the index of the selected candidate, or -1 if there is none.
// point is uniform in [0, 1). repeatable says that a failure can be followed by
// another attempt.
func Pick(candidates []Candidate, repeatable bool, point float64) int {
	if len(candidates) == 0 {
		return -1
	}
	costs := make([]float64, len(candidates))
	least := math.Inf(1)
	for i := range candidates {
		costs[i] = candidates[i].cost(repeatable)
		least = min(least, costs[i])
	}
	total := 0.0
	for i, c := range costs {
		costs[i] = math.Exp((least - c) / temperature)
		total += costs[i]
	}
	position := point * total
	for i, w := range costs {
		if position -= w; position < 0 {
			return i
		}
	}
	return len(costs) - 1
}

func (c *Candidate) cost(repeatable bool) float64 {
	load := c.InFlight / float64(max(c.Slots, 1))
	cost := loadCost*min(load, 1) + queueCost*max(load-1, 0)
	if repeatable {
		cost += repeatableCost * c.FailureRate
	} else {
		cost += failingCost * c.FailureRate
	}
	if !c.OwnZone {
		cost += distanceCost
	}
	if c.RelativeLatency > 1 {
		cost += slownessCost * (c.RelativeLatency - 1)
	}
	cost += refusalCost * c.RecentRefusals
	if c.IdleTime > idleFrom {
		cost -= min(idleGain*(c.IdleTime-idleFrom).Seconds(), mostIdleGain)
	}
	if c.Tried {
		cost += triedCost
	}
	return cost
}
