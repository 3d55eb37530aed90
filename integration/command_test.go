package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"almondstile/operator"

	"github.com/cockroachdb/errors"
)

// commandTimeout bounds the run time of one command, so that a command that
// hangs fails its test.
const commandTimeout = 60 * time.Second

// commandResult is the exit code and the output of a command that has ended.
type commandResult struct {
	exitCode       int
	stdout, stderr string
}

// runCommand runs a program in a folder and waits for its end. The program gets
// the test's environment without the variables of almondstile, and then the
// given variables.
func runCommand(t *testing.T, folder string, environment []string, program string, args ...string) commandResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), commandTimeout)
	defer cancel()
	var stdout, stderr bytes.Buffer
	command := exec.CommandContext(ctx, program, args...)
	command.Dir, command.Stdout, command.Stderr = folder, &stdout, &stderr
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, "ALMONDSTILE_") {
			command.Env = append(command.Env, v)
		}
	}
	command.Env = append(command.Env, environment...)
	// A child process that keeps the output open must not block the test.
	command.WaitDelay = time.Second
	err := command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) || ctx.Err() != nil {
		t.Fatalf("%s %q: %v", program, args, err)
	}
	return commandResult{command.ProcessState.ExitCode(), stdout.String(), stderr.String()}
}

// runAlmondstile runs an operator's command against the n-th VM, with the token
// of an operator.
func (f *testFleet) runAlmondstile(t *testing.T, n int, args ...string) commandResult {
	t.Helper()
	return runCommand(t, f.folder, f.operatorEnvironment(n, "operator.token"), binary, args...)
}

// operatorEnvironment returns the variables that make a command use the n-th VM
// and the token in the named file.
func (f *testFleet) operatorEnvironment(n int, token string) []string {
	return []string{
		"ALMONDSTILE_OPERATOR_URL=http://" + f.vms[n].operatorAddress,
		"ALMONDSTILE_TOKEN_FILE=" + filepath.Join(f.folder, token),
	}
}

// expectSuccess fails the test unless the command exited with code 0.
func (r commandResult) expectSuccess(t *testing.T) commandResult {
	t.Helper()
	return r.expectExit(t, 0)
}

// expectExit fails the test unless the command exited with the code and its
// output, stdout and stderr together, contains all texts.
func (r commandResult) expectExit(t *testing.T, code int, texts ...string) commandResult {
	t.Helper()
	if r.exitCode != code {
		t.Fatalf("got exit code %d, want %d; stdout %s; stderr %s", r.exitCode, code, r.stdout, r.stderr)
	}
	for _, text := range texts {
		if !strings.Contains(r.stdout+r.stderr, text) {
			t.Fatalf("the output does not contain %q; stdout %s; stderr %s", text, r.stdout, r.stderr)
		}
	}
	return r
}

// decodeJSON decodes the command's stdout as JSON.
func (r commandResult) decodeJSON(t *testing.T, into any) {
	t.Helper()
	if err := json.Unmarshal([]byte(r.stdout), into); err != nil {
		t.Fatalf("decoding the output: %v; stdout %s", err, r.stdout)
	}
}

// planLine matches the line with a plan's ID and base version.
var planLine = regexp.MustCompile(`(?m)^Plan ([0-9a-f-]{36}) on version (\d+)$`)

// planID returns the plan ID in the text output of a command that must have
// succeeded.
func (r commandResult) planID(t *testing.T) string {
	t.Helper()
	found := planLine.FindStringSubmatch(r.expectSuccess(t).stdout)
	if found == nil {
		t.Fatalf("the output names no plan ID: %s", r.stdout)
	}
	return found[1]
}

// planIntent writes an intent document to a file and runs the command plan with
// it against the n-th VM.
func (f *testFleet) planIntent(t *testing.T, n int, text string) commandResult {
	t.Helper()
	name := filepath.Join(f.folder, "intent.toml")
	writeFile(t, name, text)
	return f.runAlmondstile(t, n, "plan", "-f", name)
}

func (f *testFleet) status(t *testing.T, n int) (s operator.Status) {
	t.Helper()
	f.runAlmondstile(t, n, "status", "--json").expectSuccess(t).decodeJSON(t, &s)
	return s
}

// awaitVersion waits until the version, or a later one, is in force at all VMs.
func (f *testFleet) awaitVersion(t *testing.T, version uint64) {
	t.Helper()
	for n, v := range f.vms {
		await(t, "the version is in force at "+v.id, func() (string, bool) {
			s := f.status(t, n)
			return fmt.Sprint("version ", s.ConfigurationVersion), s.ConfigurationVersion >= version
		})
	}
}
