package main

import (
	"bytes"
	"encoding/json"
	"testing"

	"almondstile/bench/check"
)

// Guards against an experiment that is missing from the list that the command
// uses, has the name of another, or lacks a description or a length.
func TestExperimentsAreRegisteredOnce(t *testing.T) {
	for _, name := range []string{
		"vm-crash", "gray-server", "one-way-partition", "store-away", "key-withdrawal", "noisy-team",
		"cold-fleet", "poison-request", "lost-answers", "paused-vm", "rolling-restart", "zone-out",
		"racing-operators", "small-teams", "flapping", "everything", "added-latency", "healthy-noise", "control-cost", "control-cost-loaded",
	} {
		if _, ok := findExperiment(name); !ok {
			t.Errorf("%s is missing", name)
		}
	}
	seen := make(map[string]bool)
	for _, e := range experiments() {
		if seen[e.Name] || e.About == "" || e.Length == 0 {
			t.Errorf("%s is registered twice or is incomplete", e.Name)
		}
		seen[e.Name] = true
	}
}

// Guards against a broken promise that does not fail the run, and against a
// measure outside its bound that is reported as a broken promise.
func TestReportCollectsBrokenPromises(t *testing.T) {
	var out bytes.Buffer
	rep := &report{out: &out, json: true}
	o := runOptions{Seed: 3, VMs: 6}
	rep.print("x", o, check.Finding{Name: "P5", OK: true})
	rep.print("x", o, check.Finding{Name: "detection-slow", Value: 9, Bound: 5})
	if len(rep.brokenPromises) > 0 {
		t.Fatal("a kept promise and a missed measure count as a broken promise")
	}
	rep.print("x", o, check.Finding{Name: "P10", Value: 1})
	if len(rep.brokenPromises) == 0 {
		t.Fatal("a broken promise does not count")
	}
	decoder := json.NewDecoder(&out)
	for _, want := range []resultLine{
		{Kind: "promise", Finding: check.Finding{Name: "P5", OK: true}},
		{Kind: "measure", Finding: check.Finding{Name: "detection-slow", Value: 9, Bound: 5}},
		{Kind: "promise", Finding: check.Finding{Name: "P10", Value: 1}},
	} {
		want.Experiment, want.Seed, want.VMs = "x", 3, 6
		var got resultLine
		if err := decoder.Decode(&got); err != nil || got != want {
			t.Fatalf("got %+v, error %v", got, err)
		}
	}
}

// Guards against a median that is not the middle value of all runs, and against
// a median detection time above its bound that is reported as within it.
func TestReportPrintsMedians(t *testing.T) {
	var out bytes.Buffer
	rep := &report{out: &out, json: true}
	for seed, value := range []float64{9, 3, 1} {
		rep.print("x", runOptions{Seed: uint64(seed)}, check.Finding{Name: "detection-slow", Value: value})
	}
	out.Reset()
	rep.printMedians("x", runOptions{})
	var got resultLine
	if err := json.Unmarshal(out.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if got.Name != "median-detection-slow" || got.Value != 3 || got.Bound != 2 || got.OK || got.Samples != 3 {
		t.Fatalf("got %+v", got)
	}
}
