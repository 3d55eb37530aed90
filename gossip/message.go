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
	maxRecordBytes = 780
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

// recordColumns holds tally.Records, one column for each field, so that a message of
// many records is decoded without an allocation for each of them. The records stand in
// groups that have the origin, the uptime and the flag in common.
type recordColumns struct {
	_ struct{} `cbor:",toarray"`
	// Origins holds the origin of each group, originBytes long.
	Origins []byte
	// UptimeDeciseconds is for each group the origin's uptime, in tenths of a second, at
	// the last change of the records.
	UptimeDeciseconds []int64
	// Resent is for each group 1 if its records are sent again after a gap in messages,
	// and otherwise 0.
	Resent []byte
	// Sizes is the number of records of each group.
	Sizes []uint64
	// Subjects holds the subject of each record, subjectBytes long.
	Subjects []byte
	// Lengths is the number of counts of each record, without trailing zeros.
	Lengths []byte
	// Counts holds the counts of all records.
	Counts []uint64
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
	// unknown. StoreHops is the number of VMs through which it hears of the clock.
	StoreMillis int64
	StoreHops   int
	Tables      []tableVersion // in the order of catalog.Tables
	// Zones are the zones from which the sender receives messages. Only relays set
	// them.
	Zones   []zoneStatus
	Members []member // the VMs that a relay introduces
	Records recordColumns
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
	StoreHops   int
	Tables      []catalog.Delta
	Members     []member
	// Attempts is set if the pull asked for it.
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
	First, Retries uint64
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

// Lengths of fields of a record in bytes.
const (
	originBytes  = 8
	subjectBytes = 9
)

// Upper bounds of encoded lengths in bytes.
const (
	groupBytes      = originBytes + 5 + 1 + 2 // with uptime, flag and size
	recordHeadBytes = subjectBytes + 1        // with the number of counts
	maxCountBytes   = 9
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
func countBytes(n uint64) int {
	switch {
	case n < 24:
		return 1
	case n < 1<<8:
		return 2
	case n < 1<<16:
		return 3
	case n < 1<<32:
		return 5
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

// toColumns groups records by origin and by whether they are resent. The uptime of a
// group is the highest of its records.
func toColumns(records []tally.Record) recordColumns {
	var c recordColumns
	byGroup := make(map[groupKey][]int)
	var keys []groupKey
	for i, r := range records {
		k := groupKey{r.Origin, r.Resent}
		if byGroup[k] == nil {
			keys = append(keys, k)
		}
		byGroup[k] = append(byGroup[k], i)
	}
	for _, k := range keys {
		c.addGroup(k, records, byGroup[k])
	}
	return c
}

// addGroup adds the records with the indexes, which have the key in common.
func (c *recordColumns) addGroup(k groupKey, records []tally.Record, indexes []int) {
	uptime, resent := int64(0), byte(0)
	for _, i := range indexes {
		uptime = max(uptime, int64(records[i].Uptime/uptimeUnit))
		counts := trimTrailingZeros(records[i].Counts)
		c.Subjects = append(c.Subjects, records[i].Subject...)
		c.Lengths = append(c.Lengths, byte(len(counts)))
		c.Counts = append(c.Counts, counts...)
	}
	if k.resent {
		resent = 1
	}
	c.Origins = append(c.Origins, k.origin...)
	c.UptimeDeciseconds = append(c.UptimeDeciseconds, uptime)
	c.Resent = append(c.Resent, resent)
	c.Sizes = append(c.Sizes, uint64(len(indexes)))
}

// trimTrailingZeros returns the counts without trailing zeros.
func trimTrailingZeros(c tally.Counts) []uint64 {
	n := len(c)
	for n > 0 && c[n-1] == 0 {
		n--
	}
	return c[:n]
}

// records returns the records of the columns. Its error is marked with ErrMalformed if
// the columns do not fit together.
func (c recordColumns) records() ([]tally.Record, error) {
	groups := len(c.Sizes)
	if len(c.Origins) != groups*originBytes || len(c.UptimeDeciseconds) != groups || len(c.Resent) != groups ||
		len(c.Subjects) != len(c.Lengths)*subjectBytes {
		return nil, errors.Mark(errors.New("columns of records have different lengths"), ErrMalformed)
	}
	// The records refer to parts of these two strings.
	origins, subjects := string(c.Origins), string(c.Subjects)
	out := make([]tally.Record, 0, len(c.Lengths))
	counts := c.Counts
	for g, size := range c.Sizes {
		if size > uint64(len(c.Lengths)-len(out)) {
			return nil, errors.Mark(errors.New("a group has more records than the message"), ErrMalformed)
		}
		for range size {
			i := len(out)
			n := int(c.Lengths[i])
			if n > len(counts) || n > len(tally.Counts{}) {
				return nil, errors.Mark(errors.New("a record has more counts than the message or the field"), ErrMalformed)
			}
			r := tally.Record{
				Origin: tally.Origin(origins[g*originBytes : (g+1)*originBytes]), Subject: tally.Subject(subjects[i*subjectBytes : (i+1)*subjectBytes]),
				Uptime: time.Duration(c.UptimeDeciseconds[g]) * uptimeUnit, Resent: c.Resent[g] == 1,
			}
			copy(r.Counts[:], counts[:n])
			counts = counts[n:]
			out = append(out, r)
		}
	}
	return out, nil
}

func toMember(v vm.VM) member {
	return member{ID: v.ID, Zone: v.Zone, Address: v.ControlAddress, Incarnation: v.Incarnation, Strength: v.Strength}
}

func (m member) vm() vm.VM {
	return vm.VM{ID: m.ID, Zone: m.Zone, ControlAddress: m.Address, Incarnation: m.Incarnation, Strength: m.Strength}
}

func toMillis(d time.Duration) int64    { return d.Milliseconds() }
func fromMillis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
