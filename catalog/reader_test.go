package catalog

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"almondstile/history"

	"github.com/cockroachdb/errors"
)

// answeringStore is a store whose answers a test determines. It counts the calls.
type answeringStore struct {
	read    func() (Changes, error)
	changes func(after uint64, wait time.Duration) (Changes, error)

	mu    sync.Mutex
	calls int
}

func (s *answeringStore) count() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

func (s *answeringStore) Read(context.Context, Table) (Changes, error) {
	s.count()
	return s.read()
}

func (s *answeringStore) WaitForChanges(_ context.Context, _ Table, after uint64, wait time.Duration) (Changes, error) {
	s.count()
	return s.changes(after, wait)
}

// callCounts is an Observer that counts the results of calls.
type callCounts struct {
	mu     sync.Mutex
	counts map[string]int // by kind and result
}

func (o *callCounts) CopyAge(Table, time.Duration) {}

func (o *callCounts) NewEra(Table, history.Era) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts["new_era"]++
}

func (o *callCounts) StoreCall(_ Table, kind CallKind, result Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[string(kind)+"."+string(result)]++
}

// copyVersion is the version of the VM's copy in the tests of its reader.
const copyVersion = 300

func tableAt(c *testCatalog, version uint64, age time.Duration) func() (Changes, error) {
	return func() (Changes, error) {
		return Changes{FullTable: true, Version: version, AsOf: c.storeNow() - age,
			Rows: []Row{{Key: "config", Value: configuration(1), Version: 40}}}, nil
	}
}

func historyLost(uint64, time.Duration) (Changes, error) { return Changes{}, ErrHistoryLost }

// answerCases are the ways in which a store may answer each call without a wait.
var answerCases = map[string]func(c *testCatalog) *answeringStore{
	"went back to an older copy": func(c *testCatalog) *answeringStore {
		return &answeringStore{read: tableAt(c, copyVersion-40, -time.Second), changes: historyLost}
	},
	"keeps no history": func(c *testCatalog) *answeringStore {
		return &answeringStore{read: tableAt(c, copyVersion, 0), changes: historyLost}
	},
	"lags behind": func(c *testCatalog) *answeringStore {
		return &answeringStore{read: tableAt(c, copyVersion-40, 5*time.Second), changes: historyLost}
	},
	"does not wait": func(c *testCatalog) *answeringStore {
		return &answeringStore{read: tableAt(c, copyVersion, 0), changes: func(after uint64, _ time.Duration) (Changes, error) {
			return Changes{Version: after, AsOf: c.storeNow()}, nil
		}}
	},
	"gives out versions without rows": func(c *testCatalog) *answeringStore {
		return &answeringStore{read: tableAt(c, copyVersion, 0), changes: func(after uint64, _ time.Duration) (Changes, error) {
			return Changes{Version: after + 1, AsOf: c.storeNow()}, nil
		}}
	},
	"changes all the time": func(c *testCatalog) *answeringStore {
		return &answeringStore{read: tableAt(c, copyVersion, 0), changes: func(after uint64, _ time.Duration) (Changes, error) {
			return Changes{Version: after + 1, AsOf: c.storeNow(), Rows: []Row{{Key: "config", Value: configuration(after), Version: after + 1}}}, nil
		}}
	},
	"answers changes of an older version": func(c *testCatalog) *answeringStore {
		return &answeringStore{read: tableAt(c, copyVersion-40, -time.Second), changes: func(uint64, time.Duration) (Changes, error) {
			return Changes{Version: copyVersion - 40, AsOf: c.storeNow() + time.Second}, nil
		}}
	},
	"is overloaded": func(*testCatalog) *answeringStore {
		overloaded := func() (Changes, error) { return Changes{}, ErrOverloaded }
		return &answeringStore{read: overloaded, changes: func(uint64, time.Duration) (Changes, error) { return overloaded() }}
	},
	"is overloaded and without history": func(*testCatalog) *answeringStore {
		return &answeringStore{read: func() (Changes, error) { return Changes{}, ErrOverloaded }, changes: historyLost}
	},
	"fails": func(*testCatalog) *answeringStore {
		failure := errors.New("no answer")
		return &answeringStore{read: func() (Changes, error) { return Changes{}, failure },
			changes: func(uint64, time.Duration) (Changes, error) { return Changes{}, failure }}
	},
}

// readFor runs a first reader of the operators' table against the store, with a copy of
// copyVersion.
func readFor(t *testing.T, c *testCatalog, s *answeringStore, duration time.Duration) *callCounts {
	t.Helper()
	observer := &callCounts{counts: make(map[string]int)}
	c.Observer = observer
	copied, err := tableAt(c, copyVersion, 0)()
	if err != nil {
		t.Fatal(err)
	}
	c.Apply(OperatorTable, copied)
	r := Reader{Catalog: c.Catalog, Store: s, Role: firstReader{}, Times: NewReadTimes(maxChangeDelay), Log: c.log}
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	r.Run(ctx, OperatorTable)
	return observer
}

// Guards against a fleet that floods the store: whatever the store answers, and however
// fast, a VM's calls stay within its share of the platform's 2,000 reads a second over 36
// VMs, of which each of two tables gets half.
func TestReaderPausesAfterEveryAnswer(t *testing.T) {
	const callsPerSecond, duration = 2000 / 36 / 2, time.Second
	for name, newStore := range answerCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newTestCatalog()
			s := newStore(c)
			readFor(t, c, s, duration)
			if bound := int(callsPerSecond * duration.Seconds()); s.calls > bound {
				t.Errorf("%d calls in %s, want at most %d", s.calls, duration, bound)
			}
		})
	}
}

// Guards against metrics that show the same for a store that went back to an older copy,
// one without history and one that lags behind.
func TestResultsOfCallsTellTheStoresFaultsApart(t *testing.T) {
	for name, want := range map[string]string{
		"went back to an older copy": "new_era",
		"keeps no history":           "table." + string(ResultUnchanged),
		"lags behind":                "table." + string(ResultOlder),
		"is overloaded":              "changes." + string(ResultOverloaded),
		"fails":                      "changes." + string(ResultFailed),
		"does not wait":              "changes." + string(ResultUnchanged),
		"changes all the time":       "changes." + string(ResultChanged),
	} {
		c := newTestCatalog()
		o := readFor(t, c, answerCases[name](c), 300*time.Millisecond)
		if o.counts[want] == 0 {
			t.Errorf("%s: no call counted as %s, but %v", name, want, o.counts)
		}
	}
}

// Guards against a VM that lets the store hold a call for changes although it knows that the
// copy is of an earlier era, so that what the new era holds is in force a long poll later.
func TestCopyOfAnEarlierEraIsReadWithoutALongPoll(t *testing.T) {
	c := newTestCatalog()
	began, start := time.Now(), c.now
	c.Catalog = New(testDecoder{}, func() time.Duration { return start + time.Since(began) }, c.log)
	storeNow := func() time.Duration { return start + time.Since(began) - storeClockLag }
	full := func(version uint64, rows ...Row) Changes {
		return Changes{FullTable: true, Version: version, AsOf: storeNow(), Rows: rows}
	}
	c.Catalog.Apply(OperatorTable, c.BeginCall(OperatorTable), full(50, configRow(1, 45)))
	c.Catalog.Apply(ServerTable, c.BeginCall(ServerTable), full(50))
	time.Sleep(10 * time.Millisecond)
	c.Catalog.Apply(ServerTable, c.BeginCall(ServerTable), full(10)) // the store went back
	s := &answeringStore{
		read: func() (Changes, error) { return full(60, configRow(2, 30)), nil },
		changes: func(_ uint64, wait time.Duration) (Changes, error) {
			time.Sleep(wait)
			return Changes{Version: 60, AsOf: storeNow()}, nil
		},
	}
	r := Reader{Catalog: c.Catalog, Store: s, Role: firstReader{}, Times: NewReadTimes(maxChangeDelay), Log: c.log}
	var inForce atomic.Uint64
	time.AfterFunc(500*time.Millisecond, func() { inForce.Store(c.View().Index.Version()) })
	ctx, cancel := context.WithTimeout(context.Background(), 600*time.Millisecond)
	defer cancel()
	r.Run(ctx, OperatorTable)
	if got := inForce.Load(); got != 2 {
		t.Errorf("configuration %d is in force after 0.5 s, want 2", got)
	}
}

// Guards against a reader that pauses for longer after each change that another VM has
// delivered while the call was in progress.
func TestChangeThatAnotherVMDeliveredFirstIsNotIdle(t *testing.T) {
	c, p := newTestCatalog(), newPace(NewReadTimes(maxChangeDelay))
	c.Apply(OperatorTable, Changes{FullTable: true, Rows: []Row{configRow(1, 50)}, Version: 50, AsOf: c.storeNow()})
	for version := uint64(51); version < 56; version++ {
		call, row := c.BeginCall(OperatorTable), configRow(version, version)
		c.Merge(OperatorTable, Delta{Rows: []Row{row}, Keys: []string{"config"}, Position: history.Position{Version: version}, AsOf: c.storeNow()})
		result := c.Catalog.Apply(OperatorTable, call, Changes{Rows: []Row{row}, Version: version, AsOf: c.storeNow()})
		if pause := p.pauseAfter(result, 200*time.Millisecond, 0.5); pause > batchPause {
			t.Errorf("version %d: the result %s is followed by a pause of %s, want at most %s", version, result, pause, batchPause)
		}
	}
}

// Guards against a VM that stops following a store whose answers with changes state no era,
// while its whole tables do.
func TestStoreThatStatesItsEraWithWholeTablesOnlyIsFollowed(t *testing.T) {
	c := newTestCatalog()
	began := time.Now()
	start := c.now
	c.Catalog = New(testDecoder{}, func() time.Duration { return start + time.Since(began) }, c.log)
	storeNow := func() time.Duration { return start + time.Since(began) - storeClockLag }
	s := &answeringStore{
		read: func() (Changes, error) {
			return Changes{FullTable: true, Rows: []Row{configRow(1, 5)}, Version: 5, Era: 1, AsOf: storeNow()}, nil
		},
		changes: func(uint64, time.Duration) (Changes, error) {
			return Changes{Rows: []Row{configRow(2, 6)}, Version: 6, AsOf: storeNow()}, nil
		},
	}
	r := Reader{Catalog: c.Catalog, Store: s, Role: firstReader{}, Times: NewReadTimes(maxChangeDelay), Log: c.log}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	r.Run(ctx, OperatorTable)
	if got := c.View().Index.Version(); got != 2 {
		t.Errorf("configuration %d is in force after 2 s of answers with configuration 2; the age is %s", got, c.Age(OperatorTable))
	}
}

// Guards against eras that are found without end, and copies that go back each time, because
// whole tables come from a state that lags behind while changes are current.
func TestWholeTablesThatLagDoNotBeginErasWhileChangesAreCurrent(t *testing.T) {
	c := newTestCatalog()
	began, start := time.Now(), c.now
	c.Catalog = New(testDecoder{}, func() time.Duration { return start + time.Since(began) }, c.log)
	storeNow := func() time.Duration { return start + time.Since(began) - storeClockLag }
	c.Catalog.Apply(OperatorTable, c.BeginCall(OperatorTable), Changes{FullTable: true, Rows: []Row{configRow(1, 5)}, Version: 50, AsOf: storeNow()})
	s := &answeringStore{
		read: func() (Changes, error) {
			return Changes{FullTable: true, Rows: []Row{configRow(1, 5)}, Version: 40, AsOf: storeNow() - 10*time.Second}, nil
		},
		changes: func(uint64, time.Duration) (Changes, error) {
			time.Sleep(100 * time.Millisecond)
			return Changes{Version: 50, AsOf: storeNow()}, nil
		},
	}
	times := NewReadTimes(maxChangeDelay)
	times.wholeTableInterval = time.Second
	r := Reader{Catalog: c.Catalog, Store: s, Role: firstReader{}, Times: times, Log: c.log}
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	r.Run(ctx, OperatorTable)
	if era := c.Era(); era != (history.Era{}) {
		t.Errorf("the era %s began although all changes continued the copy", era)
	}
}

// Guards against a call that asks for changes since the version of a copy of an earlier era,
// which another VM's copy of a later one replaced just before: the rows between are not read.
func TestChangesAreAskedForSinceTheCopyThatTheyContinue(t *testing.T) {
	c := newTestCatalog()
	c.Apply(OperatorTable, Changes{FullTable: true, Era: 1, Version: 300, AsOf: c.storeNow()})
	merge := func() {
		c.Catalog.Merge(OperatorTable, Delta{FullTable: true, Position: history.Position{Era: history.Era{Stated: 2}, Version: 40}, AsOf: c.storeNow()})
	}
	s := &answeringStore{changes: func(after uint64, _ time.Duration) (Changes, error) {
		ch := Changes{Era: 2, Version: 310, AsOf: c.storeNow()}
		if after < 60 {
			ch.Rows = []Row{configRow(1, 60)}
		}
		return ch, nil
	}}
	calls := 0
	tables, clock := c.Catalog, c.Catalog.clock
	tables.clock = func() time.Duration { // the copy is replaced when the call begins
		if calls++; calls == 2 {
			merge()
		}
		return clock()
	}
	r := Reader{Catalog: tables, Store: s, Role: firstReader{}, Times: NewReadTimes(maxChangeDelay), Log: c.log}
	if _, err := r.readOnce(context.Background(), OperatorTable); err != nil {
		t.Fatal(err)
	}
	if c.View().Index == nil {
		position, _ := c.PositionAsOf(OperatorTable)
		t.Errorf("the configuration of version 60 is not in force, and the copy is at %v", position)
	}
}
