package main

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/sourcegraph/conc"
)

// timedPromises hold within a time, which a busy CI machine may not keep.
var timedPromises = []string{"P4", "P7", "P11", "P12", "P13"}

// Guards against promises that break between real processes: a key is withdrawn
// from open connections, responses are lost after the request ran, VMs crash.
func TestPromisesHoldBetweenProcesses(t *testing.T) {
	t.Chdir("..") // the build and the deployment are relative to the module
	options := runOptions{Seed: 1, VMs: 3, Out: t.TempDir(), Deployment: "deployments/cairnlight.toml"}
	if err := build(t.Context(), options); err != nil {
		t.Fatal(err)
	}
	var wg conc.WaitGroup
	for _, name := range []string{"key-withdrawal", "lost-answers", "vm-crash"} {
		wg.Go(func() { runShort(t.Context(), t, name, options) })
	}
	wg.Wait()
}

func runShort(ctx context.Context, t *testing.T, name string, o runOptions) {
	e, ok := find(name)
	if !ok {
		t.Errorf("no experiment %s", name)
		return
	}
	// The runs share the binary, but not their settings, logs and records.
	o.Binary, o.Out = o.binary(), filepath.Join(o.Out, name)
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		t.Errorf("%s: %v", name, err)
		return
	}
	rep := &report{out: io.Discard}
	if err := execute(ctx, e, o, rep); err != nil {
		t.Errorf("%s, seed %d: %v", name, o.Seed, err)
	}
	for _, f := range rep.brokenPromises {
		if !slices.Contains(timedPromises, f.Name) {
			t.Errorf("%s, seed %d: %s is broken: %v %s (bound %v) %s", name, o.Seed, f.Name, f.Value, f.Unit, f.Bound, f.Detail)
		}
	}
}
