package main

import (
	"context"
	"slices"
	"time"

	"almondstile/bench/check"
	"almondstile/bench/deployment"
	"almondstile/bench/load"
)

// Experiment describes a load, a timetable of faults, and the checks on the
// outcome.
type Experiment struct {
	Name  string
	About string
	// Length is the time for which calls are sent.
	Length time.Duration
	// ServerLinks and VMLinks put links between the processes, on which the
	// steps can set faults. Links cost processor time, so only experiments that
	// need them have them.
	ServerLinks, VMLinks bool
	// Adapt changes the deployment; nil leaves it as it is.
	Adapt func(d *deployment.Deployment)
	// Profile changes the load; nil leaves the deployment's normal load.
	Profile func(r *Run, p *load.Profile)
	// Steps returns the timetable of faults, ordered by time.
	Steps func(r *Run) []Step
	// Uncovered lists promises that every experiment checks by default but that
	// this experiment's load cannot test.
	Uncovered []string
	// Findings returns the experiment's own checks and measures, in addition to
	// those of every experiment.
	Findings func(r *Run, h *check.History) []check.Finding
}

// Step is an action on the fleet at a time after the start of the load.
type Step struct {
	At   time.Duration // since the start of the load
	What string
	Do   func(ctx context.Context, r *Run) error
}

// experiments lists all experiments in the order of `bench list`.
func experiments() []Experiment {
	return slices.Concat(vmExperiments, serverExperiments, platformExperiments,
		teamExperiments, combinedExperiments, latencyExperiments, controlExperiments)
}

// findExperiment returns the experiment with the given name.
func findExperiment(name string) (Experiment, bool) {
	for _, e := range experiments() {
		if e.Name == name {
			return e, true
		}
	}
	return Experiment{}, false
}
