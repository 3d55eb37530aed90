package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync/atomic"

	"almondstile/bench/check"
)

// line is one result of an experiment in the form that programs read.
type line struct {
	Experiment string `json:"experiment"`
	Seed       uint64 `json:"seed"`
	VMs        int    `json:"vms"`
	Kind       string `json:"kind"` // "promise" or "measure"
	check.Finding
}

// report prints results and remembers whether a promise broke.
type report struct {
	out    io.Writer
	json   bool
	broken atomic.Bool
}

func (r *report) print(experiment string, o runOptions, f check.Finding) {
	l := line{Experiment: experiment, Seed: o.Seed, VMs: o.VMs, Kind: kindOf(f.Name), Finding: f}
	if l.Kind == "promise" && !f.OK {
		r.broken.Store(true)
	}
	if r.json {
		encoded, _ := json.Marshal(l) // has only fields that can be encoded
		fmt.Fprintln(r.out, string(encoded))
		return
	}
	verdict := "ok  "
	if !f.OK {
		verdict = "MISS"
	}
	fmt.Fprintf(r.out, "%s %-7s %-40s %10.3f (bound %g) %s, %d samples %s\n", verdict, l.Kind, f.Name, f.Value, f.Bound, f.Unit, f.Samples, f.Detail)
}

// kindOf tells promises, which are named P1 to P13, from measures.
func kindOf(name string) string {
	if rest, ok := strings.CutPrefix(name, "P"); ok && rest != "" && rest[0] >= '1' && rest[0] <= '9' {
		return "promise"
	}
	return "measure"
}
