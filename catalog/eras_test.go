package catalog

import (
	"testing"
	"time"

	"almondstile/history"
)

// configRow returns the row of the configuration.
func configRow(configurationVersion, rowVersion uint64) Row {
	return Row{Key: "config", Value: configuration(configurationVersion), Version: rowVersion}
}

// Guards against a whole table from which rows are dropped because their versions are lower
// than those of the copy. The store went back, passed the lost versions again and has no
// history from before, so the copy's version is not above the answer's.
func TestWholeTableReplacesRowsWithHigherVersions(t *testing.T) {
	c := newTestCatalog()
	c.Apply(OperatorTable, Changes{FullTable: true, Rows: []Row{configRow(1, 45)}, Version: 50, AsOf: c.storeNow()})
	c.now += time.Second
	c.Apply(OperatorTable, Changes{FullTable: true, Rows: []Row{configRow(2, 30)}, Version: 100, AsOf: c.storeNow()})
	if got := c.View().Index.Version(); got != 2 {
		t.Errorf("configuration %d is in force, want 2, which the whole table holds", got)
	}
}

// Guards against a copy that looks current for good after one answer with a wrong time, so
// that withdrawn keys stay in use while the store cannot be read.
func TestCopyAgesAfterTheStoresClockWentBack(t *testing.T) {
	c := newTestCatalog()
	c.Apply(OperatorTable, Changes{FullTable: true, Rows: []Row{configRow(1, 5)}, Version: 5, AsOf: c.storeNow() + time.Hour})
	for range 50 { // 5 s of correct answers
		c.now += 100 * time.Millisecond
		c.Apply(OperatorTable, Changes{Version: 5, AsOf: c.storeNow()})
	}
	c.now += 30 * time.Second // without any answer
	if age := c.Age(OperatorTable); age < 29*time.Second {
		t.Errorf("the age is %s after 30 s without an answer", age)
	}
}

// Guards against a copy that looks current because another table's copy has found that the
// store went back, and its clock with it, while this table cannot be read.
func TestCopyAgesWhileOnlyAnotherTableIsReadInTheNewEra(t *testing.T) {
	for _, era := range []uint64{0, 2} {
		c := newTestCatalog()
		c.now = 1000 * time.Second
		old := min(era, 1)
		c.Apply(OperatorTable, Changes{FullTable: true, Rows: []Row{configRow(1, 45)}, Version: 50, Era: old, AsOf: c.storeNow()})
		c.Apply(ServerTable, Changes{FullTable: true, Version: 50, Era: old, AsOf: c.storeNow()})
		back := c.storeNow() // the store's clock starts again at 0
		for range 50 {
			c.now += 100 * time.Millisecond
			c.Apply(ServerTable, Changes{FullTable: true, Version: 10, Era: era, AsOf: c.storeNow() - back})
		}
		c.now += 30 * time.Second
		if age := c.Age(OperatorTable); age < 29*time.Second {
			t.Errorf("era %d: the age of the operators' table is %s, 35 s after its last answer", era, age)
		}
	}
}

// Guards against a VM that never follows the store again after one answer with a higher era
// than the store has, or after the store states a lower era or none any more.
func TestStoreThatStatesALowerEraIsFollowed(t *testing.T) {
	for _, later := range []uint64{0, 1} {
		c := newTestCatalog()
		c.Apply(OperatorTable, Changes{FullTable: true, Rows: []Row{configRow(1, 5)}, Version: 5, Era: 2, AsOf: c.storeNow()})
		for range 300 { // 30 s
			c.now += 100 * time.Millisecond
			c.Apply(OperatorTable, Changes{FullTable: true, Rows: []Row{configRow(2, 6)}, Version: 6, Era: later, AsOf: c.storeNow()})
		}
		if got := c.View().Index.Version(); got != 2 {
			t.Errorf("era %d: configuration %d is in force after 30 s of answers with configuration 2", later, got)
		}
	}
}

// Guards against a new era that is found from two single answers of a state that lags
// behind, a minute apart, between which other VMs kept the copy current.
func TestSingleAnswersThatLagDoNotBeginAnEra(t *testing.T) {
	a, c := newTestCatalog(), newTestCatalog()
	lagging := func() Changes {
		return Changes{FullTable: true, Rows: []Row{configRow(1, 5)}, Version: 40, AsOf: c.storeNow() - time.Second}
	}
	c.Apply(OperatorTable, Changes{FullTable: true, Rows: []Row{configRow(1, 5)}, Version: 50, AsOf: c.storeNow()})
	c.Apply(OperatorTable, lagging())
	for i := range uint64(60) {
		c.now += time.Second
		a.now = c.now
		a.Apply(OperatorTable, Changes{FullTable: true, Rows: []Row{configRow(1, 5)}, Version: 51 + i, AsOf: a.storeNow()})
		position, _ := c.PositionAsOf(OperatorTable)
		c.Merge(OperatorTable, a.DeltaSince(OperatorTable, position))
	}
	c.Apply(OperatorTable, lagging())
	if era := c.Era(); era != (history.Era{}) {
		t.Errorf("the second answer that lags began the era %s", era)
	}
}

// Guards against a fleet that goes back to an older copy because one VM gets only answers
// of a state that lags behind.
func TestOneVMBehindALaggingStateDoesNotTakeTheOthersBack(t *testing.T) {
	one, other := newTestCatalog(), newTestCatalog()
	row := Row{Key: "out", Value: []byte("zone-a"), Version: 45}
	fresh := Changes{FullTable: true, Rows: []Row{row}, Version: 50, AsOf: one.storeNow()}
	one.Apply(OperatorTable, fresh)
	other.Apply(OperatorTable, fresh)
	for range 40 {
		one.now += 100 * time.Millisecond
		other.now = one.now
		other.Apply(OperatorTable, Changes{Version: 50, AsOf: other.storeNow()})
		one.Apply(OperatorTable, Changes{FullTable: true, Version: 40, AsOf: one.storeNow() - 10*time.Second})
	}
	before, beforeAsOf := other.PositionAsOf(OperatorTable)
	other.Merge(OperatorTable, one.DeltaSince(OperatorTable, before))
	after, asOf := other.PositionAsOf(OperatorTable)
	if asOf < beforeAsOf {
		t.Errorf("the other VM's copy went from %v as of %s to %v as of %s", before, beforeAsOf, after, asOf)
	}
}

// Guards against servers that are gone and stay in use, because the time until which their
// registrations were retained is one of the store's clock before it went back.
func TestRetainedRowsExpireAfterTheStoresClockWentBack(t *testing.T) {
	c := newTestCatalog()
	c.now = 1000 * time.Second
	c.Apply(ServerTable, Changes{FullTable: true, Version: 50, Era: 1, AsOf: c.storeNow(), Rows: []Row{registered("ok", 50)}})
	c.now += 5 * time.Second // an outage, in which the registration lapsed
	c.Apply(ServerTable, Changes{Version: 51, Era: 1, AsOf: c.storeNow(), Rows: []Row{{Key: "a", Version: 51, Removed: true}}})
	back := c.storeNow()
	for range 100 { // 10 s of answers of a store that went back, with a clock that starts again at 0
		c.now += 100 * time.Millisecond
		c.Apply(ServerTable, Changes{FullTable: true, Version: 10, Era: 2, AsOf: c.storeNow() - back})
		c.DeleteExpired()
	}
	if c.usable() {
		t.Error("a server whose registration is gone is still used 10 s after the store came back")
	}
}

// Guards against copies that look older than they are for minutes, because the estimate of
// the store's clock after the store went back includes the duration of a slow call.
func TestAgeIsRightAfterASlowReadInANewEra(t *testing.T) {
	c := newTestCatalog()
	c.Apply(OperatorTable, Changes{FullTable: true, Version: 50, AsOf: c.storeNow()})
	c.now += time.Second
	call := c.BeginCall(OperatorTable)
	c.now += 290 * time.Millisecond
	c.Catalog.Apply(OperatorTable, call, Changes{FullTable: true, Version: 10, AsOf: c.storeNow()})
	for range 600 { // a minute
		c.now += 100 * time.Millisecond
		c.Apply(OperatorTable, Changes{Version: 10, AsOf: c.storeNow()})
	}
	if age := c.Age(OperatorTable); age > 100*time.Millisecond {
		t.Errorf("the age of a copy that is current is %s a minute later", age)
	}
}

// Guards against a copy that misses what was written while the store gave out its lost
// versions again: one answer had looked older, and then the changes seemed complete.
func TestCopyIsReadAgainAfterAnAnswerThatLookedOlder(t *testing.T) {
	c := newTestCatalog()
	c.Apply(OperatorTable, Changes{FullTable: true, Rows: []Row{configRow(1, 5)}, Version: 50, AsOf: c.storeNow()})
	c.Apply(OperatorTable, Changes{FullTable: true, Rows: []Row{configRow(1, 5)}, Version: 40, AsOf: c.storeNow() - time.Second})
	c.now += time.Second // the store writes the configuration at 45 and gets to 60
	c.Apply(OperatorTable, Changes{Version: 60, AsOf: c.storeNow()})
	if !c.NeedsWholeTable(OperatorTable, time.Hour) {
		t.Fatal("changes are taken for complete")
	}
	c.Apply(OperatorTable, Changes{FullTable: true, Rows: []Row{configRow(2, 45)}, Version: 61, AsOf: c.storeNow()})
	if got := c.View().Index.Version(); got != 2 {
		t.Errorf("configuration %d is in force, want 2", got)
	}
	if c.Era() == (history.Era{}) {
		t.Error("a row that the copy had passed without it begins no era")
	}
	if c.NeedsWholeTable(OperatorTable, time.Hour) {
		t.Error("the whole table is read again and again")
	}
}

// Guards against a store without a stated era that went back unnoticed, and whose changes
// are taken for complete for good.
func TestWholeTableIsReadAtIntervalsWithoutAStatedEra(t *testing.T) {
	for _, era := range []uint64{0, 1} {
		c := newTestCatalog()
		c.Apply(OperatorTable, Changes{FullTable: true, Version: 50, Era: era, AsOf: c.storeNow()})
		c.now += time.Minute
		if got, want := c.NeedsWholeTable(OperatorTable, time.Minute), era == 0; got != want {
			t.Errorf("era %d: the whole table is needed %v after the interval, want %v", era, got, want)
		}
	}
}

// Guards against requests with keys that are rejected because the clock of a later era makes
// a copy look old that is of an earlier one.
func TestCopyOfAnEarlierEraKeepsItsAgeWhenTheStoresClockJumps(t *testing.T) {
	c := newTestCatalog()
	c.Apply(OperatorTable, Changes{FullTable: true, Rows: []Row{configRow(1, 5)}, Version: 5, Era: 1, AsOf: c.storeNow()})
	c.Apply(ServerTable, Changes{FullTable: true, Version: 5, Era: 1, AsOf: c.storeNow()})
	c.now += time.Second
	c.Apply(ServerTable, Changes{FullTable: true, Version: 3, Era: 2, AsOf: c.storeNow() + time.Hour})
	if age := c.Age(OperatorTable); age < time.Second || age > 2*time.Second {
		t.Errorf("the age of the operators' table is %s, a second after its last answer", age)
	}
}

// Guards against requests with keys that are rejected while the whole table of a later era
// cannot be read, because the clock of that era makes the copies look old.
func TestChangesOfALaterEraDoNotMakeCopiesLookOld(t *testing.T) {
	c := newTestCatalog()
	c.Apply(OperatorTable, Changes{FullTable: true, Rows: []Row{configRow(1, 5)}, Version: 5, Era: 1, AsOf: c.storeNow()})
	c.Apply(ServerTable, Changes{FullTable: true, Version: 5, Era: 1, AsOf: c.storeNow()})
	c.now += time.Second
	c.Apply(OperatorTable, Changes{Version: 3, Era: 2, AsOf: c.storeNow() + time.Hour})
	for _, table := range []Table{OperatorTable, ServerTable} {
		if age := c.Age(table); age > 2*time.Second {
			t.Errorf("the age of the table %s is %s, a second after its last answer", table, age)
		}
	}
}

// Guards against a copy that is in doubt for good, and read as a whole at each step, because
// another VM was the first to believe a store that states a lower era.
func TestEraThatAnotherVMFoundInAStoreThatStatesALowerOneIsFollowed(t *testing.T) {
	one, other := newTestCatalog(), newTestCatalog()
	answer := func(c *testCatalog, era uint64) Changes {
		return Changes{FullTable: true, Rows: []Row{configRow(1, 5)}, Version: 6, Era: era, AsOf: c.storeNow()}
	}
	one.Apply(OperatorTable, answer(one, 2))
	other.Apply(OperatorTable, answer(other, 2))
	for range 300 { // 30 s
		one.now += 100 * time.Millisecond
		other.now = one.now
		one.Apply(OperatorTable, answer(one, 1))
		position, _ := other.PositionAsOf(OperatorTable)
		other.Merge(OperatorTable, one.DeltaSince(OperatorTable, position))
	}
	if result := other.Apply(OperatorTable, answer(other, 1)); result == ResultOlder {
		t.Errorf("the result of the store's answer is %s, in the era %s of the other VM", result, other.Era())
	}
	if other.NeedsWholeTable(OperatorTable, time.Hour) {
		t.Error("the whole table is read again and again")
	}
}

// Guards against two VMs that count eras without end, because each takes the number that the
// store states for a change after it has taken over the other's copy.
func TestVMsThatReadAStoreThatStatesALowerEraAgreeOnOneEra(t *testing.T) {
	vms := []*testCatalog{newTestCatalog(), newTestCatalog()}
	answer := func(c *testCatalog, era uint64) Changes {
		return Changes{FullTable: true, Rows: []Row{configRow(1, 5)}, Version: 6, Era: era, AsOf: c.storeNow()}
	}
	for _, c := range vms {
		c.Apply(OperatorTable, answer(c, 2))
	}
	for turn := range 12 { // each VM in turn reads for 5 s, then the other one pulls from it
		reader, other := vms[turn%2], vms[1-turn%2]
		for range 50 {
			reader.now += 100 * time.Millisecond
			other.now = reader.now
			reader.Apply(OperatorTable, answer(reader, 1))
		}
		position, _ := other.PositionAsOf(OperatorTable)
		other.Merge(OperatorTable, reader.DeltaSince(OperatorTable, position))
	}
	for _, c := range vms {
		if found := c.Era().Found; found > 1 {
			t.Errorf("%d eras were found after the store stated a lower one once", found)
		}
	}
}

// Guards against a copy whose doubt ends without a comparison, because another VM's copy came
// in while the whole table was read: what the store lost stays in use, and what it has since
// written is not.
func TestDoubtIsNotEndedByAWholeTableThatWasNotCompared(t *testing.T) {
	c := newTestCatalog()
	c.Apply(OperatorTable, Changes{FullTable: true, Rows: []Row{configRow(1, 45)}, Version: 50, AsOf: c.storeNow()})
	c.Apply(OperatorTable, Changes{Version: 40, AsOf: c.storeNow() - time.Second})
	c.now += time.Second
	call := c.BeginCall(OperatorTable)
	c.Merge(OperatorTable, Delta{Keys: []string{"config"}, Position: history.Position{Version: 60}, AsOf: c.storeNow()})
	c.Catalog.Apply(OperatorTable, call, Changes{FullTable: true, Rows: []Row{configRow(2, 45)}, Version: 60, AsOf: c.storeNow()})
	if got := c.View().Index.Version(); got != 2 && !c.NeedsWholeTable(OperatorTable, time.Hour) {
		t.Errorf("configuration %d is in force, want 2, and the copy is not in doubt any more", got)
	}
}

// Guards against a new era that is found because a peer's copy, read in several pages, has a
// row that is newer than its position.
func TestRowNewerThanThePositionOfACopyBeginsNoEra(t *testing.T) {
	c := newTestCatalog()
	c.Apply(OperatorTable, Changes{FullTable: true, Rows: []Row{configRow(1, 30)}, Version: 50, AsOf: c.storeNow()})
	call := c.BeginCall(OperatorTable)
	c.now += 100 * time.Millisecond
	c.Merge(OperatorTable, Delta{Rows: []Row{configRow(2, 52)}, Keys: []string{"config"}, Position: history.Position{Version: 50}, AsOf: c.storeNow()})
	c.Catalog.Apply(OperatorTable, call, Changes{FullTable: true, Rows: []Row{configRow(1, 30)}, Version: 51, AsOf: c.storeNow() - 100*time.Millisecond})
	if era := c.Era(); era != (history.Era{}) {
		t.Errorf("the era %s began although the store did not go back", era)
	}
}

// Guards against a copy that looks as old as the call that the store held, although the answer
// is current: its VM rejects requests with keys too soon, and reads the store too often.
func TestAgeAfterALongPollIsThatOfTheAnswer(t *testing.T) {
	c := newTestCatalog()
	c.Apply(OperatorTable, Changes{FullTable: true, Version: 50, AsOf: c.storeNow()})
	call := c.BeginCall(OperatorTable)
	c.now += NewReadTimes(maxChangeDelay).longPollWait
	c.Catalog.Apply(OperatorTable, call, Changes{Version: 50, AsOf: c.storeNow()})
	if age := c.Age(OperatorTable); age > 100*time.Millisecond {
		t.Errorf("the age is %s at the receipt of an answer that is current", age)
	}
}

// Guards against requests with keys that are rejected because a message of a VM of the earlier
// era is compared with the clock of the later one, which another table's copy has brought.
func TestMessageOfAnEarlierEraDoesNotAgeACopyByTheLaterClock(t *testing.T) {
	type record func(c *testCatalog, at history.Position, asOf time.Duration)
	announcement := func(c *testCatalog, at history.Position, asOf time.Duration) {
		c.RecordPeerPosition(OperatorTable, at, asOf)
	}
	pull := func(c *testCatalog, at history.Position, asOf time.Duration) {
		c.Merge(OperatorTable, Delta{Keys: []string{"config"}, Position: at, AsOf: asOf})
	}
	for name, test := range map[string]struct {
		one, two history.Era
		record   record
	}{
		"stated eras, announcement": {history.Era{Stated: 1}, history.Era{Stated: 2}, announcement},
		"stated eras, pull":         {history.Era{Stated: 1}, history.Era{Stated: 2}, pull},
		"found eras, announcement":  {history.Era{}, history.Era{Found: 1}, announcement},
		"found eras, pull":          {history.Era{}, history.Era{Found: 1}, pull},
	} {
		c := newTestCatalog()
		c.Apply(OperatorTable, Changes{FullTable: true, Rows: []Row{configRow(1, 5)}, Version: 5, Era: test.one.Stated, AsOf: c.storeNow()})
		c.Apply(ServerTable, Changes{FullTable: true, Version: 5, Era: test.one.Stated, AsOf: c.storeNow()})
		c.now += time.Second
		later := c.storeNow() + time.Hour
		c.StoreClock.Restart(test.two, c.now, later, 1)
		c.Merge(ServerTable, Delta{FullTable: true, Position: history.Position{Era: test.two, Version: 3}, AsOf: later})
		test.record(c, history.Position{Era: test.one, Version: 5}, c.storeNow())
		if age := c.Age(OperatorTable); age > 2*time.Second {
			t.Errorf("%s: the age of the operators' table is %s, a second after its last answer", name, age)
		}
	}
}

// Guards against eras that are found without end because answers alternate between two
// replicas of the store, of which one lags behind and states the current time.
func TestAlternatingReplicasDoNotBeginErasWithoutEnd(t *testing.T) {
	c := newTestCatalog()
	for i := range 300 { // 30 s
		c.now += 100 * time.Millisecond
		ch := Changes{FullTable: true, Rows: []Row{configRow(1, 5)}, Version: 50, AsOf: c.storeNow()}
		if i%2 == 1 {
			ch.Version = 40
		}
		c.Apply(OperatorTable, ch)
	}
	if found := c.Era().Found; found > 5 {
		t.Errorf("%d eras began in 30 s", found)
	}
}

// Guards against a VM that found an era alone, from a state that lags behind, then loses the
// store, and never takes over what the other VMs read.
func TestVMThatFoundAnEraAloneFollowsItsPeersWithoutTheStore(t *testing.T) {
	alone, peer := newTestCatalog(), newTestCatalog()
	fresh := Changes{FullTable: true, Rows: []Row{configRow(1, 5)}, Version: 50, AsOf: alone.storeNow()}
	alone.Apply(OperatorTable, fresh)
	peer.Apply(OperatorTable, fresh)
	for range 40 {
		alone.now += 100 * time.Millisecond
		alone.Apply(OperatorTable, Changes{FullTable: true, Rows: []Row{configRow(1, 5)}, Version: 40, AsOf: alone.storeNow() - 10*time.Second})
	}
	for range 600 { // a minute
		alone.now += 100 * time.Millisecond
		peer.now = alone.now
		peer.Apply(OperatorTable, Changes{FullTable: true, Rows: []Row{configRow(2, 55)}, Version: 55, AsOf: peer.storeNow()})
		position, asOf := peer.PositionAsOf(OperatorTable)
		if alone.RecordPeerPosition(OperatorTable, position, asOf) {
			known, _ := alone.PositionAsOf(OperatorTable)
			alone.Merge(OperatorTable, peer.DeltaSince(OperatorTable, known))
		}
		if position, _ := alone.PositionAsOf(OperatorTable); peer.RecordPeerPosition(OperatorTable, position, 0) {
			known, _ := peer.PositionAsOf(OperatorTable)
			peer.Merge(OperatorTable, alone.DeltaSince(OperatorTable, known))
		}
	}
	if got := alone.View().Index.Version(); got != 2 {
		t.Errorf("configuration %d is in force a minute after its peer read 2; the age is %s", got, alone.Age(OperatorTable))
	}
}
