package gossip

import (
	"time"

	"almondstile/catalog"
	"almondstile/fleet"
	"almondstile/history"
	"almondstile/vm"
	"almondstile/zone"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	// maxDatagramBytes keeps a datagram within one packet on a typical link.
	maxDatagramBytes = 1400
	// maxIntroducedVMs bounds the number of VMs that one datagram introduces: it
	// carries their IDs and addresses, from which receivers learn that they exist.
	maxIntroducedVMs = 3
)

// ErrMalformed marks the errors of messages that cannot be decoded.
var ErrMalformed = errors.New("gossip: malformed message")

// tableVersion is the position and as-of time of the sender's copy of a table.
type tableVersion struct {
	_ struct{} `cbor:",toarray"`
	// StatedEra and FoundEra are the copy's era of the store's history, and Version its
	// version in it.
	StatedEra, FoundEra uint64
	Version             uint64
	// AsOfMillis is the store's time, in milliseconds, at which the copy was current.
	AsOfMillis int64
}

func (v tableVersion) position() history.Position {
	return history.Position{Era: history.Era{Stated: v.StatedEra, Found: v.FoundEra}, Version: v.Version}
}

func toTableVersion(p history.Position, asOf time.Duration) tableVersion {
	return tableVersion{StatedEra: p.Era.Stated, FoundEra: p.Era.Found, Version: p.Version, AsOfMillis: toMillis(asOf)}
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
	// unknown. StoreHops is the number of VMs through which it learns of the clock.
	StoreMillis int64
	StoreHops   int
	Tables      []tableVersion // in the order of Catalog.Tables
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
// of Catalog.Tables, and the VMs that the responder knows.
type pullResponse struct {
	_           struct{} `cbor:",toarray"`
	StoreMillis int64
	StoreHops   int
	Tables      []catalog.Delta
	Members     []member
	// Attempts is set if the pull asked for it.
	Attempts attemptWindows
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

func toMember(v vm.VM) member {
	return member{ID: v.ID, Zone: v.Zone, Address: v.ControlAddress, Incarnation: v.Incarnation, Strength: v.Strength}
}

func (m member) vm() vm.VM {
	return vm.VM{ID: m.ID, Zone: m.Zone, ControlAddress: m.Address, Incarnation: m.Incarnation, Strength: m.Strength}
}

func toMillis(d time.Duration) int64    { return d.Milliseconds() }
func fromMillis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
