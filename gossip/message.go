package gossip

import (
	"time"

	"almondstile/catalog"
	"almondstile/fleet"
	"almondstile/tally"
	"almondstile/vm"
	"almondstile/zone"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	// maxDatagramBytes keeps a datagram in one packet of a usual link.
	maxDatagramBytes = 1400
	// maxRecordBytes is what the records of a datagram may take; the rest is for
	// its head: the sender, the marks of tables, zones and introduced VMs.
	maxRecordBytes = 850
	// maxMembers bounds the VMs that one datagram introduces.
	maxMembers = 3
)

// ErrMalformed marks a message that cannot be decoded.
var ErrMalformed = errors.New("gossip: the message cannot be decoded")

// tableMark says how new the sender's copy of a table is.
type tableMark struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	// AsOfMillis is the store's time at which the copy was current.
	AsOfMillis int64
}

// group holds the records of one origin.
type group struct {
	_      struct{} `cbor:",toarray"`
	Origin []byte
	// UptimeDeciseconds is how long the origin had run, in tenths of a second,
	// at the last change of the records.
	UptimeDeciseconds int64
	Records           []record
	// Missed says that the records are sent again.
	Missed bool
}

// record is the rest of a tally.Record. Trailing zeros of the counts are left
// out.
type record struct {
	_       struct{} `cbor:",toarray"`
	Subject []byte
	Counts  []uint32
}

// member introduces a VM.
type member struct {
	_           struct{} `cbor:",toarray"`
	ID          vm.ID
	Zone        zone.ID
	Address     string
	Incarnation string
	Strength    int
}

// heardZone says how long ago the sender last heard a zone.
type heardZone struct {
	_         struct{} `cbor:",toarray"`
	Zone      zone.ID
	AgeMillis int64
	// Present and Size are the zone's census.
	Live, Total int
}

// message is a datagram.
type message struct {
	_      struct{} `cbor:",toarray"`
	Sender member
	Relay  bool
	// StoreMillis is the sender's estimate of the store's clock, 0 if unknown.
	StoreMillis int64
	Tables      []tableMark // in the order of catalog.Tables
	// Zones are those that the sender, a relay, hears.
	Zones   []heardZone
	Members []member
	Groups  []group
	// Present and Size are the sender's census of its zone, and Silent the marks of
	// VMs there that it heard before, if it is a relay.
	Live, Total int
	Silent      []fleet.VMHash
	// UptimeMillis is how long the sender's process has run.
	UptimeMillis int64
}

// copies is the answer to a pull.
type copies struct {
	_           struct{} `cbor:",toarray"`
	StoreMillis int64
	Tables      []catalog.Delta
	Members     []member
}

func encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	return b, errors.Wrap(err, "encoding a message")
}

func decode(b []byte, v any) error {
	if err := cbor.Unmarshal(b, v); err != nil {
		return errors.Mark(errors.Wrap(err, "decoding a message"), ErrMalformed)
	}
	return nil
}

func toZones(heard []fleet.ZoneStatus) []heardZone {
	out := make([]heardZone, len(heard))
	for i, z := range heard {
		out[i] = heardZone{Zone: z.Zone, AgeMillis: millis(z.Age), Live: z.Members.Live, Total: z.Members.Total}
	}
	return out
}

func fromZones(zones []heardZone) []fleet.ZoneStatus {
	out := make([]fleet.ZoneStatus, len(zones))
	for i, z := range zones {
		out[i] = fleet.ZoneStatus{Zone: z.Zone, Age: fromMillis(z.AgeMillis), Members: fleet.MemberCount{Live: z.Live, Total: z.Total}}
	}
	return out
}

// Upper bounds of encoded lengths in bytes.
const (
	groupBytes      = 19 // origin, uptime and the heads around them
	recordHeadBytes = 14 // subject and the heads around it and the counts
	maxCountBytes   = 5
)

// fitting returns how many of the records fit into one datagram, at least one.
func fitting(records []tally.Record) int {
	groups := make(map[groupKey]bool)
	size := 0
	for i, r := range records {
		if k := (groupKey{r.Origin, r.Resent}); !groups[k] {
			groups[k] = true
			size += groupBytes
		}
		size += recordHeadBytes
		for _, n := range trim(r.Counts) {
			size += countBytes(n)
		}
		if size > maxRecordBytes && i > 0 {
			return i
		}
	}
	return len(records)
}

// countBytes returns the encoded length of a count.
func countBytes(n uint32) int {
	switch {
	case n < 24:
		return 1
	case n < 1<<8:
		return 2
	case n < 1<<16:
		return 3
	default:
		return maxCountBytes
	}
}

const uptimeUnit = 100 * time.Millisecond

// groupKey tells which records stand in the same group.
type groupKey struct {
	origin tally.Origin
	missed bool
}

// toGroups gathers records by origin.
func toGroups(records []tally.Record) []group {
	var out []group
	at := make(map[groupKey]int)
	for _, r := range records {
		k := groupKey{r.Origin, r.Resent}
		i, ok := at[k]
		if !ok {
			i = len(out)
			at[k] = i
			out = append(out, group{Origin: []byte(r.Origin), Missed: r.Resent})
		}
		g := &out[i]
		g.UptimeDeciseconds = max(g.UptimeDeciseconds, int64(r.Uptime/uptimeUnit))
		g.Records = append(g.Records, record{Subject: []byte(r.Subject), Counts: trim(r.Counts)})
	}
	return out
}

func trim(c tally.Counts) []uint32 {
	n := len(c)
	for n > 0 && c[n-1] == 0 {
		n--
	}
	return c[:n]
}

func fromGroups(groups []group) []tally.Record {
	var out []tally.Record
	for _, g := range groups {
		for _, r := range g.Records {
			t := tally.Record{Origin: tally.Origin(g.Origin), Subject: tally.Subject(r.Subject),
				Uptime: time.Duration(g.UptimeDeciseconds) * uptimeUnit, Resent: g.Missed}
			copy(t.Counts[:], r.Counts)
			out = append(out, t)
		}
	}
	return out
}

func toMember(v vm.VM) member {
	return member{ID: v.ID, Zone: v.Zone, Address: v.ControlAddress, Incarnation: v.Incarnation, Strength: v.Strength}
}

func (m member) vm() vm.VM {
	return vm.VM{ID: m.ID, Zone: m.Zone, ControlAddress: m.Address, Incarnation: m.Incarnation, Strength: m.Strength}
}

func millis(d time.Duration) int64      { return d.Milliseconds() }
func fromMillis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
