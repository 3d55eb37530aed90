package catalog

import (
	"encoding/json"
	"testing"
	"time"

	"almondstile/contract"
	"almondstile/logging"
	"almondstile/zone"

	"github.com/cockroachdb/errors"
)

// decoder reads rows whose values are JSON of the wanted type.
type decoder struct{}

func (decoder) DecodeOperator(r Row) (OperatorRow, error) {
	if r.Key == "out" {
		return OperatorRow{ZoneOut: zone.ID(r.Value)}, nil
	}
	var c contract.Configuration
	if err := json.Unmarshal(r.Value, &c); err != nil {
		return OperatorRow{}, errors.Mark(err, ErrInvalidRow)
	}
	return OperatorRow{Configuration: &c}, nil
}

func (decoder) DecodeServer(r Row) (Registration, error) {
	if string(r.Value) != "ok" {
		return Registration{}, ErrInvalidRow
	}
	return Registration{Service: "s", Server: contract.Server{ID: contract.ServerID(r.Key)}}, nil
}

// world is a catalog with a clock that the test sets. The store's clock is 100 s
// behind the local one.
type world struct {
	*Catalog
	now time.Duration
}

const clockDifference = 100 * time.Second

func newWorld() *world {
	w := &world{now: 200 * time.Second}
	w.Catalog = New(decoder{}, func() time.Duration { return w.now }, logging.Discard().Part("catalog"))
	return w
}

func (w *world) store() time.Duration { return w.now - clockDifference }

func configuration(version uint64) []byte {
	b, err := json.Marshal(contract.Configuration{Version: version})
	if err != nil {
		panic(err)
	}
	return b
}

// Guards against a VM going back to an older configuration, from the store or
// from another VM.
func TestConfigurationNeverGoesBack(t *testing.T) {
	w := newWorld()
	w.Apply(OperatorTable, Changes{Rows: []Row{{Key: "config", Value: configuration(7), Version: 50}}, Version: 50, AsOf: w.store()})
	w.Apply(OperatorTable, Changes{FullTable: true, Rows: []Row{{Key: "config", Value: configuration(6), Version: 40}}, Version: 40, AsOf: w.store()})
	w.Merge(OperatorTable, Delta{Rows: []Row{{Key: "config", Value: configuration(5), Version: 30}}, Keys: []string{"config"}, Version: 30})
	w.Apply(OperatorTable, Changes{Rows: []Row{{Key: "config", Value: configuration(6), Version: 60}}, Version: 60, AsOf: w.store()})
	if got := w.View().Index.Version(); got != 7 {
		t.Errorf("version %d is in force, want 7", got)
	}
}

// Guards against an old answer making old knowledge look new: a stale read, and
// a message that waited in the buffer of a suspended VM.
func TestAgeCountsFromTheStoresWord(t *testing.T) {
	w := newWorld()
	w.Apply(OperatorTable, Changes{FullTable: true, Version: 50, AsOf: w.store()})
	asOf := w.store()
	w.now += 3 * time.Second
	w.Apply(OperatorTable, Changes{Version: 49, AsOf: w.store()})
	if got := w.Age(OperatorTable); got != 3*time.Second {
		t.Errorf("after a stale answer the age is %s, want 3s", got)
	}
	w.StoreClock.Observe(w.now, asOf) // sent three seconds ago
	w.RecordPeerVersion(OperatorTable, 50, asOf)
	if got := w.Age(OperatorTable); got != 3*time.Second {
		t.Errorf("after a delayed message the age is %s, want 3s", got)
	}
	w.RecordPeerVersion(OperatorTable, 50, w.store())
	if got := w.Age(OperatorTable); got != 0 {
		t.Errorf("after a confirmation the age is %s, want 0", got)
	}
	if !w.RecordPeerVersion(OperatorTable, 51, w.store()) {
		t.Error("a newer copy elsewhere is not noticed")
	}
}

// Guards against bad rows of other writers taking the good ones with them.
func TestUnreadableRowsAreSkipped(t *testing.T) {
	w := newWorld()
	w.Apply(ServerTable, Changes{FullTable: true, Version: 5, AsOf: w.store(), Rows: []Row{
		{Key: "a", Value: []byte("ok"), Version: 3}, {Key: "b", Value: []byte{0xff}, Version: 4}, {Key: "c", Value: []byte("ok"), Version: 5}}})
	if got := len(w.View().Servers); got != 2 {
		t.Errorf("%d servers are known, want 2", got)
	}
	w.Apply(ServerTable, Changes{Version: 6, AsOf: w.store(), Rows: []Row{{Key: "b", Value: []byte("ok"), Version: 6}}})
	if got := len(w.View().Servers); got != 3 {
		t.Errorf("%d servers are known after the row was mended, want 3", got)
	}
}

// Guards against losing all servers whose registrations lapsed while the store
// was away, and against keeping those that are gone.
func TestRegistrationsThatLapsedInAnOutage(t *testing.T) {
	w := newWorld()
	row := func(version uint64) []Row { return []Row{{Key: "a", Value: []byte("ok"), Version: version}} }
	w.Apply(ServerTable, Changes{FullTable: true, Version: 5, AsOf: w.store(), Rows: row(5)})
	w.now += 6 * time.Second // the store was away
	w.Apply(ServerTable, Changes{Version: 8, AsOf: w.store(), Rows: []Row{{Key: "a", Version: 8, Removed: true}}})
	if len(w.View().Servers) != 1 {
		t.Error("the server is dropped at the store's return")
	}
	w.now += 2300 * time.Millisecond
	w.DeleteExpired()
	if len(w.View().Servers) != 0 {
		t.Error("the server is kept although it did not return")
	}
	w.Apply(ServerTable, Changes{Version: 9, AsOf: w.store(), Rows: row(9)})
	w.now += time.Second
	w.Apply(ServerTable, Changes{Version: 10, AsOf: w.store(), Rows: []Row{{Key: "a", Version: 10, Removed: true}}})
	if len(w.View().Servers) != 0 {
		t.Error("a server that leaves in calm times is kept")
	}
}

// Guards against a VM that missed removals keeping rows forever.
func TestDeltasRemoveWhatIsGone(t *testing.T) {
	a, b := newWorld(), newWorld()
	rows := []Row{{Key: "x", Value: []byte("ok"), Version: 2}, {Key: "y", Value: []byte("ok"), Version: 3}}
	a.Apply(ServerTable, Changes{FullTable: true, Version: 3, AsOf: a.store(), Rows: rows})
	b.Merge(ServerTable, a.DeltaSince(ServerTable, 0))
	a.Apply(ServerTable, Changes{Version: 4, AsOf: a.store(), Rows: []Row{{Key: "x", Version: 4, Removed: true}}})
	d := a.DeltaSince(ServerTable, 3)
	if len(d.Rows) != 0 {
		t.Errorf("the delta holds %d rows that did not change", len(d.Rows))
	}
	b.Merge(ServerTable, d)
	if _, ok := b.View().Servers["x"]; ok || len(b.View().Servers) != 1 {
		t.Errorf("the other VM knows %d servers, want y only", len(b.View().Servers))
	}
}

// Guards against a zone that is out staying in use.
func TestZonesThatAreOut(t *testing.T) {
	w := newWorld()
	w.Apply(OperatorTable, Changes{Version: 3, AsOf: w.store(), Rows: []Row{{Key: "out", Value: []byte("zone-a"), Version: 3}}})
	r := &Registration{Server: contract.Server{Zone: "zone-a"}}
	if w.View().AcceptsNewRequests(r) {
		t.Error("a server in a zone that is out takes new work")
	}
	w.Apply(OperatorTable, Changes{Version: 4, AsOf: w.store(), Rows: []Row{{Key: "out", Version: 4, Removed: true}}})
	if !w.View().AcceptsNewRequests(r) {
		t.Error("a server in a zone that is back takes no work")
	}
}
