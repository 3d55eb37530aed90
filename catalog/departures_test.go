package catalog

import (
	"testing"
	"time"
)

// registered returns the row of the server "a".
func registered(value string, version uint64) Row {
	return Row{Key: "a", Value: []byte(value), Version: version}
}

// usable reports whether the server "a" may get new requests.
func (c *testCatalog) usable() bool {
	r := c.View().Servers["a"]
	return r != nil && c.View().AcceptsNewRequests(r)
}

// goBackTo applies the servers' table after the store went back, a second later.
func (c *testCatalog) goBackTo(rows ...Row) {
	c.now += time.Second
	c.Apply(ServerTable, Changes{FullTable: true, Version: 8, AsOf: c.storeNow(), Rows: rows})
}

// Guards against new requests to a server that has said that it leaves, because an older
// copy of the store shows it as ready.
func TestDrainingServerStaysSoAfterTheStoreWentBack(t *testing.T) {
	c := newTestCatalog()
	c.Apply(ServerTable, Changes{FullTable: true, Version: 5, AsOf: c.storeNow(), Rows: []Row{registered("ok", 5)}})
	c.Apply(ServerTable, Changes{Version: 50, AsOf: c.storeNow(), Rows: []Row{registered("draining", 50)}})
	c.goBackTo(registered("ok", 5))
	if c.usable() {
		t.Error("the server is used again after the store went back")
	}
	c.Apply(ServerTable, Changes{Version: 50, AsOf: c.storeNow(), Rows: []Row{registered("ok", 50)}})
	if c.usable() {
		t.Error("the server is used again after the same incarnation registered")
	}
	c.Apply(ServerTable, Changes{Version: 51, AsOf: c.storeNow(), Rows: []Row{registered("restarted", 51)}})
	if !c.usable() {
		t.Error("the server's next incarnation is not used")
	}
}

// Guards against new requests to a server that has left, because an older copy of the store
// still holds its registration. Only what the copy shows after registrations without a
// writer have lapsed counts.
func TestServerThatLeftStaysSoAfterTheStoreWentBack(t *testing.T) {
	for _, last := range []string{"ok", "draining"} {
		c := newTestCatalog()
		c.Apply(ServerTable, Changes{FullTable: true, Version: 5, AsOf: c.storeNow(), Rows: []Row{registered("ok", 5)}})
		c.Apply(ServerTable, Changes{Version: 50, AsOf: c.storeNow(), Rows: []Row{registered(last, 50)}})
		c.Apply(ServerTable, Changes{Version: 51, AsOf: c.storeNow(), Rows: []Row{{Key: "a", Version: 51, Removed: true}}})
		c.goBackTo(registered("ok", 5))
		if c.usable() {
			t.Errorf("a server that left (last %s) is used when the store has gone back", last)
		}
		c.now += returnDistrust
		c.DeleteExpired()
		if want := last == "ok"; c.usable() != want {
			t.Errorf("a server whose last registration was %s is usable %v when registrations without a writer have lapsed, want %v", last, c.usable(), want)
		}
	}
}

// Guards against a zone that gets new requests because the store lost that operators had
// taken it out, before they can write that again.
func TestZoneStaysOutWhileOperatorsWriteAgain(t *testing.T) {
	c := newTestCatalog()
	out := Row{Key: "out", Value: []byte("zone-a"), Version: 50}
	c.Apply(OperatorTable, Changes{FullTable: true, Version: 50, AsOf: c.storeNow(), Rows: []Row{out}})
	c.now += time.Second
	c.Apply(OperatorTable, Changes{FullTable: true, Version: 8, AsOf: c.storeNow()})
	if !c.View().ZonesOut["zone-a"] {
		t.Error("the zone is in use as soon as the store has gone back")
	}
	c.now += 2 * removalGrace
	c.DeleteExpired()
	if c.View().ZonesOut["zone-a"] {
		t.Error("the zone is still out, although the operators did not write that again")
	}
}

// Guards against new requests to a server that has left, because the store goes back a
// second time, to a copy with another row of the server.
func TestServerThatLeftStaysSoAfterTwoRestores(t *testing.T) {
	c := newTestCatalog()
	c.Apply(ServerTable, Changes{FullTable: true, Version: 50, AsOf: c.storeNow(), Rows: []Row{registered("ok", 50)}})
	c.Apply(ServerTable, Changes{Version: 51, AsOf: c.storeNow(), Rows: []Row{{Key: "a", Version: 51, Removed: true}}})
	c.goBackTo(registered("ok", 5))
	if c.usable() {
		t.Fatal("the server is used after the first restore")
	}
	c.now += 500 * time.Millisecond
	c.Apply(ServerTable, Changes{FullTable: true, Version: 4, AsOf: c.storeNow(), Rows: []Row{registered("ok", 3)}})
	if c.usable() {
		t.Error("the server is used after the second restore")
	}
}

// Guards against a server that never said that it leaves and counts as draining for good,
// because its registration lapsed while it was not trusted and the store went back again.
func TestServerThatNeverDrainedIsUsedAfterTwoRestores(t *testing.T) {
	c := newTestCatalog()
	removed := func(version uint64) Changes {
		return Changes{Version: version, AsOf: c.storeNow(), Rows: []Row{{Key: "a", Version: version, Removed: true}}}
	}
	c.Apply(ServerTable, Changes{FullTable: true, Version: 50, AsOf: c.storeNow(), Rows: []Row{registered("ok", 50)}})
	c.Apply(ServerTable, removed(51))
	c.goBackTo(registered("ok", 5)) // not trusted
	for range 3 {
		c.now += time.Second
		c.Apply(ServerTable, Changes{Version: 8, AsOf: c.storeNow()})
	}
	c.Apply(ServerTable, removed(9))
	c.now += time.Second
	c.Apply(ServerTable, Changes{FullTable: true, Version: 4, AsOf: c.storeNow(), Rows: []Row{registered("ok", 3)}})
	c.Apply(ServerTable, Changes{Version: 5, AsOf: c.storeNow(), Rows: []Row{registered("ok", 5)}}) // written again
	c.now += 10 * time.Second
	c.DeleteExpired()
	if !c.usable() {
		t.Error("the server that writes its registration is not used")
	}
}
