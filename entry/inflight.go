package entry

import (
	"sync/atomic"

	"almondstile/contract"
	"almondstile/shard"
)

// Limits bounds the number of requests that one VM serves at a time, so that a
// team whose requests are slow cannot use all of the VM's memory and sockets. 0
// means no limit.
type Limits struct {
	MaxInFlight        int
	MaxInFlightPerTeam int
}

// inFlightLimiter counts the requests in flight and enforces Limits. Requests on
// open routes have no team and share one team limit.
type inFlightLimiter struct {
	limits  Limits
	total   atomic.Int64
	perTeam shard.Map[contract.TeamID, int]
}

// acquire reports whether another request of the team is within the limits, and
// counts it if so. Each successful acquire must be followed by one release.
func (f *inFlightLimiter) acquire(team contract.TeamID) bool {
	if n := f.total.Add(1); f.limits.MaxInFlight > 0 && n > int64(f.limits.MaxInFlight) {
		f.total.Add(-1)
		return false
	}
	within := false
	f.perTeam.Update(team, func(n int, _ bool) (int, bool) {
		if within = f.limits.MaxInFlightPerTeam <= 0 || n < f.limits.MaxInFlightPerTeam; within {
			n++
		}
		return n, n > 0
	})
	if !within {
		f.total.Add(-1)
	}
	return within
}

// release ends the count of a request that acquire admitted.
func (f *inFlightLimiter) release(team contract.TeamID) {
	f.total.Add(-1)
	f.perTeam.Update(team, func(n int, _ bool) (int, bool) { return n - 1, n > 1 })
}
