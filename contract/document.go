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

// DocumentError lists the places where an intent document cannot be read.
type DocumentError struct {
	Faults []DocumentFault
}

// DocumentFault is one place in an intent document. Line is 0 if unknown.
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

// document is the TOML form of an intent: what it lists is added or replaced,
// what it does not list stays, and [remove] lists what goes. The pointers tell
// a missing value from a zero.
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

type zoneDocument struct {
	ID     zone.ID `toml:"id"`
	Region string  `toml:"region"`
	Out    *bool   `toml:"out"`
}

type serviceDocument struct {
	ID         ServiceID        `toml:"id"`
	FloorShare *float64         `toml:"floor_share"`
	Servers    []serverDocument `toml:"servers"`
}

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

type removeDocument struct {
	Zones    []zone.ID   `toml:"zones"`
	Services []ServiceID `toml:"services"`
	Servers  []ServerID  `toml:"servers"`
	Teams    []TeamID    `toml:"teams"`
	Keys     []KeyID     `toml:"keys"`
	Routes   []RouteID   `toml:"routes"`
}

// ParseIntent reads an intent from a TOML document. Unknown keys are errors.
// The error is a *DocumentError.
func ParseIntent(text []byte) (Intent, error) {
	var doc document
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&doc); err != nil {
		return Intent{}, &DocumentError{Faults: documentFaults(err)}
	}
	return doc.intent()
}

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
		return []DocumentFault{documentFault(decode, readable(decode))}
	}
	return []DocumentFault{{Message: err.Error()}}
}

// readable leaves out the Go types that the library names after the cause.
func readable(e *toml.DecodeError) string {
	message, _, _ := strings.Cut(strings.TrimPrefix(e.Error(), "toml: "), " into struct field ")
	return message
}

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

// intent puts removals first, so that a document can replace a server of one
// service by one of the same ID in another.
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

// faults finds what the changes would hide: an item listed twice, of which the
// last would win, and a floor that is missing and would become 0.
func (d *document) faults() []DocumentFault {
	var faults []DocumentFault
	seen := make(map[string]bool)
	once := func(kind, id string) {
		key := at(kind, id, "id").String()
		if seen[key] {
			faults = append(faults, DocumentFault{Key: key, Message: "is listed more than once"})
		}
		seen[key] = true
	}
	for _, z := range d.Zones {
		once("zones", string(z.ID))
	}
	for _, s := range d.Services {
		once("services", string(s.ID))
		if s.FloorShare == nil {
			faults = append(faults, DocumentFault{Key: at("services", string(s.ID), "floor_share").String(), Message: "is missing"})
		}
	}
	for _, s := range d.servers() {
		once("servers", string(s.ID))
	}
	for _, t := range d.Teams {
		once("teams", string(t.ID))
	}
	for _, k := range d.Keys {
		once("keys", string(k.ID))
	}
	for _, r := range d.Routes {
		once("routes", string(r.ID))
	}
	return faults
}

// servers lists the servers of the document with their services filled in. A
// server stands under its service or, with the key "service", on its own.
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

// unmarshalStrict decodes one JSON value and refuses unknown fields and
// anything that follows the value.
func unmarshalStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the JSON value")
	}
	return nil
}
