package contract

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"almondstile/zone"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// DocumentError is returned for an intent document that cannot be parsed.
type DocumentError struct {
	Faults []DocumentFault
}

// DocumentFault is one error in an intent document. Line is the line number from
// 1, or 0 if it is unknown. Key is the path of the TOML key.
type DocumentFault struct {
	Line    int    `json:"line"`
	Key     string `json:"key"`
	Message string `json:"message"`
}

func (e *DocumentError) Error() string {
	var b bytes.Buffer
	for i, f := range e.Faults {
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(f.String())
	}
	return b.String()
}

func (f DocumentFault) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("key %s: %s", f.Key, f.Message)
	}
	return fmt.Sprintf("line %d, key %s: %s", f.Line, f.Key, f.Message)
}

// document is the TOML form of an intent. Items that it lists are added or
// replaced. Items that it does not list stay unchanged. Its table [remove] lists
// the items to remove. Fields are pointers where a missing value must be
// distinguished from a zero value.
type document struct {
	Note         string            `toml:"note"`
	AllowNoSlots bool              `toml:"allow_no_slots"`
	Zones        []zoneDocument    `toml:"zones"`
	Services     []serviceDocument `toml:"services"`
	Servers      []serverDocument  `toml:"servers"`
	Teams        []Team            `toml:"teams"`
	Keys         []Key             `toml:"keys"`
	Routes       []Route           `toml:"routes"`
	Remove       removeDocument    `toml:"remove"`
}

// zoneDocument is the TOML form of SetZone and, if Out is present, SetZoneOut.
type zoneDocument struct {
	ID     zone.ID `toml:"id"`
	Region string  `toml:"region"`
	Out    *bool   `toml:"out"`
}

// serviceDocument is the TOML form of SetService, with servers of the service.
type serviceDocument struct {
	ID         ServiceID        `toml:"id"`
	FloorShare *float64         `toml:"floor_share"`
	Servers    []serverDocument `toml:"servers"`
}

// serverDocument is the TOML form of SetServer and, if Leaving is present,
// SetServerLeaving.
type serverDocument struct {
	ID          ServerID  `toml:"id"`
	Service     ServiceID `toml:"service"`
	Zone        zone.ID   `toml:"zone"`
	Address     string    `toml:"address"`
	Slots       int       `toml:"slots"`
	ColdSlots   int       `toml:"cold_slots"`
	Connections int       `toml:"connections"`
	Leaving     *bool     `toml:"leaving"`
}

// removeDocument is the TOML form of the changes that remove items by ID.
type removeDocument struct {
	Zones    []zone.ID   `toml:"zones"`
	Services []ServiceID `toml:"services"`
	Servers  []ServerID  `toml:"servers"`
	Teams    []TeamID    `toml:"teams"`
	Keys     []KeyID     `toml:"keys"`
	Routes   []RouteID   `toml:"routes"`
}

// ParseIntent parses an intent from a TOML document. It returns a *DocumentError
// for invalid TOML, unknown keys, items that are listed twice and services without
// a floor share.
func ParseIntent(text []byte) (Intent, error) {
	var doc document
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&doc); err != nil {
		return Intent{}, &DocumentError{Faults: documentFaults(err)}
	}
	return doc.intent()
}

// documentFaults converts an error of the TOML library to faults with line and key.
func documentFaults(err error) []DocumentFault {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		faults := make([]DocumentFault, len(strict.Errors))
		for i := range strict.Errors {
			faults[i] = documentFault(&strict.Errors[i], "unknown key")
		}
		return faults
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		return []DocumentFault{documentFault(decode, decodeMessage(decode))}
	}
	return []DocumentFault{{Message: err.Error()}}
}

// decodeMessage returns the message of a TOML error without the names of Go types
// that the library appends to it.
func decodeMessage(e *toml.DecodeError) string {
	message, _, _ := strings.Cut(strings.TrimPrefix(e.Error(), "toml: "), " into struct field ")
	return message
}

// documentFault returns a fault with the message and the place of the TOML error.
func documentFault(e *toml.DecodeError, message string) DocumentFault {
	line, _ := e.Position()
	key := ""
	for i, part := range e.Key() {
		if i > 0 {
			key += "."
		}
		key += part
	}
	return DocumentFault{Line: line, Key: key, Message: message}
}

// intent converts the document to an intent. Removals come first, so that one
// document can move a server to another service: it removes the server and adds
// one with the same ID to the other service.
func (d *document) intent() (Intent, error) {
	if faults := d.faults(); len(faults) > 0 {
		return Intent{}, &DocumentError{Faults: faults}
	}
	i := Intent{Note: d.Note, AllowNoSlots: d.AllowNoSlots, Changes: d.Remove.changes()}
	add := func(c Change) { i.Changes = append(i.Changes, c) }
	for _, z := range d.Zones {
		add(SetZone{ID: z.ID, Region: z.Region})
		if z.Out != nil {
			add(SetZoneOut{ID: z.ID, Out: *z.Out})
		}
	}
	for _, s := range d.Services {
		add(SetService{ID: s.ID, FloorShare: *s.FloorShare})
	}
	for _, s := range d.servers() {
		i.Changes = append(i.Changes, s.changes()...)
	}
	for _, t := range d.Teams {
		add(SetTeam{Team: t})
	}
	for _, k := range d.Keys {
		add(IssueKey{ID: k.ID, Team: k.Team, SecretHash: k.SecretHash})
		if k.Withdrawn {
			add(WithdrawKey{ID: k.ID})
		}
	}
	for _, r := range d.Routes {
		add(SetRoute{Route: r})
	}
	return i, nil
}

// faults returns the errors that are no longer visible in the resulting changes:
// an item that is listed twice, where the last entry would silently win, and a
// missing floor share, which would silently become 0.
func (d *document) faults() []DocumentFault {
	var faults []DocumentFault
	seen := make(map[string]bool)
	checkUnique := func(kind, id string) {
		key := pathOf(kind, id, "id").String()
		if seen[key] {
			faults = append(faults, DocumentFault{Key: key, Message: "is listed more than once"})
		}
		seen[key] = true
	}
	for _, z := range d.Zones {
		checkUnique("zones", string(z.ID))
	}
	for _, s := range d.Services {
		checkUnique("services", string(s.ID))
		if s.FloorShare == nil {
			faults = append(faults, DocumentFault{Key: pathOf("services", string(s.ID), "floor_share").String(), Message: "is missing"})
		}
	}
	for _, s := range d.servers() {
		checkUnique("servers", string(s.ID))
	}
	for _, t := range d.Teams {
		checkUnique("teams", string(t.ID))
	}
	for _, k := range d.Keys {
		checkUnique("keys", string(k.ID))
	}
	for _, r := range d.Routes {
		checkUnique("routes", string(r.ID))
	}
	return faults
}

// servers returns all servers of the document with the Service field set. A
// document can list a server under its service, or in the top-level list "servers"
// with the key "service".
func (d *document) servers() []serverDocument {
	var all []serverDocument
	for _, s := range d.Services {
		for _, server := range s.Servers {
			if server.Service == "" {
				server.Service = s.ID
			}
			all = append(all, server)
		}
	}
	return append(all, d.Servers...)
}

// changes returns the changes that add the server or replace its configuration.
func (s *serverDocument) changes() []Change {
	changes := []Change{SetServer{Service: s.Service, Server: Server{
		ID: s.ID, Zone: s.Zone, Address: s.Address,
		Slots: s.Slots, ColdSlots: s.ColdSlots, MaxConnections: s.Connections,
	}}}
	if s.Leaving != nil {
		changes = append(changes, SetServerLeaving{ID: s.ID, Leaving: *s.Leaving})
	}
	return changes
}

// changes returns the changes that remove the listed items.
func (r *removeDocument) changes() []Change {
	var changes []Change
	for _, id := range r.Routes {
		changes = append(changes, RemoveRoute{id})
	}
	for _, id := range r.Keys {
		changes = append(changes, RemoveKey{id})
	}
	for _, id := range r.Teams {
		changes = append(changes, RemoveTeam{id})
	}
	for _, id := range r.Servers {
		changes = append(changes, RemoveServer{id})
	}
	for _, id := range r.Services {
		changes = append(changes, RemoveService{id})
	}
	for _, id := range r.Zones {
		changes = append(changes, RemoveZone{id})
	}
	return changes
}

// unmarshalStrict decodes one JSON value. It returns an error for unknown fields
// and for data after the value.
func unmarshalStrict(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the JSON value")
	}
	return nil
}
