package memory

import (
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// waiters returns the number of calls that wait for bytes.
func (b *testBudget) waiters() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting)
}

// waitForWaiters waits until n calls wait for bytes.
func (b *testBudget) waitForWaiters(t *testing.T, n int) {
	t.Helper()
	for limit := time.Now().Add(5 * time.Second); b.waiters() != n; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%d calls wait, want %d", b.waiters(), n)
		}
	}
}

// Guards against bytes that wake all who wait for more, each of whom looks through all
// connections while the others wait for the lock.
func TestBytesWakeOnlyThoseForWhomThereIsRoom(t *testing.T) {
	const calls, bytesEach = 4, 2 * smallBytes
	b := newTestBudget()
	leaving := b.Open("a", func() {})
	leaving.Begin(Receiving, testTotal)
	if err := leaving.Take(b.Largest()); err != nil {
		t.Fatal(err)
	}
	b.now = b.now.Add(time.Second) // it has stalled and is turned away
	var wg conc.WaitGroup
	defer wg.Wait()
	for range calls {
		l := b.Open("b", func() {})
		l.Begin(Serving, 0)
		wg.Go(func() {
			if err := l.Take(bytesEach); err != nil {
				t.Error(err)
			}
			l.GiveBack(bytesEach)
		})
	}
	b.waitForWaiters(t, calls)
	b.mu.Lock()
	b.giveBack(leaving, bytesEach-1)
	if n := len(b.waiting); n != calls {
		t.Errorf("%d calls still wait after too few bytes were given back, want %d", n, calls)
	}
	b.giveBack(leaving, 1)
	if n := len(b.waiting); n != calls-1 {
		t.Errorf("%d calls still wait after the bytes for one were given back, want %d", n, calls-1)
	}
	b.mu.Unlock()
	leaving.GiveBack(b.Largest() - bytesEach)
}
