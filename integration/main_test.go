package integration

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// binary is the almondstile binary under test.
var binary string

// TestMain builds the binary into a temporary folder, so that no test runs an
// old one.
func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "almondstile-integration-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binary = filepath.Join(folder, "almondstile")
	if out, err := exec.Command("go", "build", "-o", binary, "almondstile/cmd/almondstile").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building almondstile: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

const (
	// conditionLimit bounds the wait for a condition. It only ends a test that
	// would never end, so it is far above what a busy machine needs.
	conditionLimit = 60 * time.Second
	pollPause      = 50 * time.Millisecond
)

// await polls until the condition holds. The condition returns what it saw.
func await(t *testing.T, what string, condition func() (seen string, ok bool)) {
	t.Helper()
	deadline := time.Now().Add(conditionLimit)
	for {
		seen, ok := condition()
		if ok {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("waited in vain until %s; last seen: %s", what, seen)
		}
		time.Sleep(pollPause)
	}
}
