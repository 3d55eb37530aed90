package configstore

import (
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"almondstile/contract"
	_ "almondstile/standin/seeded" // fixes the seed of rapid
	"almondstile/store"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"
)

var ctx = context.Background()

// testingT is implemented by *testing.T and *rapid.T.
type testingT interface {
	Helper()
	Fatalf(string, ...any)
}

// mustPlan makes a plan and returns its ID.
func mustPlan(t testingT, p *Planner, intent contract.Intent) string {
	t.Helper()
	plan, err := p.Plan(ctx, intent)
	if err != nil {
		t.Fatalf("planning fails: %v", err)
	}
	return plan.ID
}

// acceptPlans makes and confirms n plans, one after the other. The last one sets the
// zone's region to "region-" followed by n-1.
func acceptPlans(t testingT, p *Planner, n int) {
	t.Helper()
	for i := range n {
		outcome, err := p.Confirm(ctx, mustPlan(t, p, setZone("region-"+strconv.Itoa(i))))
		if err != nil || outcome.Kind != Accepted {
			t.Fatalf("Confirm returns %+v, %v, want accepted", outcome, err)
		}
	}
}

// Guards against two accepted plans on the same base version. Eight operators make
// plans on version 0 and confirm them at the same time, at two VMs.
func TestRacingConfirmsOneWins(t *testing.T) {
	fleet := newFakeFleet("a", "b")
	const operators = 8
	ids := make([]string, operators)
	for i := range ids {
		ids[i] = mustPlan(t, fleet.planner("a"), setZone(strconv.Itoa(i)))
	}
	var accepted, refused atomic.Int32
	var wg conc.WaitGroup
	for i, id := range ids {
		planner := fleet.planner([]vm.ID{"a", "b"}[i%2])
		wg.Go(func() {
			switch outcome, err := planner.Confirm(ctx, id); {
			case err == nil && outcome == Outcome{Kind: Accepted, Version: 1}:
				accepted.Add(1)
			case err == nil && outcome == Outcome{Kind: BaseChanged, CurrentVersion: 1}:
				refused.Add(1)
			default:
				t.Errorf("Confirm returns %+v, %v, want accepted or base-changed at version 1", outcome, err)
			}
		})
	}
	wg.Wait()
	if accepted.Load() != 1 || refused.Load() != operators-1 {
		t.Fatalf("%d plans accepted and %d refused, want 1 and 7", accepted.Load(), refused.Load())
	}
}

// Guards against a plan that takes effect twice, and against Confirm returning a
// wrong outcome. Both can happen if the store does not execute a transaction,
// executes it late, or executes it and its response is lost.
func TestConfirmAfterFaults(t *testing.T) {
	cases := []struct {
		faults  []fault
		outcome Outcome
		err     error
		version uint64 // of the head afterwards
	}{
		{[]fault{failBeforeWrite}, Outcome{}, ErrUnavailable, 0},
		{[]fault{loseResponse}, Outcome{Kind: Accepted, Version: 1}, nil, 1},
		{[]fault{delayWrite}, Outcome{Kind: Accepted, Version: 1}, nil, 1},
		{[]fault{delayWrite, failBeforeWrite, loseResponse}, Outcome{Kind: Accepted, Version: 1}, nil, 1},
		{[]fault{delayWrite, delayWrite, delayWrite, delayWrite, delayWrite}, Outcome{Kind: OutcomeUnknown}, nil, 0},
	}
	for _, c := range cases {
		fleet := newFakeFleet("a")
		planner := fleet.planner("a")
		id := mustPlan(t, planner, setZone("x"))
		fleet.store.faults = c.faults
		outcome, err := planner.Confirm(ctx, id)
		if outcome != c.outcome || !errors.Is(err, c.err) {
			t.Errorf("faults %v: Confirm returns %+v, %v", c.faults, outcome, err)
		}
		if h, _ := planner.head(ctx); h.Version != c.version {
			t.Errorf("faults %v: the head is at version %d, want %d", c.faults, h.Version, c.version)
		}
		for range 2 { // operators repeat the confirm after each of these faults
			if repeated, err := planner.Confirm(ctx, id); err != nil || repeated != (Outcome{Kind: Accepted, Version: 1}) {
				t.Errorf("faults %v: the repeated Confirm returns %+v, %v, want accepted at version 1", c.faults, repeated, err)
			}
		}
	}
	if outcome, err := newFakeFleet("a").planner("a").Confirm(ctx, "none"); err != nil || outcome.Kind != UnknownPlan {
		t.Errorf("Confirm of a plan that does not exist returns %+v, %v", outcome, err)
	}
}

// Guards against a confirm that fails because a snapshot is written at the same
// time. Both write the head row, so the condition of the confirm's transaction does
// not hold.
func TestConfirmWhileSnapshotMovesHeadRow(t *testing.T) {
	fleet := newFakeFleet("a")
	planner := fleet.planner("a")
	acceptPlans(t, planner, 1)
	id := mustPlan(t, planner, setZone("x"))
	fleet.store.beforeTransact = func() {
		if _, err := planner.Snapshot(ctx); err != nil {
			t.Error(err)
		}
	}
	if outcome, err := planner.Confirm(ctx, id); err != nil || outcome.Version != 2 {
		t.Fatalf("got %+v, %v", outcome, err)
	}
}

// Guards against a VM that starts with the content of a damaged snapshot, and
// against a VM that cannot start because of one. The newest snapshot, or both, are
// truncated; an older snapshot or the deltas are used instead.
func TestDamagedSnapshotIsSkipped(t *testing.T) {
	fleet := newFakeFleet("a")
	acceptPlans(t, fleet.planner("a"), 65)
	h, _ := fleet.planner("a").head(ctx)
	if fmt.Sprint(h.Snapshots) != "[60 40]" {
		t.Fatalf("snapshots %v, want [60 40]", h.Snapshots)
	}
	for _, damaged := range [][]uint64{{}, {60}, {60, 40}} {
		for _, version := range damaged {
			fleet.store.objects[SnapshotName(version)] = []byte("almondstile-snapshot 1 truncated")
		}
		f := fleet.start("b")
		f.poll(ctx)
		if got := f.Index().Configuration(); got.Version != 65 || got.Zones[0].Region != "region-64" {
			t.Fatalf("damaged snapshots %v: the configuration is %+v, want version 65 with region-64", damaged, got)
		}
	}
}

// Guards against a VM that cannot start while the store is unavailable. It must load
// the configuration from the peer with the newest version, not from a peer with an
// older one or from one that has not loaded any.
func TestStartWithStoreUnavailable(t *testing.T) {
	fleet := newFakeFleet("new", "old", "behind", "empty")
	acceptPlans(t, fleet.planner("old"), 3)
	fleet.followers["behind"].poll(ctx)
	acceptPlans(t, fleet.planner("old"), 45)
	fleet.followers["old"].poll(ctx)
	fleet.store.unavailable = true
	f := fleet.followers["new"]
	f.poll(ctx)
	if !f.Loaded() || f.Index().Version() != 48 {
		t.Fatalf("loaded is %v at version %d, want true at version 48", f.Loaded(), f.Index().Version())
	}
	unloaded := newFakeFleet("x", "y")
	unloaded.store.unavailable = true
	unloaded.followers["x"].poll(ctx)
	if unloaded.followers["x"].Loaded() {
		t.Fatal("a VM loaded a configuration although the store is unavailable and no peer has one")
	}
}

// Guards against a running follower that misses a newer version which a peer reports
// in a heartbeat, loses the wake-up of its catch-up loop, or does not stop when its
// context ends.
func TestRunCatchesUpFromHeartbeat(t *testing.T) {
	fleet := newFakeFleet("a", "b")
	runCtx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	f := fleet.followers["b"]
	changes, unsubscribe := f.Subscribe()
	defer unsubscribe()
	wg.Go(func() { f.Run(runCtx) })
	for !f.Loaded() {
		<-changes
	}
	acceptPlans(t, fleet.planner("a"), 2)
	fleet.followers["a"].poll(ctx)
	f.RecordPeerVersion(fleet.vms[0], 2, time.Now())
	for f.Index().Version() < 2 {
		<-changes
	}
	for _, v := range f.VersionsInForce(ctx, "b", fleet.vms, time.Now()) {
		if !v.Known || v.Version != 2 {
			t.Errorf("VersionsInForce returns %+v, want version 2", v)
		}
	}
	cancel()
	wg.Wait()
}

// Guards against a VM that goes back to a lower version, and against VMs whose
// configurations differ at the same version. The steps are random: confirms, polls,
// messages between VMs, reads of an old head row, and outages of the store.
func TestVersionsAreMonotonic(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ids := []vm.ID{"a", "b", "c"}
		fleet := newFakeFleet(ids...)
		lastVersions := map[vm.ID]uint64{}
		regions := map[uint64]string{}
		var savedHead store.Item
		slowRead := &contract.Configuration{} // the result of a read that ends late
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			id := rapid.SampledFrom(ids).Draw(rt, "vm")
			peer := fleet.vms[rapid.IntRange(0, 2).Draw(rt, "peer")]
			f := fleet.followers[id]
			switch rapid.IntRange(0, 7).Draw(rt, "step") {
			case 0:
				fleet.store.faults = []fault{noFault, rapid.SampledFrom([]fault{noFault, failBeforeWrite, loseResponse, delayWrite}).Draw(rt, "fault")}
				plan, err := fleet.planner(id).Plan(ctx, setZone(strconv.Itoa(len(regions))))
				if err == nil {
					if outcome, _ := fleet.planner(id).Confirm(ctx, plan.ID); outcome.Kind == Accepted {
						if _, twice := regions[outcome.Version]; twice {
							rt.Fatalf("version %d accepted twice", outcome.Version)
						}
						regions[outcome.Version] = strconv.Itoa(len(regions))
					}
				}
				fleet.store.faults = nil
			case 1:
				f.poll(ctx)
			case 2:
				_ = f.catchUpFrom(ctx, peer)
			case 3:
				fleet.store.unavailable = !fleet.store.unavailable
			case 4: // a read of an old head row, as after the table was restored from a backup
				currentHead := fleet.store.rows[headKey]
				if savedHead.Key != "" {
					fleet.store.rows[headKey] = savedHead
					f.poll(ctx)
				}
				if currentHead.Key != "" {
					fleet.store.rows[headKey], savedHead = currentHead, currentHead
				}
			case 5:
				f.loadFromPeers(ctx)
			case 6:
				slowRead = f.Index().Configuration()
			case 7:
				f.activate(slowRead, nil)
			}
			for _, id := range ids {
				c := fleet.followers[id].Index().Configuration()
				if c.Version < lastVersions[id] {
					rt.Fatalf("VM %s went back from version %d to version %d", id, lastVersions[id], c.Version)
				}
				lastVersions[id] = c.Version
				if c.Version > 0 && c.Zones[0].Region != regions[c.Version] {
					rt.Fatalf("VM %s holds region %q at version %d, want %q", id, c.Zones[0].Region, c.Version, regions[c.Version])
				}
			}
		}
	})
}
