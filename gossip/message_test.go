package gossip

import (
	"math"
	"reflect"
	"strconv"
	"testing"
	"time"

	"almondstile/fleet"
	"almondstile/tally"
	"almondstile/vm"
)

func fullMessage() message {
	m := message{
		Sender: toMember(vm.VM{ID: "edge-scot-central-a-100", Zone: "scot-central-a", ControlAddress: "10.100.100.100:17560",
			Incarnation: "12345678", Strength: 100}),
		Relay: true, StoreMillis: math.MaxInt32,
		Tables: []tableMark{{Version: math.MaxUint32, AsOfMillis: math.MaxInt32}, {Version: math.MaxUint32, AsOfMillis: math.MaxInt32}},
	}
	for range maxMembers {
		m.Members = append(m.Members, m.Sender)
		m.Zones = append(m.Zones, heardZone{Zone: "scot-central-a", AgeMillis: 500, Live: 400, Total: 400})
	}
	m.Live, m.Total, m.UptimeMillis = 400, 400, math.MaxInt32
	for range fleet.MaxSilentVMs {
		m.Silent = append(m.Silent, math.MaxUint64)
	}
	var records []tally.Record
	for i := range 200 {
		name := strconv.Itoa(i)
		records = append(records, tally.Record{
			Origin: tally.OriginOf(vm.ID(name), name), Subject: tally.SubjectOf(tally.Server, name),
			Counts: tally.Counts{70000, 70000, 300, 300, 7000000}, Uptime: 24 * time.Hour,
		})
	}
	m.Groups = toGroups(records[:fitting(records)])
	return m
}

// Guards against datagrams that the network splits or drops: the largest message
// fits into one packet.
func TestLargestMessageFitsIntoAPacket(t *testing.T) {
	b, err := encode(fullMessage())
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > maxDatagramBytes {
		t.Errorf("the largest message has %d bytes, at most %d fit", len(b), maxDatagramBytes)
	}
}

// Guards against records that change on the way, and against foreign bytes that
// end the process.
func TestMessagesSurviveTheWay(t *testing.T) {
	want := fullMessage()
	b, err := encode(want)
	if err != nil {
		t.Fatal(err)
	}
	var got message
	if err := decode(b, &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(fromGroups(got.Groups), fromGroups(want.Groups)) {
		t.Error("the records changed on the way")
	}
	if heard := fromZones(got.Zones)[0]; heard != (fleet.ZoneStatus{Zone: "scot-central-a", Age: 500 * time.Millisecond, Members: fleet.MemberCount{Live: 400, Total: 400}}) {
		t.Errorf("got zone %+v", heard)
	}
	for n := range b {
		var cut message
		if decode(b[:n], &cut) == nil {
			t.Fatalf("a message of %d of %d bytes is accepted", n, len(b))
		}
	}
}
