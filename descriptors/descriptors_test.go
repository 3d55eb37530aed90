package descriptors

import (
	"testing"

	_ "almondstile/standin/seeded"

	"pgregory.net/rapid"
)

// Guards against shares that leave no descriptors for the store, other VMs and files when
// all callers have requests in service.
func TestSharesLeaveDescriptorsForOtherUses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit(rapid.IntRange(50, 100_000).Draw(t, "stated"))
		used := 2*ForCallers(limit) + ForIdleConnections(limit)
		if used > limit-limit/20 {
			t.Fatalf("%d of %d descriptors are used", used, limit)
		}
	})
}
