package fleet

import (
	"fmt"
	"testing"
	"time"

	"almondstile/vm"
)

// deliver passes a message of one VM to another. A relay's message carries the
// member count of its zone and the given silent VMs.
func deliver(to, from *Roster, at time.Time, silent []VMHash) Gap {
	relay := from.IsRelay(at)
	to.RecordMessage(at, from.self, relay, time.Minute)
	if !relay {
		return Gap{}
	}
	count, _ := from.CountMembers(at)
	return to.RecordMemberCount(at, from.self.Zone, count, silent)
}

// exchangeMessages lets all VMs of each group send a message to each other every
// 100 ms, for a number of rounds. It returns the time of the last round.
func exchangeMessages(groups [][]*Roster, from time.Time, rounds int) time.Time {
	at := from
	for range rounds {
		at = at.Add(100 * time.Millisecond)
		for _, group := range groups {
			for _, a := range group {
				for _, b := range group {
					if a != b {
						deliver(b, a, at, nil)
					}
				}
			}
		}
	}
	return at
}

// rostersOfZones returns the rosters of VMs in several zones, each knowing all VMs.
func rostersOfZones(zones []string, perZone int, now time.Time) []*Roster {
	var all []vm.VM
	for z := range zones {
		for i := range perZone {
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

// Guards against connected shares of more than 1 in total when a few VMs of each
// zone are cut off together. Both groups still receive messages of all zones, so
// each would count as the whole fleet if one message made a whole zone connected.
func TestConnectedSharesOfGroupsSpanningAllZones(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	all := rostersOfZones([]string{"a", "b", "c"}, 10, start)
	at := exchangeMessages([][]*Roster{all}, start, 20)
	if share := all[0].ConnectedShare(at); share < 0.99 {
		t.Errorf("connected share %.2f while all VMs are connected", share)
	}
	var minority, majority []*Roster
	for i, r := range all {
		if i%10 < 2 {
			minority = append(minority, r)
		} else {
			majority = append(majority, r)
		}
	}
	at = exchangeMessages([][]*Roster{minority, majority}, at, 20)
	if share := minority[0].ConnectedShare(at) + majority[0].ConnectedShare(at); share > 1.01 {
		t.Errorf("the connected shares add up to %.2f: %.2f and %.2f", share, minority[0].ConnectedShare(at), majority[0].ConnectedShare(at))
	}
	if share := majority[0].ConnectedShare(at); share < 0.75 {
		t.Errorf("24 of 30 VMs have a connected share of %.2f", share)
	}
	at = exchangeMessages([][]*Roster{all}, at, 10)
	if share := minority[0].ConnectedShare(at); share < 0.99 {
		t.Errorf("connected share %.2f after the partition", share)
	}
}

// Guards against a VM using a team's whole rate while its relays do not receive its
// messages, although it receives theirs: no other VM learns what it admits. The VM
// detects the gap, and its end, from the relay's list of silent VMs.
func TestVMSilentToItsRelaysCountsAlone(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	all := rostersOfZones([]string{"a"}, 6, start)
	at := exchangeMessages([][]*Roster{all}, start, 20)
	var relay, other *Roster
	for _, r := range all {
		if r.IsRelay(at) {
			relay = r
		} else {
			other = r
		}
	}
	deliver(other, relay, at.Add(100*time.Millisecond), []VMHash{VMHashOf(other.self.ID)})
	at = at.Add(200 * time.Millisecond)
	if share := other.ConnectedShare(at); share > 1.0/6+0.01 {
		t.Errorf("connected share %.2f of a VM that its relay reports as silent", share)
	}
	at = at.Add(2 * time.Second)
	if gap := deliver(other, relay, at, nil); !gap.Ended || at.Sub(gap.Since) < 2*time.Second {
		t.Errorf("gap %+v after the relay receives its messages again", gap)
	}
}

// Guards against refilling tokens for time in which other VMs' messages did not
// arrive: the time of a network partition counts as disconnected, not as connected.
func TestConnectionTimeStopsWhileAZoneIsCutOff(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	all := rostersOfZones([]string{"a", "b"}, 5, start)
	at := exchangeMessages([][]*Roster{all}, start, 20)
	before := all[0].ConnectionTime(at)
	at = exchangeMessages([][]*Roster{all[:5], all[5:]}, at, 20)
	during := all[0].ConnectionTime(at)
	if connected := during.Connected - before.Connected; connected < 900*time.Millisecond || connected > 1100*time.Millisecond {
		t.Errorf("connected time %s in 2 s with half of the VMs", connected)
	}
	at = exchangeMessages([][]*Roster{all}, at, 1)
	if connected := all[0].ConnectionTime(at).Connected - during.Connected; connected > 110*time.Millisecond {
		t.Errorf("connected time %s in the first 0.1 s after the partition", connected)
	}
	at = exchangeMessages([][]*Roster{all}, at, 4)
	after := all[0].ConnectionTime(at)
	if disconnected := after.Disconnected - before.Disconnected; disconnected < 500*time.Millisecond || disconnected > 1300*time.Millisecond {
		t.Errorf("disconnected time %s of 2 s with half of the VMs", disconnected)
	}
}
