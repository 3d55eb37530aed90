package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxUnusedShare is the largest share of a service's servers that may stay without
	// requests because of suspected faults while the service is degraded.
	maxUnusedShare = 0.2
	// degradedShare is the share of requests that servers fail or refuse from which on a
	// service is degraded.
	degradedShare = 0.12
	// unusedTime is the time without a request after which a server counts as unused.
	unusedTime = 800 * time.Millisecond
	// maxReinstatedFaultProbability is the fault probability (0 to 1) above which a
	// server is not reinstated.
	maxReinstatedFaultProbability = 0.6
	// reinstatedOtherZoneCost replaces otherZoneCost for a reinstated server: the VMs of
	// its zone may be lost.
	reinstatedOtherZoneCost = 1.5
)

// reinstate lowers the costs of servers that stay unused because of past failures, if
// there are too many of them and the service is degraded, so that the next requests try
// the least suspect ones again. It answers the load of a service of which many servers
// have had a failure lately, such as a link fault to some of the VMs: the others would be
// overloaded while servers that have recovered, or failed a single request, stay unused.
// minCost is the lowest of the costs.
func reinstate(candidates []Candidate, costs []float64, minCost float64) {
	if !degraded(candidates) {
		return
	}
	var unused []int
	for i := range candidates {
		if candidates[i].IdleTime > unusedTime && !candidates[i].Tried {
			unused = append(unused, i)
		}
	}
	excess := len(unused) - max(1, int(maxUnusedShare*float64(len(candidates))))
	if excess <= 0 {
		return
	}
	slices.SortFunc(unused, func(a, b int) int {
		return cmp.Compare(candidates[a].FaultProbability, candidates[b].FaultProbability)
	})
	for _, i := range unused[:excess] {
		if candidates[i].FaultProbability > maxReinstatedFaultProbability {
			return // the others are no less suspect
		}
		reinstated := minCost
		if !candidates[i].OwnZone {
			reinstated += reinstatedOtherZoneCost
		}
		costs[i] = min(costs[i], reinstated)
	}
}

// degraded reports whether the servers together fail or refuse a degradedShare of the
// recent requests.
func degraded(candidates []Candidate) bool {
	served, unserved := 0.0, 0.0
	for i := range candidates {
		served += candidates[i].RecentSuccesses
		unserved += candidates[i].RecentFailures + candidates[i].RecentRefusals
	}
	return unserved > degradedShare*(served+unserved)
}

// CountUnused returns the number of servers without a request for unusedTime.
func CountUnused(candidates []Candidate) (n int) {
	for i := range candidates {
		if candidates[i].IdleTime > unusedTime {
			n++
		}
	}
	return n
}
