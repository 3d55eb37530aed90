package main

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"almondstile/bench/check"
)

// resultLine is one finding of an experiment as it is printed with --json.
type resultLine struct {
	Experiment string `json:"experiment"`
	Seed       uint64 `json:"seed"`
	VMs        int    `json:"vms"`
	Kind       string `json:"kind"` // "promise" or "measure"
	check.Finding
}

// report prints findings and collects the broken promises.
type report struct {
	out            io.Writer
	json           bool
	brokenPromises []check.Finding
	// values holds the values of each measure, one per run. names holds the
	// measures' names in the order in which they were first printed.
	values map[string][]float64
	names  []string
}

// print prints one finding and records it for the medians and the exit code.
func (r *report) print(experiment string, o runOptions, f check.Finding) {
	l := resultLine{Experiment: experiment, Seed: o.Seed, VMs: o.VMs, Kind: findingKind(f.Name), Finding: f}
	if l.Kind == "measure" {
		r.recordValue(f)
	}
	if l.Kind == "promise" && !f.OK {
		r.brokenPromises = append(r.brokenPromises, f)
	}
	if r.json {
		encoded, _ := json.Marshal(l) // cannot fail: all fields can be encoded
		fmt.Fprintln(r.out, string(encoded))
		return
	}
	status := "ok  "
	if !f.OK {
		status = "MISS"
	}
	fmt.Fprintf(r.out, "%s %-7s %-40s %10.3f (bound %g) %s, %d samples %s\n", status, l.Kind, f.Name, f.Value, f.Bound, f.Unit, f.Samples, f.Detail)
}

// recordValue adds the value of a measure to those of earlier runs.
func (r *report) recordValue(f check.Finding) {
	if r.values == nil {
		r.values = make(map[string][]float64)
	}
	if _, known := r.values[f.Name]; !known {
		r.names = append(r.names, f.Name)
	}
	r.values[f.Name] = append(r.values[f.Name], f.Value)
}

// medianBounds holds the bounds from section 1 of the design page that apply to
// the median of many runs, in seconds.
var medianBounds = map[string]float64{
	"detection-slow": 2, "detection-failing": 2, "detection-truncating": 2,
}

// printMedians prints the median of each measure over all runs and clears the
// recorded values.
func (r *report) printMedians(experiment string, o runOptions) {
	names, values := r.names, r.values
	r.names, r.values = nil, nil
	for _, name := range names {
		all := values[name]
		slices.Sort(all)
		f := measure("median-"+name, fmt.Sprintf("median of %d runs", len(all)), all[len(all)/2], len(all))
		if bound, ok := medianBounds[name]; ok {
			f = check.AtMost(f.Name, f.Unit, f.Value, bound, len(all))
		}
		r.print(experiment, o, f)
	}
}

// findingKind returns "promise" for the names P1 to P13 and "measure" for all
// others.
func findingKind(name string) string {
	if rest, ok := strings.CutPrefix(name, "P"); ok && rest != "" && rest[0] >= '1' && rest[0] <= '9' {
		return "promise"
	}
	return "measure"
}
