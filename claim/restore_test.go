package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"almondstile/store"
	"almondstile/vm"
)

// Guards against an expiry that reads rows as fast as the table answers. A table
// that went back, or a pass that was cut off, leaves log rows whose claims are gone
// or younger; these are read without a delete.
func TestExpiryPausesForRowsThatStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable(nil)
		claims := New(vm.VM{ID: "a"}, table, time.Now)
		minute := time.Now().Add(-Retention - 3*time.Minute).Truncate(time.Minute)
		table.rows[cursorKey] = store.Item{Key: cursorKey, Version: 1, Value: strconv.AppendInt(nil, minute.Unix(), 10)}
		const missing = 500
		keys := make([]string, missing)
		for i := range keys {
			keys[i] = fmt.Sprintf("%sgone/%d", keyPrefix, i)
		}
		raw, err := json.Marshal(keys)
		if err != nil {
			t.Fatal(err)
		}
		logKey := logPrefix(minute) + "x"
		table.rows[logKey] = store.Item{Key: logKey, Version: 1, Value: raw}
		// Each read of the fake takes 49 ms.
		const readTime = 49 * time.Millisecond
		start := time.Now()
		if err := claims.DeleteExpired(context.Background()); err != nil {
			t.Fatal(err)
		}
		paused := time.Since(start) - missing*readTime
		if want := missing * time.Second / rowsPerSecond; paused < want {
			t.Errorf("%d rows were read with pauses of %v, want at least %v", missing, paused, want)
		}
	})
}

// Shows what docs/PROMISES.md says: the expiry does no harm with a cursor that went
// back to an older copy. It handles the minutes again and deletes only old claims.
func TestCursorThatWentBackDeletesOnlyOldClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		table := newTable(nil)
		claims := New(vm.VM{ID: "a"}, table, time.Now)
		if claim, _, err := claims.Begin(ctx, newRequest("r1", "old")); claim == nil || err != nil {
			t.Fatal("no claim", err)
		}
		lost := maps.Clone(table.rows)
		time.Sleep(Retention + 5*time.Minute)
		if claim, _, err := claims.Begin(ctx, newRequest("r2", "young")); claim == nil || err != nil {
			t.Fatal("no claim", err)
		}
		young := maps.Clone(table.rows)
		if err := claims.DeleteExpired(ctx); err != nil {
			t.Fatal(err)
		}
		delete(table.rows, cursorKey)
		maps.Copy(table.rows, lost)
		if err := claims.DeleteExpired(ctx); err != nil {
			t.Fatal(err)
		}
		for key := range young {
			_, stays := table.rows[key]
			if _, old := lost[key]; stays == old {
				t.Errorf("row %s stays: %v, is old: %v", key, stays, old)
			}
		}
	})
}

// Shows what docs/PROMISES.md says: at most one execution does not hold for a claim
// that the table has acknowledged and lost. The repeat gets a claim of its own.
func TestLostClaimIsGivenOutAgain(t *testing.T) {
	ctx := context.Background()
	table := newTable(nil)
	claims := New(vm.VM{ID: "a"}, table, time.Now)
	if claim, _, err := claims.Begin(ctx, newRequest("r1", "k")); claim == nil || err != nil {
		t.Fatal("no claim", err)
	}
	clear(table.rows)
	if claim, result, _ := claims.Begin(ctx, newRequest("r2", "k")); claim == nil {
		t.Errorf("the repeat got %+v; docs/PROMISES.md says that it is executed again", result)
	}
}
