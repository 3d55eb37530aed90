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

// Bounds from section 1 of the design page. The bounds on wrongful rejections are
// shares of in-rate calls.
const (
	detectionBound          = 5 * time.Second // for each fault; medians have a lower bound
	wrongfulBound           = 0.001           // without faults and while the store is unavailable
	wrongfulAfterCrashBound = 0.01            // in the 10 s after a VM crash
	crashWindow             = 10 * time.Second
	isolationBound          = 0.99
	addedLatencyBound       = 1.9 // ms, p99
	poisonCrashesBound      = 2   // server crashes before a request is quarantined
)

// random returns the random source for an experiment's choices, seeded with the
// run's seed.
func (r *Run) random() *rand.Rand { return rand.New(rand.NewPCG(r.Options.Seed, 0xfa17)) }

// members returns a member list in which all VMs are live.
func (r *Run) members() vm.MemberList {
	var list vm.MemberList
	for _, id := range r.Fleet.IDs() {
		m := r.Fleet.Member(id)
		list.VMs = append(list.VMs, vm.VM{ID: id, Zone: m.Zone})
	}
	return list
}

// homeOf returns the home of a team's token bucket. If the team has several
// buckets, it returns the home of the first.
func (r *Run) homeOf(team contract.Team) vm.ID {
	holder, _ := r.members().Holder(quota.HomeRole(quota.BucketIDs(&team)[0]))
	return holder.ID
}

// randomVM returns a random VM that is not in except. If except has at least as
// many entries as there are VMs, it may return any VM.
func (r *Run) randomVM(random *rand.Rand, except ...vm.ID) vm.ID {
	ids := r.Fleet.IDs()
	for {
		id := ids[random.IntN(len(ids))]
		excluded := false
		for _, other := range except {
			excluded = excluded || id == other
		}
		if !excluded || len(ids) <= len(except) {
			return id
		}
	}
}

// service returns the configuration of the n-th service.
func (r *Run) service(n int) contract.Service {
	return r.Deployment.Configuration(r.Options.Seed, r.Fleet.Addresses).Services[n]
}

// step returns a step whose action cannot fail.
func step(at time.Duration, what string, do func(r *Run)) Step {
	return Step{at, what, func(_ context.Context, r *Run) error { do(r); return nil }}
}

// setMode returns a step that sets the fault mode of one server.
func setMode(at time.Duration, what string, id contract.ServerID, m backendsim.Mode) Step {
	return Step{at, what + " " + string(id), func(_ context.Context, r *Run) error { return r.Fleet.Servers.SetMode(id, m) }}
}

// setAllModes returns a step that sets the fault mode of all servers.
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

// confirmChanges returns a step in which an operator plans changes and confirms
// the plan at the first VM.
func confirmChanges(at time.Duration, what string, changes ...contract.Change) Step {
	return Step{at, what, func(ctx context.Context, r *Run) error {
		return r.Change(ctx, r.Fleet.IDs()[0], changes...)
	}}
}

// wrongfulRejections checks the share of in-rate calls that were rejected in a
// period against a bound. Calls of the teams in except do not count.
func (r *Run) wrongfulRejections(h *check.History, name string, from, length time.Duration, bound float64, except ...contract.TeamID) check.Finding {
	share, samples := check.WrongfulRejections(h.Tallies(r.After(from), r.After(from+length)), except...)
	return check.AtMost("wrongful-rejections-"+name, "share of in-rate calls", share, bound, samples)
}

// answeredShare returns the share of regular calls sent in a period that got the
// right response, and their number. It counts only calls for which keep returns
// true; a nil keep accepts all. Calls with a withdrawn key do not count.
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

// detection checks how long a server still got requests after its fault began at
// from. The check fails if the server got requests until the fault ended at until.
func (r *Run) detection(h *check.History, name string, id contract.ServerID, from, until time.Duration) check.Finding {
	elapsed, found := h.Detection(id, r.After(from), r.After(until))
	if !found {
		elapsed = until - from
	}
	f := check.AtMost("detection-"+name, "s until the server got no requests", elapsed.Seconds(), detectionBound.Seconds(), 1)
	if !found {
		f.OK, f.Detail = false, "the server got requests until the fault ended"
	}
	return f
}
