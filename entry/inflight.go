package entry

import (
	"sync/atomic"

	"almondstile/contract"
	"almondstile/shard"
)

// Limits bound the requests that one VM has under way, so that a team whose
// requests are slow cannot use up the VM's memory and sockets. 0 means no limit.
type Limits struct {
	MaxInFlight        int
	MaxInFlightPerTeam int
}

// inFlight counts the requests under way. Requests on open routes share the
// limit of one team.
type inFlight struct {
	limits Limits
	total  atomic.Int64
	teams  shard.Map[contract.TeamID, int]
}

// enter counts a request and reports whether it is within the limits. Only then
// must it be followed by leave.
func (f *inFlight) enter(team contract.TeamID) bool {
	if n := f.total.Add(1); f.limits.MaxInFlight > 0 && n > int64(f.limits.MaxInFlight) {
		f.total.Add(-1)
		return false
	}
	within := false
	f.teams.Update(team, func(n int, _ bool) (int, bool) {
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

func (f *inFlight) leave(team contract.TeamID) {
	f.total.Add(-1)
	f.teams.Update(team, func(n int, _ bool) (int, bool) { return n - 1, n > 1 })
}
