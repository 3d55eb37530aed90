package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// disturb applies one fault of a random schedule.
func disturb(t *rapid.T, s *simulation) {
	v := rapid.SampledFrom(s.vms).Draw(t, "vm")
	switch rapid.SampledFrom([]string{"cut", "mend", "pause", "store", "storeOfOne", "late", "crash", "leave", "start"}).Draw(t, "fault") {
	case "cut":
		v.cutTo[rapid.IntRange(0, len(s.vms)-1).Draw(t, "to")] = true
	case "mend":
		v.cutTo, v.toStore, v.fromStore = map[int]bool{}, false, false
		s.storeDown = false
	case "pause":
		v.pausedUntil = s.now + time.Duration(rapid.IntRange(100, 15_000).Draw(t, "ms"))*time.Millisecond
	case "store":
		s.storeDown = rapid.Bool().Draw(t, "down")
		s.hang = rapid.Bool().Draw(t, "hang")
	case "storeOfOne":
		v.toStore = rapid.Bool().Draw(t, "toStore")
		v.fromStore = rapid.Bool().Draw(t, "fromStore")
	case "late":
		s.lateShare = float64(rapid.IntRange(0, 30).Draw(t, "percent")) / 100
	case "crash":
		v.alive = false
	case "leave":
		if v.alive {
			v.member.Leave()
		}
	case "start":
		if left := v.alive && v.member.Answer(v.clock()).Leaving; left || !v.alive {
			v.start()
		}
	}
}

// Guards against two VMs acting in one role at the same true time, under
// one-way cuts, pauses, clock drift, store outages for some or all VMs, lost and
// late responses, crashes, restarts and departures.
func TestAtMostOneVMActsInARole(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 6).Draw(t, "size"))
		s.spreadClocks()
		for _, v := range s.vms {
			v.start()
		}
		s.run(12 * time.Second)
		for range rapid.IntRange(1, 25).Draw(t, "faults") {
			disturb(t, s)
			s.run(time.Duration(rapid.IntRange(50, 8000).Draw(t, "ms")) * time.Millisecond)
			if s.violation != "" {
				t.Fatal(s.violation)
			}
		}
		s.storeDown, s.lateShare = false, 0
		for _, v := range s.vms {
			v.cutTo, v.toStore, v.fromStore, v.pausedUntil = map[int]bool{}, false, false, 0
			if !v.alive || v.member.Answer(v.clock()).Leaving {
				v.start()
			}
		}
		s.run(40 * time.Second)
		if s.violation != "" {
			t.Fatal(s.violation)
		}
		if n := s.unheld(); n > 0 {
			t.Fatalf("%d roles without a VM 40 s after the last fault", n)
		}
	})
}

// Guards against a start of many VMs that takes as many changes of the list as
// there are VMs, or that leaves roles without a VM for long.
func TestTwentyVMsStartAtOnce(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		s := newSimulation(seed, 20)
		for _, v := range s.vms {
			v.start()
		}
		listed := s.until(t, 10*time.Second, "all VMs are in the list", func() bool {
			for _, v := range s.vms {
				if ready, _ := v.member.Ready(v.clock()); !ready || len(v.member.Roster().List.VMs) != len(s.vms) {
					return false
				}
			}
			return true
		})
		held := s.until(t, 20*time.Second, "all roles have a VM", func() bool { return s.unheld() == 0 })
		t.Logf("seed %d: listed after %v, roles held %v later, list version %d", seed, listed, held,
			s.vms[0].member.Roster().List.Version)
	}
}

// Guards against a takeover after a crash that takes longer than the design
// states: 6 s from the last renewal plus 2 s for watching and the new list.
func TestCrashTakeoverTime(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		s := newSimulation(seed, 6)
		for _, v := range s.vms {
			v.start()
		}
		s.until(t, 30*time.Second, "all roles have a VM", func() bool { return s.unheld() == 0 })
		s.run(20 * time.Second)
		s.holders(s.roles[0])[0].alive = false
		took := s.until(t, 8*time.Second, "the next VM takes over", func() bool { return s.unheld() == 0 })
		t.Logf("seed %d: takeover %v after the crash", seed, took)
	}
}

// Guards against holders that stop in a store outage although they hear one
// another, and against false removals when the store returns.
func TestHoldersContinueInAStoreOutage(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		s := newSimulation(seed, 7)
		s.spreadClocks()
		for _, v := range s.vms {
			v.start()
		}
		s.until(t, 30*time.Second, "all roles have a VM", func() bool { return s.unheld() == 0 })
		version := s.vms[0].member.Roster().List.Version
		s.storeDown, s.hang = true, seed%2 == 0
		for range 600 {
			s.run(100 * time.Millisecond)
			if n := s.unheld(); n > 0 || s.violation != "" {
				t.Fatalf("seed %d: %d roles without a VM at %v; %s", seed, n, s.now, s.violation)
			}
		}
		s.storeDown = false
		s.run(20 * time.Second)
		if got := s.vms[0].member.Roster().List.Version; got != version || s.unheld() > 0 {
			t.Fatalf("seed %d: list version %d after the outage, was %d; %d roles without a VM", seed, got, version, s.unheld())
		}
	}
}

// Guards against a graceful departure that leaves roles without a VM for longer
// than the others need to read the list.
func TestDepartureMovesRolesAtOnce(t *testing.T) {
	t.Parallel()
	s := newSimulation(1, 5)
	for _, v := range s.vms {
		v.start()
	}
	s.until(t, 30*time.Second, "all roles have a VM", func() bool { return s.unheld() == 0 })
	s.run(5 * time.Second) // until all VMs have read the list
	leaver := s.holders(s.roles[0])[0]
	leaver.member.Leave()
	took := s.until(t, 2500*time.Millisecond, "the next VM takes over", func() bool { return s.unheld() == 0 })
	if left, superseded := leaver.member.Gone(); !left || superseded {
		t.Fatalf("the VM has not left: %v %v", left, superseded)
	}
	t.Logf("roles held again %v after the departure", took)
}
