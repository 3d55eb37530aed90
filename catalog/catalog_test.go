package catalog

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"almondstile/contract"
	"almondstile/history"
	"almondstile/logging"
	"almondstile/rollout"
	"almondstile/zone"

	"github.com/cockroachdb/errors"
)

// testDecoder decodes a zone that is out from the row with key "out", and a
// configuration in JSON from any other row of OperatorTable. In ServerTable a row
// with the value "ok" is a valid registration, "draining" one that drains, "restarted" one
// of the server's next incarnation, and any other row is invalid.
type testDecoder struct{}

func (testDecoder) DecodeOperator(r Row) (OperatorRow, error) {
	if r.Key == "out" {
		return OperatorRow{ZoneOut: zone.ID(r.Value)}, nil
	}
	var c contract.Configuration
	if err := json.Unmarshal(r.Value, &c); err != nil {
		return OperatorRow{}, errors.Mark(err, ErrInvalidRow)
	}
	return OperatorRow{Configuration: &c}, nil
}

// DecodeRollout decodes a state whose order has the version of the row and the target v2.
func (testDecoder) DecodeRollout(r Row) (rollout.State, error) {
	return rollout.State{Service: contract.ServiceID(r.Key), Target: "v2", OrderVersion: r.Version, Status: rollout.Status(r.Value)}, nil
}

func (testDecoder) DecodeServer(r Row) (Registration, error) {
	registration := Registration{Service: "s", Server: contract.Server{ID: contract.ServerID(r.Key)}}
	switch string(r.Value) {
	case "ok":
	case "draining":
		registration.Draining = true
	case "restarted":
		registration.StartedAt = 1
	default:
		return Registration{}, ErrInvalidRow
	}
	return registration, nil
}

// testCatalog is a Catalog whose local clock is set by the test. The store's clock
// is storeClockLag, 100 s, behind the local clock.
type testCatalog struct {
	*Catalog
	now time.Duration // of the local clock
}

const storeClockLag = 100 * time.Second

func newTestCatalog() *testCatalog {
	c := &testCatalog{now: 200 * time.Second}
	c.Catalog = New(testDecoder{}, func() time.Duration { return c.now }, logging.Discard().Part("catalog"))
	return c
}

// Apply applies the store's answer to a call that starts now.
func (c *testCatalog) Apply(t Table, ch Changes) Result {
	return c.Catalog.Apply(t, c.BeginCall(t), ch)
}

func (c *testCatalog) storeNow() time.Duration { return c.now - storeClockLag }

func configuration(version uint64) []byte {
	b, err := json.Marshal(contract.Configuration{Version: version})
	if err != nil {
		panic(err)
	}
	return b
}

// Guards against a VM that goes back to an older configuration. The older one
// comes from the store as a whole table or as a change, or from another VM.
func TestConfigurationNeverGoesBack(t *testing.T) {
	c := newTestCatalog()
	c.Apply(OperatorTable, Changes{Rows: []Row{{Key: "config", Value: configuration(7), Version: 50}}, Version: 50, AsOf: c.storeNow()})
	c.Apply(OperatorTable, Changes{FullTable: true, Rows: []Row{{Key: "config", Value: configuration(6), Version: 40}}, Version: 40, AsOf: c.storeNow()})
	c.Merge(OperatorTable, Delta{Rows: []Row{{Key: "config", Value: configuration(5), Version: 30}}, Keys: []string{"config"}, Position: history.Position{Version: 30}})
	c.Apply(OperatorTable, Changes{Rows: []Row{{Key: "config", Value: configuration(6), Version: 60}}, Version: 60, AsOf: c.storeNow()})
	if got := c.View().Index.Version(); got != 7 {
		t.Errorf("version %d is in force, want 7", got)
	}
}

// Guards against a copy that is reported as younger than it is. That would happen
// if a stale response of the store, or a message that was delayed in the buffer of
// a suspended VM, counted as current at the time of its receipt.
func TestAgeCountsFromStoreTime(t *testing.T) {
	c := newTestCatalog()
	c.Apply(OperatorTable, Changes{FullTable: true, Version: 50, AsOf: c.storeNow()})
	asOf := c.storeNow()
	c.now += 3 * time.Second
	c.Apply(OperatorTable, Changes{Version: 49, AsOf: c.storeNow()})
	if got := c.Age(OperatorTable); got != 3*time.Second {
		t.Errorf("after a stale response the age is %s, want 3s", got)
	}
	c.StoreClock.Observe(c.now, asOf) // a message that was sent 3 s ago
	c.RecordPeerPosition(OperatorTable, history.Position{Version: 50}, asOf)
	if got := c.Age(OperatorTable); got != 3*time.Second {
		t.Errorf("after a delayed message the age is %s, want 3s", got)
	}
	c.RecordPeerPosition(OperatorTable, history.Position{Version: 50}, c.storeNow())
	if got := c.Age(OperatorTable); got != 0 {
		t.Errorf("after a peer reported the same version as current the age is %s, want 0", got)
	}
	if !c.RecordPeerPosition(OperatorTable, history.Position{Version: 51}, c.storeNow()) {
		t.Error("RecordPeerPosition does not report that a peer's copy is newer")
	}
}

// Guards against one row that cannot be decoded making the other rows of the table
// unusable. Rows are written by other programs, so any row may be invalid.
func TestInvalidRowsAreSkipped(t *testing.T) {
	c := newTestCatalog()
	c.Apply(ServerTable, Changes{FullTable: true, Version: 5, AsOf: c.storeNow(), Rows: []Row{
		{Key: "a", Value: []byte("ok"), Version: 3}, {Key: "b", Value: []byte{0xff}, Version: 4}, {Key: "c", Value: []byte("ok"), Version: 5}}})
	if got := len(c.View().Servers); got != 2 {
		t.Errorf("the view holds %d servers, want 2", got)
	}
	c.Apply(ServerTable, Changes{Version: 6, AsOf: c.storeNow(), Rows: []Row{{Key: "b", Value: []byte("ok"), Version: 6}}})
	if got := len(c.View().Servers); got != 3 {
		t.Errorf("the view holds %d servers after the row became valid, want 3", got)
	}
}

// Guards against losing all servers whose registrations expired while the store
// was unavailable. Also guards against keeping servers that don't register again
// after the outage, and servers that leave when there was no outage.
func TestRegistrationsRemovedAfterOutageAreRetained(t *testing.T) {
	c := newTestCatalog()
	row := func(version uint64) []Row { return []Row{{Key: "a", Value: []byte("ok"), Version: version}} }
	c.Apply(ServerTable, Changes{FullTable: true, Version: 5, AsOf: c.storeNow(), Rows: row(5)})
	c.now += 6 * time.Second // an outage of the store
	c.Apply(ServerTable, Changes{Version: 8, AsOf: c.storeNow(), Rows: []Row{{Key: "a", Version: 8, Removed: true}}})
	if len(c.View().Servers) != 1 {
		t.Error("the server is removed at the end of the outage")
	}
	c.now += 2300 * time.Millisecond
	c.DeleteExpired()
	if len(c.View().Servers) != 0 {
		t.Error("the server is retained although it did not register again")
	}
	c.Apply(ServerTable, Changes{Version: 9, AsOf: c.storeNow(), Rows: row(9)})
	c.now += time.Second
	c.Apply(ServerTable, Changes{Version: 10, AsOf: c.storeNow(), Rows: []Row{{Key: "a", Version: 10, Removed: true}}})
	if len(c.View().Servers) != 0 {
		t.Error("a server that leaves more than 2.2 s after an outage is retained")
	}
}

// Guards against a VM that keeps a deleted row forever because it did not receive
// the row's removal.
func TestDeltasRemoveDeletedRows(t *testing.T) {
	a, b := newTestCatalog(), newTestCatalog()
	rows := []Row{{Key: "x", Value: []byte("ok"), Version: 2}, {Key: "y", Value: []byte("ok"), Version: 3}}
	a.Apply(ServerTable, Changes{FullTable: true, Version: 3, AsOf: a.storeNow(), Rows: rows})
	b.Merge(ServerTable, a.DeltaSince(ServerTable, history.Position{Version: 0}))
	a.Apply(ServerTable, Changes{Version: 4, AsOf: a.storeNow(), Rows: []Row{{Key: "x", Version: 4, Removed: true}}})
	d := a.DeltaSince(ServerTable, history.Position{Version: 3})
	if len(d.Rows) != 0 {
		t.Errorf("the delta holds %d rows that did not change", len(d.Rows))
	}
	b.Merge(ServerTable, d)
	if _, ok := b.View().Servers["x"]; ok || len(b.View().Servers) != 1 {
		t.Errorf("the other VM's view holds %d servers, want y only", len(b.View().Servers))
	}
}

// Guards against new requests to servers of a zone that operators have taken out,
// and against a zone that stays unused after operators have put it back.
func TestZoneOutAcceptsNoNewRequests(t *testing.T) {
	c := newTestCatalog()
	c.Apply(OperatorTable, Changes{Version: 3, AsOf: c.storeNow(), Rows: []Row{{Key: "out", Value: []byte("zone-a"), Version: 3}}})
	r := &Registration{Server: contract.Server{Zone: "zone-a"}}
	if c.View().AcceptsNewRequests(r) {
		t.Error("a server in a zone that is out accepts new requests")
	}
	c.Apply(OperatorTable, Changes{Version: 4, AsOf: c.storeNow(), Rows: []Row{{Key: "out", Version: 4, Removed: true}}})
	if !c.View().AcceptsNewRequests(r) {
		t.Error("a server in a zone that is no longer out accepts no new requests")
	}
}

// Guards against a zone that stays out of use for good because its row was removed
// around the end of an outage. Only servers' registrations lapse during an outage;
// operators' rows are removed by operators.
func TestZonePutBackDuringOutageAcceptsNewRequests(t *testing.T) {
	c := newTestCatalog()
	out := Row{Key: "out", Value: []byte("zone-a"), Version: 3}
	c.Apply(OperatorTable, Changes{FullTable: true, Version: 3, AsOf: c.storeNow(), Rows: []Row{out}})
	c.now += 2 * outageThreshold
	c.Apply(OperatorTable, Changes{Version: 4, AsOf: c.storeNow(), Rows: []Row{{Key: "out", Version: 4, Removed: true}}})
	c.now += 2 * removalGrace
	c.DeleteExpired()
	if !c.View().AcceptsNewRequests(&Registration{Server: contract.Server{Zone: "zone-a"}}) {
		t.Error("the zone is still out of use")
	}
}

// Guards against memory that grows with each server that was ever registered.
func TestRemovedServersAreForgotten(t *testing.T) {
	c := newTestCatalog()
	version := uint64(1)
	c.Apply(ServerTable, Changes{Version: version, AsOf: c.storeNow(), FullTable: true})
	for i := range 10000 {
		key := fmt.Sprintf("server-%d", i)
		value := "ok"
		if i%10 == 0 {
			value = "damaged"
		}
		version++
		c.now += 100 * time.Millisecond
		c.Apply(ServerTable, Changes{Version: version, AsOf: c.storeNow(), Rows: []Row{{Key: key, Value: []byte(value), Version: version}}})
		if i < 5 {
			continue
		}
		version++
		old := fmt.Sprintf("server-%d", i-5)
		c.Apply(ServerTable, Changes{Version: version, AsOf: c.storeNow(), Rows: []Row{{Key: old, Version: version, Removed: true}}})
	}
	if n := len(c.registrations) + len(c.seenRows); n > 30 {
		t.Errorf("%d entries are kept for %d servers", n, len(c.View().Servers))
	}
}
