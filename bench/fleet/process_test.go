package fleet

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestMain lets the test binary act as a child process, with the behavior that
// FLEET_TEST_CHILD names.
func TestMain(m *testing.M) {
	switch os.Getenv("FLEET_TEST_CHILD") {
	case "obeys":
		fmt.Println("limits", os.Getenv("GOMAXPROCS"), os.Getenv("GOMEMLIMIT"))
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM)
		fmt.Println("ready")
		<-signals
		os.Exit(0)
	case "ignores":
		signal.Ignore(syscall.SIGTERM)
		fmt.Println("ready")
		time.Sleep(time.Minute)
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func startChild(t *testing.T, behavior string) (p *Process, logPath string) {
	t.Helper()
	t.Setenv("FLEET_TEST_CHILD", behavior)
	logPath = filepath.Join(t.TempDir(), "child.log")
	p, err := StartProcess(logPath, vmLimits, os.Args[0])
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Kill)
	for range 500 {
		if text, _ := os.ReadFile(logPath); strings.Contains(string(text), "ready") {
			return p, logPath
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the child did not report that it is ready within 5 s")
	return nil, ""
}

// Guards against a child that keeps running after Stop because SIGTERM does not
// reach it, and against a child that is started without its resource limits.
func TestStopEndsChild(t *testing.T) {
	p, logPath := startChild(t, "obeys")
	if !p.Stop(10*time.Second) || p.ExitCode() != 0 {
		t.Fatalf("exit code %d", p.ExitCode())
	}
	if text, _ := os.ReadFile(logPath); !strings.Contains(string(text), "limits 2 96MiB") {
		t.Fatalf("log %q", text)
	}
}

// Guards against a Stop that waits forever for a child that ignores SIGTERM, and
// against one that reports the killed child as gracefully ended.
func TestStopKillsChildThatIgnoresSIGTERM(t *testing.T) {
	p, _ := startChild(t, "ignores")
	if p.Stop(50*time.Millisecond) || !p.Ended() {
		t.Fatal("Stop reported a graceful end, or the child is still running")
	}
}

// Guards against two servers that get the same address, because Take returned it
// twice.
func TestTakeReturnsDistinctAddresses(t *testing.T) {
	ports := NewPorts()
	seen := make(map[string]bool)
	for range 200 {
		address, err := ports.Take()
		if err != nil || seen[address] {
			t.Fatalf("%s, error %v", address, err)
		}
		seen[address] = true
	}
}
