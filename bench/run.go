package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"almondstile/bench/check"
	"almondstile/bench/deployment"
	"almondstile/bench/fleet"
	"almondstile/bench/load"
	"almondstile/contract"
	"almondstile/vm"
	"almondstile/wait"
	"almondstile/zone"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

const (
	// startLimit limits the start of the fleet. tailLimit limits the time after
	// the last call is sent, in which open calls end by their own timeouts.
	startLimit = 90 * time.Second
	tailLimit  = 60 * time.Second
	// warmupTime is the time between the start of the load and the first
	// measurement. It is needed because servers start cold.
	warmupTime = 8 * time.Second
	// versionInterval is the interval at which the VMs' configuration versions
	// are read.
	versionInterval = time.Second
)

// Run is one run of an experiment. While the steps run, only their goroutine
// writes the history; other goroutines write it before or after that.
type Run struct {
	Experiment Experiment
	Options    runOptions
	Deployment *deployment.Deployment
	Fleet      *fleet.Fleet
	Balancer   *load.Balancer
	Generator  *load.Generator
	Start      time.Time
	profile    load.Profile
	timetable  []load.Arrival
	history    check.History
	// direct holds the calls that added-latency sent directly to a stand-in
	// server instead of the fleet.
	direct []load.Call
	// costs holds the first and the second reading of the control-cost
	// experiments.
	costs [2]costReading
	log   io.Writer
}

// After returns the time d after the start of the load.
func (r *Run) After(d time.Duration) time.Time { return r.Start.Add(d) }

// logf writes a line with the time of day about the progress of the run.
func (r *Run) logf(format string, args ...any) {
	fmt.Fprintf(r.log, "%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// execute runs an experiment once, reports its findings and saves its records.
func execute(ctx context.Context, e Experiment, o runOptions, rep *report) error {
	d, err := deployment.Load(o.Deployment)
	if err != nil {
		return err
	}
	if e.Adapt != nil {
		e.Adapt(d)
	}
	ctx, cancel := context.WithTimeout(ctx, startLimit+e.Length+tailLimit)
	defer cancel()
	r := &Run{Experiment: e, Options: o, Deployment: d, log: os.Stderr}
	r.logf("starting %d VMs for %s, seed %d", o.VMs, e.Name, o.Seed)
	r.Fleet, err = fleet.Start(ctx, fleet.Options{
		Binary: o.binary(), Directory: o.Out, Deployment: d, Seed: o.Seed, VMs: o.VMs,
		ServerLinks: e.ServerLinks, VMLinks: e.VMLinks,
	})
	if err != nil {
		return errors.Wrap(err, "starting the fleet")
	}
	defer r.Fleet.Close()
	if err := r.sendLoad(ctx); err != nil {
		return err
	}
	for _, f := range r.findings() {
		rep.print(e.Name, o, f)
	}
	for _, l := range outcomes(r.history.Calls) {
		r.logf("%s", l)
	}
	return saveRecords(o, e.Name, &r.history)
}

// sendLoad prepares the load and the steps and runs both.
func (r *Run) sendLoad(ctx context.Context) error {
	r.Balancer = load.NewBalancer(r.Fleet.CallerAddresses())
	r.Generator = load.NewGenerator(r.Balancer)
	r.history.Withdrawn = make(map[contract.KeyID]time.Time)
	r.history.Leaving = make(map[contract.ServerID]time.Time)
	r.profile = load.Profile{Seed: r.Options.Seed, Length: r.Experiment.Length}
	if r.Experiment.Profile != nil {
		r.Experiment.Profile(r, &r.profile)
	}
	r.timetable = load.New(r.Deployment, r.profile)
	var steps []Step
	if r.Experiment.Steps != nil {
		steps = r.Experiment.Steps(r)
	}
	r.Start = time.Now()
	r.logf("sending %d calls in %s", len(r.timetable), r.Experiment.Length)
	return r.runLoadAndSteps(ctx, steps)
}

// runLoadAndSteps sends the load. Meanwhile it runs the steps, reads the VMs'
// versions and updates the balancer.
func (r *Run) runLoadAndSteps(ctx context.Context, steps []Step) error {
	watchContext, stop := context.WithCancel(ctx)
	var wg conc.WaitGroup
	var stepError error
	var versions []check.Version
	wg.Go(func() { stepError = r.runSteps(ctx, steps) })
	wg.Go(func() { versions = r.watchVersions(watchContext) })
	wg.Go(func() { r.watchReadiness(watchContext) })
	r.Generator.Run(ctx, r.Start, r.timetable)
	stop()
	wg.Wait()
	r.history.Versions = versions
	if ctx.Err() != nil {
		return errors.Wrap(ctx.Err(), "the run took too long")
	}
	return stepError
}

// runSteps runs each step at its time and stops at the first error.
func (r *Run) runSteps(ctx context.Context, steps []Step) error {
	for _, s := range steps {
		if !wait.For(ctx, time.Until(r.After(s.At))) {
			return ctx.Err()
		}
		r.logf("step: %s", s.What)
		if err := s.Do(ctx, r); err != nil {
			return errors.Wrapf(err, "step %q", s.What)
		}
	}
	return nil
}

// watchVersions reads the configuration version of each VM until ctx ends.
func (r *Run) watchVersions(ctx context.Context) []check.Version {
	var out []check.Version
	for wait.For(ctx, versionInterval) {
		for id, version := range r.Fleet.Versions(ctx) {
			out = append(out, check.Version{VM: id, At: time.Now(), Version: version})
		}
	}
	return out
}

// watchReadiness takes VMs that are not ready out of the balancer's rotation until
// ctx ends, as the callers' load balancer does.
func (r *Run) watchReadiness(ctx context.Context) {
	for wait.For(ctx, time.Second) {
		for id, ready := range r.Fleet.Readiness(ctx) {
			r.Balancer.SetOut(id, !ready)
		}
	}
}

// Change plans and confirms changes at a VM's operators' listener and records the
// confirmation in the history.
func (r *Run) Change(ctx context.Context, id vm.ID, changes ...contract.Change) error {
	confirmed, err := r.Fleet.Operator(id).Change(ctx, contract.NewIntent(changes...))
	if err != nil {
		return err
	}
	now := time.Now()
	r.history.Confirms = append(r.history.Confirms, check.Confirm{Version: confirmed.Version, At: now})
	for _, change := range changes {
		r.recordChange(change, now)
	}
	return nil
}

// recordChange records the time of a change that the checks depend on.
func (r *Run) recordChange(change contract.Change, now time.Time) {
	switch c := change.(type) {
	case contract.WithdrawKey:
		r.history.Withdrawn[c.ID] = now
	case contract.SetServerLeaving:
		if c.Leaving {
			r.history.Leaving[c.ID] = now
		}
	case contract.SetZoneOut:
		r.recordZoneChange(c.ID, c.Out, now)
	}
}

// recordZoneChange records that a zone was taken out or returned.
func (r *Run) recordZoneChange(id zone.ID, out bool, now time.Time) {
	if out {
		r.history.ZonesOut = append(r.history.ZonesOut, check.Outage{Zone: id, Out: now})
		return
	}
	for i := range r.history.ZonesOut {
		if o := &r.history.ZonesOut[i]; o.Zone == id && o.Back.IsZero() {
			o.Back = now
		}
	}
}

// findings returns all findings of the run: the promises that every experiment
// checks, the experiment's own findings and the general ones.
func (r *Run) findings() []check.Finding {
	h := &r.history
	h.Calls = r.Generator.Calls()
	h.Executions = r.Fleet.Servers.Executions(nil)
	h.Configuration = r.Deployment.Configuration(r.Options.Seed, r.Fleet.Addresses)
	out := []check.Finding{h.P2(), h.P3(), h.P5(), h.P6(), h.P8(), h.P9(), h.P10()}
	out = slices.DeleteFunc(out, func(f check.Finding) bool { return slices.Contains(r.Experiment.Uncovered, f.Name) })
	if r.Experiment.Findings != nil {
		out = append(out, r.Experiment.Findings(r, h)...)
	}
	return append(out, r.generalFindings(h)...)
}

// generalFindings returns the measures that every experiment reports without
// bounds, and a check that the bench itself sent all calls. The worst team is
// chosen among the teams whose load factor is at most 1.
func (r *Run) generalFindings(h *check.History) []check.Finding {
	regular := func(c load.Call) bool { return c.Kind == load.Regular && c.Answered() }
	latencies := load.Summarize(h.Calls, regular)
	tallies := h.Tallies(r.After(warmupTime), r.After(r.Experiment.Length))
	var noisy []contract.TeamID
	for team, factor := range r.profile.TeamFactor {
		if factor > 1 {
			noisy = append(noisy, team)
		}
	}
	worst := check.WorstTeam(tallies, noisy...)
	answered := measure("worst-team-answered-share", "share", worst.AnsweredShare(), worst.InRate)
	answered.Detail = string(worst.Team)
	return []check.Finding{
		answered,
		measure("latency-p50", "ms", milliseconds(latencies.Quantile(50)), int(latencies.Count())),
		measure("latency-p99", "ms", milliseconds(latencies.Quantile(99)), int(latencies.Count())),
		check.AtMost("bench-calls-not-sent", "calls", float64(r.Generator.Skipped()), 0, len(h.Calls)),
	}
}

// measure returns a measure without a bound.
func measure(name, unit string, value float64, samples int) check.Finding {
	return check.Finding{Name: name, Unit: unit, Value: value, OK: true, Samples: samples}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
