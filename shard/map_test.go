package shard

import (
	"strconv"
	"testing"

	"github.com/sourcegraph/conc"
)

// Guards against lost updates when several goroutines update the same key at the
// same time.
func TestMapUpdateIsAtomicPerKey(t *testing.T) {
	var m Map[string, int]
	const goroutines, rounds = 8, 500
	var wg conc.WaitGroup
	for g := 0; g < goroutines; g++ {
		wg.Go(func() {
			for i := 0; i < rounds; i++ {
				m.Update(strconv.Itoa(i%7), func(n int, _ bool) (int, bool) { return n + 1, true })
			}
		})
	}
	wg.Wait()
	total := 0
	m.Range(func(_ string, n int) bool { total += n; return n%2 == 1 })
	if total != goroutines*rounds {
		t.Fatalf("total %d, want %d", total, goroutines*rounds)
	}
}
