package placement

import (
	"fmt"
	"testing"

	"almondstile/contract"
	"almondstile/vm"
)

// Guards against servers that no VM prefers, or only VMs that may be lost together, and
// against subsets that change as a whole when a server comes or goes.
func TestSubsetsCoverAllServers(t *testing.T) {
	t.Parallel()
	for _, size := range []struct {
		vms, servers, zones int // of one zone, and the number of zones
		requestsPerSecond   float64
	}{{4, 4, 3, 40}, {12, 12, 3, 40}, {42, 34, 3, 410}, {58, 25, 5, 490}, {60, 104, 7, 430}} {
		subset := SubsetSize(size.requestsPerSecond, size.servers*size.zones, size.vms*size.zones)
		var servers []contract.ServerID
		for i := range size.servers {
			servers = append(servers, contract.ServerID(fmt.Sprintf("server-%d", i)))
		}
		users := make([]int, size.servers)
		for v := range size.vms {
			self := vm.ID(fmt.Sprintf("vm-%d", v))
			preferred := Subset(self, servers, subset)
			without := Subset(self, servers[:size.servers-1], subset)
			count, changed := 0, 0
			for i, p := range preferred {
				if p {
					count++
					users[i]++
				}
				if i < len(without) && without[i] != p {
					changed++
				}
			}
			if count != min(subset, size.servers) || changed > 1 {
				t.Errorf("%+v: the subset of %s has %d servers, and %d change with the last server", size, self, count, changed)
			}
		}
		for i, n := range users {
			if n == 0 {
				t.Errorf("%+v: no VM prefers server %d", size, i)
			}
		}
	}
}

// Guards against requests that leave the subset, or the zone, because the other servers
// are many, and against a busy subset while others are free.
func TestSubsetGetsMostRequestsUntilItIsBusy(t *testing.T) {
	t.Parallel()
	const requests = 100000
	service := func(inFlight float64) []Candidate {
		candidates := make([]Candidate, 480)
		for i := range candidates {
			candidates[i] = Candidate{OwnZone: i < 96, InSubset: i < 7, Slots: 3, Work: 1, RelativeLatency: 1}
			if candidates[i].InSubset {
				candidates[i].Work = inFlight
			}
		}
		return candidates
	}
	share := func(candidates []Candidate, in func(c Candidate) bool) float64 {
		sum := 0
		for i, n := range countPicks(candidates, requests) {
			if in(candidates[i]) {
				sum += n
			}
		}
		return float64(sum) / requests
	}
	calm := service(1)
	if s := share(calm, func(c Candidate) bool { return c.InSubset }); s < 0.7 {
		t.Errorf("the subset gets a share of %.2f", s)
	}
	if s := share(calm, func(c Candidate) bool { return !c.OwnZone }); s > 0.05 {
		t.Errorf("other zones get a share of %.2f", s)
	}
	if s := share(service(6), func(c Candidate) bool { return c.InSubset }); s > 0.05 {
		t.Errorf("a subset with twice as many requests as slots gets a share of %.2f", s)
	}
}
