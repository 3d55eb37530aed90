package main

import (
	"context"
	"time"

	"almondstile/bench/check"
	"almondstile/bench/fleet"
	"almondstile/bench/load"
	"almondstile/standin/platformsim"
)

// controlExperiments lists the experiments on the resources that VMs use.
var controlExperiments = []Experiment{{
	Name: "control-cost", About: "what control costs each VM and the store while next to no calls are sent",
	Length: controlLength,
	// A few calls are sent so that owners and homes still exchange messages.
	Profile:   func(r *Run, p *load.Profile) { p.Scale = quietLoadScale },
	Steps:     costSteps,
	Uncovered: []string{"P10"},
	Findings:  controlCost,
}, {
	// The difference from control-cost is the cost of the requests.
	Name: "control-cost-loaded", About: "what each VM uses under the usual load, requests included",
	Length: controlLength, Steps: costSteps, Findings: controlCost,
}}

// costSteps reads the costs twice, at controlFrom and at controlUntil.
func costSteps(*Run) []Step {
	return []Step{
		{controlFrom, "first reading", func(ctx context.Context, r *Run) error { r.costs[0] = r.takeCostReading(ctx); return nil }},
		{controlUntil, "second reading", func(ctx context.Context, r *Run) error { r.costs[1] = r.takeCostReading(ctx); return nil }},
	}
}

const (
	controlFrom    = 15 * time.Second
	controlUntil   = 75 * time.Second
	controlLength  = 76 * time.Second
	quietLoadScale = 0.05 // share of the normal load

	// Bounds of the cost target, for each VM.
	controlCPUBound    = 2.2   // percent of a core
	controlMemoryBound = 128.0 // MB
	controlBytesBound  = 11.0  // KB a second
)

// costReading holds the costs of all VMs and the store's counters at one time.
type costReading struct {
	at    time.Time
	vms   []fleet.Cost
	store platformsim.Counters
}

// takeCostReading reads the store's counters and the costs of all VMs.
func (r *Run) takeCostReading(ctx context.Context) costReading {
	reading := costReading{at: time.Now(), store: r.Fleet.Platform.Counters()}
	costs := r.Fleet.Costs(ctx)
	for _, id := range r.Fleet.IDs() {
		reading.vms = append(reading.vms, costs[id])
	}
	return reading
}

// controlCost reports the use of CPU and control bytes between the two readings as
// a mean over the VMs, the largest memory of a VM, and the store's rates.
func controlCost(r *Run, _ *check.History) []check.Finding {
	first, second := r.costs[0], r.costs[1]
	seconds := second.at.Sub(first.at).Seconds()
	n := len(second.vms)
	var cpuMicros, bytes, memory float64
	for i, v := range second.vms {
		cpuMicros += float64(v.CPUMicros - first.vms[i].CPUMicros)
		bytes += float64(v.ControlBytes - first.vms[i].ControlBytes)
		memory = max(memory, float64(v.ResidentBytes))
	}
	each := float64(n) * seconds
	writes := float64(second.store.Writes-first.store.Writes) / seconds
	reads := float64(second.store.Reads-first.store.Reads) / seconds
	return []check.Finding{
		check.AtMost("control-cpu", "% of a core", cpuMicros/each/1e4, controlCPUBound, n),
		check.AtMost("control-memory", "MB resident, largest", memory/1e6, controlMemoryBound, n),
		check.AtMost("control-bytes", "KB/s", bytes/each/1e3, controlBytesBound, n),
		measure("store-writes", "rows/s, all VMs", writes, n),
		measure("store-reads", "calls/s, all VMs", reads, n),
	}
}
