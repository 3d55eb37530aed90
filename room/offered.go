package room

import (
	"math"
	"time"

	"almondstile/tally"
)

// offeredDecayTime is the time constant of the exponential decay of the requests for a
// service. It bounds how long a burst goes unnoticed.
const offeredDecayTime = time.Second

// offered holds the recent requests for one service, over all VMs: of its most urgent rank,
// of those between, and of its least urgent one. They decay with offeredDecayTime. Those
// that are turned away count, and those of callers that return count again.
type offered struct {
	updatedAt time.Time
	requests  [offeredClasses]float64
}

// The classes of ranks whose requests are counted apart.
const (
	urgentClass = iota
	middleClass
	leastClass
	offeredClasses
)

// classOf returns the class of a rank by its position among the ranks of its service.
func classOf(position, ranks int) int {
	switch position {
	case 0:
		return urgentClass
	case ranks - 1:
		return leastClass
	default:
		return middleClass
	}
}

// OfferedField returns the counter of the class of the ticket's rank.
func (t *Ticket) OfferedField() tally.Field {
	return [offeredClasses]tally.Field{tally.OfferedUrgent, tally.OfferedMiddle, tally.OfferedLeast}[classOf(t.position(), len(t.ranks))]
}

// add counts n requests of a class.
func (o *offered) add(now time.Time, class int, n float64) {
	o.decay(now)
	o.requests[class] += n
}

// perSecond returns the requests for the service a second.
func (o *offered) perSecond(now time.Time) float64 {
	o.decay(now)
	sum := 0.0
	for _, n := range o.requests {
		sum += n
	}
	return sum / offeredDecayTime.Seconds()
}

// minOtherShare is the share of requests of other ranks than the most frequent one from
// which on ranks compete for the room of a service. A few requests of another rank, such as
// those of operators who look at a new route, change nothing for the others.
const minOtherShare = 0.02

// minKnownRequests is the decayed number of requests below which their ranks are not known.
const minKnownRequests = 50

// competing reports whether requests of different ranks compete for the service's room. They
// may, as long as their ranks are not known.
func (o *offered) competing() bool {
	total, most := 0.0, 0.0
	for _, n := range o.requests {
		total += n
		most = max(most, n)
	}
	return total < minKnownRequests || total-most >= minOtherShare*total
}

// mix returns the shares of the ranks in the requests, the most urgent first. The ranks of
// the middle class have equal shares of it.
func (o *offered) mix(ranks int) []float64 {
	shares, total := make([]float64, ranks), 0.0
	for i := range shares {
		shares[i] = o.requests[classOf(i, ranks)]
		if i > 0 && i < ranks-1 {
			shares[i] /= float64(ranks - 2)
		}
		total += shares[i]
	}
	for i := range shares {
		shares[i] /= max(total, 1e-9)
	}
	return shares
}

// decay lets the counts decay until now.
func (o *offered) decay(now time.Time) {
	elapsed := now.Sub(o.updatedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / offeredDecayTime.Seconds())
	for i := range o.requests {
		o.requests[i] *= factor
	}
	o.updatedAt = now
}
