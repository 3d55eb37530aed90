package gossip

import (
	"time"

	"almondstile/catalog"
	"almondstile/tally"
	"almondstile/vm"
	"almondstile/zone"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	// maxDatagramBytes keeps a datagram in one packet of a usual link.
	maxDatagramBytes = 1400
	// maxRecords and maxMembers bound what one datagram holds, so that it stays
	// below maxDatagramBytes.
	maxRecords = 30
	maxMembers = 4
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

// record is a tally.Record on the wire.
type record struct {
	_       struct{} `cbor:",toarray"`
	Origin  []byte
	Subject []byte
	Counts  tally.Counts
	// UptimeMillis is how long the origin had run at the last change.
	UptimeMillis int64
}

// member introduces a VM.
type member struct {
	_           struct{} `cbor:",toarray"`
	ID          vm.ID
	Zone        zone.ID
	Address     string
	Incarnation string
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
	Zones   []zone.ID
	Members []member
	Records []record
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

func toRecords(records []tally.Record) []record {
	out := make([]record, len(records))
	for i, r := range records {
		out[i] = record{Origin: []byte(r.Origin), Subject: []byte(r.Subject), Counts: r.Counts, UptimeMillis: millis(r.Uptime)}
	}
	return out
}

func fromRecords(records []record) []tally.Record {
	out := make([]tally.Record, len(records))
	for i, r := range records {
		out[i] = tally.Record{Origin: tally.Origin(r.Origin), Subject: tally.Subject(r.Subject), Counts: r.Counts,
			Uptime: fromMillis(r.UptimeMillis)}
	}
	return out
}

func toMember(v vm.VM) member {
	return member{ID: v.ID, Zone: v.Zone, Address: v.ControlAddress, Incarnation: v.Incarnation}
}

func (m member) vm() vm.VM {
	return vm.VM{ID: m.ID, Zone: m.Zone, ControlAddress: m.Address, Incarnation: m.Incarnation}
}

func millis(d time.Duration) int64      { return d.Milliseconds() }
func fromMillis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
