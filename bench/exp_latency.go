package main

import (
	"context"
	"time"

	"almondstile/bench/check"
	"almondstile/bench/deployment"
	"almondstile/bench/load"
	"almondstile/standin/backendsim"
	"almondstile/vm"
)

// latencyExperiments lists the experiments on the latency that the fleet adds.
var latencyExperiments = []Experiment{
	latencyExperiment("added-latency", "the same calls directly to a stand-in and through the fleet, at half load", 0.5),
	latencyExperiment("added-latency-light", "the same at a tenth of the load, where hardly any call waits for a slot", 0.1),
}

// latencyExperiment returns an experiment whose load uses the given share of the
// first service's slots.
func latencyExperiment(name, about string, share float64) Experiment {
	return Experiment{
		Name: name, About: about,
		Length: 60 * time.Second, Adapt: constantServiceTime,
		Profile: func(r *Run, p *load.Profile) { useSlots(r, p, share) },
		Steps:   func(r *Run) []Step { return []Step{{0, "send the calls directly too", sendDirectly}} },
		// All calls are idempotent, so there is no call that P10 applies to.
		Uncovered: []string{"P10"},
		Findings:  addedLatency,
	}
}

// constantServiceTime makes the service time constant, because its variance would
// hide the difference between the two paths. It also raises the teams' rate
// limits tenfold so that they reject no calls.
func constantServiceTime(d *deployment.Deployment) {
	for i := range d.Services {
		d.Services[i].Sigma = 0
	}
	for i := range d.Teams {
		d.Teams[i].RatePerSecond *= 10
		d.Teams[i].Burst *= 10
	}
}

// useSlots scales the load so that it uses the given share of the first service's
// slots on average.
func useSlots(r *Run, p *load.Profile, share float64) {
	s := r.Deployment.Services[0]
	perSecond := share * float64(s.Servers*s.Slots) / (time.Duration(s.MedianMicros) * time.Microsecond).Seconds()
	normalPerSecond := 0.0
	for _, t := range r.Deployment.Teams {
		normalPerSecond += t.RatePerSecond * r.Deployment.LoadShare
	}
	p.OnlyService, p.GetOnly, p.Scale = s.ID, true, perSecond/normalPerSecond
}

// sendDirectly sends the run's calls to a stand-in server that has enough slots
// to run every call at once.
func sendDirectly(ctx context.Context, r *Run) error {
	s := r.Deployment.Services[0]
	server, err := backendsim.Start(backendsim.Config{
		ID: "direct", Seed: r.Options.Seed, Slots: 10_000, StartWarm: true, Connections: 10_000, MedianMicros: s.MedianMicros,
	})
	if err != nil {
		return err
	}
	defer server.Close()
	direct := load.NewGenerator(load.NewBalancer(map[vm.ID]string{"direct": server.Address()}))
	direct.Run(ctx, r.Start, r.timetable)
	r.direct = direct.Calls()
	return nil
}

// addedLatency compares the latencies of the calls through the fleet with those of
// the direct calls, and checks the difference at the 99th percentile.
func addedLatency(r *Run, h *check.History) []check.Finding {
	keep := func(c load.Call) bool {
		return c.Kind == load.Regular && c.Answered() && c.Intended.After(r.After(warmupTime))
	}
	fleet, direct := load.Summarize(h.Calls, keep), load.Summarize(r.direct, keep)
	n := int(min(fleet.Count(), direct.Count()))
	out := []check.Finding{}
	for _, p := range []struct {
		name    string
		percent float64
	}{{"p50", 50}, {"p99", 99}} {
		fleetLatency, directLatency := milliseconds(fleet.Quantile(p.percent)), milliseconds(direct.Quantile(p.percent))
		out = append(out, measure("direct-"+p.name, "ms", directLatency, n), measure("fleet-"+p.name, "ms", fleetLatency, n))
		added := measure("added-"+p.name, "ms", fleetLatency-directLatency, n)
		if p.name == "p99" {
			added = check.AtMost("added-p99", "ms", fleetLatency-directLatency, addedLatencyBound, n)
		}
		out = append(out, added)
	}
	return out
}
