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

// fullMessage returns a message of the largest encoded size, and its records: every list
// has its maximum length, and numbers are large.
func fullMessage() (message, []tally.Record) {
	m := message{
		Sender: toMember(vm.VM{ID: "edge-scot-central-a-100", Zone: "scot-central-a", ControlAddress: "10.100.100.100:17560",
			Incarnation: "12345678", Strength: 100}),
		Relay: true, StoreMillis: math.MaxInt32,
		Tables: []tableVersion{{Version: math.MaxUint32, AsOfMillis: math.MaxInt32}, {Version: math.MaxUint32, AsOfMillis: math.MaxInt32}},
	}
	for range maxIntroducedVMs {
		m.Members = append(m.Members, m.Sender)
		m.Zones = append(m.Zones, zoneStatus{Zone: "scot-central-a", AgeMillis: 500, Live: 400, Total: 400})
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
	rest, err := m.addRecords(records)
	if err != nil {
		panic(err)
	}
	return m, records[:len(records)-len(rest)]
}

// Guards against datagrams that the network fragments or drops because the largest
// message does not fit into one packet.
func TestLargestMessageFitsIntoAPacket(t *testing.T) {
	m, _ := fullMessage()
	b, err := encode(m)
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > maxDatagramBytes {
		t.Errorf("the largest message has %d bytes, at most %d fit", len(b), maxDatagramBytes)
	}
}

// Guards against records that encoding and decoding change, and against truncated
// messages that are accepted or crash the process.
func TestMessagesRoundTripAndRejectTruncation(t *testing.T) {
	want, wantRecords := fullMessage()
	b, err := encode(want)
	if err != nil {
		t.Fatal(err)
	}
	var got message
	if err := decode(b, &got); err != nil {
		t.Fatal(err)
	}
	gotRecords, err := got.Records.records()
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(gotRecords, wantRecords) {
		t.Error("encoding and decoding changed the records")
	}
	if zone := fromZones(got.Zones)[0]; zone != (fleet.ZoneStatus{Zone: "scot-central-a", Age: 500 * time.Millisecond, Members: fleet.MemberCount{Live: 400, Total: 400}}) {
		t.Errorf("got zone %+v", zone)
	}
	for n := range b {
		var truncated message
		if decode(b[:n], &truncated) == nil {
			t.Fatalf("a message of %d of %d bytes is accepted", n, len(b))
		}
	}
}

// Guards against datagrams that are half empty: most messages introduce no VMs, and in a
// large fleet the records are most of the traffic.
func TestRecordsFillADatagram(t *testing.T) {
	full, records := fullMessage()
	m := message{Sender: full.Sender, Relay: true, StoreMillis: full.StoreMillis, Tables: full.Tables, UptimeMillis: full.UptimeMillis}
	var many []tally.Record
	for range 10 {
		many = append(many, records...)
	}
	if _, err := m.addRecords(many); err != nil {
		t.Fatal(err)
	}
	b, err := encode(m)
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > maxDatagramBytes || len(b) < maxDatagramBytes*9/10 {
		t.Errorf("a message with as many records as fit has %d bytes, a datagram %d", len(b), maxDatagramBytes)
	}
}
