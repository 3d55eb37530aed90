package integration

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// binary is the path of the almondstile binary under test.
var binary string

// TestMain builds the binary into a temporary folder before the tests run, so
// that no test uses an outdated binary.
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
	// conditionTimeout bounds the wait for a condition. It only has to end a test
	// whose condition never holds, so it is far longer than a busy machine needs.
	conditionTimeout = 60 * time.Second
	pollInterval     = 50 * time.Millisecond
)

// await polls until the condition holds, and fails the test after
// conditionTimeout. The condition also returns what it observed, for the failure
// message. The description completes the words "until ...".
func await(t *testing.T, description string, condition func() (seen string, ok bool)) {
	t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for {
		seen, ok := condition()
		if ok {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("gave up waiting until %s; last observed: %s", description, seen)
		}
		time.Sleep(pollInterval)
	}
}
