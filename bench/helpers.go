package main

import (
	"context"
	"math/rand/v2"
	"time"

	"almondstile/bench/check"
	"almondstile/bench/load"
	"almondstile/contract"
	"almondstile/quota"
	"almondstile/standin/backendsim"
	"almondstile/vm"
)

// Bounds of section 1 of the design page.
const (
	detectionBound         = 5 * time.Second // at worst
	wrongfulUsual          = 0.001           // without faults and during a store outage
	wrongfulAfterCrash     = 0.01            // in the 10 s after a VM crash
	crashWindow            = 10 * time.Second
	isolationBound         = 0.99
	addedLatencyBound      = 1.9 // ms, p99
	executionsOfPoisonMost = 2   // crashes until a request is quarantined
)

// random returns the source for an experiment's own choices.
func (r *Run) random() *rand.Rand { return rand.New(rand.NewPCG(r.Options.Seed, 0xfa17)) }

// members returns the member list in which all VMs are live.
func (r *Run) members() vm.MemberList {
	var list vm.MemberList
	for _, id := range r.Fleet.IDs() {
		m := r.Fleet.Member(id)
		list.VMs = append(list.VMs, vm.VM{ID: id, Zone: m.Zone})
	}
	return list
}

// homeOf returns the VM that keeps a team's token bucket, or the first of them.
func (r *Run) homeOf(team contract.Team) vm.ID {
	holder, _ := r.members().Holder(quota.HomeRole(quota.BucketIDs(&team)[0]))
	return holder.ID
}

// anyVM returns a random VM that is none of the given ones.
func (r *Run) anyVM(random *rand.Rand, except ...vm.ID) vm.ID {
	ids := r.Fleet.IDs()
	for {
		id := ids[random.IntN(len(ids))]
		taken := false
		for _, other := range except {
			taken = taken || id == other
		}
		if !taken || len(ids) <= len(except) {
			return id
		}
	}
}

// service returns the n-th service as it is configured.
func (r *Run) service(n int) contract.Service {
	return r.Deployment.Configuration(r.Options.Seed, r.Fleet.Addresses).Services[n]
}

// step returns a step that cannot fail.
func step(at time.Duration, what string, do func(r *Run)) Step {
	return Step{at, what, func(_ context.Context, r *Run) error { do(r); return nil }}
}

// setMode returns a step that changes how a server behaves.
func setMode(at time.Duration, what string, id contract.ServerID, m backendsim.Mode) Step {
	return Step{at, what + " " + string(id), func(_ context.Context, r *Run) error { return r.Fleet.Servers.SetMode(id, m) }}
}

// setAllModes returns a step that changes how all servers behave.
func setAllModes(at time.Duration, what string, m backendsim.Mode) Step {
	return Step{at, what, func(_ context.Context, r *Run) error {
		for id := range r.Fleet.Addresses {
			if err := r.Fleet.Servers.SetMode(id, m); err != nil {
				return err
			}
		}
		return nil
	}}
}

// change returns a step in which an operator confirms changes.
func change(at time.Duration, what string, changes ...contract.Change) Step {
	return Step{at, what, func(ctx context.Context, r *Run) error {
		return r.Change(ctx, r.Fleet.IDs()[0], changes...)
	}}
}

// wrongful measures the in-rate rejections of a period.
func (r *Run) wrongful(h *check.History, name string, from, length time.Duration, bound float64, except ...contract.TeamID) check.Finding {
	share, samples := check.WrongfulRejections(h.Tallies(r.After(from), r.After(from+length)), except...)
	return check.AtMost("wrongful-rejections-"+name, "share of in-rate calls", share, bound, samples)
}

// answeredShare measures the calls that got the right answer in a period.
func (r *Run) answeredShare(h *check.History, from, until time.Duration, keep func(load.Call) bool) (share float64, samples int) {
	answered := 0
	for _, c := range h.Calls {
		if c.Kind != load.Regular || c.Sent.Before(r.After(from)) || !c.Sent.Before(r.After(until)) {
			continue
		}
		if h.KeyWithdrawn(c) || keep != nil && !keep(c) {
			continue
		}
		samples++
		if c.Answered() {
			answered++
		}
	}
	if samples == 0 {
		return 0, 0
	}
	return float64(answered) / float64(samples), samples
}

// detection measures how long a faulty server still got requests.
func (r *Run) detection(h *check.History, name string, id contract.ServerID, from, until time.Duration) check.Finding {
	took, found := h.Detection(id, r.After(from), r.After(until))
	if !found {
		took = until - from
	}
	f := check.AtMost("detection-"+name, "s until the server got no requests", took.Seconds(), detectionBound.Seconds(), 1)
	if !found {
		f.OK, f.Detail = false, "the server got requests until the fault ended"
	}
	return f
}
