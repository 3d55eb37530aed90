package main

import (
	"context"
	"time"

	"almondstile/bench/check"
	"almondstile/standin/netfault"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
)

// vmExperiments lists the experiments in which entry VMs or the links between them
// fail.
var vmExperiments = []Experiment{
	{
		Name: "vm-crash", About: "two entry VMs crash, the second one the home of the largest team",
		Length: 45 * time.Second, Steps: vmCrashSteps,
		Findings: func(r *Run, h *check.History) []check.Finding {
			return []check.Finding{
				r.wrongfulRejections(h, "before", warmupTime, firstCrash-warmupTime, wrongfulBound),
				r.wrongfulRejections(h, "10s-after-crash", firstCrash, crashWindow, wrongfulAfterCrashBound),
				r.wrongfulRejections(h, "10s-after-crash-of-home", secondCrash, crashWindow, wrongfulAfterCrashBound),
				r.wrongfulRejections(h, "afterwards", secondCrash+crashWindow, 8*time.Second, wrongfulBound),
			}
		},
	},
	{
		Name: "one-way-partition", About: "one VM cannot be reached by the others, then another cannot answer them",
		Length: 50 * time.Second, VMLinks: true, Steps: partitionSteps,
		Findings: func(r *Run, h *check.History) []check.Finding {
			unreachable, samples1 := r.answeredShare(h, 12*time.Second, 22*time.Second, nil)
			mute, samples2 := r.answeredShare(h, 30*time.Second, 40*time.Second, nil)
			return []check.Finding{
				r.wrongfulRejections(h, "before", warmupTime, 4*time.Second, wrongfulBound),
				measure("answered-while-unreachable", "share", unreachable, samples1),
				measure("answered-while-mute", "share", mute, samples2),
			}
		},
	},
	{
		Name: "paused-vm", About: "a VM that holds roles stops for longer than its lease and goes on",
		Length: 45 * time.Second, Steps: pausedSteps,
		Findings: func(r *Run, h *check.History) []check.Finding {
			share, samples := r.answeredShare(h, 12*time.Second, 24*time.Second, nil)
			return []check.Finding{
				measure("answered-while-paused", "share", share, samples),
				r.wrongfulRejections(h, "afterwards", 35*time.Second, 10*time.Second, wrongfulBound),
			}
		},
	},
	{
		Name: "rolling-restart", About: "VMs are shut down as planned and started again, one after the other",
		Length: 60 * time.Second, Steps: rollingSteps,
		Findings: func(r *Run, h *check.History) []check.Finding {
			return []check.Finding{
				h.P12(),
				r.wrongfulRejections(h, "during-restarts", warmupTime, 45*time.Second, wrongfulBound),
			}
		},
	},
}

const (
	firstCrash  = 12 * time.Second
	secondCrash = 27 * time.Second
)

// vmCrashSteps crashes a random VM and later the home of the largest team.
func vmCrashSteps(r *Run) []Step {
	home := r.homeOf(r.Deployment.Teams[0])
	first := r.randomVM(r.random(), home)
	return []Step{
		step(firstCrash, "crash "+string(first), func(r *Run) { r.Fleet.Crash(first) }),
		step(secondCrash, "crash "+string(home)+", home of the largest team", func(r *Run) { r.Fleet.Crash(home) }),
	}
}

// setVMFault returns a step that sets a fault on both links to a VM.
func setVMFault(at time.Duration, what string, id vm.ID, d netfault.Direction, f netfault.Fault) Step {
	return Step{at, what + " " + string(id), func(_ context.Context, r *Run) error { return r.Fleet.SetVMFault(id, d, f) }}
}

// partitionSteps drops what other VMs send to the home of the largest team, and
// later what another VM sends back to them.
func partitionSteps(r *Run) []Step {
	home := r.homeOf(r.Deployment.Teams[0])
	other := r.randomVM(r.random(), home)
	drop := netfault.Fault{Drop: true}
	return []Step{
		setVMFault(12*time.Second, "messages to be lost on the way to", home, netfault.ToTarget, drop),
		setVMFault(22*time.Second, "heal", home, netfault.ToTarget, netfault.Fault{}),
		setVMFault(30*time.Second, "answers to be lost on the way from", other, netfault.ToClient, drop),
		setVMFault(40*time.Second, "heal", other, netfault.ToClient, netfault.Fault{}),
	}
}

// pausedSteps pauses the home of the largest team for 12 s.
func pausedSteps(r *Run) []Step {
	home := r.homeOf(r.Deployment.Teams[0])
	return []Step{
		{12 * time.Second, "pause " + string(home), func(_ context.Context, r *Run) error { return r.Fleet.Pause(home) }},
		{24 * time.Second, "resume " + string(home), func(_ context.Context, r *Run) error { return r.Fleet.Resume(home) }},
	}
}

// restartedVMs is the number of VMs that rolling-restart restarts.
const restartedVMs = 5

// rollingSteps restarts up to restartedVMs VMs, one every 9 s.
func rollingSteps(r *Run) []Step {
	var steps []Step
	ids := r.Fleet.IDs()
	for n := range min(restartedVMs, len(ids)-1) {
		id := ids[n*len(ids)/restartedVMs]
		at := 10*time.Second + time.Duration(n)*9*time.Second
		steps = append(steps, Step{at, "restart " + string(id), func(_ context.Context, r *Run) error { return r.restart(id) }})
	}
	return steps
}

// restart shuts a VM down gracefully and starts it again.
func (r *Run) restart(id vm.ID) error {
	if !r.Fleet.Shutdown(id) {
		return errors.Newf("%s did not shut down in time", id)
	}
	return r.Fleet.Launch(id)
}
