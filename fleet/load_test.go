package fleet

import (
	"fmt"
	"testing"
	"time"

	"almondstile/vm"
)

// BenchmarkStartOfALargeFleet plays what one VM of 292 does when all start: it learns of
// the others one by one, gets a first message of each, and checks after each whether it
// relays.
func BenchmarkStartOfALargeFleet(b *testing.B) {
	const vms, zones = 292, 5
	all := make([]vm.VM, vms)
	for i := range all {
		all[i] = testVM(fmt.Sprintf("zone-%d", i%zones), i)
	}
	b.ReportAllocs()
	for b.Loop() {
		now := time.Unix(1000, 0)
		r := NewRoster(now, all[0])
		for _, v := range all[1:] {
			v.Incarnation = ""
			r.Learn(now, v)
			r.IsRelay(now)
		}
		for _, v := range all[1:] {
			r.RecordMessage(now, v, false, time.Second)
			r.IsRelay(now)
		}
	}
}
