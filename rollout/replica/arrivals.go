package replica

import (
	"time"

	"almondstile/rollout"
)

// arrivals remembers since when the versions of a service's servers are known. Orders and
// registrations reach a VM on different ways, so a server of a new version may be known
// before the order that it belongs to.
type arrivals struct {
	// heldUntil holds the time until which a version gets no ordinary requests, the zero
	// time for versions that were there first.
	heldUntil map[rollout.Version]time.Time
}

// update takes over the number of servers of each version. A new version is held for the
// given time. When the first servers become known, the version of most of them is not
// held.
func (a *arrivals) update(now time.Time, servers map[rollout.Version]int, hold time.Duration) {
	if len(servers) == 0 {
		return // a service whose servers are all gone keeps its version
	}
	var first rollout.Version
	if len(a.heldUntil) == 0 {
		first = mostServers(servers)
	}
	next := make(map[rollout.Version]time.Time, len(servers))
	for version := range servers {
		until, known := a.heldUntil[version]
		if !known && !(len(a.heldUntil) == 0 && version == first) {
			until = now.Add(hold)
		}
		next[version] = until
	}
	a.heldUntil = next
}

// ready returns the versions that are known and not held.
func (a *arrivals) ready(now time.Time) map[rollout.Version]bool {
	ready := make(map[rollout.Version]bool, len(a.heldUntil))
	for version, until := range a.heldUntil {
		if !now.Before(until) {
			ready[version] = true
		}
	}
	return ready
}

// mostServers returns the version with the most servers, the first by name of several.
func mostServers(servers map[rollout.Version]int) (most rollout.Version) {
	for version, n := range servers {
		if n > servers[most] || n == servers[most] && version < most {
			most = version
		}
	}
	return most
}
