package main

import (
	"context"
	"slices"
	"time"

	"almondstile/bench/check"
	"almondstile/bench/deployment"
	"almondstile/bench/load"
)

// Experiment is a load with a timetable of faults, and what must hold in it.
type Experiment struct {
	Name  string
	About string
	// Length is the time in which calls are sent.
	Length time.Duration
	// ServerLinks and VMLinks put links between the processes on which the
	// steps can set faults. They cost processor time, so not all have them.
	ServerLinks, VMLinks bool
	// Adapt changes the deployment; nil leaves it as it is.
	Adapt func(d *deployment.Deployment)
	// Profile adapts the load; nil leaves the deployment's usual load.
	Profile func(r *Run, p *load.Profile)
	// Steps returns the timetable of faults, in order of time.
	Steps func(r *Run) []Step
	// Uncovered lists promises that every other experiment covers and that this
	// one's load gives no evidence for.
	Uncovered []string
	// Findings checks what the experiment is about, besides the promises that
	// every experiment covers.
	Findings func(r *Run, h *check.History) []check.Finding
}

// Step is something that happens to the fleet at a time after the start.
type Step struct {
	At   time.Duration
	What string
	Do   func(ctx context.Context, r *Run) error
}

// experiments lists all experiments in the order of `bench list`.
func experiments() []Experiment {
	return slices.Concat(vmExperiments, serverExperiments, platformExperiments,
		teamExperiments, combinedExperiments, latencyExperiments, controlExperiments)
}

func find(name string) (Experiment, bool) {
	for _, e := range experiments() {
		if e.Name == name {
			return e, true
		}
	}
	return Experiment{}, false
}
