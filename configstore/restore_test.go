package configstore

import (
	"maps"
	"strings"
	"testing"
	"time"

	"almondstile/contract"
	"almondstile/store"
	"almondstile/vm"
	"almondstile/zone"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

// copyRows returns a copy of the table. Objects are not copied: the object store
// loses nothing.
func (s *fakeStore) copyRows() map[string]store.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.rows)
}

// restoreRows puts the table back to a copy.
func (s *fakeStore) restoreRows(rows map[string]store.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = maps.Clone(rows)
}

// pollAll polls the store at all VMs.
func (f *fakeFleet) pollAll() {
	for _, v := range f.vms {
		f.followers[v.ID].poll(ctx)
	}
}

// writeBackAtOnce makes the VMs write lost versions back at their next poll after
// the one that notices the loss.
func (f *fakeFleet) writeBackAtOnce() {
	for _, follower := range f.followers {
		follower.writeBackSpread = time.Nanosecond
	}
}

// Guards against a fleet whose operators can change nothing any more after the
// table lost accepted versions: each VM refuses to plan below the version in force.
// Also guards against a configuration in force that reverts, and against a VM that
// starts later with the configuration of the older copy.
func TestLostVersionsAreWrittenBack(t *testing.T) {
	fleet := newFakeFleet("a", "b")
	fleet.writeBackAtOnce()
	acceptPlans(t, fleet.planner("a"), 3)
	fleet.pollAll()
	lost := fleet.store.copyRows()
	acceptPlans(t, fleet.planner("a"), 2)
	fleet.pollAll()
	fleet.store.restoreRows(lost)
	for range 2 {
		fleet.pollAll()
		for id, f := range fleet.followers {
			if v := f.Index().Version(); v != 5 {
				t.Fatalf("VM %s is at version %d, want 5", id, v)
			}
		}
	}
	acceptPlans(t, fleet.planner("b"), 1)
	f := fleet.start("c")
	f.poll(ctx)
	fleet.pollAll()
	for id, f := range fleet.followers {
		if c := f.Index().Configuration(); c.Version != 6 || c.Zones[0].Region != "region-0" {
			t.Errorf("VM %s holds %+v, want version 6 with region-0", id, c)
		}
	}
}

// Guards against VMs that write a second loss back at the same moment, because the delay of an
// earlier one, which others repaired, still stands.
func TestDelayOfAWriteBackBeginsAnewWithEachLoss(t *testing.T) {
	fleet := newFakeFleet("a", "b")
	fleet.writeBackAtOnce()
	acceptPlans(t, fleet.planner("a"), 2)
	fleet.pollAll()
	lost := fleet.store.copyRows()
	acceptPlans(t, fleet.planner("a"), 1)
	fleet.pollAll()
	repaired := fleet.store.copyRows()
	fleet.store.restoreRows(lost)
	fleet.followers["b"].poll(ctx) // begins the delay
	fleet.store.restoreRows(repaired)
	acceptPlans(t, fleet.planner("a"), 1)
	fleet.followers["b"].poll(ctx)
	fleet.store.restoreRows(lost)
	fleet.followers["b"].poll(ctx)
	if h, err := fleet.planner("a").head(ctx); err != nil || h.Version != 2 {
		t.Errorf("the head is at version %d (%v) after the first poll of a loss, want 2", h.Version, err)
	}
}

// Guards against a fleet that loses its configuration with a table that lost all
// rows.
func TestEmptyTableIsWrittenAgain(t *testing.T) {
	fleet := newFakeFleet("a", "b")
	fleet.writeBackAtOnce()
	empty := fleet.store.copyRows()
	acceptPlans(t, fleet.planner("a"), 30)
	fleet.followers["b"].poll(ctx) // "a" has no configuration
	fleet.store.restoreRows(empty)
	for range 2 {
		fleet.followers["b"].poll(ctx)
	}
	started := fleet.start("c")
	started.poll(ctx)
	if v := started.Index().Version(); v != 30 {
		t.Errorf("a VM that starts is at version %d, want 30", v)
	}
}

// Shows what docs/PROMISES.md says: versions that no VM has read one by one are not
// written back. The configuration in force stays, and no plan can be made at first.
func TestVersionsThatNoVMHasAreNotWrittenBack(t *testing.T) {
	fleet := newFakeFleet("a")
	acceptPlans(t, fleet.planner("a"), 15)
	lost := fleet.store.copyRows()
	acceptPlans(t, fleet.planner("a"), 30) // with snapshots at 20 and 40
	f := fleet.start("a")
	fleet.writeBackAtOnce()
	f.poll(ctx)
	fleet.store.restoreRows(lost)
	for range 3 {
		f.poll(ctx)
	}
	if v := f.Index().Version(); v != 45 {
		t.Errorf("the VM is at version %d, want 45", v)
	}
	if _, err := fleet.planner("a").Plan(ctx, setZone("x")); !errors.Is(err, ErrInconsistent) {
		t.Errorf("Plan returns %v, want ErrInconsistent", err)
	}
	fleet.start("a").poll(ctx) // all VMs were stopped and start with the older copy
	acceptPlans(t, fleet.planner("a"), 1)
}

// Shows what docs/PROMISES.md says: if a VM that knew only the older copy has made
// changes on it, versions above them that are in force elsewhere are not written
// back, and no plan can be made at first.
func TestLostVersionsAboveANewHistoryBlockPlans(t *testing.T) {
	fleet := newFakeFleet("old", "new")
	fleet.writeBackAtOnce()
	acceptPlans(t, fleet.planner("new"), 1)
	lost := fleet.store.copyRows()
	fleet.followers["new"].poll(ctx)
	acceptPlans(t, fleet.planner("old"), 2)
	fleet.followers["old"].poll(ctx)
	fleet.store.restoreRows(lost)
	addSecondZone(t, fleet.planner("new")) // version 2 again, below version 3
	for range 3 {
		fleet.followers["old"].poll(ctx)
	}
	h, err := fleet.planner("old").head(ctx)
	if v := fleet.followers["old"].Index().Version(); h.Version != 2 || err != nil || v != 3 {
		t.Errorf("the head is at %d (%v) and version %d in force, want 2 and 3", h.Version, err, v)
	}
	if _, err := fleet.planner("old").Plan(ctx, setZone("x")); !errors.Is(err, ErrInconsistent) {
		t.Errorf("Plan returns %v, want ErrInconsistent", err)
	}
}

// Shows what docs/PROMISES.md says: a confirm that is repeated after the table lost
// the accepted plan is not applied twice, but its outcome may be a wrong refusal.
func TestConfirmOfALostPlan(t *testing.T) {
	fleet := newFakeFleet("a")
	fleet.writeBackAtOnce()
	acceptPlans(t, fleet.planner("a"), 1)
	fleet.pollAll()
	unplanned := fleet.store.copyRows()
	id := mustPlan(t, fleet.planner("a"), setZone("x"))
	planned := fleet.store.copyRows()
	if outcome, err := fleet.planner("a").Confirm(ctx, id); err != nil || outcome.Kind != Accepted {
		t.Fatalf("Confirm returns %+v, %v, want accepted", outcome, err)
	}
	fleet.pollAll()
	for want, rows := range map[OutcomeKind]map[string]store.Item{UnknownPlan: unplanned, BaseChanged: planned} {
		fleet.store.restoreRows(rows)
		fleet.pollAll()
		fleet.pollAll() // writes version 2 back
		outcome, err := fleet.planner("a").Confirm(ctx, id)
		if h, _ := fleet.planner("a").head(ctx); err != nil || outcome.Kind != want || h.Version != 2 {
			t.Errorf("Confirm returns %+v, %v at head %d, want %s at head 2", outcome, err, h.Version, want)
		}
	}
}

// Guards against a VM that mixes two histories. The table lost versions, and they
// were given out again by a VM that knew only the older copy. Applying the newest
// change to the lost configuration gives one that no operator has planned, for good.
func TestVersionsGivenOutAgainAreNotMixed(t *testing.T) {
	for _, way := range []string{"store", "peer"} {
		fleet := newFakeFleet("old", "new")
		acceptPlans(t, fleet.planner("new"), 1)
		lost := fleet.store.copyRows()
		fleet.followers["new"].poll(ctx)
		addSecondZone(t, fleet.planner("old"))
		fleet.followers["old"].poll(ctx)
		fleet.store.restoreRows(lost)
		acceptPlans(t, fleet.planner("new"), 2)
		fleet.followers["new"].poll(ctx)
		old := fleet.followers["old"]
		if way == "store" {
			old.poll(ctx)
		} else if err := old.catchUpFrom(ctx, vm.VM{ID: "new"}); err != nil {
			t.Errorf("%s: %v", way, err)
		}
		c := old.Index().Configuration()
		if c.Version != 3 || len(c.Zones) != 1 {
			t.Errorf("%s: the VM holds version %d with zones %+v, want version 3 with one zone", way, c.Version, c.Zones)
		}
	}
}

// Guards against a key that works again at a VM that had its withdrawal in force,
// because the store lost the withdrawal and gave its version out again.
func TestWithdrawnKeyStaysWithdrawn(t *testing.T) {
	fleet := newFakeFleet("old", "new")
	const keyID = "k"
	intent := contract.NewIntent(
		contract.SetTeam{Team: contract.Team{ID: "t", Weight: 1, RatePerSecond: 1, Burst: 1}},
		contract.IssueKey{ID: keyID, Team: "t", SecretHash: strings.Repeat("ab", 32)})
	accept(t, fleet.planner("new"), intent)
	lost := fleet.store.copyRows()
	fleet.followers["new"].poll(ctx)
	accept(t, fleet.planner("old"), contract.NewIntent(contract.WithdrawKey{ID: keyID}))
	old := fleet.followers["old"]
	old.poll(ctx)
	fleet.store.restoreRows(lost)
	acceptPlans(t, fleet.planner("new"), 2)
	for range 2 {
		old.poll(ctx)
		keys := old.Index().Configuration().Keys
		if v := old.Index().Version(); v != 3 || len(keys) != 1 || !keys[0].Withdrawn {
			t.Errorf("the VM holds version %d with keys %+v, want version 3 with the key withdrawn", v, keys)
		}
	}
}

// accept makes and confirms a plan.
func accept(t testingT, p *Planner, intent contract.Intent) {
	t.Helper()
	if outcome, err := p.Confirm(ctx, mustPlan(t, p, intent)); err != nil || outcome.Kind != Accepted {
		t.Fatalf("Confirm returns %+v, %v, want accepted", outcome, err)
	}
}

// addSecondZone accepts a plan that adds a zone.
func addSecondZone(t testingT, p *Planner) {
	t.Helper()
	accept(t, p, contract.NewIntent(contract.SetZone{ID: "second", Region: "r"}))
}

// Guards against a plan that is made on a lost configuration, because the head has
// the same version again: its effect would not be the one that the operator saw.
func TestNoPlanOnALostConfiguration(t *testing.T) {
	fleet := newFakeFleet("old", "new")
	acceptPlans(t, fleet.planner("new"), 1)
	lost := fleet.store.copyRows()
	fleet.followers["new"].poll(ctx)
	addSecondZone(t, fleet.planner("old"))
	fleet.followers["old"].poll(ctx)
	fleet.store.restoreRows(lost)
	acceptPlans(t, fleet.planner("new"), 1)
	acceptPlans(t, fleet.planner("old"), 1)
	for id, f := range fleet.followers {
		f.poll(ctx)
		if c := f.Index().Configuration(); c.Version != 3 || len(c.Zones) != 1 {
			t.Errorf("VM %s holds version %d with zones %+v, want version 3 with one zone", id, c.Version, c.Zones)
		}
	}
}

// Guards against an operator who changes the older copy while a VM still has the
// lost versions in force. They could then not be written back.
func TestNoPlanBelowAVersionInForceElsewhere(t *testing.T) {
	fleet := newFakeFleet("a", "restarted")
	acceptPlans(t, fleet.planner("a"), 1)
	lost := fleet.store.copyRows()
	acceptPlans(t, fleet.planner("a"), 1)
	fleet.followers["a"].poll(ctx)
	fleet.store.restoreRows(lost)
	restarted := fleet.start("restarted")
	restarted.poll(ctx)
	restarted.RecordPeerVersion(fleet.vms[0], 2, time.Now())
	if _, err := fleet.planner("restarted").Plan(ctx, setZone("x")); !errors.Is(err, ErrInconsistent) {
		t.Errorf("Plan returns %v, want ErrInconsistent", err)
	}
}

// Guards against VMs that stay at different configurations of one version, and
// against a configuration that reverts, after random losses of the table. Plans are
// made by any VM, also by one that restarted and knows only the older copy.
func TestVMsAgreeAfterTheTableWentBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ids := []vm.ID{"a", "b", "c"}
		fleet := newFakeFleet(ids...)
		fleet.writeBackAtOnce()
		copies := []map[string]store.Item{fleet.store.copyRows()}
		lastVersions := map[vm.ID]uint64{}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			id := rapid.SampledFrom(ids).Draw(rt, "vm")
			step := rapid.SampledFrom([]string{"plan", "late plan", "poll", "peer", "copy", "restore", "restart"}).Draw(rt, "step")
			switch step {
			case "plan", "late plan":
				planner := fleet.planner(id)
				if step == "late plan" { // may settle lost versions
					planner = fleet.plannerAfter(id, lossWait)
				}
				zoneID := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(rt, "zone")
				intent := contract.NewIntent(contract.SetZone{ID: zone.ID(zoneID), Region: rapid.StringMatching("[a-z]{4}").Draw(rt, "region")})
				if plan, err := planner.Plan(ctx, intent); err == nil {
					_, _ = planner.Confirm(ctx, plan.ID)
				}
			case "poll":
				fleet.followers[id].poll(ctx)
			case "peer":
				_ = fleet.followers[id].catchUpFrom(ctx, vm.VM{ID: rapid.SampledFrom(ids).Draw(rt, "peer")})
			case "copy":
				copies = append(copies, fleet.store.copyRows())
			case "restore":
				fleet.store.restoreRows(rapid.SampledFrom(copies).Draw(rt, "from"))
			case "restart":
				fleet.start(id).writeBackSpread = time.Nanosecond
				lastVersions[id] = 0
			}
			for _, id := range ids {
				if v := fleet.followers[id].Index().Version(); v < lastVersions[id] {
					rt.Fatalf("VM %s went back from version %d to version %d", id, lastVersions[id], v)
				}
				lastVersions[id] = fleet.followers[id].Index().Version()
			}
		}
		// Changes of a VM that started anew pass all lost versions, by one.
		fresh := fleet.start("fresh")
		fresh.poll(ctx)
		newest := fresh.Index().Version()
		for _, v := range lastVersions {
			newest = max(newest, v)
		}
		acceptPlans(rt, fleet.planner("fresh"), int(newest-fresh.Index().Version())+1)
		fresh.poll(ctx)
		fleet.pollAll()
		want, _ := contract.EncodeSnapshot(fresh.Index().Configuration())
		for _, id := range ids {
			got, _ := contract.EncodeSnapshot(fleet.followers[id].Index().Configuration())
			if string(got) != string(want) {
				rt.Fatalf("VM %s holds %s, want %s", id, got, want)
			}
		}
	})
}
