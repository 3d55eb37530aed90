package fleet

import (
	"fmt"
	"testing"
	"time"

	"almondstile/vm"
)

// tell gives a VM a message of another one: its presence and, from a relay, the
// census of its zone.
func tell(to, from *Roster, at time.Time, silent []VMHash) Gap {
	relay := from.IsRelay(at)
	to.RecordMessage(at, from.self, relay, time.Minute)
	if !relay {
		return Gap{}
	}
	census, _ := from.CountMembers(at)
	return to.RecordMemberCount(at, from.self.Zone, census, silent)
}

// rounds lets all VMs of the groups tell each other everything each 100 ms.
func rounds(groups [][]*Roster, from time.Time, n int) time.Time {
	at := from
	for range n {
		at = at.Add(100 * time.Millisecond)
		for _, group := range groups {
			for _, a := range group {
				for _, b := range group {
					if a != b {
						tell(b, a, at, nil)
					}
				}
			}
		}
	}
	return at
}

func rostersOf(zones []string, each int, now time.Time) []*Roster {
	var all []vm.VM
	for z := range zones {
		for i := range each {
			v := testVM(zones[z], i)
			v.ControlAddress = fmt.Sprintf("10.0.%d.%d:1", z, i)
			all = append(all, v)
		}
	}
	var out []*Roster
	for _, v := range all {
		r := NewRoster(now, v)
		for _, other := range all {
			r.Learn(now, other)
		}
		out = append(out, r)
	}
	return out
}

// Guards against a few VMs that are cut off together and hear a VM of each zone:
// they counted as the whole fleet, and so did the others.
func TestReachOfGroupsWithVMsOfAllZones(t *testing.T) {
	start := time.Unix(1000, 0)
	all := rostersOf([]string{"a", "b", "c"}, 10, start)
	at := rounds([][]*Roster{all}, start, 20)
	if reach := all[0].ConnectedShare(at); reach < 0.99 {
		t.Errorf("reach %.2f while all hear each other", reach)
	}
	var few, most []*Roster
	for i, r := range all {
		if i%10 < 2 {
			few = append(few, r)
		} else {
			most = append(most, r)
		}
	}
	at = rounds([][]*Roster{few, most}, at, 20)
	if reach := few[0].ConnectedShare(at) + most[0].ConnectedShare(at); reach > 1.01 {
		t.Errorf("the parts add up to %.2f: %.2f and %.2f", reach, few[0].ConnectedShare(at), most[0].ConnectedShare(at))
	}
	if reach := most[0].ConnectedShare(at); reach < 0.75 {
		t.Errorf("24 of 30 VMs have a reach of %.2f", reach)
	}
	at = rounds([][]*Roster{all}, at, 10)
	if reach := few[0].ConnectedShare(at); reach < 0.99 {
		t.Errorf("reach %.2f after the cut", reach)
	}
}

// Guards against a VM that its relays do not hear, although it hears them, using
// the whole rate: nobody knows what it admits. It learns of it and of the end.
func TestVMThatIsNotHeardCountsAlone(t *testing.T) {
	start := time.Unix(1000, 0)
	all := rostersOf([]string{"a"}, 6, start)
	at := rounds([][]*Roster{all}, start, 20)
	var relay, other *Roster
	for _, r := range all {
		if r.IsRelay(at) {
			relay = r
		} else {
			other = r
		}
	}
	tell(other, relay, at.Add(100*time.Millisecond), []VMHash{VMHashOf(other.self.ID)})
	at = at.Add(200 * time.Millisecond)
	if reach := other.ConnectedShare(at); reach > 1.0/6+0.01 {
		t.Errorf("reach %.2f of a VM that is not heard", reach)
	}
	at = at.Add(2 * time.Second)
	if gap := tell(other, relay, at, nil); !gap.Ended || at.Sub(gap.Since) < 2*time.Second {
		t.Errorf("gap %+v when it is heard again", gap)
	}
}

// Guards against tokens for time that is not covered by messages of the others:
// what passes during a cut is missed, not covered.
func TestCoverageStopsWhenAZoneIsNotHeard(t *testing.T) {
	start := time.Unix(1000, 0)
	all := rostersOf([]string{"a", "b"}, 5, start)
	at := rounds([][]*Roster{all}, start, 20)
	before := all[0].ConnectionTime(at)
	at = rounds([][]*Roster{all[:5], all[5:]}, at, 20)
	during := all[0].ConnectionTime(at)
	if covered := during.Connected - before.Connected; covered < 900*time.Millisecond || covered > 1100*time.Millisecond {
		t.Errorf("covered %s in 2 s with half of the VMs", covered)
	}
	at = rounds([][]*Roster{all}, at, 1)
	if covered := all[0].ConnectionTime(at).Connected - during.Connected; covered > 110*time.Millisecond {
		t.Errorf("covered %s in 0.1 s when the zone is heard again", covered)
	}
	at = rounds([][]*Roster{all}, at, 4)
	after := all[0].ConnectionTime(at)
	if missed := after.Disconnected - before.Disconnected; missed < 500*time.Millisecond || missed > 1300*time.Millisecond {
		t.Errorf("missed %s of 2 s with half of the VMs", missed)
	}
}
