package fleet

import (
	"fmt"
	"testing"
	"time"

	_ "almondstile/standin/seeded" // fixes the seed of rapid
	"almondstile/vm"
	"almondstile/zone"

	"pgregory.net/rapid"
)

func testVM(z string, i int) vm.VM {
	return vm.VM{ID: vm.ID(fmt.Sprintf("%s-%d", z, i)), Zone: zone.ID(z), Incarnation: "1",
		ControlAddress: fmt.Sprintf("10.0.0.%d:1", i), Strength: 30}
}

// rostersOfOneZone returns the rosters of the VMs of zone a, each knowing all VMs.
func rostersOfOneZone(n int, strength func(i int) int) []*Roster {
	vms := make([]vm.VM, n)
	for i := range vms {
		vms[i] = testVM("a", i)
		vms[i].Strength = strength(i)
	}
	rosters := make([]*Roster, n)
	for i := range rosters {
		rosters[i] = NewRoster(time.Unix(1000, 0), vms[i])
		for _, other := range vms {
			rosters[i].Learn(time.Unix(1000, 0), other)
		}
	}
	return rosters
}

// Guards against a zone with too few relays, and against all VMs becoming relays at
// once when one falls silent. Either could happen when heartbeats are lost and VMs
// stop and start.
func TestZoneKeepsFewRelays(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 30).Draw(t, "vms")
		rosters := rostersOfOneZone(n, func(i int) int { return 10 + 40*(i%2) })
		alive := make([]bool, n)
		for i := range alive {
			alive[i] = true
		}
		now := time.Unix(1000, 0)
		const step = 100 * time.Millisecond
		changed := 0
		for tick := 0; tick < 150; tick++ {
			now = now.Add(step)
			if tick%40 == 39 {
				i := rapid.IntRange(0, n-1).Draw(t, "kill")
				alive[i] = !alive[i]
				changed = tick
			}
			var relays []int
			for i, r := range rosters {
				if alive[i] && r.IsRelay(now) {
					relays = append(relays, i)
				}
			}
			for _, i := range relays {
				for j, r := range rosters {
					if i != j && alive[j] && rapid.IntRange(0, 19).Draw(t, "lost") > 0 {
						r.RecordMessage(now, rosters[i].Self(), true, time.Minute)
					}
				}
			}
			living := 0
			for _, a := range alive {
				if a {
					living++
				}
			}
			settled := tick-changed > 25
			if settled && len(relays) < min(RelaysPerZone, living) {
				t.Fatalf("tick %d: %d relays among %d running VMs", tick, len(relays), living)
			}
			if settled && len(relays) > RelaysPerZone+2 {
				t.Fatalf("tick %d: %d relays, too many", tick, len(relays))
			}
		}
	})
}

// Guards against choosing VMs as relays that have a tenth of the bandwidth of
// others.
func TestStrongVMsRelayFirst(t *testing.T) {
	t.Parallel()
	rosters := rostersOfOneZone(20, func(i int) int {
		if i < 4 {
			return 80
		}
		return 10
	})
	for _, v := range rosters[10].relayOrders.zone("a")[:4] {
		if v.Strength < 80 {
			t.Errorf("%s with strength %d ranks among the first", v.ID, v.Strength)
		}
	}
}

// Guards against groups of zones that are cut off from each other and together
// admit more than a team's rate, because their connected shares exceed 1 in total.
func TestConnectedSharesOfSeparatedZonesAddUpToOne(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		zones := []string{"a", "b", "c"}
		var all []vm.VM
		for _, z := range zones {
			for i := range rapid.IntRange(1, 12).Draw(t, "vms") {
				all = append(all, testVM(z, i))
			}
		}
		group := map[string]int{}
		for _, z := range zones {
			group[z] = rapid.IntRange(0, 2).Draw(t, "group")
		}
		now := time.Unix(1000, 0)
		shares := map[int]float64{}
		for _, self := range all {
			r := NewRoster(now, self)
			for _, v := range all {
				r.Learn(now, v)
				if v.ID != self.ID && group[string(v.Zone)] == group[string(self.Zone)] {
					r.RecordMessage(now, v, true, time.Minute)
				}
			}
			shares[group[string(self.Zone)]] = max(shares[group[string(self.Zone)]], r.ConnectedShare(now))
			if cutOff := r.ConnectedShare(now.Add(time.Minute)); cutOff > 1/float64(len(all))+1e-9 {
				t.Fatalf("a VM that receives no messages has a connected share of %v", cutOff)
			}
		}
		sum := 0.0
		for _, share := range shares {
			sum += share
		}
		if sum > 1+1e-9 {
			t.Fatalf("the connected shares add up to %v", sum)
		}
	})
}
