package room

import "time"

const (
	// minReturnDelay is the shortest time after which a rejected caller returns.
	minReturnDelay = 40 * time.Millisecond
	// returnTimeShare is the part of the time left to a caller after which it returns at the
	// latest. Callers do not wait longer, so later times would all come at the same moment.
	returnTimeShare = 0.33
	// freeSlotReturns is the part of the service time after which a caller returns to a
	// service that has free slots. A server refused it for other reasons.
	freeSlotReturns = 0.25
)

// Return describes a rejected request whose caller may return.
type Return struct {
	// Position is the number of more urgent ranks at the service, of Ranks in all.
	Position, Ranks int
	ServiceTime     time.Duration
	TimeLeft        time.Duration
	Shortage        float64
}

// After returns when the caller should return. Callers are spread over the time in which
// there will be room for them, the more urgent first, so that they do not all come at the
// same moment. random is uniformly distributed in [0, 1).
//
// It answers the load of callers that return together: a service that turns away half of
// its requests would get them all again as one burst.
func (r Return) After(room Room, random float64) time.Duration {
	period := freeSlotReturns * float64(r.ServiceTime)
	if room.Load() >= freeLoad {
		period = float64(r.ServiceTime) * (1 + room.Load()*r.Shortage/(1-r.Shortage))
	}
	latest := max(returnTimeShare*float64(r.TimeLeft), float64(minReturnDelay))
	period = min(max(period, float64(minReturnDelay)), latest-float64(minReturnDelay))
	// Each rank has a part of the period of its own.
	at := (float64(r.Position) + random) / float64(max(r.Ranks, 1)) * max(period, 0)
	return minReturnDelay + time.Duration(at)
}
