package placement

import (
	"encoding/binary"
	"math"
	"slices"

	"almondstile/contract"
	"almondstile/vm"

	"github.com/cespare/xxhash/v2"
)

// A large fleet has so many pairs of VMs and servers that each pair exchanges a request
// less often than a server closes an idle connection. Each VM therefore prefers a subset
// of the servers of its zone. It uses the others when the subset is busy or suspect.
const (
	// minSubsetSize is the least number of servers of a subset. With fewer, the loss of
	// some of them would leave a VM without preferred servers.
	minSubsetSize = 5
	// subsetReuseSeconds is the time in seconds within which a VM sends one request to
	// each server of its subset on average. It is shorter than servers keep idle
	// connections.
	subsetReuseSeconds = 4.0
	// vmsPerServer is the least number of VMs, on average, to whose subsets a server
	// belongs.
	vmsPerServer = 8
	// outsideSubsetCost keeps requests in the subset.
	outsideSubsetCost = 1.5
)

// SubsetSize returns the number of servers that a VM prefers if the given number of VMs
// together sends requestsPerSecond to a service of so many servers.
func SubsetSize(requestsPerSecond float64, servers, vms int) int {
	perVM := requestsPerSecond / float64(max(vms, 1))
	reused := int(math.Ceil(perVM * subsetReuseSeconds))
	covering := vmsPerServer * servers / max(vms, 1)
	return max(minSubsetSize, reused, covering)
}

// Subset marks the servers that a VM prefers among those of its zone, size of them. It
// ranks them by rendezvous hashing, so all VMs together use all servers alike, and a
// server that comes or goes changes one place of a subset.
func Subset(self vm.ID, servers []contract.ServerID, size int) []bool {
	preferred := make([]bool, len(servers))
	if len(servers) <= size {
		for i := range preferred {
			preferred[i] = true
		}
		return preferred
	}
	scores := make([]uint64, len(servers))
	for i, id := range servers {
		scores[i] = subsetScore(self, id)
	}
	ranked := slices.Clone(scores)
	slices.Sort(ranked)
	lowest := ranked[len(ranked)-size]
	for i := range preferred {
		preferred[i] = scores[i] >= lowest
	}
	return preferred
}

// subsetScore returns the rendezvous hash of a VM and a server.
func subsetScore(self vm.ID, server contract.ServerID) uint64 {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], xxhash.Sum64String(string(self)))
	h := xxhash.New()
	_, _ = h.Write(b[:])
	_, _ = h.WriteString(string(server))
	return h.Sum64()
}

// addGroupCosts adds the costs of servers outside the subset and in other zones. However
// many servers these two groups have, each is weighed like a group of the subset's size.
func addGroupCosts(candidates []Candidate, costs []float64) {
	subset, outside, otherZones := 0, 0, 0
	for i := range candidates {
		switch {
		case !candidates[i].OwnZone:
			otherZones++
		case candidates[i].InSubset:
			subset++
		default:
			outside++
		}
	}
	outsideCost := outsideSubsetCost + groupSizeCost(outside, subset)
	otherZoneCost := otherZoneCost + groupSizeCost(otherZones, subset)
	for i := range candidates {
		switch {
		case !candidates[i].OwnZone:
			costs[i] += otherZoneCost
		case !candidates[i].InSubset:
			costs[i] += outsideCost
		}
	}
}

// groupSizeCost returns the cost by which a group of n servers does not get more
// requests than one of the reference size would.
func groupSizeCost(n, reference int) float64 {
	if reference == 0 || n <= reference {
		return 0
	}
	return softmaxTemperature * math.Log(float64(n)/float64(reference))
}
