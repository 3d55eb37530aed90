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

type fataler interface {
	Helper()
	Fatalf(string, ...any)
}

func mustPlan(t fataler, p *Planner, intent contract.Intent) string {
	t.Helper()
	plan, err := p.Plan(ctx, intent)
	if err != nil {
		t.Fatalf("plan: %v", err)
	}
	return plan.ID
}

// accept confirms n changes, one after the other.
func accept(t fataler, p *Planner, n int) {
	t.Helper()
	for i := range n {
		outcome, err := p.Confirm(ctx, mustPlan(t, p, setZone("region-"+strconv.Itoa(i))))
		if err != nil || outcome.Kind != Accepted {
			t.Fatalf("confirm gives %+v, %v", outcome, err)
		}
	}
}

// Guards against two accepted plans on one base.
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
				t.Errorf("unexpected %+v, %v", outcome, err)
			}
		})
	}
	wg.Wait()
	if accepted.Load() != 1 || refused.Load() != operators-1 {
		t.Fatalf("%d accepted, %d refused", accepted.Load(), refused.Load())
	}
}

// Guards against a confirm that takes effect twice or reports a wrong outcome
// when responses are lost, late or not sent.
func TestConfirmAfterFaults(t *testing.T) {
	cases := []struct {
		faults  []fault
		outcome Outcome
		err     error
		version uint64 // of the head afterwards
	}{
		{[]fault{beforeWrite}, Outcome{}, ErrUnavailable, 0},
		{[]fault{afterWrite}, Outcome{Kind: Accepted, Version: 1}, nil, 1},
		{[]fault{lateWrite}, Outcome{Kind: Accepted, Version: 1}, nil, 1},
		{[]fault{lateWrite, beforeWrite, afterWrite}, Outcome{Kind: Accepted, Version: 1}, nil, 1},
		{[]fault{lateWrite, lateWrite, lateWrite, lateWrite, lateWrite}, Outcome{Kind: OutcomeUnknown}, nil, 0},
	}
	for _, c := range cases {
		fleet := newFakeFleet("a")
		planner := fleet.planner("a")
		id := mustPlan(t, planner, setZone("x"))
		fleet.store.faults = c.faults
		outcome, err := planner.Confirm(ctx, id)
		if outcome != c.outcome || !errors.Is(err, c.err) {
			t.Errorf("faults %v: got %+v, %v", c.faults, outcome, err)
		}
		if h, _ := planner.head(ctx); h.Version != c.version {
			t.Errorf("faults %v: head at %d, want %d", c.faults, h.Version, c.version)
		}
		for range 2 { // repeating is the operator's way out of every fault
			if again, err := planner.Confirm(ctx, id); err != nil || again != (Outcome{Kind: Accepted, Version: 1}) {
				t.Errorf("faults %v: repeated confirm gives %+v, %v", c.faults, again, err)
			}
		}
	}
	if outcome, err := newFakeFleet("a").planner("a").Confirm(ctx, "none"); err != nil || outcome.Kind != UnknownPlan {
		t.Errorf("unknown plan: got %+v, %v", outcome, err)
	}
}

// Guards against a snapshot pointer that makes a confirm fail, because both
// write the head row.
func TestConfirmWhileSnapshotMovesHeadRow(t *testing.T) {
	fleet := newFakeFleet("a")
	planner := fleet.planner("a")
	accept(t, planner, 1)
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

// Guards against a start from a damaged snapshot, and against a start that
// fails because of one.
func TestDamagedSnapshotIsPassedOver(t *testing.T) {
	fleet := newFakeFleet("a")
	accept(t, fleet.planner("a"), 65)
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
			t.Fatalf("damaged %v: got %+v", damaged, got)
		}
	}
}

// Guards against a VM that cannot start, or takes an old or not yet loaded
// peer's configuration, while the store is away.
func TestStartWithStoreAway(t *testing.T) {
	fleet := newFakeFleet("new", "old", "behind", "empty")
	accept(t, fleet.planner("old"), 3)
	fleet.followers["behind"].poll(ctx)
	accept(t, fleet.planner("old"), 45)
	fleet.followers["old"].poll(ctx)
	fleet.store.away = true
	f := fleet.followers["new"]
	f.poll(ctx)
	if !f.Loaded() || f.Index().Version() != 48 {
		t.Fatalf("loaded %v at version %d, want 48", f.Loaded(), f.Index().Version())
	}
	alone := newFakeFleet("x", "y")
	alone.store.away = true
	alone.followers["x"].poll(ctx)
	if alone.followers["x"].Loaded() {
		t.Fatal("loaded without the store and without a loaded peer")
	}
}

// Guards against a running follower that misses heartbeats or wake-ups, or
// does not stop with its context.
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
	accept(t, fleet.planner("a"), 2)
	fleet.followers["a"].poll(ctx)
	f.RecordPeerVersion(fleet.vms[0], 2, time.Now())
	for f.Index().Version() < 2 {
		<-changes
	}
	for _, v := range f.VersionsInForce(ctx, "b", fleet.vms, time.Now()) {
		if !v.Known || v.Version != 2 {
			t.Errorf("in force: %+v", v)
		}
	}
	cancel()
	wg.Wait()
}

// Guards against a version that goes back, or that differs between VMs, under
// random orders of confirms, polls, messages, restores of the store and outages.
func TestVersionsAreMonotonic(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ids := []vm.ID{"a", "b", "c"}
		fleet := newFakeFleet(ids...)
		reached := map[vm.ID]uint64{}
		regions := map[uint64]string{}
		var savedHead store.Item
		slow := &contract.Configuration{} // what a slow read returns in the end
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			id := rapid.SampledFrom(ids).Draw(rt, "vm")
			peer := fleet.vms[rapid.IntRange(0, 2).Draw(rt, "peer")]
			f := fleet.followers[id]
			switch rapid.IntRange(0, 7).Draw(rt, "step") {
			case 0:
				fleet.store.faults = []fault{noFault, rapid.SampledFrom([]fault{noFault, beforeWrite, afterWrite, lateWrite}).Draw(rt, "fault")}
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
				fleet.store.away = !fleet.store.away
			case 4: // a read of an old head, as after a restore of the table
				now := fleet.store.rows[headKey]
				if savedHead.Key != "" {
					fleet.store.rows[headKey] = savedHead
					f.poll(ctx)
				}
				if now.Key != "" {
					fleet.store.rows[headKey], savedHead = now, now
				}
			case 5:
				f.askPeers(ctx)
			case 6:
				slow = f.Index().Configuration()
			case 7:
				f.bringIntoForce(slow, nil)
			}
			for _, id := range ids {
				c := fleet.followers[id].Index().Configuration()
				if c.Version < reached[id] {
					rt.Fatalf("VM %s went from version %d to %d", id, reached[id], c.Version)
				}
				reached[id] = c.Version
				if c.Version > 0 && c.Zones[0].Region != regions[c.Version] {
					rt.Fatalf("VM %s holds region %q at version %d, want %q", id, c.Zones[0].Region, c.Version, regions[c.Version])
				}
			}
		}
	})
}
