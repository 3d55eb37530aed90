package membership

import (
	"testing"
	"time"

	"almondstile/vm"
)

// startSimulation returns a simulation in which the first running of size VMs have
// joined.
func startSimulation(seed uint64, size, running int) *simulation {
	s := newSimulation(seed, size)
	for _, v := range s.vms[:running] {
		v.start()
	}
	s.run(12 * time.Second)
	return s
}

// Guards against a VM that ends because the table went back to its session row of
// before its restart, which looks as if another process had taken its ID.
func TestOwnSessionOfBeforeTheRestart(t *testing.T) {
	t.Parallel()
	s := startSimulation(1, 3, 3)
	lost := s.platform.CopyTable()
	s.vms[0].alive = false
	s.vms[0].start()
	s.run(15 * time.Second)
	s.platform.RestoreTable(lost)
	s.run(15 * time.Second)
	if left, superseded := s.vms[0].member.HasLeft(); left {
		t.Fatalf("the restarted VM has left, superseded is %v", superseded)
	}
}

// Guards against a leaving VM that tries to leave again at once, for as long as its
// updates of the list fail because the table went back.
func TestLeavingVMPausesBetweenAttempts(t *testing.T) {
	t.Parallel()
	s := startSimulation(1, 4, 3)
	lost := s.platform.CopyTable()
	s.vms[3].start()
	s.run(10 * time.Second)
	for _, v := range s.vms[1:] {
		v.alive = false // no other VM writes the list
	}
	s.platform.RestoreTable(lost)
	before := s.platform.Counters()
	s.vms[0].member.Leave()
	const seconds = 5
	s.run(seconds * time.Second)
	const attemptsPerSecond = int64(time.Second / leaveRetryPause)
	after := s.platform.Counters()
	if n := after.Transactions - before.Transactions; n > seconds*attemptsPerSecond {
		t.Errorf("%d transactions in %d s, want at most %d", n, seconds, seconds*attemptsPerSecond)
	}
	// An attempt reads the version, the list and the session.
	if n := after.Reads - before.Reads; n > seconds*(3*attemptsPerSecond+2) {
		t.Errorf("%d reads in %d s, want at most %d", n, seconds, seconds*(3*attemptsPerSecond+2))
	}
}

// Guards against taking a session that went back to an older copy for a write of
// its VM. Such a write would prove that the VM supports no holder in a store
// outage, although the VM may not have reached the store.
func TestSessionThatWentBackIsNoWrite(t *testing.T) {
	t.Parallel()
	var tracker SessionTracker
	start := time.Unix(1_000_000, 0)
	for i, version := range []uint64{50, 45, 46} {
		at := start.Add(time.Duration(i) * time.Second)
		tracker.Observe(at, at, []SessionRow{{ID: "a", Version: version, Nonce: "i1.0"}}, vm.MemberList{})
		wrote := tracker.WroteBetween("a", start.Add(-time.Second), at.Add(time.Second))
		if want := version == 46; wrote != want {
			t.Errorf("version %d: a write is seen: %v, want %v", version, wrote, want)
		}
	}
}
