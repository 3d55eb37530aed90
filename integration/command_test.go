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

// commandLimit ends a command that hangs.
const commandLimit = 60 * time.Second

// ran is a command that has ended.
type ran struct {
	code           int
	stdout, stderr string
}

// run runs a program to its end in a folder. The environment holds no settings
// of almondstile but those given.
func run(t *testing.T, folder string, environment []string, program string, args ...string) ran {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), commandLimit)
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
	// A child that keeps the output open must not hold up the test.
	command.WaitDelay = time.Second
	err := command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) || ctx.Err() != nil {
		t.Fatalf("%s %q: %v", program, args, err)
	}
	return ran{command.ProcessState.ExitCode(), stdout.String(), stderr.String()}
}

// almondstile runs an operators' command at the n-th VM.
func (f *testFleet) almondstile(t *testing.T, n int, args ...string) ran {
	t.Helper()
	return run(t, f.folder, f.environmentOf(n, "operator.token"), binary, args...)
}

func (f *testFleet) environmentOf(n int, token string) []string {
	return []string{
		"ALMONDSTILE_OPERATOR_URL=http://" + f.vms[n].operators,
		"ALMONDSTILE_TOKEN_FILE=" + filepath.Join(f.folder, token),
	}
}

// succeed fails the test unless the command exited with code 0.
func (r ran) succeed(t *testing.T) ran {
	t.Helper()
	return r.exits(t, 0)
}

// exits fails the test unless the command exited with the code and its output
// holds all texts.
func (r ran) exits(t *testing.T, code int, texts ...string) ran {
	t.Helper()
	if r.code != code {
		t.Fatalf("exit code %d instead of %d; stdout %s; stderr %s", r.code, code, r.stdout, r.stderr)
	}
	for _, text := range texts {
		if !strings.Contains(r.stdout+r.stderr, text) {
			t.Fatalf("the output lacks %q; stdout %s; stderr %s", text, r.stdout, r.stderr)
		}
	}
	return r
}

// decode reads the command's JSON output.
func (r ran) decode(t *testing.T, into any) {
	t.Helper()
	if err := json.Unmarshal([]byte(r.stdout), into); err != nil {
		t.Fatalf("%v in %s", err, r.stdout)
	}
}

var planLine = regexp.MustCompile(`(?m)^Plan ([0-9a-f-]{36}) on version (\d+)$`)

// planID returns the ID of the plan that a command printed as text.
func (r ran) planID(t *testing.T) string {
	t.Helper()
	found := planLine.FindStringSubmatch(r.succeed(t).stdout)
	if found == nil {
		t.Fatalf("no plan in %s", r.stdout)
	}
	return found[1]
}

// planFile makes a plan of an intent document at the n-th VM.
func (f *testFleet) planFile(t *testing.T, n int, text string) ran {
	t.Helper()
	name := filepath.Join(f.folder, "intent.toml")
	writeFile(t, name, text)
	return f.almondstile(t, n, "plan", "-f", name)
}

func (f *testFleet) status(t *testing.T, n int) (s operator.Status) {
	t.Helper()
	f.almondstile(t, n, "status", "--json").succeed(t).decode(t, &s)
	return s
}

// awaitVersion waits until the version is in force at all VMs.
func (f *testFleet) awaitVersion(t *testing.T, version uint64) {
	t.Helper()
	for n, v := range f.vms {
		await(t, "the version is in force at "+v.id, func() (string, bool) {
			s := f.status(t, n)
			return fmt.Sprint("version ", s.ConfigurationVersion), s.ConfigurationVersion >= version
		})
	}
}
