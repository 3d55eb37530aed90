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

var latencyExperiments = []Experiment{
	latencyExperiment("added-latency", "the same calls directly to a stand-in and through the fleet, at half load", 0.5),
	latencyExperiment("added-latency-light", "the same at a tenth of the load, where hardly any call waits for a slot", 0.1),
}

// latencyExperiment uses a share of the slots of the first service.
func latencyExperiment(name, about string, share float64) Experiment {
	return Experiment{
		Name: name, About: about,
		Length: 60 * time.Second, Adapt: constantServiceTime,
		Profile: func(r *Run, p *load.Profile) { useSlots(r, p, share) },
		Steps:   func(r *Run) []Step { return []Step{{0, "send the calls directly too", sendDirectly}} },
		// All calls are idempotent, so P10 has nothing to look at.
		Uncovered: []string{"P10"},
		Findings:  addedLatency,
	}
}

// constantServiceTime makes the service time constant, so that the difference
// between the two paths is not lost in it, and the teams' rates so high that
// they limit nothing.
func constantServiceTime(d *deployment.Deployment) {
	for i := range d.Services {
		d.Services[i].Sigma = 0
	}
	for i := range d.Teams {
		d.Teams[i].RatePerSecond *= 10
		d.Teams[i].Burst *= 10
	}
}

// useSlots sends as many calls as use a share of the first service's slots.
func useSlots(r *Run, p *load.Profile, share float64) {
	s := r.Deployment.Services[0]
	perSecond := share * float64(s.Servers*s.Slots) / (time.Duration(s.MedianMicros) * time.Microsecond).Seconds()
	usual := 0.0
	for _, t := range r.Deployment.Teams {
		usual += t.RatePerSecond * r.Deployment.LoadShare
	}
	p.OnlyService, p.GetOnly, p.Scale = s.ID, true, perSecond/usual
}

// sendDirectly sends the run's timetable to a stand-in server that has a slot
// for every call.
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

func addedLatency(r *Run, h *check.History) []check.Finding {
	keep := func(c load.Call) bool {
		return c.Kind == load.Regular && c.Answered() && c.Intended.After(r.After(settleTime))
	}
	fleet, direct := load.Summarize(h.Calls, keep), load.Summarize(r.direct, keep)
	n := int(min(fleet.Count(), direct.Count()))
	out := []check.Finding{}
	for _, p := range []struct {
		name    string
		percent float64
	}{{"p50", 50}, {"p99", 99}} {
		through, without := milliseconds(fleet.Quantile(p.percent)), milliseconds(direct.Quantile(p.percent))
		out = append(out, figure("direct-"+p.name, "ms", without, n), figure("fleet-"+p.name, "ms", through, n))
		added := figure("added-"+p.name, "ms", through-without, n)
		if p.name == "p99" {
			added = check.AtMost("added-p99", "ms", through-without, addedLatencyBound, n)
		}
		out = append(out, added)
	}
	return out
}
