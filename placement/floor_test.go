package placement

import (
	"testing"
	"time"
)

// suspectedService returns the candidates of a degraded service. The first unused ones
// had a failure and got no request since then, and all others are in use. The fault
// probability of the unused servers goes from 0.3 to 0.6.
func suspectedService(servers, unused int) []Candidate {
	candidates := make([]Candidate, servers)
	for i := range candidates {
		c := &candidates[i]
		*c = Candidate{OwnZone: true, InSubset: true, Slots: 4, Work: 1, RelativeLatency: 1, RecentSuccesses: 5, FailureRate: 0.03, FaultProbability: 0.02, IdleTime: 200 * time.Millisecond}
		if i < unused {
			c.FaultProbability = 0.3 + 0.3*float64(i)/float64(unused)
			c.FailureRate, c.Work, c.IdleTime = 0.6*c.FaultProbability, 0, time.Second
			c.RecentSuccesses, c.RecentFailures = 0, 2
		}
	}
	return candidates
}

// countPicks returns how often each candidate is picked in a number of requests.
func countPicks(candidates []Candidate, requests int) []int {
	picks := make([]int, len(candidates))
	for i := range requests {
		picks[Pick(candidates, false, (float64(i)+0.5)/float64(requests))]++
	}
	return picks
}

// Guards against sound servers that stay without requests for seconds after a single
// failure while many servers of the service are suspect. Beyond a fifth of the servers,
// the least suspect ones get at least half of an even share of the requests.
func TestLeastSuspectServersAreReinstated(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ servers, unused int }{{5, 3}, {12, 5}, {36, 15}, {101, 42}, {480, 200}} {
		const requests = 100000
		picks := countPicks(suspectedService(size.servers, size.unused), requests)
		reinstated := size.unused - max(1, size.servers/5)
		for i := range reinstated {
			if even := requests / size.servers; picks[i] < even/2 {
				t.Errorf("%+v: server %d got %d of %d requests, an even share is %d", size, i, picks[i], requests, even)
			}
		}
	}
}

// Guards against requests to servers that fail most of them: neither a few suspect
// servers, nor those that are all but certainly faulty, nor those of a service that serves
// nearly all requests are reinstated.
func TestFaultyServersAreNotReinstated(t *testing.T) {
	t.Parallel()
	few := suspectedService(30, 6)
	calm := suspectedService(30, 15)
	for i := range calm {
		calm[i].RecentSuccesses = 50 // the service as a whole serves nearly all requests
	}
	faulty := suspectedService(30, 15)
	for i := range 15 {
		faulty[i].FaultProbability, faulty[i].FailureRate = 0.9, 0.54
	}
	for name, candidates := range map[string][]Candidate{"few": few, "faulty": faulty, "calm": calm} {
		const requests = 100000
		suspect := 0
		for i, n := range countPicks(candidates, requests) {
			if candidates[i].FaultProbability > 0.1 {
				suspect += n
			}
		}
		if suspect > requests/20 {
			t.Errorf("%s: suspect servers got %d of %d requests", name, suspect, requests)
		}
	}
}
