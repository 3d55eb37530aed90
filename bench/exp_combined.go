package main

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"almondstile/bench/check"
	"almondstile/bench/deployment"
	"almondstile/contract"
	"almondstile/standin/backendsim"
	"almondstile/standin/platformsim"
)

// combinedExperiments lists the experiment that combines faults of all kinds.
var combinedExperiments = []Experiment{
	{
		Name: "everything", About: "faults of all kinds at random times, some at once",
		Length: 90 * time.Second, ServerLinks: true, Steps: everythingSteps,
		Findings: func(r *Run, h *check.History) []check.Finding {
			share, samples := r.answeredShare(h, warmupTime, r.Experiment.Length, nil)
			return []check.Finding{h.P4(), h.P13(), measure("answered", "share", share, samples)}
		},
	},
}

// sortByTime sorts steps by their time and returns them.
func sortByTime(steps []Step) []Step {
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

const (
	faultsFrom, faultsUntil = 12 * time.Second, 70 * time.Second
	faultRounds             = 14
)

// everythingSteps chooses faults and their times at random from the seed. Faults
// begin between faultsFrom and faultsUntil, and the last one ends at most the
// length of the longest fault later.
func everythingSteps(r *Run) []Step {
	random := r.random()
	key := deployment.KeyID(r.Deployment.Teams[0].ID, 0)
	steps := []Step{confirmChanges(40*time.Second, "withdraw "+string(key), contract.WithdrawKey{ID: key})}
	faultSteps := []func(*Run, *rand.Rand, time.Duration) []Step{
		crashAndReturn, pauseAndResume, grayServer, crashServer, storeUnavailable, serverLinkReset,
	}
	for n := range faultRounds {
		at := faultsFrom + time.Duration(random.Int64N(int64(faultsUntil-faultsFrom)))
		steps = append(steps, faultSteps[n%len(faultSteps)](r, random, at)...)
	}
	return sortByTime(steps)
}

// crashAndReturn crashes a random VM and starts it again 8 s later.
func crashAndReturn(r *Run, random *rand.Rand, at time.Duration) []Step {
	id := r.randomVM(random, r.Fleet.IDs()[0]) // not the first VM: operators use it
	return []Step{
		step(at, "crash "+string(id), func(r *Run) { r.Fleet.Crash(id) }),
		{at + 8*time.Second, "start " + string(id), func(_ context.Context, r *Run) error {
			if !r.Fleet.Member(id).Process.Ended() {
				return nil // an earlier step has started it again already
			}
			return r.Fleet.Launch(id)
		}},
	}
}

// pauseAndResume pauses a random VM for 9 s.
func pauseAndResume(r *Run, random *rand.Rand, at time.Duration) []Step {
	id := r.randomVM(random, r.Fleet.IDs()[0])
	return []Step{
		{at, "pause " + string(id), func(_ context.Context, r *Run) error { return r.Fleet.Pause(id) }},
		{at + 9*time.Second, "resume " + string(id), func(_ context.Context, r *Run) error { return r.Fleet.Resume(id) }},
	}
}

// randomServer returns a random server of a random service.
func (r *Run) randomServer(random *rand.Rand) contract.ServerID {
	servers := r.service(random.IntN(len(r.Deployment.Services))).Servers
	return servers[random.IntN(len(servers))].ID
}

// grayServer lets a random server fail partly, in a random mode, for 10 s.
func grayServer(r *Run, random *rand.Rand, at time.Duration) []Step {
	modes := []backendsim.Mode{
		{SlowFactor: 10}, {ErrorShare: 0.3}, {TruncatedShare: 0.1}, {ResetShare: 0.2},
		{ResponseMismatchShare: 0.2}, {HangShare: 0.2}, {LateShare: 0.2, LateMillis: 4000},
	}
	id, mode := r.randomServer(random), modes[random.IntN(len(modes))]
	return []Step{
		setMode(at, fmt.Sprintf("gray %+v", mode), id, mode),
		setMode(at+10*time.Second, "heal", id, backendsim.Mode{}),
	}
}

// crashServer crashes a random server, which restarts after 1 s.
func crashServer(r *Run, random *rand.Rand, at time.Duration) []Step {
	id := r.randomServer(random)
	return []Step{{at, "crash " + string(id), func(_ context.Context, r *Run) error {
		return r.Fleet.Servers.Crash(id, time.Second)
	}}}
}

// storeUnavailable makes the store unavailable or lets it lose its responses, for
// 7 s.
func storeUnavailable(_ *Run, random *rand.Rand, at time.Duration) []Step {
	fault := platformsim.Faults{Unavailable: true}
	if random.IntN(2) == 0 {
		fault = platformsim.Faults{LoseResponses: true}
	}
	return []Step{
		setPlatformFaults(at, fmt.Sprintf("store %+v", fault), fault),
		setPlatformFaults(at+7*time.Second, "the store is back", platformsim.Faults{}),
	}
}

// serverLinkReset resets all connections to a random server.
func serverLinkReset(r *Run, random *rand.Rand, at time.Duration) []Step {
	id := r.randomServer(random)
	return []Step{{at, "reset the link to " + string(id), func(_ context.Context, r *Run) error { return r.Fleet.ResetServerLink(id) }}}
}
