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

// The experiment in which faults of all kinds meet.
var combinedExperiments = []Experiment{
	{
		Name: "everything", About: "faults of all kinds at random times, some at once",
		Length: 90 * time.Second, ServerLinks: true, Steps: everythingSteps,
		Findings: func(r *Run, h *check.History) []check.Finding {
			share, samples := r.answeredShare(h, settleTime, r.Experiment.Length, nil)
			return []check.Finding{h.P4(), h.P13(), figure("answered", "share", share, samples)}
		},
	},
}

func sorted(steps []Step) []Step {
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

const (
	faultsFrom, faultsUntil = 12 * time.Second, 70 * time.Second
	faultRounds             = 14
)

// everythingSteps draws faults and their times from the seed. All faults have
// ended by faultsUntil plus the length of the longest.
func everythingSteps(r *Run) []Step {
	random := r.random()
	key := deployment.KeyID(r.Deployment.Teams[0].ID, 0)
	steps := []Step{change(40*time.Second, "withdraw "+string(key), contract.WithdrawKey{ID: key})}
	makers := []func(*Run, *rand.Rand, time.Duration) []Step{
		crashAndReturn, pauseAndResume, grayServer, crashServer, storeAway, serverLinkReset,
	}
	for n := range faultRounds {
		at := faultsFrom + time.Duration(random.Int64N(int64(faultsUntil-faultsFrom)))
		steps = append(steps, makers[n%len(makers)](r, random, at)...)
	}
	return sorted(steps)
}

func crashAndReturn(r *Run, random *rand.Rand, at time.Duration) []Step {
	id := r.anyVM(random, r.Fleet.IDs()[0]) // the first one serves the operators
	return []Step{
		step(at, "crash "+string(id), func(r *Run) { r.Fleet.Crash(id) }),
		{at + 8*time.Second, "start " + string(id), func(_ context.Context, r *Run) error {
			if !r.Fleet.Member(id).Process.Ended() {
				return nil // it crashed twice and was started already
			}
			return r.Fleet.Launch(id)
		}},
	}
}

func pauseAndResume(r *Run, random *rand.Rand, at time.Duration) []Step {
	id := r.anyVM(random, r.Fleet.IDs()[0])
	return []Step{
		{at, "pause " + string(id), func(_ context.Context, r *Run) error { return r.Fleet.Pause(id) }},
		{at + 9*time.Second, "resume " + string(id), func(_ context.Context, r *Run) error { return r.Fleet.Resume(id) }},
	}
}

func (r *Run) anyServer(random *rand.Rand) contract.ServerID {
	servers := r.service(random.IntN(len(r.Deployment.Services))).Servers
	return servers[random.IntN(len(servers))].ID
}

func grayServer(r *Run, random *rand.Rand, at time.Duration) []Step {
	modes := []backendsim.Mode{
		{SlowFactor: 10}, {ErrorShare: 0.3}, {TruncatedShare: 0.1}, {ResetShare: 0.2},
		{CrossedShare: 0.2}, {HangShare: 0.2}, {LateShare: 0.2, LateMillis: 4000},
	}
	id, mode := r.anyServer(random), modes[random.IntN(len(modes))]
	return []Step{
		setMode(at, fmt.Sprintf("gray %+v", mode), id, mode),
		setMode(at+10*time.Second, "heal", id, backendsim.Mode{}),
	}
}

func crashServer(r *Run, random *rand.Rand, at time.Duration) []Step {
	id := r.anyServer(random)
	return []Step{{at, "crash " + string(id), func(_ context.Context, r *Run) error {
		return r.Fleet.Servers.Crash(id, time.Second)
	}}}
}

func storeAway(_ *Run, random *rand.Rand, at time.Duration) []Step {
	fault := platformsim.Faults{Unavailable: true}
	if random.IntN(2) == 0 {
		fault = platformsim.Faults{LoseResponses: true}
	}
	return []Step{
		setPlatform(at, fmt.Sprintf("store %+v", fault), fault),
		setPlatform(at+7*time.Second, "the store is back", platformsim.Faults{}),
	}
}

func serverLinkReset(r *Run, random *rand.Rand, at time.Duration) []Step {
	id := r.anyServer(random)
	return []Step{{at, "reset the link to " + string(id), func(_ context.Context, r *Run) error { return r.Fleet.ResetServerLink(id) }}}
}
