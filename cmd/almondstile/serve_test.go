package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"almondstile/cli"
)

// Guards against a serve command that never exits after reading a settings file with
// many faults. Printing them as a chain of joined errors took exponential time.
func TestServePrintsEveryFaultOfASettingsFile(t *testing.T) {
	const unknownKeys = 200
	var text strings.Builder
	for i := range unknownKeys {
		fmt.Fprintf(&text, "unknown_%d = 1\n", i)
	}
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	stderr := os.Stderr
	defer func() { os.Stderr = stderr }()
	captured, err := os.Create(filepath.Join(t.TempDir(), "stderr"))
	if err != nil {
		t.Fatal(err)
	}
	defer captured.Close()
	os.Stderr = captured
	code := cli.Run([]string{"serve", "--settings", path}, serveCommand())
	out, err := os.ReadFile(captured.Name())
	if err != nil {
		t.Fatal(err)
	}
	if code != cli.ExitUsage {
		t.Errorf("exit code %d, want %d", code, cli.ExitUsage)
	}
	for i := range unknownKeys {
		if !strings.Contains(string(out), fmt.Sprintf("unknown_%d ", i)) {
			t.Fatalf("the fault of key unknown_%d is not printed", i)
		}
	}
}
