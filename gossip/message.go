package gossip

import (
	"time"

	"almondstile/catalog"
	"almondstile/fleet"
	"almondstile/retry"
	"almondstile/tally"
	"almondstile/vm"
	"almondstile/zone"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	// maxDatagramBytes keeps a datagram within one packet on a typical link.
	maxDatagramBytes = 1400
	// maxRecordBytes bounds the records of a datagram. The rest is for the other
	// fields: the sender, the table versions, the zones and the introduced VMs.
	maxRecordBytes = 850
	// maxIntroducedVMs bounds the number of VMs that one datagram introduces: it
	// carries their IDs and addresses, from which receivers learn that they exist.
	maxIntroducedVMs = 3
)

// ErrMalformed marks the errors of messages that cannot be decoded.
var ErrMalformed = errors.New("gossip: malformed message")

// tableVersion is the version and as-of time of the sender's copy of a table.
type tableVersion struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	// AsOfMillis is the store's time, in milliseconds, at which the copy was current.
	AsOfMillis int64
}

// recordGroup holds records of one origin.
type recordGroup struct {
	_      struct{} `cbor:",toarray"`
	Origin []byte
	// UptimeDeciseconds is the origin's uptime in tenths of a second at the last
	// change of the records.
	UptimeDeciseconds int64
	Records           []record
	// Resent is true if the records are sent again after a gap in messages.
	Resent bool
}

// record holds the subject and the counts of a tally.Record. The other fields of the
// tally.Record are in the recordGroup. Trailing zeros of the counts are left out.
type record struct {
	_       struct{} `cbor:",toarray"`
	Subject []byte
	Counts  []uint32
}

// member describes a VM: the sender, or a VM that the sender introduces.
type member struct {
	_           struct{} `cbor:",toarray"`
	ID          vm.ID
	Zone        zone.ID
	Address     string
	Incarnation string
	Strength    int
}

// zoneStatus is the encoded form of a fleet.ZoneStatus: the time since the sender
// last received a message from the zone, and the zone's member count.
type zoneStatus struct {
	_         struct{} `cbor:",toarray"`
	Zone      zone.ID
	AgeMillis int64
	// Live and Total are the zone's member count.
	Live, Total int
}

// message is the content of a datagram.
type message struct {
	_      struct{} `cbor:",toarray"`
	Sender member
	Relay  bool // true if the sender relays for its zone
	// StoreMillis is the sender's estimate of the store's clock in milliseconds, 0 if
	// unknown.
	StoreMillis int64
	Tables      []tableVersion // in the order of catalog.Tables
	// Zones are the zones from which the sender receives messages. Only relays set
	// them.
	Zones   []zoneStatus
	Members []member // the VMs that a relay introduces
	Groups  []recordGroup
	// Live and Total are the member count of the sender's zone. Silent holds the
	// hashes of the zone's VMs from which the sender no longer receives messages.
	// Only relays set them.
	Live, Total int
	Silent      []fleet.VMHash
	// UptimeMillis is the uptime of the sender's process in milliseconds.
	UptimeMillis int64
}

// pullResponse is the response to a pull: the newer rows of each table, in the order
// of catalog.Tables, and the VMs that the responder knows.
type pullResponse struct {
	_           struct{} `cbor:",toarray"`
	StoreMillis int64
	Tables      []catalog.Delta
	// Members and Attempts are set if the pull asked for them.
	Members  []member
	Attempts attemptWindows
}

// attemptWindows is the encoded form of retry.Windows.
type attemptWindows struct {
	_                 struct{} `cbor:",toarray"`
	CompleteForMillis int64
	Services          []serviceWindow
}

// serviceWindow is the encoded form of a retry.ServiceWindow.
type serviceWindow struct {
	_       struct{} `cbor:",toarray"`
	Subject []byte
	Slots   []slotCounts
}

// slotCounts is the encoded form of a retry.SlotCounts.
type slotCounts struct {
	_              struct{} `cbor:",toarray"`
	Age            int
	First, Retries uint32
}

func toAttemptWindows(w retry.Windows) attemptWindows {
	out := attemptWindows{CompleteForMillis: toMillis(w.CompleteFor)}
	for _, s := range w.Services {
		service := serviceWindow{Subject: []byte(s.Subject)}
		for _, c := range s.Slots {
			service.Slots = append(service.Slots, slotCounts{Age: c.Age, First: c.First, Retries: c.Retries})
		}
		out.Services = append(out.Services, service)
	}
	return out
}

func (w attemptWindows) windows() retry.Windows {
	out := retry.Windows{CompleteFor: fromMillis(w.CompleteForMillis)}
	for _, s := range w.Services {
		service := retry.ServiceWindow{Subject: tally.Subject(s.Subject)}
		for _, c := range s.Slots {
			service.Slots = append(service.Slots, retry.SlotCounts{Age: c.Age, First: c.First, Retries: c.Retries})
		}
		out.Services = append(out.Services, service)
	}
	return out
}

// encode returns v in CBOR.
func encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	return b, errors.Wrap(err, "encoding a gossip message")
}

// decode parses CBOR into v. Its errors are marked with ErrMalformed.
func decode(b []byte, v any) error {
	if err := cbor.Unmarshal(b, v); err != nil {
		return errors.Mark(errors.Wrap(err, "decoding a gossip message"), ErrMalformed)
	}
	return nil
}

func toZones(zones []fleet.ZoneStatus) []zoneStatus {
	out := make([]zoneStatus, len(zones))
	for i, z := range zones {
		out[i] = zoneStatus{Zone: z.Zone, AgeMillis: toMillis(z.Age), Live: z.Members.Live, Total: z.Members.Total}
	}
	return out
}

func fromZones(zones []zoneStatus) []fleet.ZoneStatus {
	out := make([]fleet.ZoneStatus, len(zones))
	for i, z := range zones {
		out[i] = fleet.ZoneStatus{Zone: z.Zone, Age: fromMillis(z.AgeMillis), Members: fleet.MemberCount{Live: z.Live, Total: z.Total}}
	}
	return out
}

// Upper bounds of encoded lengths in bytes.
const (
	groupBytes      = 19 // origin, uptime and the CBOR headers around them
	recordHeadBytes = 14 // subject, and the CBOR headers of subject and counts
	maxCountBytes   = 5
)

// countFitting returns how many of the records, from the first on, fit into one
// datagram. It is at least one if there are records.
func countFitting(records []tally.Record) int {
	groups := make(map[groupKey]bool)
	bytes := 0
	for i, r := range records {
		if k := (groupKey{r.Origin, r.Resent}); !groups[k] {
			groups[k] = true
			bytes += groupBytes
		}
		bytes += recordHeadBytes
		for _, n := range trimTrailingZeros(r.Counts) {
			bytes += countBytes(n)
		}
		if bytes > maxRecordBytes && i > 0 {
			return i
		}
	}
	return len(records)
}

// countBytes returns the length of a count in CBOR.
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

// uptimeUnit is the unit of uptimes in records.
const uptimeUnit = 100 * time.Millisecond

// groupKey holds the properties that the records of a group have in common.
type groupKey struct {
	origin tally.Origin
	resent bool
}

// toGroups groups records by origin and by whether they are resent. The uptime of a
// group is the highest of its records.
func toGroups(records []tally.Record) []recordGroup {
	var out []recordGroup
	indexes := make(map[groupKey]int)
	for _, r := range records {
		k := groupKey{r.Origin, r.Resent}
		i, ok := indexes[k]
		if !ok {
			i = len(out)
			indexes[k] = i
			out = append(out, recordGroup{Origin: []byte(r.Origin), Resent: r.Resent})
		}
		g := &out[i]
		g.UptimeDeciseconds = max(g.UptimeDeciseconds, int64(r.Uptime/uptimeUnit))
		g.Records = append(g.Records, record{Subject: []byte(r.Subject), Counts: trimTrailingZeros(r.Counts)})
	}
	return out
}

// trimTrailingZeros returns the counts without trailing zeros.
func trimTrailingZeros(c tally.Counts) []uint32 {
	n := len(c)
	for n > 0 && c[n-1] == 0 {
		n--
	}
	return c[:n]
}

func fromGroups(groups []recordGroup) []tally.Record {
	var out []tally.Record
	for _, g := range groups {
		for _, r := range g.Records {
			t := tally.Record{Origin: tally.Origin(g.Origin), Subject: tally.Subject(r.Subject),
				Uptime: time.Duration(g.UptimeDeciseconds) * uptimeUnit, Resent: g.Resent}
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

func toMillis(d time.Duration) int64    { return d.Milliseconds() }
func fromMillis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
