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
	// startLimit bounds the start of the fleet, tailLimit the time after the
	// last call: calls end by their own timeouts.
	startLimit = 90 * time.Second
	tailLimit  = 60 * time.Second
	// settleTime lies between the start of the load and the first measurement:
	// servers start cold.
	settleTime = 8 * time.Second
	// versionInterval is the pace at which the VMs' versions are read.
	versionInterval = time.Second
)

// Run is one run of an experiment. Its history is written by the goroutine of
// the steps, and by others before that one starts or after it has ended.
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
	// direct holds the calls of added-latency that did not go to the fleet.
	direct []load.Call
	// costs holds the two readings of control-cost.
	costs [2]costReading
	log   io.Writer
}

// After returns a time relative to the start of the load.
func (r *Run) After(d time.Duration) time.Time { return r.Start.Add(d) }

// note writes a line about what the run does.
func (r *Run) note(format string, args ...any) {
	fmt.Fprintf(r.log, "%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// execute runs the experiment and reports its findings.
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
	r.note("starting %d VMs for %s, seed %d", o.VMs, e.Name, o.Seed)
	r.Fleet, err = fleet.Start(ctx, fleet.Options{
		Binary: o.binary(), Directory: o.Out, Deployment: d, Seed: o.Seed, VMs: o.VMs,
		ServerLinks: e.ServerLinks, VMLinks: e.VMLinks,
	})
	if err != nil {
		return errors.Wrap(err, "starting the fleet")
	}
	defer r.Fleet.Close()
	if err := r.play(ctx); err != nil {
		return err
	}
	for _, f := range r.findings() {
		rep.print(e.Name, o, f)
	}
	for _, l := range outcomes(r.history.Calls) {
		r.note("%s", l)
	}
	return saveRecords(o, e.Name, &r.history)
}

// play sends the load while the steps and the reading of versions go on.
func (r *Run) play(ctx context.Context) error {
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
	r.note("sending %d calls in %s", len(r.timetable), r.Experiment.Length)
	return r.playAll(ctx, steps)
}

func (r *Run) playAll(ctx context.Context, steps []Step) error {
	watching, stop := context.WithCancel(ctx)
	var wg conc.WaitGroup
	var stepError error
	var versions []check.Version
	wg.Go(func() { stepError = r.playSteps(ctx, steps) })
	wg.Go(func() { versions = r.watchVersions(watching) })
	wg.Go(func() { r.watchReadiness(watching) })
	r.Generator.Run(ctx, r.Start, r.timetable)
	stop()
	wg.Wait()
	r.history.Versions = versions
	if ctx.Err() != nil {
		return errors.Wrap(ctx.Err(), "the run took too long")
	}
	return stepError
}

func (r *Run) playSteps(ctx context.Context, steps []Step) error {
	for _, s := range steps {
		if !wait.For(ctx, time.Until(r.After(s.At))) {
			return ctx.Err()
		}
		r.note("step: %s", s.What)
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

// watchReadiness keeps VMs that are not ready out of the balancer's rotation,
// as the callers' load balancer does.
func (r *Run) watchReadiness(ctx context.Context) {
	for wait.For(ctx, time.Second) {
		for id, ready := range r.Fleet.Readiness(ctx) {
			r.Balancer.SetOut(id, !ready)
		}
	}
}

// Change confirms changes through a VM's operators' listener and records it.
func (r *Run) Change(ctx context.Context, at vm.ID, changes ...contract.Change) error {
	confirmed, err := r.Fleet.Operator(at).Change(ctx, contract.NewIntent(changes...))
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

func (r *Run) recordChange(change contract.Change, now time.Time) {
	switch c := change.(type) {
	case contract.WithdrawKey:
		r.history.Withdrawn[c.ID] = now
	case contract.SetServerLeaving:
		if c.Leaving {
			r.history.Leaving[c.ID] = now
		}
	case contract.SetZoneOut:
		r.recordZone(c.ID, c.Out, now)
	}
}

func (r *Run) recordZone(id zone.ID, out bool, now time.Time) {
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

// findings checks the records of the whole run.
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
	return append(out, r.general(h)...)
}

// general returns the measures that every experiment reports, without bounds,
// and the checks on the bench itself.
func (r *Run) general(h *check.History) []check.Finding {
	regular := func(c load.Call) bool { return c.Kind == load.Regular && c.Answered() }
	latencies := load.Summarize(h.Calls, regular)
	tallies := h.Tallies(r.After(settleTime), r.After(r.Experiment.Length))
	var noisy []contract.TeamID
	for team, factor := range r.profile.TeamFactor {
		if factor > 1 {
			noisy = append(noisy, team)
		}
	}
	worst := check.WorstTeam(tallies, noisy...)
	answered := figure("worst-team-answered-share", "share", worst.AnsweredShare(), worst.InRate)
	answered.Detail = string(worst.Team)
	return []check.Finding{
		answered,
		figure("latency-p50", "ms", milliseconds(latencies.Quantile(50)), int(latencies.Count())),
		figure("latency-p99", "ms", milliseconds(latencies.Quantile(99)), int(latencies.Count())),
		check.AtMost("bench-calls-not-sent", "calls", float64(r.Generator.Skipped()), 0, len(h.Calls)),
	}
}

// figure returns a measure without a bound.
func figure(name, unit string, value float64, samples int) check.Finding {
	return check.Finding{Name: name, Unit: unit, Value: value, OK: true, Samples: samples}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
