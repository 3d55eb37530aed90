package contract

import (
	"encoding/json"
	"reflect"

	"github.com/cockroachdb/errors"
)

// Intent is a list of configuration changes that an operator requests. The
// changes are applied in order, and either all of them or none. A single action
// of an operator is an Intent with one Change.
type Intent struct {
	// Note is the operator's description of the intent.
	Note string
	// Author is the name of the operator. The operators' API sets it from the
	// operator's token.
	Author  string
	Changes []Change
	// AllowNoSlots permits changes that leave a service that routes lead to
	// without any slot for new requests. Otherwise such a plan is refused.
	AllowNoSlots bool
}

// NewIntent returns an intent with the given changes and no other field set.
func NewIntent(changes ...Change) Intent { return Intent{Changes: changes} }

// changeTypes maps the JSON name of each kind of change to its Go type. The names
// are part of the stored format and must not change.
var changeTypes = map[string]reflect.Type{
	"set-zone":           reflect.TypeFor[SetZone](),
	"set-zone-out":       reflect.TypeFor[SetZoneOut](),
	"remove-zone":        reflect.TypeFor[RemoveZone](),
	"set-service":        reflect.TypeFor[SetService](),
	"remove-service":     reflect.TypeFor[RemoveService](),
	"set-server":         reflect.TypeFor[SetServer](),
	"set-server-leaving": reflect.TypeFor[SetServerLeaving](),
	"remove-server":      reflect.TypeFor[RemoveServer](),
	"set-team":           reflect.TypeFor[SetTeam](),
	"remove-team":        reflect.TypeFor[RemoveTeam](),
	"issue-key":          reflect.TypeFor[IssueKey](),
	"withdraw-key":       reflect.TypeFor[WithdrawKey](),
	"remove-key":         reflect.TypeFor[RemoveKey](),
	"set-route":          reflect.TypeFor[SetRoute](),
	"remove-route":       reflect.TypeFor[RemoveRoute](),
}

// changeNames is the inverse of changeTypes.
var changeNames = func() map[reflect.Type]string {
	names := make(map[reflect.Type]string, len(changeTypes))
	for name, t := range changeTypes {
		names[t] = name
	}
	return names
}()

// intentRecord is the JSON form of an Intent.
type intentRecord struct {
	Note         string         `json:"note,omitempty"`
	Author       string         `json:"author,omitempty"`
	AllowNoSlots bool           `json:"allow_no_slots,omitempty"`
	Changes      []changeRecord `json:"changes"`
}

// changeRecord is the JSON form of a Change: its name in changeTypes and its
// fields.
type changeRecord struct {
	Change string          `json:"change"`
	With   json.RawMessage `json:"with"`
}

// MarshalJSON encodes the intent. Each change is stored with its JSON name.
func (i Intent) MarshalJSON() ([]byte, error) {
	record := intentRecord{
		Note: i.Note, Author: i.Author, AllowNoSlots: i.AllowNoSlots,
		Changes: make([]changeRecord, len(i.Changes)),
	}
	for n, change := range i.Changes {
		name, ok := changeNames[reflect.TypeOf(change)]
		if !ok {
			return nil, errors.Newf("contract: change of unknown type %T", change)
		}
		with, err := json.Marshal(change)
		if err != nil {
			return nil, errors.Wrapf(err, "encoding change %s", name)
		}
		record.Changes[n] = changeRecord{Change: name, With: with}
	}
	return json.Marshal(record)
}

// UnmarshalJSON decodes an intent. It returns an error for unknown changes,
// unknown fields and missing fields of a change: a VM that does not understand a
// change must not skip it, because its configuration would then differ from that
// of the other VMs.
func (i *Intent) UnmarshalJSON(data []byte) error {
	var record intentRecord
	if err := unmarshalStrict(data, &record); err != nil {
		return errors.Wrap(err, "decoding intent")
	}
	decoded := Intent{Note: record.Note, Author: record.Author, AllowNoSlots: record.AllowNoSlots}
	for _, r := range record.Changes {
		change, err := r.decode()
		if err != nil {
			return err
		}
		decoded.Changes = append(decoded.Changes, change)
	}
	*i = decoded
	return nil
}

// decode returns the change with the concrete type that its name stands for.
func (r changeRecord) decode() (Change, error) {
	t, ok := changeTypes[r.Change]
	if !ok {
		return nil, errors.Newf("contract: unknown change %q", r.Change)
	}
	if err := requireFields(t, r.With); err != nil {
		return nil, errors.Wrapf(err, "decoding change %s", r.Change)
	}
	value := reflect.New(t)
	if err := unmarshalStrict(r.With, value.Interface()); err != nil {
		return nil, errors.Wrapf(err, "decoding change %s", r.Change)
	}
	return value.Elem().Interface().(Change), nil
}

// requireFields returns an error if the JSON object lacks a field of the type t or
// has null for it. The zero value would be harmful: a missing "out" would return a
// zone to service, and a missing "floor_share" would remove the ejection floor.
func requireFields(t reflect.Type, data json.RawMessage) error {
	var present map[string]json.RawMessage
	if err := json.Unmarshal(data, &present); err != nil {
		return err
	}
	for i := range t.NumField() {
		name := t.Field(i).Tag.Get("json")
		if value := string(present[name]); value == "" || value == "null" {
			return errors.Newf("the field %q is missing", name)
		}
	}
	return nil
}
