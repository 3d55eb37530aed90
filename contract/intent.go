package contract

import (
	"encoding/json"
	"reflect"

	"github.com/cockroachdb/errors"
)

// Intent is what an operator wants: changes that are applied in order, all or
// none. Single actions are built as an Intent with one Change.
type Intent struct {
	// Note is the operator's own description.
	Note string
	// Author names the operator. The operators' API sets it from the token.
	Author  string
	Changes []Change
	// AllowNoSlots confirms that a routed service may be left without any slot
	// for new work. Without it such a plan is refused.
	AllowNoSlots bool
}

// NewIntent returns the intent of the given changes.
func NewIntent(changes ...Change) Intent { return Intent{Changes: changes} }

// changeTypes maps the name of each change in JSON to its type. Names are part
// of the stored format and must not change.
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

var changeNames = func() map[reflect.Type]string {
	names := make(map[reflect.Type]string, len(changeTypes))
	for name, t := range changeTypes {
		names[t] = name
	}
	return names
}()

type intentRecord struct {
	Note         string         `json:"note,omitempty"`
	Author       string         `json:"author,omitempty"`
	AllowNoSlots bool           `json:"allow_no_slots,omitempty"`
	Changes      []changeRecord `json:"changes"`
}

type changeRecord struct {
	Change string          `json:"change"`
	With   json.RawMessage `json:"with"`
}

// MarshalJSON encodes the intent with the name of each change.
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

// UnmarshalJSON decodes an intent. Unknown changes and fields are errors: a VM
// that does not understand a change must not go on without it.
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

// requireFields refuses a change that lacks a field. A missing "out" would
// return a zone, and a missing "floor_share" would remove a floor.
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
